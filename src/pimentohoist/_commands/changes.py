"""Commands that change a configuration or keys, or drain a daemon."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from pydantic import ValidationError

from pimentohoist._commands.command_io import (
    DaemonClient,
    ExitCode,
    daemon_client,
    exit_with_errors,
    parse_address,
    parse_addresses,
    read_configuration,
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
    """Commands on the keys of callers."""

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
            errors = error.errors(include_url=False)
            raise SettingsError(
                f'{name!r} of {workspace!r}: {errors[0]["msg"]}', step='key new'
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
        """Withdraw a key and wait until no live member accepts it.

        Example: pimentohoistctl key withdraw line-1 10.0.0.9:9000 10.0.0.4:8001

        Parameters
        ----------
        json : bool
            Print the report as JSON.
        progress : bool
            Write progress to standard error; if not given, only on a terminal.
        """
        step = 'key withdraw'
        publisher = _publisher(log, daemons, operator, step, progress=progress)
        base = publisher.in_force()
        sections = dict(base.sections)
        if sections.pop(f'keys/{name}', None) is None:
            raise SettingsError(f'there is no key {name!r}', step=step)
        return _render_report(
            publisher.publish(Configuration(sections), base), is_json=json
        )


class ChangeCommands:
    """Commands that change a configuration or drain a daemon."""

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
            Name of the operator who publishes, as the history shows it.
        base : str
            Configuration text that the change is based on: only the sections that differ
            from it are changed, and none if another operator has changed one of them. If
            not given, the configuration in force is replaced as a whole.
        json : bool
            Print the report as JSON.
        progress : bool
            Write progress to standard error; if not given, only on a terminal.
        """
        step = 'publish'
        configuration = read_configuration(path, step)
        base_configuration = read_configuration(base, step) if base else None
        publisher = _publisher(log, daemons, operator, step, progress=progress)
        return _render_report(
            publisher.publish(configuration, base_configuration), is_json=json
        )

    def drain(
        self,
        daemon: str,
        wait: bool = False,
        json: bool = False,
        progress: bool | None = None,
    ) -> str:
        """Request a daemon to stop without interrupting a request.

        It leaves the address list at once and ends when the address lists that callers
        may have stored have expired and no request runs; ``state`` shows its progress.

        Example: pimentohoistctl drain 10.0.0.4:8001 --wait

        Parameters
        ----------
        wait : bool
            Return only when the daemon has ended; exit code 4 if it does not in time.
        json : bool
            Print the outcome as JSON.
        progress : bool
            Write progress to standard error; if not given, only on a terminal.
        """
        client = daemon_client(daemon, 'drain')
        client.request_object('/drain', field='is_asked', method='POST')
        if not wait:
            document = {'daemon': client.address, 'has_ended': False}
            return render(f'{daemon} is draining', document, is_json=json)
        _wait_until_stopped(client, _progress_writer(progress))
        document = {'daemon': client.address, 'has_ended': True}
        return render(f'{daemon} has ended', document, is_json=json)


def _publisher(
    log: str, daemons: str, operator: str, step: str, *, progress: bool | None
) -> Publisher:
    return Publisher(
        HttpLog(parse_address(log, step), timeout_s=_LOG_TIMEOUT_S),
        parse_addresses(daemons, step),
        str(operator),
        _progress_writer(progress),
    )


def _progress_writer(is_wanted: bool | None) -> Callable[[str], None]:
    if is_wanted is None:
        is_wanted = sys.stderr.isatty()
    return write_progress if is_wanted else _discard_progress


def _discard_progress(line: str) -> None:
    """Write nothing; used if no progress is wanted."""


def _render_report(report: PublishResult, *, is_json: bool) -> str:
    document: dict[str, Any] = {**asdict(report), 'is_in_force': report.is_in_force}
    if report.is_in_force:
        return render(report.text(), document, is_json=is_json)
    if is_json:
        sys.stdout.write(f'{render("", document, is_json=True)}\n')
    exit_with_errors((report.text(),), _report_exit_code(report))


def _report_exit_code(report: PublishResult) -> ExitCode:
    is_rejected = report.verdict is not None and not report.verdict['is_accepted']
    return ExitCode.REJECTED if is_rejected else ExitCode.NOT_IN_FORCE


def _wait_until_stopped(
    daemon: DaemonClient, write_line: Callable[[str], None]
) -> None:
    """Return when nothing listens at a draining daemon's address any more."""
    deadline = time.monotonic() + _DRAIN_TIMEOUT_S
    last_line = ''
    while time.monotonic() < deadline:
        try:
            state = daemon.request_object('/state', field='drain')
        except PeerConnectError:
            return
        except PeerError:
            # It may have ended while it sent the response.
            continue
        line = _drain_line(daemon.address, state)
        if line != last_line:
            write_line(line)
            last_line = line
        time.sleep(_DRAIN_POLL_S)
    exit_with_errors((f'{daemon.address} still runs [drain]',), ExitCode.NOT_IN_FORCE)


def _drain_line(address: str, state: Any) -> str:
    if not state['drain']['is_announced']:
        return f'{address}: waits to announce its leave in the log'
    running = sum(state['endpoints'].get('in_flight', {}).values())
    return f'{address}: off the address list, {running} requests on endpoints'
