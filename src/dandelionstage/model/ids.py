"""Identifier types, kept apart by the type checker."""

from typing import NewType

__all__ = (
    'ActionId',
    'BackendId',
    'CallId',
    'CustomerId',
    'DataCentreId',
    'DocumentKey',
    'Incarnation',
    'RecordId',
    'RequestId',
    'Revision',
    'ShardId',
    'SnapshotId',
    'TicketId',
    'VmId',
    'WorkloadId',
)

CustomerId = NewType('CustomerId', str)
WorkloadId = NewType('WorkloadId', str)
ShardId = NewType('ShardId', str)
SnapshotId = NewType('SnapshotId', str)
RecordId = NewType('RecordId', str)
DataCentreId = NewType('DataCentreId', str)
#: Id of one daemon. If a VM runs several daemons, each has its own id, such as
#: ``vm-3.1``.
VmId = NewType('VmId', str)
BackendId = NewType('BackendId', str)
#: Start time of a daemon process, in ms since 1970; higher after each restart.
Incarnation = NewType('Incarnation', int)
#: Revision of one document; it only increases.
Revision = NewType('Revision', int)
DocumentKey = NewType('DocumentKey', str)
#: Id of one attempt or other request to another VM or a backend server.
CallId = NewType('CallId', str)
#: Id of a caller's request, passed to every hop and written to log lines.
RequestId = NewType('RequestId', str)
TicketId = NewType('TicketId', str)
ActionId = NewType('ActionId', str)
