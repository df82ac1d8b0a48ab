"""Cells of the fault matrix for backend connections, actions and stops."""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final

__all__ = ('CELLS',)

_Proofs = Mapping[str, str]

_FAULTS: Final = 'tests/test_backend_pool.py::test_each_fault_gives_its_verdict'
#: Where the tests stand, by the first word of a proof.
_FILES: Final = MappingProxyType(
    {
        'entry': 'tests/test_action_service.py::test_',
        'pool-fault': _FAULTS,
        'pool': 'tests/test_backend_pool.py::test_',
        'process': 'tests/test_backend_process.py::test_server_',
        'stop': 'tests/test_lifecycle.py::test_',
        'story': 'tests/test_action_consistency.py::test_',
        'table': 'tests/test_actions.py::test_',
        'verdicts': 'tests/test_action_verdicts.py::test_',
        'walk': 'tests/test_action_consistency.py::TestActions::',
    },
)

_TCP: Final = 'n/a: TCP delivers once and in order'
_ADDRESS: Final = 'n/a: needs nothing but the address it has'
_NO_SNAPSHOT: Final = 'n/a: no snapshot or shard is looked at'
_NO_SERVICE: Final = 'n/a: the configuration service is not asked'
_LATE_REPLY: Final = 'story lost_reply_is_a_doubt_until_it_comes_after_all'
_FROZEN: Final = 'process frozen_and_woken_runs_an_action_at_most_once'
_SLOW: Final = 'pool slow_reply_counts_though_the_copy_of_it_met_silence'
_WOKEN: Final = 'story minter_woken_after_expiry_starts_nothing'
_REPLACED: Final = 'story minter_replaced_leaves_doubt_and_nothing_runs_again'
_AGAIN: Final = 'story call_sent_again_after_its_link_was_lost_starts_nothing'
_SETTLED: Final = 'table silent_attempt_is_a_doubt_that_a_late_reply_settles'
_PLACED: Final = 'table place_names_the_minter_or_says_that_it_is_gone'
_FORGOTTEN: Final = 'story forgotten_ticket_leaves_doubt_and_starts_nothing'
_REFUSED_COPY: Final = (
    'pool slow_reply_counts_though_the_copy_of_it_was_refused'
)
_BAD_REPLY: Final = 'pool connection_with_a_bad_reply_is_not_used_again'
_JOINED: Final = 'verdicts action_joins_the_verdicts_of_its_attempts'

_CONNECT: Final[_Proofs] = MappingProxyType(
    {
        'kill': 'process killed_before_the_send_has_not_run',
        'freeze and wake': _FROZEN,
        'cut': 'pool connecting_is_bounded',
        'silence': 'pool server_silent_on_a_new_connection_too_is_blamed',
        'slow': 'pool connecting_is_bounded',
        'lost reply': 'n/a: nothing is asked yet',
        'duplicate': _TCP,
        'reorder': _TCP,
        'shed': 'pool connection_over_the_servers_limit_brings_nothing',
        'drain': 'n/a: a draining server refuses calls, not connections',
        'snapshot switch': _NO_SNAPSHOT,
        'repartition': _NO_SNAPSHOT,
        'service down': _ADDRESS,
        'service stale': _BAD_REPLY,
        'view disagreement': 'pool allowance_bounds_connections',
    },
)

_SEND: Final[_Proofs] = MappingProxyType(
    {
        'kill': 'pool connection_closed_while_idle_is_not_used',
        'freeze and wake': 'pool process_paused_before_the_send_sends_nothing',
        'cut': 'pool verdicts_agree_with_the_witness',
        'silence': 'pool silent_connection_is_replaced_within_two_seconds',
        'slow': _SLOW,
        'lost reply': 'n/a: see the reply',
        'duplicate': 'pool action_is_never_sent_twice',
        'reorder': 'n/a: a connection carries one request at a time',
        'shed': 'pool-fault [overloaded]',
        'drain': 'pool-fault [draining]',
        'snapshot switch': 'pool-fault [snapshot gone]',
        'repartition': 'pool-fault [shard moved]',
        'service down': _ADDRESS,
        'service stale': 'pool-fault [shard moved]',
        'view disagreement': 'pool-fault [overloaded]',
    },
)

_RUN: Final[_Proofs] = MappingProxyType(
    {
        'kill': 'process killed_while_it_runs_leaves_doubt',
        'freeze and wake': _FROZEN,
        'cut': 'pool connection_closed_while_running_leaves_doubt',
        'silence': 'pool-fault [silent]',
        'slow': _SLOW,
        'lost reply': 'pool-fault [lost]',
        'duplicate': 'pool action_is_never_sent_twice',
        'reorder': 'n/a: calls of one server do not wait for one another',
        'shed': 'pool-fault [error in doubt]',
        'drain': _REFUSED_COPY,
        'snapshot switch': 'pool part_says_what_the_server_said',
        'repartition': 'pool part_says_what_the_server_said',
        'service down': _ADDRESS,
        'service stale': _ADDRESS,
        'view disagreement': 'n/a: a call that runs has its slot',
    },
)

_REPLY: Final[_Proofs] = MappingProxyType(
    {
        'kill': 'process killed_while_it_runs_leaves_doubt',
        'freeze and wake': _LATE_REPLY,
        'cut': 'pool-fault [cut]',
        'silence': 'pool-fault [withheld]',
        'slow': _LATE_REPLY,
        'lost reply': 'pool-fault [lost]',
        'duplicate': 'pool repeated_reply_is_never_anothers_answer',
        'reorder': 'pool-fault [wrong call]',
        'shed': 'n/a: a reply ends the call',
        'drain': 'n/a: a draining server still answers what it took',
        'snapshot switch': 'pool part_says_what_the_server_said',
        'repartition': 'pool part_says_what_the_server_said',
        'service down': _ADDRESS,
        'service stale': _ADDRESS,
        'view disagreement': _BAD_REPLY,
    },
)

_UNUSED: Final = 'table expired_ticket_starts_nothing'

_MINT: Final[_Proofs] = MappingProxyType(
    {
        'kill': 'table foreign_tickets_start_nothing',
        'freeze and wake': _WOKEN,
        'cut': _UNUSED,
        'silence': _UNUSED,
        'slow': _UNUSED,
        'lost reply': _UNUSED,
        'duplicate': 'table tickets_are_bounded',
        'reorder': 'n/a: one message each way',
        'shed': 'table tickets_are_bounded',
        'drain': 'n/a: backend servers are not asked',
        'snapshot switch': _NO_SNAPSHOT,
        'repartition': _NO_SNAPSHOT,
        'service down': _NO_SERVICE,
        'service stale': _NO_SERVICE,
        'view disagreement': 'n/a: any process may mint',
    },
)

_FORWARD: Final[_Proofs] = MappingProxyType(
    {
        'kill': _REPLACED,
        'freeze and wake': _WOKEN,
        'cut': 'story minter_cut_off_leaves_doubt',
        'silence': 'entry silent_minter_leaves_doubt',
        'slow': 'entry silent_minter_leaves_doubt',
        'lost reply': _AGAIN,
        'duplicate': 'story copy_delivered_after_not_run_starts_nothing',
        'reorder': _AGAIN,
        'shed': 'table calls_with_one_ticket_are_bounded',
        'drain': 'n/a: backend servers are not asked',
        'snapshot switch': _NO_SNAPSHOT,
        'repartition': _NO_SNAPSHOT,
        'service down': _NO_SERVICE,
        'service stale': _NO_SERVICE,
        'view disagreement': _PLACED,
    },
)

_START: Final[_Proofs] = MappingProxyType(
    {
        'kill': _REPLACED,
        'freeze and wake': 'table woken_late_sends_nothing',
        'cut': 'table unreachable_owner_is_passed_by',
        'silence': _SETTLED,
        'slow': _SETTLED,
        'lost reply': _LATE_REPLY,
        'duplicate': 'story same_ticket_at_several_entries_at_once',
        'reorder': 'walk runTest',
        'shed': 'table next_replica_only_after_not_run',
        'drain': _JOINED,
        'snapshot switch': _JOINED,
        'repartition': _JOINED,
        'service down': 'table without_any_owner_nothing_runs',
        'service stale': 'table without_any_owner_nothing_runs',
        'view disagreement': _JOINED,
    },
)

_RECORD: Final[_Proofs] = MappingProxyType(
    {
        'kill': _REPLACED,
        'freeze and wake': 'story action_under_way_past_expiry_runs_once',
        'cut': 'story minter_cut_off_leaves_doubt',
        'silence': _SETTLED,
        'slow': _LATE_REPLY,
        'lost reply': 'table second_call_waits_and_gets_the_same_outcome',
        'duplicate': 'story reply_delivered_twice_starts_no_second_attempt',
        'reorder': 'table doubt_is_final_until_a_late_reply_settles_it',
        'shed': 'table calls_with_one_ticket_are_bounded',
        'drain': 'table running_action_is_remembered_past_expiry',
        'snapshot switch': _NO_SNAPSHOT,
        'repartition': _NO_SNAPSHOT,
        'service down': _NO_SERVICE,
        'service stale': _NO_SERVICE,
        'view disagreement': _FORGOTTEN,
    },
)

_ORDERED: Final = 'stop states_come_in_order_and_work_is_cut_only_at_the_bound'

_STOPPING: Final[_Proofs] = MappingProxyType(
    {
        'kill': 'n/a: a kill is no planned stop; see the other steps',
        'freeze and wake': _ORDERED,
        'cut': 'stop bound_on_draining_is_kept_and_told',
        'silence': 'stop bound_on_draining_is_kept_and_told',
        'slow': 'stop bound_on_draining_is_kept_and_told',
        'lost reply': 'stop waits_for_work_and_tickets',
        'duplicate': 'stop second_signal_changes_nothing',
        'reorder': _ORDERED,
        'shed': 'n/a: a stop sheds nothing that was taken',
        'drain': 'pool closing_waits_for_what_is_out_and_takes_nothing_new',
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


def _cells() -> Iterator[tuple[str, str, str]]:
    for step, proofs in _STEPS.items():
        for fault, proof in proofs.items():
            yield step, fault, _find_test(proof)


def _find_test(proof: str) -> str:
    place, _, name = proof.partition(' ')
    if place == 'n/a:':
        return proof
    return '{0}{1}'.format(_FILES[place], name)


#: Step, fault, and the test that proves the cell or why there is none.
CELLS: Final = tuple(_cells())
