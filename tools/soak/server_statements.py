"""What must hold of servers that state in replies what they want."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Final

from tools.standins.platform.server import PlatformServer

from .callers import Asked
from .place import ORDERS, Place
from .vms import Life
from .windows import within

__all__ = ('check_statements',)

#: The platform's bound of the stand-in's settings.
_DRAIN_MS: Final = 3000.0
#: Requests on their way when a server asks for quiet arrive within this time;
#: so many may come later.
_IN_FLIGHT_MS: Final = 500.0
_MOST_LATE: Final = 2
_NEVER: Final = float('inf')
#: Headers with the signatures of the servers that answered.
_STAMP_HEADERS: Final = ('x-part-stamps', 'x-response-stamp')


def check_statements(place: Place, asked: Sequence[Asked]) -> Iterator[str]:
    """Check the servers that are leaving, and those that ask for quiet."""
    for leaving in place.announced_ms:
        yield from _check_leaving(place, leaving, asked)
    lives = _lives_of(asked)
    for name, server in place.platform.servers.items():
        if _are_senders_known(place, name):
            yield from _check_quiet(server, lives)


def _check_leaving(
    place: Place, server: str, asked: Sequence[Asked]
) -> Iterator[str]:
    """A process that has passed on a reply of the server sends it no more."""
    told_ms = _told_ms(server, place.announced_ms[server], asked)
    arrived = {each[1] for each in place.platform.servers[server].arrived}
    came = [
        each.request
        for each in asked
        if each.request in arrived
        and each.life.is_calm
        and each.sent_ms > told_ms.get(id(each.life), _NEVER) + _DRAIN_MS
    ]
    if came:
        yield '{0}: {1} after it said that it leaves'.format(server, came)


def _are_senders_known(place: Place, server: str) -> bool:
    """Whether requests arrive at once, from the VM that the caller asked.

    Bytes may be held up on a disturbed way, and a relay sends for another VM.
    """
    is_relayed = place.has_relays and place.service(server) != ORDERS
    return not is_relayed and server not in place.spoiled_ways


def _lives_of(asked: Sequence[Asked]) -> dict[str, Life]:
    """Return the process that each request was sent to, if never paused."""
    return {each.request: each.life for each in asked if each.life.is_calm}


def _told_ms(
    server: str, since_ms: float, asked: Sequence[Asked]
) -> dict[int, float]:
    """Return when each process first passed on a reply of a leaving server."""
    told_ms: dict[int, float] = {}
    for each in sorted(asked, key=lambda one: one.ended_ms):
        if each.sent_ms > since_ms and _is_from(each, server):
            told_ms.setdefault(id(each.life), each.ended_ms)
    return told_ms


def _is_from(asked: Asked, server: str) -> bool:
    """Whether a server has answered a request, or a part of it."""
    stamps = ', '.join(asked.headers.get(name, '') for name in _STAMP_HEADERS)
    return any(
        stamp.partition('.')[0] == server for stamp in stamps.split(', ')
    )


def _check_quiet(
    server: PlatformServer, lives: Mapping[str, Life]
) -> Iterator[str]:
    """A process that the server asked for quiet sends it nothing meanwhile."""
    for asked_ms, request, quiet_ms in server.asked_quiet:
        is_late = within(asked_ms + _IN_FLIGHT_MS, asked_ms + quiet_ms)
        late = [
            each[1]
            for each in server.arrived
            if is_late(each[0])
            and request in lives
            and lives.get(each[1]) is lives[request]
        ]
        if len(late) > _MOST_LATE:
            yield '{0}: {1} while it wants quiet'.format(server.server, late)
            return
