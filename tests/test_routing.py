"""Owners and targets of a shard, and their order.

Guards against VMs that rank different owners from the same list, and against
sub-requests to lost VMs or excluded replicas.
"""

from collections import Counter
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.configuration.topology import (
    PlacedBackend,
    Topology,
)
from dandelionstage.model.ids import (
    BackendId,
    DataCentreId,
    ShardId,
    VmId,
    WorkloadId,
)
from dandelionstage.model.messages import OwnerKey
from dandelionstage.model.topology import BackendServer, Presence
from dandelionstage.routing.ownership import OwnerRanking, rank_owners
from dandelionstage.routing.targets import LiveVms, Router

WORKLOAD = WorkloadId('finder-desk')
SHARD = ShardId('s1')
NEAR, FAR = DataCentreId('plovdiv-a'), DataCentreId('burgas-c')
KEY = OwnerKey(WORKLOAD, SHARD, NEAR)
VMS = tuple(map(VmId, ('vm-0', 'vm-1', 'vm-2', 'vm-3', 'vm-4')))

vm_sets = st.sets(st.sampled_from(VMS), min_size=1).map(sorted)


def place(
    name: str,
    data_centre: DataCentreId,
    presence: Presence = Presence.LIVE,
) -> PlacedBackend:
    server = BackendServer(
        backend=BackendId(name),
        host='127.0.0.1',
        port=1,
        slots=2,
        max_connections=50,
        presence=presence,
    )
    return PlacedBackend(server, data_centre)


TOPOLOGY = Topology(
    backends={
        BackendId('b-far'): place('b-far', FAR),
        BackendId('b-near'): place('b-near', NEAR),
        BackendId('b-gone'): place('b-gone', NEAR, Presence.LEAVING),
    },
    vm_lists={NEAR: VMS, FAR: (VmId('far-1'), VmId('far-2'))},
)
REPLICAS = tuple(BackendId(name) for name in ('b-far', 'b-near', 'b-gone'))


def published(data_centre: DataCentreId) -> tuple[VmId, ...]:
    return TOPOLOGY.vm_lists[data_centre]


def make_router(live: LiveVms = published) -> Router:
    return Router(TOPOLOGY, live, NEAR, (FAR,))


@given(vm_sets, st.randoms(use_true_random=False))
def test_order_of_list_does_not_matter(vms, random):
    shuffled = random.sample(vms, len(vms))
    assert rank_owners(KEY, shuffled) == rank_owners(KEY, vms)


@given(vm_sets, st.sampled_from(VMS))
def test_removing_a_vm_keeps_the_order_of_others(vms, removed):
    others = [vm for vm in vms if vm != removed]
    ranked = [vm for vm in rank_owners(KEY, vms) if vm != removed]
    assert ranked == list(rank_owners(KEY, others))


def test_owners_are_spread_evenly():
    shards = map(ShardId, map(str, range(5000)))
    keys = (replace(KEY, shard=shard) for shard in shards)
    owners = Counter(rank_owners(key, VMS)[0] for key in keys)
    assert len(owners) == 5
    assert all(900 < owned < 1100 for owned in owners.values())


def test_cached_owners_follow_the_list():
    ranking = OwnerRanking(3)
    owners = ranking.first_owners(KEY, VMS)
    remaining = tuple(vm for vm in VMS if vm != owners[0])
    assert (
        ranking.first_owners(KEY, remaining) == rank_owners(KEY, remaining)[:3]
    )
    assert ranking.first_owners(KEY, VMS) == owners


def test_first_owners_by_distance_precede_second_owners():
    targets = make_router().targets(WORKLOAD, SHARD, REPLICAS)
    order = [target.owner_key.data_centre for target in targets]
    assert order == [NEAR, FAR, NEAR, FAR, NEAR]
    near = [target.vm for target in targets if target.owner_key == KEY]
    assert tuple(near) == rank_owners(KEY, VMS)[:3]


def test_each_target_has_the_replicas_of_its_data_centre():
    near, far = make_router().targets(WORKLOAD, SHARD, REPLICAS)[:2]
    assert (near.replicas, far.replicas) == (('b-near',), ('b-far',))


def test_avoided_and_unknown_replicas_are_excluded():
    router = make_router()
    unknown = (*REPLICAS, BackendId('b-unknown'))
    targets = router.targets(WORKLOAD, SHARD, unknown, {BackendId('b-near')})
    assert {target.replicas for target in targets} == {('b-far',)}
    assert not router.targets(WORKLOAD, SHARD, REPLICAS, REPLICAS)


def test_published_list_is_used_if_all_vms_are_suspected():
    targets = make_router(lambda _data_centre: ()).targets(
        WORKLOAD,
        SHARD,
        REPLICAS,
    )
    assert targets[0].vm == rank_owners(KEY, VMS)[0]


def test_owner_that_is_not_alive_is_excluded():
    first = rank_owners(KEY, VMS)[0]
    alive = tuple(vm for vm in VMS if vm != first)
    targets = make_router(lambda _data_centre: alive).targets(
        WORKLOAD,
        SHARD,
        REPLICAS,
    )
    assert targets[0].vm == rank_owners(KEY, VMS)[1]
