"""Cells of the fault matrix for the queues and the health of servers."""

from typing import Final

__all__ = ('CELLS', 'GUARDS')

_OWNER: Final = 'src/dandelionstage/owner/'
_LIMITS: Final = 'src/dandelionstage/limits/'
_ROUTING: Final = 'src/dandelionstage/routing/'
_TESTS: Final = 'tests/test_owner.py::'
_SLOT_LIMIT: Final = (
    'tests/test_server_shares.py::test_slots_are_never_exceeded'
)
_SLOT_LIMIT_RUN: Final = '{0}::runTest'.format(_SLOT_LIMIT)
_CONNECTION_LIMIT: Final = (
    'tests/test_share_leases.py::'
    'test_connections_stay_under_the_limit_for_lists_that_differ'
)

_OWNER_CELLS: Final = (
    ('owner queue', 'reorder', 'test_equal_priority_starts_by_deadline'),
    ('owner queue', 'slow', 'test_expired_work_never_starts'),
    (
        'owner queue',
        'freeze and wake',
        'test_pause_drops_expired_work_before_any_start',
    ),
    ('owner queue', 'shed', 'test_full_queue_sheds_the_least_urgent'),
    (
        'owner queue',
        'duplicate',
        'test_repeated_call_or_outcome_is_ignored',
    ),
    ('owner queue', 'drain', 'test_reported_draining_refuses_queued_work'),
    (
        'owner queue',
        'repartition',
        'test_removed_server_has_its_queued_work_refused',
    ),
    ('backend run', 'lost reply', 'test_lost_attempt_keeps_its_slot'),
    ('reply', 'drain', 'test_draining_server_gets_no_new_work'),
    ('notice leaving', 'drain', 'test_draining_server_gets_no_new_work'),
    (
        'notice leaving',
        'service down',
        'test_draining_server_gets_no_new_work',
    ),
    (
        'notice leaving',
        'service stale',
        'test_topology_that_lists_live_again_does_not_end_draining',
    ),
    (
        'notice leaving',
        'view disagreement',
        'test_draining_lasts_until_the_next_incarnation',
    ),
    ('notice leaving', 'kill', 'test_next_incarnation_starts_with_one_attempt'),
)

CELLS: Final = (
    *((step, fault, _TESTS + test) for step, fault, test in _OWNER_CELLS),
    ('connect', 'view disagreement', _CONNECTION_LIMIT),
    ('backend send', 'view disagreement', _SLOT_LIMIT_RUN),
    ('backend run', 'view disagreement', _SLOT_LIMIT_RUN),
)

GUARDS: Final = (
    (
        '{0}queue.py'.format(_LIMITS),
        'insort(self._entries[queued.priority], entry)',
        'self._entries[queued.priority].append(entry)',
        '{0}test_equal_priority_starts_by_deadline'.format(_TESTS),
    ),
    (
        '{0}dispatcher.py'.format(_OWNER),
        'if remaining_ms <= 0:',
        'if False:',
        '{0}test_expired_work_never_starts'.format(_TESTS),
    ),
    (
        '{0}owner.py'.format(_OWNER),
        'self._queueing.expire(now_ms) if paused_ms > _PAUSE_MS else []',
        '[]',
        '{0}test_pause_drops_expired_work_before_any_start'.format(_TESTS),
    ),
    (
        '{0}queueing.py'.format(_OWNER),
        'if verdict.reason is Reason.QUEUE_FULL:',
        'if False:',
        '{0}test_full_queue_sheds_the_least_urgent'.format(_TESTS),
    ),
    (
        '{0}owner.py'.format(_OWNER),
        'if call in self._state.attempts or call in self._state.queues.calls:',
        'if False:',
        '{0}test_repeated_call_or_outcome_is_ignored'.format(_TESTS),
    ),
    (
        '{0}owner.py'.format(_OWNER),
        'commands = self._queueing.requeue(queues, now_ms)',
        'commands = []',
        '{0}test_reported_draining_refuses_queued_work'.format(_TESTS),
    ),
    (
        '{0}owner.py'.format(_OWNER),
        'commands += self._queueing.requeue(self._state.queues, now_ms)',
        'commands += []',
        '{0}test_removed_server_has_its_queued_work_refused'.format(_TESTS),
    ),
    (
        '{0}backend_state.py'.format(_OWNER),
        'if outcome.verdict.run is Run.MAY_HAVE_RUN and not answered:',
        'if False:',
        '{0}test_lost_attempt_keeps_its_slot'.format(_TESTS),
    ),
    (
        '{0}health.py'.format(_ROUTING),
        'if draining and self._incarnations.is_newest(incarnation):',
        'if False:',
        '{0}test_draining_server_gets_no_new_work'.format(_TESTS),
    ),
    (
        '{0}backend_state.py'.format(_OWNER),
        'if server.presence is Presence.LEAVING:',
        'if False:',
        '{0}test_topology_that_lists_live_again_does_not_end_draining'.format(
            _TESTS
        ),
    ),
    (
        '{0}backend_state.py'.format(_OWNER),
        (
            'case Reason.BACKEND_DRAINING:\n'
            '                self.health.mark_draining()'
        ),
        'case Reason.BACKEND_DRAINING:\n                pass',
        '{0}test_draining_lasts_until_the_next_incarnation'.format(_TESTS),
    ),
    (
        '{0}backend_state.py'.format(_OWNER),
        'self.concurrency.record_cold_start(now_ms, 0)',
        'pass',
        '{0}test_next_incarnation_starts_with_one_attempt'.format(_TESTS),
    ),
    (
        '{0}share_confirmation.py'.format(_LIMITS),
        'return not self._pending_vms and not self._has_unlisted',
        'return True',
        _SLOT_LIMIT_RUN,
    ),
    (
        '{0}server_split.py'.format(_LIMITS),
        'server.max_connections - server.slots) // MAX_HOLDERS',
        'server.max_connections - server.slots)',
        _CONNECTION_LIMIT,
    ),
)
