"""Steps that compare the documentation pages with the code."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator, Mapping
from dataclasses import fields
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from callers import start_fleet, wait_for

from pimentohoist import settings
from pimentohoist._commands.command_io import ExitCode
from pimentohoist.exceptions import PimentohoistError
from pimentohoist_standins.fleet import Fleet

_ROOT = Path(__file__).parents[2]
_DOCS = _ROOT / 'docs'
_ERROR_ROW = re.compile(r'^\| `(\w+)` \| (\d{3}) \| (.*)\|$', re.MULTILINE)
_CITED_SCENARIO = re.compile(r'\b([a-z_]+): ([A-Z][^;|()]*)')
# Fields whose value is a map keyed by workspaces, endpoints, streams or fingerprints.
_MAPS_BY_NAME = frozenset(
    (
        'shares',
        'held',
        'in_flight',
        'pins',
        'leads',
        'open_claims',
        'misses',
        'appended',
        'known',
        'reports',
        'outcomes',
        'homes',
        'metrics',
    )
)


def error_classes(root: type[PimentohoistError]) -> Iterator[type[PimentohoistError]]:
    yield root
    for child in root.__subclasses__():
        yield from error_classes(child)


@when("each error class is compared with the protocols' page")
def read_codes(context: Context) -> None:
    context.rows = _ERROR_ROW.findall((_DOCS / 'PROTOCOLS.md').read_text())


@then('the page has each code once, with its status and run state, and no other')
def check_codes(context: Context) -> None:
    by_code: dict[str, type[PimentohoistError]] = {}
    for error in error_classes(PimentohoistError):
        by_code.setdefault(error.code, error)
    codes = [code for code, _, _ in context.rows]
    assert sorted(codes) == sorted(by_code), set(codes) ^ set(by_code)
    for code, status, cells in context.rows:
        error = by_code[code]
        assert int(status) == error.status, (code, status)
        # Rows of codes that callers never see have no cell for the run state.
        if cells.count('|') > 1:
            run_state = cells.split('|')[1].strip()
            assert run_state == f'`{error.run_state.value}`', (code, run_state)


@given('a daemon that has answered, refused and lost requests')
def start_documented_fleet(context: Context) -> None:
    context.fleet = context.stack.enter_context(Fleet())
    caller = start_fleet(context.fleet, daemons=1, engines=1)
    document = {'prompt': 'Check.', 'max_tokens': 3}

    def is_answered() -> bool:
        response = caller.complete('entry-1', model='batch-summary', **document)
        return response.status == 200

    wait_for(is_answered, 'a request is answered')
    assert caller.complete('entry-1', model='nothing', **document).status == 404
    context.fleet.processes['engine-1'].kill()
    lost = caller.complete('entry-1', model='batch-summary', **document)
    assert lost.status >= 500, lost


def field_names(document: object, parent: str = '') -> set[str]:
    """Return the names of all fields, without the keys of maps keyed by name."""
    if isinstance(document, list):
        return set().union(*map(field_names, document))
    if not isinstance(document, Mapping):
        return set()
    is_by_name = parent in _MAPS_BY_NAME
    parents = ['' if is_by_name else name for name in document]
    inner = map(field_names, document.values(), parents)
    return set(parents).union(*inner) - {''}


def assert_on_page(names: set[str]) -> None:
    page = (_DOCS / 'OPERATIONS.md').read_text()
    words = set(re.findall(r'\w+', ' '.join(re.findall('`([^`]+)`', page))))
    assert names, 'nothing to compare'
    assert names <= words, sorted(names - words)


@then("each field of its dump is documented on the operations' page")
def check_dump_fields(context: Context) -> None:
    assert_on_page(field_names(context.fleet.state('entry-1')))


@then("each field of its log is documented on the operations' page")
def check_log_fields(context: Context) -> None:
    lines = context.fleet.logs('entry-1').splitlines()
    assert_on_page({name for line in lines for name in json.loads(line)})


@then("each setting of a daemon is documented on the operations' page")
def check_settings(context: Context) -> None:
    tables = {entry.name for entry in fields(settings.Settings)}
    classes = (
        settings.DaemonSettings,
        settings.PlatformSettings,
        settings.CallersSettings,
        settings.SnapshotSettings,
        settings.LoggingSettings,
    )
    names = {entry.name for table in classes for entry in fields(table)}
    assert_on_page(tables | names)


@then("each exit code of the operators' command is documented on the operations' page")
def check_exit_codes(context: Context) -> None:
    page = (_DOCS / 'OPERATIONS.md').read_text()
    listed = {int(code) for code in re.findall(r'^\| (\d) \| ', page, re.MULTILINE)}
    assert listed == set(ExitCode), listed


@then("each feature that the proof's tables cite has the scenarios that they cite")
def check_proof(context: Context) -> None:
    features = {
        path.stem: path.read_text() for path in _ROOT.glob('features/*.feature')
    }
    rows = [
        line
        for line in (_DOCS / 'PROOF.md').read_text().splitlines()
        if line.startswith('|')
    ]
    cited = _CITED_SCENARIO.findall('\n'.join(rows))
    missing = [
        f'{feature}: {scenario}'
        for feature, scenario in cited
        if feature in features and scenario.strip() not in features[feature]
    ]
    assert cited
    assert not missing, missing
