"""The operators' command line."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import NoReturn

import fire

from pimentohoist._http_client import HttpClient, HttpRequest
from pimentohoist._platform.log import HttpLog
from pimentohoist._publisher import Publisher, Report
from pimentohoist.configuration import Configuration, section_text
from pimentohoist.exceptions import PimentohoistError, SettingsError
from pimentohoist.keys import create_key

_STEP = 'ctl'
_TIMEOUT_S = 5.0
_EXIT_FAILED = 1


class Commands:
    """Commands of pimentohoistctl; ``pimentohoistctl COMMAND --help`` explains each."""

    def check(self, path: str) -> str:
        """Check a configuration text; print its digest if it is sound."""
        return _read(path).digest()

    def show(self, daemon: str) -> str:
        """Print the configuration in force at a daemon's operators' address."""
        return str(_ask(daemon, '/configuration')['text']).rstrip('\n')

    def state(self, daemon: str) -> str:
        """Print the state of the daemon at an operators' address."""
        return json.dumps(_ask(daemon, '/state'), indent=2)

    def publish(self, path: str, log: str, daemons: str, operator: str = '') -> str:
        """Publish a configuration text and wait until it is in force.

        Parameters
        ----------
        path : str
            Configuration text.
        log : str
            Address of the platform's log.
        daemons : str
            Operators' addresses, separated by commas.
        operator : str
            Who publishes, for the record.
        """
        publisher = Publisher(
            HttpLog(log, timeout_s=_TIMEOUT_S), _addresses(daemons), operator
        )
        report = publisher.publish(_read(path))
        if not report.is_in_force:
            _fail(report)
        return report.text()

    def key_new(self, name: str, workspace: str) -> str:
        """Print a new key's section, and the key itself on standard error."""
        section, key = create_key(name, workspace)
        sys.stderr.write(f'{key}\n')
        return section_text(section).rstrip('\n')


def _addresses(daemons: str | tuple[str, ...]) -> tuple[str, ...]:
    if isinstance(daemons, str):
        return tuple(daemons.split(','))
    return tuple(daemons)


def _ask(address: str, path: str) -> dict[str, object]:
    client = HttpClient(address, timeout_s=_TIMEOUT_S, step=_STEP)
    document: dict[str, object] = client.ask_json(HttpRequest.of_json('GET', path))
    return document


def _read(path: str) -> Configuration:
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}', step=_STEP) from error
    return Configuration.parse(text)


def _fail(report: Report) -> NoReturn:
    sys.stderr.write(f'pimentohoistctl: {report.text()}\n')
    sys.exit(_EXIT_FAILED)


def main() -> None:
    """Run ``pimentohoistctl``."""
    try:
        fire.Fire(Commands, name='pimentohoistctl')
    except PimentohoistError as error:
        sys.stderr.write(f'pimentohoistctl: {error}\n')
        sys.exit(_EXIT_FAILED)
