"""Checks which parts are merged and which snapshot is pinned.

A wrong, repeated or mixed part would make the records of an answer wrong.  A
snapshot that is not held for every shard would cost coverage or a restart.
"""

from dataclasses import replace

import pytest

from dandelionstage.model.messages import Part, Pin, Record
from dandelionstage.model.verdict import Reason
from dandelionstage.query.gather import Gather
from dandelionstage.query.held_snapshots import HeldSnapshots
from dandelionstage.query.snapshot_selection import pin_of, select_snapshot

from . import query_fleet as fleet

SHARDS = fleet.shard_map(2)
NEW = fleet.snapshot('S2', 2, SHARDS)
OLD = fleet.snapshot('S1', 1, SHARDS)
PUBLISHED = fleet.workload(NEW, OLD)
BACKENDS = ('b00-0', 'b00-1', 'b01-0', 'b01-1')


def part(shard=0, record='r'):
    records = (Record(record, 'body of {0}'.format(shard)),)
    name = 's0{0}'.format(shard)
    return Part(SHARDS[name][0], name, pin_of(NEW), records)


@pytest.mark.parametrize(
    ('change', 'fault'),
    [
        ({'pin': Pin('S1', 2)}, Reason.SNAPSHOT_MISMATCH),
        ({'pin': Pin('S2', 1)}, Reason.SNAPSHOT_MISMATCH),
        ({'shard': 's01'}, Reason.BAD_REPLY),
        ({'backend': 'b01-0'}, Reason.BAD_REPLY),
    ],
)
def test_part_with_wrong_ids_is_dropped(change, fault):
    gather = Gather(NEW)
    assert gather.merge(replace(part(), **change), 's00') is fault
    assert gather.coverage().answered == 0
    assert not gather.records()


def test_second_part_of_a_shard_is_dropped():
    gather = Gather(NEW)
    gather.merge(part(), 's00')
    assert gather.merge(part(record='other'), 's00') is Reason.BAD_REPLY
    assert [one.record for one in gather.records()] == ['r']


def test_record_on_two_shards_is_listed_once_in_any_order():
    forward, backward = Gather(NEW), Gather(NEW)
    for shard in (0, 1):
        forward.merge(part(shard), f's0{shard}')
    for shard in (1, 0):
        backward.merge(part(shard), f's0{shard}')
    assert len(forward.records()) == 1
    assert forward.records() == backward.records()


def test_newest_is_selected_without_reports():
    assert select_snapshot(PUBLISHED, HeldSnapshots(), (), 0) is NEW


def test_newest_held_for_every_shard_is_selected():
    held = HeldSnapshots()
    for backend in BACKENDS:
        held.update(backend, ('S1',), 0)
    assert select_snapshot(PUBLISHED, held, (), 1) is OLD
    held.update('b00-1', ('S1', 'S2'), 2)
    held.update('b01-0', ('S1', 'S2'), 2)
    assert select_snapshot(PUBLISHED, held, (), 3) is NEW


def test_old_report_expires():
    held = HeldSnapshots()
    for backend in BACKENDS:
        held.update(backend, ('S1',), 0)
    assert select_snapshot(PUBLISHED, held, (), 31_000) is NEW


def test_missing_shard_rules_out_its_pin_until_it_expires():
    held = HeldSnapshots()
    for backend in BACKENDS:
        held.update(backend, ('S1', 'S2'), 0)
    for backend in SHARDS['s00']:
        held.mark_missing(backend, 's00', pin_of(NEW), 0)
    assert select_snapshot(PUBLISHED, held, (), 1) is OLD
    assert select_snapshot(PUBLISHED, held, (), 6000) is NEW


def test_excluded_pin_is_not_selected():
    held = HeldSnapshots()
    assert select_snapshot(PUBLISHED, held, (pin_of(NEW),), 0) is OLD
    assert (
        select_snapshot(PUBLISHED, held, (pin_of(NEW), pin_of(OLD)), 0) is None
    )
