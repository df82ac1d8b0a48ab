"""What differs between two versions of the routes."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import fields
from typing import Any

from .findings import Finding, FindingKind
from .routes import RouteTable

__all__ = ('find_changes',)


def find_changes(before: RouteTable, after: RouteTable) -> Iterator[Finding]:
    """List how a version differs from the one in force."""
    if after.version <= before.version:
        yield Finding(
            FindingKind.CONTRADICTION,
            'version',
            '{0} is not above {1}, which is in force, and would be '
            'ignored'.format(after.version, before.version),
        )
    yield from _compare(
        'route',
        {route.host + route.prefix: route for route in before},
        {route.host + route.prefix: route for route in after},
    )
    yield from _compare('service', before.services, after.services)
    yield from _compare('', {'limits': before.limits}, {'limits': after.limits})


def _compare(
    kind: str, before: Mapping[Any, Any], after: Mapping[Any, Any]
) -> Iterator[Finding]:
    for name in sorted({*before, *after}):
        place = '{0} {1}'.format(kind, name).strip()
        if name not in after:
            yield Finding(FindingKind.CHANGE, place, 'removed')
        elif name not in before:
            yield Finding(FindingKind.CHANGE, place, 'added')
        else:
            for problem in _differences(before[name], after[name]):
                yield Finding(FindingKind.CHANGE, place, problem)


def _differences(before: Any, after: Any) -> Iterable[str]:
    """List the fields of a data class that differ."""
    for each in fields(before):
        old = getattr(before, each.name)
        new = getattr(after, each.name)
        if old != new:
            yield '{0}: {1} to {2}'.format(each.name, _show(old), _show(new))


def _show(content: Any) -> str:
    return str(getattr(content, 'value', content))
