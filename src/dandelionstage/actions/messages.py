"""Results of ticket tables and commands of action executions."""

from dataclasses import dataclass
from typing import final

from ..model.ids import ActionId, VmId
from ..model.messages import ActionCall, ActionOutcome, SubRequest
from ..model.verdict import Verdict

__all__ = (
    'ActionCommand',
    'AlreadyEnded',
    'BeginResult',
    'FinishAction',
    'Refuse',
    'SendAction',
    'Start',
    'Wait',
)


@final
@dataclass(frozen=True, slots=True)
class Start:
    """Result for the one call that must start the action now.

    :ivar action_id: identifies the action at backend servers.
    :ivar call: the call that starts the action.
    :ivar expires_ms: expiry of the ticket on the monotonic clock; nothing
        is sent from then on.
    """

    action_id: ActionId
    call: ActionCall
    expires_ms: float


@final
@dataclass(frozen=True, slots=True)
class Wait:
    """Result for a call that waits for the outcome of a running action."""


@final
@dataclass(frozen=True, slots=True)
class AlreadyEnded:
    """Result for a call whose action has ended, with the outcome."""

    outcome: ActionOutcome


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """Result for a call that starts nothing, with the reason."""

    verdict: Verdict


BeginResult = Start | Wait | AlreadyEnded | Refuse


@final
@dataclass(frozen=True, slots=True)
class SendAction:
    """Command to send an attempt at an action to an owner."""

    vm: VmId
    sub_request: SubRequest


@final
@dataclass(frozen=True, slots=True)
class FinishAction:
    """Command to record the outcome of an action.

    A second command follows if a late reply makes an uncertain outcome
    certain.
    """

    action_id: ActionId
    outcome: ActionOutcome


ActionCommand = SendAction | FinishAction
