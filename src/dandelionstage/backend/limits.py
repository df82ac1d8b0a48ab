"""Times and sizes that bound the connections to one backend server."""

from dataclasses import dataclass
from typing import Final, final

from ..gateway.clock import now_ms

__all__ = ('MS', 'ConnectionLimits', 'now_ms')

#: Milliseconds in a second.
MS: Final = 1000


@final
@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What a connection may take of time and memory.

    :ivar connect_ms: longest time to open a connection.
    :ivar idle_ms: an idle connection is closed after this time.
    :ivar fresh_ms: an action goes out on a connection that proved itself
        within this time, or on a new one.
    :ivar silent_ms: without a reply for this time a new connection is tried.
    :ivar cancel_ms: longest time spent on cancelling a call.
    :ivar max_reply_bytes: a longer reply is refused.
    """

    connect_ms: float = 1000
    idle_ms: float = 15_000
    fresh_ms: float = 1000
    silent_ms: float = 1000
    cancel_ms: float = 500
    max_reply_bytes: int = 4 * 1024 * 1024
