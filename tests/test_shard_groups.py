"""Which VM asks which shards: even groups, the same choice everywhere."""

import itertools

import pytest

from dandelionstage.placing.shard_groups import (
    GroupVmSelector,
    split_into_groups,
)

VMS = tuple('10.0.0.{0}:1'.format(number) for number in range(30))


@pytest.mark.parametrize('count', [1, 20, 30, 39])
def test_few_shards_stay_together(count):
    assert list(split_into_groups(range(count))) == [range(count)]


@pytest.mark.parametrize('count', [40, 62, 90, 135, 300])
def test_many_shards_are_cut_evenly_and_none_is_lost(count):
    groups = list(split_into_groups(range(count)))
    assert list(itertools.chain.from_iterable(groups)) == list(range(count))
    sizes = [len(group) for group in groups]
    assert max(sizes) <= 15
    assert max(sizes) - min(sizes) <= 1


def test_every_vm_chooses_the_same_for_a_group():
    chosen = {
        GroupVmSelector().choose('shard-7', VMS, (), ()) for _ in range(3)
    }
    assert len(chosen) == 1


def test_groups_of_one_query_go_to_different_vms():
    ranking = GroupVmSelector()
    taken = []
    for number in range(9):
        taken.append(ranking.choose(str(number), VMS, taken, ()))
    assert len(set(taken)) == 9


def test_with_fewer_vms_than_groups_each_takes_several():
    ranking = GroupVmSelector()
    taken = []
    for number in range(9):
        taken.append(ranking.choose(str(number), VMS[:2], taken, ()))
    assert set(taken) == set(VMS[:2])


def test_a_vm_that_failed_is_passed_over_and_returns():
    ranking = GroupVmSelector()
    first = ranking.choose('g', VMS, (), ())
    second = ranking.choose('g', VMS, (), {first})
    assert second != first
    assert ranking.choose('g', VMS, (), ()) == first
    assert ranking.choose('g', VMS[:1], (), set(VMS)) is None


def test_the_loss_of_a_vm_moves_only_its_own_groups():
    groups = [str(number) for number in range(200)]
    before = {
        each: GroupVmSelector().choose(each, VMS, (), ()) for each in groups
    }
    after = {
        each: GroupVmSelector().choose(each, VMS[1:], (), ()) for each in groups
    }
    moved = {each for each in groups if before[each] != after[each]}
    assert moved == {each for each in groups if before[each] == VMS[0]}
