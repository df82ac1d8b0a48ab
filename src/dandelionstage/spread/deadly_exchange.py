"""Exchange of what VMs know of requests that end servers."""

from collections.abc import Callable
from typing import Final, final

import msgspec

from ..placing.deadly_requests import DeadlyRequests
from ..placing.server_ends import RequestDigest
from .deadly_messages import decode, encode
from .members import Address, Members
from .permit_exchange import ExchangeContext

__all__ = ('DeadlyExchange',)

#: Number of VMs that are told of a change at once.  Each that learns something
#: new tells as many, so fewer than 1 in 400 VMs miss it; these learn of it in
#: the next rounds.
_FANOUT: Final = 6
#: Changes within this time are told together.
_DELAY_MS: Final = 15.0


@final
class DeadlyExchange:
    """Tells other VMs of requests under which servers ended."""

    def __init__(
        self,
        members: Members,
        deadly: DeadlyRequests,
        context: ExchangeContext,
    ) -> None:
        """Create an exchange that sends nothing before the first change."""
        self.send: Callable[[bytes, Address], None] = _send_nothing
        self._members = members
        self._deadly = deadly
        self._context = context
        self._is_due = False
        deadly.on_change = self._handle_change

    def receive(self, datagram: bytes) -> None:
        """Handle what another VM knows."""
        try:
            reports = decode(datagram)
        except (msgspec.MsgspecError, ValueError) as error:
            self._context.log.event('request_ends_unreadable', fault=str(error))
            return
        self._deadly.apply_reports(reports, self._context.now_ms())

    def send_to(self, vm: Address) -> None:
        """Tell one VM what this one knows, if it knows anything."""
        if not len(self._deadly):
            return
        reports = self._deadly.choose_reports(
            self._context.now_ms(), self._context.random
        )
        if reports:
            self.send(encode(reports), vm)

    def _handle_change(
        self,
        digest: RequestDigest,
        is_own: bool,  # noqa: FBT001 -- a callback
    ) -> None:
        """Log a change and pass it on soon, with those that follow."""
        now_ms = self._context.now_ms()
        self._context.log.event(
            'request_ends',
            digest=digest.hex(),
            verdict=self._deadly.verdict(digest, now_ms).value,
            **self._deadly.describe(digest),
            evidence='seen' if is_own else 'told',
        )
        if not self._is_due:
            self._is_due = True
            self._context.call_later(_DELAY_MS, self._announce)

    def _announce(self) -> None:
        self._is_due = False
        alive = self._members.alive(self._context.now_ms())
        count = min(_FANOUT, len(alive))
        for vm in self._context.random.sample(alive, count):
            self.send_to(vm)


def _send_nothing(message: bytes, vm: Address) -> None:
    """Send nothing; used until ``send`` is set."""
