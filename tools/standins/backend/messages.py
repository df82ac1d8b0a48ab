"""What a stand-in backend server is sent and how it is set up."""

from dataclasses import dataclass
from typing import Any, final

from pydantic import BaseModel, ConfigDict

__all__ = ('CallBody', 'CancelBody', 'ServerSetup')


@final
class CallBody(BaseModel):
    """The body of a search or of an action; unknown fields are ignored."""

    model_config = ConfigDict(frozen=True)

    call: str
    request: str = ''
    customer: str = ''
    priority: str = ''
    shard: str = ''
    snapshot: str | None = None
    shard_map_revision: int = 0
    deadline_ms: float
    query: Any = None
    action_id: str = ''
    action: Any = None


@final
class CancelBody(BaseModel):
    """Asks that a call be stopped."""

    model_config = ConfigDict(frozen=True)

    call: str


@final
@dataclass(frozen=True, slots=True)
class ServerSetup:
    """How one server behaves without faults.

    :ivar port: on loopback, 0 for any that is free.
    :ivar queue: calls that may wait for a slot before some are shed.
    :ivar connect_ms: from accepting a connection to reading from it.
    :ivar cold_ms: how long it refuses calls after its start.
    :ivar record_count: records per shard and query.
    :ivar snapshots: those held; empty means any that is asked for.
    :ivar shards: those held; empty means any.
    """

    backend: str
    incarnation: str
    port: int = 0
    slots: int = 2
    max_connections: int = 50
    queue: int = 16
    service_ms: float = 2
    connect_ms: float = 0
    cold_ms: float = 0
    record_count: int = 2
    snapshots: tuple[str, ...] = ()
    shards: tuple[str, ...] = ()
