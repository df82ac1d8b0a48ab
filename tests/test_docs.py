"""The operators' page explains everything that is counted."""

import re
from pathlib import Path

import pytest
from prometheus_client.parser import text_string_to_metric_families

from dandelionstage.cli.exit_codes import ExitCode
from dandelionstage.model.contract import Contract
from dandelionstage.model.verdict import Reason
from dandelionstage.operations.labels import Event, Hop
from dandelionstage.operations.metrics import Metrics

ROOT = Path(__file__).parent.parent
PAGES = (*ROOT.glob('docs/*.md'), ROOT / 'README.md')
OPERATIONS = (ROOT / 'docs' / 'OPERATIONS.md').read_text()


def first_cells() -> set[str]:
    return set(re.findall(r'^\| `?([^`|]+?)`? \|', OPERATIONS, re.MULTILINE))


@pytest.mark.parametrize('kind', [*Reason, *Event])
def test_every_reason_and_event_has_a_row(kind):
    assert kind.value in first_cells()


@pytest.mark.parametrize('hop', Hop)
def test_every_hop_is_named(hop):
    assert '`{0}`'.format(hop.value) in OPERATIONS


@pytest.mark.parametrize('code', ExitCode)
def test_every_exit_code_has_a_row(code):
    assert str(code.value) in first_cells()


def test_every_metric_has_a_row():
    families = text_string_to_metric_families(Metrics().render().decode())
    own = {
        family.name.removeprefix('dandelionstage_')
        for family in families
        if 'process_' not in family.name
    }
    documented = {cell.removesuffix('_total') for cell in first_cells()}
    assert own <= documented


def test_no_page_names_a_path_of_one_machine():
    for page in PAGES:
        assert not re.search(r'/(home|work|tmp|root)/', page.read_text())


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page):
    for link in re.findall(r'\]\(([^)#:]+)(?:#[^)]*)?\)', page.read_text()):
        assert (page.parent / link).exists(), link


def test_the_contract_table_names_every_field():
    protocol = (ROOT / 'docs' / 'PROTOCOL.md').read_text()
    for field in Contract.model_fields:
        assert '| `{0}` |'.format(field) in protocol


def place_of(module):
    """Find a module of the package, or a test that a figure names."""
    if module.startswith('tests/'):
        return ROOT / module
    return ROOT / 'src' / 'dandelionstage' / module


def test_modules_named_in_the_design_exist():
    design = (ROOT / 'docs' / 'DESIGN.md').read_text()
    modules = re.findall('`([a-z_]+/(?:[a-z_]+[.]py)?)`', design)
    missing = [module for module in modules if not place_of(module).exists()]
    assert modules
    assert not missing


def test_every_event_of_the_gateway_is_explained():
    package = ROOT / 'src' / 'dandelionstage'
    written = set()
    for path in package.rglob('*.py'):
        calls = r"\.(?:event|take_extra|_log_end)\(\s*(?:[^()',]*,\s*)?'(\w+)'"
        written |= set(re.findall(calls, path.read_text()))
    explained = set(re.findall(r'`(\w+)`', OPERATIONS))
    assert len(written) > 20
    assert written <= explained
