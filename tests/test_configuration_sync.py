"""Accepted documents are in force on all VMs in 2 s and never revert."""

from itertools import combinations

import pytest

from dandelionstage.model.ids import DocumentKey, VmId
from tests.configuration_fleet import (
    CUSTOMER,
    DATA_CENTRE,
    DOWN,
    FLEET_SIZES,
    KEY,
    OK,
    OLDER,
    STALE,
    MonitoredFleet,
)
from tools.virtual.documents import contract_json
from tools.virtual.service import SERVICE

#: Time within which a published document must be in force on all VMs.
_LIMIT_MS = 2000
#: Time given to the fleet to react to a fault.
_SETTLE_MS = 20_000
#: Each of five VMs checks the service at least this often.
_CHECKER_LIMIT_MS = 25_000


@pytest.fixture(params=range(2))
def fleet(request):
    return MonitoredFleet(request.param)


def _cut_from_service(fleet: MonitoredFleet, *vms: VmId) -> None:
    fleet.network.broken_pairs.update(frozenset((vm, SERVICE)) for vm in vms)


def _freeze_during_document_read(fleet: MonitoredFleet) -> VmId:
    counts = {vm: fleet.vms[vm].document_sync.counts for vm in fleet.readers()}
    reads = {vm: counts[vm].document_reads for vm in counts}
    while True:
        fleet.network.run(0.1)
        for vm in counts:
            if counts[vm].document_reads > reads[vm]:
                fleet.vms[vm].process.freeze()
                return vm


# Read.


def test_an_edit_is_in_force_within_the_limit(fleet):
    fleet.wait_until_held(fleet.edit(), _LIMIT_MS)


def test_an_edit_spreads_though_its_readers_are_killed(fleet):
    fleet.stop(fleet.readers())
    fleet.wait_until_held(fleet.edit(), _LIMIT_MS)


def test_an_edit_bypasses_frozen_readers_and_reaches_them_later(fleet):
    readers = [vm for vm in fleet.readers() if vm not in fleet.names_in('zdar')]
    for vm in readers:
        fleet.vms[vm].process.freeze()
    revision = fleet.edit()
    fleet.run(_LIMIT_MS)
    for vm, running in fleet.vms.items():
        held = running.store.held()[KEY] == revision
        assert held != (vm in readers)
    fleet.run(_SETTLE_MS)
    for vm in readers:
        fleet.vms[vm].process.wake()
    fleet.wait_until_held(revision, _LIMIT_MS)


def test_one_reader_that_reaches_the_service_is_enough(fleet):
    _cut_from_service(fleet, *list(fleet.vms)[1:])
    fleet.run(_SETTLE_MS)
    fleet.wait_until_held(fleet.edit(), _CHECKER_LIMIT_MS)


def test_a_watch_that_goes_silent_is_replaced(fleet):
    _cut_from_service(fleet, *fleet.vms)
    revision = fleet.edit()
    fleet.run(1000)
    fleet.network.broken_pairs.clear()
    fleet.wait_until_held(revision, _LIMIT_MS)


def test_an_edit_spreads_though_half_of_the_reads_get_no_answer(fleet):
    # A read takes two messages, so about half of the reads lose one.
    fleet.network.lost_fraction = 0.3
    fleet.wait_until_held(fleet.edit(), 4 * _LIMIT_MS)


def test_a_document_in_the_heads_that_is_not_returned_is_read_again(fleet):
    fleet.service.withheld.add(KEY)
    revision = fleet.edit()
    fleet.run(_SETTLE_MS)
    reads = fleet.service.reads
    fleet.run(10_000)
    assert (fleet.service.reads - reads) / 10 < 40
    fleet.service.withheld.clear()
    fleet.wait_until_held(revision, 4 * _LIMIT_MS)


def test_a_document_older_than_its_head_reverts_nothing(fleet):
    """The heads of the service are ahead of the documents it returns."""
    before = fleet.service.replicas[DATA_CENTRE].document(KEY)
    fleet.wait_until_held(fleet.edit(), _LIMIT_MS)
    fleet.service.lagging[KEY] = before
    revision = fleet.edit()
    fleet.run(_SETTLE_MS)
    fleet.service.lagging.clear()
    fleet.wait_until_held(revision, 4 * _LIMIT_MS)


# Accept.


def test_the_second_of_two_edits_is_in_force(fleet):
    fleet.edit(100)
    revision = fleet.edit(200)
    fleet.wait_until_held(revision, _LIMIT_MS)
    fleet.run(_LIMIT_MS)
    assert fleet.revisions(KEY) == {revision}


def test_a_withdrawal_after_an_edit_is_in_force(fleet):
    fleet.edit()
    fleet.run(20)
    revision = fleet.withdraw()
    fleet.wait_until_held(revision, _LIMIT_MS)
    for vm in fleet.vms.values():
        assert not vm.store.topology.contracts


def test_an_invalid_edit_between_two_valid_ones_is_never_in_force(fleet):
    fleet.edit(100)
    fleet.run(500)
    refused = fleet.edit(-1)
    fleet.run(500)
    assert refused not in fleet.revisions(KEY)
    for vm in fleet.vms.values():
        contracts = vm.store.topology.contracts
        assert contracts[CUSTOMER].p99_ms == 100
    fleet.wait_until_held(fleet.edit(300), _LIMIT_MS)
    assert sum(vm.document_sync.counts.invalid for vm in fleet.vms.values())


def test_an_invalid_edit_is_not_read_repeatedly(fleet):
    fleet.edit(-1)
    fleet.run(1000)
    reads = fleet.service.reads
    fleet.run(10_000)
    watches = 10 * len(fleet.readers()) / 1.5
    assert fleet.service.reads - reads < 1.3 * watches


# Push and pull between VMs.


def test_duplicated_and_reordered_messages_do_no_harm(fleet):
    fleet.network.doubled_fraction = 0.5
    fleet.network.longest_ms = 120
    for p99_ms in range(100, 105):
        revision = fleet.edit(p99_ms)
        fleet.run(100)
    fleet.wait_until_held(revision, _LIMIT_MS)
    fleet.run(_LIMIT_MS)
    assert fleet.revisions(KEY) == {revision}


def test_an_edit_spreads_though_a_fifth_of_messages_is_lost(fleet):
    fleet.network.lost_fraction = 0.2
    fleet.wait_until_held(fleet.edit(), 2 * _LIMIT_MS)


def test_an_edit_spreads_by_digests_in_probes_alone(fleet, monkeypatch):
    monkeypatch.setattr(
        'dandelionstage.configuration.document_sync.push_new',
        lambda *_args: (),
    )
    fleet.wait_until_held(fleet.edit(), _LIMIT_MS)


def test_a_slow_network_delays_an_edit_but_loses_nothing(fleet):
    fleet.network.longest_ms = 300
    fleet.wait_until_held(fleet.edit(), 2 * _LIMIT_MS)


def test_an_edit_reaches_peers_that_cannot_reach_each_other(fleet):
    """No two VMs of a data centre reach each other.

    Each takes itself for the only live VM, so each becomes a reader.
    """
    jihlava_vms = sorted(fleet.names_in(DATA_CENTRE))
    pairs = map(frozenset, combinations(jihlava_vms, 2))
    fleet.network.broken_pairs.update(pairs)
    fleet.run(_SETTLE_MS)
    assert set(jihlava_vms) <= set(fleet.readers())
    fleet.wait_until_held(fleet.edit(), _LIMIT_MS)


def test_an_edit_spreads_while_no_vm_takes_itself_for_a_reader(fleet):
    """Each VM takes other VMs for the readers of its data centre."""
    fleet.cut_off('jihlava', service=False)
    fleet.service.treat(DOWN, *list(FLEET_SIZES)[1:])
    for vm in fleet.readers():
        if vm in fleet.names_in(DATA_CENTRE):
            _cut_from_service(fleet, vm)
    fleet.run(_SETTLE_MS)
    fleet.cut_off()
    fleet.wait_until_held(fleet.edit(), _CHECKER_LIMIT_MS)


def test_an_edit_reaches_a_data_centre_cut_off_from_the_service(fleet):
    _cut_from_service(fleet, *fleet.names_in('jihlava'))
    fleet.run(_SETTLE_MS)
    fleet.wait_until_held(fleet.edit(), _LIMIT_MS)


def test_two_sides_of_a_partition_converge_on_the_newer_revision(fleet):
    fleet.cut_off('jihlava', service=False)
    fleet.service.treat(STALE, DATA_CENTRE)
    revision = fleet.edit(200)
    fleet.run(_SETTLE_MS)
    assert len(fleet.revisions(KEY)) == 2
    fleet.cut_off()
    fleet.wait_until_held(revision, 2 * _LIMIT_MS)


def test_two_sides_with_different_new_documents_converge_on_both(fleet):
    """A split service gives each side a different document of one revision."""
    other = DocumentKey('contract/ringers')
    fleet.cut_off('jihlava', service=False)
    for place, replica in fleet.service.replicas.items():
        key = KEY if place == DATA_CENTRE else other
        replica.write(key, contract_json(key.partition('/')[2]))
    fleet.run(4000)
    fleet.cut_off()
    _cut_from_service(fleet, *fleet.vms)
    revision = fleet.service.replicas[DATA_CENTRE].revision
    fleet.wait_until_held(revision, 2 * _LIMIT_MS)
    fleet.run(_LIMIT_MS)
    assert fleet.revisions(other) == {revision}


def test_a_document_read_before_a_pause_reverts_no_vm(fleet):
    """A reader freezes while a read is pending and receives it on waking."""
    fleet.edit(200)
    frozen = _freeze_during_document_read(fleet)
    fleet.run(5)
    revision = fleet.edit(300)
    fleet.run(_SETTLE_MS)
    fleet.vms[frozen].process.wake()
    fleet.run(_LIMIT_MS)
    assert fleet.revisions(KEY) == {revision}


# Service down or stale.


def test_an_edit_made_while_the_service_is_down_is_in_force_soon_after(fleet):
    fleet.service.treat(DOWN)
    revision = fleet.edit()
    fleet.run(_SETTLE_MS)
    assert revision not in fleet.revisions(KEY)
    fleet.service.treat(OK)
    fleet.wait_until_held(revision, _LIMIT_MS)


@pytest.mark.parametrize('mode', [DOWN, STALE, OLDER])
def test_vms_restarted_one_by_one_without_a_current_service_serve(fleet, mode):
    revision = fleet.edit()
    fleet.wait_until_held(revision, _LIMIT_MS)
    fleet.service.treat(mode, visible=1)
    for vm in fleet.published:
        fleet.start([vm], incarnation=2)
        fleet.run(4000)
        assert fleet.all_ready()
    assert fleet.revisions(KEY) == {revision}


def test_one_serving_vm_is_enough_for_all_others_that_restart(fleet):
    revision = fleet.edit()
    fleet.wait_until_held(revision, _LIMIT_MS)
    fleet.service.treat(OLDER, visible=5)
    names = sorted(fleet.published)
    fleet.start(names[1:], incarnation=2)
    fleet.run(6000)
    assert fleet.all_ready()
    assert fleet.revisions(KEY) == {revision}


def test_a_service_restored_to_an_older_state_reverts_nothing(fleet):
    revision = fleet.edit()
    fleet.wait_until_held(revision, _LIMIT_MS)
    fleet.service.treat(DOWN)
    fleet.run(5000)
    fleet.service.treat(OLDER, visible=1)
    fleet.run(_SETTLE_MS)
    assert fleet.revisions(KEY) == {revision}
    fleet.service.treat(OK)
    fleet.wait_until_held(fleet.edit(), _LIMIT_MS)


def test_stale_readers_in_one_data_centre_do_not_delay_an_edit(fleet):
    fleet.service.treat(STALE, DATA_CENTRE)
    fleet.wait_until_held(fleet.edit(), _LIMIT_MS)
    fleet.run(_SETTLE_MS)


def test_a_withdrawn_document_stays_withdrawn(fleet):
    fleet.withdraw()
    fleet.run(_LIMIT_MS)
    fleet.service.treat(OLDER, visible=5)
    fleet.start([VmId('jihlava-0')], incarnation=2)
    fleet.run(_SETTLE_MS)
    for vm in fleet.vms.values():
        assert not vm.store.topology.contracts


# Isolated data centres.


@pytest.mark.parametrize('data_centre', FLEET_SIZES)
def test_an_isolated_data_centre_keeps_serving_and_converges(
    fleet,
    data_centre,
):
    fleet.cut_off(data_centre)
    revision = fleet.edit(200)
    fleet.run(20_000)
    inside = sorted(fleet.names_in(data_centre))
    fleet.start(inside[:1], incarnation=2)
    fleet.run(5000)
    assert fleet.all_ready()
    assert len(fleet.revisions(KEY)) == 2
    fleet.cut_off()
    fleet.wait_until_held(revision, 2 * _LIMIT_MS)


def test_all_data_centres_isolated_keep_serving_and_converge(fleet):
    fleet.cut_off(*FLEET_SIZES)
    revision = fleet.edit(200)
    fleet.run(20_000)
    assert fleet.all_ready()
    fleet.cut_off()
    fleet.wait_until_held(revision, 2 * _LIMIT_MS)
