"""Defines the ASGI application for callers."""

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
from .request_reader import CallerRequest, RequestReader
from .responses import (
    answer_response,
    outcome_response,
    refusal_response,
    ticket_response,
)

__all__ = ('CallerApi', 'caller_app')

#: Customer in logs and metrics for requests refused while they were read and
#: checked, such as one without a valid key or with an invalid body.
_UNKNOWN_CUSTOMER: Final = CustomerId('(unknown)')

_AnyBody = TypeVar('_AnyBody', bound=CallerBody)
_Handler = Callable[[CallerRequest[_AnyBody]], Awaitable[Response]]


@final
@dataclass(frozen=True, slots=True)
class CallerApi:
    """Handles the requests of callers.

    Every refusal, also after an unexpected exception, is a problem document
    with a reason.

    :ivar reader: reads and checks requests.
    :ivar queries: runs queries.
    :ivar actions: mints tickets and runs actions.
    :ivar metrics: counts refusals.
    :ivar wall_s: returns the wall-clock time in seconds since 1970, from which
        the age of a snapshot is computed.
    :ivar faults: logs refusals at a limited rate.
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
            await self.reader.read(
                request,
                WorkloadKind.SEARCH,
                QueryBody,
            ),
            self._answer,
        )

    async def mint(self, request: Request) -> Response:
        """Serve ``POST /v1/tickets``."""
        return await self._serve(
            await self.reader.read(
                request,
                WorkloadKind.ACTIONS,
                TicketBody,
            ),
            self._mint,
        )

    async def act(self, request: Request) -> Response:
        """Serve ``POST /v1/actions``."""
        return await self._serve(
            await self.reader.read(
                request,
                WorkloadKind.ACTIONS,
                ActionBody,
            ),
            self._act,
        )

    async def _serve(
        self,
        read_result: Result[CallerRequest[_AnyBody], Verdict],
        handle: _Handler[_AnyBody],
    ) -> Response:
        if isinstance(read_result, Failure):
            verdict = read_result.failure()
            _record_refusal(self, verdict, _UNKNOWN_CUSTOMER)
            return refusal_response(RequestId(''), verdict)
        caller_request = read_result.unwrap()
        with request_context(caller_request.request):
            return await _call_handler(caller_request, handle)

    async def _answer(
        self, caller_request: CallerRequest[QueryBody]
    ) -> Response:
        answer = await self.queries.answer(caller_request)
        if answer.verdict.reason is Reason.OK:
            return answer_response(
                caller_request.request, answer, self.wall_s()
            )
        _record_refusal(self, answer.verdict, caller_request.contract.customer)
        return refusal_response(caller_request.request, answer.verdict)

    async def _mint(
        self, caller_request: CallerRequest[TicketBody]
    ) -> Response:
        minted = self.actions.mint(caller_request)
        if isinstance(minted, Failure):
            verdict = minted.failure()
            _record_refusal(self, verdict, caller_request.contract.customer)
            return refusal_response(caller_request.request, verdict)
        return ticket_response(minted.unwrap(), self.actions.lifetime_ms)

    async def _act(self, caller_request: CallerRequest[ActionBody]) -> Response:
        ticket, outcome = await self.actions.act(caller_request)
        if outcome.verdict.reason is not Reason.OK:
            _record_refusal(
                self, outcome.verdict, caller_request.contract.customer
            )
        return outcome_response(caller_request.request, ticket, outcome)


def caller_app(api: CallerApi) -> Starlette:
    """Create the ASGI application for the caller port."""
    return Starlette(
        routes=[
            Route('/v1/query', api.query, methods=['POST']),
            Route('/v1/tickets', api.mint, methods=['POST']),
            Route('/v1/actions', api.act, methods=['POST']),
        ],
    )


async def _call_handler(
    caller_request: CallerRequest[_AnyBody],
    handle: _Handler[_AnyBody],
) -> Response:
    """Call a handler; log an unexpected exception and refuse the request."""
    try:
        return await handle(caller_request)
    except Exception:
        logger.exception(
            'exception in a request handler; answered with internal_error'
        )
        verdict = Verdict(Run.MAY_HAVE_RUN, Reason.INTERNAL_ERROR)
        return refusal_response(caller_request.request, verdict)


def _record_refusal(
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
