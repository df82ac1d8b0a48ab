"""Lists guards of queries and retries with tests that fail without them.

A row holds a file, a text in it, the text that replaces it to remove the guard
and the tests that then fail.
"""

from typing import Final

from dandelionstage.model.verdict import Reason, Run
from dandelionstage.retries.retry_steps import retry_step

from .matrix_query import BUDGET_EXEMPT, LOST_SHARDS, REFUSED, UNANSWERED

__all__ = ('GUARDS',)

_QUERY: Final = 'src/dandelionstage/query/'
_RETRIES: Final = 'src/dandelionstage/retries/'
_MATRIX: Final = 'tests/test_matrix_query.py'
_PAIRS: Final = 'tests/test_matrix_query_pairs.py'
_CONSISTENCY: Final = (
    'tests/test_query_consistency.py::TestConsistency::runTest'
)
_GATHER: Final = 'tests/test_query_gather.py'
_STRAGGLERS: Final = 'tests/test_query_stragglers.py'
_RETRY_TESTS: Final = 'tests/test_retries.py'

_REASONS: Final = sorted({one[2] for one in REFUSED}, key=str)


def _test_id(test: str, path: str = _MATRIX) -> str:
    return '{0}::{1}'.format(path, test)


def _refused(reason: Reason, *runs: Run) -> tuple[str, ...]:
    return tuple(
        _test_id('test_refused_attempt_is_retried[{0}-{1}]'.format(step, fault))
        for step, fault, refused, run in REFUSED
        if refused is reason and run in runs
    )


_RETRY_STEPS: Final = tuple(
    (
        '{0}retry_steps.py'.format(_RETRIES),
        '{0}: {1},'.format(reason, retry_step(reason)),
        '',
        *_refused(reason, *Run),
    )
    for reason in _REASONS
)

_EXEMPT_REASONS: Final = tuple(
    (
        '{0}retry_steps.py'.format(_RETRIES),
        '        {0},\n'.format(reason),
        '',
        *_refused(reason, Run.NOT_RUN),
    )
    for reason in BUDGET_EXEMPT
)

_MERGE: Final = (
    (
        '{0}gather.py'.format(_QUERY),
        'part.pin != self.pin',
        'False',
        _CONSISTENCY,
        _test_id('test_wrong_part_is_retried[snapshot switch]'),
        _test_id('test_wrong_part_is_retried[repartition]'),
    ),
    (
        '{0}gather.py'.format(_QUERY),
        'part.pin != self.pin',
        'part.pin.snapshot != self.pin.snapshot',
        _CONSISTENCY,
        _test_id('test_wrong_part_is_retried[repartition]'),
    ),
    (
        '{0}gather.py'.format(_QUERY),
        'part.shard != shard or',
        '',
        _CONSISTENCY,
        _test_id('test_wrong_part_is_retried[wrong shard]'),
    ),
    (
        '{0}gather.py'.format(_QUERY),
        'or shard in self._parts',
        '',
        _test_id('test_second_part_of_a_shard_is_dropped', _GATHER),
    ),
    (
        '{0}gather.py'.format(_QUERY),
        'part.backend not in self._snapshot.shards[shard]',
        'False',
        _CONSISTENCY,
        _test_id('test_wrong_part_is_retried[wrong backend]'),
    ),
    (
        '{0}gather.py'.format(_QUERY),
        'found.setdefault(record.record, record)',
        'found[len(found)] = record',
        _CONSISTENCY,
        _test_id(
            'test_record_on_two_shards_is_listed_once_in_any_order', _GATHER
        ),
    ),
    (
        '{0}gather.py'.format(_QUERY),
        'if shard not in self._parts\n',
        'if False\n',
        _CONSISTENCY,
        _test_id('test_lost_shard_is_reported_missing[gather-silence]'),
        _test_id('test_lost_shard_is_reported_missing[answer-cut]'),
    ),
    (
        '{0}dispatch.py'.format(_QUERY),
        'return self._in_flight.pop(call, None)',
        'return self._in_flight.get(call)',
        _test_id('test_repeated_reply_is_dropped[reply-duplicate]'),
    ),
    (
        '{0}scatter.py'.format(_QUERY),
        'reply.part is not None and',
        '',
        _CONSISTENCY,
    ),
    (
        '{0}scatter.py'.format(_QUERY),
        'and reply.answered_by == attempt.target.vm',
        '',
        _CONSISTENCY,
        _test_id('test_part_from_another_owner_is_retried'),
    ),
)

_DEADLINES: Final = (
    (
        '{0}execution.py'.format(_QUERY),
        'expired = now_ms >= self._query.deadline_ms\n        snap',
        'expired = False\n        snap',
        _test_id('test_paused_before_start_sends_nothing'),
    ),
    (
        '{0}execution.py'.format(_QUERY),
        'expired = now_ms >= self._query.deadline_ms\n        if not',
        'expired = False\n        if not',
        _CONSISTENCY,
    ),
    (
        '{0}scatter.py'.format(_QUERY),
        'if paused:',
        'if False:',
        _test_id('test_pause_with_unread_replies_sends_nothing_more'),
        _test_id('test_snapshot_gone_during_a_pause', _PAIRS),
    ),
    (
        '{0}attempts.py'.format(_QUERY),
        'if too_late or',
        'if',
        _test_id('test_shed_until_after_the_deadline_is_not_retried', _PAIRS),
    ),
)

_PINS: Final = (
    (
        '{0}execution.py'.format(_QUERY),
        'if scatter.shards.pin_unavailable:',
        'if False:',
        *(
            _test_id(
                'test_pin_unavailable_between_two_sub_requests[{0}-{1}]'
            ).format(
                reason,
                served,
            )
            for reason in (Reason.SNAPSHOT_GONE, Reason.SHARD_MOVED)
            for served in range(6)
        ),
        _test_id('test_late_part_under_an_abandoned_pin_is_dropped', _PAIRS),
        _test_id(
            'test_snapshot_gone_on_one_replica_connection_lost_on_other',
            _PAIRS,
        ),
    ),
    (
        '{0}execution.py'.format(_QUERY),
        '(scatter.gather, *self._abandoned_gathers)',
        '(scatter.gather,)',
        _test_id('test_restart_with_less_coverage_keeps_the_first_gather'),
    ),
    (
        '{0}shard_progress.py'.format(_QUERY),
        (
            'self.pin_unavailable or bool(\n'
            '            progress.replicas_without_pin\n        )'
        ),
        'self.pin_unavailable or progress.no_replica_has_pin',
        _test_id(
            'test_snapshot_gone_on_one_replica_connection_lost_on_other',
            _PAIRS,
        ),
    ),
    (
        '{0}pin_selector.py'.format(_QUERY),
        'if too_late or',
        'if',
        _test_id('test_pin_unavailable_too_late_to_restart'),
    ),
    (
        '{0}pin_selector.py'.format(_QUERY),
        'len(self._tried) >= _MAX_PINS',
        'len(self._tried) >= 1',
        _test_id(
            'test_new_snapshot_on_no_backend_and_old_one_without_a_shard',
        ),
    ),
    (
        '{0}pin_selector.py'.format(_QUERY),
        'if workload is None:',
        'if False:',
        _test_id('test_query_of_unpublished_workload_is_refused'),
    ),
    (
        '{0}held_snapshots.py'.format(_QUERY),
        'now_ms - report.received_ms > _REPORT_TTL_MS',
        'False',
        _test_id('test_old_report_expires', _GATHER),
    ),
    (
        '{0}held_snapshots.py'.format(_QUERY),
        'reported_ms is not None and now_ms - reported_ms <= _MISSING_TTL_MS',
        'False',
        _test_id(
            'test_missing_shard_rules_out_its_pin_until_it_expires', _GATHER
        ),
    ),
    (
        '{0}snapshot_selection.py'.format(_QUERY),
        'if pin_of(snapshot) in excluded:',
        'if False:',
        _test_id('test_excluded_pin_is_not_selected', _GATHER),
    ),
    (
        '{0}snapshot_selection.py'.format(_QUERY),
        'if True in held:',
        'if True:',
        _test_id('test_newest_held_for_every_shard_is_selected', _GATHER),
    ),
)

_ANSWERS: Final = (
    (
        '{0}answer.py'.format(_QUERY),
        'coverage.fraction >= query.contract.minimum_coverage',
        'True',
        _CONSISTENCY,
        *(
            _test_id(
                'test_lost_shard_is_reported_missing[{0}-{1}]'.format(*one)
            )
            for one in LOST_SHARDS
        ),
    ),
    (
        '{0}answer.py'.format(_QUERY),
        'records=gather.records() if enough else ()',
        'records=gather.records()',
        _CONSISTENCY,
    ),
    (
        '{0}shared_state.py'.format(_QUERY),
        'combine_verdicts(self.combined_verdict, verdict)',
        'verdict',
        _CONSISTENCY,
    ),
    (
        '{0}dispatch.py'.format(_QUERY),
        'self._tally.add(Verdict(Run.MAY_HAVE_RUN, Reason.CANCELLED))',
        'pass',
        _CONSISTENCY,
        _test_id('test_pause_past_the_deadline_sends_nothing_more'),
    ),
)

_EXTRA_LOAD: Final = (
    (
        '{0}attempts.py'.format(_QUERY),
        'elif self._shared.retry_budgets.of(self._query.contract).take():',
        'elif True:',
        _test_id('test_no_retry_storm[Reason.QUEUE_FULL]'),
        _test_id('test_no_retry_storm[None]'),
        _test_id('test_shed_with_an_empty_budget_ends_without_waiting', _PAIRS),
        _test_id(
            'test_lost_owner_and_empty_budget_answer_at_the_deadline', _PAIRS
        ),
    ),
    (
        '{0}attempts.py'.format(_QUERY),
        'progress.in_flight and not self._is_straggler(progress, now_ms)',
        'False',
        _test_id('test_no_hedge_when_every_shard_is_slow[5]'),
        _test_id('test_no_hedge_when_every_shard_is_slow[190]'),
    ),
    (
        '{0}dispatch.py'.format(_QUERY),
        'self.schedule_hedge(progress, now_ms)',
        'pass',
        *(
            _test_id(
                'test_unanswered_attempt_is_hedged[{0}-{1}]'.format(step, fault)
            )
            for step, fault, _ in UNANSWERED
        ),
        _test_id('test_unresponsive_owner_of_every_shard_is_replaced'),
    ),
    (
        '{0}scatter.py'.format(_QUERY),
        'yield from self._dispatcher.cancel(losers)',
        'yield from ()',
        _test_id(
            'test_two_stragglers_and_their_slower_attempts_cancelled', _PAIRS
        ),
    ),
    (
        '{0}stragglers.py'.format(_QUERY),
        'wait.unresponsive or wait.overdue',
        'wait.unresponsive',
        _test_id(
            'test_two_stragglers_and_their_slower_attempts_cancelled', _PAIRS
        ),
    ),
    (
        '{0}stragglers.py'.format(_QUERY),
        'wait.unresponsive or wait.overdue',
        'wait.overdue',
        _test_id('test_half_the_shards_of_an_unresponsive_owner', _PAIRS),
    ),
    (
        '{0}target_selection.py'.format(_QUERY),
        'if is_owner_unresponsive(attempt, shared):',
        'if False:',
        _test_id('test_first_and_second_owner_unresponsive', _PAIRS),
    ),
    (
        '{0}target_selection.py'.format(_QUERY),
        'if attempts >= len(target.replicas):',
        'if False:',
        _test_id('test_both_replicas_of_a_responsive_owner_are_slow', _PAIRS),
    ),
    (
        '{0}target_selection.py'.format(_QUERY),
        'if not silent_ms or silent_ms <= owner_timeout_ms(query, shared):',
        'if True:',
        _test_id('test_unresponsive_owner_of_every_shard_is_replaced'),
    ),
    (
        '{0}target_selection.py'.format(_QUERY),
        'progress.reset_exclusions()',
        'pass',
        _test_id('test_every_owner_unreachable_once', _PAIRS),
    ),
    (
        '{0}budget.py'.format(_RETRIES),
        'if self._tokens < 1:',
        'if False:',
        _test_id(
            'test_budget_never_allows_more_than_its_fraction', _RETRY_TESTS
        ),
    ),
    (
        '{0}budget.py'.format(_RETRIES),
        'self._tokens = min(earned, self._limit)',
        'self._tokens = earned',
        _test_id('test_unused_budget_is_limited_to_one_bucket', _RETRY_TESTS),
    ),
    (
        '{0}budget.py'.format(_RETRIES),
        'max(self._tokens - attempts, -self._limit)',
        'self._tokens - attempts',
        _test_id('test_negative_balance_is_bounded', _RETRY_TESTS),
    ),
    (
        '{0}budget.py'.format(_RETRIES),
        'self._tokens = min(self._tokens, self._limit)',
        'pass',
        _test_id(
            'test_lowered_fraction_drops_tokens_above_the_limit', _RETRY_TESTS
        ),
    ),
    (
        '{0}hedging.py'.format(_RETRIES),
        'min(shard_ms, workload_ms * _MAX_WORKLOAD_MULTIPLE)',
        'shard_ms',
        _test_id(
            'test_slow_replica_does_not_raise_the_hedge_delay_of_its_shard',
            _RETRY_TESTS,
        ),
    ),
)

_SLOW_DATA_CENTRES: Final = (
    (
        '{0}observations.py'.format(_QUERY),
        (
            'shared.answer_times.observe('
            'probe.target.owner_key, elapsed_ms, now_ms)'
        ),
        'pass',
        _test_id('test_recovered_data_centre_is_used_again', _STRAGGLERS),
    ),
    (
        '{0}target_selection.py'.format(_QUERY),
        'key == target.owner_key or not',
        'not',
        _test_id(
            'test_slow_data_centre_without_alternative_is_not_probed',
            _STRAGGLERS,
        ),
    ),
    (
        '{0}target_selection.py'.format(_QUERY),
        (
            'shared.answer_times.is_slow(\n'
            '            target.owner_key, typical_ms\n        ),\n'
        ),
        'False,\n',
        _test_id('test_slow_data_centre_is_avoided', _STRAGGLERS),
    ),
    (
        '{0}scatter.py'.format(_QUERY),
        ' if not one.probe',
        '',
        _test_id('test_recovered_data_centre_is_used_again', _STRAGGLERS),
    ),
    (
        '{0}attempts.py'.format(_QUERY),
        '            if budget.take():\n',
        '            if True:\n',
        _test_id(
            'test_slow_data_centre_is_not_probed_without_budget',
            _STRAGGLERS,
        ),
    ),
)

GUARDS: Final = (
    *_SLOW_DATA_CENTRES,
    *_MERGE,
    *_DEADLINES,
    *_PINS,
    *_ANSWERS,
    *_EXTRA_LOAD,
    *_RETRY_STEPS,
    *_EXEMPT_REASONS,
)
