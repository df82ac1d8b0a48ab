"""Sends new documents to a few other VMs, and missing ones on request."""

import random
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from ..model.documents import Document
from ..model.ids import CallId, VmId
from ..model.messages import Documents
from .commands import PeerView, PushTo

__all__ = ('UNSOLICITED', 'answer_pull', 'push_new')

#: Number of VMs that a new document is pushed to.
_SAME_DATA_CENTRE_PUSHES: Final = 1
_OTHER_DATA_CENTRES_PUSHES: Final = 1

#: Larger documents are only pulled, so that each VM receives one copy.
_MAX_PUSH_BYTES: Final = 16_384

#: Maximum size of a message with several documents.
_MAX_MESSAGE_BYTES: Final = 1_048_576

#: The call id of a message that answers no request.
UNSOLICITED: Final = CallId('')


def push_new(
    documents: Sequence[Document],
    source: VmId | None,
    peers: PeerView,
    random_source: random.Random,
) -> tuple[PushTo, ...]:
    """Push new documents to a few VMs chosen at random.

    Each VM pushes each document it accepts once, so that the cost per VM is
    constant (rumour mongering, Demers and others 1987).

    :param source: the VM that sent the documents; it is not chosen.
    """
    size_bytes = sum(len(document.body_json) for document in documents)
    if not documents or size_bytes > _MAX_PUSH_BYTES:
        return ()
    chosen = [
        *_choose(
            peers.same_data_centre(),
            _SAME_DATA_CENTRE_PUSHES,
            source,
            random_source,
        ),
        *_choose(
            peers.other_data_centres(),
            _OTHER_DATA_CENTRES_PUSHES,
            source,
            random_source,
        ),
    ]
    message = Documents(UNSOLICITED, tuple(documents))
    return tuple(PushTo(vm, message) for vm in chosen)


def answer_pull(
    vm: VmId,
    call: CallId,
    documents: Iterable[Document],
) -> tuple[PushTo, ...]:
    """Answer a request for documents in messages of bounded size.

    An answer without documents tells the peer that it has all of them.
    """
    messages = tuple(_split(documents)) or ((),)
    return tuple(PushTo(vm, Documents(call, message)) for message in messages)


def _choose(
    vms: Sequence[VmId],
    number: int,
    source: VmId | None,
    random_source: random.Random,
) -> list[VmId]:
    candidates = [vm for vm in vms if vm != source]
    return random_source.sample(candidates, min(number, len(candidates)))


def _split(documents: Iterable[Document]) -> Iterator[tuple[Document, ...]]:
    batch: list[Document] = []
    size_bytes = 0
    for document in documents:
        size_bytes += len(document.body_json)
        if batch and size_bytes > _MAX_MESSAGE_BYTES:
            yield tuple(batch)
            batch = []
            size_bytes = len(document.body_json)
        batch.append(document)
    if batch:
        yield tuple(batch)
