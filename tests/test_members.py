"""Members learn of lost, leaving and restarted VMs, and forget nothing."""

from random import Random
from types import MappingProxyType

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.configuration.store import DocumentStore
from dandelionstage.membership.messages import Identity, MemberState, ProbeKind
from dandelionstage.membership.member_status import DEFAULT_STATUS, MemberStatus
from dandelionstage.membership.members import Members
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

_TODAY = MappingProxyType(
    {'jihlava': 5, 'trebic': 5, 'pelhrimov': 5, 'zdar': 5},
)
_HOME = DataCentreId('jihlava')
_VM = VmId('jihlava-1')
_SETTLE_MS = 3000


@pytest.fixture(params=range(3))
def fleet(request):
    vms = VirtualFleet(_TODAY, seed=request.param)
    vms.start()
    vms.network.run(_SETTLE_MS)
    return vms


def _members(fleet: VirtualFleet) -> list[Members]:
    return [vm.members for vm in fleet.vms.values()]


def _others(fleet: VirtualFleet) -> list[Members]:
    return [vm.members for name, vm in fleet.vms.items() if name != _VM]


def _states(fleet: VirtualFleet) -> set[MemberState]:
    return {member.state_of(_VM) for member in _others(fleet)}


def test_nobody_is_suspected_in_a_healthy_fleet(fleet):
    fleet.network.lost_fraction = 0.02
    while fleet.network.now_ms < 30_000:
        fleet.network.run(1000)
        for member in _members(fleet):
            assert len(member.live(_HOME)) == 5


def test_a_slow_network_makes_nobody_suspected(fleet):
    fleet.network.longest_ms = 150
    while fleet.network.now_ms < 20_000:
        fleet.network.run(1000)
        for member in _members(fleet):
            assert len(member.live(_HOME)) == 5


def test_doubled_and_overtaken_probes_change_no_belief(fleet):
    fleet.network.longest_ms = 60
    fleet.network.doubled_fraction = 0.5
    leaver = fleet.vms[_VM].members
    leaver.note_leaving(Leaving(_VM, Incarnation(1)))
    fleet.network.run(8000)
    assert _states(fleet) == {MemberState.LEAVING}


def test_leaving_is_noticed_without_the_published_list(fleet):
    """The list goes on to name the VM as live, or cannot be read at all."""
    fleet.service.treat(ServiceMode.DOWN)
    leaver = fleet.vms[_VM].members
    leaver.note_leaving(Leaving(_VM, Incarnation(1)))
    fleet.network.run(2000)
    for vm in fleet.names_in('jihlava'):
        assert _VM not in fleet.vms[vm].members.live(_HOME)


def test_a_lost_vm_is_suspected_in_its_data_centre_within_two_seconds(fleet):
    fleet.stop([_VM])
    fleet.network.run(2000)
    for vm in fleet.names_in('jihlava') - {_VM}:
        member = fleet.vms[vm].members
        assert _VM not in member.live(_HOME)
        assert member.usable(_HOME)[-1] == _VM


def test_a_lost_vm_is_suspected_everywhere_within_five_seconds(fleet):
    fleet.stop([_VM])
    fleet.network.run(5000)
    assert _states(fleet) == {MemberState.SUSPECTED}


def test_a_vm_that_was_frozen_is_trusted_again_soon(fleet):
    fleet.vms[_VM].process.freeze()
    fleet.network.run(10_000)
    assert _states(fleet) == {MemberState.SUSPECTED}
    fleet.vms[_VM].process.wake()
    fleet.network.run(3000)
    assert _states(fleet) == {MemberState.ALIVE}


def test_a_late_waker_suspects_nobody(fleet):
    fleet.vms[_VM].process.freeze()
    fleet.network.run(10_000)
    fleet.vms[_VM].process.wake()
    waker = fleet.vms[_VM].members
    while fleet.network.now_ms < 14_000:
        fleet.network.run(50)
        assert len(waker.live(_HOME)) >= 4


def test_leaving_is_final_until_a_new_incarnation(fleet):
    fleet.vms[_VM].members.note_leaving(Leaving(_VM, Incarnation(1)))
    fleet.network.run(5000)
    assert _states(fleet) == {MemberState.LEAVING}
    fleet.service.write(
        DocumentKey('vms/jihlava'),
        vms_json(fleet.published, _HOME),
    )
    fleet.network.run(5000)
    assert _states(fleet) == {MemberState.LEAVING}
    fleet.start([_VM], incarnation=2)
    fleet.network.run(5000)
    assert _states(fleet) == {MemberState.ALIVE}
    late_hearer = fleet.vms[VmId('zdar-0')].members
    late_hearer.note_leaving(Leaving(_VM, Incarnation(1)))
    fleet.network.run(5000)
    assert _states(fleet) == {MemberState.ALIVE}


def test_a_cut_data_centre_is_trusted_again_after_healing(fleet):
    inside = fleet.vms[_VM].members
    outside = fleet.vms[VmId('zdar-0')].members
    fleet.cut_off('jihlava')
    fleet.network.run(20_000)
    assert len(inside.live(_HOME)) == 5
    assert not outside.live(_HOME)
    fleet.cut_off()
    fleet.network.run(30_000)
    for member in _members(fleet):
        assert len(member.live(_HOME)) == 5


def test_a_vm_reached_by_others_is_not_suspected(fleet):
    """A broken way between two VMs alone is bridged by the others."""
    pair = frozenset((_VM, VmId('jihlava-2')))
    fleet.network.broken_pairs.add(pair)
    while fleet.network.now_ms < 20_000:
        fleet.network.run(1000)
        assert _states(fleet) == {MemberState.ALIVE}


def test_a_vm_that_is_not_published_is_not_taken_in(fleet):
    published = dict(fleet.published)
    published.pop(_VM)
    fleet.service.write(
        DocumentKey('vms/jihlava'),
        vms_json(published, _HOME),
    )
    fleet.network.run(1000)
    fleet.start([_VM], incarnation=2)
    fleet.network.run(5000)
    for member in _others(fleet):
        assert _VM not in member.usable(_HOME)
        assert member.incarnation_of(_VM) < 2


def test_a_pause_after_a_lost_answer_makes_nobody_suspected():
    """The wait for the others' answer ran out while the process slept."""
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


_STANDINGS = st.builds(
    MemberStatus,
    st.integers(0, 2).map(Incarnation),
    st.sampled_from(MemberState),
    st.integers(0, 2),
)


@given(st.lists(_STANDINGS, min_size=1), st.randoms(use_true_random=False))
def test_beliefs_come_out_the_same_in_any_order(heard, random):
    shuffled = heard.copy()
    random.shuffle(shuffled)
    first, second = _settle(heard), _settle(shuffled)
    assert first.incarnation == second.incarnation
    assert first.state is second.state


@given(st.lists(_STANDINGS))
def test_leaving_never_reverts_within_an_incarnation(heard):
    leaving = MemberStatus(Incarnation(1), MemberState.LEAVING)
    settled = _settle([leaving, *heard])
    if settled.incarnation == 1:
        assert settled.state is MemberState.LEAVING


def _settle(heard: list[MemberStatus]) -> MemberStatus:
    current = DEFAULT_STATUS
    for standing in heard:
        current = standing if standing.supersedes(current) else current
    return current


def test_cost_per_vm_does_not_grow_with_the_fleet():
    sent = []
    for size in (2, 8, 32):
        fleet = VirtualFleet({'plovdiv-a': size, 'plovdiv-b': size})
        fleet.start()
        fleet.network.run(10_000)
        probes = [vm.traffic.probes for vm in fleet.vms.values()]
        sent.append(sum(probes) / size)
    assert sent[2] < sent[0] * 1.2


def test_a_list_is_the_same_object_until_who_is_trusted_changes(fleet):
    member = fleet.vms[VmId('jihlava-0')].members
    before = member.live(_HOME)
    fleet.start([_VM], incarnation=2)
    fleet.network.run(3000)
    assert member.incarnation_of(_VM) == 2
    assert member.live(_HOME) is before
    fleet.stop([_VM])
    fleet.network.run(2000)
    assert _VM not in member.live(_HOME)
