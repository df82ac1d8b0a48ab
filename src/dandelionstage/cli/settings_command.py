"""The ``settings check`` command."""

from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer

from ..settings.reader import SettingsFaults, read_settings
from .exit_codes import ExitCode
from .options import AsJson
from .output import show

__all__ = ('settings_app',)

settings_app = typer.Typer(
    help='Check the settings file of a daemon.',
    no_args_is_help=True,
)

_File = Annotated[Path, typer.Argument(help='As in examples/vm.yaml.')]


@settings_app.command('check')
def check(path: _File, as_json: AsJson = False) -> None:
    """List every fault of a settings file: where, what, what is allowed.

    Example: dandelionstage settings check examples/vm.yaml
    """
    faults = read_settings(path).swap().value_or(())
    body = {'path': str(path), 'faults': [asdict(fault) for fault in faults]}
    show(body, _lines(path, faults), as_json=as_json)
    if faults:
        raise typer.Exit(ExitCode.BAD_INPUT)


def _lines(path: Path, faults: SettingsFaults) -> list[str]:
    if not faults:
        return ['{0}: valid'.format(path)]
    head = '{0}: {1} fault(s)'.format(path, len(faults))
    return [head, *('  {0}'.format(fault) for fault in faults)]
