"""What a fleet has counted and used so far."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final, final

import httpx
import psutil

from tools.fleet.clients import base_url
from tools.fleet.fleet import Fleet
from tools.fleet.layout import VmPlace

__all__ = ('DaemonCounts', 'Look', 'Maxima', 'look_at')

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
class DaemonCounts:
    """What one daemon counted and used since it started.

    :ivar primaries: first sub-requests.
    :ivar cpu_s: processor time.
    """

    primaries: int
    extra_load: int
    cpu_s: float


@final
@dataclass(frozen=True, slots=True)
class Look:
    """Counts since the fleet began, of the daemons that answer.

    :ivar starts: calls that backend servers started.
    """

    starts: int
    maxima: Maxima
    daemons: Mapping[str, DaemonCounts]


def look_at(fleet: Fleet) -> Look:
    """Read every daemon and backend server that runs."""
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
        daemons={
            place.vm: _count(place, fleet)
            for place in fleet.layout.vms
            if _answers(fleet, place.vm)
        },
    )


def _count(place: VmPlace, fleet: Fleet) -> DaemonCounts:
    status = _get(place.operator_port, '/v1/status')
    customers = status['customers'].values()
    times = psutil.Process(fleet.members[place.vm].pid).cpu_times()
    return DaemonCounts(
        primaries=sum(customer['primaries'] for customer in customers),
        extra_load=sum(customer['extra_load'] for customer in customers),
        cpu_s=float(times.user + times.system),
    )


def _answers(fleet: Fleet, vm: str) -> bool:
    """Whether a daemon runs and is not frozen."""
    process = fleet.members[vm]
    if not process.running:
        return False
    return bool(
        psutil.Process(process.pid).status() != psutil.STATUS_STOPPED,
    )


def _get(port: int, path: str) -> dict[str, Any]:
    response = httpx.get('{0}{1}'.format(base_url(port), path), timeout=_CALL_S)
    found: dict[str, Any] = response.raise_for_status().json()
    return found
