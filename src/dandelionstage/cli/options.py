"""Options that several commands share."""

import json
from pathlib import Path
from typing import Annotated, Any, Final

import typer

__all__ = (
    'AsJson',
    'Entries',
    'Key',
    'KeyFile',
    'Operators',
    'read_json',
    'read_key',
)

#: Where an entry listens by default.
_ENTRY: Final = 'http://127.0.0.1:8080'
#: Where a daemon's operator port is by default.
_OPERATOR: Final = 'http://127.0.0.1:9400'

AsJson = Annotated[
    bool,
    typer.Option('--json', help='Print one JSON object instead of text.'),
]
Entries = Annotated[
    list[str],
    typer.Option(
        '--entry',
        envvar='DANDELIONSTAGE_ENTRY',
        default_factory=lambda: [_ENTRY],
        help='URL of a caller port; give several to fall back on.',
    ),
]
Operators = Annotated[
    list[str],
    typer.Option(
        '--operator',
        envvar='DANDELIONSTAGE_OPERATOR',
        default_factory=lambda: [_OPERATOR],
        help='URL of an operator port; give one for each daemon.',
    ),
]
Key = Annotated[
    str,
    typer.Option(
        '--key',
        envvar='DANDELIONSTAGE_KEY',
        help='The customer key; the variable keeps it out of process lists.',
    ),
]
KeyFile = Annotated[
    Path | None,
    typer.Option(
        help='A file that holds the customer key, in place of --key.',
        exists=True,
        dir_okay=False,
    ),
]


def read_key(key: str, key_file: Path | None) -> str:
    """Choose the customer key from the options given."""
    if key_file is not None:
        key = key_file.read_text().strip()
    if not key:
        raise typer.BadParameter('give --key-file or DANDELIONSTAGE_KEY')
    return key


def read_json(text: str) -> Any:
    """Read an argument that must be JSON."""
    try:
        return json.loads(text)
    except ValueError as error:
        problem = 'not JSON: {0}'.format(error)
        raise typer.BadParameter(problem) from error
