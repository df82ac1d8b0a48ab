"""Faults drawn by a seed: one by one, in series and overlapping."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Mapping
from enum import Enum
from types import MappingProxyType
from typing import Final, TypeVar

from dandelionstage.gateway.clock import now_ms
from tools.standins.platform.server import PlatformServer, ServerMode
from tools.standins.platform.store import StoreMode

from .place import Place
from .proxy import Way

__all__ = ('FAULTS', 'Fault')

#: Takes effect and, when its time is over, undoes itself.
Fault = Callable[[Place], Coroutine[None, None, None]]

_Member = TypeVar('_Member', bound=Enum)

_SPELL_S: Final = (0.3, 2.5)
_QUIET_S: Final = (0.01, 3.0)
_EVACUATION_S: Final = (0.5, 9.0)
_MOMENT_S: Final = (0.05, 0.5)
_LEVELS: Final = 1200
_ODD_VALUES: Final = (
    b'{"service":"orders","version":%b%b}' % (b'[' * _LEVELS, b']' * _LEVELS),
    {
        'service': 'orders',
        'address': '127.0.0.1:99999',
        'zone': 'a',
        'slots': 1,
        'state': 'ready',
    },
)
_SLOW_MS: Final = 200.0
_BAD_MODES: Final = tuple(set(ServerMode) - {ServerMode.WELL})
_BAD_WAYS: Final = tuple(set(Way) - {Way.OPEN})
_BAD_STORE: Final = tuple(set(StoreMode) - {StoreMode.WELL})


def _spell_s(place: Place) -> float:
    return place.random.uniform(*_SPELL_S)


def _any_server(place: Place) -> PlatformServer:
    name = place.random.choice(sorted(place.servers))
    return place.servers[name]


def _any_bad_way(place: Place) -> Way:
    return place.random.choice(_sorted(_BAD_WAYS))


async def _stop_vm(place: Place) -> None:
    await place.random.choice(place.vms).stop()


async def _kill_vm(place: Place) -> None:
    down_s = place.random.random()
    await place.random.choice(place.vms).kill(down_s)


async def _pause_vm(place: Place) -> None:
    await place.random.choice(place.vms).pause(_spell_s(place))


async def _spoil_server(place: Place) -> None:
    server = _any_server(place)
    server.mode = place.random.choice(_sorted(_BAD_MODES))
    await asyncio.sleep(_spell_s(place))
    server.mode = ServerMode.WELL


async def _slow_server(place: Place) -> None:
    server = _any_server(place)
    before_ms = server.work_ms
    server.work_ms = _SLOW_MS
    await asyncio.sleep(_spell_s(place))
    server.work_ms = before_ms


async def _spoil_way(place: Place) -> None:
    name = _any_server(place).server
    place.spoiled_ways.add(name)
    proxy = place.proxies[name]
    proxy.way = _any_bad_way(place)
    await asyncio.sleep(_spell_s(place))
    proxy.way = Way.OPEN


async def _spoil_store(place: Place) -> None:
    began_ms = now_ms()
    place.platform.store.mode = place.random.choice(_sorted(_BAD_STORE))
    await asyncio.sleep(_spell_s(place))
    place.platform.store.mode = StoreMode.WELL
    place.store_spells.append((began_ms, now_ms()))


async def _spoil_store_way(place: Place) -> None:
    began_ms = now_ms()
    proxy = place.random.choice(place.store_ways)
    proxy.way = _any_bad_way(place)
    await asyncio.sleep(_spell_s(place))
    proxy.way = Way.OPEN
    place.store_spells.append((began_ms, now_ms()))


async def _cut_store(place: Place) -> None:
    place.platform.store.cut_all()
    place.platform.store.forget_history()


async def _lose_store_answers(place: Place) -> None:
    """Lose only the answers that are due, and those of a moment."""
    began_ms = now_ms()
    place.platform.store.lose_answers()
    await asyncio.sleep(place.random.uniform(*_MOMENT_S))
    place.platform.store.lose_answers()
    place.store_spells.append((began_ms, now_ms()))


async def _write_odd_entry(place: Place) -> None:
    name = place.random.choice(sorted(place.servers))
    for number, value in enumerate(_ODD_VALUES):
        key = 'servers/another-{0}-{1}'.format(number, name)
        place.platform.store.put(key, value)


async def _publish(place: Place) -> None:
    place.publish()


async def _replace_server(place: Place) -> None:
    await place.replace_server(place.random.choice(sorted(place.servers)))


async def _announce_leaving(place: Place) -> None:
    await place.announce_leaving(place.random.choice(sorted(place.servers)))


async def _evacuate(place: Place) -> None:
    await place.evacuate(place.random.uniform(*_EVACUATION_S))


async def _ask_quiet(place: Place) -> None:
    """Refuse all requests and ask for quiet, often longer than that lasts."""
    server = _any_server(place)
    server.quiet_s = '{0:.2f}'.format(place.random.uniform(*_QUIET_S))
    server.mode = ServerMode.SHED
    await asyncio.sleep(_spell_s(place))
    server.mode = ServerMode.WELL
    server.quiet_s = None


def _sorted(members: Iterable[_Member]) -> list[_Member]:
    """Put the members of an enumeration in an order that never changes."""
    return sorted(members, key=lambda member: str(member.value))


#: What may happen, and how often compared with the others.
FAULTS: Final[Mapping[Fault, int]] = MappingProxyType(
    {
        _stop_vm: 3,
        _kill_vm: 2,
        _pause_vm: 2,
        _spoil_server: 4,
        _slow_server: 2,
        _spoil_way: 4,
        _spoil_store: 2,
        _spoil_store_way: 2,
        _cut_store: 1,
        _lose_store_answers: 2,
        _write_odd_entry: 1,
        _publish: 3,
        _replace_server: 2,
        _announce_leaving: 2,
        _evacuate: 2,
        _ask_quiet: 3,
    },
)
