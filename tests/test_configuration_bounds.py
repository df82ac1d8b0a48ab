"""Reads and pulls stay within their bounds whatever other VMs do."""

import random

from dandelionstage.configuration.commands import Heads
from dandelionstage.configuration.pulls import Pulls
from dandelionstage.configuration.read_schedule import ReadingRole, ReadSchedule
from dandelionstage.configuration.store import DocumentStore
from dandelionstage.model.ids import Revision, VmId
from dandelionstage.model.messages import Digest

_PEER = VmId('vm-2')
_NO_HEADS = Heads(Revision(0), ())


def test_a_service_that_never_waits_is_read_at_a_bounded_rate():
    schedule = ReadSchedule(DocumentStore(), random.Random(0))
    reads = 0
    for now_ms in range(0, 60_000, 10):
        if schedule.tick(now_ms, ReadingRole.READER, 5):
            reads += 1
            schedule.finish_heads(_NO_HEADS, now_ms, ReadingRole.READER)
    # A burst of 100 reads, then 10 reads per second for 60 s.
    assert reads <= 100 + 60 * 10


def test_failed_reads_are_spaced_out():
    schedule = ReadSchedule(DocumentStore(), random.Random(0))
    reads = 0
    for now_ms in range(0, 60_000, 10):
        if schedule.tick(now_ms, ReadingRole.READER, 5):
            reads += 1
            schedule.finish_heads(None, now_ms, ReadingRole.READER)
    # The delay grows to 1000 ms, times a random factor from 0.5 to 1.5.
    assert 40 <= reads <= 90


def test_a_peer_with_an_empty_answer_is_not_asked_again():
    pulls = Pulls(DocumentStore(), random.Random(0))
    other = Digest(1, Revision(0))
    asked = pulls.compare(_PEER, other, 0)
    assert asked
    assert pulls.compare(_PEER, other, 2000)
    last_call = pulls.compare(_PEER, other, 4000)[0].pull.call
    pulls.record_unsuccessful_pull(last_call)
    for now_ms in range(6000, 60_000, 1000):
        assert not pulls.compare(_PEER, other, now_ms)
    assert pulls.compare(_PEER, Digest(2, Revision(0)), 60_000)


def test_a_peer_that_is_ahead_is_asked_only_for_newer_documents():
    pulls = Pulls(DocumentStore(), random.Random(0))
    pull = pulls.compare(_PEER, Digest(1, Revision(9)), 0)[0].pull
    assert pull.above == 0
    assert not pull.held
    assert not pulls.compare(_PEER, Digest(1, Revision(9)), 100)
