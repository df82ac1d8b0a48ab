"""Signed tickets that allow one process to start an action."""

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
    """Content of a ticket.

    :ivar vm: the VM whose daemon minted the ticket.
    :ivar incarnation: the daemon's incarnation; no other one may start the
        action.
    :ivar customer: the customer that may use the ticket.
    :ivar expires_ms: expiry on that daemon's monotonic clock, which cannot
        be compared with another one's.
    :ivar nonce: distinguishes the tickets of one incarnation.
    """

    vm: VmId
    incarnation: Incarnation
    customer: CustomerId
    expires_ms: float
    nonce: str

    @property
    def action_id(self) -> ActionId:
        """Id of the action at backend servers, the same for all attempts."""
        return ActionId(
            '{0}-{1}-{2}'.format(self.vm, self.incarnation, self.nonce),
        )


_CLAIMS: Final = TypeAdapter(tuple[VmId, Incarnation, CustomerId, float, str])


def new_nonce(random: Random) -> str:
    """Generate a nonce.

    :param random: has to be cryptographically secure outside of tests.
    """
    return '{0:032x}'.format(random.getrandbits(_NONCE_BITS))


def sign(claims: TicketClaims, secret: bytes) -> TicketId:
    """Return the ticket: the encoded claims and their signature.

    The signature is HMAC-SHA-256 (RFC 2104, FIPS 198-1).

    :param secret: known to no other process.
    """
    payload = urlsafe_b64encode(json.dumps(astuple(claims)).encode())
    return TicketId(
        _SEPARATOR.join((payload.decode(), _signature(payload, secret))),
    )


def read_claims(ticket: TicketId) -> TicketClaims | None:
    """Decode a ticket's claims without verifying the signature.

    This is enough to forward the ticket to the VM that minted it.

    :returns: ``None`` if the ticket is malformed.
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
    """Return whether a ticket was signed with this secret."""
    payload, _, signature = ticket.partition(_SEPARATOR)
    expected = _signature(payload.encode(), secret)
    return hmac.compare_digest(signature.encode(), expected.encode())


def _signature(payload: bytes, secret: bytes) -> str:
    return hmac.new(secret, payload, hashlib.sha256).hexdigest()
