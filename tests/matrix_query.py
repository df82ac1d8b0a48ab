"""Lists the cells of the fault matrix that concern queries at the entry.

A cell is a step of a query, a fault and the test that covers them, or the
reason ('n/a') why there is none.
"""

from typing import Final

from dandelionstage.model.verdict import Reason, Run

__all__ = (
    'BUDGET_EXEMPT',
    'CELLS',
    'LOST_SHARDS',
    'REFUSED',
    'REPEATED',
    'UNANSWERED',
)

_MATRIX: Final = 'tests/test_matrix_query.py::'
_CONSISTENCY: Final = (
    'tests/test_query_consistency.py::TestConsistency::runTest'
)
_NOT_RUN: Final = Run.NOT_RUN
_MAY_HAVE_RUN: Final = Run.MAY_HAVE_RUN

#: Faults that the entry learns of through a refusal: step, fault, reason and
#: whether the sub-request may have run.  The retry step of the reason decides
#: whether the refusal names a backend server.
REFUSED: Final = (
    ('inner send', 'kill', Reason.PEER_UNREACHABLE, _NOT_RUN),
    ('inner send', 'cut', Reason.PEER_UNREACHABLE, _MAY_HAVE_RUN),
    ('inner send', 'drain', Reason.STOPPING, _NOT_RUN),
    ('inner send', 'view disagreement', Reason.NOT_OWNER, _NOT_RUN),
    ('owner queue', 'kill', Reason.PEER_UNREACHABLE, _MAY_HAVE_RUN),
    ('owner queue', 'cut', Reason.PEER_UNREACHABLE, _MAY_HAVE_RUN),
    ('owner queue', 'shed', Reason.QUEUE_FULL, _NOT_RUN),
    ('owner queue', 'drain', Reason.BACKEND_DRAINING, _NOT_RUN),
    ('owner queue', 'view disagreement', Reason.UNKNOWN_BACKEND, _NOT_RUN),
    ('owner queue', 'service stale', Reason.UNKNOWN_BACKEND, _NOT_RUN),
    ('connect', 'kill', Reason.CONNECT_FAILED, _NOT_RUN),
    ('connect', 'cut', Reason.CONNECT_FAILED, _NOT_RUN),
    ('connect', 'silence', Reason.CONNECTION_SILENT, _NOT_RUN),
    ('connect', 'shed', Reason.CONNECTION_LIMIT, _NOT_RUN),
    ('connect', 'drain', Reason.BACKEND_DRAINING, _NOT_RUN),
    ('connect', 'service stale', Reason.CONNECT_FAILED, _NOT_RUN),
    ('backend send', 'kill', Reason.CONNECTION_LOST, _MAY_HAVE_RUN),
    ('backend send', 'cut', Reason.CONNECTION_LOST, _MAY_HAVE_RUN),
    ('backend send', 'silence', Reason.CONNECTION_SILENT, _MAY_HAVE_RUN),
    ('backend send', 'shed', Reason.BACKEND_OVERLOADED, _NOT_RUN),
    ('backend send', 'drain', Reason.BACKEND_DRAINING, _NOT_RUN),
    ('backend send', 'snapshot switch', Reason.SNAPSHOT_GONE, _NOT_RUN),
    ('backend send', 'repartition', Reason.SHARD_MOVED, _NOT_RUN),
    ('backend run', 'kill', Reason.CONNECTION_LOST, _MAY_HAVE_RUN),
    ('backend run', 'cut', Reason.CONNECTION_LOST, _MAY_HAVE_RUN),
    ('backend run', 'silence', Reason.CONNECTION_SILENT, _MAY_HAVE_RUN),
    ('backend run', 'lost reply', Reason.CONNECTION_SILENT, _MAY_HAVE_RUN),
    ('backend run', 'shed', Reason.BACKEND_OVERLOADED, _NOT_RUN),
    ('backend run', 'drain', Reason.BACKEND_DRAINING, _NOT_RUN),
    ('backend run', 'snapshot switch', Reason.SNAPSHOT_GONE, _MAY_HAVE_RUN),
    ('backend run', 'repartition', Reason.SHARD_MOVED, _MAY_HAVE_RUN),
    ('reply', 'kill', Reason.PEER_UNREACHABLE, _MAY_HAVE_RUN),
    ('reply', 'cut', Reason.PEER_UNREACHABLE, _MAY_HAVE_RUN),
)

#: Reasons whose retry is exempt from the retry budget if nothing ran.
BUDGET_EXEMPT: Final = (
    Reason.PEER_UNREACHABLE,
    Reason.STOPPING,
    Reason.NOT_OWNER,
    Reason.UNKNOWN_BACKEND,
    Reason.BACKEND_DRAINING,
    Reason.SNAPSHOT_GONE,
    Reason.SHARD_MOVED,
)

#: Faults after which the reply is late or missing: step, fault and delay of
#: the reply in milliseconds, 0 if there is none.
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

#: Faults that make a reply arrive more than once.
REPEATED: Final = (
    ('inner send', 'duplicate'),
    ('owner queue', 'duplicate'),
    ('backend send', 'duplicate'),
    ('backend run', 'duplicate'),
    ('reply', 'duplicate'),
    ('gather', 'duplicate'),
)

#: Faults after which no replica of a shard answers.
LOST_SHARDS: Final = tuple(
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

_PAIRS: Final = 'tests/test_matrix_query_pairs.py::'
_GATHER: Final = 'tests/test_query_gather.py::'

_SINGLE_FAULTS: Final = (
    ('pin', 'freeze and wake', 'test_paused_before_start_sends_nothing'),
    ('pin', 'service down', 'test_query_of_unpublished_workload_is_refused'),
    (
        'pin',
        'service stale',
        'test_stale_snapshots_held_by_no_backend_are_refused',
    ),
    (
        'pin',
        'view disagreement',
        'test_entries_with_different_views_answer_under_their_own_pins',
    ),
    (
        'scatter',
        'freeze and wake',
        'test_pause_with_unread_replies_sends_nothing_more',
    ),
    ('scatter', 'cut', 'test_nearest_data_centre_refuses_everything[cut]'),
    (
        'scatter',
        'silence',
        'test_unresponsive_owner_of_every_shard_is_replaced',
    ),
    ('scatter', 'slow', 'test_no_hedge_when_every_shard_is_slow'),
    (
        'scatter',
        'lost reply',
        'test_unresponsive_owner_of_every_shard_is_replaced',
    ),
    ('scatter', 'reorder', 'test_reordered_replies_make_the_same_answer'),
    ('scatter', 'shed', 'test_no_retry_storm'),
    ('scatter', 'drain', 'test_nearest_data_centre_refuses_everything[drain]'),
    (
        'scatter',
        'snapshot switch',
        'test_pin_unavailable_between_two_sub_requests',
    ),
    ('scatter', 'repartition', 'test_pin_unavailable_between_two_sub_requests'),
    (
        'scatter',
        'service stale',
        'test_shard_without_a_published_replica_is_reported_missing',
    ),
    (
        'scatter',
        'view disagreement',
        'test_nearest_data_centre_refuses_everything[view disagreement]',
    ),
    ('inner send', 'reorder', 'test_reordered_replies_make_the_same_answer'),
    ('backend run', 'reorder', 'test_reordered_replies_make_the_same_answer'),
    ('reply', 'reorder', 'test_reordered_replies_make_the_same_answer'),
    (
        'reply',
        'snapshot switch',
        'test_wrong_part_is_retried[snapshot switch]',
    ),
    (
        'reply',
        'repartition',
        'test_wrong_part_is_retried[repartition]',
    ),
    (
        'reply',
        'view disagreement',
        'test_part_from_another_owner_is_retried',
    ),
    (
        'gather',
        'freeze and wake',
        'test_pause_with_unread_replies_sends_nothing_more',
    ),
    ('gather', 'reorder', 'test_reordered_replies_make_the_same_answer'),
    (
        'gather',
        'snapshot switch',
        'test_pin_unavailable_between_two_sub_requests',
    ),
    ('gather', 'repartition', 'test_pin_unavailable_between_two_sub_requests'),
    (
        'answer',
        'freeze and wake',
        'test_pause_past_the_deadline_sends_nothing_more',
    ),
    ('answer', 'duplicate', 'test_repeated_reply_is_dropped[reply-duplicate]'),
    (
        'answer',
        'reorder',
        'test_unanswered_attempt_is_hedged[reply-slow]',
    ),
    (
        'answer',
        'snapshot switch',
        'test_restart_with_less_coverage_keeps_the_first_gather',
    ),
    (
        'answer',
        'service stale',
        'test_entries_with_different_views_answer_under_their_own_pins',
    ),
    (
        'answer',
        'view disagreement',
        'test_entries_with_different_views_answer_under_their_own_pins',
    ),
)

#: Pairs of faults, listed under the first one; the second one occurs while the
#: first is handled.
_FAULT_PAIRS: Final = (
    ('inner send', 'silence', 'test_unresponsive_owner_and_shed_hedge'),
    ('inner send', 'silence', 'test_first_and_second_owner_unresponsive'),
    ('inner send', 'kill', 'test_owner_killed_and_next_is_not_owner'),
    ('inner send', 'kill', 'test_every_owner_unreachable_once'),
    (
        'owner queue',
        'drain',
        'test_replica_drains_and_other_data_centre_is_unreachable',
    ),
    (
        'owner queue',
        'shed',
        'test_shed_with_an_empty_budget_ends_without_waiting',
    ),
    (
        'owner queue',
        'shed',
        'test_shed_until_after_the_deadline_is_not_retried',
    ),
    (
        'backend run',
        'snapshot switch',
        'test_snapshot_gone_on_one_replica_connection_lost_on_other',
    ),
    (
        'backend run',
        'slow',
        'test_both_replicas_of_a_responsive_owner_are_slow',
    ),
    (
        'backend run',
        'slow',
        'test_two_stragglers_and_their_slower_attempts_cancelled',
    ),
    ('reply', 'snapshot switch', 'test_wrong_part_and_snapshot_gone'),
    ('reply', 'duplicate', 'test_late_first_reply_and_hedge_answered_twice'),
    (
        'gather',
        'snapshot switch',
        'test_late_part_under_an_abandoned_pin_is_dropped',
    ),
    (
        'gather',
        'snapshot switch',
        'test_each_snapshot_gone_on_a_different_shard',
    ),
    ('gather', 'freeze and wake', 'test_snapshot_gone_during_a_pause'),
    (
        'answer',
        'freeze and wake',
        'test_pause_past_the_deadline_with_a_pending_restart',
    ),
    (
        'answer',
        'silence',
        'test_lost_owner_and_empty_budget_answer_at_the_deadline',
    ),
)

_GATHER_CELLS: Final = (
    (
        'pin',
        'snapshot switch',
        'test_newest_held_for_every_shard_is_selected',
    ),
    (
        'pin',
        'repartition',
        'test_missing_shard_rules_out_its_pin_until_it_expires',
    ),
    (
        'gather',
        'repartition',
        'test_record_on_two_shards_is_listed_once_in_any_order',
    ),
    (
        'gather',
        'view disagreement',
        'test_second_part_of_a_shard_is_dropped',
    ),
)

#: Cells that the interleavings generated by hypothesis cover as well.
_INTERLEAVED: Final = tuple(
    (step, fault)
    for step in ('reply', 'gather', 'answer')
    for fault in (
        'duplicate',
        'reorder',
        'snapshot switch',
        'repartition',
        'slow',
    )
)

_ENTRY_KILLED: Final = (
    'n/a: if the entry is killed, its caller sees the connection close; a '
    'search leaves no state behind'
)
_NOTHING_SENT: Final = 'n/a: decided from local state, nothing is sent'
_NOT_SENT_YET: Final = 'n/a: no byte of the request has been sent'
_SERVICE_NOT_CONTACTED: Final = (
    'n/a: uses the documents held; the configuration service is not contacted'
)
_DETECTED_LATER: Final = (
    'n/a: the sub-request carries its pin; the change is detected at the '
    'backend server'
)

_NOT_APPLICABLE: Final = (
    *((step, 'kill', _ENTRY_KILLED) for step in ('pin', 'scatter')),
    *(
        ('pin', fault, _NOTHING_SENT)
        for fault in (
            'cut',
            'silence',
            'slow',
            'lost reply',
            'duplicate',
            'reorder',
            'shed',
            'drain',
        )
    ),
    *(
        ('connect', fault, _NOT_SENT_YET)
        for fault in (
            'lost reply',
            'duplicate',
            'reorder',
            'snapshot switch',
            'repartition',
        )
    ),
    *(
        (step, 'service down', _SERVICE_NOT_CONTACTED)
        for step in (
            'scatter',
            'inner send',
            'owner queue',
            'connect',
            'backend send',
            'backend run',
            'reply',
            'gather',
            'answer',
        )
    ),
    *(
        (step, 'service stale', _SERVICE_NOT_CONTACTED)
        for step in ('inner send', 'backend send', 'backend run', 'reply')
    ),
    ('gather', 'service stale', _SERVICE_NOT_CONTACTED),
    *(
        (step, fault, _DETECTED_LATER)
        for step in ('inner send', 'owner queue')
        for fault in ('snapshot switch', 'repartition')
    ),
    (
        'scatter',
        'duplicate',
        'n/a: a message can be duplicated only after it is sent',
    ),
    ('inner send', 'shed', 'n/a: load is shed by the owner, not by the link'),
    (
        'backend send',
        'lost reply',
        'n/a: a send has no reply; see backend run',
    ),
    (
        'backend send',
        'reorder',
        'n/a: a connection carries one request at a time',
    ),
    ('reply', 'shed', 'n/a: a reply is not queued'),
    ('answer', 'repartition', 'n/a: coverage refers to the pinned shard map'),
)

_STRAGGLERS: Final = 'tests/test_query_stragglers.py::'

CELLS: Final = (
    (
        'scatter',
        'slow',
        '{0}test_slow_data_centre_is_avoided'.format(_STRAGGLERS),
    ),
    *(
        (
            step,
            fault,
            '{0}test_refused_attempt_is_retried[{1}-{2}]'.format(
                _MATRIX, step, fault
            ),
        )
        for step, fault, *_ in REFUSED
    ),
    *(
        (
            step,
            fault,
            '{0}test_unanswered_attempt_is_hedged[{1}-{2}]'.format(
                _MATRIX, step, fault
            ),
        )
        for step, fault, _ in UNANSWERED
    ),
    *(
        (
            step,
            fault,
            '{0}test_repeated_reply_is_dropped[{1}-{2}]'.format(
                _MATRIX, step, fault
            ),
        )
        for step, fault in REPEATED
    ),
    *(
        (
            step,
            fault,
            '{0}test_lost_shard_is_reported_missing[{1}-{2}]'.format(
                _MATRIX, step, fault
            ),
        )
        for step, fault in LOST_SHARDS
    ),
    *((step, fault, _MATRIX + test) for step, fault, test in _SINGLE_FAULTS),
    *((step, fault, _PAIRS + test) for step, fault, test in _FAULT_PAIRS),
    *((step, fault, _GATHER + test) for step, fault, test in _GATHER_CELLS),
    *((step, fault, _CONSISTENCY) for step, fault in _INTERLEAVED),
    *_NOT_APPLICABLE,
)
