"""Cells that the owner's queue, shares and health prove."""

from typing import Final

__all__ = ('CELLS', 'GUARDS')

_OWNER: Final = 'src/dandelionstage/owner/'
_LIMITS: Final = 'src/dandelionstage/limits/'
_ROUTING: Final = 'src/dandelionstage/routing/'
_TESTS: Final = 'tests/test_owner.py::'
_SLOTS: Final = 'tests/test_server_shares.py::test_slots_are_never_exceeded'
_EXCEEDED: Final = '{0}::runTest'.format(_SLOTS)
_CONNECTIONS: Final = (
    'tests/test_share_leases.py::'
    'test_connections_stay_under_the_limit_for_lists_that_differ'
)

_OF_OWNER: Final = (
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
        'test_repeated_call_or_outcome_changes_nothing',
    ),
    ('owner queue', 'drain', 'test_word_of_draining_gives_queued_work_back'),
    ('owner queue', 'repartition', 'test_removed_server_gives_its_work_back'),
    ('backend run', 'lost reply', 'test_lost_attempt_still_holds_its_slot'),
    ('reply', 'drain', 'test_draining_server_gets_nothing_more'),
    ('notice leaving', 'drain', 'test_draining_server_gets_nothing_more'),
    (
        'notice leaving',
        'service down',
        'test_draining_server_gets_nothing_more',
    ),
    (
        'notice leaving',
        'service stale',
        'test_list_that_says_live_again_is_not_believed',
    ),
    (
        'notice leaving',
        'view disagreement',
        'test_draining_does_not_revert_for_one_incarnation',
    ),
    ('notice leaving', 'kill', 'test_next_incarnation_gets_work_slowly'),
)

CELLS: Final = (
    *((step, fault, _TESTS + test) for step, fault, test in _OF_OWNER),
    ('connect', 'view disagreement', _CONNECTIONS),
    ('backend send', 'view disagreement', _EXCEEDED),
    ('backend run', 'view disagreement', _EXCEEDED),
)

GUARDS: Final = (
    (
        '{0}queue.py'.format(_LIMITS),
        'insort(self._entries[waiting.priority], entry)',
        'self._entries[waiting.priority].append(entry)',
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
        'self._intake.expire(now_ms) if paused_ms > _PAUSE_MS else []',
        '[]',
        '{0}test_pause_drops_expired_work_before_any_start'.format(_TESTS),
    ),
    (
        '{0}intake.py'.format(_OWNER),
        'if verdict.reason is Reason.QUEUE_FULL:',
        'if False:',
        '{0}test_full_queue_sheds_the_least_urgent'.format(_TESTS),
    ),
    (
        '{0}owner.py'.format(_OWNER),
        'if call in self._state.attempts or call in self._state.lanes.calls:',
        'if False:',
        '{0}test_repeated_call_or_outcome_changes_nothing'.format(_TESTS),
    ),
    (
        '{0}owner.py'.format(_OWNER),
        'commands = self._intake.reroute(feeding, now_ms)',
        'commands = []',
        '{0}test_word_of_draining_gives_queued_work_back'.format(_TESTS),
    ),
    (
        '{0}owner.py'.format(_OWNER),
        'commands += self._intake.reroute(self._state.lanes, now_ms)',
        'commands += []',
        '{0}test_removed_server_gives_its_work_back'.format(_TESTS),
    ),
    (
        '{0}backend_state.py'.format(_OWNER),
        'if outcome.verdict.run is Run.MAY_HAVE_RUN and not heard:',
        'if False:',
        '{0}test_lost_attempt_still_holds_its_slot'.format(_TESTS),
    ),
    (
        '{0}health.py'.format(_ROUTING),
        'if draining and self._incarnations.is_newest(incarnation):',
        'if False:',
        '{0}test_draining_server_gets_nothing_more'.format(_TESTS),
    ),
    (
        '{0}backend_state.py'.format(_OWNER),
        'if server.presence is Presence.LEAVING:',
        'if False:',
        '{0}test_list_that_says_live_again_is_not_believed'.format(_TESTS),
    ),
    (
        '{0}backend_state.py'.format(_OWNER),
        (
            'case Reason.BACKEND_DRAINING:\n'
            '                self.health.mark_draining()'
        ),
        'case Reason.BACKEND_DRAINING:\n                pass',
        '{0}test_draining_does_not_revert_for_one_incarnation'.format(_TESTS),
    ),
    (
        '{0}backend_state.py'.format(_OWNER),
        'self.concurrency.record_cold_start(now_ms, 0)',
        'pass',
        '{0}test_next_incarnation_gets_work_slowly'.format(_TESTS),
    ),
    (
        '{0}share_confirmation.py'.format(_LIMITS),
        'return not self._pending_vms and not self._has_unlisted',
        'return True',
        _EXCEEDED,
    ),
    (
        '{0}server_split.py'.format(_LIMITS),
        'server.max_connections - server.slots) // MAX_HOLDERS',
        'server.max_connections - server.slots)',
        _CONNECTIONS,
    ),
)
