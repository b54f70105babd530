"""Steps on ``pimentohoistctl``, the operators' command line."""

from __future__ import annotations

import hashlib
import json
import shlex
import signal
import subprocess
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist.configuration import Configuration, Workspace, parse_sections
from pimentohoist.keys import create_key, is_secret_of, split_authorization
from pimentohoist_standins.fleet import Fleet

_HOUSE_WORKSPACE = Workspace('house', 1, 5, price_per_million_tokens='2')
_EXAMPLES = Path(__file__).parents[2] / 'examples'
_OTHER_WORKSPACE = Workspace('other', 1, 5)


@given("an operator's folder")
def make_folder(context: Context) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    context.folder = folder
    key, _ = create_key('line-1', 'house')
    faster = replace(_HOUSE_WORKSPACE, rate_tokens_per_s=2)
    slower = replace(_HOUSE_WORKSPACE, burst_tokens=1)
    other = replace(_OTHER_WORKSPACE, burst_tokens=9)
    texts = {
        'fleet': Configuration.of(_HOUSE_WORKSPACE, _OTHER_WORKSPACE, key).text(),
        'faster': Configuration.of(faster, _OTHER_WORKSPACE, key).text(),
        'slower': Configuration.of(slower, _OTHER_WORKSPACE, key).text(),
        'other': Configuration.of(_HOUSE_WORKSPACE, other, key).text(),
        'broken': '[workspaces',
        'negative': '[workspaces.house]\nrate_tokens_per_s = -1.0\nburst_tokens = 1\n',
    }
    for name, text in texts.items():
        (folder / f'{name}.toml').write_text(text)
    (folder / 'latin.toml').write_bytes('# café'.encode('latin-1'))


@when('each command runs and ends with its code and one line')
def run_failing(context: Context) -> None:
    for row in context.table:
        run_command(context, row['command'])
        check_error(context, int(row['code']), row['text'])


@then('the log has no publish')
def check_no_publish(context: Context) -> None:
    streams = context.fleet.state('log')['streams']
    assert streams['configuration']['next_offset'] == 0, streams


@when('each command runs and ends with code 0 and JSON that has its fields')
def run_for_json(context: Context) -> None:
    for row in context.table:
        run_command(context, row['command'])
        assert context.run.returncode == 0, context.run
        document = json.loads(context.run.stdout)
        first = document[0] if isinstance(document, list) else document
        missing = set(row['fields'].split()) - first.keys()
        assert not missing, (row['command'], missing, document)


@then('standard error shows "{first}", "{second}", "{third}"')
@then('standard error shows "{first}", "", ""')
def check_progress(
    context: Context, first: str, second: str = '', third: str = ''
) -> None:
    for text in (first, second, third):
        assert text in context.run.stderr, context.run


@then('standard error has the key of the printed section and nothing else')
def check_new_key(context: Context) -> None:
    section = Configuration.of(
        _HOUSE_WORKSPACE, *parse_sections(context.run.stdout)
    ).sections['keys/line-2']
    name, secret = split_authorization(f'Bearer {context.run.stderr.strip()}')
    assert name == 'line-2'
    assert is_secret_of(section, secret)
    assert secret not in context.run.stdout


@then('the help has "{text}"')
def check_help(context: Context, text: str) -> None:
    assert context.run.returncode == 0, context.run
    printed = ' '.join((context.run.stdout + context.run.stderr).split())
    assert text in printed, printed


@given("a fleet of 2 daemons and an operator's folder")
def start_fleet(context: Context) -> None:
    make_folder(context)
    context.fleet = context.stack.enter_context(Fleet())
    context.fleet.start_daemon('entry-1')
    context.fleet.start_daemon('entry-2')


@when("daemon 2 of the operator's fleet is stopped by SIGSTOP")
def stop_daemon(context: Context) -> None:
    context.fleet.processes['entry-2'].signal(signal.SIGSTOP)


def run(context: Context, command: str) -> subprocess.CompletedProcess:
    if hasattr(context, 'fleet'):
        fleet = context.fleet
        command = command.replace('LOG', fleet.addresses['log'])
        for name in fleet.daemons:
            command = command.replace(name.upper(), fleet.operators_address(name))
            callers = name.upper().replace('ENTRY', 'CALLERS')
            command = command.replace(callers, fleet.addresses[name])
    code = 'from pimentohoist.ctl import main; main()'
    return subprocess.run(
        [sys.executable, '-c', code, *shlex.split(command)],
        cwd=context.folder,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@when('the operator runs "{command}"')
def run_command(context: Context, command: str) -> None:
    context.run = run(context, command)


@then('the command ends with code {code:d} and prints "{text}"')
def check_output(context: Context, code: int, text: str) -> None:
    assert context.run.returncode == code, context.run
    assert text in context.run.stdout, context.run


@then('the command ends with code {code:d} and one error line with "{text}"')
def check_error(context: Context, code: int, text: str) -> None:
    assert context.run.returncode == code, context.run
    lines = context.run.stderr.splitlines()
    assert len(lines) == 1, lines
    assert text in lines[0], lines
    assert not context.run.stdout, context.run


@then('"{check}" prints the digest that every daemon holds and "{show}" prints')
def check_digest(context: Context, check: str, show: str) -> None:
    digest = run(context, check).stdout.strip()
    shown = run(context, f'{show} ENTRY-2').stdout.encode()
    assert hashlib.sha256(shown).hexdigest() == digest
    assert shown == (context.folder / 'fleet.toml').read_bytes()
    for name in context.fleet.daemons:
        assert configuration_held_by(context, name)['digest'] == digest


def configuration_held_by(context: Context, name: str) -> dict:
    client = HttpClient(context.fleet.operators_address(name), timeout_s=5, step='test')
    return client.request_json(HttpRequest.from_json('GET', '/configuration'))


@then("the configuration in force has both operators' changes")
def check_both_changes(context: Context) -> None:
    sections = Configuration.parse(
        configuration_held_by(context, 'entry-1')['text']
    ).sections
    assert sections['workspaces/house'].rate_tokens_per_s == 2
    assert sections['workspaces/other'].burst_tokens == 9


@when('the example "{name}" is printed into the folder')
def print_example(context: Context, name: str) -> None:
    context.example = context.folder / f'{name}.toml'
    command = [sys.executable, str(_EXAMPLES / f'{name}.py')]
    with context.example.open('wb') as output:
        subprocess.run(command, stdout=output, timeout=60, check=True)


@then('the command prints the digest of the file with {count:d} adapters')
def check_example(context: Context, count: int) -> None:
    printed = context.example.read_bytes()
    digest = hashlib.sha256(printed).hexdigest()
    assert context.run.stdout.strip() == digest, context.run
    assert printed.count(b'[adapters.') == count


@then("daemon 2 of the operator's fleet ends with exit code 0 within {limit_s:d} s")
def check_drained(context: Context, limit_s: int) -> None:
    assert context.fleet.processes['entry-2'].popen.wait(limit_s) == 0
