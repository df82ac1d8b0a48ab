"""Records that backend servers publish about themselves in the store."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import NewType, final

from .routes import ServiceId

__all__ = ('ServerId', 'ServerRecord', 'ServerState', 'StoreRevision')

#: Usually differs between two starts of the same backend server.
ServerId = NewType('ServerId', str)
#: Number of changes to the store so far; unique for every change.
StoreRevision = NewType('StoreRevision', int)


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
