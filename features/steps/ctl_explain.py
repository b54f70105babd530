"""Steps on explaining from logs why a request ended as it did."""

from __future__ import annotations

import json
import re
import shutil
from pathlib import Path

from behave import given, then
from behave.runner import Context

_LOGS = Path(__file__).parents[1] / 'logs'
_OFFSET = re.compile(r'^ *(-?\d+\.\d{3})  ')


@given("an operator's folder with the logs of a played day")
def make_log_folder(context: Context) -> None:
    context.execute_steps("Given an operator's folder")
    shutil.copytree(_LOGS, context.folder / 'logs')


@given(
    'a log with a cut line, a foreign line, and lines of "pimentohoistd" on the request '
    '"{request_id}"'
)
def write_odd_log(context: Context, request_id: str) -> None:
    line = json.dumps(
        {
            'asctime': '2026-07-09 20:14:50,078',
            'instance': 'entry-1',
            'message': 'generation retried',
            'request_id': request_id,
        }
    )
    cut = line[: len(line) // 2]
    text = f'collected from entry-1\n{line}\nentry-1 | {line}\n{cut}\n'
    (context.folder / 'odd').write_text(text)


@then('it prints "{known}" as known and "{event}" as what happened, in order of time')
def check_explanation(context: Context, known: str, event: str) -> None:
    before, _, after = context.run.stdout.partition('what happened')
    assert known in before, context.run.stdout
    assert event in after, context.run.stdout
    offsets = [
        float(found[1]) for found in map(_OFFSET.match, after.splitlines()) if found
    ]
    assert offsets == sorted(offsets), offsets
    assert not offsets[-1], offsets


@then(
    'the command ends with code {code:d}, prints "{explained}" and reports "{missing}"'
)
def check_reported_gaps(
    context: Context, code: int, explained: str, missing: str
) -> None:
    assert context.run.returncode == code, context.run
    assert explained in context.run.stdout, context.run
    assert missing in context.run.stderr, context.run


@then('the command ends with code {code:d}, prints "" and reports "{missing}"')
def check_only_gaps(context: Context, code: int, missing: str) -> None:
    assert not context.run.stdout, context.run
    check_reported_gaps(context, code, '', missing)
