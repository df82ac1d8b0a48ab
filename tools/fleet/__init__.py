"""Runs daemons and stand-ins as processes on loopback."""

from .faults import freeze, kill, stop, wake
from .fleet import Fleet
from .processes import FleetError, Process
from .scenario import Customer, Scenario, WorkloadShape
from .scenarios import bg_south, vysocina

__all__ = (
    'Customer',
    'Fleet',
    'FleetError',
    'Process',
    'Scenario',
    'WorkloadShape',
    'bg_south',
    'freeze',
    'kill',
    'stop',
    'vysocina',
    'wake',
)
