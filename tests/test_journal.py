"""The journal logs each revision of a document once."""

import io
import json

import pytest

from dandelionstage.configuration.store import DocumentStore
from dandelionstage.daemon.journal import Journal
from dandelionstage.model.documents import Document
from dandelionstage.operations.logs import configure_logs

VALID = b'{"data_centre": "zdar", "vms": []}'


@pytest.fixture
def stream():
    output = io.StringIO()
    configure_logs('info', as_json=True, stream=output)
    yield output
    configure_logs('info')


def test_each_revision_is_logged_once(stream):
    store = DocumentStore()
    journal = Journal(store)
    for revision, body in ((1, VALID), (2, b'{}'), (3, b'{"vms": 1}')):
        store.offer(Document('vms/zdar', revision, body))
        journal.look()
        journal.look()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [(line['message'], line['revision']) for line in lines] == [
        ('document in force', 1),
        ('document refused', 2),
        ('document refused', 3),
    ]
    assert 'data_centre' in lines[1]['faults']
