"""The command that finds out from logs why a request ended as it did."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from fire.decorators import SetParseFn

from pimentohoist._commands.console import ExitCode, fail, render
from pimentohoist._decisions.explanation import (
    Explanation,
    LogLine,
    explain,
    read_line,
    verdict,
)
from pimentohoist.exceptions import SettingsError


class ExplainingCommands:
    """Commands on collected logs."""

    # An id of digits with an e among them would be read as a number.
    @SetParseFn(str, 'request_id')  # type: ignore[untyped-decorator]
    def explain(self, request_id: str, *paths: str, json: bool = False) -> None:
        """Print what the logs of all instances say of a request, in order.

        Example: pimentohoistctl explain 83625a536a4ad36f front-*.log

        Ends with code 1 if something is missing: the id, the line of its end, or lines
        that are cut or no daemon's; with code 2 if a file can't be read.

        Parameters
        ----------
        request_id : str
            The attempt's id, as the caller sent it.
        paths : str
            Collected logs.
        json : bool
            Print the explanation as JSON.
        """
        if not paths:
            raise SettingsError('no log was named', step='explain')
        logs = _Logs()
        for path in paths:
            logs.add(str(path))
        told = explain(request_id, logs.lines)
        if told is not None:
            shown = render(_text(told), _document(told), is_json=json)
            sys.stdout.write(f'{shown}\n')
        missing = (*logs.missing, *_gaps(request_id, told))
        if missing:
            fail(missing, logs.code)


class _Logs:
    """Lines of several logs, and what could not be read of them."""

    def __init__(self) -> None:
        self.lines: list[LogLine] = []
        self.missing: list[str] = []
        self.code = ExitCode.FAILED

    def add(self, path: str) -> None:
        """Take in a file, as far as it can be read."""
        try:
            texts = Path(path).read_text('utf-8', 'replace').splitlines()
        except OSError as error:
            self.missing.append(f'{path}: {error.strerror} [explain]')
            self.code = ExitCode.BAD_INPUT
            return
        found = list(filter(None, map(read_line, texts)))
        unread = sum(bool(text.strip()) for text in texts) - len(found)
        if unread:
            text = f'{path}: {unread} lines cut or not of a daemon [explain]'
            self.missing.append(text)
        self.lines += found


def _gaps(request_id: str, told: Explanation | None) -> tuple[str, ...]:
    if told is None:
        return (f'no line names the request {request_id} [explain]',)
    if told.end is None:
        return (
            'no line tells how it ended: its log is missing or cut, or it was one of '
            'the successes that are not written under load [explain]',
        )
    return ()


def _text(told: Explanation) -> str:
    parts = [f'request {told.request_id}']
    origin = told.end or told.events[-1]
    if told.end is not None:
        fields = told.end.fields
        parts += [
            f'{fields.get("status")} after {fields.get("took_ms")} ms on '
            f'{told.end.instance}: {verdict(told.end)}',
            f'{fields.get("outcome", "")}',
        ]
    parts += ['', 'known when it came (seconds before its end)']
    parts += _rows(told.known, origin) or ['nothing in these logs']
    parts += ['', 'what happened']
    parts += _rows(told.events, origin)
    return '\n'.join(parts)


def _rows(lines: Sequence[LogLine], origin: LogLine) -> list[str]:
    width = max((len(line.instance) for line in lines), default=0)
    return [
        f'{(line.at - origin.at).total_seconds():9.3f}  {line.instance:{width}}  '
        f'{line.message}  {line.details()}'.rstrip()
        for line in lines
    ]


def _document(told: Explanation) -> dict[str, Any]:
    document = asdict(told)
    return {**document, 'verdict': verdict(told.end) if told.end else None}
