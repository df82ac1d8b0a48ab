"""A store that is silent for a moment keeps a small fleet on an old version."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from review.standins.http import now_s
from review.standins.place import HOST, Place, Vm, play, route

_APPLY_S = 3.0
_DRAIN_S = 3.0
_STABILITY_S = 4.0
_SILENCE_S = 0.5
#: After the silence: longer than ``stabilityWindowMs``, so that all machines
#: are in touch.
_CHANGE_AFTER_S = _STABILITY_S + 0.2


async def case(place: Place) -> str:
    """Change the configuration after a short outage of the store."""
    old = await place.add_backend('old')
    leaving = await place.add_backend('kept')
    await place.add_backend('kept')
    await place.add_backend('new')
    kept = route('kept', 'safe', service='kept')
    place.publish(3, [route('moved', 'safe', service='old'), kept])
    place.add_vms(2)
    for vm in place.vms:
        await place.until_ready(vm)
    await asyncio.sleep(_STABILITY_S + 2)
    # A backend is added, as on any day.
    await place.add_backend('kept')
    await asyncio.sleep(0.35)
    if place.has_trouble:
        place.record.note('the store is silent')
        await place.store.be_silent(_SILENCE_S)
        place.record.note('the store answers again')
    await asyncio.sleep(_CHANGE_AFTER_S)
    place.publish(7, [route('moved', 'safe', service='new'), kept])
    place.store.put(
        'servers/' + leaving.name,
        leaving.entry('a', state='draining', seq=9),
    )
    changed_s = now_s()
    place.record.note('{0} reports draining'.format(leaving.name))
    late: list[str] = []
    asking = [_ask_for(place, vm, changed_s, late) for vm in place.vms]
    await asyncio.gather(*asking)
    drained = [
        each for each in leaving.arrivals if each[0] > changed_s + _DRAIN_S
    ]
    place.record.note(
        'sent later than configApplyMs and run by the old service ({0}): {1}; '
        'arrived at the draining backend later than drainMs: {2}'.format(
            old.name, len(late), len(drained)
        )
    )
    if late:
        return 'CONFIG: {0} requests; DRAIN: {1} requests'.format(
            len(late), len(drained)
        )
    return 'DRAIN: {0} requests'.format(len(drained)) if drained else ''


async def _ask_for(
    place: Place, vm: Vm, changed_s: float, late: list[str]
) -> None:
    number = 0
    while now_s() < changed_s + 10:
        for name in ('moved', 'kept'):
            number += 1
            request_id = '{0}-{1}'.format(vm.name, number)
            sent_s = now_s()
            caller = place.caller(vm)
            answer = await caller.ask(
                'GET',
                '/{0}/x{1}'.format(name, number),
                {
                    'Host': HOST,
                    'X-Request-Id': request_id,
                    'X-Request-Deadline': '2000',
                },
            )
            caller.close()
            by = [
                backend
                for backend in place.backends.values()
                for run in backend.runs[-50:]
                if run.request_id == request_id
            ]
            place.record.note(
                '{0:.2f} s after the change {1} /{2}/ -> {3}, run by {4}'.format(
                    sent_s - changed_s,
                    request_id,
                    name,
                    answer.status or answer.fault,
                    [(each.name, each.service) for each in by],
                )
            )
            is_late = sent_s > changed_s + _APPLY_S
            if is_late and any(each.service == 'old' for each in by):
                late.append(request_id)
        await asyncio.sleep(0.05)


if __name__ == '__main__':
    play(Path(__file__).resolve().parent, case)
