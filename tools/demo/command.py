"""Runs the real command line against a fleet."""

import json
import os
import shlex
import subprocess  # noqa: S404 -- the demo shows the real command line
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final, final

from tools.fleet import Fleet
from tools.fleet.clients import base_url

__all__ = ('CommandLine', 'DemoError', 'Outcome')

_WAIT_S: Final = 20.0
_INDENT: Final = '    '


@final
class DemoError(Exception):
    """Something that the demo shows did not hold."""


@final
@dataclass(frozen=True, slots=True)
class Outcome:
    """How a command ended.

    :ivar text: its standard output.
    """

    exit_code: int
    text: str

    def read(self) -> Any:
        """Read its output as JSON."""
        try:
            return json.loads(self.text)
        except ValueError as error:
            raise DemoError('no JSON: {0}'.format(self.text)) from error

    def expect(self, exit_code: int) -> Any:
        """Read its output if it ended with this exit code."""
        if self.exit_code != exit_code:
            problem = 'exit code {0}, not {1}: {2}'
            raise DemoError(
                problem.format(self.exit_code, exit_code, self.text),
            )
        return self.read()


@final
class CommandLine:
    """The command line as one customer uses it."""

    def __init__(self, fleet: Fleet, customer: str) -> None:
        """Present the customer's key."""
        self._fleet = fleet
        self._environment = {
            **os.environ,
            'PYTHONPATH': 'src:.',
            'DANDELIONSTAGE_KEY': fleet.scenario.key_of(customer),
        }

    def ask(self, vms: Iterable[str], *arguments: str) -> Outcome:
        """Run a command on the caller ports, the first VM preferred."""
        ports = [self._fleet.vms[vm].caller_port for vm in vms]
        return self._run('DANDELIONSTAGE_ENTRY', ports, arguments)

    def operate(self, vms: Iterable[str], *arguments: str) -> Outcome:
        """Run a command on the operator ports."""
        ports = [self._fleet.vms[vm].operator_port for vm in vms]
        return self._run('DANDELIONSTAGE_OPERATOR', ports, arguments)

    def _run(
        self,
        variable: str,
        ports: Iterable[int],
        arguments: Iterable[str],
    ) -> Outcome:
        sys.stdout.write(
            '  $ dandelionstage {0}\n'.format(shlex.join(arguments))
        )
        sys.stdout.flush()
        ended = subprocess.run(
            (sys.executable, '-m', 'dandelionstage.cli.main', *arguments),
            env={**self._environment, variable: ' '.join(map(base_url, ports))},
            stdout=subprocess.PIPE,
            timeout=_WAIT_S,
            check=False,
            text=True,
        )
        return Outcome(ended.returncode, ended.stdout)
