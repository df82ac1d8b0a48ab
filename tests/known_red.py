"""Reads the list of tests that are known to fail."""

from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_SEPARATOR = '|'
_COMMENT = '#'


@dataclass(frozen=True)
class KnownRed:
    """One test that fails for a fault that is not mended yet."""

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(text):
    """Read the entries; one that is not complete is an error."""
    lines = [line.strip() for line in text.splitlines()]
    return [
        _read_entry(line)
        for line in lines
        if line and not line.startswith(_COMMENT)
    ]


def _read_entry(line):
    fields = [each.strip() for each in line.split(_SEPARATOR)]
    if len(fields) != 4 or not all(fields):
        raise ValueError('four fields are needed: {0}'.format(line))
    return KnownRed(*fields)
