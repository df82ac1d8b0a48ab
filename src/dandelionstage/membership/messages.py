"""Typed messages of the membership protocol."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import final

from ..model.ids import DataCentreId, Incarnation, VmId
from ..model.messages import Digest

__all__ = (
    'Identity',
    'MemberState',
    'Probe',
    'ProbeKind',
    'Rumour',
    'SendProbe',
)


@unique
class MemberState(Enum):
    """The state of one VM; the value is sent on the wire.

    VMs are also chosen in the order of the values, lowest first.
    """

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2


@unique
class ProbeKind(Enum):
    """The kind of a datagram of the protocol."""

    PING = 0
    ACK = 1
    #: Asks the receiver to probe the target and to forward its answer.
    PING_REQUEST = 2


@final
@dataclass(frozen=True, slots=True)
class Identity:
    """The name of a VM, the incarnation of its process and its data centre."""

    vm: VmId
    incarnation: Incarnation
    data_centre: DataCentreId


@final
@dataclass(frozen=True, slots=True)
class Rumour:
    """The status of a VM as another VM reports it.

    :ivar refutation: number of suspicions this incarnation has refuted.
    """

    vm: VmId
    incarnation: Incarnation
    state: MemberState
    refutation: int = 0


@final
@dataclass(frozen=True, slots=True)
class Probe:
    """One datagram of the protocol.

    :ivar token: identifies the probe that an answer belongs to.
    :ivar target: the VM to probe, in a ping request and in its answer.
    :ivar digest: digest of the documents that the sender holds.
    """

    kind: ProbeKind
    token: int
    sender: VmId
    incarnation: Incarnation
    target: VmId | None
    rumours: tuple[Rumour, ...]
    digest: Digest


@final
@dataclass(frozen=True, slots=True)
class SendProbe:
    """Command to the socket task to send a datagram to a VM."""

    vm: VmId
    probe: Probe
