"""Readers of the wire: whole, one to each request, and nothing smuggled."""

import asyncio
import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.catalog.routes import CallerLimits
from dandelionstage.gateway.attempt import Attempt, NoReply, Reply
from dandelionstage.gateway.caller_connection import (
    CallerLink,
    LinkPhase,
    LinkTools,
)
from dandelionstage.gateway.delivery_times import DeliveryTimes
from dandelionstage.gateway.records import greatest_records
from dandelionstage.gateway.reply_reader import ReplyReader, StreamState
from dandelionstage.gateway.requests import Answer, request_head
from dandelionstage.gateway.server_connection import (
    ConnectionState,
    ServerConnection,
)

from .gateway_harness import NAMES, gather_route, make_request

DIGITS = bytes(range(200))


def reply(body=b'abc', request_id=b'r1', extra=b''):
    return b''.join(
        (
            b'HTTP/1.1 200 OK\r\nX-Id: ',
            request_id,
            b'\r\nX-Stamp: s\r\n',
            extra,
            b'Content-Length: %d\r\n\r\n' % len(body),
            body,
        ),
    )


class Wire(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self):
        super().__init__()
        self.written = b''
        self.closed = False

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    def abort(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return 0


def open_link():
    rests = []
    link = ServerConnection(NAMES, rests.append)
    wire = Wire()
    link.connection_made(wire)
    return link, wire, rests


def send(link):
    endings = []
    attempt = Attempt(
        'i-1', b'r1', lambda left: b'bytes', lambda _, end: endings.append(end)
    )
    attempt.deadline_ms = float('inf')
    link.send(attempt)
    return endings


def test_whole_reply_ends_the_attempt_and_keeps_the_connection():
    link, _, _ = open_link()
    endings = send(link)
    link.data_received(reply())
    assert endings[0].body == b'abc'
    assert link.state is ConnectionState.IDLE


def test_reply_to_another_request_is_skipped_and_the_connection_given_up():
    link, wire, _ = open_link()
    endings = send(link)
    link.data_received(reply(b'old', b'r0'))
    assert not endings
    link.data_received(reply(b'new'))
    assert endings[0].body == b'new'
    assert wire.closed


@pytest.mark.parametrize('extra', [reply(b'again'), b'junk'])
def test_bytes_after_a_reply_end_the_connection(extra):
    link, wire, _ = open_link()
    endings = send(link)
    link.data_received(reply() + extra)
    assert isinstance(endings[0], Reply)
    assert wire.closed


def test_bytes_on_an_idle_connection_end_it():
    link, wire, _ = open_link()
    link.data_received(reply())
    assert wire.closed


def test_reply_cut_short_is_no_reply():
    link, _, _ = open_link()
    endings = send(link)
    link.data_received(reply(b'abcdef')[:-3])
    link.connection_lost(None)
    assert endings == [NoReply.BROKEN]


UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Stamp: s\r\n\r\nabc'


def test_reply_without_length_is_whole_when_the_server_closes_in_order():
    link, _, _ = open_link()
    endings = send(link)
    link.data_received(UNFRAMED)
    assert not endings
    link.eof_received()
    assert endings[0].body == b'abc'
    assert link.state is ConnectionState.CLOSED


def test_reply_without_length_is_lost_when_the_connection_is_reset():
    link, _, _ = open_link()
    endings = send(link)
    link.data_received(UNFRAMED)
    link.connection_lost(ConnectionResetError())
    assert endings == [NoReply.BROKEN]


def test_server_that_closes_an_idle_connection_takes_no_later_attempt():
    """Regression: the end of stream gave an idle connection out twice."""
    link, _, rests = open_link()
    send(link)
    link.data_received(reply())
    link.eof_received()
    assert link.state is ConnectionState.CLOSED
    assert [each.state for each in rests[-1:]] == [ConnectionState.CLOSED]


def test_connection_is_not_used_when_the_server_may_be_closing_it():
    link, _, _ = open_link()
    send(link)
    link.data_received(reply(extra=b'Keep-Alive: timeout=10\r\n'))
    assert link.is_fresh(link._rested_ms + 9000)
    assert not link.is_fresh(link._rested_ms + 9500)


def test_reply_without_the_id_of_the_request_is_none():
    found = []
    reader = ReplyReader(NAMES, lambda request_id, _: found.append(request_id))
    reader.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    assert found == [b'']


@given(st.binary(max_size=200))
def test_any_bytes_from_a_server_are_survived(junk):
    link, _, _ = open_link()
    endings = send(link)
    link.data_received(junk)
    link.connection_lost(None)
    assert len(endings) == 1


@given(st.lists(st.integers(1, 60), max_size=6))
def test_reply_may_come_in_any_pieces(cuts):
    whole = reply(DIGITS)
    found = []
    reader = ReplyReader(NAMES, lambda _, each: found.append(each.body))
    starts = [0, *itertools.accumulate(cuts), len(whole)]
    for start, end in itertools.pairwise(starts):
        reader.feed(whole[start:end])
    assert found == [DIGITS]
    assert reader.stream is StreamState.OPEN


@given(st.lists(st.binary(max_size=50), max_size=6), st.integers(1, 8))
def test_greatest_records_equal_a_plain_sort(parts, count):
    records = [
        part[start : start + 16]
        for part in parts
        for start in range(0, len(part) - 15, 16)
    ]
    best = sorted(records, reverse=True)[:count]
    assert greatest_records(parts, count) == b''.join(best)


# Callers' side.


def open_caller(limits=None):
    requests = []
    tools = LinkTools(
        NAMES,
        lambda: limits or CallerLimits(),
        lambda request, give: requests.append((request, give)),
        lambda _: 0.0,
        DeliveryTimes(),
    )
    link = CallerLink(tools, lambda _: None)
    wire = Wire()
    link.connection_made(wire)
    return link, wire, requests


def ask(body=b'', head=b''):
    return b''.join(
        (
            b'POST /a/b?c=1 HTTP/1.1\r\nHost: H.example:80\r\nX-Id: r1\r\n',
            b'X-Left: 800\r\n',
            head,
            b'Content-Length: %d\r\n\r\n' % len(body),
            body,
        ),
    )


def status_of(wire):
    return int(wire.written.split(b' ', 2)[1])


def test_way_of_an_answer_is_timed_by_its_acknowledgement():
    """On a real connection: the kernel tells of the round trip."""

    async def time_answer():
        delivery_times, trips = DeliveryTimes(), []
        route = gather_route(['s'])

        def serve(request, give):
            trips.append(request.round_trip_ms)
            request.timed_route = route.name
            give(Answer(200, (), b'ok'))

        tools = LinkTools(
            NAMES, CallerLimits, serve, lambda _: 0.0, delivery_times
        )
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerLink(tools, lambda _: None), '127.0.0.1', 0
        )
        delivery_times.observe(route.name, 1000.0)
        async with server:
            host, port = server.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(ask())
            await reader.readuntil(b'ok')
            async with asyncio.timeout(5):
                while delivery_times.lag_ms(route) == 1000:
                    await asyncio.sleep(0.001)
            writer.close()
        return trips

    assert asyncio.run(time_answer())[0] > 0


def test_request_is_read_whole_and_answered():
    link, wire, requests = open_caller()
    whole = ask(b'body')
    for start in range(0, len(whole), 7):
        link.data_received(whole[start : start + 7])
    request, give = requests[0]
    assert (request.host, request.path) == ('h.example', '/a/b')
    assert (request.body, request.time_left_ms) == (b'body', 800)
    give(Answer(200, (), b'ok'))
    assert wire.written.endswith(b'\r\n\r\nok')
    assert not wire.closed
    link.data_received(ask())
    assert requests[1][0].is_kept


def test_chunked_body_is_read():
    link, _, requests = open_caller()
    link.data_received(
        b'POST / HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'
    )
    assert requests[0][0].body == b'abc'


@pytest.mark.parametrize(
    'smuggled',
    [
        b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\nX-Id: r\r\n\r\n',
        b'POST / HTTP/1.1\r\nHost: a\r\nX-Id: r\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET',
        b'POST / HTTP/1.1\r\nHost: a\r\nX-Id: r\r\nContent-Length: 3\r\n'
        b'Content-Length: 4\r\n\r\nabcd',
        b'GET / HTTP/1.1\r\nHost : a\r\nX-Id: r\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: a\r\n\r\n',
        b'GET http://a/ HTTP/1.1\r\nHost: a\r\nX-Id: r\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: a\r\nX-Id: r\r\nX-Left: -1\r\n\r\n',
        b'\x16\x03\x01\x02\x00\x01',
    ],
)
def test_improper_requests_are_refused_and_never_served(smuggled):
    link, wire, requests = open_caller()
    link.data_received(smuggled)
    assert not requests
    assert status_of(wire) == 400
    assert wire.closed


def test_second_request_before_the_answer_is_not_served():
    link, wire, requests = open_caller()
    link.data_received(ask() + ask())
    _, give = requests[0]
    link.data_received(ask())
    give(Answer(200))
    assert len(requests) == 1
    assert b'connection: close' in wire.written
    assert wire.closed


def test_limits_of_head_and_body_hold():
    limits = CallerLimits(header_bytes=200, body_bytes=10)
    link, wire, requests = open_caller(limits)
    link.data_received(ask(head=b'X-Long: %b\r\n' % (b'x' * 200)))
    assert status_of(wire) == 431
    link, wire, _ = open_caller(limits)
    link.data_received(ask(b'x' * 11))
    assert status_of(wire) == 413
    assert not requests


def test_slow_request_is_refused_and_an_idle_connection_closed():
    link, wire, _ = open_caller(CallerLimits(header_timeout_ms=100))
    link.data_received(ask()[:20])
    link.close_if_overdue(link.since_ms + 200)
    assert status_of(wire) == 408
    link, wire, _ = open_caller(CallerLimits(idle_timeout_ms=100))
    link.close_if_overdue(link.since_ms + 90)
    assert not wire.closed
    link.close_if_overdue(link.since_ms + 110)
    assert wire.closed


def test_caller_that_leaves_is_told_to_the_run():
    link, _, requests = open_caller()
    link.data_received(ask())
    gone = []
    requests[0][0].on_gone = lambda: gone.append(1)
    link.connection_lost(None)
    assert gone == [1]
    assert link.phase is LinkPhase.CLOSED


def test_request_goes_on_without_what_concerns_one_connection():
    request = make_request(method=b'POST', body=b'xy')
    request.headers = (
        (b'host', b'h'),
        (b'x-id', b'r1'),
        (b'connection', b'keep-alive, x-private'),
        (b'x-private', b'1'),
        (b'x-left', b'9'),
        (b'x-target', b'i-9'),
        (b'transfer-encoding', b'chunked'),
        (b'accept', b'*/*'),
    )
    head = request_head(request, NAMES)
    assert head == (
        b'POST /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\naccept: */*\r\n'
        b'content-length: 2\r\n'
    )


@given(st.binary(max_size=300))
def test_any_bytes_from_a_caller_are_survived(junk):
    link, _, requests = open_caller()
    link.data_received(junk)
    link.connection_lost(None)
    assert len(requests) <= 1
