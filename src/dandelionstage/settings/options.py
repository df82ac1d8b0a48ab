"""Parses the command line of the daemon."""

import sys
from argparse import ArgumentParser
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from returns.pipeline import is_successful

from .model import Settings
from .reader import SettingsFaults, read_settings

__all__ = ('EXIT_BAD_SETTINGS', 'settings_from_arguments')

#: Exit code of the daemon for invalid settings or options.
EXIT_BAD_SETTINGS: Final = 2


def settings_from_arguments(arguments: Sequence[str]) -> Settings:
    """Read the settings file given on the command line.

    :raises SystemExit: with code 2 after all faults were written to standard
        error; no port has been opened by then.
    """
    path: Path = _build_parser().parse_args(arguments).settings
    result = read_settings(path)
    if not is_successful(result):
        _print_faults(path, result.failure())
        sys.exit(EXIT_BAD_SETTINGS)
    return result.unwrap()


def _build_parser() -> ArgumentParser:
    parser = ArgumentParser(
        prog='dandelionstaged',
        description='Run the daemon of one entry VM.',
        epilog='Exit codes: 0 after a requested stop, 2 for invalid settings.',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        required=True,
        metavar='FILE',
        help='settings file of the daemon in YAML, as in examples/vm.yaml',
    )
    return parser


def _print_faults(path: Path, faults: SettingsFaults) -> None:
    lines = ['{0}: {1} fault(s)'.format(path, len(faults))]
    lines.extend('  {0}'.format(fault) for fault in faults)
    sys.stderr.write('{0}\n'.format('\n'.join(lines)))
