"""JSON bodies of the stand-in configuration service."""

import json
from typing import Any

from dandelionstage.configuration.commands import Heads
from dandelionstage.model.documents import Document

__all__ = ('as_json', 'show_document', 'show_heads')


def as_json(body: bytes) -> bytes:
    """Keep what is no JSON as a string, so that readers have to refuse it."""
    try:
        json.loads(body)
    except ValueError:
        return json.dumps(body.decode(errors='replace')).encode()
    return body


def show_heads(heads: Heads) -> dict[str, Any]:
    """Make the body that answers a watch."""
    listed = [
        {'key': key, 'revision': revision} for key, revision in heads.heads
    ]
    return {'revision': heads.revision, 'heads': listed}


def show_document(document: Document) -> dict[str, Any]:
    """Make the body that answers the read of a document."""
    body = None if document.is_tombstone else json.loads(document.body_json)
    return {
        'key': document.key,
        'revision': document.revision,
        'body': body,
    }
