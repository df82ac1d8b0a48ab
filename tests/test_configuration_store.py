"""A document in force is replaced only by a newer valid one."""

import json

from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.configuration.offers import OfferOutcome
from dandelionstage.configuration.store import DocumentStore
from dandelionstage.model.documents import Document
from dandelionstage.model.ids import DocumentKey, Revision

_KEY = DocumentKey('vms/burgas-c')
_INVALID = b'{"data_centre": "burgas-c"}'


def vms_document(
    revision: int,
    vms: tuple[str, ...] = ('vm-1',),
    data_centre: str = 'burgas-c',
) -> Document:
    """Return a document with a list of VMs."""
    body = {
        'data_centre': data_centre,
        'vms': [
            {'vm': vm, 'host': '127.0.0.1', 'inner_port': 7000} for vm in vms
        ],
    }
    return Document(
        DocumentKey('vms/{0}'.format(data_centre)),
        Revision(revision),
        json.dumps(body).encode(),
    )


def _make(revision: int, kind: str) -> Document:
    if kind == 'valid':
        return vms_document(revision, ('vm-{0}'.format(revision),))
    body = _INVALID if kind == 'invalid' else b''
    return Document(_KEY, Revision(revision), body)


_KINDS = st.sampled_from(('valid', 'invalid', 'tombstone'))
_HISTORIES = st.lists(_KINDS, min_size=1, max_size=8)


@given(_HISTORIES, st.randoms(use_true_random=False))
def test_any_order_of_arrival_ends_with_the_newest_valid_document(
    kinds, random
):
    history = [_make(number, kind) for number, kind in enumerate(kinds)]
    arrivals = history * 2
    random.shuffle(arrivals)
    store = DocumentStore()
    highest = -1
    for document in arrivals:
        store.offer(document)
        held = store.held().get(_KEY, -1)
        assert held >= highest
        highest = held
    valid = [number for number, kind in enumerate(kinds) if kind != 'invalid']
    assert list(store.held().values()) == valid[-1:]
    in_order = DocumentStore()
    for document in history:
        in_order.offer(document)
    assert store.digest() == in_order.digest()
    assert store.topology == in_order.topology


def test_an_invalid_document_between_two_valid_ones_changes_nothing():
    store = DocumentStore()
    store.offer(_make(1, 'valid'))
    topology = store.topology
    offer = store.offer(_make(2, 'invalid'))
    assert offer.outcome is OfferOutcome.INVALID
    assert offer.faults[0].path == 'vms'
    assert store.topology is topology
    assert store.refusals.contains(_KEY, Revision(2))
    assert store.offer(_make(3, 'valid')).outcome is OfferOutcome.ACCEPTED
    assert not store.refusals.as_mapping()
    assert 'vm-3' in store.topology.vms


def test_a_tombstone_keeps_its_revision():
    store = DocumentStore()
    store.offer(_make(1, 'valid'))
    store.offer(_make(2, 'tombstone'))
    assert store.offer(_make(1, 'valid')).outcome is OfferOutcome.STALE
    assert not store.topology.vms
    missing = store.newer_than({_KEY: Revision(1)})
    assert missing == (_make(2, 'tombstone'),)
    assert not store.newer_than(store.held())


def test_another_body_at_the_same_revision_is_refused():
    store = DocumentStore()
    store.offer(vms_document(1, ('vm-1',)))
    offer = store.offer(vms_document(1, ('vm-2',)))
    assert offer.outcome is OfferOutcome.INVALID
    assert 'vm-1' in store.topology.vms


def test_a_moved_vm_is_placed_by_the_later_revision():
    store = DocumentStore()
    store.offer(vms_document(2, ('vm-1',), 'plovdiv-a'))
    store.offer(vms_document(1, ('vm-1',), 'plovdiv-b'))
    assert dict(store.topology.vm_lists) == {'plovdiv-a': ('vm-1',)}
