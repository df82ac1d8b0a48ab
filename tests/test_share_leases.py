"""Loans of slots between owners, and how limits are split."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.owner_fakes import (
    DATA_CENTRE,
    FIRST_BACKEND,
    make_outcome,
    make_server,
    make_sub_request,
    make_topology,
    start_attempt,
    list_starts,
)

from dandelionstage.limits.leases import Lease, Loans
from dandelionstage.limits.owner_keys import list_owner_keys
from dandelionstage.limits.published_vms import list_published
from dandelionstage.limits.settlement import Settlement
from dandelionstage.limits.share_view import ShareView
from dandelionstage.limits.server_split import split_connections, view_slots
from dandelionstage.limits.slot_account import SlotAccount
from dandelionstage.limits.slot_use import Hold
from dandelionstage.model.ids import (
    CallId,
    Revision,
    ShardId,
    SnapshotId,
    VmId,
    WorkloadId,
)
from dandelionstage.model.topology import (
    BackendServer,
    Snapshot,
    Workload,
)
from dandelionstage.owner.owner import Owner
from dandelionstage.routing.ownership import rank_owners

VMS = tuple(map(VmId, 'abcdefgh'))
WORKLOAD = WorkloadId('w')


def topology_of(vms, server):
    """Publish a list of VMs."""
    return replace(
        make_topology(server), vm_lists={DATA_CENTRE: tuple(sorted(vms))}
    )


def view_of(vm: VmId, vms: set[VmId], server: BackendServer) -> ShareView:
    """Work out one VM's share."""
    topology = topology_of(vms, server)
    keys = list_owner_keys(topology, DATA_CENTRE)[server.backend]
    return view_slots(vm, server, keys, list_published(topology, DATA_CENTRE))


@pytest.fixture
def pair():
    """Make the first and the second owner of a server of two slots."""
    server = make_server(FIRST_BACKEND, 2)
    topology = topology_of(VMS[:2], server)
    key = list_owner_keys(topology, DATA_CENTRE)[FIRST_BACKEND][0]
    first, second = rank_owners(key, VMS[:2])
    owners = {vm: Owner(vm, DATA_CENTRE, Random(vm)) for vm in (first, second)}
    for owner in owners.values():
        owner.use_topology(topology, 0)
    for vm, owner in owners.items():
        exchange(vm, owners, 0)
    return first, second, owners


def make_workload(shard: str) -> Workload:
    """Publish a workload with one shard at the server."""
    snapshot = Snapshot(
        snapshot=SnapshotId('now'),
        shard_map_revision=Revision(1),
        published_at_s=0,
        shards={ShardId(shard): (FIRST_BACKEND,)},
    )
    return Workload(workload=WORKLOAD, snapshots=(snapshot,))


def exchange(vm, owners, now_ms):
    """Send a VM's requests and their grants; list what starts."""
    started = []
    for to, request in owners[vm].requests(now_ms):
        grant = owners[to].receive_request(vm, request, now_ms)
        started += list_starts(owners[vm].receive_grant(to, grant, now_ms))
    return started


def offer(owner: Owner, now_ms: float, count: int = 1, left_ms: float = 9000):
    """Bring work; list what starts."""
    commands = []
    for _ in range(count):
        sub_request = make_sub_request((FIRST_BACKEND,), remaining_ms=left_ms)
        commands += owner.offer(sub_request, now_ms)
    return list_starts(commands)


def test_nothing_starts_before_the_share_is_confirmed():
    server = make_server(FIRST_BACKEND, 2)
    owner = Owner(VMS[0], DATA_CENTRE, Random(1))
    owner.use_topology(topology_of(VMS[:2], server), 0)
    assert not offer(owner, 1)
    owner.tick(2500)
    assert not list_starts(owner.tick(4999))
    assert list_starts(owner.tick(5000))


def test_reserve_works_with_the_first_rank_dead(pair):
    _first, second, owners = pair
    assert len(offer(owners[second], 10, 2)) == 1


def test_first_rank_borrows_the_reserve(pair):
    first, _second, owners = pair
    assert len(offer(owners[first], 10, 3)) == 1
    assert len(exchange(first, owners, 10)) == 1


def test_lender_starts_nothing_on_what_it_lent(pair):
    first, second, owners = pair
    offer(owners[first], 10, 3)
    exchange(first, owners, 10)
    assert not offer(owners[second], 20, 1)
    assert not list_starts(owners[second].tick(2009))
    assert list_starts(owners[second].tick(2010))


def test_lender_with_work_of_its_own_lends_nothing(pair):
    first, second, owners = pair
    offer(owners[second], 5, 2)
    offer(owners[first], 10, 3)
    assert not exchange(first, owners, 10)


def test_work_on_a_borrowed_slot_ends_with_the_lease(pair):
    first, _second, owners = pair
    offer(owners[first], 10, 3)
    borrowed = exchange(first, owners, 10)
    assert borrowed[0].deadline_ms <= 10 + 2000


def test_lease_counts_from_the_request(pair):
    first, second, owners = pair
    offer(owners[first], 10, 3)
    to, request = owners[first].requests(10)[0]
    grant = owners[second].receive_request(first, request, 900)
    assert to == second
    assert not owners[first].receive_grant(second, grant, 2005)


def test_answer_to_another_request_changes_nothing(pair):
    first, second, owners = pair
    offer(owners[first], 10, 3)
    _to, request = owners[first].requests(10)[0]
    grant = owners[second].receive_request(first, request, 10)
    other = replace(grant, call=CallId('other'))
    assert not owners[first].receive_grant(second, other, 12)
    assert owners[first].receive_grant(second, grant, 12)
    assert not owners[first].receive_grant(second, grant, 12)


def test_loan_is_not_renewed_when_the_lender_needs_it(pair):
    first, second, owners = pair
    offer(owners[first], 10, 9)
    exchange(first, owners, 10)
    offer(owners[second], 20)
    _to, request = owners[first].requests(1200)[0]
    grant = owners[second].receive_request(first, request, 1200)
    assert grant.amount == 0


def test_smaller_loan_is_deducted_once_the_larger_has_ended():
    loans = Loans()
    assert loans.lend(VMS[0], 3, 3, 0) == 3
    assert loans.lend(VMS[0], 1, 0, 100) == 1
    assert loans.lent(100) == 3
    assert loans.lent(2000) == 1
    assert loans.lent(2100) == 0


def test_lease_about_to_end_starts_nothing():
    account = SlotAccount()
    account.borrowed.add(VMS[0], Lease(1, 1000))
    assert account.find_slot(200, 800)
    assert not account.find_slot(200, 801)


def test_nothing_is_confirmed_with_more_slots_in_use_than_its_own():
    account = SlotAccount()
    circle = frozenset(VMS)
    account.own.follow(ShareView(2, (), circle, 'x'), circle, 0)
    for _ in range(2):
        account.use.take(account.find_slot(0, 5000))
    account.own.follow(ShareView(1, (), circle, 'y'), circle, 5001)
    assert not account.is_clear_of(VMS[1], 5002)
    account.use.free(Hold(None, 0), 5003, 5003)
    assert account.is_clear_of(VMS[1], 5003)


def test_later_change_still_waits_for_earlier_holders():
    settlement = Settlement()
    old, new = frozenset(VMS[:1]), frozenset(VMS[1:2])
    settlement.begin(old, old | new, 0)
    settlement.begin(new, old | new, 10)
    settlement.confirm(VMS[1])
    assert not settlement.settled(20)
    settlement.begin(new, new, 30)
    settlement.confirm(VMS[1])
    assert not settlement.settled(5029)
    assert settlement.settled(5030)


def test_paused_borrower_starts_nothing_on_an_old_lease(pair):
    first, _second, owners = pair
    running = offer(owners[first], 10, 1)
    offer(owners[first], 10, 4)
    running += exchange(first, owners, 10)
    assert len(running) == 2
    woken = owners[first].finish(make_outcome(running[1]), 2100)
    assert not list_starts(woken)
    assert (
        len(list_starts(owners[first].finish(make_outcome(running[0]), 2101)))
        == 1
    )


def test_long_paused_owner_asks_before_it_starts(pair):
    first, _second, owners = pair
    assert not offer(owners[first], 3000)
    assert exchange(first, owners, 3001)


def test_share_moved_by_a_repartition_waits_for_its_holder():
    server = make_server(FIRST_BACKEND, 1)
    moved = {
        shard: replace(
            topology_of(VMS[:2], server),
            workloads={WORKLOAD: make_workload(shard)},
        )
        for shard in 'pqrstu'
    }
    firsts = {
        shard: rank_owners(
            list_owner_keys(topology, DATA_CENTRE)[FIRST_BACKEND][0], VMS[:2]
        )[0]
        for shard, topology in moved.items()
    }
    before, after = (
        next(shard for shard, first in firsts.items() if first == vm)
        for vm in VMS[:2]
    )
    owner = Owner(VMS[1], DATA_CENTRE, Random(1))
    owner.use_topology(moved[before], 0)
    owner.tick(2500)
    owner.use_topology(moved[after], 5000)
    assert not offer(owner, 5001)
    assert not list_starts(owner.tick(7500))
    assert list_starts(owner.tick(10_000))


def test_successor_of_a_lender_is_not_confirmed_while_the_loan_runs(pair):
    first, second, owners = pair
    offer(owners[first], 10, 3)
    exchange(first, owners, 10)
    owners[second] = Owner(second, DATA_CENTRE, Random(9))
    owners[second].use_topology(
        topology_of(VMS[:2], make_server(FIRST_BACKEND, 2)),
        20,
    )
    exchange(second, owners, 20)
    assert not offer(owners[second], 21)


@given(st.integers(1, 64), st.sets(st.sampled_from(VMS), min_size=1))
def test_shares_of_one_list_use_all_slots(slots, vms):
    server = make_server(FIRST_BACKEND, slots)
    views = [view_of(vm, vms, server) for vm in vms]
    assert sum(view.amount for view in views) == min(slots, 50)
    assert max(view.amount for view in views) >= slots // 3


@given(
    st.integers(1, 40),
    st.lists(
        st.sets(st.sampled_from(VMS), max_size=2),
        min_size=len(VMS),
        max_size=len(VMS),
    ),
)
def test_connections_stay_under_the_limit_for_lists_that_differ(slots, missing):
    server = make_server(FIRST_BACKEND, slots)
    views = [
        view_of(vm, set(VMS) - unlisted, server)
        for vm, unlisted in zip(VMS, missing, strict=True)
    ]
    claimants = [view for view in views if view.amount]
    together = len(claimants) * split_connections(server)
    assert together + slots <= server.max_connections


def test_server_with_two_connections_has_one_for_each_slot():
    server = make_server(FIRST_BACKEND, 2).model_copy(
        update={'max_connections': 2}
    )
    owner = Owner(VMS[0], DATA_CENTRE, Random(1))
    owner.use_topology(topology_of(VMS[:1], server), 0)
    assert start_attempt(owner, make_sub_request())
    assert owner.connection_allowance(FIRST_BACKEND) == 2
