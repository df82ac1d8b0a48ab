"""What a fleet has counted and used so far."""

from collections import Counter
from dataclasses import dataclass
from typing import Any, Final, final

import httpx
import psutil

from tools.fleet.clients import base_url
from tools.fleet.fleet import Fleet

__all__ = ('Look', 'Maxima', 'look_at')

_CALL_S: Final = 5


@final
@dataclass(frozen=True, slots=True)
class Maxima:
    """The most in use at any one backend server since the fleet began."""

    slots: int
    queue: int
    connections: int


@final
@dataclass(frozen=True, slots=True)
class Look:
    """Counts since the fleet began.

    :ivar starts: calls that backend servers started.
    :ivar cpu_s: processor time of all daemons.
    :ivar primaries: first sub-requests that the daemons counted.
    """

    starts: int
    maxima: Maxima
    cpu_s: float
    primaries: int
    extra_load: int
    retries: Counter[str]


def look_at(fleet: Fleet) -> Look:
    """Read every daemon and backend server that runs."""
    statuses = [
        _get(place.operator_port, '/v1/status')
        for place in fleet.layout.vms
        if fleet.members[place.vm].running
    ]
    servers = [
        _get(place.port, '/control/maxima')
        for place in fleet.layout.backends
        if fleet.members[place.process].running
    ]
    return Look(
        starts=sum(server['starts'] for server in servers),
        maxima=Maxima(
            slots=max(server['slots']['most'] for server in servers),
            queue=max(server['queue']['most'] for server in servers),
            connections=max(
                server['connections']['most'] for server in servers
            ),
        ),
        cpu_s=sum(_cpu_s(fleet, vm) for vm in fleet.vms),
        primaries=_total(statuses, 'primaries'),
        extra_load=_total(statuses, 'extra_load'),
        retries=sum(
            (Counter(status['retries']) for status in statuses),
            Counter(),
        ),
    )


def _total(statuses: list[dict[str, Any]], field: str) -> int:
    return sum(
        customer[field]
        for status in statuses
        for customer in status['customers'].values()
    )


def _get(port: int, path: str) -> dict[str, Any]:
    response = httpx.get('{0}{1}'.format(base_url(port), path), timeout=_CALL_S)
    found: dict[str, Any] = response.raise_for_status().json()
    return found


def _cpu_s(fleet: Fleet, vm: str) -> float:
    process = fleet.members[vm]
    if not process.running:
        return 0
    times = psutil.Process(process.pid).cpu_times()
    return float(times.user + times.system)
