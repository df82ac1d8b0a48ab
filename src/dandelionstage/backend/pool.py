"""A pool of connections to one backend server."""

from functools import partial
from types import TracebackType
from typing import Final, Self, final

from returns.result import Failure

from ..model.ids import BackendId, CallId
from ..model.messages import SubRequest
from ..model.topology import BackendServer
from ..model.verdict import Run, Verdict
from ..owner.messages import AttemptOutcome
from .connection_manager import ConnectionManager
from .exchange import Exchange, NoReply
from .limits import ConnectionLimits, now_ms
from .replies import read_cancelled, read_reply
from .request_sender import RequestSender
from .requests import encode_action, encode_cancel, encode_search

__all__ = ('BackendPool', 'outcome_without_reply')

_DEFAULT_LIMITS: Final = ConnectionLimits()
_SEARCH_PATH: Final = b'/v1/search'
_ACT_PATH: Final = b'/v1/act'
_CANCEL_PATH: Final = b'/v1/cancel'


@final
class BackendPool:
    """Sends sub-requests to one backend server.

    Network and server errors are returned as outcomes with a verdict, not
    raised.
    """

    def __init__(
        self,
        server: BackendServer,
        allowance: int,
        limits: ConnectionLimits = _DEFAULT_LIMITS,
    ) -> None:
        """Create a pool; connections are opened on demand.

        :param allowance: maximum number of open connections.
        """
        self._backend = server.backend
        self._limits = limits
        self._manager = ConnectionManager(server, allowance, limits)

    async def __aenter__(self) -> Self:
        """Start the pool's tasks."""
        await self._manager.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Abort every connection; attempts already sent may have run."""
        await self._manager.__aexit__(kind, error, trace)

    async def attempt(
        self,
        sub_request: SubRequest,
        deadline_ms: float,
    ) -> AttemptOutcome:
        """Send a search or an action and wait for its outcome.

        :param deadline_ms: monotonic time of the event loop.
        """
        started_ms = now_ms()
        encode = encode_action if sub_request.action else encode_search
        make_exchange = partial(
            Exchange[AttemptOutcome],
            _ACT_PATH if sub_request.action else _SEARCH_PATH,
            partial(encode, sub_request),
            partial(read_reply, sub_request, self._backend, started_ms),
            deadline_ms,
        )
        sender = RequestSender(self._manager, self._limits, sub_request.action)
        result = await sender.send(make_exchange)
        if isinstance(result, Failure):
            return outcome_without_reply(
                sub_request,
                self._backend,
                started_ms,
                result.failure(),
            )
        return result.unwrap()

    async def cancel(self, call: CallId) -> None:
        """Request the server to stop a call, on another connection."""
        exchange = Exchange(
            _CANCEL_PATH,
            partial(encode_cancel, call),
            read_cancelled,
            now_ms() + self._limits.cancel_timeout_ms,
        )
        await self._manager.submit(exchange)
        await exchange.wait()

    def set_allowance(self, allowance: int) -> None:
        """Change the maximum number of open connections."""
        self._manager.connections.change_allowance(allowance)

    async def close(self) -> None:
        """Refuse new attempts and wait until all connections have ended."""
        await self._manager.connections.close()


def outcome_without_reply(
    sub_request: SubRequest,
    backend: BackendId,
    started_ms: float,
    no_reply: NoReply,
) -> AttemptOutcome:
    """Create the outcome of an attempt that has no valid reply.

    The attempt has not run if it was not sent; its service time is then 0.
    Otherwise it may have run.

    :param started_ms: monotonic time at which the attempt started.
    """
    ended_ms = now_ms()
    sent_at_ms = (
        ended_ms if no_reply.sent_at_ms is None else no_reply.sent_at_ms
    )
    run = Run.NOT_RUN if no_reply.sent_at_ms is None else Run.MAY_HAVE_RUN
    verdict = Verdict(run, no_reply.reason, detail=no_reply.detail)
    return AttemptOutcome(
        sub_request.call,
        backend,
        verdict,
        service_ms=ended_ms - sent_at_ms,
        hop_ms=ended_ms - started_ms,
    )
