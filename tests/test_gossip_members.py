"""Who reads the store, and how the answer follows the faults."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.spread.members import Members


def make(own, others, at_ms=0.0, zones=2):
    members = Members(own, 'z0')
    for number, vm in enumerate(others):
        members.record(vm, 'z{0}'.format(number % zones), at_ms, has_store=True)
    return members


VMS = tuple('10.0.0.{0}:1'.format(number) for number in range(8))


def views(at_ms=0.0):
    """What each VM sees, all of the same fleet."""
    zones = {vm: 'z{0}'.format(place % 2) for place, vm in enumerate(VMS)}
    for own in VMS:
        members = Members(own, zones[own])
        for vm in VMS:
            members.record(vm, zones[vm], at_ms, has_store=True)
        yield members


def test_all_agree_on_two_readers_in_two_data_centres():
    readers = {tuple(members.readers(0)) for members in views()}
    assert len(readers) == 1
    first, second = readers.pop()
    assert VMS.index(first) % 2 != VMS.index(second) % 2


def test_vm_alone_reads():
    assert Members('a:1', 'z').is_reader(0)


@pytest.mark.parametrize('lost', range(2))
def test_reader_that_falls_silent_is_replaced_in_time(lost):
    members = next(views())
    gone = members.readers(0)[lost]
    for vm in VMS:
        if vm != gone:
            members.record(vm, 'z0', 2500, has_store=True)
    assert gone not in members.readers(2500)
    assert len(members.readers(2500)) == 2


def test_reader_that_lost_the_store_lets_others_read():
    members = next(views())
    lost = members.readers(0)[0]
    members.record(lost, 'z0', 100, has_store=False)
    assert lost not in members.readers(100)


def test_when_nobody_has_the_store_only_two_go_on_trying():
    for members in views():
        members.has_store = False
        for vm in VMS:
            members.record(vm, 'z0', 100, has_store=False)
        assert len(members.readers(100)) == 2


def test_vms_that_are_gone_still_count_for_shares():
    members = make('a:1', VMS)
    members.expire(60_000)
    assert len(members) == 9
    members.expire(601_000)
    assert len(members) == 1


@given(st.permutations([3.0, 9.0, 5.0]))
def test_newest_evidence_wins_in_any_order(times):
    members = Members('a:1', 'z')
    for at_ms in times:
        members.record('b:1', 'z', at_ms, has_store=at_ms == 9)
    assert members.alive(2005) == ['b:1']
    assert not members.alive(2010)
    assert len(members.readers(2005)) == 2


def test_readers_are_told_of_in_every_hello_of_a_large_fleet():
    others = [
        '10.1.{0}.{1}:1'.format(*divmod(each, 250)) for each in range(999)
    ]
    members = make('a:1', others)
    readers = [vm for vm in members.readers(0) if vm != 'a:1']
    for seed in range(20):
        told = [vm for vm, _ in members.choose_for_hello(0, Random(seed))]
        assert set(readers) <= set(told)
        assert len(told) <= 6
