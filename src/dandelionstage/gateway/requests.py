"""A caller's request as read, and the answer to it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final, final

import msgspec

from .reply_reader import HeaderNames

__all__ = (
    'Answer',
    'CallerRequest',
    'Headers',
    'passed_on',
    'refusal',
    'request_head',
)

Headers = tuple[tuple[bytes, bytes], ...]

#: Headers that concern one connection only (RFC 9110, section 7.6.1), and
#: those that say how a body is framed on it.
_ONE_HOP: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
_MS_PER_S: Final = 1000
_JSON: Final = (b'content-type', b'application/json')


@final
@dataclass(slots=True)
class CallerRequest:
    """A whole request, its body included.

    :ivar target: path and query, as sent.
    :ivar time_left_ms: how long the caller waits from its arrival;
        infinite if it does not say.
    :ivar arrived_ms: when its first bytes were read, by the steady clock.
    :ivar is_kept: whether the connection had carried a request before.
    :ivar round_trip_ms: to the caller and back; 0 if not known.
    """

    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    request_id: bytes
    time_left_ms: float
    arrived_ms: float
    is_kept: bool = False
    round_trip_ms: float = 0
    #: Set by who serves it: the route whose answers' way is to be timed.
    timed_route: str | None = None
    #: Set by who serves it; called when the caller is gone.
    on_gone: Callable[[], None] | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def log_id(self) -> str:
        """The request's id as text."""
        return self.request_id.decode('latin-1')


@final
@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller gets."""

    status: int
    headers: Headers = field(default=())
    body: bytes = b''


def refusal(
    status: HTTPStatus,
    reason: str,
    retry_after_ms: float | None = None,
) -> Answer:
    """Make an answer that says why there is no other.

    :param retry_after_ms: when the caller may come back.
    """
    headers: Headers = (_JSON,)
    if retry_after_ms is not None:
        stated = '{0:.2f}'.format(retry_after_ms / _MS_PER_S)
        headers = (*headers, (b'retry-after', stated.encode()))
    body = msgspec.json.encode({'error': reason})
    return Answer(status.value, headers, body)


def passed_on(headers: Headers) -> Headers:
    """Leave out what concerns only the connection it came on."""
    named = b','.join(
        content for name, content in headers if name == b'connection'
    )
    nominated = {name.strip().lower() for name in named.split(b',')}
    return tuple(
        (name, content)
        for name, content in headers
        if name not in _ONE_HOP and name not in nominated
    )


def request_head(request: CallerRequest, header_names: HeaderNames) -> bytes:
    """Write the part of a request that all servers get alike.

    The target server and the time left follow, then an empty line and the
    body.
    """
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    ours = (header_names.time_left, header_names.target)
    lines.extend(
        b'%b: %b' % header
        for header in passed_on(request.headers)
        if header[0] not in ours
    )
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'content-length: %d' % len(request.body))
    lines.append(b'')
    return b'\r\n'.join(lines)
