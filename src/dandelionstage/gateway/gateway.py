"""Takes callers' requests and has each served by its route."""

from collections.abc import Callable
from enum import Enum, unique
from http import HTTPStatus
from types import MappingProxyType
from typing import Final, final

from ..catalog.catalog import Catalog
from ..catalog.routes import Gather, Route
from ..placing.shard_choice import unreachable_shards
from .gather_run import GatherRun
from .request_schedule import (
    NetworkMargins,
    schedule_request,
    slow_threshold_ms,
)
from .requests import Answer, CallerRequest, refusal
from .run_context import RunContext
from .single_run import SingleRun

__all__ = ('Gateway', 'Refused')

#: Less time than this is not enough to ask any server.
_LEAST_LEFT_MS: Final = 2.0
#: While too few shards can be reached, one query in this time is let through.
_HOPELESS_PROBE_MS: Final = 700.0
#: Of answers that took no unusual decision, one in so many is logged.
_SAMPLED_EVERY: Final = 50


@unique
class Refused(Enum):
    """Why a request is refused before anything is sent."""

    STARTING = 'no routes known yet'
    NO_ROUTE = 'no such route'
    EXPIRED = 'too little time left'
    UNREACHABLE = 'too few shards can be reached'


#: When a refused caller may come back, at the least.  A VM that has just
#: started knows the routes within about 300 ms.
_RETRY_AFTER_MS: Final = MappingProxyType(
    {
        Refused.STARTING: 300.0,
        Refused.UNREACHABLE: _HOPELESS_PROBE_MS,
    },
)


@final
class Gateway:  # noqa: WPS214 -- one decision a method
    """Chooses the route of a request and starts its run."""

    def __init__(
        self, catalog: Catalog, tools: RunContext, pacing: NetworkMargins
    ) -> None:
        """Serve from what the catalog holds."""
        self._catalog = catalog
        self._tools = tools
        self._pacing = pacing
        self._probed_ms = float('-inf')
        self._served = 0

    def handle(
        self,
        request: CallerRequest,
        give: Callable[[Answer], None],
    ) -> None:
        """Serve a request; gives its answer once, unless its caller goes."""
        routes = self._catalog.routes
        if routes is None or not self._catalog.usable:
            give(self._unavailable(request, Refused.STARTING))
            return
        route = routes.find(request.host, request.path)
        if route is None:
            give(self._refuse(request, HTTPStatus.NOT_FOUND, Refused.NO_ROUTE))
        elif request.time_left_ms < _LEAST_LEFT_MS:
            give(self._unavailable(request, Refused.EXPIRED))
        elif route.gather and self._is_hopeless(route.gather):
            give(self._unavailable(request, Refused.UNREACHABLE))
        else:
            self._run(request, route, give)

    def _run(
        self,
        request: CallerRequest,
        route: Route,
        give: Callable[[Answer], None],
    ) -> None:
        slow_ms = slow_threshold_ms(self._tools.response_times, route.name)
        lag_ms = (
            self._tools.answer_lag.lag_ms
            + self._tools.delivery_times.lag_ms(route)
        )
        schedule = schedule_request(
            request, route, slow_ms, self._pacing, lag_ms
        )
        request.timed_route = route.name
        run = GatherRun if route.gather else SingleRun
        run(
            request,
            route,
            schedule,
            self._tools,
            lambda answer: self._give(request, route, give, answer),
        ).start()

    def _give(
        self,
        request: CallerRequest,
        route: Route,
        give: Callable[[Answer], None],
        answer: Answer,
    ) -> None:
        """Answer, count it, and log it when it is late or one of many."""
        elapsed_ms = self._tools.now_ms() - request.arrived_ms
        self._tools.log.counts.answer(route.name, answer.status, elapsed_ms)
        self._served += 1
        is_late = elapsed_ms > route.target_ms
        if is_late or self._served % _SAMPLED_EVERY == 0:
            routes = self._catalog.routes
            self._tools.log.event(
                'answered_late' if is_late else 'answered',
                request=request.log_id,
                route=route.name,
                status=answer.status,
                waited_ms=round(elapsed_ms, 1),
                target_ms=route.target_ms,
                routes_version=routes.version if routes else None,
            )
        give(answer)

    def _is_hopeless(self, gather: Gather) -> bool:
        """Whether no answer is possible, as far as is known.

        Now and then a query is let through to find out.
        """
        now_ms = self._tools.now_ms()
        if not unreachable_shards(gather, self._tools.replicas, now_ms):
            return False
        if now_ms - self._probed_ms >= _HOPELESS_PROBE_MS:
            self._probed_ms = now_ms
            return False
        return True

    def _unavailable(self, request: CallerRequest, reason: Refused) -> Answer:
        """Refuse what has not run and tell when to come back.

        The wait is random, so that callers do not come back together.
        """
        least_ms = _RETRY_AFTER_MS.get(reason)
        again_ms = None
        if least_ms is not None:
            again_ms = self._tools.random.uniform(least_ms, 2 * least_ms)
        return self._refuse(
            request, HTTPStatus.SERVICE_UNAVAILABLE, reason, again_ms
        )

    def _refuse(
        self,
        request: CallerRequest,
        status: HTTPStatus,
        reason: Refused,
        retry_after_ms: float | None = None,
    ) -> Answer:
        routes = self._catalog.routes
        self._tools.log.event(
            'request_refused',
            request=request.log_id,
            status=status.value,
            reason=reason.value,
            host=request.host,
            target=request.target.decode('latin-1'),
            routes_version=routes.version if routes else None,
        )
        return refusal(status, reason.value, retry_after_ms)
