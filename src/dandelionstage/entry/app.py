"""The ASGI application for callers."""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar, final

from loguru import logger
from returns.result import Failure, Result, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..model.ids import CustomerId, RequestId
from ..model.topology import WorkloadKind
from ..model.verdict import Reason, Run, Verdict
from ..operations.logs import request_context
from ..operations.metrics import Metrics
from .arrivals import Arrival, Gatekeeper
from .bodies import CallerBody, QueryBody
from .query_service import QueryService
from .responses import answer_response, refusal_response

__all__ = ('CallerApi', 'caller_app')

#: Counted under this name while the customer is not known.
_NOBODY: Final = CustomerId('(unknown)')

_AnyBody = TypeVar('_AnyBody', bound=CallerBody)
_Handler = Callable[[Arrival[_AnyBody]], Awaitable[Response]]


@final
class CallerApi:
    """Answers callers; whatever goes wrong, the reply is typed."""

    def __init__(
        self,
        gatekeeper: Gatekeeper,
        queries: QueryService,
        metrics: Metrics,
        wall_s: Callable[[], float],
    ) -> None:
        """Join the services that answer.

        :param wall_s: seconds since 1970, to state a snapshot's age.
        """
        self._gatekeeper = gatekeeper
        self._queries = queries
        self._metrics = metrics
        self._wall_s = wall_s

    async def query(self, request: Request) -> Response:
        """Serve ``POST /v1/query``."""
        arrival = await self._gatekeeper.admit(
            request,
            WorkloadKind.SEARCH,
            QueryBody,
        )
        return await self._serve(arrival, self._answer)

    async def _serve(
        self,
        arrival: Result[Arrival[_AnyBody], Verdict],
        handle: _Handler[_AnyBody],
    ) -> Response:
        match arrival:
            case Success(admitted):
                with request_context(admitted.request):
                    return await _guard(admitted, handle)
            case Failure(verdict):
                self._metrics.count_refusal(verdict.reason, _NOBODY)
                return refusal_response(RequestId(''), verdict)
        raise AssertionError('a result is a success or a failure')

    async def _answer(self, arrival: Arrival[QueryBody]) -> Response:
        answer = await self._queries.answer(arrival)
        if answer.verdict.reason is Reason.OK:
            return answer_response(arrival.request, answer, self._wall_s())
        self._metrics.count_refusal(
            answer.verdict.reason,
            arrival.contract.customer,
        )
        return refusal_response(arrival.request, answer.verdict)


def caller_app(api: CallerApi) -> Starlette:
    """Build the ASGI application for the caller port."""
    return Starlette(
        routes=[Route('/v1/query', api.query, methods=['POST'])],
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
