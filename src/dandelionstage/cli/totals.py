"""Add up what several daemons counted of one customer."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import final

from pydantic import BaseModel, ConfigDict

from ..model.ids import CustomerId, DocumentKey, Revision
from ..operations.labels import Hop
from ..operations.latency import LatencySummary, merged
from ..operations.status import CustomerStatus, Promise, Status

__all__ = ('Totals', 'add_counts', 'add_up', 'newest_promise')


@final
class Totals(BaseModel):
    """Counts of one customer over all daemons that answered."""

    model_config = ConfigDict(frozen=True)

    answers: int = 0
    complete: int = 0
    within_contract: int = 0
    shards_answered: int = 0
    shards_asked: int = 0
    primaries: int = 0
    extra_load: int = 0
    refusals: dict[str, int] = {}


def add_up(statuses: Sequence[CustomerStatus]) -> Totals:
    """Add up counts, field by field."""
    return Totals(
        answers=sum(status.answers for status in statuses),
        complete=sum(status.complete for status in statuses),
        within_contract=sum(status.within_contract for status in statuses),
        shards_answered=sum(status.shards_answered for status in statuses),
        shards_asked=sum(status.shards_asked for status in statuses),
        primaries=sum(status.primaries for status in statuses),
        extra_load=sum(status.extra_load for status in statuses),
        refusals=add_counts(status.refusals for status in statuses),
    )


def add_counts(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Add up counters that share names."""
    total: Counter[str] = Counter()
    for one in counts:
        total.update(one)
    return dict(total.most_common())


def merge_latency(statuses: Iterable[CustomerStatus]) -> LatencySummary:
    """Merge the latencies of whole queries."""
    hops = [status.hops.get(Hop.QUERY.value) for status in statuses]
    encoded = tuple(hop.histogram for hop in hops if hop is not None)
    return merged(encoded).summary()


def newest_promise(
    customer: CustomerId,
    statuses: Iterable[Status],
) -> Promise | None:
    """Find the newest revision of a contract among the daemons."""
    key = DocumentKey('contract/{0}'.format(customer))
    held = [
        (status.documents.get(key, Revision(0)), status.promises[customer])
        for status in statuses
        if customer in status.promises
    ]
    newest = max(held, key=lambda pair: pair[0], default=None)
    return newest[1] if newest else None
