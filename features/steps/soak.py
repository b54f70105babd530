"""Steps for the fault soak."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
import uuid
from pathlib import Path
from tempfile import TemporaryDirectory
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context

from pimentohoist_standins._soak.errors import NoReplyError, SoakError
from pimentohoist_standins._soak.plan import KINDS, SoakOptions, draw_plan, read_plan
from pimentohoist_standins._soak.role_process import RoleProcess

_START = 'from pimentohoist_standins.soak import main; main()'
_MARK = 'PIMENTOHOIST_SOAK_TEST'
_MINUTE_S = 60
_TIMEOUT_S = 150
_LATER_KINDS = frozenset(
    ('engine_limit', 'engine_brittle', 'engine_pause')
    + ('kill_all', 'store_odd_entry', 'engine_cut_head', 'engine_odd_head')
)
"""Kinds without which seeds that are played here keep their plans."""

_KINDS = MappingProxyType(
    {
        'all kinds of faults but limits': ','.join(
            kind for kind in KINDS if kind not in _LATER_KINDS
        ),
        'engines that are brittle or silent for a second': 'engine_brittle,engine_pause',
        'all daemons lost beside odd records and cut heads': (
            'kill_all,store_odd_entry,engine_cut_head,engine_cut,hup,config_storm,'
            'key_withdrawn,engine_twice,engine_fail,engine_quiet,config_invalid'
        ),
        'malformed heads beside planned work': (
            'engine_odd_head,engine_cut,engine_leaves,term,roll,hup,config_storm'
        ),
        'limits of endpoints': 'engine_limit,engine_cut,hup',
        'planned work only': (
            'term,hup,engine_leaves,config_storm,key_withdrawn,engine_cut'
        ),
    }
)


def start_soak(context: Context, options: list[str]) -> subprocess.Popen:
    """Start the soak; its processes inherit a mark by which they are found."""
    context.mark = uuid.uuid4().hex
    if 'report' not in context:
        folder = Path(context.stack.enter_context(TemporaryDirectory()))
        context.report = folder / 'report.json'
    return subprocess.Popen(
        [sys.executable, '-c', _START, f'--report={context.report}', *options],
        env={**os.environ, _MARK: context.mark},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        # A shell's background jobs ignore SIGINT, which their children inherit.
        preexec_fn=_restore_interrupt,
    )


def _restore_interrupt() -> None:
    signal.signal(signal.SIGINT, signal.SIG_DFL)


def finish_soak(context: Context, process: subprocess.Popen) -> None:
    context.output, context.errors = process.communicate(timeout=_TIMEOUT_S)
    context.status = process.returncode


def reports(context: Context) -> list[dict]:
    return [json.loads(line) for line in context.report.read_text().splitlines()]


def marked_processes(mark: str) -> list[str]:
    """Return the commands of running processes that have the mark."""
    found = []
    for folder in Path('/proc').glob('[0-9]*'):
        try:
            environment = (folder / 'environ').read_bytes()
            command = (folder / 'cmdline').read_bytes()
        except OSError:
            continue
        if f'{_MARK}={mark}'.encode() in environment:
            found.append(command.replace(b'\0', b' ').decode())
    return found


@when('seed {seed:d} is played for {seconds:d} s with {kinds}')
def play_seed(context: Context, seed: int, seconds: int, kinds: str) -> None:
    sizes = ['--daemons=3', '--engines=3', '--callers=20', f'--seconds={seconds}']
    options = [f'--seed={seed}', f'--kinds={_KINDS[kinds]}', *sizes]
    finish_soak(context, start_soak(context, options))


@when('a run of {seconds:d} s with a planted fault is played')
def play_planted(context: Context, seconds: int) -> None:
    sizes = ['--daemons=1', '--engines=1', '--callers=8', '--kinds=none']
    options = [f'--seconds={seconds}', '--is_planted', *sizes]
    finish_soak(context, start_soak(context, options))


@given('a socket that listens at {address}')
def listen(context: Context, address: str) -> None:
    host, _, port = address.partition(':')
    listening = context.stack.enter_context(socket.socket())
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((host, int(port)))
    listening.listen()


@when('the soak is started with {options}')
def start_with(context: Context, options: str) -> None:
    finish_soak(context, start_soak(context, options.split()))


@when('the soak gets {name} {delay_s:d} s after its start')
def interrupt(context: Context, name: str, delay_s: int) -> None:
    sizes = ['--daemons=2', '--engines=2', '--callers=8', '--seconds=20']
    process = start_soak(context, sizes)
    time.sleep(delay_s)
    assert len(marked_processes(context.mark)) > 1, 'nothing was started'
    process.send_signal(signal.Signals[name])
    finish_soak(context, process)


@then('the soak ends with status {status:d}')
def check_status(context: Context, status: int) -> None:
    assert context.status == status, (context.status, context.output, context.errors)


@then('no promise is broken')
def check_unbroken(context: Context) -> None:
    broken = [violation for row in reports(context) for violation in row['violations']]
    assert not broken, broken


@then('each check has applied in some run')
def check_applied(context: Context) -> None:
    applied: dict[str, int] = {}
    for row in reports(context):
        for promise, count in row['checks'].items():
            applied[promise] = applied.get(promise, 0) + count
    assert applied, 'there are no checks'
    assert all(applied.values()), applied


@then('the report names the request that ran twice')
def check_named(context: Context) -> None:
    violations = reports(context)[0]['violations']
    named = [violation for violation in violations if violation['request_id']]
    assert named, violations


@then('the only line of its errors says "{text}"')
def check_error(context: Context, text: str) -> None:
    lines = context.errors.splitlines()
    assert len(lines) == 1, lines
    assert text in lines[0], lines


@then('nothing of the soak is left running')
def check_nothing_left(context: Context) -> None:
    left = marked_processes(context.mark)
    assert not left, left


@then('each of {count:d} seeds gives the same plan twice')
def check_plans(context: Context, count: int) -> None:
    options = [SoakOptions(seed) for seed in range(count)]
    context.plans = [draw_plan(option) for option in options]
    assert context.plans == [draw_plan(option) for option in options]
    assert len({plan.faults for plan in context.plans}) == count


@then('each plan is read from its report as it was')
def check_replay(context: Context) -> None:
    texts = [json.dumps(plan.document()) for plan in context.plans]
    assert context.plans == [read_plan(json.loads(text)) for text in texts]


@then("a plan that names a daemon that isn't there is refused")
def check_misfit(context: Context) -> None:
    document = json.loads(json.dumps(context.plans[0].document()))
    document['faults'][0] = {
        'at_s': 1.0,
        'kind': 'term',
        'target': 'daemon:4',
        'duration_s': 1.0,
    }
    message = ''
    try:
        read_plan(document)
    except SoakError as error:
        message = str(error)
    assert 'does not fit' in message


@when('{tool} is started with --help')
def ask_for_help(context: Context, tool: str) -> None:
    program = Path(sys.executable).parent / tool
    context.help = subprocess.run(
        [program, '--help'], capture_output=True, text=True, timeout=20, check=False
    )


@then('it ends with status 0 and its help names {setting}')
def check_help(context: Context, setting: str) -> None:
    text = context.help.stdout + context.help.stderr
    assert context.help.returncode == 0, text
    assert f'--{setting}' in text, text
    assert 'Traceback' not in text, text


@given('callers of the soak that go on for a minute')
def start_endless_callers(context: Context) -> None:
    folder = Path(context.stack.enter_context(TemporaryDirectory()))
    context.role = RoleProcess(
        'callers',
        folder / 'callers.log',
        prefix='127.96',
        seed=1,
        numbers=[1],
        daemons=['127.96.1.1'],
        path=str(folder / 'callers.records'),
    )
    context.stack.enter_context(context.role)
    context.role.wait_ready()
    context.role.call('start', until=time.monotonic() + _MINUTE_S)


@when('the soak waits {wait_s:g} s for their end')
def wait_for_callers(context: Context, wait_s: float) -> None:
    context.role.reply_timeout_s = wait_s
    try:
        context.role.call('join')
    except NoReplyError as error:
        context.error = str(error)
    else:
        raise AssertionError('the callers ended')


@then('its error names the log, which has the stacks of their threads')
def check_stacks(context: Context) -> None:
    assert str(context.role.log) in context.error, context.error
    stacks = context.role.log.read_text()
    assert 'callers.py' in stacks and 'in join' in stacks, stacks
