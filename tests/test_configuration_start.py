"""A starting VM waits for its peers and the service before it is ready."""

import random

import pytest

from dandelionstage.configuration.commands import (
    Heads,
    PeerView,
    PullFrom,
    PushTo,
    ReadDocument,
)
from dandelionstage.configuration.document_sync import DocumentSync
from dandelionstage.configuration.store import DocumentStore
from dandelionstage.model.documents import Document
from dandelionstage.model.ids import CallId, DocumentKey, Revision, VmId
from dandelionstage.model.messages import Documents, Pull
from tools.virtual.documents import contract_json

_KEY = DocumentKey('contract/finders')
_PEERS = (VmId('vm-2'), VmId('vm-3'))
_OLD = Document(_KEY, Revision(1), contract_json('finders'))
_NEW = Document(_KEY, Revision(2), contract_json('finders', 200))
_HEADS = Heads(Revision(1), ((_KEY, Revision(1)),))


@pytest.fixture
def document_sync():
    view = PeerView(lambda: _PEERS, tuple, lambda: True)
    return DocumentSync(DocumentStore(), view, random.Random(0))


def _read_service(document_sync: DocumentSync, now_ms: float) -> None:
    document_sync.finish_heads(_HEADS, now_ms)
    assert ReadDocument(_KEY) in document_sync.tick(now_ms)
    document_sync.finish_document(_KEY, _OLD, now_ms)


def test_a_starting_vm_asks_its_peers_for_all_documents(document_sync):
    asked = document_sync.tick(0)
    pulls = [command for command in asked if isinstance(command, PullFrom)]
    assert {pull.vm for pull in pulls} == set(_PEERS)


def test_a_stale_service_alone_does_not_make_a_vm_ready(document_sync):
    document_sync.tick(0)
    _read_service(document_sync, 400)
    assert not document_sync.ready(500)
    document_sync.receive_documents(_PEERS[0], Documents(CallId('a'), (_NEW,)))
    assert not document_sync.ready(600)
    document_sync.receive_documents(_PEERS[1], Documents(CallId('b'), ()))
    assert document_sync.ready(700)


def test_peers_alone_make_a_vm_ready_after_a_failed_read(document_sync):
    document_sync.tick(0)
    for vm in _PEERS:
        document_sync.receive_documents(vm, Documents(CallId('a'), (_OLD,)))
    assert not document_sync.ready(400)
    document_sync.finish_heads(None, 500)
    assert document_sync.ready(500)


def test_the_service_alone_makes_a_vm_ready_after_the_time_out(document_sync):
    document_sync.tick(0)
    _read_service(document_sync, 400)
    assert not document_sync.ready(2900)
    assert document_sync.ready(3000)


def test_a_vm_waits_for_a_document_in_the_heads(document_sync):
    document_sync.tick(0)
    for vm in _PEERS:
        document_sync.receive_documents(vm, Documents(CallId('a'), (_OLD,)))
    document_sync.finish_heads(Heads(Revision(2), ((_KEY, Revision(2)),)), 10)
    assert not document_sync.ready(500)
    document_sync.finish_document(_KEY, _NEW, 600)
    assert document_sync.ready(700)


def test_a_vm_without_documents_is_never_ready(document_sync):
    document_sync.tick(0)
    document_sync.finish_heads(None, 10)
    assert not document_sync.ready(60_000)


def test_documents_from_a_starting_vm_are_not_an_answer(document_sync):
    pull = Pull(CallId('a'), {})
    document_sync.tick(0)
    _read_service(document_sync, 400)
    pushes = document_sync.receive_pull(_PEERS[0], pull)
    assert pushes == (PushTo(_PEERS[0], Documents(CallId(''), (_OLD,))),)
    assert document_sync.ready(3000)
    pushes = document_sync.receive_pull(_PEERS[0], pull)
    assert pushes == (PushTo(_PEERS[0], Documents(CallId('a'), (_OLD,))),)


def test_pushed_documents_are_not_an_answer(document_sync):
    document_sync.tick(0)
    _read_service(document_sync, 400)
    for vm in _PEERS:
        document_sync.receive_documents(vm, Documents(CallId(''), (_OLD,)))
    assert not document_sync.ready(500)
