"""What the spread of documents asks the tasks around it to do."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from ..model.ids import DocumentKey, Revision, VmId
from ..model.messages import Documents, Pull

__all__ = (
    'Command',
    'Heads',
    'PeerView',
    'PullFrom',
    'PushTo',
    'ReadDocument',
    'ReadHeads',
)

_Vms = Callable[[], tuple[VmId, ...]]


@final
@dataclass(frozen=True, slots=True)
class PeerView:
    """What the spread of documents needs to know of other VMs.

    :ivar near: other live VMs of the own data centre.
    :ivar far: live VMs of the other data centres.
    :ivar reads: whether this VM is one of its data centre's readers.
    """

    same_data_centre: _Vms
    other_data_centres: _Vms
    is_reader: Callable[[], bool]


@final
@dataclass(frozen=True, slots=True)
class Heads:
    """What the configuration service says has changed.

    :ivar revision: the service's own, to ask for later changes with.
    :ivar heads: the newest revision of each changed document.
    """

    revision: Revision
    heads: tuple[tuple[DocumentKey, Revision], ...]


@final
@dataclass(frozen=True, slots=True)
class ReadHeads:
    """Asks the service what has changed.

    :ivar since: only documents changed after this revision of the service.
    :ivar wait_ms: how long the service may wait for a change.
    """

    since: Revision
    wait_ms: int


@final
@dataclass(frozen=True, slots=True)
class ReadDocument:
    """Asks the service for one document."""

    key: DocumentKey


@final
@dataclass(frozen=True, slots=True)
class PushTo:
    """Sends documents to a VM."""

    vm: VmId
    documents: Documents


@final
@dataclass(frozen=True, slots=True)
class PullFrom:
    """Asks a VM for documents."""

    vm: VmId
    pull: Pull


Command = ReadHeads | ReadDocument | PushTo | PullFrom
