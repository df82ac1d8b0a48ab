"""Report on the contracts of a fleet."""

from collections.abc import Iterable, Sequence
from typing import final

from pydantic import BaseModel, ConfigDict

from ..model.ids import CustomerId
from ..operations.status import Promise, Status
from .judgement import Judgement, breaches, own_refusals
from .totals import Totals, add_counts, add_up, merge_latency, newest_promise

__all__ = ('CustomerReport', 'FleetReport', 'report_on')


class _Report(BaseModel):
    model_config = ConfigDict(frozen=True)


@final
class CustomerReport(_Report):
    """One customer's contract, and what was delivered.

    :ivar breaches: in which ways the contract is not kept.
    :ivar latency_ms: of whole queries, by quantile.
    """

    customer: CustomerId
    judgement: Judgement
    breaches: tuple[str, ...]
    promise: Promise | None
    totals: Totals
    latency_ms: dict[str, float]


@final
class FleetReport(_Report):
    """Every contract, and the retries of the whole fleet by reason."""

    daemons: int
    silent: tuple[str, ...]
    customers: tuple[CustomerReport, ...]
    retries: dict[str, int]

    @property
    def kept(self) -> bool:
        """Whether every contract is kept and every daemon answered."""
        judgements = {report.judgement for report in self.customers}
        return not self.silent and Judgement.NOT_KEPT not in judgements


def report_on(statuses: Sequence[Status], silent: Iterable[str]) -> FleetReport:
    """Report on everything the daemons counted since they started."""
    customers = {
        customer
        for status in statuses
        for customer in (*status.promises, *status.customers)
    }
    return FleetReport(
        daemons=len(statuses),
        silent=tuple(sorted(silent)),
        customers=tuple(
            _report_on_customer(customer, statuses)
            for customer in sorted(customers)
        ),
        retries=add_counts(status.retries for status in statuses),
    )


def _report_on_customer(
    customer: CustomerId,
    statuses: Sequence[Status],
) -> CustomerReport:
    counted = [
        status.customers[customer]
        for status in statuses
        if customer in status.customers
    ]
    totals = add_up(counted)
    latency = merge_latency(counted)
    promise = newest_promise(customer, statuses)
    found: tuple[str, ...] = ()
    if promise is not None:
        found = tuple(breaches(promise, totals, latency, len(statuses)))
    return CustomerReport(
        customer=customer,
        judgement=_judge(totals, found),
        breaches=found,
        promise=promise,
        totals=totals,
        latency_ms=dict(latency.quantiles_ms),
    )


def _judge(totals: Totals, found: Sequence[str]) -> Judgement:
    if found:
        return Judgement.NOT_KEPT
    if totals.answers or own_refusals(totals):
        return Judgement.KEPT
    return Judgement.NO_TRAFFIC
