"""Logs: one JSON object a line, with the request id, never with a key."""

import io
import json
import logging

import anyio
import pytest
from loguru import logger

from dandelionstage.model.ids import RequestId
from dandelionstage.operations.logs import (
    FaultLog,
    configure_logs,
    request_context,
)
from dandelionstage.operations.repeats import RepeatLimiter

KEY = 'k-5f3a9c'


@pytest.fixture
def stream():
    output = io.StringIO()
    configure_logs('info', as_json=True, stream=output, vm='a.1')
    yield output
    configure_logs('info')


def lines(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_a_line_carries_the_vm_and_the_request(stream):
    with request_context(RequestId('r-1')):
        logger.info('Answered')
    logger.info('Idle')
    answered, idle = lines(stream)
    assert (answered['vm'], answered['request_id']) == ('a.1', 'r-1')
    assert 'request_id' not in idle


async def log_as(request: RequestId) -> None:
    with request_context(request):
        await anyio.sleep(0)
        logger.info(request)


async def log_concurrently() -> None:
    async with anyio.create_task_group() as group:
        for name in ('r-1', 'r-2', 'r-3'):
            group.start_soon(log_as, RequestId(name))


def test_requests_of_concurrent_tasks_are_kept_apart(stream):
    anyio.run(log_concurrently)
    shown = lines(stream)
    assert len(shown) == 3
    assert all(line['message'] == line['request_id'] for line in shown)


@pytest.mark.parametrize('as_json', [True, False])
def test_no_key_is_written(as_json):
    output = io.StringIO()
    configure_logs('debug', as_json=as_json, stream=output)
    header = 'Bearer {0}'.format(KEY)
    logger.bind(authorization=KEY, headers={'x': header}).info(header)
    logger.info("api_key='{0}' customer_key={0}".format(KEY))
    logger.info('{"authorization": "Bearer %s"}' % KEY)
    logging.getLogger('library').warning('sent %s', header)
    logger.opt(exception=ValueError(header)).error('Refused')
    assert output.getvalue().count('[hidden]') >= 6
    assert KEY not in output.getvalue()


def test_a_multiline_message_stays_on_one_line(stream):
    logger.info('two\nlines {braces}')
    assert len(lines(stream)) == 1


def test_repeating_faults_are_written_once(stream):
    faults = FaultLog(RepeatLimiter(interval_ms=1e9))
    for _ in range(5):
        faults.warn_repeating('peer b', 'Unreachable {x}', peer='b')
    assert [line['peer'] for line in lines(stream)] == ['b']


def test_withheld_lines_are_counted():
    limiter = RepeatLimiter(interval_ms=10)
    times_ms = (0, 1, 9, 10, 11)
    admitted = [limiter.admit('f', now_ms) for now_ms in times_ms]
    assert admitted == [0, None, None, 2, None]


def test_faults_told_apart_are_bounded():
    limiter = RepeatLimiter(interval_ms=10, max_faults=2)
    for fault in ('a', 'b', 'c'):
        limiter.admit(fault, 0)
    assert limiter.admit('c', 1) is None
    assert limiter.admit('a', 1) == 0
