"""Asks a fleet and checks what it answers."""

import sys
from typing import Any, Final

from tools.fleet import Fleet

from .command import CommandLine, DemoError

__all__ = ('alive', 'coverage_of', 'query', 'require', 'say', 'starts_of')

_QUERY: Final = ('query', 'finder-desk', '{"ring": "SOF 4711"}', '--json')


def say(line: str) -> None:
    """Print one line of what happens."""
    sys.stdout.write('    {0}\n'.format(line))
    sys.stdout.flush()


def require(what: str, holds: bool) -> None:
    """Stop the demo when something does not hold."""
    if not holds:
        raise DemoError('did not hold: {0}'.format(what))


def query(fleet: Fleet, exit_code: int) -> Any:
    """Run the demo's query; dead entries are left to the command line."""
    finders = CommandLine(fleet, 'finders')
    return finders.ask(fleet.vms, *_QUERY).expect(exit_code)


def coverage_of(answer: Any) -> str:
    """Sum up what an answer says of itself."""
    coverage = answer['coverage']
    line = '{0} records, {1} of {2} shards, snapshot {3}'.format(
        len(answer['records']),
        coverage['answered'],
        coverage['total'],
        answer['snapshot'],
    )
    if coverage['missing']:
        return '{0}, missing {1}'.format(line, coverage['missing'])
    return line


def alive(fleet: Fleet) -> list[str]:
    """List the daemons that run."""
    return [vm for vm in fleet.vms if fleet.members[vm].running]


def starts_of(fleet: Fleet, workload: str) -> int:
    """Ask the backend servers of a workload how often anything started."""
    starts = 0
    for place in fleet.layout.backends:
        if place.shape.workload == workload:
            with fleet.backend(place.backend) as server:
                starts += server.maxima()['starts']
    return starts
