"""Builds HTTP requests to a backend server."""

from functools import cache
from typing import Final, final

import httpcore

__all__ = ('RequestBuilder',)

_SCHEME: Final = b'http'


@final
class RequestBuilder:
    """Builds requests to one backend server.

    :ivar origin: scheme, host and port of the server.
    """

    def __init__(self, host: bytes, port: int) -> None:
        """Build requests to the server at ``host`` and ``port``."""
        self.origin = httpcore.Origin(_SCHEME, host, port)
        self._host = b'%b:%d' % (host, port)

    def build_post(self, target: bytes, body: bytes) -> httpcore.Request:
        """Build a POST request with a JSON body."""
        return httpcore.Request(
            b'POST',
            _build_url(self.origin.host, self.origin.port, target),
            headers=[
                (b'host', self._host),
                (b'content-type', b'application/json'),
                (b'content-length', b'%d' % len(body)),
            ],
            content=body,
        )


@cache
def _build_url(host: bytes, port: int, target: bytes) -> httpcore.URL:
    return httpcore.URL(scheme=_SCHEME, host=host, port=port, target=target)
