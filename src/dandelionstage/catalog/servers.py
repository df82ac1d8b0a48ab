"""Records that backend servers publish about themselves in the store."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import NewType, final

from .routes import ServiceId

__all__ = ('ServerId', 'ServerRecord', 'ServerStart', 'ServerState')

#: Usually differs between two starts of the same backend server.
ServerId = NewType('ServerId', str)

#: One start of a server: its id, and the Unix time of the start in
#: milliseconds.  What a server says of itself ends with its process.
ServerStart = tuple[ServerId, int]


@unique
class ServerState(Enum):
    """Whether a server accepts new requests."""

    LIVE = 'live'
    DRAINING = 'draining'


@final
@dataclass(frozen=True, slots=True)
class ServerRecord:
    """Description of one backend server.

    :ivar slots: number of requests that the server processes concurrently.
    :ivar warm_up_left_ms: remaining warm-up time, during which the server is
        slow.
    :ivar started_ms: Unix time of the server's start in milliseconds, 0 if
        unknown; distinguishes two starts under one id.
    :ivar sequence: number that the server counts up from its start; of two
        entries of one start, the higher one is newer.
    """

    server: ServerId
    service: ServiceId
    host: str
    port: int
    data_centre: str
    slots: int
    state: ServerState
    warm_up_left_ms: float = 0
    started_ms: int = 0
    sequence: int = 0

    @property
    def start(self) -> ServerStart:
        """The start of the server that wrote this."""
        return (self.server, self.started_ms)

    def is_newer_than(self, other: 'ServerRecord') -> bool:
        """Whether the server wrote this after another entry."""
        return (self.started_ms, self.sequence) > (
            other.started_ms,
            other.sequence,
        )
