"""HTTP requests and replies as the stand-ins see them."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any, final

__all__ = ('Handler', 'HttpReply', 'HttpRequest', 'Sending')


@unique
class Sending(Enum):
    """What becomes of a reply on its way out."""

    WHOLE = 'whole'
    TWICE = 'twice'
    CUT = 'cut'
    CLOSED = 'closed'
    WITHHELD = 'withheld'


@final
@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request, its body whole."""

    method: str
    target: str
    body: bytes


@final
@dataclass(frozen=True, slots=True)
class HttpReply:
    """One reply and what becomes of it."""

    status: int
    body: bytes
    sending: Sending = Sending.WHOLE

    @classmethod
    def of(cls, status: int, **body: Any) -> 'HttpReply':
        """Encode keyword arguments as a JSON object."""
        return cls(status, json.dumps(body).encode())


Handler = Callable[[HttpRequest], Awaitable[HttpReply]]
