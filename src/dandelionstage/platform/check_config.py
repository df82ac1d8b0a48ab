"""Checks a configuration before it is sent, as the VMs would read it."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import msgspec

from ..catalog.findings import Finding, FindingKind
from .config_check import check

__all__ = ('main',)

#: As the other commands: 1 for findings, 2 for input that cannot be read.
_EXIT_FINDINGS: Final = 1
_EXIT_INVALID: Final = 2


def main() -> None:
    """Print the findings on a file; exit with 1 if one is a fault."""
    options = _parse_arguments()
    try:
        texts = [path.read_bytes() for path in _paths(options)]
    except OSError as fault:
        sys.stderr.write('{0}: {1}\n'.format(fault.filename, fault.strerror))
        sys.exit(_EXIT_INVALID)
    findings = check(*texts)
    sys.stdout.write(_render(findings, as_json=options.json))
    kinds = {each.kind for each in findings}
    if FindingKind.ERROR in kinds:
        sys.exit(_EXIT_INVALID)
    sys.exit(_EXIT_FINDINGS if kinds - {FindingKind.CHANGE} else 0)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='python3 -m dandelionstage.platform.check_config',
        description=__doc__,
        epilog='Exit codes: 0 no fault; 1 entries that never match, or '
        'contradictions; 2 a file that the VMs could not read.',
    )
    parser.add_argument('proposed', type=Path)
    parser.add_argument('--in-force', type=Path, help='to compare with')
    parser.add_argument('--json', action='store_true')
    return parser.parse_args()


def _paths(options: argparse.Namespace) -> list[Path]:
    return [
        path
        for path in (options.proposed, options.in_force)
        if path is not None
    ]


def _render(findings: Sequence[Finding], *, as_json: bool) -> str:
    if as_json:
        return '{0}\n'.format(msgspec.json.encode(findings).decode())
    lines = [
        '{0}: {1}: {2}\n'.format(each.kind.value, each.place, each.problem)
        for each in findings
    ]
    return ''.join(lines) or 'no findings\n'


if __name__ == '__main__':
    main()
