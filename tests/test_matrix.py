"""The page of the fault matrix says what the tests prove."""

import subprocess
import sys

import pytest

from tools.matrix.axes import Fault, Step
from tools.matrix.cells import Entry, Standing, arrange
from tools.matrix.declared import CellError, make_entry


def test_page_and_tests_named_are_up_to_date():
    command = [sys.executable, '-m', 'tools.matrix', '--check']
    ended = subprocess.run(command, capture_output=True, text=True)
    assert ended.returncode == 0, ended.stderr


def test_cell_without_entry_is_not_proved():
    cells = arrange([Entry(Step.PIN, Fault.KILL, test='tests/t.py::t')])
    proved = [cell for cell in cells if cell.standing is Standing.PROVED]
    assert [(cell.step, cell.fault) for cell in proved] == [
        (Step.PIN, Fault.KILL),
    ]
    assert len(cells) == len(Step) * len(Fault)


def test_reason_makes_a_cell_not_applicable():
    entry = make_entry('m', 'pin', 'slow', 'n/a: nothing is sent')
    cell = arrange([entry])[15 + 4]
    assert cell.standing is Standing.NOT_APPLICABLE
    assert cell.reasons == ('nothing is sent',)


@pytest.mark.parametrize(
    ('step', 'fault', 'proof'),
    [('pni', 'kill', 't'), ('pin', 'klil', 't'), ('pin', 'kill', 'n/a: ')],
)
def test_misspelt_cell_is_refused(step, fault, proof):
    with pytest.raises(CellError):
        make_entry('m', step, fault, proof)
