"""Structured logs with the request id on each line."""

import logging
import sys
import time
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import TYPE_CHECKING, Any, Final, TextIO, final

from loguru import logger

from ..model.ids import RequestId
from .log_lines import json_line, text_line
from .repeats import RepeatLimiter

if TYPE_CHECKING:
    from loguru import Message

__all__ = ('FaultLog', 'configure_logs', 'request_context')

_MS_PER_S: Final = 1000


def configure_logs(
    level: str,
    *,
    as_json: bool | None = None,
    stream: TextIO | None = None,
    **identity: str,
) -> None:
    """Send every log line, those of libraries too, to one stream.

    :param level: the least severe level written, as in ``info``.
    :param as_json: one JSON object a line, or text; by default text on a
        terminal and JSON elsewhere.
    :param stream: standard error by default.
    :param identity: fields that each line carries, such as the VM.
    """
    output = sys.stderr if stream is None else stream
    if as_json is None:
        as_json = not output.isatty()
    logger.remove()
    logger.configure(extra=dict(identity))
    logger.add(_sink(output, as_json=as_json), level=level.upper())
    handler = _LoguruHandler()
    logging.basicConfig(handlers=[handler], level=logging.WARNING, force=True)


def request_context(request: RequestId) -> AbstractContextManager[None]:
    """Put a request id on each line logged by this task and its children."""
    return logger.contextualize(request_id=request)


@final
class FaultLog:
    """Writes repeating faults at a bounded rate."""

    def __init__(self, limiter: RepeatLimiter | None = None) -> None:
        """Start with no fault known."""
        self._limiter = limiter or RepeatLimiter()

    def warn_repeating(self, fault: str, message: str, **fields: Any) -> None:
        """Warn of a fault, or only count it when it was just written.

        :param fault: tells faults apart; it must not vary by request.
        """
        withheld = self._limiter.admit(fault, time.monotonic() * _MS_PER_S)
        if withheld is None:
            return
        logger.bind(fault=fault, withheld=withheld, **fields).warning(message)


@final
class _LoguruHandler(logging.Handler):
    """Passes on what libraries write to the standard library's logging."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record under its own severity."""
        logger.bind(library=record.name).opt(exception=record.exc_info).log(
            record.levelname,
            record.getMessage(),
        )


def _sink(output: TextIO, *, as_json: bool) -> 'Callable[[Message], None]':
    render = json_line if as_json else text_line

    def write(message: 'Message') -> None:  # noqa: WPS430 -- a closure
        output.write('{0}\n'.format(render(message.record)))
        output.flush()

    return write
