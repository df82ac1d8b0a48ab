"""Takes callers' requests and has each served by its route."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, final

from ..catalog.catalog import Catalog
from ..catalog.routes import Gather
from ..placing.shard_choice import unreachable_shards
from .gather_run import GatherRun
from .pacing import HEDGE_QUANTILE, Pacing, pace_of
from .requests import Answer, CallerRequest, refusal
from .single_run import SingleRun
from .tools import RunTools

__all__ = ('Gateway',)

#: A VM that has just started knows the routes within about this time.
_START_RETRY_AFTER_MS: Final = 400.0
#: Less time than this is not enough to ask any server.
_LEAST_LEFT_MS: Final = 2.0
#: While too few shards can be reached, one query in this time is let through.
_HOPELESS_PROBE_MS: Final = 700.0


@final
class Gateway:
    """Chooses the route of a request and starts its run."""

    def __init__(
        self, catalog: Catalog, tools: RunTools, pacing: Pacing
    ) -> None:
        """Serve from what the catalog holds."""
        self._catalog = catalog
        self._tools = tools
        self._pacing = pacing
        self._probed_ms = float('-inf')

    def handle(
        self,
        request: CallerRequest,
        give: Callable[[Answer], None],
    ) -> None:
        """Serve a request; gives its answer once, unless its caller goes."""
        routes = self._catalog.routes
        if routes is None or not self._catalog.usable:
            self._refuse(
                request,
                give,
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no routes known yet',
                _START_RETRY_AFTER_MS,
            )
            return
        route = routes.find(request.host, request.path)
        if route is None:
            self._refuse(request, give, HTTPStatus.NOT_FOUND, 'no such route')
            return
        if request.time_left_ms < _LEAST_LEFT_MS:
            self._refuse(
                request,
                give,
                HTTPStatus.SERVICE_UNAVAILABLE,
                'too little time left',
            )
            return
        if route.gather and self._is_hopeless(route.gather):
            again_ms = self._tools.random.uniform(
                _HOPELESS_PROBE_MS, 2 * _HOPELESS_PROBE_MS
            )
            self._refuse(
                request,
                give,
                HTTPStatus.SERVICE_UNAVAILABLE,
                'too few shards can be reached',
                again_ms,
            )
            return
        high_ms = self._tools.times.quantile_ms(route.name, HEDGE_QUANTILE)
        pace = pace_of(request, route, high_ms, self._pacing)
        run = GatherRun if route.gather else SingleRun
        run(request, route, pace, self._tools, give).start()

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

    def _refuse(
        self,
        request: CallerRequest,
        give: Callable[[Answer], None],
        status: HTTPStatus,
        reason: str,
        retry_after_ms: float | None = None,
    ) -> None:
        routes = self._catalog.routes
        self._tools.log.event(
            'request_refused',
            request=request.log_id,
            status=status.value,
            reason=reason,
            host=request.host,
            target=request.target.decode('latin-1'),
            routes_version=routes.version if routes else None,
        )
        give(refusal(status, reason, retry_after_ms))
