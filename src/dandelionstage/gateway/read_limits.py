"""Limits on received messages, for each one and for all of them together.

Load pattern: peers that send bytes without end, in a head, in a body or in
interim replies, on several connections at once.  A VM has 150 to 550 MB of
memory, so what it holds of unfinished messages must stay small whatever the
peers send.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, Protocol, final

__all__ = (
    'HEADER_OVERHEAD_BYTES',
    'LimitExceeded',
    'OnLimitExceeded',
    'PIECE_BYTES',
    'ReadBudget',
    'ReadLimit',
    'UNCOUNTED_BYTES',
    'split_received',
)

#: Messages below this size are not counted, which saves time on the usual
#: small ones.  Thousands of connections may each hold this much.
UNCOUNTED_BYTES: Final = 16_384
#: Received bytes are parsed in pieces of this size.
PIECE_BYTES: Final = 16_384
#: Memory that a header takes besides its name and value; short ones take many
#: times as much as arrived.
HEADER_OVERHEAD_BYTES: Final = 200
#: Bytes of all unfinished messages that a VM with little memory holds.
_DEFAULT_TOTAL_BYTES: Final = 8_388_608


@unique
class ReadLimit(Enum):
    """Limits that a received message can exceed."""

    HEAD_BYTES = 'head bytes'
    HEADERS = 'number of headers'
    INTERIM_REPLIES = 'interim replies'
    BODY_BYTES = 'body bytes'
    FRAMING_BYTES = 'framing bytes of a body'
    MESSAGE_BYTES = 'message bytes'
    #: All unfinished messages together; the largest one is dropped.
    TOTAL_BYTES = 'bytes of all unfinished messages'


@final
@dataclass(frozen=True, slots=True)
class LimitExceeded:
    """A limit and the size that exceeded it."""

    limit: ReadLimit
    size: int


#: Called when the sender of a message exceeds a limit.
OnLimitExceeded = Callable[[LimitExceeded], None]


class _Holder(Protocol):
    """A message that is being received."""

    def drop(self, exceeded: LimitExceeded) -> None:
        """Discard the message, as all messages together are too large."""


def split_received(
    received: bytes | memoryview,
) -> Iterable[bytes | memoryview]:
    """Split received bytes into pieces that are parsed one at a time.

    The parser keeps a line whose end has not come, and what it keeps is known
    only after each piece.
    """
    if len(received) <= PIECE_BYTES:
        return (received,)
    whole = memoryview(received)
    starts = range(0, len(received), PIECE_BYTES)
    return (whole[start : start + PIECE_BYTES] for start in starts)


@final
class ReadBudget:
    """Bounds the size of all unfinished messages of a process.

    When the bound is exceeded, the largest message is dropped, so that a
    sender without end does not displace the small messages of others.
    """

    def __init__(self, total_bytes: int = _DEFAULT_TOTAL_BYTES) -> None:
        """Create a budget of which nothing is used."""
        self._total_bytes = total_bytes
        self._held: dict[_Holder, int] = {}
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Size of all counted messages."""
        return self._held_bytes

    def hold(self, holder: _Holder, size: int) -> None:
        """Set the size of a message; drop the largest one if need be."""
        self._held_bytes += size - self._held.get(holder, 0)
        self._held[holder] = size
        while self._held_bytes > self._total_bytes:
            exceeded = LimitExceeded(ReadLimit.TOTAL_BYTES, self._held_bytes)
            largest = max(self._held, key=self._held.__getitem__)
            self.release(largest)
            largest.drop(exceeded)

    def release(self, holder: _Holder) -> None:
        """Count a message no longer; has no effect if it is not counted."""
        self._held_bytes -= self._held.pop(holder, 0)
