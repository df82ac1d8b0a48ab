"""Bytes after a complete answer become the status of the next answer."""

import asyncio
import random
import sys
from collections import Counter
from http import HTTPStatus
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from review.standins.backend import Backend, Run
from review.standins.http import Answer, Connection, Request, now_s
from review.standins.place import HOST, Place, play, route

#: Of the answers of every second backend, as in the users' site files.
_GARBLED = 0.03
_LENGTH_S = 30.0
#: Three disruptions of this length, with calm between.
_GARBLE_S = 5.0
_STARTS_S = (0.0, 10.0, 20.0)
_CALLERS = 4
#: The second answer breaks off in its first line.
_SECOND = b'HTTP/1.1 400 Bad Request'


async def case(place: Place) -> str:
    """Ask while backends send the start of a second answer after some."""
    for service in ('s1', 's2', 's3', 'cards', 'orders'):
        for _ in range(2):
            await place.add_backend(service)
    place.publish(
        3,
        [
            route(
                'q',
                'safe',
                gather=['s1', 's2', 's3'],
                topK=6,
                minCoverage=0.66,
            ),
            route('c', 'safe', service='cards'),
            route('o', 'unsafe', service='orders'),
        ],
    )
    place.add_vms(2)
    for vm in place.vms:
        await place.until_ready(vm)
    if place.has_trouble:
        for backend in list(place.backends.values())[::2]:
            _garble(place, backend, now_s())
    broken = await _ask_all(place, _LENGTH_S)
    for kind, count in broken.items():
        place.record.note('{0}: {1}'.format(kind, count))
    if broken:
        return 'MIXED: {0}'.format(dict(broken))
    return ''


def _garble(place: Place, backend: Backend, start_s: float) -> None:
    """Send a second answer that breaks off in its first line after some."""

    def spoil(request: Request, answer: bytes) -> bytes:
        at_s = now_s() - start_s
        is_on = any(0 <= at_s - each < _GARBLE_S for each in _STARTS_S)
        if not is_on or random.random() >= _GARBLED:
            return answer
        place.record.note(
            '{0} sends {1!r} after its answer to {2}'.format(
                backend.name, _SECOND, request.headers['x-request-id']
            )
        )
        return answer + _SECOND

    backend.spoil = spoil


async def _ask_all(place: Place, length_s: float) -> Counter[str]:
    broken: Counter[str] = Counter()
    end_s = now_s() + length_s
    asking = [
        _ask_for(place, 'c{0}'.format(number), end_s, broken)
        for number in range(_CALLERS)
    ]
    await asyncio.gather(*asking)
    return broken


async def _ask_for(
    place: Place, name: str, end_s: float, broken: Counter[str]
) -> None:
    caller: Connection = place.caller(random.choice(place.vms))
    number = 0
    while now_s() < end_s:
        number += 1
        path = random.choice(('q', 'c', 'o'))
        request_id = '{0}-{1}'.format(name, number)
        answer = await caller.ask(
            'POST' if path == 'o' else 'GET',
            '/{0}/x{1}'.format(path, number),
            {
                'Host': HOST,
                'X-Request-Id': request_id,
                'X-Request-Deadline': '2000',
            },
            b'one blank' if path == 'o' else b'',
        )
        runs = [
            run
            for backend in place.backends.values()
            for run in backend.runs[-200:]
            if run.request_id == request_id
        ]
        fault = _judge(answer, runs)
        if fault:
            broken[fault] += 1
        if fault or answer.status != HTTPStatus.OK:
            place.record.note(
                '{0} /{1}/ -> {2} {3} {4!r}; runs: {5}{6}'.format(
                    request_id,
                    path,
                    answer.status or answer.fault,
                    [
                        each
                        for each in answer.headers
                        if each[0] in ('x-response-stamp', 'x-part-stamps')
                    ],
                    answer.body,
                    [(run.stamp, run.status) for run in runs],
                    '; ' + fault if fault else '',
                )
            )
        await asyncio.sleep(0.005)
    caller.close()


def _judge(answer: Answer, runs: list[Run]) -> str:
    """Return what the rule MIXED forbids in an answer, empty if nothing."""
    by_stamp = {run.stamp: run for run in runs}
    is_success = HTTPStatus.OK <= answer.status < HTTPStatus.MULTIPLE_CHOICES
    parts = answer.first('x-part-stamps')
    for stamp in filter(None, parts.split(', ')):
        run = by_stamp.get(stamp)
        if is_success and (run is None or run.status != '200 OK'):
            return 'a part that is no good answer'
    if parts or not answer.status:
        return ''
    stamp = answer.first('x-response-stamp')
    run = by_stamp.get(stamp)
    if is_success and run is None:
        return 'a success without the signature of a run'
    if run is not None and run.status[:3] != str(answer.status):
        return (
            'a success where the backend failed'
            if is_success
            else 'a signed failure with another status'
        )
    return ''


if __name__ == '__main__':
    play(Path(__file__).resolve().parent, case)
