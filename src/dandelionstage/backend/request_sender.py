"""Sends requests and handles connections on which no reply arrives."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, final

import anyio
from returns.result import Failure

from ..model.verdict import Reason
from ..owner.messages import AttemptOutcome
from .connection import Connection
from .connection_manager import ConnectionManager
from .connection_set import close_stale
from .exchange import Exchange
from .limits import MS_PER_S, ConnectionLimits, now_ms
from .race import AttemptResult, Race

__all__ = ('RequestSender',)

_TIMEOUT_REASONS: Final = frozenset(
    (Reason.CONNECTION_SILENT, Reason.DEADLINE_EXPIRED),
)


@final
@dataclass(frozen=True, slots=True)
class RequestSender:
    """Sends one sub-request, on a second connection if necessary.

    An action is sent only once, on a connection that is new or had a reply
    recently. A search without a reply is sent again on another connection
    before the timeout is attributed to the server.

    :ivar is_action: whether the sub-request is an action.
    """

    manager: ConnectionManager
    limits: ConnectionLimits
    is_action: bool

    async def send(
        self, make_exchange: Callable[[], Exchange[AttemptOutcome]]
    ) -> AttemptResult:
        """Send the sub-request and wait for its result.

        :param make_exchange: creates a new exchange for each send.
        """
        started_ms = now_ms()
        exchange = make_exchange()
        connection = await self.manager.submit(
            exchange,
            started_ms - self.limits.action_reply_age_ms
            if self.is_action
            else 0,
        )
        retry_at_ms = now_ms() + self.limits.silence_timeout_ms
        if connection is None or retry_at_ms >= exchange.deadline_ms:
            return self._close_stale_if_timed_out(await exchange.wait())
        with anyio.CancelScope(deadline=retry_at_ms / MS_PER_S):
            return self._close_stale_if_timed_out(await exchange.wait())
        close_stale(self.manager.connections, started_ms)
        if self.is_action:
            return self._close_stale_if_timed_out(await exchange.wait())
        return await self._send_second_copy(
            connection, exchange, make_exchange()
        )

    async def _send_second_copy(
        self,
        connection: Connection,
        first: Exchange[AttemptOutcome],
        second: Exchange[AttemptOutcome],
    ) -> AttemptResult:
        await self.manager.submit(second)
        result = await Race(first, second).run()
        if first.is_pending:
            connection.abort()
        return self._close_stale_if_timed_out(result)

    def _close_stale_if_timed_out(self, result: AttemptResult) -> AttemptResult:
        """Close idle connections after a timeout; return the result.

        Connections without a reply since the request was sent may use the
        same broken network path.
        """
        if isinstance(result, Failure):
            no_reply = result.failure()
            if (
                no_reply.reason in _TIMEOUT_REASONS
                and no_reply.sent_at_ms is not None
            ):
                close_stale(self.manager.connections, no_reply.sent_at_ms)
        return result
