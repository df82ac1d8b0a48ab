"""Runs callers' queries and measures how they ended."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from ..model.contract import Contract
from ..model.verdict import Reason, Verdict
from ..operations.labels import Hop
from ..operations.metrics import Metrics
from ..query.execution import QueryExecution
from ..query.messages import Answer, Query
from ..query.shared_state import SharedQueryState
from .bodies import QueryBody
from .request_reader import Arrival
from .runner import ExecutionRunner

__all__ = ('Admission', 'QueryService')

#: Says whether a customer may have this many sub-requests now, ``None`` if
#: it may; what was admitted is given back when the request has ended.
Admission = Callable[[Contract, int, float], Verdict | None]


@final
@dataclass(frozen=True, slots=True)
class QueryService:
    """What every query of this daemon shares."""

    runner: ExecutionRunner
    shared_state: SharedQueryState
    admit: Admission
    release: Callable[[Contract], None]
    metrics: Metrics
    clock: Callable[[], float]

    async def answer(self, arrival: Arrival[QueryBody]) -> Answer:
        """Run one query to its answer."""
        contract = _tighten(arrival.contract, arrival.body)
        cost = len(arrival.workload.snapshots[0].shards)
        refusal = self.admit(contract, cost, self.clock())
        if refusal is not None:
            return Answer(refusal)
        try:
            finish = await self.runner.run(self._execution(arrival, contract))
        finally:
            self.release(contract)
        self._measure(arrival, finish.answer)
        return finish.answer

    def _execution(
        self,
        arrival: Arrival[QueryBody],
        contract: Contract,
    ) -> QueryExecution:
        query = Query(
            request=arrival.request,
            contract=contract,
            workload=arrival.workload.workload,
            query_json=json.dumps(arrival.body.query),
            deadline_ms=arrival.arrived_ms + contract.deadline_ms,
        )
        return QueryExecution(query, self.shared_state)

    def _measure(self, arrival: Arrival[QueryBody], answer: Answer) -> None:
        customer = arrival.contract.customer
        elapsed_ms = self.clock() - arrival.arrived_ms
        self.metrics.observe(Hop.QUERY, customer, elapsed_ms)
        for reason, count in answer.events.items():
            self.metrics.retries[reason] += count
        if answer.coverage is None or answer.verdict.reason is not Reason.OK:
            counts = self.metrics.customers.of(customer)
            counts.add_work(answer.extra_load, answer.primaries)
            return
        self.metrics.count_answer(
            customer,
            answer.coverage,
            answer.extra_load,
            answer.primaries,
            within_contract=(
                elapsed_ms <= arrival.contract.p99_ms
                and answer.coverage.fraction
                >= arrival.contract.minimum_coverage
            ),
        )


def _tighten(contract: Contract, body: QueryBody) -> Contract:
    """Let the caller ask for more than the contract, never for less."""
    changes: dict[str, float] = {}
    if body.deadline_ms is not None:
        deadline_ms = min(body.deadline_ms, contract.deadline_ms)
        changes['deadline_ms'] = deadline_ms
        changes['p99_ms'] = min(deadline_ms, contract.p99_ms)
    if body.minimum_coverage is not None:
        changes['minimum_coverage'] = max(
            body.minimum_coverage,
            contract.minimum_coverage,
        )
    return contract.model_copy(update=changes) if changes else contract
