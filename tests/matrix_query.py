"""Cells of the fault matrix that concern queries, seen from the entry."""

from typing import Final

from dandelionstage.model.verdict import Reason, Run

__all__ = (
    'CELLS',
    'FREE',
    'LOSSES',
    'REFUSED',
    'REPEATED',
    'UNANSWERED',
)

_HERE: Final = 'tests/test_matrix_query.py::'
_TRUTH: Final = 'tests/test_query_consistency.py::TestTruth::runTest'
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
    ('connect', 'service stale', Reason.CONNECT_FAILED, _NOT),
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

#: Refusals without a run after which no budget is needed.
FREE: Final = (
    Reason.PEER_UNREACHABLE,
    Reason.STOPPING,
    Reason.NOT_OWNER,
    Reason.UNKNOWN_BACKEND,
    Reason.BACKEND_DRAINING,
    Reason.SNAPSHOT_GONE,
    Reason.SHARD_MOVED,
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

_PAIRS: Final = 'tests/test_matrix_query_pairs.py::'
_GATHER: Final = 'tests/test_query_gather.py::'

_SINGLE: Final = (
    ('pin', 'freeze and wake', 'test_paused_before_start_sends_nothing'),
    ('pin', 'service down', 'test_nothing_published_is_refused'),
    ('pin', 'service stale', 'test_stale_reader_is_refused_what_nobody_holds'),
    (
        'pin',
        'view disagreement',
        'test_two_entries_with_different_views_answer_of_their_own_pin',
    ),
    (
        'scatter',
        'freeze and wake',
        'test_paused_with_replies_unread_starts_nothing',
    ),
    ('scatter', 'cut', 'test_nearest_data_centre_refuses_everything[cut]'),
    ('scatter', 'silence', 'test_silent_owner_of_every_shard_is_replaced'),
    ('scatter', 'slow', 'test_everything_slow_is_not_hedged'),
    ('scatter', 'lost reply', 'test_silent_owner_of_every_shard_is_replaced'),
    ('scatter', 'reorder', 'test_reordered_replies_make_the_same_answer'),
    ('scatter', 'shed', 'test_no_retry_storm'),
    ('scatter', 'drain', 'test_nearest_data_centre_refuses_everything[drain]'),
    ('scatter', 'snapshot switch', 'test_pin_gone_between_two_sub_requests'),
    ('scatter', 'repartition', 'test_pin_gone_between_two_sub_requests'),
    (
        'scatter',
        'service stale',
        'test_shard_without_a_published_replica_is_named',
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
        'test_wrong_part_is_asked_for_again[snapshot switch]',
    ),
    (
        'reply',
        'repartition',
        'test_wrong_part_is_asked_for_again[repartition]',
    ),
    (
        'reply',
        'view disagreement',
        'test_part_from_an_owner_not_asked_is_asked_for_again',
    ),
    (
        'gather',
        'freeze and wake',
        'test_paused_with_replies_unread_starts_nothing',
    ),
    ('gather', 'reorder', 'test_reordered_replies_make_the_same_answer'),
    ('gather', 'snapshot switch', 'test_pin_gone_between_two_sub_requests'),
    ('gather', 'repartition', 'test_pin_gone_between_two_sub_requests'),
    (
        'answer',
        'freeze and wake',
        'test_paused_past_the_deadline_starts_nothing',
    ),
    ('answer', 'duplicate', 'test_repeated[reply-duplicate]'),
    (
        'answer',
        'reorder',
        'test_unanswered[reply-slow]',
    ),
    (
        'answer',
        'snapshot switch',
        'test_restart_that_fares_worse_loses_nothing',
    ),
    (
        'answer',
        'service stale',
        'test_two_entries_with_different_views_answer_of_their_own_pin',
    ),
    (
        'answer',
        'view disagreement',
        'test_two_entries_with_different_views_answer_of_their_own_pin',
    ),
)

#: The second fault strikes the guard against the first.
_PAIRED: Final = (
    ('inner send', 'silence', 'test_silent_owner_and_hedge_shed'),
    ('inner send', 'silence', 'test_owner_lost_and_its_deputy_too'),
    ('inner send', 'kill', 'test_owner_killed_and_next_disagrees'),
    ('inner send', 'kill', 'test_every_owner_unreachable_once'),
    (
        'owner queue',
        'drain',
        'test_replica_drains_and_other_data_centre_is_cut',
    ),
    ('owner queue', 'shed', 'test_shed_with_an_empty_budget_does_not_wait'),
    (
        'owner queue',
        'shed',
        'test_shed_until_after_the_deadline_is_not_retried',
    ),
    (
        'backend run',
        'snapshot switch',
        'test_snapshot_gone_on_one_replica_and_the_other_lost',
    ),
    ('backend run', 'slow', 'test_both_replicas_of_a_living_owner_are_slow'),
    ('backend run', 'slow', 'test_two_stragglers_and_the_loser_cancelled'),
    ('reply', 'snapshot switch', 'test_wrong_part_and_snapshot_gone'),
    ('reply', 'duplicate', 'test_late_first_reply_and_hedge_answered_twice'),
    ('gather', 'snapshot switch', 'test_part_of_the_pin_given_up_comes_late'),
    ('gather', 'snapshot switch', 'test_each_snapshot_gone_at_another_shard'),
    ('gather', 'freeze and wake', 'test_pause_and_snapshot_gone_meanwhile'),
    (
        'answer',
        'freeze and wake',
        'test_pause_past_the_deadline_with_a_restart_waiting',
    ),
    (
        'answer',
        'silence',
        'test_owner_lost_and_budget_empty_still_answers_in_time',
    ),
)

_OTHER: Final = (
    (
        'pin',
        'snapshot switch',
        'test_newest_that_every_shard_holds_is_pinned',
    ),
    (
        'pin',
        'repartition',
        'test_moved_shard_counts_against_its_pin_for_a_while',
    ),
    (
        'gather',
        'repartition',
        'test_record_on_two_shards_comes_once_in_any_order',
    ),
    (
        'gather',
        'view disagreement',
        'test_second_part_of_a_shard_is_dropped',
    ),
)

#: Cells that the interleavings picked by hypothesis strike as well.
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

_ENTRY_GONE: Final = (
    'n/a: with the entry gone its caller sees the connection break; a search '
    'leaves nothing behind'
)
_NOTHING_SENT: Final = 'n/a: decided from facts held, nothing is sent'
_NOT_SENT_YET: Final = 'n/a: no byte of the request is sent yet'
_NO_SERVICE: Final = (
    'n/a: works on the documents held; the service is not asked'
)
_SEEN_LATER: Final = (
    'n/a: the pin travels with the sub-request; the change is met at the '
    'backend server'
)

_EXCUSED: Final = (
    *((step, 'kill', _ENTRY_GONE) for step in ('pin', 'scatter')),
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
        (step, 'service down', _NO_SERVICE)
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
        (step, 'service stale', _NO_SERVICE)
        for step in ('inner send', 'backend send', 'backend run', 'reply')
    ),
    ('gather', 'service stale', _NO_SERVICE),
    *(
        (step, fault, _SEEN_LATER)
        for step in ('inner send', 'owner queue')
        for fault in ('snapshot switch', 'repartition')
    ),
    ('scatter', 'duplicate', 'n/a: a message is doubled only once it is sent'),
    ('inner send', 'shed', 'n/a: links do not shed, the owner does'),
    (
        'backend send',
        'lost reply',
        'n/a: nothing replies to a send; see backend run',
    ),
    ('backend send', 'reorder', 'n/a: one request at a time on a connection'),
    ('reply', 'shed', 'n/a: a reply is not queued'),
    ('answer', 'repartition', 'n/a: coverage is stated of the pinned map'),
)

_SLOW: Final = 'tests/test_query_stragglers.py::'

CELLS: Final = (
    ('scatter', 'slow', '{0}test_slow_data_centre_is_passed_by'.format(_SLOW)),
    *(
        (step, fault, '{0}test_refused[{1}-{2}]'.format(_HERE, step, fault))
        for step, fault, *_ in REFUSED
    ),
    *(
        (step, fault, '{0}test_unanswered[{1}-{2}]'.format(_HERE, step, fault))
        for step, fault, _ in UNANSWERED
    ),
    *(
        (step, fault, '{0}test_repeated[{1}-{2}]'.format(_HERE, step, fault))
        for step, fault in REPEATED
    ),
    *(
        (step, fault, '{0}test_shard_lost[{1}-{2}]'.format(_HERE, step, fault))
        for step, fault in LOSSES
    ),
    *((step, fault, _HERE + test) for step, fault, test in _SINGLE),
    *((step, fault, _PAIRS + test) for step, fault, test in _PAIRED),
    *((step, fault, _GATHER + test) for step, fault, test in _OTHER),
    *((step, fault, _TRUTH) for step, fault in _INTERLEAVED),
    *_EXCUSED,
)
