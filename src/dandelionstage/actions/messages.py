"""What goes into the action tables and executions, and what comes out."""

from dataclasses import dataclass
from typing import final

from ..model.ids import ActionId, VmId
from ..model.messages import ActionCall, ActionOutcome, SubRequest
from ..model.verdict import Verdict

__all__ = (
    'ActionCommand',
    'Begin',
    'FinishAction',
    'AlreadyEnded',
    'Refuse',
    'SendAction',
    'Start',
    'Wait',
)


@final
@dataclass(frozen=True, slots=True)
class Start:
    """The call may start the action, now and once.

    :ivar action_id: names the action at backend servers.
    :ivar expires_ms: of the ticket; nothing is sent from then on.
    """

    action_id: ActionId
    call: ActionCall
    expires_ms: float


@final
@dataclass(frozen=True, slots=True)
class Wait:
    """The action is running; its outcome will come for this call too."""


@final
@dataclass(frozen=True, slots=True)
class AlreadyEnded:
    """The action has ended; this is its outcome for this call."""

    outcome: ActionOutcome


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """The call starts nothing."""

    verdict: Verdict


Begin = Start | Wait | AlreadyEnded | Refuse


@final
@dataclass(frozen=True, slots=True)
class SendAction:
    """Asks for an attempt at an action to be sent to an owner."""

    vm: VmId
    sub_request: SubRequest


@final
@dataclass(frozen=True, slots=True)
class FinishAction:
    """The action has ended; a late reply may still make it certain."""

    action_id: ActionId
    outcome: ActionOutcome


ActionCommand = SendAction | FinishAction
