"""Makes a deployment nobody has seen from a site file given by its path.

    python -m tools.rewrite_site SITE VARIANT OUT

The output lies wherever OUT says; no site file belongs to this project.
"""

import sys
import tomllib
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import tomli_w

__all__ = ('VARIANTS', 'main', 'rewrite')

#: A site file, or a part of it, as decoded.
Table = dict[str, Any]

_STRETCH: Final = 1.5
_NAME: Final = 'name'
_ZONE: Final = 'zone'
_ZONES: Final = 'zones'
_COUNT: Final = 'count'
_SERVICES: Final = 'services'
_MACHINES: Final = 'machines'
_BOUNDS: Final = 'bounds'


def _narrow(site: Table) -> None:
    """Take the last data centre away; its part goes to the first."""
    names = [zone[_NAME] for zone in site[_ZONES]]
    kept, gone = names[0], names[-1]
    site[_ZONES].pop()
    for table in _tables(site):
        if table.get(_ZONE) == gone:
            table[_ZONE] = kept
    for service in site[_SERVICES]:
        service['slots'] += 1
    site[_BOUNDS]['drain_ms'] = 4000


def _wide(site: Table) -> None:
    """Half as many VMs more, fewer connections, longer pauses."""
    for machine in site[_MACHINES]:
        machine[_COUNT] += machine[_COUNT] // 2
    for service in site[_SERVICES]:
        service['conn_cap'] = service['conn_cap'] * 3 // 4
        _stretch(service, 'pause_ms')


def _tight(site: Table) -> None:
    """Fewer VMs, a smaller budget, slower connections, less time."""
    for machine in site[_MACHINES]:
        machine[_COUNT] = max(2, machine[_COUNT] - 1)
        machine['cpu_share'] *= 0.6  # noqa: WPS432 -- a smaller core
    bounds = site[_BOUNDS]
    bounds['budget_ratio'] = 0.1  # noqa: WPS432 -- half of the sites'
    bounds['budget_slack'] /= 2
    bounds['config_ms'] = 2500
    for service in site[_SERVICES]:
        _stretch(service, 'handshake_ms')


#: Changes a site in place.
Variant = Callable[[Table], None]

VARIANTS: Final[Mapping[str, Variant]] = MappingProxyType(
    {'narrow': _narrow, 'wide': _wide, 'tight': _tight},
)


def rewrite(site: Table, variant: str) -> Table:
    """Change a site in place and return it under another name."""
    VARIANTS[variant](site)
    site[_NAME] = '{0}-{1}'.format(site[_NAME], variant)
    return site


def main() -> None:
    """Read a site file, rewrite it and write it elsewhere."""
    if len(sys.argv) != 4 or sys.argv[2] not in VARIANTS:  # noqa: WPS432
        sys.exit('usage: SITE {0} OUT'.format('|'.join(VARIANTS)))
    source, variant, out = sys.argv[1:]
    site = tomllib.loads(Path(source).read_text())
    Path(out).write_text(tomli_w.dumps(rewrite(site, variant)))


def _stretch(table: Table, field: str) -> None:
    """Make a time half as long again, where there is one."""
    time_ms = table.get(field)
    if time_ms is not None:
        table[field] = time_ms * _STRETCH


def _tables(found: Any) -> Iterator[Table]:
    """Go through every table within a table or list."""
    if isinstance(found, dict):
        yield found
        for inner in found.values():
            yield from _tables(inner)
    elif isinstance(found, list):
        for each in found:
            yield from _tables(each)


if __name__ == '__main__':
    main()
