"""Findings on a configuration, which is read as the VMs would read it."""

from collections.abc import Iterator
from typing import Final

import msgspec

from ..catalog.catalog import CatalogItem
from ..catalog.findings import Finding, FindingKind
from ..catalog.positions import position
from ..catalog.route_changes import find_changes
from ..catalog.route_findings import find_problems
from ..catalog.routes import RouteTable
from ..gateway.clock import now_ms
from ..operations.events import EventLog
from .config_bodies import ConfigBody
from .entry_parser import EntryParser

__all__ = ('check',)

_KEY: Final = 'op/config'


def check(proposed: bytes, in_force: bytes | None = None) -> list[Finding]:
    """List the findings on a proposed configuration, the gravest first.

    :param proposed: its JSON text.
    :param in_force: that of the version in force, to compare with.
    """
    findings = list(_find(proposed, in_force))
    order = list(FindingKind)
    return sorted(findings, key=lambda each: order.index(each.kind))


def _find(proposed: bytes, in_force: bytes | None) -> Iterator[Finding]:
    table = _read(proposed)
    if isinstance(table, Finding):
        yield table
        return
    yield from _find_replaced(proposed)
    yield from find_problems(table)
    before = None if in_force is None else _read(in_force)
    if isinstance(before, Finding):
        yield Finding(before.kind, 'version in force', before.problem)
    elif before is not None:
        yield from find_changes(before, table)


def _read(text: bytes) -> RouteTable | Finding:
    """Read a configuration with the parser of the VMs."""
    lines: list[bytes] = []

    def write(line: bytes) -> int:  # noqa: WPS430 -- keeps the fault
        lines.append(line)
        return len(line)

    parse = EntryParser(EventLog(write, now_ms))
    table = parse(CatalogItem(_KEY, position(0, 1), text)).routes
    if table is not None:
        return table
    fault = msgspec.json.decode(lines[0])['fault']
    return Finding(FindingKind.ERROR, 'configuration', fault)


def _find_replaced(text: bytes) -> Iterator[Finding]:
    """List the routes that a later one with the same key replaces."""
    body = msgspec.json.decode(text, type=ConfigBody)
    later: set[tuple[str, str]] = set()
    for route in reversed(body.routes):
        key = (route.host.lower(), route.prefix)
        if key in later:
            yield Finding(
                FindingKind.NEVER_MATCHES,
                'route {0}'.format(route.name or ''.join(key)),
                'a later route has the same host and prefix',
            )
        later.add(key)
