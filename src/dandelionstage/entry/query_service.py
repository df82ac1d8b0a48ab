"""Runs callers' queries and records their metrics."""

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
from .request_reader import CallerRequest
from .runner import ExecutionRunner

__all__ = ('Admission', 'QueryService')

#: Returns ``None`` if a request is admitted, otherwise the refusal.  The
#: arguments are the contract, the number of sub-requests and the monotonic
#: time in milliseconds.  An admitted request is released when it ends.
Admission = Callable[[Contract, int, float], Verdict | None]


@final
@dataclass(frozen=True, slots=True)
class QueryService:
    """Runs the queries that callers send to this daemon.

    :ivar runner: runs the query executions.
    :ivar shared_state: routing, retry budgets and statistics that all query
        executions share.
    :ivar admit: admits or refuses a query.
    :ivar release: releases an admitted query.
    :ivar metrics: records latencies, retries and answers.
    :ivar clock: returns the monotonic time in milliseconds.
    """

    runner: ExecutionRunner
    shared_state: SharedQueryState
    admit: Admission
    release: Callable[[Contract], None]
    metrics: Metrics
    clock: Callable[[], float]

    async def answer(self, caller_request: CallerRequest[QueryBody]) -> Answer:
        """Run one query and return its answer."""
        contract = _tighten_contract(
            caller_request.contract, caller_request.body
        )
        # One sub-request for each shard of the newest snapshot.
        cost = len(caller_request.workload.snapshots[0].shards)
        refusal = self.admit(contract, cost, self.clock())
        if refusal is not None:
            return Answer(refusal)
        try:
            finish = await self.runner.run(
                self._make_execution(caller_request, contract)
            )
        finally:
            self.release(contract)
        self._record_metrics(caller_request, finish.answer)
        return finish.answer

    def _make_execution(
        self,
        caller_request: CallerRequest[QueryBody],
        contract: Contract,
    ) -> QueryExecution:
        query = Query(
            request=caller_request.request,
            contract=contract,
            workload=caller_request.workload.workload,
            query_json=json.dumps(caller_request.body.query),
            deadline_ms=caller_request.arrived_ms + contract.deadline_ms,
        )
        return QueryExecution(query, self.shared_state)

    def _record_metrics(
        self, caller_request: CallerRequest[QueryBody], answer: Answer
    ) -> None:
        customer = caller_request.contract.customer
        elapsed_ms = self.clock() - caller_request.arrived_ms
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
                elapsed_ms <= caller_request.contract.p99_ms
                and answer.coverage.fraction
                >= caller_request.contract.minimum_coverage
            ),
        )


def _tighten_contract(contract: Contract, body: QueryBody) -> Contract:
    """Return the contract with the caller's limits where they are stricter."""
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
