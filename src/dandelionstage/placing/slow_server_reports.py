"""Reports between VMs about backend servers that have become slow.

A VM of a large fleet sends too few requests to a server to notice in time that
the server has become slow, but all VMs together notice it at once.
"""

from collections.abc import Iterable
from typing import Any, Final

from ..catalog.servers import ServerId
from .replicas import Replicas

__all__ = ('SlowServer', 'apply_slow_reports', 'list_slow_servers')

#: A server and its response time as a multiple of the usual one.
SlowServer = tuple[ServerId, float]

#: Maximum number of servers in one message, so that it fits into one packet.
_MAX_REPORTED: Final = 12


def list_slow_servers(
    replicas: Replicas[Any], now_ms: float
) -> list[SlowServer]:
    """List the servers that this VM recently found slow, slowest first."""
    slow: list[SlowServer] = []
    for replica in replicas:
        ratio = replica.slowness.ratio_to_report(now_ms)
        if ratio is not None:
            slow.append((replica.record.server, round(ratio, 1)))
    slow.sort(key=lambda each: each[1], reverse=True)
    return slow[:_MAX_REPORTED]


def apply_slow_reports(
    replicas: Replicas[Any], reports: Iterable[SlowServer], now_ms: float
) -> list[SlowServer]:
    """Apply another VM's reports; return those that mark a server as slow."""
    newly_slow: list[SlowServer] = []
    for server, ratio in reports:
        replica = replicas.replica(server)
        if replica is not None:
            replica.slowness.apply_report(ratio, now_ms)
            if replica.update_slow_state(now_ms):
                newly_slow.append((server, ratio))
    return newly_slow
