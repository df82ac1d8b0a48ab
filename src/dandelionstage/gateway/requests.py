"""Requests from callers, answers to them, and their HTTP headers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final, final

import msgspec
import xxhash

from ..placing.server_ends import RequestDigest
from .reply_reader import HeaderNames

__all__ = (
    'Answer',
    'CallerRequest',
    'Headers',
    'end_to_end_headers',
    'error_answer',
    'request_head',
)

Headers = tuple[tuple[bytes, bytes], ...]

#: Headers that apply to a single connection (RFC 9110, section 7.6.1), and
#: headers that state how a body is framed on it.
_HOP_BY_HOP: Final = frozenset(
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
#: Headers that say on whose behalf a request is sent.
_CALLER_HEADERS: Final = frozenset((b'authorization', b'cookie'))
_MS_PER_S: Final = 1000
_JSON_HEADER: Final = (b'content-type', b'application/json')


@final
@dataclass(slots=True)
class CallerRequest:
    """A complete request from a caller, including its body.

    :ivar target: path and query, as sent.
    :ivar host: host name without a port, in lower case.
    :ivar headers: headers as received, with names in lower case.
    :ivar time_left_ms: how long the caller waits, counted from the arrival;
        infinite if not stated.
    :ivar arrived_ms: time of arrival of the first bytes, by the monotonic
        clock.
    :ivar is_connection_reused: whether the connection carried an earlier
        request.
    :ivar round_trip_ms: round-trip time to the caller; 0 if unknown.
    """

    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    request_id: bytes
    time_left_ms: float
    arrived_ms: float
    is_connection_reused: bool = False
    round_trip_ms: float = 0
    #: Set by the handler: route under which the delivery time of the answer
    #: is recorded.
    timed_route: str | None = None
    #: Set by the handler; called when the caller disconnects.
    on_disconnect: Callable[[], None] | None = None

    @property
    def is_head(self) -> bool:
        """Whether only the head of an answer is asked for."""
        return self.method == b'HEAD'

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def digest(self) -> RequestDigest:
        """Digest of what stays the same when a caller repeats the request.

        The id and the deadline of a repeated request are new, and it may
        arrive from another address.
        """
        digest = xxhash.xxh3_128()
        identity = (
            content for name, content in self.headers if name in _CALLER_HEADERS
        )
        for field_bytes in (
            self.method,
            self.host.encode('latin-1'),
            self.target,
            *identity,
            self.body,
        ):
            # The length keeps the boundaries of the fields apart.
            digest.update(b'%d:' % len(field_bytes))
            digest.update(field_bytes)
        return RequestDigest(digest.digest())

    @property
    def log_id(self) -> str:
        """The request id as text, for log lines."""
        return self.request_id.decode('latin-1')


@final
@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP response to a caller."""

    status: int
    headers: Headers = field(default=())
    body: bytes = b''


def error_answer(
    status: HTTPStatus,
    reason: str,
    retry_after_ms: float | None = None,
) -> Answer:
    """Build an error answer with a JSON body that states the reason.

    :param retry_after_ms: delay after which the caller may retry, ``None``
        to state none.
    """
    headers: Headers = (_JSON_HEADER,)
    if retry_after_ms is not None:
        retry_after = '{0:.2f}'.format(retry_after_ms / _MS_PER_S)
        headers = (*headers, (b'retry-after', retry_after.encode()))
    body = msgspec.json.encode({'error': reason})
    return Answer(status.value, headers, body)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without those of a single connection (hop-by-hop)."""
    connection_options = b','.join(
        content for name, content in headers if name == b'connection'
    )
    listed_names = {
        name.strip().lower() for name in connection_options.split(b',')
    }
    return tuple(
        (name, content)
        for name, content in headers
        if name not in _HOP_BY_HOP and name not in listed_names
    )


def request_head(request: CallerRequest, header_names: HeaderNames) -> bytes:
    """Build the request line and the headers that are equal for all servers.

    The sender appends the target server and the time left, then an empty
    line and the body.
    """
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    per_server_names = (header_names.time_left, header_names.target)
    lines.extend(
        b'%b: %b' % header
        for header in end_to_end_headers(request.headers)
        if header[0] not in per_server_names
    )
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'content-length: %d' % len(request.body))
    lines.append(b'')
    return b'\r\n'.join(lines)
