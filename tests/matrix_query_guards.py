"""Guards of queries and retries, each with tests that fail without it."""

from typing import Final

from dandelionstage.model.verdict import Reason, Run
from dandelionstage.retries.retry_steps import retry_step

from .matrix_query import FREE, LOSSES, REFUSED, UNANSWERED

__all__ = ('GUARDS',)

_QUERY: Final = 'src/dandelionstage/query/'
_RETRIES: Final = 'src/dandelionstage/retries/'
_MATRIX: Final = 'tests/test_matrix_query.py'
_PAIRS: Final = 'tests/test_matrix_query_pairs.py'
_TRUTH: Final = 'tests/test_query_truth.py::TestTruth::runTest'
_GATHER: Final = 'tests/test_query_gather.py'
_STRAGGLERS: Final = 'tests/test_query_stragglers.py'
_BUDGET: Final = 'tests/test_retries.py'

_REASONS: Final = sorted({one[2] for one in REFUSED}, key=str)


def _named(test: str, path: str = _MATRIX) -> str:
    return '{0}::{1}'.format(path, test)


def _refused(reason: Reason, *runs: Run) -> tuple[str, ...]:
    return tuple(
        _named('test_refused[{0}-{1}]'.format(step, fault))
        for step, fault, refused, run in REFUSED
        if refused is reason and run in runs
    )


_MOVES: Final = tuple(
    (
        '{0}retry_steps.py'.format(_RETRIES),
        '{0}: {1},'.format(reason, retry_step(reason)),
        '',
        *_refused(reason, *Run),
    )
    for reason in _REASONS
)

_FREE: Final = tuple(
    (
        '{0}retry_steps.py'.format(_RETRIES),
        '        {0},\n'.format(reason),
        '',
        *_refused(reason, Run.NOT_RUN),
    )
    for reason in FREE
)

_MERGE: Final = (
    (
        '{0}gather.py'.format(_QUERY),
        'part.pin != self.pin',
        'False',
        _TRUTH,
        _named('test_wrong_part_is_asked_for_again[snapshot switch]'),
        _named('test_wrong_part_is_asked_for_again[repartition]'),
    ),
    (
        '{0}gather.py'.format(_QUERY),
        'part.pin != self.pin',
        'part.pin.snapshot != self.pin.snapshot',
        _TRUTH,
        _named('test_wrong_part_is_asked_for_again[repartition]'),
    ),
    (
        '{0}gather.py'.format(_QUERY),
        'part.shard != shard or',
        '',
        _TRUTH,
        _named('test_wrong_part_is_asked_for_again[crossed]'),
    ),
    (
        '{0}gather.py'.format(_QUERY),
        'or shard in self._parts',
        '',
        _named('test_second_part_of_a_shard_is_dropped', _GATHER),
    ),
    (
        '{0}gather.py'.format(_QUERY),
        'part.backend not in self._snapshot.shards[shard]',
        'False',
        _TRUTH,
        _named('test_wrong_part_is_asked_for_again[stranger]'),
    ),
    (
        '{0}gather.py'.format(_QUERY),
        'found.setdefault(record.record, record)',
        'found[len(found)] = record',
        _TRUTH,
        _named('test_record_on_two_shards_comes_once_in_any_order', _GATHER),
    ),
    (
        '{0}gather.py'.format(_QUERY),
        'if shard not in self._parts\n',
        'if False\n',
        _TRUTH,
        _named('test_shard_lost[gather-silence]'),
        _named('test_shard_lost[answer-cut]'),
    ),
    (
        '{0}dispatch.py'.format(_QUERY),
        'return self._out.pop(call, None)',
        'return self._out.get(call)',
        _named('test_repeated[reply-duplicate]'),
    ),
    (
        '{0}scatter.py'.format(_QUERY),
        'reply.part is not None and',
        '',
        _TRUTH,
    ),
    (
        '{0}scatter.py'.format(_QUERY),
        'and reply.answered_by == attempt.target.vm',
        '',
        _TRUTH,
        _named('test_part_from_an_owner_not_asked_is_asked_for_again'),
    ),
)

_TIME: Final = (
    (
        '{0}execution.py'.format(_QUERY),
        'expired = now_ms >= self._query.deadline_ms\n        snap',
        'expired = False\n        snap',
        _named('test_paused_before_start_sends_nothing'),
    ),
    (
        '{0}execution.py'.format(_QUERY),
        'expired = now_ms >= self._query.deadline_ms\n        if not',
        'expired = False\n        if not',
        _TRUTH,
    ),
    (
        '{0}scatter.py'.format(_QUERY),
        'if paused:',
        'if False:',
        _named('test_paused_with_replies_unread_starts_nothing'),
        _named('test_pause_and_snapshot_gone_meanwhile', _PAIRS),
    ),
    (
        '{0}attempts.py'.format(_QUERY),
        'if too_late or',
        'if',
        _named('test_shed_until_after_the_deadline_is_not_retried', _PAIRS),
    ),
)

_PINS: Final = (
    (
        '{0}execution.py'.format(_QUERY),
        'if scatter.shards.pin_gone:',
        'if False:',
        *(
            _named('test_pin_gone_between_two_sub_requests[{0}-{1}]').format(
                reason,
                served,
            )
            for reason in (Reason.SNAPSHOT_GONE, Reason.SHARD_MOVED)
            for served in range(6)
        ),
        _named('test_part_of_the_pin_given_up_comes_late', _PAIRS),
        _named(
            'test_snapshot_gone_on_one_replica_and_the_other_lost',
            _PAIRS,
        ),
    ),
    (
        '{0}execution.py'.format(_QUERY),
        '(scatter.gather, *self._given_up)',
        '(scatter.gather,)',
        _named('test_restart_that_fares_worse_loses_nothing'),
    ),
    (
        '{0}shard.py'.format(_QUERY),
        'self.pin_gone or bool(progress.gone)',
        'self.pin_gone or progress.all_gone',
        _named(
            'test_snapshot_gone_on_one_replica_and_the_other_lost',
            _PAIRS,
        ),
    ),
    (
        '{0}pins.py'.format(_QUERY),
        'if too_late or',
        'if',
        _named('test_pin_gone_too_late_to_start_again'),
    ),
    (
        '{0}pins.py'.format(_QUERY),
        'len(self._tried) >= _MAX_PINS',
        'len(self._tried) >= 1',
        _named(
            'test_new_snapshot_held_by_nobody_and_old_one_lacking_a_shard',
        ),
    ),
    (
        '{0}pins.py'.format(_QUERY),
        'if workload is None:',
        'if False:',
        _named('test_nothing_published_is_refused'),
    ),
    (
        '{0}held.py'.format(_QUERY),
        'now_ms - held.heard_ms > _FRESH_MS',
        'False',
        _named('test_old_word_is_forgotten', _GATHER),
    ),
    (
        '{0}held.py'.format(_QUERY),
        'lacking_ms is not None and now_ms - lacking_ms <= _LACKING_MS',
        'False',
        _named('test_moved_shard_counts_against_its_pin_for_a_while', _GATHER),
    ),
    (
        '{0}pinning.py'.format(_QUERY),
        'if pin_of(snapshot) in given_up:',
        'if False:',
        _named('test_pin_given_up_is_not_chosen_again', _GATHER),
    ),
    (
        '{0}pinning.py'.format(_QUERY),
        'if True in said:',
        'if True:',
        _named('test_newest_that_every_shard_holds_is_pinned', _GATHER),
    ),
)

_VERDICTS: Final = (
    (
        '{0}answer.py'.format(_QUERY),
        'coverage.fraction >= query.contract.minimum_coverage',
        'True',
        _TRUTH,
        *(_named('test_shard_lost[{0}-{1}]'.format(*one)) for one in LOSSES),
    ),
    (
        '{0}answer.py'.format(_QUERY),
        'records=gather.records() if enough else ()',
        'records=gather.records()',
        _TRUTH,
    ),
    (
        '{0}tools.py'.format(_QUERY),
        'combine_verdicts(self.worst, verdict)',
        'verdict',
        _TRUTH,
    ),
    (
        '{0}dispatch.py'.format(_QUERY),
        'self._tally.add(Verdict(Run.MAY_HAVE_RUN, Reason.CANCELLED))',
        'pass',
        _TRUTH,
        _named('test_paused_past_the_deadline_starts_nothing'),
    ),
)

_EXTRA_LOAD: Final = (
    (
        '{0}attempts.py'.format(_QUERY),
        'elif self._tools.budgets.of(self._query.contract).take():',
        'elif True:',
        _named('test_no_retry_storm[Reason.QUEUE_FULL]'),
        _named('test_no_retry_storm[None]'),
        _named('test_shed_with_an_empty_budget_does_not_wait', _PAIRS),
        _named(
            'test_owner_lost_and_budget_empty_still_answers_in_time', _PAIRS
        ),
    ),
    (
        '{0}attempts.py'.format(_QUERY),
        'progress.out and not self._is_straggler(progress, now_ms)',
        'False',
        _named('test_everything_slow_is_not_hedged[5]'),
        _named('test_everything_slow_is_not_hedged[190]'),
    ),
    (
        '{0}dispatch.py'.format(_QUERY),
        'self.plan_hedge(progress, now_ms)',
        'pass',
        *(
            _named('test_unanswered[{0}-{1}]'.format(step, fault))
            for step, fault, _ in UNANSWERED
        ),
        _named('test_silent_owner_of_every_shard_is_replaced'),
    ),
    (
        '{0}scatter.py'.format(_QUERY),
        'yield from self._dispatch.cancel(losers)',
        'yield from ()',
        _named('test_two_stragglers_and_the_loser_cancelled', _PAIRS),
    ),
    (
        '{0}stragglers.py'.format(_QUERY),
        'wait.silent or wait.long',
        'wait.silent',
        _named('test_two_stragglers_and_the_loser_cancelled', _PAIRS),
    ),
    (
        '{0}stragglers.py'.format(_QUERY),
        'wait.silent or wait.long',
        'wait.long',
        _named('test_half_the_shards_behind_a_silent_owner', _PAIRS),
    ),
    (
        '{0}picking.py'.format(_QUERY),
        'if is_owner_silent(attempt, tools):',
        'if False:',
        _named('test_owner_lost_and_its_deputy_too', _PAIRS),
    ),
    (
        '{0}picking.py'.format(_QUERY),
        'if attempts >= len(target.replicas):',
        'if False:',
        _named('test_both_replicas_of_a_living_owner_are_slow', _PAIRS),
    ),
    (
        '{0}picking.py'.format(_QUERY),
        'if not silent_ms or silent_ms <= find_patience_ms(query, tools):',
        'if True:',
        _named('test_silent_owner_of_every_shard_is_replaced'),
    ),
    (
        '{0}picking.py'.format(_QUERY),
        'progress.forgive()',
        'pass',
        _named('test_every_owner_unreachable_once', _PAIRS),
    ),
    (
        '{0}budget.py'.format(_RETRIES),
        'if self._tokens < 1:',
        'if False:',
        _named('test_budget_never_allows_more_than_its_fraction', _BUDGET),
    ),
    (
        '{0}budget.py'.format(_RETRIES),
        'self._tokens = min(earned, self._limit)',
        'self._tokens = earned',
        _named('test_unused_budget_is_limited_to_one_bucket', _BUDGET),
    ),
    (
        '{0}budget.py'.format(_RETRIES),
        'max(self._tokens - attempts, -self._limit)',
        'self._tokens - attempts',
        _named('test_negative_balance_is_bounded', _BUDGET),
    ),
    (
        '{0}budget.py'.format(_RETRIES),
        'self._tokens = min(self._tokens, self._limit)',
        'pass',
        _named('test_lowered_fraction_drops_tokens_above_the_limit', _BUDGET),
    ),
    (
        '{0}hedging.py'.format(_RETRIES),
        'min(shard_ms, workload_ms * _MAX_WORKLOAD_MULTIPLE)',
        'shard_ms',
        _named(
            'test_slow_replica_does_not_raise_the_hedge_delay_of_its_shard',
            _BUDGET,
        ),
    ),
)

_SLOW_PLACES: Final = (
    (
        '{0}lessons.py'.format(_QUERY),
        'tools.times.observe(probe.target.owner_key, elapsed_ms, now_ms)',
        'pass',
        _named('test_recovered_data_centre_is_taken_back', _STRAGGLERS),
    ),
    (
        '{0}picking.py'.format(_QUERY),
        'key == target.owner_key or not',
        'not',
        _named('test_only_place_that_is_slow_is_not_asked_twice', _STRAGGLERS),
    ),
    (
        '{0}picking.py'.format(_QUERY),
        'tools.times.is_slow(target.owner_key, typical_ms),\n',
        'False,\n',
        _named('test_slow_data_centre_is_passed_by', _STRAGGLERS),
    ),
    (
        '{0}scatter.py'.format(_QUERY),
        ' if not one.probe',
        '',
        _named('test_recovered_data_centre_is_taken_back', _STRAGGLERS),
    ),
    (
        '{0}attempts.py'.format(_QUERY),
        '            if budget.take():\n',
        '            if True:\n',
        _named(
            'test_slow_data_centre_is_not_probed_without_budget',
            _STRAGGLERS,
        ),
    ),
)

GUARDS: Final = (
    *_SLOW_PLACES,
    *_MERGE,
    *_TIME,
    *_PINS,
    *_VERDICTS,
    *_EXTRA_LOAD,
    *_MOVES,
    *_FREE,
)
