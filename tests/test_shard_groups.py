"""Splitting shards into groups and selecting the same VM on every VM."""

import itertools

import pytest

from dandelionstage.placing.shard_groups import (
    GroupVmSelector,
    split_into_groups,
)

VMS = tuple('10.0.0.{0}:1'.format(number) for number in range(30))


@pytest.mark.parametrize('count', [1, 20, 30, 39])
def test_few_shards_form_one_group(count):
    assert list(split_into_groups(range(count))) == [range(count)]


@pytest.mark.parametrize('count', [40, 62, 90, 135, 300])
def test_many_shards_are_split_evenly_and_completely(count):
    groups = list(split_into_groups(range(count)))
    assert list(itertools.chain.from_iterable(groups)) == list(range(count))
    sizes = [len(group) for group in groups]
    assert max(sizes) <= 15
    assert max(sizes) - min(sizes) <= 1


def test_every_vm_selects_the_same_vm_for_a_group():
    chosen = {
        GroupVmSelector().choose('shard-7', VMS, (), ()) for _ in range(3)
    }
    assert len(chosen) == 1


def test_groups_of_one_query_go_to_different_vms():
    selector = GroupVmSelector()
    assigned = []
    for number in range(9):
        assigned.append(selector.choose(str(number), VMS, assigned, ()))
    assert len(set(assigned)) == 9


def test_with_fewer_vms_than_groups_every_vm_is_selected():
    selector = GroupVmSelector()
    assigned = []
    for number in range(9):
        assigned.append(selector.choose(str(number), VMS[:2], assigned, ()))
    assert set(assigned) == set(VMS[:2])


def test_avoided_vm_is_not_selected_until_it_is_allowed_again():
    selector = GroupVmSelector()
    first = selector.choose('g', VMS, (), ())
    second = selector.choose('g', VMS, (), {first})
    assert second != first
    assert selector.choose('g', VMS, (), ()) == first
    assert selector.choose('g', VMS[:1], (), set(VMS)) is None


def test_losing_a_vm_moves_only_its_own_groups():
    groups = [str(number) for number in range(200)]
    before = {
        each: GroupVmSelector().choose(each, VMS, (), ()) for each in groups
    }
    after = {
        each: GroupVmSelector().choose(each, VMS[1:], (), ()) for each in groups
    }
    moved = {each for each in groups if before[each] != after[each]}
    assert moved == {each for each in groups if before[each] == VMS[0]}
