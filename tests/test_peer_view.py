"""Readers are few, and a VM that hears of none reads for itself."""

import random

from dandelionstage.configuration.store import DocumentStore
from dandelionstage.daemon.peer_view import place_seeds, view_peers
from dandelionstage.membership.members import Members
from dandelionstage.membership.messages import Identity
from dandelionstage.model.ids import DataCentreId, Incarnation, VmId
from dandelionstage.model.messages import Leaving
from dandelionstage.settings.model import SeedPeer
from tools.virtual.documents import list_vms

_HOME = DataCentreId('zdar')
_NAMES = tuple(VmId('zdar-{0}'.format(number)) for number in range(5))


def _make(vm: VmId) -> Members:
    identity = Identity(vm, Incarnation(1), _HOME)
    return Members(identity, DocumentStore().digest, random.Random(0))


def _reads(vm: VmId, members: Members) -> bool:
    return view_peers(members, Identity(vm, Incarnation(1), _HOME)).is_reader()


def test_two_of_five_read_and_another_takes_over():
    members = {vm: _make(vm) for vm in _NAMES}
    for member in members.values():
        member.replace_published(list_vms({'zdar': 5, 'trebic': 5}))
    readers = [vm for vm in _NAMES if _reads(vm, members[vm])]
    assert len(readers) == 2
    for member in members.values():
        member.note_leaving(Leaving(readers[0], Incarnation(1)))
    after = [vm for vm in _NAMES if _reads(vm, members[vm])]
    assert len(after) == 2
    assert after != readers
    assert readers[1] in after


def test_a_vm_that_knows_of_no_other_reads():
    assert _reads(_NAMES[0], _make(_NAMES[0]))


def test_a_vm_that_is_not_published_leaves_it_to_those_that_are():
    members = _make(_NAMES[4])
    seeds = [
        SeedPeer(vm=vm, data_centre=_HOME, host='127.0.0.1', inner_port=7000)
        for vm in _NAMES[:2]
    ]
    members.replace_published(place_seeds(seeds))
    assert not _reads(_NAMES[4], members)
