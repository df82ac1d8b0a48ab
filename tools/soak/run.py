"""One soak: callers and faults for some time, then the checks."""

import asyncio
from collections import Counter
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Final, final

from .callers import Asked, call
from .faults import FAULTS
from .place import Place
from .promises import broken_promises

__all__ = ('Plan', 'Report', 'soak')

_CALLERS: Final = 2
#: Between the beginnings of two faults, so that some overlap.
_GAP_S: Final = (0.1, 1.2)
#: Before the first fault, and after the last one.
_CALM_S: Final = 2.0
_WEIGHTS: Final = tuple(FAULTS.values())


@final
@dataclass(frozen=True, slots=True)
class Plan:
    """What to run."""

    seed: int
    length_s: float
    vm_count: int


@final
@dataclass(frozen=True, slots=True)
class Report:
    """What came of it.

    :ivar faults: how many of each were played.
    :ivar stalled_ms: longest time that the soak itself stood still.
    """

    seed: int
    statuses: Counter[int | None]
    faults: Counter[str]
    broken: tuple[str, ...]
    stalled_ms: float

    def __str__(self) -> str:
        """Write one line, and one for each broken promise."""
        head = (
            'seed {0}: {1} requests, {2} faults, {3} broken; {4}; '
            'stood still for up to {5:.0f} ms'
        ).format(
            self.seed,
            self.statuses.total(),
            self.faults.total(),
            len(self.broken),
            dict(self.statuses.most_common()),
            self.stalled_ms,
        )
        return '\n  '.join((head, *self.broken))


async def soak(plan: Plan, folder: Path) -> Report:
    """Run it; the folder takes the settings and logs of the VMs."""
    place = Place(plan.seed, folder, plan.vm_count)
    asked: list[Asked] = []
    async with place:
        calling = [_call(place, asked, number) for number in _numbers(plan)]
        played = await _play_while(place, plan.length_s, calling)
    return Report(
        plan.seed,
        Counter(each.status for each in asked),
        played,
        tuple(broken_promises(place, asked)),
        place.stalls.longest_ms,
    )


def _numbers(plan: Plan) -> range:
    return range(plan.vm_count * _CALLERS)


def _call(
    place: Place, asked: list[Asked], number: int
) -> Coroutine[None, None, None]:
    """Have one caller ask a VM queries, orders and for the newest route."""

    def choose(random: Random) -> str:  # noqa: WPS430 -- a closure
        newest = '/m{0}/x'.format(len(place.published_ms))
        return random.choice(('/q/x', '/o/x', newest))

    vm = place.vms[number // _CALLERS]
    random = Random(place.random.random())
    return call(vm, 'r{0}'.format(number), choose, random, asked.append)


async def _play_while(
    place: Place,
    length_s: float,
    calling: Iterable[Coroutine[None, None, None]],
) -> Counter[str]:
    played: Counter[str] = Counter()
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(each) for each in calling]
    await asyncio.sleep(_CALM_S)
    await _play(place, length_s, played)
    await asyncio.sleep(_CALM_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return played


async def _play(place: Place, length_s: float, played: Counter[str]) -> None:
    """Begin faults at random times and wait for the last to end."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + length_s
    async with asyncio.TaskGroup() as group:
        while loop.time() < end_s:
            await asyncio.sleep(place.random.uniform(*_GAP_S))
            fault = place.random.choices(list(FAULTS), _WEIGHTS)[0]
            played[getattr(fault, '__name__', '')] += 1
            group.create_task(fault(place))
