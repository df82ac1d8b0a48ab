"""Which of several replicas gets the next work."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import final

from ..model.ids import BackendId

__all__ = ('Candidate', 'Chooser', 'choose_earliest_finish', 'choose_of_two')


@final
@dataclass(frozen=True, slots=True)
class Candidate:
    """A replica with a free slot.

    :ivar in_flight: attempts that this VM has out at it.
    :ivar expected_ms: its time for one attempt, as observed.
    """

    backend: BackendId
    in_flight: int
    expected_ms: float


Chooser = Callable[[Sequence[Candidate], Random], Candidate]


def choose_earliest_finish(
    candidates: Sequence[Candidate], random: Random
) -> Candidate:
    """Take the replica that should finish first; equals by lot."""
    return min(
        candidates,
        key=lambda candidate: (_finish_ms(candidate), random.random()),
    )


def choose_of_two(candidates: Sequence[Candidate], random: Random) -> Candidate:
    """Take the less loaded of two drawn by lot.

    Source: Mitzenmacher, "The power of two choices in randomized load
    balancing", 2001.
    """
    drawn = random.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda candidate: candidate.in_flight)


def _finish_ms(candidate: Candidate) -> float:
    return (candidate.in_flight + 1) * candidate.expected_ms
