"""Limits derived from contracts and fleet sizes."""

from dataclasses import fields

from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.configuration.topology import EMPTY_TOPOLOGY, Topology
from dandelionstage.limits.derived_limits import (
    DerivedLimits,
    derive_limits,
    explain_limits,
)
from dandelionstage.limits.fleet_sizes import FleetSizes, measure_fleet
from dandelionstage.model.contract import Contract, Priority
from dandelionstage.model.ids import (
    BackendId,
    CustomerId,
    DataCentreId,
    Revision,
    ShardId,
    SnapshotId,
    VmId,
    WorkloadId,
)
from dandelionstage.model.topology import Snapshot, Workload

DESK = WorkloadId('finder-desk')
CONTRACT = Contract(
    customer=CustomerId('vets'),
    workloads=(DESK,),
    p99_ms=100,
    deadline_ms=400,
    minimum_coverage=0.95,
    work_per_s=2000,
    priority=Priority.URGENT,
    key_digests=('0' * 64,),
)
SIZES = FleetSizes(data_centres=2, vms=5, shards=20)

sizes_strategy = st.builds(
    FleetSizes,
    st.integers(1, 50),
    st.integers(1, 500),
    st.integers(1, 50_000),
)


def test_limits_of_a_small_fleet():
    limits = derive_limits(CONTRACT, SIZES)
    assert limits.query_deadline_ms == 400
    assert limits.sub_request_deadline_ms == 380
    assert limits.minimum_shards == 19
    assert limits.queries_per_s == 100
    assert limits.data_centre_work_per_s == 1000
    assert limits.concurrent_queries == 12
    assert limits.extra_work_per_s == 100


@given(sizes_strategy)
def test_data_centres_together_stay_within_the_contract(sizes):
    limits = derive_limits(CONTRACT, sizes)
    together = limits.data_centre_work_per_s * sizes.data_centres
    assert together <= CONTRACT.work_per_s * 1.000001


@given(sizes_strategy)
def test_limits_always_allow_one_query(sizes):
    limits = derive_limits(CONTRACT, sizes)
    assert limits.burst_work >= limits.work_per_query
    assert limits.concurrent_queries >= 1


def test_every_limit_is_explained():
    explained = {
        limit.limit: limit for limit in explain_limits(CONTRACT, SIZES)
    }
    assert set(explained) == {each.name for each in fields(DerivedLimits)}
    assert all(
        limit.unit and limit.derived_from for limit in explained.values()
    )


def test_sizes_come_from_the_documents():
    shards = {
        ShardId('s{0}'.format(shard)): (BackendId('b'),) for shard in (1, 2)
    }
    snapshot = Snapshot(
        snapshot=SnapshotId('now'),
        shard_map_revision=Revision(1),
        published_at_s=0,
        shards=shards,
    )
    topology = Topology(
        workloads={DESK: Workload(workload=DESK, snapshots=(snapshot,))},
        vm_lists={
            DataCentreId('a'): (VmId('1'), VmId('2')),
            DataCentreId('b'): (VmId('3'),),
        },
    )
    assert measure_fleet(topology, CONTRACT) == FleetSizes(2, 1, 2)
    assert measure_fleet(EMPTY_TOPOLOGY, CONTRACT) == FleetSizes(1, 1, 1)
