"""Load of a replay and how its queries ended."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final, final

__all__ = ('RATIO', 'SLACK', 'Burst', 'Kind', 'Outcomes')

#: Budget of extra attempts of the whole fleet in ten seconds.
RATIO: Final = 0.2
SLACK: Final = 129.0


@final
@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of query.

    :ivar share: part of all queries.
    :ivar work_ms: mean time that a server works on it.
    :ivar coverage: least fraction of the shards that an answer must cover.
    """

    name: str
    share: float
    work_ms: float
    target_ms: float
    deadline_ms: float
    coverage: float
    priority: int = 1


@final
@dataclass(frozen=True, slots=True)
class Burst:
    """Load and fleet of one replay.

    :ivar calm_per_s: queries a second before and after the burst.
    :ivar times: multiple of it during the burst.
    """

    times: float
    calm_per_s: float = 45
    start_s: float = 4
    length_s: float = 8
    end_s: float = 18
    vms: int = 20
    shards: int = 20
    replicas: int = 2
    slots: int = 2
    queue: int = 12
    pause_ms: float = 250
    pause_every_s: float = 6
    kinds: tuple[Kind, ...] = (
        Kind('full', 0.75, 42, 247, 2001, 0.89),
        Kind('urgent', 0.25, 13.8, 95.4, 801, 0.75, 2),
    )

    def rate_at(self, at_s: float) -> float:
        """Return the queries a second at a time."""
        is_burst = self.start_s <= at_s < self.start_s + self.length_s
        times = self.times if is_burst else 1
        return self.calm_per_s * times


@final
@dataclass(slots=True)
class Outcomes:
    """How the queries of a replay ended, by second of their start."""

    asked: Counter[int] = field(default_factory=Counter)
    in_time: Counter[int] = field(default_factory=Counter)
    #: Served in time counted from a second try, after a refusal.
    returned: Counter[int] = field(default_factory=Counter)
    late: Counter[int] = field(default_factory=Counter)
    refused: Counter[int] = field(default_factory=Counter)
    failed: Counter[int] = field(default_factory=Counter)
    by_kind: Counter[tuple[str, str]] = field(default_factory=Counter)
    held_ms: list[float] = field(default_factory=list)
    sub_requests: int = 0

    def note(self, kind: str, start_s: float, name: str) -> None:
        """Count a query by the second of its start."""
        second = int(start_s)
        counts: Counter[int] = getattr(self, name)
        counts[second] += 1
        self.asked[second] += 1
        self.by_kind[kind, name] += 1

    def total(self, counts: Counter[int], burst: Burst) -> int:
        """Sum the counts of a burst's seconds, the first one left out."""
        first = int(burst.start_s) + 1
        return sum(
            counts[second]
            for second in range(first, int(burst.start_s + burst.length_s))
        )
