"""The status of one daemon, as operators and the report read it."""

from typing import final

from pydantic import BaseModel, ConfigDict

from ..model.ids import (
    CustomerId,
    DataCentreId,
    DocumentKey,
    Incarnation,
    Revision,
    VmId,
)

__all__ = (
    'CustomerStatus',
    'HopStatus',
    'Promise',
    'Status',
)


class _Shown(BaseModel):
    model_config = ConfigDict(frozen=True)


@final
class HopStatus(_Shown):
    """Latency on one hop.

    :ivar histogram: in the HdrHistogram V2 form, to be merged.
    """

    count: int
    p50_ms: float
    p99_ms: float
    histogram: str


@final
class CustomerStatus(_Shown):
    """Counts of one customer since the process started."""

    answers: int
    complete: int
    within_contract: int
    shards_answered: int
    shards_asked: int
    primaries: int
    extra_load: int
    refusals: dict[str, int]
    hops: dict[str, HopStatus]


@final
class Promise(_Shown):
    """What a contract promises, as this daemon holds it; no keys."""

    p99_ms: int
    deadline_ms: int
    minimum_coverage: float
    work_per_s: float
    extra_load_fraction: float
    priority: str
    workloads: tuple[str, ...]


@final
class Status(_Shown):
    """One daemon's view of itself and of the fleet.

    :ivar state: serving, or how far a planned stop has come.
    :ivar live_vms: by data centre, as this daemon sees it.
    :ivar documents: revisions in force, tombstones too.
    """

    vm: VmId
    data_centre: DataCentreId
    incarnation: Incarnation
    state: str
    ready: bool
    detail: str
    live_vms: dict[DataCentreId, tuple[VmId, ...]]
    documents: dict[DocumentKey, Revision]
    promises: dict[CustomerId, Promise]
    customers: dict[CustomerId, CustomerStatus]
    retries: dict[str, int]
