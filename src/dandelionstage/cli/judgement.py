"""Judge whether a contract is kept."""

from collections.abc import Iterator
from enum import Enum, unique
from typing import Final

from ..model.verdict import Reason
from ..operations.latency import LatencySummary
from ..operations.status import Promise
from ..retries.budget import BUCKET_PRIMARIES
from .totals import Totals

__all__ = ('Judgement', 'breaches', 'own_refusals')

#: The share of answers that a contract speaks of.
_KEPT_SHARE: Final = 0.99
_KEPT_QUANTILE: Final = '0.99'

#: Refusals that the customer itself brought about.
_BY_CUSTOMER: Final = frozenset(
    reason.value
    for reason in (
        Reason.BAD_REQUEST,
        Reason.BODY_TOO_LARGE,
        Reason.UNAUTHORIZED,
        Reason.UNKNOWN_CUSTOMER,
        Reason.UNKNOWN_WORKLOAD,
        Reason.WORKLOAD_NOT_ALLOWED,
        Reason.UNKNOWN_TICKET,
        Reason.TICKET_EXPIRED,
        Reason.TICKET_REUSED,
        Reason.KEY_WITHOUT_TICKET,
        Reason.QUOTA_EXCEEDED,
    )
)


@unique
class Judgement(Enum):
    """Whether a contract is kept, as far as the daemons counted."""

    KEPT = 'kept'
    NOT_KEPT = 'not_kept'
    NO_TRAFFIC = 'no_traffic'


def own_refusals(totals: Totals) -> int:
    """Count the refusals that the customer did not bring about."""
    return sum(
        count
        for reason, count in totals.refusals.items()
        if reason not in _BY_CUSTOMER
    )


def breaches(
    promise: Promise,
    totals: Totals,
    latency: LatencySummary,
    daemons: int,
) -> Iterator[str]:
    """Say in which ways a contract is not kept."""
    p99_ms = latency.quantiles_ms[_KEPT_QUANTILE]
    if p99_ms > promise.p99_ms:
        breach = 'p99 is {0:.0f} ms, promised {1} ms'
        yield breach.format(p99_ms, promise.p99_ms)
    due = totals.answers + own_refusals(totals)
    if totals.within_contract < _KEPT_SHARE * due:
        breach = '{0} of {1} requests were answered as promised'
        yield breach.format(totals.within_contract, due)
    saved = BUCKET_PRIMARIES * daemons
    allowed = promise.extra_load_fraction * (totals.primaries + saved)
    if totals.extra_load > allowed:
        breach = '{0} extra attempts, allowed {1:.0f}'
        yield breach.format(totals.extra_load, allowed)
