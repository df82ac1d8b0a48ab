"""Everything a daemon counts and measures about itself."""

from collections import Counter
from collections.abc import Callable
from typing import Final, final

from prometheus_client import (
    CollectorRegistry,
    ProcessCollector,
    generate_latest,
)

from ..model.coverage import Coverage
from ..model.ids import CustomerId
from ..model.verdict import Reason
from .collector import Gauge, MetricsCollector
from .counts import CustomerTable
from .labels import Event, Hop

__all__ = ('Metrics',)

_MAX_CUSTOMERS: Final = 200


@final
class Metrics:
    """Counts and latencies since the process started.

    :ivar refusals: by reason, each present at zero from the start.
    :ivar retries: hedges and retries by what caused them, likewise.
    :ivar events: everything else that is counted, likewise.
    :ivar event_sources: counts kept elsewhere, added when rendering.
    :ivar customers: counts and latencies by customer.
    :ivar gauges: read whenever the metrics are rendered; add to it.
    """

    def __init__(self, max_customers: int = _MAX_CUSTOMERS) -> None:
        """Start every counter at zero.

        :param max_customers: as many customers are counted apart.
        """
        self.refusals = Counter(dict.fromkeys(Reason, 0))
        self.retries = Counter(dict.fromkeys(Reason, 0))
        self.events = Counter(dict.fromkeys(Event, 0))
        self.event_sources: dict[Event, Callable[[], int]] = {}
        self.customers = CustomerTable(max_customers)
        self.gauges: list[Gauge] = []
        self._registry = CollectorRegistry(auto_describe=False)
        ProcessCollector(namespace='dandelionstage', registry=self._registry)
        self._registry.register(
            MetricsCollector(
                refusals=self.refusals,
                retries=self.retries,
                events=self.events,
                event_sources=self.event_sources,
                customers=self.customers,
                gauges=self.gauges,
            ),
        )

    def count_refusal(self, reason: Reason, customer: CustomerId) -> None:
        """Count a request that was refused."""
        self.refusals[reason] += 1
        self.customers.of(customer).refusals[reason] += 1

    def count_retry(self, reason: Reason) -> None:
        """Count an attempt beyond the first, by what caused it."""
        self.retries[reason] += 1

    def count_event(self, event: Event, amount: int = 1) -> None:
        """Count something that happened."""
        self.events[event] += amount

    def observe(
        self,
        hop: Hop,
        customer: CustomerId,
        elapsed_ms: float,
    ) -> None:
        """Record how long a request took on one hop."""
        self.customers.of(customer).latency(hop).record(elapsed_ms)

    def count_answer(
        self,
        customer: CustomerId,
        coverage: Coverage,
        extra_load: int,
        primaries: int,
        *,
        within_contract: bool,
    ) -> None:
        """Count an answer.

        :param extra_load: hedges and retries that the answer cost.
        :param primaries: first attempts, one for each shard.
        :param within_contract: as fast and as complete as promised.
        """
        counts = self.customers.of(customer)
        counts.add_coverage(coverage)
        counts.within_contract += within_contract
        counts.add_work(extra_load, primaries)

    def render(self) -> bytes:
        """Write everything in the Prometheus text format."""
        return generate_latest(self._registry)
