"""Cells of the fault matrix for backend connections, actions and stops."""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final

__all__ = ('CELLS',)

_CellProofs = Mapping[str, str]

_POOL_FAULT_TEST: Final = (
    'tests/test_backend_pool.py::test_each_fault_gives_its_verdict'
)
#: Start of the test id, by the first word of a proof.
_TEST_ID_PREFIXES: Final = MappingProxyType(
    {
        'entry': 'tests/test_action_service.py::test_',
        'pool-fault': _POOL_FAULT_TEST,
        'pool': 'tests/test_backend_pool.py::test_',
        'process': 'tests/test_backend_process.py::test_server_',
        'stop': 'tests/test_lifecycle.py::test_',
        'scenario': 'tests/test_action_consistency.py::test_',
        'table': 'tests/test_actions.py::test_',
        'verdicts': 'tests/test_action_verdicts.py::test_',
        'state-machine': 'tests/test_action_consistency.py::TestActions::',
    },
)

_TCP_ORDER: Final = 'n/a: TCP delivers once and in order'
_FIXED_ADDRESS: Final = 'n/a: only the known address of the server is used'
_NO_SNAPSHOT: Final = 'n/a: no snapshot or shard is used'
_NO_SERVICE: Final = 'n/a: the configuration service is not queried'
_LATE_REPLY: Final = 'scenario outcome_is_uncertain_until_a_late_reply_arrives'
_FROZEN_SERVER: Final = 'process paused_and_resumed_runs_an_action_at_most_once'
_SLOW_REPLY: Final = (
    'pool slow_reply_is_used_when_the_second_copy_gets_no_reply'
)
_RESUMED_MINTER: Final = 'scenario minter_resumed_after_expiry_starts_nothing'
_REPLACED_MINTER: Final = 'scenario replaced_minter_leaves_outcome_uncertain'
_CALL_SENT_AGAIN: Final = (
    'scenario call_sent_again_after_its_link_was_lost_starts_nothing'
)
_UNANSWERED: Final = 'table unanswered_attempt_is_uncertain_until_a_late_reply'
_MINTER_LOCATED: Final = 'table locate_minter_refuses_when_the_minter_is_gone'
_REMOVED_TICKET: Final = (
    'scenario removed_ticket_is_uncertain_and_starts_nothing'
)
_REFUSED_COPY: Final = 'pool slow_reply_is_used_when_the_second_copy_is_refused'
_BAD_REPLY: Final = 'pool connection_with_a_bad_reply_is_not_used_again'
_COMBINED: Final = 'verdicts action_combines_the_verdicts_of_its_attempts'

_CONNECT: Final[_CellProofs] = MappingProxyType(
    {
        'kill': 'process killed_before_the_send_has_not_run',
        'freeze and wake': _FROZEN_SERVER,
        'cut': 'pool connect_time_is_bounded',
        'silence': 'pool timeout_on_a_new_connection_gives_deadline_expired',
        'slow': 'pool connect_time_is_bounded',
        'lost reply': 'n/a: no request is sent yet',
        'duplicate': _TCP_ORDER,
        'reorder': _TCP_ORDER,
        'shed': 'pool connection_over_the_servers_limit_is_lost',
        'drain': 'n/a: a draining server refuses calls, not connections',
        'snapshot switch': _NO_SNAPSHOT,
        'repartition': _NO_SNAPSHOT,
        'service down': _FIXED_ADDRESS,
        'service stale': _BAD_REPLY,
        'view disagreement': 'pool allowance_bounds_connections',
    },
)

_SEND: Final[_CellProofs] = MappingProxyType(
    {
        'kill': 'pool connection_closed_while_idle_is_not_used',
        'freeze and wake': 'pool process_paused_before_the_send_sends_nothing',
        'cut': 'pool verdicts_agree_with_the_witness',
        'silence': 'pool silent_connection_is_replaced_within_two_seconds',
        'slow': _SLOW_REPLY,
        'lost reply': 'n/a: see the step reply',
        'duplicate': 'pool action_is_never_sent_twice',
        'reorder': 'n/a: a connection carries one request at a time',
        'shed': 'pool-fault [overloaded]',
        'drain': 'pool-fault [draining]',
        'snapshot switch': 'pool-fault [snapshot gone]',
        'repartition': 'pool-fault [shard moved]',
        'service down': _FIXED_ADDRESS,
        'service stale': 'pool-fault [shard moved]',
        'view disagreement': 'pool-fault [overloaded]',
    },
)

_RUN: Final[_CellProofs] = MappingProxyType(
    {
        'kill': 'process killed_while_running_may_have_run',
        'freeze and wake': _FROZEN_SERVER,
        'cut': 'pool connection_closed_while_running_may_have_run',
        'silence': 'pool-fault [silent]',
        'slow': _SLOW_REPLY,
        'lost reply': 'pool-fault [lost]',
        'duplicate': 'pool action_is_never_sent_twice',
        'reorder': 'n/a: calls of one server do not wait for one another',
        'shed': 'pool-fault [error may have run]',
        'drain': _REFUSED_COPY,
        'snapshot switch': 'pool part_repeats_shard_and_snapshot_of_the_reply',
        'repartition': 'pool part_repeats_shard_and_snapshot_of_the_reply',
        'service down': _FIXED_ADDRESS,
        'service stale': _FIXED_ADDRESS,
        'view disagreement': 'n/a: a call that runs has its slot',
    },
)

_REPLY: Final[_CellProofs] = MappingProxyType(
    {
        'kill': 'process killed_while_running_may_have_run',
        'freeze and wake': _LATE_REPLY,
        'cut': 'pool-fault [cut]',
        'silence': 'pool-fault [withheld]',
        'slow': _LATE_REPLY,
        'lost reply': 'pool-fault [lost]',
        'duplicate': 'pool repeated_reply_is_not_used_for_another_call',
        'reorder': 'pool-fault [wrong call]',
        'shed': 'n/a: a reply ends the call',
        'drain': 'n/a: a draining server still answers accepted calls',
        'snapshot switch': 'pool part_repeats_shard_and_snapshot_of_the_reply',
        'repartition': 'pool part_repeats_shard_and_snapshot_of_the_reply',
        'service down': _FIXED_ADDRESS,
        'service stale': _FIXED_ADDRESS,
        'view disagreement': _BAD_REPLY,
    },
)

_UNUSED_TICKET: Final = 'table expired_ticket_starts_nothing'

_MINT: Final[_CellProofs] = MappingProxyType(
    {
        'kill': 'table foreign_tickets_start_nothing',
        'freeze and wake': _RESUMED_MINTER,
        'cut': _UNUSED_TICKET,
        'silence': _UNUSED_TICKET,
        'slow': _UNUSED_TICKET,
        'lost reply': _UNUSED_TICKET,
        'duplicate': 'table number_of_tickets_is_limited',
        'reorder': 'n/a: one message each way',
        'shed': 'table number_of_tickets_is_limited',
        'drain': 'n/a: no backend server is involved',
        'snapshot switch': _NO_SNAPSHOT,
        'repartition': _NO_SNAPSHOT,
        'service down': _NO_SERVICE,
        'service stale': _NO_SERVICE,
        'view disagreement': 'n/a: any process may mint',
    },
)

_FORWARD: Final[_CellProofs] = MappingProxyType(
    {
        'kill': _REPLACED_MINTER,
        'freeze and wake': _RESUMED_MINTER,
        'cut': 'scenario unreachable_minter_leaves_outcome_uncertain',
        'silence': 'entry unresponsive_minter_leaves_outcome_uncertain',
        'slow': 'entry unresponsive_minter_leaves_outcome_uncertain',
        'lost reply': _CALL_SENT_AGAIN,
        'duplicate': 'scenario copy_delivered_after_not_run_starts_nothing',
        'reorder': _CALL_SENT_AGAIN,
        'shed': 'table number_of_calls_per_ticket_is_limited',
        'drain': 'n/a: no backend server is involved',
        'snapshot switch': _NO_SNAPSHOT,
        'repartition': _NO_SNAPSHOT,
        'service down': _NO_SERVICE,
        'service stale': _NO_SERVICE,
        'view disagreement': _MINTER_LOCATED,
    },
)

_START: Final[_CellProofs] = MappingProxyType(
    {
        'kill': _REPLACED_MINTER,
        'freeze and wake': 'table nothing_is_sent_after_deadline_or_expiry',
        'cut': 'table unreachable_owner_is_skipped',
        'silence': _UNANSWERED,
        'slow': _UNANSWERED,
        'lost reply': _LATE_REPLY,
        'duplicate': 'scenario ticket_used_at_several_entries_runs_once',
        'reorder': 'state-machine runTest',
        'shed': 'table next_replica_only_after_not_run',
        'drain': _COMBINED,
        'snapshot switch': _COMBINED,
        'repartition': _COMBINED,
        'service down': 'table action_without_an_owner_is_not_run',
        'service stale': 'table action_without_an_owner_is_not_run',
        'view disagreement': _COMBINED,
    },
)

_RECORD: Final[_CellProofs] = MappingProxyType(
    {
        'kill': _REPLACED_MINTER,
        'freeze and wake': 'scenario action_running_past_expiry_runs_once',
        'cut': 'scenario unreachable_minter_leaves_outcome_uncertain',
        'silence': _UNANSWERED,
        'slow': _LATE_REPLY,
        'lost reply': 'table second_call_waits_and_gets_the_same_outcome',
        'duplicate': 'scenario reply_delivered_twice_starts_no_second_attempt',
        'reorder': 'table uncertain_outcome_is_replaced_only_by_a_late_reply',
        'shed': 'table number_of_calls_per_ticket_is_limited',
        'drain': 'table running_action_is_kept_past_expiry',
        'snapshot switch': _NO_SNAPSHOT,
        'repartition': _NO_SNAPSHOT,
        'service down': _NO_SERVICE,
        'service stale': _NO_SERVICE,
        'view disagreement': _REMOVED_TICKET,
    },
)

_STOP_ORDER: Final = (
    'stop states_follow_in_order_and_abort_work_only_at_the_limit'
)

_STOPPING: Final[_CellProofs] = MappingProxyType(
    {
        'kill': 'n/a: a kill is not a planned stop; see the other steps',
        'freeze and wake': _STOP_ORDER,
        'cut': 'stop draining_ends_at_its_limit_and_reports_open_work',
        'silence': 'stop draining_ends_at_its_limit_and_reports_open_work',
        'slow': 'stop draining_ends_at_its_limit_and_reports_open_work',
        'lost reply': 'stop draining_waits_for_requests_and_tickets',
        'duplicate': 'stop second_begin_has_no_effect',
        'reorder': _STOP_ORDER,
        'shed': 'n/a: a stop does not shed accepted work',
        'drain': 'pool close_waits_for_pending_attempts_and_refuses_new_ones',
        'snapshot switch': _NO_SNAPSHOT,
        'repartition': _NO_SNAPSHOT,
        'service down': _NO_SERVICE,
        'service stale': _NO_SERVICE,
    },
)

_STEPS: Final = MappingProxyType(
    {
        'connect': _CONNECT,
        'backend send': _SEND,
        'backend run': _RUN,
        'reply': _REPLY,
        'mint': _MINT,
        'forward': _FORWARD,
        'start': _START,
        'record': _RECORD,
        'stop': _STOPPING,
    },
)


def _list_cells() -> Iterator[tuple[str, str, str]]:
    for step, proofs in _STEPS.items():
        for fault, proof in proofs.items():
            yield step, fault, _find_test(proof)


def _find_test(proof: str) -> str:
    kind, _, name = proof.partition(' ')
    if kind == 'n/a:':
        return proof
    return '{0}{1}'.format(_TEST_ID_PREFIXES[kind], name)


#: Step, fault, and the test of the cell or the reason why there is none.
CELLS: Final = tuple(_list_cells())
