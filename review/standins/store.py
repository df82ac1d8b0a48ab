"""A stand-in of the platform's store: items, ranges and watches."""

import asyncio
import base64
import json
from contextlib import suppress
from urllib.parse import parse_qsl, urlsplit

from .http import Port, now_s, read_request, response


class Store:
    """Holds items under one revision counter and loses nothing.

    :ivar page: items in a page at most.
    :ivar late_page_lag_s: how old the answers to reads are that may be old
        (``serializable``) and are not the first page.
    :ivar is_silent: whether calls get no answer, now or later, and neither do
        the watches that wait.
    """

    def __init__(self, host: str, port: int) -> None:
        self.address = '{0}:{1}'.format(host, port)
        self.page = 500
        self.late_page_lag_s = 0.0
        self.is_silent = False
        self._silences = 0
        self._items: dict[str, tuple[int, int, bytes]] = {}
        self._history: list[tuple[int, str, int, bytes | None]] = []
        self._changed_s: list[float] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self.port = Port(host, port, self._serve)

    async def be_silent(self, for_s: float) -> None:
        """Answer nothing for some time; what is asked meanwhile is lost."""
        self.is_silent = True
        self._silences += 1
        await asyncio.sleep(for_s)
        self.is_silent = False

    def put(self, key: str, value: object) -> int:
        """Write an item: bytes as they are, anything else as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        created = self._items.get(key, (0, self._revision, b''))[1]
        self._items[key] = (self._revision, created, raw)
        self._note(key, created, raw)
        return self._revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        self._revision += 1
        self._items.pop(key)
        self._note(key, 0, None)

    def _note(self, key: str, created: int, raw: bytes | None) -> None:
        self._history.append((self._revision, key, created, raw))
        self._changed_s.append(now_s())
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_request(reader)
            target = urlsplit(request.target)
            query = dict(parse_qsl(target.query))
            silences = self._silences
            status, body = await self._answer(target.path, query)
            if self.is_silent or self._silences > silences:
                # A connection on which an answer is lost returns nothing more.
                await asyncio.Event().wait()
            writer.write(
                response(
                    status,
                    {'Content-Type': 'application/json'},
                    json.dumps(body).encode(),
                )
            )
            await writer.drain()

    async def _answer(
        self, path: str, query: dict[str, str]
    ) -> tuple[str, dict[str, object]]:
        if path == '/api/kv-key':
            key = query['key']
            if key not in self._items:
                return '404 Not Found', {}
            revision, created, raw = self._items[key]
            found = _event(revision, key, created, raw)
            return '200 OK', {**found, 'asOf': self._revision}
        if path == '/api/kv-range':
            return '200 OK', self._range(query)
        if path == '/api/kv-watch':
            return '200 OK', await self._watch(query)
        return '404 Not Found', {}

    def _range(self, query: dict[str, str]) -> dict[str, object]:
        prefix = query.get('prefix', '')
        after = query.get('after', '')
        may_be_old = query.get('serializable') == '1'
        items, as_of = self._items, self._revision
        if may_be_old and after and self.late_page_lag_s:
            items, as_of = self._state_at(now_s() - self.late_page_lag_s)
        keys = sorted(
            key for key in items if key.startswith(prefix) and key > after
        )
        return {
            'items': [
                _event(items[key][0], key, *items[key][1:])
                for key in keys[: self.page]
            ],
            'hasMore': len(keys) > self.page,
            'asOf': as_of,
        }

    def _state_at(
        self, at_s: float
    ) -> tuple[dict[str, tuple[int, int, bytes]], int]:
        """Return the items and the revision of an earlier time."""
        items: dict[str, tuple[int, int, bytes]] = {}
        as_of = 1
        for (revision, key, created, raw), changed_s in zip(
            self._history, self._changed_s, strict=True
        ):
            if changed_s > at_s:
                break
            as_of = revision
            if raw is None:
                items.pop(key)
            else:
                items[key] = (revision, created, raw)
        return items, as_of

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        after = int(query['after'])
        prefix = query.get('prefix', '')
        if after >= self._revision:
            with suppress(TimeoutError):
                async with asyncio.timeout(int(query['waitMs']) / 1000):
                    await self._changed.wait()
        events = [
            _event(*each)
            for each in self._history
            if each[0] > after and each[1].startswith(prefix)
        ]
        return {'events': events, 'asOf': self._revision}


def _event(revision: int, key: str, created: int, raw: bytes | None) -> dict:
    if raw is None:
        return {'key': key, 'revision': revision, 'deleted': True}
    return {
        'key': key,
        'value': base64.b64encode(raw).decode(),
        'revision': revision,
        'created': created,
        'lease': 0,
    }
