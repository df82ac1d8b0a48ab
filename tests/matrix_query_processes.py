"""Cells that queries prove on real processes."""

from typing import Final

__all__ = ('CELLS', 'GUARDS')

_HERE: Final = 'tests/test_query_processes.py::'
_KILLED: Final = '{0}test_daemon_killed'.format(_HERE)
_FROZEN: Final = '{0}test_daemon_frozen_and_woken'.format(_HERE)
_GONE: Final = '{0}test_snapshot_gone_on_one_replica[a]'.format(_HERE)
_LOST: Final = '{0}test_faulty_replies_of_every_replica[{1}]'
_TWICE: Final = '{0}test_record_on_two_shards_comes_once'.format(_HERE)

CELLS: Final = (
    ('inner send', 'kill', _KILLED),
    ('owner queue', 'freeze and wake', _FROZEN),
    ('backend run', 'snapshot switch', _GONE),
    ('reply', 'snapshot switch', _LOST.format(_HERE, 'wrong_snapshot')),
    ('reply', 'cut', _LOST.format(_HERE, 'cut')),
    ('gather', 'repartition', _TWICE),
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
        'self.plan_hedge(progress, now_ms)',
        'pass',
        _FROZEN,
    ),
    (
        'src/dandelionstage/retries/retry_steps.py',
        'Reason.SNAPSHOT_GONE: RetryStep.GONE,',
        '',
        _GONE,
    ),
    (
        'src/dandelionstage/query/gather.py',
        'if shard not in self._parts\n',
        'if False\n',
        _LOST.format(_HERE, 'wrong_snapshot'),
        _LOST.format(_HERE, 'cut'),
    ),
    (
        'src/dandelionstage/query/gather.py',
        'found.setdefault(record.record, record)',
        'found[len(found)] = record',
        _TWICE,
    ),
)
