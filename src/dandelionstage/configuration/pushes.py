"""Documents sent to other VMs: new ones to a few, missing ones on request."""

import random
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from ..model.documents import Document
from ..model.ids import CallId, VmId
from ..model.messages import Documents
from .commands import PeerView, PushTo

__all__ = ('NOT_ASKED_FOR', 'pass_on', 'send_all')

#: VMs of the own data centre, and of others, that a new document is sent to.
_NEAR_PUSHES: Final = 1
_FAR_PUSHES: Final = 1

#: Larger documents are left to be pulled, so that each VM gets one copy.
_MAX_PUSH_BYTES: Final = 16_384

#: A message carries at least one document and no more bytes than this.
_MAX_MESSAGE_BYTES: Final = 1_048_576

#: The call of a message that answers no request.
NOT_ASKED_FOR: Final = CallId('')


def pass_on(
    documents: Sequence[Document],
    source: VmId | None,
    peers: PeerView,
    random_source: random.Random,
) -> tuple[PushTo, ...]:
    """Send new documents to a few VMs chosen at random.

    Each VM does so once with each document it takes, so that the cost per
    VM is constant (rumour mongering, Demers and others 1987).

    :param source: the VM that sent them, which is left out.
    """
    size_bytes = sum(len(document.body_json) for document in documents)
    if not documents or size_bytes > _MAX_PUSH_BYTES:
        return ()
    chosen = [
        *_choose(peers.same_data_centre(), _NEAR_PUSHES, source, random_source),
        *_choose(
            peers.other_data_centres(), _FAR_PUSHES, source, random_source
        ),
    ]
    message = Documents(NOT_ASKED_FOR, tuple(documents))
    return tuple(PushTo(vm, message) for vm in chosen)


def send_all(
    vm: VmId,
    call: CallId,
    documents: Iterable[Document],
) -> tuple[PushTo, ...]:
    """Answer a request for documents, in messages of bounded size.

    There is always an answer, so that the peer knows that it lacks nothing.
    """
    messages = tuple(_split(documents)) or ((),)
    return tuple(PushTo(vm, Documents(call, message)) for message in messages)


def _choose(
    vms: Sequence[VmId],
    number: int,
    source: VmId | None,
    random_source: random.Random,
) -> list[VmId]:
    fit = [vm for vm in vms if vm != source]
    return random_source.sample(fit, min(number, len(fit)))


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
