"""The published topology: VMs, backend servers, snapshots and shards."""

from enum import Enum, unique
from typing import Annotated, Final, final

from pydantic import BaseModel, ConfigDict, Field

from .ids import (
    BackendId,
    DataCentreId,
    Revision,
    ShardId,
    SnapshotId,
    VmId,
    WorkloadId,
)

__all__ = (
    'BackendList',
    'BackendServer',
    'Presence',
    'Snapshot',
    'Vm',
    'VmList',
    'Workload',
    'WorkloadKind',
)

_MAX_PORT: Final = 65_535

_Port = Annotated[int, Field(gt=0, le=_MAX_PORT)]
_Host = Annotated[str, Field(pattern=r'^[0-9a-fA-F.:]+$')]


@unique
class Presence(Enum):
    """Published state of a VM or a backend server.

    One that is leaving gets no new work.
    """

    LIVE = 'live'
    LEAVING = 'leaving'


@unique
class WorkloadKind(Enum):
    """Kind of a workload: searches may be repeated, actions may not."""

    SEARCH = 'search'
    ACTIONS = 'actions'


class _PublishedModel(BaseModel):
    model_config = ConfigDict(frozen=True, extra='forbid')


@final
class Vm(_PublishedModel):
    """One daemon on an entry VM; ``inner_port`` is used for TCP and UDP."""

    vm: VmId = Field(min_length=1)
    host: _Host
    inner_port: _Port
    presence: Presence = Presence.LIVE


@final
class VmList(_PublishedModel):
    """The entry VMs of one data centre; the list may be out of date."""

    data_centre: DataCentreId = Field(min_length=1)
    vms: tuple[Vm, ...]


@final
class BackendServer(_PublishedModel):
    """One backend server and its declared limits.

    :ivar slots: number of requests that it processes at a time.
    :ivar max_connections: number of connections that it accepts from all VMs
        together.
    """

    backend: BackendId = Field(min_length=1)
    host: _Host
    port: _Port
    slots: int = Field(gt=0)
    max_connections: int = Field(gt=0)
    presence: Presence = Presence.LIVE


@final
class BackendList(_PublishedModel):
    """The backend servers of one data centre."""

    data_centre: DataCentreId = Field(min_length=1)
    backends: tuple[BackendServer, ...]


@final
class Snapshot(_PublishedModel):
    """One snapshot with the shard map that belongs to it.

    :ivar shard_map_revision: revision of this assignment of shards.
    :ivar published_at_s: time of publication, in seconds since 1970.
    :ivar shards: backend servers that hold each shard, in any order.
    """

    snapshot: SnapshotId = Field(min_length=1)
    shard_map_revision: Revision = Field(ge=0)
    published_at_s: float = Field(ge=0)
    shards: dict[ShardId, tuple[BackendId, ...]] = Field(min_length=1)


@final
class Workload(_PublishedModel):
    """A searchable archive or an action service.

    :ivar snapshots: published snapshots, the newest first.
    """

    workload: WorkloadId = Field(min_length=1)
    kind: WorkloadKind = WorkloadKind.SEARCH
    snapshots: tuple[Snapshot, ...] = Field(min_length=1)
