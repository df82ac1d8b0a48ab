"""Routes requests of callers and starts their processing."""

from collections.abc import Callable
from enum import Enum, unique
from functools import partial
from http import HTTPStatus
from types import MappingProxyType
from typing import Final, final

from ..catalog.catalog import Catalog
from ..catalog.routes import Gather, RepeatPolicy, Route
from ..placing.deadly_requests import TRIAL_MS, Verdict
from ..placing.shard_choice import (
    is_limited,
    is_unservable,
    quiet_left_ms,
    unreachable_shards,
)
from .gather_run import GatherRun
from .held_requests import HeldRequests
from .request_schedule import (
    NetworkMargins,
    schedule_request,
    slow_threshold_ms,
)
from .requests import Answer, CallerRequest, error_answer
from .run_context import RunContext
from .single_run import SingleRun

__all__ = ('Gateway', 'RefusalReason')

#: Requests with less time left than this are refused.
_MIN_TIME_LEFT_MS: Final = 2.0
#: While too few shards are reachable, one query per interval is let through as
#: a probe.
_UNREACHABLE_PROBE_INTERVAL_MS: Final = 700.0
#: One in this many answers is logged even if it is in time.
_LOG_SAMPLE_INTERVAL: Final = 50


@unique
class RefusalReason(Enum):
    """Reasons why a request is refused before anything is sent."""

    STARTING = 'no routes known yet'
    NO_ROUTE = 'no such route'
    EXPIRED = 'too little time left'
    UNREACHABLE = 'too few shards can be reached'
    OVERLOADED = 'more queries than the servers can answer in time'
    LIMITED = 'servers of too many shards limit their requests'
    DEADLY = 'servers end when they run this request'
    STOPPING = 'this VM is stopping'
    SUSPECT = 'servers ended while they had this request'
    CUT_OFF = 'data centre is cut off from the servers of too many shards'


#: Minimum delay before a refused caller may retry; the delay is random, up to
#: twice this.  A VM that has just started knows the routes within about 300 ms.
_RETRY_AFTER_MS: Final = MappingProxyType(
    {
        RefusalReason.STARTING: 300.0,
        RefusalReason.UNREACHABLE: _UNREACHABLE_PROBE_INTERVAL_MS,
        RefusalReason.OVERLOADED: 250.0,
        RefusalReason.LIMITED: 250.0,
        RefusalReason.SUSPECT: TRIAL_MS,
        # At once, as other VMs serve new connections.
        RefusalReason.STOPPING: 10.0,
        # Soon, as new connections then go to another data centre.
        RefusalReason.CUT_OFF: 200.0,
    },
)


def _never_late() -> float:
    """Return infinity, as this VM does not stop."""
    return float('inf')


@final
class Gateway:  # noqa: WPS214 -- one decision a method
    """Chooses the route of a request and starts a run that serves it."""

    def __init__(
        self,
        catalog: Catalog,
        context: RunContext,
        margins: NetworkMargins,
        late_left_ms: Callable[[], float] = _never_late,
    ) -> None:
        """Create a gateway that reads its routes from a catalog.

        :param late_left_ms: returns how much time this VM has left while it
            stops and finishes requests, infinity before that.
        """
        self._late_left_ms = late_left_ms
        self._catalog = catalog
        self._context = context
        self._margins = margins
        self._last_probe_ms = float('-inf')
        self._served_count = 0
        self._held = HeldRequests(context)

    def handle(
        self,
        request: CallerRequest,
        send_answer: Callable[[Answer], None],
    ) -> None:
        """Serve a request.

        :param send_answer: called once with the answer, unless the caller
            disconnects first.
        """
        routes = self._catalog.routes
        if routes is None or not self._catalog.usable:
            self._wait_for_routes(request, send_answer)
            return
        route = routes.find(request.host, request.path)
        if route is None:
            send_answer(
                self._refuse(
                    request, HTTPStatus.NOT_FOUND, RefusalReason.NO_ROUTE
                )
            )
            return
        verdict = self._verdict(request)
        if verdict is Verdict.DEADLY:
            send_answer(self._refuse_deadly(request))
            return
        is_trial = verdict is not Verdict.UNSUSPECTED
        if is_trial and not self._may_try(request, verdict):
            self._wait_for_trial(request, send_answer)
            return
        reason = self._refusal_reason(request, route)
        if reason is None:
            self._run(request, route, send_answer, is_trial=is_trial)
        else:
            send_answer(
                self._refuse_unavailable(
                    request, reason, self._quiet_left_ms(route)
                )
            )

    def _quiet_left_ms(self, route: Route) -> float:
        """Return for how long servers ask for too much quiet for a query."""
        if route.gather is None:
            return 0
        return quiet_left_ms(
            route.gather, self._context.replicas, self._context.now_ms()
        )

    def _verdict(self, request: CallerRequest) -> Verdict:
        """Return what the ends of servers say of a request."""
        deadly = self._context.deadly
        if not len(deadly):
            # The usual case, in which no digest is needed.
            return Verdict.UNSUSPECTED
        return deadly.verdict(request.digest, self._context.now_ms())

    def _wait_for_trial(
        self,
        request: CallerRequest,
        send_answer: Callable[[Answer], None],
    ) -> None:
        """Hold a request until another run of it has ended or answered."""
        self._hold(
            request,
            send_answer,
            lambda: self._is_tried(request),
            RefusalReason.SUSPECT,
        )

    def _may_try(self, request: CallerRequest, verdict: Verdict) -> bool:
        """Whether a suspect request may be sent to a server by this VM.

        The trial is claimed first, so that no two VMs try it at a time.
        """
        now_ms = self._context.now_ms()
        if verdict is Verdict.SUSPECT:
            self._context.deadly.claim_trial(request.digest, now_ms)
        return self._context.deadly.may_try(request.digest, now_ms)

    def _is_tried(self, request: CallerRequest) -> bool:
        """Whether the trial of a request is over or up to this VM."""
        return self._verdict(
            request
        ) is not Verdict.ON_TRIAL or self._context.deadly.may_try(
            request.digest, self._context.now_ms()
        )

    def _wait_for_routes(
        self,
        request: CallerRequest,
        send_answer: Callable[[Answer], None],
    ) -> None:
        self._hold(
            request,
            send_answer,
            lambda: self._catalog.usable,
            RefusalReason.STARTING,
        )

    def _hold(
        self,
        request: CallerRequest,
        send_answer: Callable[[Answer], None],
        is_ready: Callable[[], bool],
        reason: RefusalReason,
    ) -> None:
        """Hold a request until it may go on, or refuse it for a reason."""

        def refuse() -> None:  # noqa: WPS430 -- one request
            send_answer(self._refuse_unavailable(request, reason))

        is_held = self._held.add(
            request,
            is_ready,
            lambda: self.handle(request, send_answer),
            refuse,
        )
        if not is_held:
            refuse()

    def _run(
        self,
        request: CallerRequest,
        route: Route,
        send_answer: Callable[[Answer], None],
        *,
        is_trial: bool,
    ) -> None:
        slow_ms = slow_threshold_ms(self._context.response_times, route.name)
        lag_ms = (
            self._context.answer_lag.lag_ms
            + self._context.delivery_times.lag_ms(route)
        )
        schedule = schedule_request(
            request, route, slow_ms, self._margins, lag_ms
        )
        request.timed_route = route.name
        send_counted = partial(self._send_answer, request, route, send_answer)
        if route.gather is None:
            if is_trial:
                self._context.deadly.begin_trial(
                    request.digest, self._context.now_ms()
                )
            SingleRun(
                request, route, schedule, self._context, send_counted
            ).start()
            return
        run = GatherRun(request, route, schedule, self._context, send_counted)
        if is_trial:
            run.start_trial()
        else:
            run.start()

    def _send_answer(
        self,
        request: CallerRequest,
        route: Route,
        send_answer: Callable[[Answer], None],
        answer: Answer,
    ) -> None:
        """Count and send an answer; log it if it is late or sampled."""
        elapsed_ms = self._context.now_ms() - request.arrived_ms
        self._context.log.counts.answer(route.name, answer.status, elapsed_ms)
        self._served_count += 1
        is_late = elapsed_ms > route.target_ms
        if is_late or self._served_count % _LOG_SAMPLE_INTERVAL == 0:
            routes = self._catalog.routes
            self._context.log.event(
                'answered_late' if is_late else 'answered',
                request=request.log_id,
                route=route.name,
                status=answer.status,
                waited_ms=round(elapsed_ms, 1),
                target_ms=route.target_ms,
                routes_version=routes.version if routes else None,
            )
        send_answer(answer)

    def _refusal_reason(
        self, request: CallerRequest, route: Route
    ) -> RefusalReason | None:
        """Return why a request cannot be served now, ``None`` if it can."""
        if self._time_left_ms(request) < _MIN_TIME_LEFT_MS:
            return RefusalReason.EXPIRED
        if not self._fits_before_stop(request, route):
            return RefusalReason.STOPPING
        if route.gather is None:
            return None
        if self._must_refuse_query(route.gather):
            is_only_local = self._context.replicas.is_only_local
            return (
                RefusalReason.CUT_OFF
                if is_only_local
                else RefusalReason.UNREACHABLE
            )
        return self._overload_reason(request, route, route.gather)

    def _fits_before_stop(self, request: CallerRequest, route: Route) -> bool:
        """Whether a request can be finished before this VM stops.

        One that may be repeated gets the time that is left.
        """
        left_ms = self._late_left_ms()
        if left_ms >= min(self._time_left_ms(request), route.timeout_ms):
            return True
        if route.repeat_policy is not RepeatPolicy.IDEMPOTENT:
            return False
        waited_ms = self._context.now_ms() - request.arrived_ms
        request.time_left_ms = min(request.time_left_ms, waited_ms + left_ms)
        return left_ms >= route.target_ms

    def _overload_reason(
        self, request: CallerRequest, route: Route, gather: Gather
    ) -> RefusalReason | None:
        """Return why a query must be refused to protect servers, if it must."""
        now_ms = self._context.now_ms()
        if is_limited(gather, self._context.replicas, now_ms):
            return RefusalReason.LIMITED
        if self._must_shed(request, route):
            return RefusalReason.OVERLOADED
        return None

    def _must_shed(self, request: CallerRequest, route: Route) -> bool:
        """Whether to refuse a query so that others can be answered in time."""
        now_ms = self._context.now_ms()
        probability = self._context.admission.probability(
            route,
            request.time_left_ms,
            self._context.replicas,
            self._context.base_times.of_route(route.name).base_ms,
            now_ms,
        )
        return self._context.random.random() < probability

    def _time_left_ms(self, request: CallerRequest) -> float:
        waited_ms = self._context.now_ms() - request.arrived_ms
        return request.time_left_ms - waited_ms

    def _must_refuse_query(self, gather: Gather) -> bool:
        """Whether to refuse a query because too few shards are reachable.

        One query per interval is let through to find out whether the shards
        are reachable again; the time of that query is recorded.
        """
        if is_unservable(gather, self._context.replicas):
            # No probe is needed: there is no server to send one to.
            return True
        now_ms = self._context.now_ms()
        if not unreachable_shards(gather, self._context.replicas, now_ms):
            return False
        if now_ms - self._last_probe_ms >= _UNREACHABLE_PROBE_INTERVAL_MS:
            self._last_probe_ms = now_ms
            return False
        return True

    def _refuse_unavailable(
        self,
        request: CallerRequest,
        reason: RefusalReason,
        min_wait_ms: float = 0,
    ) -> Answer:
        """Refuse a request that has not run, with a delay for the retry.

        The delay is random, so that callers do not retry all at once.

        :param min_wait_ms: time for which a retry would be refused too.
        """
        min_delay_ms = _RETRY_AFTER_MS.get(reason)
        retry_after_ms = None
        if min_delay_ms is not None:
            retry_after_ms = min_wait_ms + self._context.random.uniform(
                min_delay_ms, 2 * min_delay_ms
            )
        return self._refuse(
            request, HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after_ms
        )

    def _refuse_deadly(self, request: CallerRequest) -> Answer:
        """Refuse a request that is not sent to any server for some time."""
        return self._refuse(
            request,
            HTTPStatus.SERVICE_UNAVAILABLE,
            RefusalReason.DEADLY,
            self._context.deadly.deadly_left_ms(
                request.digest, self._context.now_ms()
            ),
        )

    def _refuse(
        self,
        request: CallerRequest,
        status: HTTPStatus,
        reason: RefusalReason,
        retry_after_ms: float | None = None,
    ) -> Answer:
        routes = self._catalog.routes
        self._context.log.event(
            'request_refused',
            request=request.log_id,
            status=status.value,
            reason=reason.value,
            host=request.host,
            target=request.target.decode('latin-1'),
            routes_version=routes.version if routes else None,
        )
        return error_answer(status, reason.value, retry_after_ms)
