"""Reads the configuration service over HTTP."""

import json
from types import TracebackType
from typing import Any, Final, Self, final

import anyio
import httpx
from pydantic import BaseModel, ValidationError

from ..configuration.commands import Heads
from ..model.documents import Document
from ..model.ids import DocumentKey, Revision

__all__ = ('ServiceClient',)

#: The service answers in milliseconds; beyond its wait it gets this long.
_ANSWER_TIMEOUT_MS: Final = 500
_MS_PER_S: Final = 1000

#: The service holds values up to a megabyte; its history names many.
_MAX_BODY_BYTES: Final = 8 * 1024 * 1024


class _Head(BaseModel):
    key: DocumentKey
    revision: Revision


class _HeadsBody(BaseModel):
    revision: Revision
    heads: tuple[_Head, ...]


class _DocumentBody(BaseModel):
    key: DocumentKey
    revision: Revision
    body: Any


@final
class ServiceClient:
    """Owns the connections to the service; a context manager.

    No fault of the service or of the way to it is raised: a read that
    failed gives ``None``.
    """

    def __init__(self, url: str) -> None:
        """Prepare; nothing is connected before the first read."""
        self._http = httpx.AsyncClient(
            base_url=url,
            timeout=None,  # noqa: S113 -- each read has its own time limit
            trust_env=False,
        )

    async def __aenter__(self) -> Self:
        """Open the client."""
        await self._http.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close every connection."""
        await self._http.__aexit__(kind, error, trace)

    async def read_heads(self, since: Revision, wait_ms: int) -> Heads | None:
        """Ask what has changed, the service waiting for a change."""
        target = '/v1/heads?since={0}&wait_ms={1}'.format(since, wait_ms)
        body = await self._read(target, wait_ms + _ANSWER_TIMEOUT_MS)
        if body is None:
            return None
        try:
            parsed = _HeadsBody.model_validate_json(body)
        except ValidationError:
            return None
        heads = tuple((head.key, head.revision) for head in parsed.heads)
        return Heads(parsed.revision, heads)

    async def read_document(self, key: DocumentKey) -> Document | None:
        """Read one document, its body not yet validated."""
        target = '/v1/documents/{0}'.format(key)
        body = await self._read(target, _ANSWER_TIMEOUT_MS)
        if body is None:
            return None
        try:
            parsed = _DocumentBody.model_validate_json(body)
        except ValidationError:
            return None
        if parsed.key != key:
            return None
        return Document(key, parsed.revision, _encode(parsed.body))

    async def _read(self, target: str, timeout_ms: int) -> bytes | None:
        with anyio.move_on_after(timeout_ms / _MS_PER_S):
            try:
                return await self._fetch(target)
            except (httpx.HTTPError, httpx.InvalidURL):
                return None
        return None

    async def _fetch(self, target: str) -> bytes | None:
        async with self._http.stream('GET', target) as response:
            if not response.is_success:
                return None
            body = bytearray()
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > _MAX_BODY_BYTES:
                    return None
        return bytes(body)


def _encode(body: Any) -> bytes:
    """Write a body so that every VM gets the same bytes from it."""
    if body is None:
        return b''
    return json.dumps(body, sort_keys=True, separators=(',', ':')).encode()
