"""Steps on settings."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when
from behave.runner import Context

_FAULTY_SETTINGS = """
[daemon]
name = "entry 1"
failure_domain = "a"
callers_address = "localhost:8000"
operators_address = "127.0.0.1:8001"
peer_address = "127.0.0.1:8002"
[platform]
log_address = "127.0.0.1:9000"
weight_store_address = "127.0.0.1:9001"
instance_list_address = "127.0.0.1:9002"
[callers]
threads = 0
"""
_FAULTY_PATHS = ('daemon.name', 'daemon.callers_address', 'callers.threads')


def run_daemon(context: Context, text: str) -> None:
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    path = Path(folder) / 'settings.toml'
    path.write_text(text)
    code = 'from pimentohoist.daemon import main; main()'
    context.run = subprocess.run(
        [sys.executable, '-c', code, str(path)],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@when('a daemon starts with a settings file that has three faults')
def start_with_faults(context: Context) -> None:
    run_daemon(context, _FAULTY_SETTINGS)


@when('a daemon starts with a settings file that is not TOML')
def start_with_invalid_toml(context: Context) -> None:
    run_daemon(context, 'daemon = [')


@then('it exits with code 2 and names all three paths on standard error')
def check_faults(context: Context) -> None:
    assert context.run.returncode == 2, context.run
    for path in _FAULTY_PATHS:
        assert path in context.run.stderr, context.run.stderr


@then('it exits with code 2 and one line on standard error')
def check_one_line(context: Context) -> None:
    assert context.run.returncode == 2, context.run
    assert len(context.run.stderr.splitlines()) == 1, context.run.stderr
