"""Selection of store readers and its changes after faults."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.spread.members import Members


def make_members(own, others, at_ms=0.0, data_centres=2):
    members = Members(own, 'z0')
    for number, vm in enumerate(others):
        members.record(
            vm, 'z{0}'.format(number % data_centres), at_ms, has_store=True
        )
    return members


VMS = tuple('10.0.0.{0}:1'.format(number) for number in range(8))


def all_views(at_ms=0.0):
    """Yield each VM's table of the same fleet."""
    data_centres = {
        vm: 'z{0}'.format(number % 2) for number, vm in enumerate(VMS)
    }
    for own in VMS:
        members = Members(own, data_centres[own])
        for vm in VMS:
            members.record(vm, data_centres[vm], at_ms, has_store=True)
        yield members


def test_all_agree_on_two_readers_in_two_data_centres():
    readers = {tuple(members.readers(0)) for members in all_views()}
    assert len(readers) == 1
    first, second = readers.pop()
    assert VMS.index(first) % 2 != VMS.index(second) % 2


def test_single_vm_is_a_reader():
    assert Members('a:1', 'z').is_reader(0)


@pytest.mark.parametrize('lost', range(2))
def test_silent_reader_is_replaced(lost):
    members = next(all_views())
    silent = members.readers(0)[lost]
    for vm in VMS:
        if vm != silent:
            members.record(vm, 'z0', 2500, has_store=True)
    assert silent not in members.readers(2500)
    assert len(members.readers(2500)) == 2


def test_reader_without_the_store_is_replaced():
    members = next(all_views())
    lost = members.readers(0)[0]
    members.record(lost, 'z0', 100, has_store=False)
    assert lost not in members.readers(100)


def test_two_vms_keep_trying_if_none_reaches_the_store():
    for members in all_views():
        members.has_store = False
        for vm in VMS:
            members.record(vm, 'z0', 100, has_store=False)
        assert len(members.readers(100)) == 2


def test_silent_vms_are_counted_until_they_expire():
    members = make_members('a:1', VMS)
    members.expire(60_000)
    assert len(members) == 9
    members.expire(601_000)
    assert len(members) == 1


@given(st.permutations([3.0, 9.0, 5.0]))
def test_newest_state_wins_in_any_order(times):
    members = Members('a:1', 'z')
    for at_ms in times:
        members.record('b:1', 'z', at_ms, has_store=at_ms == 9)
    assert members.alive(2005) == ['b:1']
    assert not members.alive(2010)
    assert len(members.readers(2005)) == 2


def test_every_hello_of_a_large_fleet_contains_the_readers():
    others = [
        '10.1.{0}.{1}:1'.format(*divmod(each, 250)) for each in range(999)
    ]
    members = make_members('a:1', others)
    readers = [vm for vm in members.readers(0) if vm != 'a:1']
    for seed in range(20):
        chosen = [vm for vm, _ in members.choose_for_hello(0, Random(seed))]
        assert set(readers) <= set(chosen)
        assert len(chosen) <= 6
