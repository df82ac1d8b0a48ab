"""One run of owners over fake servers."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import chain
from random import Random
from types import MappingProxyType
from typing import Final, final

from dandelionstage.model.contract import Priority
from dandelionstage.model.ids import CustomerId, VmId
from dandelionstage.model.messages import SubRequest
from dandelionstage.routing.replica_choice import (
    Chooser,
    choose_earliest_finish,
)

from .arrivals import Stream, arrive, make_servers
from .loop import Loop
from .owner_run import Disguise, Ended, OwnerRun, show_all
from .server import FakeServer

__all__ = ('RUN_MS', 'Trial', 'TrialEnd', 'run_trial')

_SEED: Final = 1
#: Virtual time of a run.
RUN_MS: Final = 30_000
_MS_PER_S: Final = 1000
#: What two servers of two slots can do, with a round trip for each.
_CAPACITY_PER_S: Final = 360

#: Time that each priority leaves for an answer.
_REMAINING_MS: Final = MappingProxyType(
    {
        Priority.URGENT: 400,
        Priority.INTERACTIVE: 1000,
        Priority.BATCH: 10_000,
    },
)


@final
@dataclass(frozen=True, slots=True)
class Trial:
    """What to run.

    :ivar means_ms: mean service time of each server.
    :ivar load: offered, of the capacity of two servers of 10 ms.
    :ivar urgent: part of it.
    :ivar batch: part of it.
    :ivar entries: owners that each take themselves for the only one.
    """

    load: float
    means_ms: Sequence[float] = (10, 10)
    urgent: float = 0
    batch: float = 0
    entries: int = 1
    run_ms: float = RUN_MS
    choose: Chooser = choose_earliest_finish
    disguise: Disguise = show_all

    def parts(self) -> dict[Priority, float]:
        """Say how much of the load each priority is."""
        return {
            Priority.URGENT: self.urgent,
            Priority.INTERACTIVE: 1 - self.urgent - self.batch,
            Priority.BATCH: self.batch,
        }


@final
@dataclass(frozen=True, slots=True)
class TrialEnd:
    """What became of it.

    :ivar overruns: attempts that found no free slot, per attempt.
    :ivar attempts: at servers, per sub-request.
    """

    ended: Sequence[Ended]
    late_starts: int
    overruns: float
    attempts: float

    @property
    def useful(self) -> int:
        """Count the answers that came in time."""
        return sum(each.useful for each in self.ended)

    def of(self, priority: Priority) -> list[Ended]:
        """Pick out one priority."""
        return [
            each for each in self.ended if each.sub_request.priority is priority
        ]


def run_trial(trial: Trial) -> TrialEnd:
    """Run under virtual time, with one seed."""
    loop, random = Loop(), Random(_SEED)
    servers = make_servers(trial.means_ms, loop, random)
    owners = tuple(
        OwnerRun(VmId(str(entry)), servers, loop, trial.choose, trial.disguise)
        for entry in range(trial.entries)
    )

    def take(sub_request: SubRequest) -> None:  # noqa: WPS430 -- a closure
        random.choice(owners).offer(sub_request)

    for stream in _list_streams(trial):
        arrive(stream, tuple(servers), loop, random, take)
    loop.run(trial.run_ms)
    return _sum_up(owners, tuple(servers.values()))


def _list_streams(trial: Trial) -> Iterator[Stream]:
    for priority, part in trial.parts().items():
        if part > 0:
            yield Stream(
                CustomerId(priority.value),
                priority,
                trial.load * part * _CAPACITY_PER_S,
                _REMAINING_MS[priority],
            )


def _sum_up(
    owners: Sequence[OwnerRun], servers: Sequence[FakeServer]
) -> TrialEnd:
    ended = tuple(chain.from_iterable(owner.ended for owner in owners))
    received = sum(server.received for server in servers)
    overruns = sum(server.overruns for server in servers)
    return TrialEnd(
        ended,
        sum(owner.late_starts for owner in owners),
        overruns / received,
        received / len(ended),
    )
