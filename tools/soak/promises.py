"""What must hold of all that callers and backend servers saw."""

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Final

from .callers import Asked
from .place import LEAST_COVERAGE, ORDERS, Place
from .server_statements import check_statements
from .vms import Ending, Life
from .windows import within

__all__ = ('broken_promises',)

_NOT_RUN: Final = frozenset((408, 421, 429, 503))
_OK: Final = 200
_GONE: Final = 404
_UNAVAILABLE: Final = 503
_RECORD_BYTES: Final = 16
_TOP: Final = 10
#: Servers of one shard that a request may be sent to, as the routes say, and
#: requests for which the platform lets more be.
_ATTEMPTS: Final = 2
_EXCUSED: Final = 3
#: The platform's bounds of the stand-in's settings.
_APPLY_MS: Final = 3000.0
_DRAIN_MS: Final = 3000.0
#: Time within which an order to evacuate is in force.
_EVACUATE_MS: Final = 5000.0
_BUDGET_RATIO: Final = 0.2
_BUDGET_SLACK: Final = 108
_BUDGET_MS: Final = 10_000.0
#: A store that was disturbed lately excuses what is learned late.
_UNSTABLE_MS: Final = 6000.0
#: Callers wait this long for the answer to a request that has 1,200 ms.
_HELD_MS: Final = 2500.0


def broken_promises(place: Place, asked: Sequence[Asked]) -> Iterator[str]:
    """Tell each promise that was broken."""
    runs = _runs_of(place)
    for each in asked:
        yield from _check_order(each, runs)
        yield from _check_answer(each, place)
        yield from _check_end(each, place)
    yield from _check_place(place, asked)


def _check_place(place: Place, asked: Sequence[Asked]) -> Iterator[str]:
    """Check what only all requests together show."""
    yield from _check_versions(place, asked)
    yield from _check_drains(place)
    yield from _check_evacuations(place)
    yield from check_statements(place, asked)
    yield from _check_budgets(place)
    yield from _check_attempts(place)
    for vm in place.vms:
        if any(life.ending is Ending.UNASKED for life in vm.lives):
            yield '{0}: a process ended by itself or did not stop'.format(
                vm.host
            )


def _runs_of(place: Place) -> Counter[str]:
    """Count how often each request ran at the service for orders."""
    return Counter(
        run.request
        for name, server in place.platform.servers.items()
        if place.service(name) == ORDERS
        for run in server.runs
    )


def _check_order(asked: Asked, runs: Counter[str]) -> Iterator[str]:
    if not asked.path.startswith('/o/'):
        return
    if runs[asked.request] > 1:
        yield '{0}: ran {1} times'.format(asked.request, runs[asked.request])
    if asked.status in _NOT_RUN and runs[asked.request]:
        yield '{0}: refused with {1} and ran'.format(
            asked.request, asked.status
        )


def _check_answer(asked: Asked, place: Place) -> Iterator[str]:
    yield from _check_status(asked, place)
    yield from _check_query(asked, place)


def _check_status(asked: Asked, place: Place) -> Iterator[str]:
    """A signed answer has the status that its server gave."""
    stamp = asked.headers.get('x-response-stamp')
    if asked.status is None or stamp is None:
        return
    given = _status_given(place, stamp)
    if asked.status != given:
        yield '{0}: {1} where the server answered {2}'.format(
            asked.request, asked.status, given
        )


def _status_given(place: Place, stamp: str) -> int | None:
    server = place.platform.servers.get(stamp.partition('.')[0])
    return None if server is None else server.statuses.get(stamp)


def _check_query(asked: Asked, place: Place) -> Iterator[str]:
    if asked.status != _OK or not asked.path.startswith('/q/'):
        return
    stamps = asked.headers['x-part-stamps'].split(', ')
    services = [place.service(stamp.split('.')[0]) for stamp in stamps]
    missing = int(asked.headers['x-missing-parts'])
    count = len(services) + missing
    is_one_set = any(
        set(services) <= set(shards) and len(shards) == count
        for shards in place.sets
    )
    if len(set(services)) < len(services) or not is_one_set:
        yield '{0}: parts of no one set: {1}'.format(asked.request, services)
    if len(services) < count * LEAST_COVERAGE:
        yield '{0}: {1} parts of {2}'.format(
            asked.request, len(services), count
        )
    if any(_status_given(place, stamp) != _OK for stamp in stamps):
        yield '{0}: a part that failed'.format(asked.request)
    if asked.body != _greatest(stamps):
        yield '{0}: not the greatest records'.format(asked.request)


def _greatest(stamps: Sequence[str]) -> bytes:
    """Join what the servers that gave these stamps answered."""
    records = [
        stamp.encode().ljust(_RECORD_BYTES, b'.')[:_RECORD_BYTES]
        for stamp in (*stamps, *stamps)
    ]
    return b''.join(sorted(records, reverse=True)[:_TOP])


def _check_end(asked: Asked, place: Place) -> Iterator[str]:
    """A request that reached a server is answered, in time."""
    life = asked.life
    if life.ending in {Ending.KILLED, Ending.UNASKED} or not life.is_calm:
        return
    if asked.ended_ms - asked.sent_ms > _HELD_MS:
        yield '{0}: held {1:.0f} ms; the soak stalled for {2:.0f} ms'.format(
            asked.request,
            asked.ended_ms - asked.sent_ms,
            place.stalls.within_ms(asked.sent_ms, asked.ended_ms),
        )
    elif asked.status is None and _was_passed_on(asked, place):
        yield '{0}: passed on and cut'.format(asked.request)


def _was_passed_on(asked: Asked, place: Place) -> bool:
    return any(
        request == asked.request
        for server in place.platform.servers.values()
        for _at_ms, request in server.arrived
    )


def _check_versions(place: Place, asked: Sequence[Asked]) -> Iterator[str]:
    """A route that is in force at a process stays so, and is so in time."""
    newest: dict[int, tuple[int, float]] = {}
    for each in sorted(asked, key=lambda one: one.ended_ms):
        version = _marker(each)
        if version is None:
            continue
        known = newest.get(id(each.life), (0, 0))
        if each.status == _GONE:
            yield from _check_refused(each, version, known, place)
        else:
            newest[id(each.life)] = max(known, (version, each.ended_ms))


def _check_refused(
    asked: Asked, version: int, known: tuple[int, float], place: Place
) -> Iterator[str]:
    """Check a request whose route was not known.

    :param known: the newest version that the process had shown to know, and
        when.
    """
    if version <= known[0] and asked.sent_ms > known[1]:
        yield '{0}: back behind {1}'.format(asked.request, known[0])
    elif _is_overdue(asked, version, place):
        yield '{0}: {1} not in force'.format(asked.request, version)


def _marker(asked: Asked) -> int | None:
    """Return the version whose route a request shows to be in force or not."""
    is_shown = asked.status is not None and asked.status != _UNAVAILABLE
    if not is_shown or not asked.path.startswith('/m'):
        return None
    return int(asked.path.removeprefix('/m').partition('/')[0])


def _is_overdue(asked: Asked, version: int, place: Place) -> bool:
    since_ms = max(place.published_ms[version - 1], asked.life.started_ms)
    if asked.sent_ms < since_ms + _APPLY_MS or not asked.life.is_calm:
        return False
    return not _was_unstable(place, since_ms, asked.sent_ms)


def _was_unstable(place: Place, from_ms: float, to_ms: float) -> bool:
    return any(
        began_ms < to_ms and from_ms < ended_ms + _UNSTABLE_MS
        for began_ms, ended_ms in place.store_spells
    )


def _check_drains(place: Place) -> Iterator[str]:
    for name, at_ms in place.drained_ms.items():
        by_ms = at_ms + _DRAIN_MS
        late = _count_after(by_ms, place.platform.servers[name].arrived)
        if late and not _is_excused(place, at_ms, by_ms):
            yield '{0}: {1} requests after it had left'.format(name, late)


def _check_evacuations(place: Place) -> Iterator[str]:
    for zone, began_ms, ended_ms in place.evacuated_ms:
        if _is_excused(place, began_ms, began_ms + _EVACUATE_MS):
            continue
        is_late = within(began_ms + _EVACUATE_MS, ended_ms)
        late = [each for each in _list_arrived(place, zone) if is_late(each[0])]
        if late:
            yield '{0} was evacuated and got {1}'.format(zone, late)


def _list_arrived(place: Place, zone: str) -> Iterator[tuple[float, str]]:
    for name, server in place.platform.servers.items():
        if place.zone_of[name] == zone:
            yield from server.arrived


def _count_after(at_ms: float, arrived: Sequence[tuple[float, str]]) -> int:
    return sum(came_ms > at_ms for came_ms, _ in arrived)


def _is_excused(place: Place, at_ms: float, by_ms: float) -> bool:
    is_calm = all(_is_calm_since(vm.lives, at_ms) for vm in place.vms)
    return not is_calm or _was_unstable(place, at_ms, by_ms)


def _is_calm_since(lives: Sequence[Life], at_ms: float) -> bool:
    """Whether one process ran all the while, never paused."""
    return lives[-1].is_calm and lives[-1].started_ms < at_ms


def _check_attempts(place: Place) -> Iterator[str]:
    sent = set(_list_sent(place))
    tried = Counter(each[:2] for each in sent)
    over = {key for key in tried if tried[key] > _ATTEMPTS}
    if len(dict(over)) > _EXCUSED:
        yield 'sent to too many servers: {0}'.format(sorted(over))


def _list_sent(place: Place) -> Iterator[tuple[str, str, str]]:
    """List the request, service and server of each arrival."""
    for name, server in place.platform.servers.items():
        for arrival in server.arrived:
            yield arrival[1], place.service(name), name


def _check_budgets(place: Place) -> Iterator[str]:
    for service in set(place.service_of.values()):
        arrived = sorted(
            each
            for name, server in place.platform.servers.items()
            if place.service(name) == service
            for each in server.arrived
        )
        yield from _check_budget(service, arrived, _extras_of(arrived))


def _extras_of(arrived: Sequence[tuple[float, str]]) -> list[float]:
    """Tell when requests arrived that had arrived before."""
    first: set[str] = set()
    extras_ms = []
    for at_ms, request in arrived:
        if request in first:
            extras_ms.append(at_ms)
        first.add(request)
    return extras_ms


def _check_budget(
    service: str,
    arrived: Sequence[tuple[float, str]],
    extras_ms: Sequence[float],
) -> Iterator[str]:
    for start_ms in extras_ms:
        is_within = within(start_ms, start_ms + _BUDGET_MS)
        spent = sum(map(is_within, extras_ms))
        paid = sum(is_within(at_ms) for at_ms, _ in arrived) - spent
        if spent > _BUDGET_RATIO * paid + _BUDGET_SLACK:
            yield '{0}: {1} extra attempts at {2} requests'.format(
                service, spent, paid
            )
            return
