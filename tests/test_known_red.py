"""The list of known failures is well formed and names tests that exist."""

import pytest

from .known_red import PATH, read_known_red


def test_entries_are_read_and_comments_passed_over():
    text = '# a comment\n\ntests/test_a.py::test_b | pytest | seen | 9\n'
    entry = read_known_red(text)[0]
    assert entry.test == 'tests/test_a.py::test_b'
    assert entry.issue == '9'


@pytest.mark.parametrize('line', ['tests/a.py', 'a | b | c', 'a | b | | 9'])
def test_an_entry_that_lacks_something_is_refused(line):
    with pytest.raises(ValueError, match='four fields'):
        read_known_red(line)


def test_every_entry_names_a_test_that_exists():
    root = PATH.parent
    entries = read_known_red(PATH.read_text()) if PATH.exists() else []
    for entry in entries:
        path, _, name = entry.test.partition('::')
        assert 'def {0}('.format(name) in (root / path).read_text()
