"""Finds and runs the tests that cells name."""

import io
from collections.abc import Iterable
from contextlib import redirect_stdout
from dataclasses import dataclass, field
from typing import Final, final

import pytest

__all__ = ('Outcome', 'run_tests')

_COLLECT_ONLY: Final = '--collect-only'


@final
@dataclass(slots=True)
class Outcome:
    """What pytest found and how it ended.

    :ivar failed: tests that did not pass.
    """

    found: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Note the tests found, by function as well as by case."""
        for test in session.items:
            self.found.add(test.nodeid)
            self.found.add(test.nodeid.partition('[')[0])

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note a test that did not pass."""
        if not report.passed:
            self.failed.add(report.nodeid)


def run_tests(tests: Iterable[str], *, collect_only: bool) -> Outcome:
    """Find the tests named and, unless told otherwise, run them.

    All tests of the files named are collected, so that a test that does not
    exist is found out without stopping the others.
    """
    named = set(tests)
    files = {test.partition('::')[0] for test in named}
    outcome = Outcome()
    _run([_COLLECT_ONLY, *sorted(files)], outcome)
    if not collect_only:
        _run(sorted(named & outcome.found), outcome)
    return outcome


def _run(arguments: list[str], outcome: Outcome) -> None:
    with redirect_stdout(io.StringIO()):
        pytest.main(arguments, plugins=[outcome])
