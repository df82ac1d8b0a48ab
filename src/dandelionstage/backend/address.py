"""Where a backend server listens, and requests to it."""

from functools import cache
from typing import Final, final

import httpcore

__all__ = ('Address',)

_SCHEME: Final = b'http'


@final
class Address:
    """Builds requests to one backend server.

    :ivar origin: of every request built here.
    """

    def __init__(self, host: bytes, port: int) -> None:
        """Take the address of a server."""
        self.origin = httpcore.Origin(_SCHEME, host, port)
        self._host = b'%b:%d' % (host, port)

    def request(self, target: bytes, body: bytes) -> httpcore.Request:
        """Build a request that posts a JSON body."""
        return httpcore.Request(
            b'POST',
            _url(self.origin.host, self.origin.port, target),
            headers=[
                (b'host', self._host),
                (b'content-type', b'application/json'),
                (b'content-length', b'%d' % len(body)),
            ],
            content=body,
        )


@cache
def _url(host: bytes, port: int, target: bytes) -> httpcore.URL:
    return httpcore.URL(scheme=_SCHEME, host=host, port=port, target=target)
