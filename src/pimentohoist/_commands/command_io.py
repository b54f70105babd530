"""Input and output of commands: files, requests to daemons, printing, exit codes."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from http import HTTPStatus
from pathlib import Path
from types import MappingProxyType
from typing import Any, NoReturn

from pimentohoist._addresses import split_address
from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist.configuration import Configuration
from pimentohoist.exceptions import (
    PeerError,
    PeerRefusedError,
    PimentohoistError,
    PublishConflictError,
    SettingsError,
)

_TIMEOUT_S = 5.0


class ExitCode(IntEnum):
    """Exit codes of ``pimentohoistctl``."""

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2
    REJECTED = 3
    NOT_IN_FORCE = 4


_EXIT_CODES: Mapping[type[PimentohoistError], ExitCode] = MappingProxyType(
    {SettingsError: ExitCode.BAD_INPUT, PublishConflictError: ExitCode.REJECTED}
)


@dataclass(frozen=True, slots=True)
class DaemonClient:
    """Client of one daemon for one command.

    Attributes
    ----------
    step : str
        Name of the command, for its errors.
    """

    address: str
    step: str

    def request_object(self, path: str, *, field: str, method: str = 'GET') -> Any:
        """Request a path and return its JSON object, which must have `field`."""
        document = self._request(path, method)
        if not isinstance(document, dict) or field not in document:
            raise self._foreign_response_error()
        return document

    def request_list(self, path: str) -> list[Any]:
        """Request a path and return its JSON list."""
        document = self._request(path, 'GET')
        if not isinstance(document, list):
            raise self._foreign_response_error()
        return document

    def configuration(self) -> Configuration:
        """Return the configuration in force at the daemon."""
        return Configuration.parse(
            self.request_object('/configuration', field='text')['text']
        )

    def _request(self, path: str, method: str) -> Any:
        client = HttpClient(self.address, timeout_s=_TIMEOUT_S, step=self.step)
        try:
            return client.request_json(HttpRequest.from_json(method, path))
        except PeerRefusedError as error:
            if error.peer_status != HTTPStatus.NOT_FOUND:
                raise
            raise SettingsError(
                f'there is no {path} at this address', step=self.step, peer=self.address
            ) from error

    def _foreign_response_error(self) -> PeerError:
        return PeerError(
            'not the answer of a daemon', step=self.step, peer=self.address
        )


def daemon_client(address: Any, step: str) -> DaemonClient:
    """Return the client of a daemon; raises SettingsError if the address is invalid."""
    return DaemonClient(parse_address(address, step), step)


def parse_address(address: Any, step: str) -> str:
    """Return an address as text; raises SettingsError unless it is ``ip:port``."""
    text = str(address)
    try:
        host, _ = split_address(text)
    except ValueError:
        host = ''
    if not host:
        raise SettingsError(
            f'not an address: expected ip:port as in 10.0.0.4:8001, got {text!r}',
            step=step,
        )
    return text


def parse_addresses(addresses: Any, step: str) -> tuple[str, ...]:
    """Return the addresses of a comma-separated list; raises SettingsError."""
    parts = addresses if isinstance(addresses, tuple) else str(addresses).split(',')
    return tuple(parse_address(part, step) for part in parts)


def read_configuration(path: Any, step: str) -> Configuration:
    """Return the configuration in a file; raises SettingsError if it is unreadable."""
    try:
        text = Path(str(path)).read_text(encoding='utf-8')
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}', step=step) from error
    except UnicodeDecodeError as error:
        raise SettingsError(f'{path}: not UTF-8', step=step) from error
    return Configuration.parse(text)


def render(text: str, document: Any, *, is_json: bool) -> str:
    """Return the output of a command: its text, or its document as JSON."""
    return json.dumps(document, indent=2, default=str) if is_json else text


def write_progress(line: str) -> None:
    """Write a line on the progress of a command to standard error."""
    sys.stderr.write(f'{line}\n')
    sys.stderr.flush()


def exit_with_errors(lines: tuple[str, ...], code: ExitCode) -> NoReturn:
    """Write the lines of an error to standard error and exit with a code."""
    for line in lines:
        sys.stderr.write(f'pimentohoistctl: {" ".join(line.split())}\n')
    sys.exit(code)


def exit_code_of(error: PimentohoistError) -> ExitCode:
    """Return the exit code of an error."""
    return _EXIT_CODES.get(type(error), ExitCode.FAILED)
