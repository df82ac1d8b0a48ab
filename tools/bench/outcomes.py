"""How offered requests ended, and what that says of a run."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

from hdrh.histogram import HdrHistogram

__all__ = ('Ending', 'Outcome', 'Summary', 'summarize')

_US_PER_MS: Final = 1000
_HIGHEST_US: Final = 60_000_000
_DIGITS: Final = 3
_P50: Final = 50
_P99: Final = 99


@unique
class Ending(Enum):
    """How one request ended for its caller."""

    WHOLE = 'whole'
    PARTIAL = 'partial'
    REFUSED = 'refused'
    FAILED = 'failed'
    # What came does not bear out the coverage stated.
    FALSE = 'false'


@final
@dataclass(frozen=True, slots=True)
class Outcome:
    """One offered request.

    :ivar at_s: when it was due, since the run began.
    :ivar elapsed_ms: from when it was due, so that a late send counts.
    :ivar reason: of a refusal, or the kind of failure.
    """

    customer: str
    at_s: float
    elapsed_ms: float
    ending: Ending
    reason: str = ''


@final
@dataclass(frozen=True, slots=True)
class Summary:
    """What a set of outcomes says.

    :ivar useful: whole answers inside the limit.
    :ivar p50_ms: over answers, whole or partial.
    """

    offered: int
    useful: int
    endings: Counter[Ending]
    reasons: Counter[str]
    p50_ms: float
    p99_ms: float

    @property
    def useful_fraction(self) -> float:
        """Share of offered requests that got a useful answer."""
        return self.useful / self.offered if self.offered else 0


def summarize(outcomes: Iterable[Outcome], limit_ms: float) -> Summary:
    """Sum up outcomes; an answer is useful inside the limit."""
    listed = tuple(outcomes)
    histogram = HdrHistogram(1, _HIGHEST_US, _DIGITS)
    for elapsed_ms in _answer_times_ms(listed):
        histogram.record_value(int(elapsed_ms * _US_PER_MS))
    return Summary(
        offered=len(listed),
        useful=sum(_is_useful(each, limit_ms) for each in listed),
        endings=Counter(each.ending for each in listed),
        reasons=Counter(each.reason for each in listed if each.reason),
        p50_ms=histogram.get_value_at_percentile(_P50) / _US_PER_MS,
        p99_ms=histogram.get_value_at_percentile(_P99) / _US_PER_MS,
    )


def _answer_times_ms(outcomes: Iterable[Outcome]) -> Iterator[float]:
    for outcome in outcomes:
        if outcome.ending in {Ending.WHOLE, Ending.PARTIAL}:
            yield outcome.elapsed_ms


def _is_useful(outcome: Outcome, limit_ms: float) -> bool:
    return outcome.ending is Ending.WHOLE and outcome.elapsed_ms <= limit_ms
