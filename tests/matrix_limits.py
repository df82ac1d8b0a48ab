"""Cells of the fault matrix for owners, limits and admission."""

from typing import Final

__all__ = ('CELLS', 'GUARDS')

_OWNER: Final = 'tests/test_owner.py::test_'
_LEASES: Final = 'tests/test_share_leases.py::test_'
_ADMISSION: Final = 'tests/test_admission.py::test_'
_SLOTS: Final = 'tests/test_server_shares.py::test_slots_are_never_exceeded'
_QUOTA: Final = 'tests/test_quota.py::test_contract_is_never_exceeded'
_SLOTS_RUN: Final = ''.join((_SLOTS, '::runTest'))
_QUOTA_RUN: Final = ''.join((_QUOTA, '::runTest'))
_CONNECTIONS: Final = ''.join(
    (_LEASES, 'connections_stay_under_the_limit_for_lists_that_differ'),
)

_NO_SNAPSHOT: Final = 'n/a: the cost is the number of shards, in any snapshot'
_DOCUMENTS_STAY: Final = (
    'n/a: documents stay in force while the service is down'
)
_NOT_LEAVING: Final = 'n/a: unrelated to servers that leave'

_ADMIT: Final = (
    ('kill', _QUOTA_RUN),
    ('freeze and wake', _QUOTA_RUN),
    ('cut', ''.join((_ADMISSION, 'isolated_entry_admits_its_static_share'))),
    ('silence', _QUOTA_RUN),
    ('slow', _QUOTA_RUN),
    ('lost reply', _QUOTA_RUN),
    ('duplicate', _QUOTA_RUN),
    ('reorder', _QUOTA_RUN),
    ('shed', ''.join((_ADMISSION, 'refusal_has_a_reason_and_a_retry_time'))),
    ('drain', _QUOTA_RUN),
    ('snapshot switch', _NO_SNAPSHOT),
    ('repartition', _NO_SNAPSHOT),
    ('service down', _DOCUMENTS_STAY),
    ('service stale', _QUOTA_RUN),
    ('view disagreement', _QUOTA_RUN),
)

_QUEUE: Final = (
    (
        'kill',
        ''.join((_LEASES, 'second_rank_uses_its_reserve_without_the_first')),
    ),
    (
        'freeze and wake',
        ''.join((_OWNER, 'pause_drops_expired_work_before_any_start')),
    ),
    ('cut', _SLOTS_RUN),
    ('silence', ''.join((_OWNER, 'lost_attempt_keeps_its_slot'))),
    ('slow', ''.join((_OWNER, 'work_that_cannot_finish_is_not_started'))),
    ('lost reply', ''.join((_OWNER, 'lost_attempt_keeps_its_slot'))),
    (
        'duplicate',
        ''.join((_OWNER, 'repeated_call_or_outcome_is_ignored')),
    ),
    (
        'reorder',
        ''.join((_LEASES, 'grant_for_another_request_is_ignored')),
    ),
    ('shed', ''.join((_OWNER, 'full_queue_sheds_the_least_urgent'))),
    ('drain', ''.join((_OWNER, 'reported_draining_refuses_queued_work'))),
    ('snapshot switch', 'n/a: the queue does not depend on the pin'),
    (
        'repartition',
        ''.join(
            (_LEASES, 'share_moved_by_a_repartition_waits_for_its_holder'),
        ),
    ),
    ('service down', _DOCUMENTS_STAY),
    ('service stale', _SLOTS_RUN),
    ('view disagreement', _SLOTS_RUN),
)

_LEAVING: Final = (
    ('kill', ''.join((_OWNER, 'removed_server_has_its_queued_work_refused'))),
    (
        'freeze and wake',
        ''.join((_OWNER, 'paused_owner_stops_at_the_first_draining_reply')),
    ),
    ('cut', ''.join((_OWNER, 'draining_server_gets_no_new_work'))),
    ('silence', ''.join((_OWNER, 'reported_draining_refuses_queued_work'))),
    ('slow', ''.join((_OWNER, 'draining_server_gets_no_new_work'))),
    (
        'lost reply',
        ''.join(
            (_OWNER, 'topology_that_lists_live_again_does_not_end_draining')
        ),
    ),
    (
        'duplicate',
        ''.join((_OWNER, 'draining_lasts_until_the_next_incarnation')),
    ),
    (
        'reorder',
        ''.join(
            (
                _OWNER,
                'late_reply_of_an_earlier_incarnation_is_ignored',
            ),
        ),
    ),
    ('shed', _NOT_LEAVING),
    (
        'drain',
        ''.join((_OWNER, 'draining_lasts_until_the_next_incarnation')),
    ),
    ('snapshot switch', _NOT_LEAVING),
    ('repartition', _NOT_LEAVING),
    ('service down', ''.join((_OWNER, 'draining_server_gets_no_new_work'))),
    (
        'service stale',
        ''.join(
            (_OWNER, 'topology_that_lists_live_again_does_not_end_draining')
        ),
    ),
    (
        'view disagreement',
        ''.join((_OWNER, 'reported_draining_refuses_queued_work')),
    ),
)

CELLS: Final = (
    *(('admit', *cell) for cell in _ADMIT),
    *(('owner queue', *cell) for cell in _QUEUE),
    *(('notice leaving', *cell) for cell in _LEAVING),
    ('connect', 'service stale', _CONNECTIONS),
    ('connect', 'view disagreement', _CONNECTIONS),
)

GUARDS: Final = (
    (
        'src/dandelionstage/limits/priority_scheduler.py',
        'self._passed_over[priority] >= max_passed_over',
        'False',
        ''.join((_OWNER, 'batch_is_not_starved')),
    ),
    (
        'src/dandelionstage/limits/priority_scheduler.py',
        'for each in Priority if',
        'for each in reversed(Priority) if',
        ''.join((_OWNER, 'urgent_starts_before_earlier_batch')),
    ),
    (
        'src/dandelionstage/owner/dispatcher.py',
        'if remaining_ms < expected_ms:',
        'if expected_ms < 0:',
        ''.join((_OWNER, 'work_that_cannot_finish_is_not_started')),
    ),
    (
        'src/dandelionstage/owner/owner.py',
        'if paused_ms > _RECONFIRM_MS',
        'if paused_ms < 0',
        ''.join((_LEASES, 'owner_needs_confirmation_after_a_long_pause')),
    ),
    (
        'src/dandelionstage/routing/health.py',
        'restarted = self._incarnations.add(incarnation) and known',
        'restarted = True',
        ''.join((_OWNER, 'draining_lasts_until_the_next_incarnation')),
    ),
    (
        'src/dandelionstage/limits/leases.py',
        'return self.amount if now_ms < self.until_ms else 0',
        'return self.amount',
        ''.join((_LEASES, 'lender_starts_no_work_on_lent_slots')),
    ),
    (
        'src/dandelionstage/owner/dispatcher.py',
        'hold = hold.until(queued.deadline_ms)',
        'hold = type(hold)(hold.lender, queued.deadline_ms)',
        ''.join((_LEASES, 'work_on_a_borrowed_slot_ends_with_the_lease')),
    ),
    (
        'src/dandelionstage/limits/quota_account.py',
        'unlent = self.own.amount(now_ms) - self.loans.total(now_ms)',
        'unlent = self.own.amount(now_ms)',
        _QUOTA_RUN,
    ),
    (
        'src/dandelionstage/limits/quota_split.py',
        '(len(published.listed) + HEADROOM_VMS)',
        'len(published.listed)',
        _QUOTA_RUN,
    ),
)
