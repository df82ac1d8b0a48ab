"""What is counted for each customer, for a bounded number of customers."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final, final

from ..model.coverage import Coverage
from ..model.ids import CustomerId
from ..model.verdict import Reason
from .labels import Hop
from .latency import LatencyHistogram

__all__ = ('OTHER_CUSTOMERS', 'CustomerCounts', 'CustomerTable')

#: Where customers are counted once the table is full.
OTHER_CUSTOMERS: Final = CustomerId('(others)')

_Latencies = dict[Hop, LatencyHistogram]


@final
@dataclass(slots=True)
class CustomerCounts:
    """Counts of one customer since the process started.

    :ivar answers: queries answered, whole or in part.
    :ivar complete: answers that cover every shard.
    :ivar within_contract: answers as fast and as complete as promised.
    :ivar shards_answered: summed over all answers.
    :ivar shards_asked: shards of the pinned shard maps, summed likewise.
    :ivar primaries: first attempts, one for each shard asked.
    :ivar extra_load: hedges and retries on top of them.
    """

    answers: int = 0
    complete: int = 0
    within_contract: int = 0
    shards_answered: int = 0
    shards_asked: int = 0
    primaries: int = 0
    extra_load: int = 0
    refusals: Counter[Reason] = field(default_factory=Counter)
    latencies: _Latencies = field(default_factory=dict)

    def add_coverage(self, coverage: Coverage) -> None:
        """Count one answer's coverage."""
        self.answers += 1
        self.complete += coverage.complete
        self.shards_answered += coverage.answered
        self.shards_asked += coverage.total

    def add_work(self, extra_load: int, primaries: int) -> None:
        """Count what a query cost, also one that was refused at last."""
        self.extra_load += extra_load
        self.primaries += primaries

    def latency(self, hop: Hop) -> LatencyHistogram:
        """Give the histogram of one hop, empty at first."""
        histogram = self.latencies.get(hop)
        if histogram is None:
            histogram = LatencyHistogram()
            self.latencies[hop] = histogram
        return histogram


@final
class CustomerTable:
    """Counts by customer; those beyond the bound are counted together."""

    def __init__(self, max_customers: int) -> None:
        """Start empty.

        :param max_customers: as many are counted apart.
        """
        self._max_customers = max_customers
        self._counts: dict[CustomerId, CustomerCounts] = {}

    def of(self, customer: CustomerId) -> CustomerCounts:
        """Give the counts of a customer, or those of all the others."""
        counts = self._counts.get(customer)
        if counts is not None:
            return counts
        if len(self._counts) >= self._max_customers:
            customer = OTHER_CUSTOMERS
        return self._counts.setdefault(customer, CustomerCounts())

    def items(self) -> tuple[tuple[CustomerId, CustomerCounts], ...]:
        """List customers by name with their counts."""
        return tuple(sorted(self._counts.items()))

    def prepare(self) -> Iterator[None]:
        """Prepare every summary, one histogram in each step."""
        for counts in tuple(self._counts.values()):
            for histogram in tuple(counts.latencies.values()):
                histogram.prepare()
                yield
