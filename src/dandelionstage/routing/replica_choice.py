"""Chooses the replica for the next attempt."""

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

    :ivar in_flight: number of attempts of this VM in flight at the server.
    :ivar expected_ms: expected service time of one attempt at the server.
    """

    backend: BackendId
    in_flight: int
    expected_ms: float


#: Chooses one of several candidates, at least one.
Chooser = Callable[[Sequence[Candidate], Random], Candidate]


def choose_earliest_finish(
    candidates: Sequence[Candidate], random: Random
) -> Candidate:
    """Choose the replica expected to finish first; break ties randomly."""
    return min(
        candidates,
        key=lambda candidate: (_finish_ms(candidate), random.random()),
    )


def choose_of_two(candidates: Sequence[Candidate], random: Random) -> Candidate:
    """Choose the less loaded of two random candidates.

    Source: Mitzenmacher, "The power of two choices in randomized load
    balancing", 2001.
    """
    sample = random.sample(candidates, min(2, len(candidates)))
    return min(sample, key=lambda candidate: candidate.in_flight)


def _finish_ms(candidate: Candidate) -> float:
    return (candidate.in_flight + 1) * candidate.expected_ms
