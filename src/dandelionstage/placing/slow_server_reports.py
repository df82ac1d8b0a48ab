"""What VMs tell each other of slow servers.

A VM of a large fleet sends a server too few requests to notice in time that
it has become slow, but all VMs together notice it at once.
"""

from collections.abc import Iterable
from typing import Any, Final

from ..catalog.servers import ServerId
from .replicas import Replicas

__all__ = ('SlowServer', 'apply_slow_reports', 'list_slow_servers')

#: A server and how many times slower than usual it is.
SlowServer = tuple[ServerId, float]

#: Servers told of in one message; keeps it within one packet.
_MOST_TOLD: Final = 12


def list_slow_servers(
    replicas: Replicas[Any], now_ms: float
) -> list[SlowServer]:
    """List the servers that this VM has just met slow, the slowest first."""
    met: list[SlowServer] = []
    for replica in replicas:
        ratio = replica.slowness.told_ratio(now_ms)
        if ratio is not None:
            met.append((replica.record.server, round(ratio, 1)))
    met.sort(key=lambda each: each[1], reverse=True)
    return met[:_MOST_TOLD]


def apply_slow_reports(
    replicas: Replicas[Any], told: Iterable[SlowServer], now_ms: float
) -> list[SlowServer]:
    """Take in what another VM has met; list what is new here."""
    new: list[SlowServer] = []
    for server, ratio in told:
        replica = replicas.replica(server)
        if replica is not None:
            replica.slowness.heed(ratio, now_ms)
            if replica.update_slow_state(now_ms):
                new.append((server, ratio))
    return new
