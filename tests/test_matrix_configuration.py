"""The cells of documents and leaving are whole."""

from tests.matrix_configuration import CELLS

_FAULTS = 15
_STEPS = 4


def test_each_step_meets_each_fault_once():
    places = [(step, fault) for step, fault, _proof in CELLS]
    assert len(places) == len(set(places)) == _STEPS * _FAULTS
