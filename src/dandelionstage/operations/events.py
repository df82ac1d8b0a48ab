"""Structured log lines on standard output, bounded and never waited for."""

import os
import time
from collections.abc import Callable
from typing import Any, Final, final

import msgspec

from .gateway_counts import GatewayCounts

__all__ = ('EventLog', 'open_output')

_MS_PER_S: Final = 1000
#: Lines of one kind written in one second; further ones are counted.
_LINES_PER_KIND: Final = 40
_WINDOW_MS: Final = 1000.0
_LINE_END: Final = ord('\n')
#: Bytes that wait for a reader of the output before lines are dropped.
_MOST_PENDING_BYTES: Final = 262_144


@final
class EventLog:
    """Writes one JSON object a line and drops what nobody reads.

    A kind that is written too often in one second is counted and the count
    is written once the second is over, so that the volume stays bounded.

    :ivar counts: every event by its kind, and what else is counted.
    :ivar dropped: lines lost because nobody read the output.
    """

    def __init__(
        self,
        write: Callable[[bytes], int],
        now_ms: Callable[[], float],
        **identity: str,
    ) -> None:
        """Start with nothing written.

        :param write: writes without waiting and tells how many bytes went
            out; raises ``BlockingIOError`` if none did.
        :param identity: fields of each line, such as the VM.
        """
        self.counts = GatewayCounts()
        self.dropped = 0
        self._write = write
        self._now_ms = now_ms
        self._identity = identity
        self._encode = msgspec.json.Encoder().encode
        self._pending = bytearray()
        self._window_ms: float = 0
        self._written: dict[str, int] = {}

    def event(self, kind: str, **fields: Any) -> None:
        """Write a line.

        :param kind: what happened; does not vary by request.
        """
        self.counts.events[kind] += 1
        now_ms = self._now_ms()
        if now_ms - self._window_ms >= _WINDOW_MS:
            self._start_window(now_ms)
        count = self._written.get(kind, 0)
        self._written[kind] = count + 1
        if count < _LINES_PER_KIND:
            self._line(kind, fields)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        try:
            written = self._write(bytes(self._pending))
        except BlockingIOError:
            return
        except OSError:
            # Nobody will ever read it; the process goes on without a log.
            written = len(self._pending)
            self.dropped += 1
        del self._pending[:written]  # noqa: WPS420 -- frees in place

    def _start_window(self, now_ms: float) -> None:
        written = self._written
        self._written = {}
        self._window_ms = now_ms
        for kind, count in written.items():
            if count > _LINES_PER_KIND:
                self._line(
                    'lines_withheld',
                    {'of': kind, 'count': count - _LINES_PER_KIND},
                )
        if self.dropped:
            self._line('lines_dropped', {'count': self.dropped})
            self.dropped = 0

    def _line(self, kind: str, fields: dict[str, Any]) -> None:
        if len(self._pending) > _MOST_PENDING_BYTES:
            self.dropped += 1
            self.flush()
            return
        stamp = {'at_ms': int(time.time() * _MS_PER_S), 'event': kind}
        self._pending += self._encode(stamp | fields | self._identity)
        self._pending.append(_LINE_END)
        self.flush()


def open_output(descriptor: int = 1) -> Callable[[bytes], int]:
    """Return a writer to a descriptor that never waits."""
    os.set_blocking(descriptor, False)
    return lambda pending: os.write(descriptor, pending)
