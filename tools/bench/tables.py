"""Results as tables, for people and for other programs."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import final

__all__ = ('Finding', 'Table', 'render', 'save')


@final
@dataclass(frozen=True, slots=True)
class Finding:
    """One target against what was measured."""

    target: str
    measured: str
    met: bool


@final
@dataclass(frozen=True, slots=True)
class Table:
    """The rows of one experiment, a variant each, and its findings."""

    experiment: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    findings: tuple[Finding, ...] = ()


def render(table: Table) -> str:
    """Lay a table out as Markdown."""
    lines = [
        '## {0}'.format(table.experiment),
        '',
        _line(table.columns),
        _line(('---',) * len(table.columns)),
        *map(_line, table.rows),
        '',
    ]
    for finding in table.findings:
        lines.append(
            '- {0}: {1} ({2})'.format(
                'met' if finding.met else 'MISSED',
                finding.target,
                finding.measured,
            ),
        )
    return '\n'.join(lines)


def save(table: Table, folder: Path) -> Path:
    """Write a table as JSON into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / '{0}.json'.format(table.experiment.replace(' ', '-'))
    path.write_text(json.dumps(asdict(table), indent=2))
    return path


def _line(cells: tuple[str, ...]) -> str:
    return '| {0} |'.format(' | '.join(cells))
