"""What the demo shows, each step checked."""

from typing import Final

from dandelionstage.cli.exit_codes import ExitCode
from tools.fleet import Fleet, bg_south, kill

from .checks import alive, coverage_of, query, require, say, starts_of
from .command import CommandLine

__all__ = ('STEPS', 'demo_fleet')

_LOST_SHARD: Final = 'finder-desk-20'
_LOST_VM: Final = 'plovdiv-a.2'
_SHARDS: Final = 20
_SERVICE: Final = 'ringer-portal'
_ACTION: Final = ('act', _SERVICE, '{"letter": "SOF 4711"}', '--json')


def demo_fleet() -> Fleet:
    """Describe two data centres with two daemons each."""
    scenario = bg_south(
        data_centres=2,
        vms=2,
        shards=_SHARDS,
        sync_shards=0,
        apart=(_LOST_SHARD,),
    )
    return Fleet(scenario)


def ask_whole(fleet: Fleet) -> None:
    """A query over every shard has a whole answer of one snapshot."""
    answer = query(fleet, ExitCode.DONE)
    require('every shard was asked', answer['coverage']['total'] == _SHARDS)
    say(coverage_of(answer))


def lose_daemon(fleet: Fleet) -> None:
    """A daemon is killed, and the next answer is whole again."""
    kill(fleet.members[_LOST_VM])
    say('killed the daemon {0}'.format(_LOST_VM))
    say(coverage_of(query(fleet, ExitCode.DONE)))


def lose_shard(fleet: Fleet) -> None:
    """Both servers of a shard are killed: the answer names the shard."""
    for replica in 'ab':
        kill(fleet.members['{0}.{1}'.format(_LOST_SHARD, replica)])
    say('killed both backend servers of {0}'.format(_LOST_SHARD))
    answer = query(fleet, ExitCode.PARTIAL)
    say(coverage_of(answer))
    missing = answer['coverage']['missing']
    require('only the lost shard is missing', missing == [_LOST_SHARD])


def act_twice(fleet: Fleet) -> None:
    """An action is sent twice with its ticket, and runs once."""
    finders = CommandLine(fleet, 'finders')
    first = finders.ask(alive(fleet), *_ACTION).expect(ExitCode.DONE)
    again = (*_ACTION, '--ticket', first['ticket'])
    outcome = finders.ask(reversed(alive(fleet)), *again)
    second = outcome.expect(ExitCode.DONE)
    require('one outcome', first['outcome'] == second['outcome'])
    require('it ran once', starts_of(fleet, _SERVICE) == 1)
    say('sent twice, run once: {0}'.format(first['outcome']))


def report(fleet: Fleet) -> None:
    """The report judges every contract as kept."""
    operator = CommandLine(fleet, 'finders')
    outcome = operator.operate(alive(fleet), 'report')
    for line in outcome.text.splitlines():
        say(line)
    require('every contract is kept', outcome.exit_code == ExitCode.DONE)


#: In the order shown.
STEPS: Final = (ask_whole, lose_daemon, lose_shard, act_twice, report)
