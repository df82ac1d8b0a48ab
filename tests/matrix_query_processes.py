"""Lists the cells and guards that query tests cover with real processes.

The rows have the form of those in matrix_query and matrix_query_guards.
"""

from typing import Final

__all__ = ('CELLS', 'GUARDS')

_TESTS: Final = 'tests/test_query_processes.py::'
_KILLED: Final = '{0}test_daemon_killed'.format(_TESTS)
_FROZEN: Final = '{0}test_daemon_frozen_and_woken'.format(_TESTS)
_SNAPSHOT_GONE: Final = '{0}test_snapshot_gone_on_one_replica[a]'.format(_TESTS)
_FAULTY_REPLIES: Final = '{0}test_faulty_replies_of_every_replica[{1}]'
_DUPLICATE_RECORD: Final = '{0}test_record_on_two_shards_is_listed_once'.format(
    _TESTS
)

CELLS: Final = (
    ('inner send', 'kill', _KILLED),
    ('owner queue', 'freeze and wake', _FROZEN),
    ('backend run', 'snapshot switch', _SNAPSHOT_GONE),
    (
        'reply',
        'snapshot switch',
        _FAULTY_REPLIES.format(_TESTS, 'wrong_snapshot'),
    ),
    ('reply', 'cut', _FAULTY_REPLIES.format(_TESTS, 'cut')),
    ('gather', 'repartition', _DUPLICATE_RECORD),
)

GUARDS: Final = (
    (
        'src/dandelionstage/retries/retry_steps.py',
        'Reason.PEER_UNREACHABLE: RetryStep.NEXT_OWNER,',
        '',
        _KILLED,
    ),
    (
        'src/dandelionstage/query/dispatch.py',
        'self.schedule_hedge(progress, now_ms)',
        'pass',
        _FROZEN,
    ),
    (
        'src/dandelionstage/retries/retry_steps.py',
        'Reason.SNAPSHOT_GONE: RetryStep.GONE,',
        '',
        _SNAPSHOT_GONE,
    ),
    (
        'src/dandelionstage/query/gather.py',
        'if shard not in self._parts\n',
        'if False\n',
        _FAULTY_REPLIES.format(_TESTS, 'wrong_snapshot'),
        _FAULTY_REPLIES.format(_TESTS, 'cut'),
    ),
    (
        'src/dandelionstage/query/gather.py',
        'found.setdefault(record.record, record)',
        'found[len(found)] = record',
        _DUPLICATE_RECORD,
    ),
)
