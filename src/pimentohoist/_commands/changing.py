"""Commands that change something: a configuration, a key, a daemon's life."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from pydantic import ValidationError

from pimentohoist._commands.console import (
    ExitCode,
    Remote,
    checked_address,
    checked_addresses,
    fail,
    read_configuration,
    remote,
    render,
    write_progress,
)
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist._publisher import Publisher, PublishResult
from pimentohoist.configuration import Configuration, section_text
from pimentohoist.exceptions import PeerConnectError, PeerError, SettingsError
from pimentohoist.keys import create_key

_LOG_TIMEOUT_S = 5.0
_DRAIN_POLL_S = 0.2
_DRAIN_TIMEOUT_S = 660.0


class KeyCommands:
    """Commands on callers' keys."""

    def new(self, name: str, workspace: str, json: bool = False) -> str:
        """Print a new key's section, and the key itself on standard error.

        Example: pimentohoistctl key new line-1 lipstick-house >> fleet.toml

        Parameters
        ----------
        json : bool
            Print the section as JSON; the key itself stays on standard error.
        """
        try:
            section, key = create_key(str(name), str(workspace))
        except ValidationError as error:
            faults = error.errors(include_url=False)
            raise SettingsError(
                f'{name!r} of {workspace!r}: {faults[0]["msg"]}', step='key new'
            ) from error
        sys.stderr.write(f'{key}\n')
        return render(section_text(section).rstrip('\n'), asdict(section), is_json=json)

    def withdraw(
        self,
        name: str,
        log: str,
        daemons: str,
        operator: str = '',
        json: bool = False,
        progress: bool | None = None,
    ) -> str:
        """Withdraw a key and wait until no live member takes it.

        Example: pimentohoistctl key withdraw line-1 10.0.0.9:9000 10.0.0.4:8001

        Parameters
        ----------
        json : bool
            Print the report as JSON.
        progress : bool
            Tell on standard error how far it is; if not given, only on a terminal.
        """
        step = 'key withdraw'
        publisher = _publisher(log, daemons, operator, step, progress=progress)
        base = publisher.in_force()
        sections = dict(base.sections)
        if sections.pop(f'keys/{name}', None) is None:
            raise SettingsError(f'there is no key {name!r}', step=step)
        return _result(publisher.publish(Configuration(sections), base), is_json=json)


class ChangingCommands:
    """Commands that change something."""

    def __init__(self) -> None:
        self.key = KeyCommands()

    def publish(
        self,
        path: str,
        log: str,
        daemons: str,
        operator: str = '',
        base: str = '',
        json: bool = False,
        progress: bool | None = None,
    ) -> str:
        """Publish a configuration text and wait until it is in force.

        Example: pimentohoistctl publish new.toml 10.0.0.9:9000 10.0.0.4:8001 --base=old.toml

        Parameters
        ----------
        path : str
            Configuration text.
        log : str
            Address of the platform's log.
        daemons : str
            Operators' address of one daemon, or of several, separated by commas.
        operator : str
            Who publishes, for the record.
        base : str
            Text that the change started from: only what differs from it is changed, and
            nothing if another operator has changed the same. If not given, what is in
            force is replaced as a whole.
        json : bool
            Print the report as JSON.
        progress : bool
            Tell on standard error how far it is; if not given, only on a terminal.
        """
        step = 'publish'
        configuration = read_configuration(path, step)
        started_from = read_configuration(base, step) if base else None
        publisher = _publisher(log, daemons, operator, step, progress=progress)
        return _result(publisher.publish(configuration, started_from), is_json=json)

    def drain(
        self,
        daemon: str,
        wait: bool = False,
        json: bool = False,
        progress: bool | None = None,
    ) -> str:
        """Ask a daemon to stop without cutting off a request.

        It leaves the address list at once and ends when callers' kept answers have
        lapsed and nothing runs; its ``state`` shows how far it is until then.

        Example: pimentohoistctl drain 10.0.0.4:8001 --wait

        Parameters
        ----------
        wait : bool
            Return only when the daemon has ended; exit code 4 if it does not in time.
        json : bool
            Print the outcome as JSON.
        progress : bool
            Tell on standard error how far it is; if not given, only on a terminal.
        """
        asked = remote(daemon, 'drain')
        asked.ask('/drain', field='is_asked', method='POST')
        if not wait:
            document = {'daemon': asked.address, 'has_ended': False}
            return render(f'{daemon} is draining', document, is_json=json)
        _await_end(asked, _progress_writer(progress))
        document = {'daemon': asked.address, 'has_ended': True}
        return render(f'{daemon} has ended', document, is_json=json)


def _publisher(
    log: str, daemons: str, operator: str, step: str, *, progress: bool | None
) -> Publisher:
    return Publisher(
        HttpLog(checked_address(log, step), timeout_s=_LOG_TIMEOUT_S),
        checked_addresses(daemons, step),
        str(operator),
        _progress_writer(progress),
    )


def _progress_writer(is_wanted: bool | None) -> Callable[[str], None]:
    if is_wanted is None:
        is_wanted = sys.stderr.isatty()
    return write_progress if is_wanted else _ignore


def _ignore(line: str) -> None:
    """Stand in for the writer where no progress is wanted."""


def _result(report: PublishResult, *, is_json: bool) -> str:
    document: dict[str, Any] = {**asdict(report), 'is_in_force': report.is_in_force}
    if report.is_in_force:
        return render(report.text(), document, is_json=is_json)
    if is_json:
        sys.stdout.write(f'{render("", document, is_json=True)}\n')
    fail((report.text(),), _exit_code(report))


def _exit_code(report: PublishResult) -> ExitCode:
    is_rejected = report.verdict is not None and not report.verdict['is_accepted']
    return ExitCode.REJECTED if is_rejected else ExitCode.NOT_IN_FORCE


def _await_end(daemon: Remote, tell: Callable[[str], None]) -> None:
    """Return when nothing listens at a draining daemon's address any more."""
    deadline = time.monotonic() + _DRAIN_TIMEOUT_S
    told = ''
    while time.monotonic() < deadline:
        try:
            state = daemon.ask('/state', field='drain')
        except PeerConnectError:
            return
        except PeerError:
            # It may have ended while it answered.
            continue
        line = _drain_line(daemon.address, state)
        if line != told:
            tell(line)
            told = line
        time.sleep(_DRAIN_POLL_S)
    fail((f'{daemon.address} still runs [drain]',), ExitCode.NOT_IN_FORCE)


def _drain_line(address: str, state: Any) -> str:
    if not state['drain']['is_announced']:
        return f'{address}: waits to announce its leave in the log'
    running = sum(state['endpoints'].get('in_flight', {}).values())
    return f'{address}: off the address list, {running} requests on endpoints'
