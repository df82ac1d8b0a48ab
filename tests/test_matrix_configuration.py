"""The cells of document distribution and leaving VMs are complete."""

from tests.matrix_configuration import CELLS

_FAULTS = 15
_STEPS = 4


def test_each_step_has_each_fault_once():
    cells = [(step, fault) for step, fault, _proof in CELLS]
    assert len(cells) == len(set(cells)) == _STEPS * _FAULTS
