"""The ASGI application for callers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final, TypeVar, final

from loguru import logger
from returns.result import Failure, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..model.ids import CustomerId, RequestId
from ..model.topology import WorkloadKind
from ..model.verdict import Reason, Run, Verdict
from ..operations.logs import FaultLog, request_context
from ..operations.metrics import Metrics
from .action_service import ActionService
from .bodies import ActionBody, CallerBody, QueryBody, TicketBody
from .query_service import QueryService
from .request_reader import Arrival, RequestReader
from .responses import (
    answer_response,
    outcome_response,
    refusal_response,
    ticket_response,
)

__all__ = ('CallerApi', 'caller_app')

#: Counted under this name while the customer is not known.
_NOBODY: Final = CustomerId('(unknown)')

_AnyBody = TypeVar('_AnyBody', bound=CallerBody)
_Handler = Callable[[Arrival[_AnyBody]], Awaitable[Response]]


@final
@dataclass(frozen=True, slots=True)
class CallerApi:
    """Answers callers; whatever goes wrong, the reply is typed.

    :ivar wall_s: seconds since 1970, to state a snapshot's age.
    :ivar faults: logs refusals at a bounded rate.
    """

    reader: RequestReader
    queries: QueryService
    actions: ActionService
    metrics: Metrics
    wall_s: Callable[[], float]
    faults: FaultLog = field(default_factory=FaultLog)

    async def query(self, request: Request) -> Response:
        """Serve ``POST /v1/query``."""
        return await self._serve(
            await self.reader.admit(
                request,
                WorkloadKind.SEARCH,
                QueryBody,
            ),
            self._answer,
        )

    async def mint(self, request: Request) -> Response:
        """Serve ``POST /v1/tickets``."""
        return await self._serve(
            await self.reader.admit(
                request,
                WorkloadKind.ACTIONS,
                TicketBody,
            ),
            self._mint,
        )

    async def act(self, request: Request) -> Response:
        """Serve ``POST /v1/actions``."""
        return await self._serve(
            await self.reader.admit(
                request,
                WorkloadKind.ACTIONS,
                ActionBody,
            ),
            self._act,
        )

    async def _serve(
        self,
        arrival: Result[Arrival[_AnyBody], Verdict],
        handle: _Handler[_AnyBody],
    ) -> Response:
        if isinstance(arrival, Failure):
            verdict = arrival.failure()
            _note_refusal(self, verdict, _NOBODY)
            return refusal_response(RequestId(''), verdict)
        admitted = arrival.unwrap()
        with request_context(admitted.request):
            return await _guard(admitted, handle)

    async def _answer(self, arrival: Arrival[QueryBody]) -> Response:
        answer = await self.queries.answer(arrival)
        if answer.verdict.reason is Reason.OK:
            return answer_response(arrival.request, answer, self.wall_s())
        _note_refusal(self, answer.verdict, arrival.contract.customer)
        return refusal_response(arrival.request, answer.verdict)

    async def _mint(self, arrival: Arrival[TicketBody]) -> Response:
        minted = self.actions.mint(arrival)
        if isinstance(minted, Failure):
            verdict = minted.failure()
            _note_refusal(self, verdict, arrival.contract.customer)
            return refusal_response(arrival.request, verdict)
        return ticket_response(minted.unwrap(), self.actions.lifetime_ms)

    async def _act(self, arrival: Arrival[ActionBody]) -> Response:
        ticket, outcome = await self.actions.act(arrival)
        if outcome.verdict.reason is not Reason.OK:
            _note_refusal(self, outcome.verdict, arrival.contract.customer)
        return outcome_response(arrival.request, ticket, outcome)


def caller_app(api: CallerApi) -> Starlette:
    """Build the ASGI application for the caller port."""
    return Starlette(
        routes=[
            Route('/v1/query', api.query, methods=['POST']),
            Route('/v1/tickets', api.mint, methods=['POST']),
            Route('/v1/actions', api.act, methods=['POST']),
        ],
    )


async def _guard(
    arrival: Arrival[_AnyBody],
    handle: _Handler[_AnyBody],
) -> Response:
    """Turn a defect of ours into a typed refusal, once logged."""
    try:
        return await handle(arrival)
    except Exception:
        logger.exception('request failed')
        verdict = Verdict(Run.MAY_HAVE_RUN, Reason.INTERNAL_ERROR)
        return refusal_response(arrival.request, verdict)


def _note_refusal(
    api: CallerApi,
    verdict: Verdict,
    customer: CustomerId,
) -> None:
    api.metrics.count_refusal(verdict.reason, customer)
    api.faults.warn_repeating(
        '{0} {1}'.format(verdict.reason.value, customer),
        'request refused',
        customer=customer,
        reason=verdict.reason.value,
        run=verdict.run.value,
    )
