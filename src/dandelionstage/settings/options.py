"""The daemon's command-line options."""

import sys
from argparse import ArgumentParser
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from returns.pipeline import is_successful

from .model import Settings
from .reader import SettingsFaults, read_settings

__all__ = ('EXIT_BAD_SETTINGS', 'settings_from_arguments')

#: The daemon's exit code when its settings have faults.
EXIT_BAD_SETTINGS: Final = 2


def settings_from_arguments(arguments: Sequence[str]) -> Settings:
    """Read the settings named on the command line.

    :raises SystemExit: with code 2 after listing every fault on the error
        output; no port has been opened by then.
    """
    path: Path = _parser().parse_args(arguments).settings
    outcome = read_settings(path)
    if not is_successful(outcome):
        _list_faults(path, outcome.failure())
        sys.exit(EXIT_BAD_SETTINGS)
    return outcome.unwrap()


def _parser() -> ArgumentParser:
    parser = ArgumentParser(
        prog='dandelionstaged',
        description='The daemon of one entry VM.',
        epilog='Exit codes: 0 stopped as asked, 2 faults in the settings.',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        required=True,
        metavar='FILE',
        help='settings of this daemon in YAML, as in examples/vm.yaml',
    )
    return parser


def _list_faults(path: Path, faults: SettingsFaults) -> None:
    lines = ['{0}: {1} fault(s)'.format(path, len(faults))]
    lines.extend('  {0}'.format(fault) for fault in faults)
    sys.stderr.write('{0}\n'.format('\n'.join(lines)))
