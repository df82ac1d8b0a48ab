"""A fleet that starts again keeps using a backend that has reported draining."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from review.standins.http import now_s
from review.standins.place import HOST, Place, Vm, play, route

_DRAIN_S = 3.0
_STABILITY_S = 4.0
#: As in the users' site files: so many items in a page of the store.
_PAGE = 50
_BACKENDS = 60
#: Age of a read of a page that may be old.
_LAG_S = 3.0
#: The backend goes on serving so long after the store accepted its report.
_SERVES_S = 14.0


async def case(place: Place) -> str:
    """Kill all processes just after a backend has reported draining."""
    backends = [
        await place.add_backend('s{0}'.format(number // 2))
        for number in range(_BACKENDS)
    ]
    # The keys are read in this order, so its entry is on the second page.
    leaving = max(backends, key=lambda each: each.name)
    place.store.page = _PAGE
    place.store.late_page_lag_s = _LAG_S
    place.publish(3, [route('c', 'safe', service=leaving.service)])
    await asyncio.sleep(_LAG_S + 1)
    place.add_vms(3)
    for vm in place.vms:
        await place.until_ready(vm)
    await asyncio.sleep(_STABILITY_S + 1)
    place.store.put(
        'servers/' + leaving.name,
        leaving.entry('a', state='draining', seq=9),
    )
    drained_s = now_s()
    place.record.note('{0} reports draining'.format(leaving.name))
    if place.has_trouble:
        await asyncio.sleep(0.5)
        for vm in place.vms:
            vm.end()
        place.record.note('all processes killed')
        await asyncio.sleep(0.3)
        for vm in place.vms:
            vm.start()
        place.record.note('all processes started again')
        for vm in place.vms:
            await place.until_ready(vm)
    in_touch_s = now_s() + _STABILITY_S
    asking = [_ask_for(place, vm, drained_s, in_touch_s) for vm in place.vms]
    await asyncio.gather(*asking)
    bound_s = max(drained_s + _DRAIN_S, in_touch_s)
    late = [each for each in leaving.arrivals if each[0] > bound_s]
    place.record.note(
        'sent by machines in touch, arrived at {0} later than drainMs: {1}; '
        'the last {2:.1f} s after its report'.format(
            leaving.name,
            len(late),
            leaving.arrivals[-1][0] - drained_s if leaving.arrivals else 0,
        )
    )
    return 'DRAIN: {0} requests'.format(len(late)) if late else ''


async def _ask_for(
    place: Place, vm: Vm, drained_s: float, in_touch_s: float
) -> None:
    number = 0
    while now_s() < drained_s + _SERVES_S:
        number += 1
        request_id = '{0}-{1}'.format(vm.name, number)
        sent_s = now_s()
        caller = place.caller(vm)
        answer = await caller.ask(
            'GET',
            '/c/x{0}'.format(number),
            {
                'Host': HOST,
                'X-Request-Id': request_id,
                'X-Request-Deadline': '2000',
            },
        )
        caller.close()
        place.record.note(
            '{0:.2f} s after the report{1} {2} -> {3}, run by {4}'.format(
                sent_s - drained_s,
                ' (in touch)' if sent_s > in_touch_s else '',
                request_id,
                answer.status or answer.fault,
                [
                    backend.name
                    for backend in place.backends.values()
                    for run in backend.runs[-50:]
                    if run.request_id == request_id
                ],
            )
        )
        await asyncio.sleep(0.1)


if __name__ == '__main__':
    play(Path(__file__).resolve().parent, case)
