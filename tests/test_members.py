"""Members detect lost, leaving and restarted VMs; old news changes nothing."""

from random import Random
from types import MappingProxyType

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.configuration.store import DocumentStore
from dandelionstage.membership.member_status import DEFAULT_STATUS, MemberStatus
from dandelionstage.membership.members import Members
from dandelionstage.membership.messages import Identity, MemberState, ProbeKind
from dandelionstage.model.ids import (
    DataCentreId,
    DocumentKey,
    Incarnation,
    VmId,
)
from dandelionstage.model.messages import Leaving
from tools.standins.config_history import ServiceMode
from tools.virtual.documents import list_vms, vms_json
from tools.virtual.fleet import VirtualFleet

_FLEET_SIZES = MappingProxyType(
    {'jihlava': 5, 'trebic': 5, 'pelhrimov': 5, 'zdar': 5},
)
_DATA_CENTRE = DataCentreId('jihlava')
_VM = VmId('jihlava-1')
#: Time given to a fleet after its start.
_SETTLE_MS = 3000


@pytest.fixture(params=range(3))
def fleet(request):
    vms = VirtualFleet(_FLEET_SIZES, seed=request.param)
    vms.start()
    vms.network.run(_SETTLE_MS)
    return vms


def _members(fleet: VirtualFleet) -> list[Members]:
    return [vm.members for vm in fleet.vms.values()]


def _others(fleet: VirtualFleet) -> list[Members]:
    return [vm.members for name, vm in fleet.vms.items() if name != _VM]


def _states(fleet: VirtualFleet) -> set[MemberState]:
    return {member.state_of(_VM) for member in _others(fleet)}


def test_no_vm_is_suspected_in_a_healthy_fleet(fleet):
    fleet.network.lost_fraction = 0.02
    while fleet.network.now_ms < 30_000:
        fleet.network.run(1000)
        for member in _members(fleet):
            assert len(member.live(_DATA_CENTRE)) == 5


def test_no_vm_is_suspected_in_a_slow_network(fleet):
    fleet.network.longest_ms = 150
    while fleet.network.now_ms < 20_000:
        fleet.network.run(1000)
        for member in _members(fleet):
            assert len(member.live(_DATA_CENTRE)) == 5


def test_duplicated_and_reordered_probes_change_no_state(fleet):
    fleet.network.longest_ms = 60
    fleet.network.doubled_fraction = 0.5
    leaver = fleet.vms[_VM].members
    leaver.note_leaving(Leaving(_VM, Incarnation(1)))
    fleet.network.run(8000)
    assert _states(fleet) == {MemberState.LEAVING}


def test_leaving_is_noticed_without_the_published_list(fleet):
    """The list still names the VM as live, or cannot be read at all."""
    fleet.service.treat(ServiceMode.DOWN)
    leaver = fleet.vms[_VM].members
    leaver.note_leaving(Leaving(_VM, Incarnation(1)))
    fleet.network.run(2000)
    for vm in fleet.names_in('jihlava'):
        assert _VM not in fleet.vms[vm].members.live(_DATA_CENTRE)


def test_a_lost_vm_is_suspected_in_its_data_centre_within_two_seconds(fleet):
    fleet.stop([_VM])
    fleet.network.run(2000)
    for vm in fleet.names_in('jihlava') - {_VM}:
        member = fleet.vms[vm].members
        assert _VM not in member.live(_DATA_CENTRE)
        assert member.usable(_DATA_CENTRE)[-1] == _VM


def test_a_lost_vm_is_suspected_everywhere_within_five_seconds(fleet):
    fleet.stop([_VM])
    fleet.network.run(5000)
    assert _states(fleet) == {MemberState.SUSPECTED}


def test_a_frozen_vm_is_alive_again_soon_after_it_wakes(fleet):
    fleet.vms[_VM].process.freeze()
    fleet.network.run(10_000)
    assert _states(fleet) == {MemberState.SUSPECTED}
    fleet.vms[_VM].process.wake()
    fleet.network.run(3000)
    assert _states(fleet) == {MemberState.ALIVE}


def test_a_vm_that_wakes_late_suspects_no_others(fleet):
    fleet.vms[_VM].process.freeze()
    fleet.network.run(10_000)
    fleet.vms[_VM].process.wake()
    woken_vm = fleet.vms[_VM].members
    while fleet.network.now_ms < 14_000:
        fleet.network.run(50)
        assert len(woken_vm.live(_DATA_CENTRE)) >= 4


def test_leaving_is_final_until_a_new_incarnation(fleet):
    fleet.vms[_VM].members.note_leaving(Leaving(_VM, Incarnation(1)))
    fleet.network.run(5000)
    assert _states(fleet) == {MemberState.LEAVING}
    fleet.service.write(
        DocumentKey('vms/jihlava'),
        vms_json(fleet.published, _DATA_CENTRE),
    )
    fleet.network.run(5000)
    assert _states(fleet) == {MemberState.LEAVING}
    fleet.start([_VM], incarnation=2)
    fleet.network.run(5000)
    assert _states(fleet) == {MemberState.ALIVE}
    late_receiver = fleet.vms[VmId('zdar-0')].members
    late_receiver.note_leaving(Leaving(_VM, Incarnation(1)))
    fleet.network.run(5000)
    assert _states(fleet) == {MemberState.ALIVE}


def test_an_isolated_data_centre_is_alive_again_after_healing(fleet):
    inside = fleet.vms[_VM].members
    outside = fleet.vms[VmId('zdar-0')].members
    fleet.cut_off('jihlava')
    fleet.network.run(20_000)
    assert len(inside.live(_DATA_CENTRE)) == 5
    assert not outside.live(_DATA_CENTRE)
    fleet.cut_off()
    fleet.network.run(30_000)
    for member in _members(fleet):
        assert len(member.live(_DATA_CENTRE)) == 5


def test_a_vm_that_others_can_reach_is_not_suspected(fleet):
    """Other VMs relay probes if only the path between two VMs is broken."""
    pair = frozenset((_VM, VmId('jihlava-2')))
    fleet.network.broken_pairs.add(pair)
    while fleet.network.now_ms < 20_000:
        fleet.network.run(1000)
        assert _states(fleet) == {MemberState.ALIVE}


def test_an_unpublished_vm_is_not_listed(fleet):
    published = dict(fleet.published)
    published.pop(_VM)
    fleet.service.write(
        DocumentKey('vms/jihlava'),
        vms_json(published, _DATA_CENTRE),
    )
    fleet.network.run(1000)
    fleet.start([_VM], incarnation=2)
    fleet.network.run(5000)
    for member in _others(fleet):
        assert _VM not in member.usable(_DATA_CENTRE)
        assert member.incarnation_of(_VM) < 2


def test_no_vm_is_suspected_after_a_pause_with_a_probe_pending():
    """The wait for indirect answers expires while the process is paused."""
    own = Identity(
        VmId('plovdiv-a-0'),
        Incarnation(1),
        DataCentreId('plovdiv-a'),
    )
    member = Members(own, DocumentStore().digest, Random(0))
    member.replace_published(list_vms({'plovdiv-a': 3}))
    member.tick(0)
    asked = [send.probe.kind for send in member.tick(500)]
    assert ProbeKind.PING_REQUEST in asked
    member.tick(60_000)
    assert len(member.live(DataCentreId('plovdiv-a'))) == 3


_STATUSES = st.builds(
    MemberStatus,
    st.integers(0, 2).map(Incarnation),
    st.sampled_from(MemberState),
    st.integers(0, 2),
)


@given(st.lists(_STATUSES, min_size=1), st.randoms(use_true_random=False))
def test_statuses_received_in_any_order_give_the_same_result(received, random):
    shuffled = received.copy()
    random.shuffle(shuffled)
    first, second = _latest_status(received), _latest_status(shuffled)
    assert first.incarnation == second.incarnation
    assert first.state is second.state


@given(st.lists(_STATUSES))
def test_leaving_never_reverts_within_an_incarnation(received):
    leaving = MemberStatus(Incarnation(1), MemberState.LEAVING)
    latest = _latest_status([leaving, *received])
    if latest.incarnation == 1:
        assert latest.state is MemberState.LEAVING


def _latest_status(received: list[MemberStatus]) -> MemberStatus:
    current = DEFAULT_STATUS
    for status in received:
        current = status if status.supersedes(current) else current
    return current


def test_probes_per_vm_do_not_grow_with_the_fleet():
    sent = []
    for size in (2, 8, 32):
        fleet = VirtualFleet({'plovdiv-a': size, 'plovdiv-b': size})
        fleet.start()
        fleet.network.run(10_000)
        probes = [vm.traffic.probes for vm in fleet.vms.values()]
        sent.append(sum(probes) / size)
    assert sent[2] < sent[0] * 1.2


def test_a_list_is_the_same_object_until_its_members_change(fleet):
    member = fleet.vms[VmId('jihlava-0')].members
    before = member.live(_DATA_CENTRE)
    fleet.start([_VM], incarnation=2)
    fleet.network.run(3000)
    assert member.incarnation_of(_VM) == 2
    assert member.live(_DATA_CENTRE) is before
    fleet.stop([_VM])
    fleet.network.run(2000)
    assert _VM not in member.live(_DATA_CENTRE)
