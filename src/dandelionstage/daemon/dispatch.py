"""Takes each message from a peer to the part of the daemon it is for."""

from collections.abc import Callable
from typing import Any, TypeVar, final

from loguru import logger

from ..inner.link import Link
from ..inner.messages import InnerMessage
from ..inner.outbox import CallMessage

__all__ = ('Dispatch',)

_Kind = TypeVar('_Kind')


@final
class Dispatch:
    """Finds the handler of a message by its type."""

    def __init__(self) -> None:
        """Start without handlers; messages without one are ignored."""
        self._handlers: dict[type, Callable[[Link, Any], None]] = {}
        self._losses: dict[type, Callable[[Link, Any, bool], None]] = {}

    def register(
        self,
        kind: type[_Kind],
        handler: Callable[[Link, _Kind], None],
    ) -> None:
        """Let a handler take every message of a type."""
        self._handlers[kind] = handler

    def register_loss(
        self,
        kind: type[_Kind],
        handler: Callable[[Link, _Kind, bool], None],
    ) -> None:
        """Let a handler hear of each call of a type that gets no reply."""
        self._losses[kind] = handler

    def lose(self, link: Link, call: CallMessage, sent: bool) -> None:
        """Tell whoever sent a call that it gets no reply."""
        handler = self._losses.get(type(call))
        if handler is not None:
            handler(link, call, sent)

    def take(self, link: Link, message: InnerMessage) -> None:
        """Hand a message over; a handler's defect harms only its message."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(link, message)
        except Exception:
            logger.exception('a message from a peer could not be handled')
