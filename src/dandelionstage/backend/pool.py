"""The pool of connections to one backend server."""

from functools import partial
from types import TracebackType
from typing import Final, Self, final

from returns.result import Failure

from ..model.ids import BackendId, CallId
from ..model.messages import SubRequest
from ..model.topology import BackendServer
from ..model.verdict import Run, Verdict
from ..owner.messages import AttemptOutcome
from .carrier import Carrier
from .exchange import Exchange, NoReply
from .limits import ConnectionLimits, now_ms
from .patience import Patience
from .replies import read_cancelled, read_reply
from .requests import encode_action, encode_cancel, encode_search

__all__ = ('BackendPool', 'outcome_without_reply')

_DEFAULT_LIMITS: Final = ConnectionLimits()
_SEARCH: Final = b'/v1/search'
_ACT: Final = b'/v1/act'
_CANCEL: Final = b'/v1/cancel'


@final
class BackendPool:
    """Carries sub-requests to one backend server.

    Every fault of the network or of the server comes back as an outcome
    with a verdict; nothing is raised.
    """

    def __init__(
        self,
        server: BackendServer,
        allowance: int,
        limits: ConnectionLimits = _DEFAULT_LIMITS,
    ) -> None:
        """Prepare a pool without connections; they open on demand.

        :param allowance: most connections open at once.
        """
        self._backend = server.backend
        self._limits = limits
        self._carrier = Carrier(server, allowance, limits)

    async def __aenter__(self) -> Self:
        """Start the pool's tasks."""
        await self._carrier.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Cut every connection; attempts still out may have run."""
        await self._carrier.__aexit__(kind, error, trace)

    async def attempt(
        self,
        sub_request: SubRequest,
        deadline_ms: float,
    ) -> AttemptOutcome:
        """Send a search or an action and wait for its end.

        :param deadline_ms: monotonic time, as the event loop tells it.
        """
        started_ms = now_ms()
        encode = encode_action if sub_request.action else encode_search
        make = partial(
            Exchange[AttemptOutcome],
            _ACT if sub_request.action else _SEARCH,
            partial(encode, sub_request),
            partial(read_reply, sub_request, self._backend, started_ms),
            deadline_ms,
        )
        patience = Patience(self._carrier, self._limits, sub_request.action)
        end = await patience.carry(make)
        if isinstance(end, Failure):
            return outcome_without_reply(
                sub_request,
                self._backend,
                started_ms,
                end.failure(),
            )
        return end.unwrap()

    async def cancel(self, call: CallId) -> None:
        """Ask the server to stop a call, on another connection."""
        exchange = Exchange(
            _CANCEL,
            partial(encode_cancel, call),
            read_cancelled,
            now_ms() + self._limits.cancel_ms,
        )
        await self._carrier.submit(exchange)
        await exchange.wait()

    def set_allowance(self, allowance: int) -> None:
        """Change how many connections may be open at once."""
        self._carrier.connections.allow(allowance)

    async def close(self) -> None:
        """Take nothing more and wait until what is out has ended."""
        await self._carrier.connections.close()


def outcome_without_reply(
    sub_request: SubRequest,
    backend: BackendId,
    started_ms: float,
    lost: NoReply,
) -> AttemptOutcome:
    """Judge an attempt without a reply: nothing sent means not run."""
    ended_ms = now_ms()
    sent_at_ms = ended_ms if lost.sent_at_ms is None else lost.sent_at_ms
    run = Run.NOT_RUN if lost.sent_at_ms is None else Run.MAY_HAVE_RUN
    verdict = Verdict(run, lost.reason, detail=lost.detail)
    return AttemptOutcome(
        sub_request.call,
        backend,
        verdict,
        service_ms=ended_ms - sent_at_ms,
        hop_ms=ended_ms - started_ms,
    )
