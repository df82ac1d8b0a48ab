"""The cells of documents and leaving are whole and name real tests."""

from importlib import import_module

from tests.matrix_configuration import CELLS

_FAULTS = 15
_STEPS = 4


def test_each_step_meets_each_fault_once():
    places = [(step, fault) for step, fault, _test, _standing in CELLS]
    assert len(places) == len(set(places)) == _STEPS * _FAULTS


def test_each_proof_is_a_test_that_exists():
    for _step, _fault, test, standing in CELLS:
        if standing == 'proved':
            path, _, name = test.partition('::')
            module = path.removesuffix('.py').replace('/', '.')
            assert hasattr(import_module(module), name), test
        else:
            assert standing.startswith('n/a: ')
