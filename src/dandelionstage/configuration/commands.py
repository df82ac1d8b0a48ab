"""Commands of the document sync to the tasks that do its input and output."""

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

#: Returns the current VMs.
_ListVms = Callable[[], tuple[VmId, ...]]


@final
@dataclass(frozen=True, slots=True)
class PeerView:
    """The other VMs as the document sync sees them.

    :ivar same_data_centre: returns the other live VMs of this VM's data
        centre.
    :ivar other_data_centres: returns the live VMs of the other data centres.
    :ivar is_reader: returns whether this VM is one of the readers of its data
        centre.
    """

    same_data_centre: _ListVms
    other_data_centres: _ListVms
    is_reader: Callable[[], bool]


@final
@dataclass(frozen=True, slots=True)
class Heads:
    """The documents that changed in the configuration service.

    :ivar revision: the service's own revision, from which the next request
        for changes starts.
    :ivar heads: the newest revision of each changed document.
    """

    revision: Revision
    heads: tuple[tuple[DocumentKey, Revision], ...]


@final
@dataclass(frozen=True, slots=True)
class ReadHeads:
    """Requests the heads of changed documents from the service.

    :ivar since: only documents changed after this revision of the service.
    :ivar wait_ms: how long the service may wait for a change.
    """

    since: Revision
    wait_ms: int


@final
@dataclass(frozen=True, slots=True)
class ReadDocument:
    """Requests one document from the service."""

    key: DocumentKey


@final
@dataclass(frozen=True, slots=True)
class PushTo:
    """Sends documents to another VM."""

    vm: VmId
    documents: Documents


@final
@dataclass(frozen=True, slots=True)
class PullFrom:
    """Requests documents from another VM."""

    vm: VmId
    pull: Pull


Command = ReadHeads | ReadDocument | PushTo | PullFrom
