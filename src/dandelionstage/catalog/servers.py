"""Backend servers as they describe themselves in the store."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import NewType, final

from .routes import ServiceId

__all__ = ('ServerId', 'ServerRecord', 'ServerState', 'StoreRevision')

#: One start of one backend server, most often.
ServerId = NewType('ServerId', str)
#: Counts the changes of the store; every change has its own.
StoreRevision = NewType('StoreRevision', int)


@unique
class ServerState(Enum):
    """Whether a server takes new work."""

    LIVE = 'live'
    DRAINING = 'draining'


@final
@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One backend server.

    :ivar started_ms: Unix time of its start; tells two starts under one id
        apart. 0 when the server does not say.
    :ivar warm_up_left_ms: how long it stays slow after its start.
    :ivar slots: requests it works on at the same time.
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
