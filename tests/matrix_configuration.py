"""Cells of the fault matrix for document distribution and leaving VMs.

Each cell names a step, a fault, and the test that covers it or the reason
why none applies.  Each guard names a file, a text in it, the replacement
that disables the guard, and the tests that must then fail.
"""

from collections.abc import Callable
from typing import Final

__all__ = ('CELLS', 'GUARDS')

_CONFIGURATION: Final = 'src/dandelionstage/configuration/'
_MEMBERSHIP: Final = 'src/dandelionstage/membership/'


def _in_file(name: str) -> Callable[[str], str]:
    return 'tests/test_{0}.py::test_{{0}}'.format(name).format


_in_sync: Final = _in_file('configuration_sync')
_in_store: Final = _in_file('configuration_store')
_in_bounds: Final = _in_file('configuration_bounds')
_in_members: Final = _in_file('members')
_in_start: Final = _in_file('configuration_start')
_in_view: Final = _in_file('peer_view')

_DUPLICATED: Final = _in_sync('duplicated_and_reordered_messages_do_no_harm')
_PAUSED: Final = _in_sync('a_document_read_before_a_pause_reverts_no_vm')
_INVALID_REFUSED: Final = _in_store(
    'an_invalid_document_between_two_valid_ones_changes_nothing'
)
_RESTARTED: Final = _in_sync(
    'vms_restarted_one_by_one_without_a_current_service_serve'
)
_LEAVING_NOTICED: Final = _in_members(
    'leaving_is_noticed_without_the_published_list'
)
_LEAVING_FINAL: Final = _in_members('leaving_is_final_until_a_new_incarnation')
_EDIT: Final = _in_sync('an_edit_is_in_force_within_the_limit')

_READ: Final = (
    ('kill', _in_sync('an_edit_spreads_though_its_readers_are_killed')),
    (
        'freeze and wake',
        _in_sync('an_edit_bypasses_frozen_readers_and_reaches_them_later'),
    ),
    ('cut', _in_sync('one_reader_that_reaches_the_service_is_enough')),
    ('silence', _in_sync('a_watch_that_goes_silent_is_replaced')),
    ('slow', _in_sync('a_slow_network_delays_an_edit_but_loses_nothing')),
    (
        'lost reply',
        _in_sync('an_edit_spreads_though_half_of_the_reads_get_no_answer'),
    ),
    ('duplicate', _DUPLICATED),
    ('reorder', _PAUSED),
    ('shed', _in_bounds('failed_reads_are_spaced_out')),
    ('snapshot switch', _EDIT),
    ('repartition', _EDIT),
    (
        'service down',
        _in_sync(
            'an_edit_made_while_the_service_is_down_is_in_force_soon_after'
        ),
    ),
    (
        'service stale',
        _in_sync('stale_readers_in_one_data_centre_do_not_delay_an_edit'),
    ),
    (
        'view disagreement',
        _in_sync('an_edit_spreads_while_no_vm_takes_itself_for_a_reader'),
    ),
)

_ACCEPT: Final = (
    ('kill', _RESTARTED),
    ('freeze and wake', _PAUSED),
    ('cut', _in_sync('an_isolated_data_centre_keeps_serving_and_converges')),
    (
        'silence',
        _in_sync('a_document_in_the_heads_that_is_not_returned_is_read_again'),
    ),
    ('slow', _in_sync('a_slow_network_delays_an_edit_but_loses_nothing')),
    (
        'lost reply',
        _in_sync('an_edit_spreads_though_a_fifth_of_messages_is_lost'),
    ),
    ('duplicate', _DUPLICATED),
    (
        'reorder',
        _in_store('any_order_of_arrival_ends_with_the_newest_valid_document'),
    ),
    ('snapshot switch', _INVALID_REFUSED),
    ('repartition', _INVALID_REFUSED),
    (
        'service down',
        _in_sync('a_service_restored_to_an_older_state_reverts_nothing'),
    ),
    (
        'service stale',
        _in_sync('a_document_older_than_its_head_reverts_nothing'),
    ),
    (
        'view disagreement',
        _in_store('another_body_at_the_same_revision_is_refused'),
    ),
)

_SPREAD: Final = (
    (
        'kill',
        _in_sync('one_serving_vm_is_enough_for_all_others_that_restart'),
    ),
    ('freeze and wake', _PAUSED),
    (
        'cut',
        _in_sync('two_sides_of_a_partition_converge_on_the_newer_revision'),
    ),
    (
        'silence',
        _in_sync('an_edit_reaches_peers_that_cannot_reach_each_other'),
    ),
    ('slow', _in_sync('a_slow_network_delays_an_edit_but_loses_nothing')),
    (
        'lost reply',
        _in_sync('an_edit_spreads_though_a_fifth_of_messages_is_lost'),
    ),
    ('duplicate', _DUPLICATED),
    ('reorder', _DUPLICATED),
    ('drain', _in_view('two_of_five_read_and_another_takes_over')),
    ('snapshot switch', _EDIT),
    ('repartition', _EDIT),
    (
        'service down',
        _in_sync('an_edit_reaches_a_data_centre_cut_off_from_the_service'),
    ),
    ('service stale', _RESTARTED),
    (
        'view disagreement',
        _in_sync('two_sides_with_different_new_documents_converge_on_both'),
    ),
)

_LEAVING: Final = (
    (
        'kill',
        _in_members(
            'a_lost_vm_is_suspected_in_its_data_centre_within_two_seconds'
        ),
    ),
    (
        'freeze and wake',
        _in_members('a_frozen_vm_is_alive_again_soon_after_it_wakes'),
    ),
    (
        'cut',
        _in_members('an_isolated_data_centre_is_alive_again_after_healing'),
    ),
    ('silence', _in_members('a_vm_that_others_can_reach_is_not_suspected')),
    ('slow', _in_members('no_vm_is_suspected_in_a_slow_network')),
    ('lost reply', _in_members('no_vm_is_suspected_in_a_healthy_fleet')),
    (
        'duplicate',
        _in_members('duplicated_and_reordered_probes_change_no_state'),
    ),
    (
        'reorder',
        _in_members('statuses_received_in_any_order_give_the_same_result'),
    ),
    ('drain', _LEAVING_FINAL),
    ('service down', _LEAVING_NOTICED),
    ('service stale', _LEAVING_NOTICED),
    (
        'view disagreement',
        _in_members('leaving_never_reverts_within_an_incarnation'),
    ),
)

_NO_SHED: Final = 'n/a: peers do not shed documents or probes'
_NO_DRAIN: Final = 'n/a: the configuration service does not drain'
_NO_SNAPSHOT: Final = 'n/a: liveness of VMs does not depend on snapshots'

_NOT_APPLICABLE: Final = (
    ('read', 'drain', _NO_DRAIN),
    ('accept', 'shed', _NO_SHED),
    ('accept', 'drain', _NO_DRAIN),
    ('spread', 'shed', _NO_SHED),
    ('notice leaving', 'shed', _NO_SHED),
    ('notice leaving', 'snapshot switch', _NO_SNAPSHOT),
    ('notice leaving', 'repartition', _NO_SNAPSHOT),
)

_STEPS: Final = (
    ('read', _READ),
    ('accept', _ACCEPT),
    ('spread', _SPREAD),
    ('notice leaving', _LEAVING),
)

CELLS: Final = (
    *((step, fault, test) for step, proofs in _STEPS for fault, test in proofs),
    *_NOT_APPLICABLE,
)

GUARDS: Final = (
    (
        '{0}store.py'.format(_CONFIGURATION),
        'document.revision <= entry.document.revision:',
        'document.revision == entry.document.revision:',
        _PAUSED,
        _in_sync('a_document_older_than_its_head_reverts_nothing'),
        _in_store('any_order_of_arrival_ends_with_the_newest_valid_document'),
    ),
    (
        '{0}offers.py'.format(_CONFIGURATION),
        'return published_documents.parse(document)',
        'return Success(published_documents.parse(document).value_or(None))',
        _INVALID_REFUSED,
        _in_sync('an_invalid_edit_between_two_valid_ones_is_never_in_force'),
    ),
    (
        '{0}startup_check.py'.format(_CONFIGURATION),
        'and len(self._answered) >= answers_wanted',
        '',
        _in_start('a_stale_service_alone_does_not_make_a_vm_ready'),
    ),
    (
        '{0}document_sync.py'.format(_CONFIGURATION),
        'pull.call if self._ready else UNSOLICITED',
        'pull.call',
        _in_start('documents_from_a_starting_vm_are_not_an_answer'),
    ),
    (
        '{0}read_schedule.py'.format(_CONFIGURATION),
        'return last.ended_ms + _CHECK_INTERVAL_MS * live_vms * last.factor',
        "return float('inf')",
        _in_sync('an_edit_spreads_while_no_vm_takes_itself_for_a_reader'),
    ),
    (
        '{0}read_schedule.py'.format(_CONFIGURATION),
        'return last.ended_ms + backoff_ms * last.factor',
        'return last.ended_ms',
        _in_bounds('failed_reads_are_spaced_out'),
    ),
    (
        '{0}read_schedule.py'.format(_CONFIGURATION),
        'if self.missing.finish_read(key, now_ms):',
        'if self.missing.finish_read(key, now_ms) and False:',
        _in_sync('a_document_in_the_heads_that_is_not_returned_is_read_again'),
    ),
    (
        '{0}document_sync.py'.format(_CONFIGURATION),
        'self._pulls.compare(vm, digest, now_ms)',
        '()',
        _in_sync('two_sides_of_a_partition_converge_on_the_newer_revision'),
        _in_sync('two_sides_with_different_new_documents_converge_on_both'),
    ),
    (
        '{0}pulls.py'.format(_CONFIGURATION),
        'self._full_pull_ms = now_ms',
        'return ()',
        _in_sync('two_sides_with_different_new_documents_converge_on_both'),
    ),
    (
        '{0}member_status.py'.format(_MEMBERSHIP),
        'if MemberState.LEAVING in {self.state, other.state}:',
        'if False:',
        _in_members('leaving_never_reverts_within_an_incarnation'),
    ),
    (
        '{0}member_status.py'.format(_MEMBERSHIP),
        'return self.incarnation > other.incarnation',
        'return True',
        _in_members('statuses_received_in_any_order_give_the_same_result'),
    ),
    (
        '{0}members.py'.format(_MEMBERSHIP),
        'self._gossip.leave()',
        'pass',
        _LEAVING_NOTICED,
        _in_members('duplicated_and_reordered_probes_change_no_state'),
    ),
    (
        '{0}members.py'.format(_MEMBERSHIP),
        'return self._suspect(expired.vm, now_ms)',
        'return ()',
        _in_members(
            'a_lost_vm_is_suspected_in_its_data_centre_within_two_seconds'
        ),
    ),
    (
        '{0}gossip.py'.format(_MEMBERSHIP),
        'if received.state is MemberState.SUSPECTED:\n            refutation',
        'if False:\n            refutation',
        _in_members('a_frozen_vm_is_alive_again_soon_after_it_wakes'),
    ),
    (
        '{0}gossip.py'.format(_MEMBERSHIP),
        'if known.state is MemberState.SUSPECTED:\n            rumours',
        'if False:\n            rumours',
        _in_members('an_isolated_data_centre_is_alive_again_after_healing'),
    ),
    (
        '{0}members.py'.format(_MEMBERSHIP),
        'for helper in helpers',
        'for helper in ()',
        _in_members('a_vm_that_others_can_reach_is_not_suspected'),
    ),
    (
        '{0}pending_probes.py'.format(_MEMBERSHIP),
        '_INDIRECT_TIMEOUT_MS: Final = 250',
        '_INDIRECT_TIMEOUT_MS: Final = 0',
        _in_members('no_vm_is_suspected_in_a_slow_network'),
    ),
)
