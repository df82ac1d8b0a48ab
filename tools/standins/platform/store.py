"""A stand-in of the platform's store: read, range, watch, and faults."""

import asyncio
import base64
import json
from collections import deque
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus
from time import monotonic
from types import MappingProxyType
from typing import Any, Final, final
from urllib.parse import parse_qsl, urlsplit

from dandelionstage.lifecycle.resource_owner import ResourceOwner

from .http_port import Asked, HttpPort

__all__ = ('Store', 'StoreMode')

_PAGE: Final = 50
_MS_PER_S: Final = 1000
#: Copies kept for stale answers, one for each change.
_COPIES: Final = 64


@unique
class StoreMode(Enum):
    """How the store treats calls."""

    WELL = 'well'
    BUSY = 'busy'
    MANY = 'many'
    RESET = 'reset'
    SILENT = 'silent'


_REFUSALS: Final = MappingProxyType(
    {
        StoreMode.BUSY: HTTPStatus.SERVICE_UNAVAILABLE,
        StoreMode.MANY: HTTPStatus.TOO_MANY_REQUESTS,
    },
)


@final
@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Items of the store at one revision."""

    revision: int
    items: dict[str, tuple[int, bytes]]

    def event(self, key: str) -> dict[str, Any]:
        """Return an item as an answer shows it."""
        revision, raw = self.items[key]
        return _event(revision, key, raw)


@final
class Store(ResourceOwner):  # noqa: WPS214 -- one store, short methods
    """Holds items under one revision counter.

    :ivar mode: how calls are treated; may be changed at any time.
    :ivar calls: calls of each kind, refused ones too.
    :ivar era: number of its history, in the header of every answer.
    :ivar stale_s: how old the answers to serializable reads are.
    """

    def __init__(self, host: str, port: int) -> None:
        """Start empty."""
        self.mode = StoreMode.WELL
        self.calls: dict[str, int] = {}
        self.revision = 1
        self.era = 1
        self.stale_s: float = 0
        self._older: deque[tuple[float, StoreCopy]] = deque(maxlen=_COPIES)
        self._items: dict[str, tuple[int, bytes]] = {}
        self._history: list[tuple[int, str, bytes | None]] = []
        self._forgotten = 0
        self._losses = 0
        self._changed = asyncio.Event()
        self._port = HttpPort(host, port, self._serve)

    def put(self, key: str, value: Any) -> int:
        """Write an item; bytes as they are, anything else as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._items[key] = (self.revision, raw)
        self._note(key, raw)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self._items.pop(key)
        self._note(key, None)

    def forget_history(self) -> None:
        """Answer watches from before now with 410."""
        self._forgotten = self.revision
        self._history.clear()
        self._wake()

    def copy(self) -> StoreCopy:
        """Return a copy of all items."""
        return StoreCopy(self.revision, dict(self._items))

    def restore(self, copy: StoreCopy) -> None:
        """Lose all that was written since a copy, with its revisions."""
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self.forget_history()
        self.cut_all()

    def lose_answers(self) -> None:
        """Never answer the calls that wait, watches too."""
        self._losses += 1

    def cut_all(self) -> None:
        """Reset every connection."""
        self._port.cut_all()

    async def _open(self, stack: AsyncExitStack) -> None:
        await stack.enter_async_context(self._port)

    def _note(self, key: str, raw: bytes | None) -> None:
        self._older.append((monotonic(), self.copy()))
        self._history.append((self.revision, key, raw))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, asked: Asked) -> bytes:
        losses = self._losses
        answer = await self._handle(asked)
        if self._losses > losses:
            await asyncio.Event().wait()
        return answer

    async def _handle(self, asked: Asked) -> bytes:
        target = urlsplit(asked.target)
        kind = target.path.rpartition('/')[2]
        self.calls[kind] = self.calls.get(kind, 0) + 1
        query = dict(parse_qsl(target.query))
        if self.mode is StoreMode.SILENT:
            await asyncio.Event().wait()
        if self.mode is StoreMode.RESET:
            return b'reset'
        if self.mode is not StoreMode.WELL:
            return self._answer(_REFUSALS[self.mode], {})
        if kind == 'kv-range':
            return self._range(query)
        if kind == 'kv-watch':
            return await self._watch(query)
        return self._answer(HTTPStatus.NOT_FOUND, {})

    def _range(self, query: dict[str, str]) -> bytes:
        after = query.get('after', '')
        prefix = query.get('prefix', '')
        shown = self.copy()
        if self.stale_s and query.get('serializable') == '1':
            shown = self._copy_at(monotonic() - self.stale_s)
        fitting = [key for key in shown.items if key.startswith(prefix)]
        keys = sorted(key for key in fitting if key > after)
        return self._answer(
            HTTPStatus.OK,
            {
                'items': [shown.event(key) for key in keys[:_PAGE]],
                'hasMore': len(keys) > _PAGE,
                'asOf': shown.revision,
            },
        )

    def _copy_at(self, at_s: float) -> StoreCopy:
        """Return the items as they were at a time, the first ones at least."""
        copies = [copy for taken_s, copy in self._older if taken_s <= at_s]
        return copies[-1] if copies else self._older[0][1]

    async def _watch(self, query: dict[str, str]) -> bytes:
        after = int(query['after'])
        if after >= self.revision:
            changed = self._changed.wait()
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    changed, int(query['waitMs']) / _MS_PER_S
                )
        if after < self._forgotten or after > self.revision:
            return self._answer(HTTPStatus.GONE, {})
        events = [
            _event(*change) for change in self._history if change[0] > after
        ]
        return self._answer(
            HTTPStatus.OK, {'events': events, 'asOf': self.revision}
        )

    def _answer(self, status: HTTPStatus, body: dict[str, Any]) -> bytes:
        encoded = json.dumps(body).encode()
        head = (
            'HTTP/1.1 {0} {1}\r\nContent-Length: {2}\r\nStore-Era: {3}\r\n\r\n'
        )
        return (
            head.format(
                status.value, status.phrase, len(encoded), self.era
            ).encode()
            + encoded
        )


def _event(revision: int, key: str, raw: bytes | None) -> dict[str, Any]:
    if raw is None:
        return {'key': key, 'revision': revision, 'deleted': True}
    return {
        'key': key,
        'revision': revision,
        'created': revision,
        'lease': 0,
        'value': base64.b64encode(raw).decode(),
    }
