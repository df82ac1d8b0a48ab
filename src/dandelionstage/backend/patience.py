"""Waits for a reply, and tries a new connection when one has gone silent."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, final

import anyio
from returns.result import Failure

from ..model.verdict import Reason
from ..owner.messages import AttemptOutcome
from .carrier import Carrier
from .connection import Connection
from .connection_set import retire_unproved
from .exchange import Exchange
from .limits import MS, ConnectionLimits, now_ms
from .race import End, Race

__all__ = ('Patience',)

_SILENCES: Final = frozenset(
    (Reason.CONNECTION_SILENT, Reason.DEADLINE_EXPIRED),
)


@final
@dataclass(frozen=True, slots=True)
class Patience:
    """Decides when silence means that the connection is dead.

    :ivar is_action: sent once only, on a connection that proved itself
        lately; a search is sent again on a new connection before the server
        is blamed for a silence.
    """

    carrier: Carrier
    limits: ConnectionLimits
    is_action: bool

    async def carry(self, make: Callable[[], Exchange[AttemptOutcome]]) -> End:
        """Send a request and wait for its end.

        :param make: builds the request, anew each time it is sent.
        """
        started_ms = now_ms()
        exchange = make()
        connection = await self.carrier.submit(
            exchange,
            started_ms - self.limits.fresh_ms if self.is_action else 0,
        )
        silent_at_ms = now_ms() + self.limits.silent_ms
        if connection is None or silent_at_ms >= exchange.deadline_ms:
            return self._judge(await exchange.wait())
        with anyio.CancelScope(deadline=silent_at_ms / MS):
            return self._judge(await exchange.wait())
        retire_unproved(self.carrier.connections, started_ms)
        if self.is_action:
            return self._judge(await exchange.wait())
        return await self._race(connection, exchange, make())

    async def _race(
        self,
        connection: Connection,
        first: Exchange[AttemptOutcome],
        second: Exchange[AttemptOutcome],
    ) -> End:
        await self.carrier.submit(second)
        end = await Race(first, second).run()
        if first.is_out:
            connection.abort()
        return self._judge(end)

    def _judge(self, end: End) -> End:
        """Close what may lie on the same dead path as a silent one."""
        if isinstance(end, Failure):
            lost = end.failure()
            if lost.reason in _SILENCES and lost.sent_at_ms is not None:
                retire_unproved(self.carrier.connections, lost.sent_at_ms)
        return end
