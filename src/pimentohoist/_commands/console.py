"""What commands read and write: files, daemons' answers, output, exit codes."""

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
from pimentohoist._http_client import HttpClient, HttpRequest
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
    """How a command ended."""

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2
    REJECTED = 3
    NOT_IN_FORCE = 4


_EXIT_CODES: Mapping[type[PimentohoistError], ExitCode] = MappingProxyType(
    {SettingsError: ExitCode.BAD_INPUT, PublishConflictError: ExitCode.REJECTED}
)


@dataclass(frozen=True, slots=True)
class Remote:
    """A daemon as one command sees it.

    Attributes
    ----------
    step : str
        Name of the command, for its errors.
    """

    address: str
    step: str

    def ask(self, path: str, *, field: str, method: str = 'GET') -> Any:
        """Return the JSON object that the daemon answers, which must have a field."""
        document = self._ask(path, method)
        if not isinstance(document, dict) or field not in document:
            raise self._foreign()
        return document

    def ask_list(self, path: str) -> list[Any]:
        """Return the JSON list that the daemon answers."""
        document = self._ask(path, 'GET')
        if not isinstance(document, list):
            raise self._foreign()
        return document

    def configuration(self) -> Configuration:
        """Return what is in force at the daemon."""
        return Configuration.parse(self.ask('/configuration', field='text')['text'])

    def _ask(self, path: str, method: str) -> Any:
        client = HttpClient(self.address, timeout_s=_TIMEOUT_S, step=self.step)
        try:
            return client.ask_json(HttpRequest.of_json(method, path))
        except PeerRefusedError as error:
            if error.peer_status != HTTPStatus.NOT_FOUND:
                raise
            raise SettingsError(
                f'there is no {path} at this address', step=self.step, peer=self.address
            ) from error

    def _foreign(self) -> PeerError:
        return PeerError(
            'not the answer of a daemon', step=self.step, peer=self.address
        )


def remote(address: Any, step: str) -> Remote:
    """Return the daemon at an address; raises SettingsError if it is none."""
    return Remote(checked_address(address, step), step)


def checked_address(address: Any, step: str) -> str:
    """Return an address as text; raises SettingsError unless it is ``ip:port``."""
    text = str(address)
    try:
        host, _ = split_address(text)
    except ValueError:
        host = ''
    if not host:
        raise SettingsError(f'not an address as 10.0.0.4:8001: {text!r}', step=step)
    return text


def checked_addresses(addresses: Any, step: str) -> tuple[str, ...]:
    """Return addresses that were given separated by commas."""
    parts = addresses if isinstance(addresses, tuple) else str(addresses).split(',')
    return tuple(checked_address(part, step) for part in parts)


def read_configuration(path: Any, step: str) -> Configuration:
    """Return the configuration of a file."""
    try:
        text = Path(str(path)).read_text(encoding='utf-8')
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}', step=step) from error
    except UnicodeDecodeError as error:
        raise SettingsError(f'{path}: not UTF-8', step=step) from error
    return Configuration.parse(text)


def render(text: str, document: Any, *, is_json: bool) -> str:
    """Return what a command prints: its text, or its document as JSON."""
    return json.dumps(document, indent=2, default=str) if is_json else text


def write_progress(line: str) -> None:
    """Tell a person how far a command is, on standard error."""
    sys.stderr.write(f'{line}\n')
    sys.stderr.flush()


def fail(lines: tuple[str, ...], code: ExitCode) -> NoReturn:
    """Write each line of an error on standard error and end with a code."""
    for line in lines:
        sys.stderr.write(f'pimentohoistctl: {" ".join(line.split())}\n')
    sys.exit(code)


def exit_code(error: PimentohoistError) -> ExitCode:
    """Return the exit code that stands for an error."""
    return _EXIT_CODES.get(type(error), ExitCode.FAILED)
