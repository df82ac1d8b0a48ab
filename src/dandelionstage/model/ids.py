"""Identifiers, each a distinct type for the type checker."""

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
#: One daemon; a VM that runs several names each, as in ``vm-3.1``.
VmId = NewType('VmId', str)
BackendId = NewType('BackendId', str)
#: Higher after every start of the same process (milliseconds since 1970).
Incarnation = NewType('Incarnation', int)
#: Orders the contents of one document; only ever grows.
Revision = NewType('Revision', int)
DocumentKey = NewType('DocumentKey', str)
#: One attempt on one inner or backend connection.
CallId = NewType('CallId', str)
#: One caller's request, carried through every hop and log line.
RequestId = NewType('RequestId', str)
TicketId = NewType('TicketId', str)
ActionId = NewType('ActionId', str)
