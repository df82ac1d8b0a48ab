"""Cells of the fault matrix that concern queries, seen from the entry."""

from typing import Final

from dandelionstage.model.verdict import Reason, Run

__all__ = (
    'CELLS',
    'GUARDS',
    'LOSSES',
    'REFUSED',
    'REPEATED',
    'UNANSWERED',
)

_HERE: Final = 'tests/test_matrix_query.py::'
_TRUTH: Final = 'tests/test_query_truth.py::TestTruth::runTest'
_NOT: Final = Run.NOT_RUN
_MAY: Final = Run.MAY_HAVE_RUN

#: Faults that the entry hears of by a refusal, which names a backend server
#: or not: step, fault, reason, whether it may have run.
REFUSED: Final = (
    ('inner send', 'kill', Reason.PEER_UNREACHABLE, _NOT),
    ('inner send', 'cut', Reason.PEER_UNREACHABLE, _MAY),
    ('inner send', 'drain', Reason.STOPPING, _NOT),
    ('inner send', 'view disagreement', Reason.NOT_OWNER, _NOT),
    ('owner queue', 'kill', Reason.PEER_UNREACHABLE, _MAY),
    ('owner queue', 'cut', Reason.PEER_UNREACHABLE, _MAY),
    ('owner queue', 'shed', Reason.QUEUE_FULL, _NOT),
    ('owner queue', 'drain', Reason.BACKEND_DRAINING, _NOT),
    ('owner queue', 'view disagreement', Reason.UNKNOWN_BACKEND, _NOT),
    ('owner queue', 'service stale', Reason.UNKNOWN_BACKEND, _NOT),
    ('connect', 'kill', Reason.CONNECT_FAILED, _NOT),
    ('connect', 'cut', Reason.CONNECT_FAILED, _NOT),
    ('connect', 'silence', Reason.CONNECTION_SILENT, _NOT),
    ('connect', 'shed', Reason.CONNECTION_LIMIT, _NOT),
    ('connect', 'drain', Reason.BACKEND_DRAINING, _NOT),
    ('backend send', 'kill', Reason.CONNECTION_LOST, _MAY),
    ('backend send', 'cut', Reason.CONNECTION_LOST, _MAY),
    ('backend send', 'silence', Reason.CONNECTION_SILENT, _MAY),
    ('backend send', 'shed', Reason.BACKEND_OVERLOADED, _NOT),
    ('backend send', 'drain', Reason.BACKEND_DRAINING, _NOT),
    ('backend send', 'snapshot switch', Reason.SNAPSHOT_GONE, _NOT),
    ('backend send', 'repartition', Reason.SHARD_MOVED, _NOT),
    ('backend run', 'kill', Reason.CONNECTION_LOST, _MAY),
    ('backend run', 'cut', Reason.CONNECTION_LOST, _MAY),
    ('backend run', 'silence', Reason.CONNECTION_SILENT, _MAY),
    ('backend run', 'lost reply', Reason.CONNECTION_SILENT, _MAY),
    ('backend run', 'shed', Reason.BACKEND_OVERLOADED, _NOT),
    ('backend run', 'drain', Reason.BACKEND_DRAINING, _NOT),
    ('backend run', 'snapshot switch', Reason.SNAPSHOT_GONE, _MAY),
    ('backend run', 'repartition', Reason.SHARD_MOVED, _MAY),
    ('reply', 'kill', Reason.PEER_UNREACHABLE, _MAY),
    ('reply', 'cut', Reason.PEER_UNREACHABLE, _MAY),
)

#: Faults that the entry notices only because no reply comes, or a late one:
#: step, fault, how long the reply takes, 0 if it never comes.
UNANSWERED: Final = (
    ('inner send', 'freeze and wake', 400),
    ('inner send', 'silence', 0),
    ('inner send', 'slow', 300),
    ('inner send', 'lost reply', 0),
    ('owner queue', 'freeze and wake', 400),
    ('owner queue', 'silence', 0),
    ('owner queue', 'slow', 300),
    ('owner queue', 'lost reply', 0),
    ('connect', 'freeze and wake', 400),
    ('connect', 'slow', 300),
    ('backend send', 'freeze and wake', 400),
    ('backend send', 'slow', 300),
    ('backend run', 'freeze and wake', 400),
    ('backend run', 'slow', 300),
    ('reply', 'freeze and wake', 400),
    ('reply', 'silence', 0),
    ('reply', 'slow', 300),
    ('reply', 'lost reply', 0),
)

#: Faults by which a reply comes more than once.
REPEATED: Final = (
    ('inner send', 'duplicate'),
    ('owner queue', 'duplicate'),
    ('backend send', 'duplicate'),
    ('backend run', 'duplicate'),
    ('reply', 'duplicate'),
    ('gather', 'duplicate'),
)

#: Faults by which no replica of a shard ever answers.
LOSSES: Final = tuple(
    (step, fault)
    for step in ('gather', 'answer')
    for fault in (
        'kill',
        'cut',
        'silence',
        'slow',
        'lost reply',
        'shed',
        'drain',
    )
)

CELLS = ()
GUARDS = ()
