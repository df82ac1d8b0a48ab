"""Lookup of the process that minted a ticket, and related refusals."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, final

from ..model.ids import Incarnation, TicketId, VmId
from ..model.verdict import Reason, Run, Verdict, not_run
from .messages import Refuse
from .ticket import read_claims

__all__ = (
    'Forward',
    'check_idempotency_key',
    'locate_minter',
    'minter_unreachable',
)

_MINTER_GONE: Final = Verdict(
    Run.MAY_HAVE_RUN,
    Reason.MINTER_GONE,
    detail='the process that minted the ticket is gone',
)


@final
@dataclass(frozen=True, slots=True)
class Forward:
    """Result for a call to forward to the VM that minted its ticket.

    :ivar vm: the minting VM, which may be this one.
    """

    vm: VmId


def locate_minter(
    ticket: TicketId,
    incarnation_of: Callable[[VmId], Incarnation | None],
) -> Forward | Refuse:
    """Return the VM that minted a ticket, or a refusal.

    Only the minting process knows whether an earlier call ran, so the
    refusal is "may have run" if that process is unknown or gone.

    :param incarnation_of: returns the highest known incarnation of a VM,
        ``None`` if the VM is unknown.
    """
    claims = read_claims(ticket)
    if claims is None:
        return Refuse(not_run(Reason.UNKNOWN_TICKET, 'not a ticket'))
    known = incarnation_of(claims.vm)
    if known is None or known > claims.incarnation:
        return Refuse(_MINTER_GONE)
    return Forward(claims.vm)


def minter_unreachable() -> Verdict:
    """Return the verdict on a call that could not reach the minter.

    The verdict is "may have run" even if nothing of the call was sent, as
    an earlier call may have reached the minter through another VM.
    """
    return Verdict(
        Run.MAY_HAVE_RUN,
        Reason.PEER_UNREACHABLE,
        detail='the process that minted the ticket cannot be reached',
    )


def check_idempotency_key(has_ticket: bool, has_key: bool) -> Verdict | None:
    """Return the refusal of a caller's own key without a ticket.

    No process records which keys were used before, so such a key cannot
    prevent that an action runs twice.
    """
    if has_ticket or not has_key:
        return None
    return not_run(
        Reason.KEY_WITHOUT_TICKET,
        'no process can vouch for a key of your own; get a ticket first',
    )
