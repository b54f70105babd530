"""The command that explains from logs why a request ended as it did."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from fire.decorators import SetParseFn

from pimentohoist._commands.command_io import ExitCode, exit_with_errors, render
from pimentohoist._decisions.explanation import (
    Explanation,
    LogLine,
    explain,
    read_line,
    verdict,
)
from pimentohoist.exceptions import SettingsError


class ExplanationCommands:
    """Commands on collected logs."""

    # Without this, an id such as 12e45678 would be parsed as a number.
    @SetParseFn(str, 'request_id')  # type: ignore[untyped-decorator]
    def explain(self, request_id: str, *paths: str, json: bool = False) -> None:
        """Print the log lines of all instances on a request, in order of time.

        Example: pimentohoistctl explain 83625a536a4ad36f front-*.log

        Ends with code 1 if the id or the line on the request's end is missing, or if lines
        are cut or not of a daemon; with code 2 if a file can't be read.

        Parameters
        ----------
        request_id : str
            The attempt's id, as the caller sent it.
        paths : str
            Files of collected logs.
        json : bool
            Print the explanation as JSON.
        """
        if not paths:
            raise SettingsError('no log was named', step='explain')
        logs = _CollectedLogs()
        for path in paths:
            logs.add(str(path))
        explanation = explain(request_id, logs.lines)
        if explanation is not None:
            output = render(
                _explanation_text(explanation),
                _explanation_document(explanation),
                is_json=json,
            )
            sys.stdout.write(f'{output}\n')
        missing = (*logs.missing, *_missing_parts(request_id, explanation))
        if missing:
            exit_with_errors(missing, logs.code)


class _CollectedLogs:
    """Lines of several logs, and errors on the parts that could not be read."""

    def __init__(self) -> None:
        self.lines: list[LogLine] = []
        self.missing: list[str] = []
        self.code = ExitCode.FAILED

    def add(self, path: str) -> None:
        """Add the lines of a file, as far as they can be read."""
        try:
            texts = Path(path).read_text('utf-8', 'replace').splitlines()
        except OSError as error:
            self.missing.append(f'{path}: {error.strerror} [explain]')
            self.code = ExitCode.BAD_INPUT
            return
        parsed = list(filter(None, map(read_line, texts)))
        unreadable_count = sum(bool(text.strip()) for text in texts) - len(parsed)
        if unreadable_count:
            text = f'{path}: {unreadable_count} lines cut or not of a daemon [explain]'
            self.missing.append(text)
        self.lines += parsed


def _missing_parts(request_id: str, explanation: Explanation | None) -> tuple[str, ...]:
    if explanation is None:
        return (f'no line names the request {request_id} [explain]',)
    if explanation.end is None:
        return (
            'no line tells how it ended: its log is missing or cut, or it was one of '
            'the successes that are not written under load [explain]',
        )
    return ()


def _explanation_text(explanation: Explanation) -> str:
    parts = [f'request {explanation.request_id}']
    origin = explanation.end or explanation.events[-1]
    if explanation.end is not None:
        parts += _end_texts(explanation.end)
    parts += ['', 'known when it came (seconds before its end)']
    parts += _event_rows(explanation.known, origin) or ['nothing in these logs']
    parts += ['', 'what happened']
    parts += _event_rows(explanation.events, origin)
    return '\n'.join(parts)


def _end_texts(end: LogLine) -> list[str]:
    outcome = f'{end.instance}: {verdict(end)}'
    if 'status' not in end.fields:
        return [f'on {outcome}']
    status, took_ms = end.fields['status'], end.fields.get('took_ms')
    return [f'{status} after {took_ms} ms on {outcome}', end.fields.get('outcome', '')]


def _event_rows(lines: Sequence[LogLine], origin: LogLine) -> list[str]:
    width = max((len(line.instance) for line in lines), default=0)
    return [
        f'{(line.at - origin.at).total_seconds():9.3f}  {line.instance:{width}}  '
        f'{line.message}  {line.details()}'.rstrip()
        for line in lines
    ]


def _explanation_document(explanation: Explanation) -> dict[str, Any]:
    document = asdict(explanation)
    return {
        **document,
        'verdict': verdict(explanation.end) if explanation.end else None,
    }
