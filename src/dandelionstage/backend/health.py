"""Requests the health of a backend server.

The reply is only a hint, as the state of the server may change after it.
"""

from typing import Final, final

import anyio
import httpcore
from pydantic import BaseModel, ValidationError

from ..model.topology import BackendServer

__all__ = ('Health', 'ask_health')

_TIMEOUT_S: Final = 1
_MAX_BODY_BYTES: Final = 65_536


@final
class Health(BaseModel):
    """The health reply of a backend server.

    :ivar incarnation: changes when the server restarts.
    """

    incarnation: str
    draining: bool = False


async def ask_health(server: BackendServer) -> Health | None:
    """Request the health of a server on a separate connection.

    :returns: ``None`` if there was no valid reply in time.
    """
    with anyio.move_on_after(_TIMEOUT_S):
        try:
            return Health.model_validate_json(await _fetch_body(server))
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            ValidationError,
        ):
            return None
    return None


async def _fetch_body(server: BackendServer) -> bytes:
    origin = httpcore.Origin(b'http', server.host.encode(), server.port)
    async with httpcore.AsyncHTTPConnection(origin) as connection:
        request = httpcore.Request(
            'GET',
            httpcore.URL(
                scheme=b'http',
                host=server.host.encode(),
                port=server.port,
                target=b'/v1/health',
            ),
            headers={'host': server.host},
        )
        response = await connection.handle_async_request(request)
        try:
            return await _read_bounded(response)
        finally:
            await response.aclose()


async def _read_bounded(response: httpcore.Response) -> bytes:
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > _MAX_BODY_BYTES:
            return b''
    return bytes(body)
