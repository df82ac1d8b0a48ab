"""Takes guards out on a copy to see that their tests fail."""

import os
import shutil
import subprocess
import sys
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

from .declared import Guard

__all__ = ('find_unseen',)

_COPIED: Final = ('src', 'tests', 'tools')
_TESTS_FAILED: Final = 1
_PASSED: Final = b' passed'
_AT_ONCE: Final = 3

_ignore_compiled: Final = shutil.ignore_patterns('__pycache__')

# Shrinking a failing case takes most of the time and changes no verdict.
_QUICK: Final = """from hypothesis import Phase, settings

settings.register_profile('quick', phases=(Phase.explicit, Phase.generate))
settings.load_profile('quick')
"""


def find_unseen(guards: Iterable[Guard]) -> tuple[Guard, ...]:
    """List the guards without which one of their tests still passes."""
    taken = tuple(guards)
    with ThreadPoolExecutor(_AT_ONCE) as executor:
        seen = executor.map(_is_seen, taken)
        return tuple(
            guard
            for guard, was_seen in zip(taken, seen, strict=True)
            if not was_seen
        )


def _is_seen(guard: Guard) -> bool:
    with TemporaryDirectory() as name:
        copy = Path(name)
        for folder in _COPIED:
            shutil.copytree(folder, copy / folder, ignore=_ignore_compiled)
        shutil.copy('pyproject.toml', copy)
        (copy / 'conftest.py').write_text(_QUICK)
        return _take_out(guard, copy) and _fails(guard, copy)


def _take_out(guard: Guard, copy: Path) -> bool:
    path = copy / guard.path
    text = path.read_text()
    path.write_text(text.replace(guard.text, guard.without, 1))
    return guard.text in text


def _fails(guard: Guard, copy: Path) -> bool:
    command = [sys.executable, '-m', 'pytest', *guard.tests]
    ended = subprocess.run(
        command,
        cwd=copy,
        env={**os.environ, 'PYTHONPATH': 'src'},
        capture_output=True,
        check=False,
    )
    return ended.returncode == _TESTS_FAILED and _PASSED not in ended.stdout
