"""Tickets: unforgeable, they name who may start an action, and until when."""

import hashlib
import hmac
import json
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import astuple, dataclass
from random import Random
from typing import Final, final

from pydantic import TypeAdapter, ValidationError

from ..model.ids import ActionId, CustomerId, Incarnation, TicketId, VmId

__all__ = ('TicketClaims', 'is_signed', 'new_nonce', 'read_claims', 'sign')

_NONCE_BITS: Final = 128
_MAX_TICKET_LENGTH: Final = 512
_SEPARATOR: Final = '.'


@final
@dataclass(frozen=True, slots=True)
class TicketClaims:
    """What a ticket says.

    :ivar vm: the daemon that minted it.
    :ivar incarnation: of that daemon; no other may start the action.
    :ivar expires_ms: on that daemon's monotonic clock, no other's.
    :ivar nonce: makes the ticket unlike any other of that incarnation.
    """

    vm: VmId
    incarnation: Incarnation
    customer: CustomerId
    expires_ms: float
    nonce: str

    @property
    def action_id(self) -> ActionId:
        """Names the action at backend servers, the same in every attempt."""
        return ActionId(
            '{0}-{1}-{2}'.format(self.vm, self.incarnation, self.nonce),
        )


_CLAIMS: Final = TypeAdapter(tuple[VmId, Incarnation, CustomerId, float, str])


def new_nonce(random: Random) -> str:
    """Draw a nonce.

    :param random: one that cannot be guessed, outside of tests.
    """
    return '{0:032x}'.format(random.getrandbits(_NONCE_BITS))


def sign(claims: TicketClaims, secret: bytes) -> TicketId:
    """Sign claims with a secret that no other process knows.

    The signature is HMAC-SHA-256 (RFC 2104, FIPS 198-1).
    """
    payload = urlsafe_b64encode(json.dumps(astuple(claims)).encode())
    return TicketId(
        _SEPARATOR.join((payload.decode(), _signature(payload, secret))),
    )


def read_claims(ticket: TicketId) -> TicketClaims | None:
    """Read a ticket's claims without verifying them, to forward it.

    :returns: ``None`` if the ticket has not the shape of one.
    """
    if len(ticket) > _MAX_TICKET_LENGTH:
        return None
    payload = ticket.partition(_SEPARATOR)[0]
    try:
        fields = _CLAIMS.validate_json(urlsafe_b64decode(payload))
    except (ValidationError, ValueError):
        return None
    return TicketClaims(*fields)


def is_signed(ticket: TicketId, secret: bytes) -> bool:
    """Say whether a ticket was signed with this secret."""
    payload, _, signature = ticket.partition(_SEPARATOR)
    expected = _signature(payload.encode(), secret)
    return hmac.compare_digest(signature.encode(), expected.encode())


def _signature(payload: bytes, secret: bytes) -> str:
    return hmac.new(secret, payload, hashlib.sha256).hexdigest()
