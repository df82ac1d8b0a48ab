"""Leases of slots between owners, and the split of limits over VMs.

Guards against two VMs using the same slot, for example a lender and a borrower
after a pause, a restart or a change of the published list.
"""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.limits.leases import Lease, Loans
from dandelionstage.limits.owner_keys import list_owner_keys
from dandelionstage.limits.published_share import PublishedShare
from dandelionstage.limits.published_vms import list_published
from dandelionstage.limits.server_split import (
    connections_per_holder,
    slot_share,
)
from dandelionstage.limits.share_confirmation import ShareConfirmation
from dandelionstage.limits.slot_account import SlotAccount
from dandelionstage.limits.slot_use import SlotHold
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
from tests.owner_fakes import (
    DATA_CENTRE,
    FIRST_BACKEND,
    list_starts,
    make_outcome,
    make_server,
    make_sub_request,
    make_topology,
    start_attempt,
)

VMS = tuple(map(VmId, 'abcdefgh'))
WORKLOAD = WorkloadId('w')


def make_vm_topology(vms, server):
    """Make documents with a server and a list of VMs."""
    return replace(
        make_topology(server), vm_lists={DATA_CENTRE: tuple(sorted(vms))}
    )


def share_of(vm: VmId, vms: set[VmId], server: BackendServer) -> PublishedShare:
    """Compute one VM's share of a server."""
    topology = make_vm_topology(vms, server)
    keys = list_owner_keys(topology, DATA_CENTRE)[server.backend]
    return slot_share(vm, server, keys, list_published(topology, DATA_CENTRE))


@pytest.fixture
def two_owners():
    """Make the first and the second ranked owner of a server of two slots."""
    server = make_server(FIRST_BACKEND, 2)
    topology = make_vm_topology(VMS[:2], server)
    key = list_owner_keys(topology, DATA_CENTRE)[FIRST_BACKEND][0]
    first, second = rank_owners(key, VMS[:2])
    owners = {vm: Owner(vm, DATA_CENTRE, Random(vm)) for vm in (first, second)}
    for owner in owners.values():
        owner.use_topology(topology, 0)
    for vm, owner in owners.items():
        exchange(vm, owners, 0)
    return first, second, owners


def make_workload(shard: str) -> Workload:
    """Make a workload with one shard at the server."""
    snapshot = Snapshot(
        snapshot=SnapshotId('now'),
        shard_map_revision=Revision(1),
        published_at_s=0,
        shards={ShardId(shard): (FIRST_BACKEND,)},
    )
    return Workload(workload=WORKLOAD, snapshots=(snapshot,))


def exchange(vm, owners, now_ms):
    """Deliver a VM's requests and their grants; list the started attempts."""
    started = []
    for to, request in owners[vm].requests(now_ms):
        grant = owners[to].receive_request(vm, request, now_ms)
        started += list_starts(owners[vm].receive_grant(to, grant, now_ms))
    return started


def offer(owner: Owner, now_ms: float, count: int = 1, left_ms: float = 9000):
    """Offer work to an owner; list the started attempts."""
    commands = []
    for _ in range(count):
        sub_request = make_sub_request((FIRST_BACKEND,), remaining_ms=left_ms)
        commands += owner.offer(sub_request, now_ms)
    return list_starts(commands)


def test_nothing_starts_before_the_share_is_confirmed():
    server = make_server(FIRST_BACKEND, 2)
    owner = Owner(VMS[0], DATA_CENTRE, Random(1))
    owner.use_topology(make_vm_topology(VMS[:2], server), 0)
    assert not offer(owner, 1)
    owner.tick(2500)
    assert not list_starts(owner.tick(4999))
    assert list_starts(owner.tick(5000))


def test_second_rank_uses_its_reserve_without_the_first(two_owners):
    _first, second, owners = two_owners
    assert len(offer(owners[second], 10, 2)) == 1


def test_first_rank_borrows_the_reserve(two_owners):
    first, _second, owners = two_owners
    assert len(offer(owners[first], 10, 3)) == 1
    assert len(exchange(first, owners, 10)) == 1


def test_lender_starts_no_work_on_lent_slots(two_owners):
    first, second, owners = two_owners
    offer(owners[first], 10, 3)
    exchange(first, owners, 10)
    assert not offer(owners[second], 20, 1)
    assert not list_starts(owners[second].tick(2009))
    assert list_starts(owners[second].tick(2010))


def test_lender_with_queued_work_lends_nothing(two_owners):
    first, second, owners = two_owners
    offer(owners[second], 5, 2)
    offer(owners[first], 10, 3)
    assert not exchange(first, owners, 10)


def test_work_on_a_borrowed_slot_ends_with_the_lease(two_owners):
    first, _second, owners = two_owners
    offer(owners[first], 10, 3)
    borrowed = exchange(first, owners, 10)
    assert borrowed[0].deadline_ms <= 10 + 2000


def test_lease_duration_counts_from_the_request(two_owners):
    first, second, owners = two_owners
    offer(owners[first], 10, 3)
    to, request = owners[first].requests(10)[0]
    grant = owners[second].receive_request(first, request, 900)
    assert to == second
    assert not owners[first].receive_grant(second, grant, 2005)


def test_grant_for_another_request_is_ignored(two_owners):
    first, second, owners = two_owners
    offer(owners[first], 10, 3)
    _to, request = owners[first].requests(10)[0]
    grant = owners[second].receive_request(first, request, 10)
    other = replace(grant, call=CallId('other'))
    assert not owners[first].receive_grant(second, other, 12)
    assert owners[first].receive_grant(second, grant, 12)
    assert not owners[first].receive_grant(second, grant, 12)


def test_loan_is_not_renewed_when_the_lender_needs_it(two_owners):
    first, second, owners = two_owners
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
    assert loans.total(100) == 3
    assert loans.total(2000) == 1
    assert loans.total(2100) == 0


def test_lease_about_to_end_offers_no_slot():
    account = SlotAccount()
    account.borrowed.add(VMS[0], Lease(1, 1000))
    assert account.find_slot(200, 800)
    assert not account.find_slot(200, 801)


def test_owner_using_more_than_its_own_slots_confirms_no_share():
    account = SlotAccount()
    possible_holders = frozenset(VMS)
    account.own.follow(
        PublishedShare(2, (), possible_holders, 'x'), possible_holders, 0
    )
    for _ in range(2):
        account.use.acquire(account.find_slot(0, 5000))
    account.own.follow(
        PublishedShare(1, (), possible_holders, 'y'), possible_holders, 5001
    )
    assert not account.holds_nothing_of(VMS[1], 5002)
    account.use.release(SlotHold(None, 0), 5003, 5003)
    assert account.holds_nothing_of(VMS[1], 5003)


def test_later_change_still_waits_for_earlier_holders():
    confirmation = ShareConfirmation()
    old, new = frozenset(VMS[:1]), frozenset(VMS[1:2])
    confirmation.begin(old, old | new, 0)
    confirmation.begin(new, old | new, 10)
    confirmation.confirm(VMS[1])
    assert not confirmation.is_complete(20)
    confirmation.begin(new, new, 30)
    confirmation.confirm(VMS[1])
    assert not confirmation.is_complete(5029)
    assert confirmation.is_complete(5030)


def test_paused_borrower_starts_no_work_on_an_ended_lease(two_owners):
    first, _second, owners = two_owners
    running = offer(owners[first], 10, 1)
    offer(owners[first], 10, 4)
    running += exchange(first, owners, 10)
    assert len(running) == 2
    commands = owners[first].finish(make_outcome(running[1]), 2100)
    assert not list_starts(commands)
    assert (
        len(list_starts(owners[first].finish(make_outcome(running[0]), 2101)))
        == 1
    )


def test_owner_needs_confirmation_after_a_long_pause(two_owners):
    first, _second, owners = two_owners
    assert not offer(owners[first], 3000)
    assert exchange(first, owners, 3001)


def test_share_moved_by_a_repartition_waits_for_its_holder():
    server = make_server(FIRST_BACKEND, 1)
    moved = {
        shard: replace(
            make_vm_topology(VMS[:2], server),
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


def test_restarted_lender_is_not_confirmed_while_its_loan_runs(two_owners):
    first, second, owners = two_owners
    offer(owners[first], 10, 3)
    exchange(first, owners, 10)
    owners[second] = Owner(second, DATA_CENTRE, Random(9))
    owners[second].use_topology(
        make_vm_topology(VMS[:2], make_server(FIRST_BACKEND, 2)),
        20,
    )
    exchange(second, owners, 20)
    assert not offer(owners[second], 21)


@given(st.integers(1, 64), st.sets(st.sampled_from(VMS), min_size=1))
def test_shares_of_one_list_use_all_slots(slots, vms):
    server = make_server(FIRST_BACKEND, slots)
    shares = [share_of(vm, vms, server) for vm in vms]
    # The server accepts 50 connections, so no more slots are usable.
    assert sum(share.amount for share in shares) == min(slots, 50)
    assert max(share.amount for share in shares) >= slots // 3


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
    shares = [
        share_of(vm, set(VMS) - unlisted, server)
        for vm, unlisted in zip(VMS, missing, strict=True)
    ]
    holders = [share for share in shares if share.amount]
    base_connections = len(holders) * connections_per_holder(server)
    assert base_connections + slots <= server.max_connections


def test_server_with_two_connections_has_one_for_each_slot():
    server = make_server(FIRST_BACKEND, 2).model_copy(
        update={'max_connections': 2}
    )
    owner = Owner(VMS[0], DATA_CENTRE, Random(1))
    owner.use_topology(make_vm_topology(VMS[:1], server), 0)
    assert start_attempt(owner, make_sub_request())
    assert owner.connection_allowance(FIRST_BACKEND) == 2
