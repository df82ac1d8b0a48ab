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
    """What is believed of one VM; the value travels on the wire."""

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2


@unique
class ProbeKind(Enum):
    """What a datagram of the protocol asks or answers."""

    PING = 0
    ACK = 1
    #: Asks the receiver to probe the target and to pass on its answer.
    PING_REQUEST = 2


@final
@dataclass(frozen=True, slots=True)
class Identity:
    """Who a VM is: its name, this start of its process and its place."""

    vm: VmId
    incarnation: Incarnation
    data_centre: DataCentreId


@final
@dataclass(frozen=True, slots=True)
class Rumour:
    """What one VM has heard of another.

    :ivar refutation: how often this incarnation has refuted a suspicion.
    """

    vm: VmId
    incarnation: Incarnation
    state: MemberState
    refutation: int = 0


@final
@dataclass(frozen=True, slots=True)
class Probe:
    """One datagram.

    :ivar token: pairs an answer with what it answers.
    :ivar target: whom a ping request is about, and in its answer too.
    :ivar digest: of the documents that the sender holds.
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
    """Asks the task that owns the socket to send a datagram to a VM."""

    vm: VmId
    probe: Probe
