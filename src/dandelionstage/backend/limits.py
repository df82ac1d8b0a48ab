"""Time and size limits of the connections to one backend server."""

from dataclasses import dataclass
from typing import Final, final

from ..gateway.clock import now_ms

__all__ = ('MS_PER_S', 'ConnectionLimits', 'now_ms')

MS_PER_S: Final = 1000


@final
@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Time and size limits of a connection.

    :ivar connect_timeout_ms: maximum time to open a connection.
    :ivar idle_timeout_ms: time without a reply after which an idle connection
        is closed.
    :ivar action_reply_age_ms: an action is sent only on a new connection or
        on one that had a reply within this time.
    :ivar silence_timeout_ms: time without a reply after which idle connections
        are closed and a search is sent again on another connection.
    :ivar cancel_timeout_ms: maximum time to cancel a call.
    :ivar max_reply_bytes: maximum size of a reply body; a longer reply is
        not valid.
    """

    connect_timeout_ms: float = 1000
    idle_timeout_ms: float = 15_000
    action_reply_age_ms: float = 1000
    silence_timeout_ms: float = 1000
    cancel_timeout_ms: float = 500
    max_reply_bytes: int = 4 * 1024 * 1024
