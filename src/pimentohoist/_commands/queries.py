"""Commands that read and change nothing."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from types import MappingProxyType
from typing import Any

from pimentohoist._commands.command_io import (
    daemon_client,
    read_configuration,
    render,
)
from pimentohoist._commands.tables import csv_text, table_text
from pimentohoist._decisions.forecast import Forecast, forecast_month
from pimentohoist._publisher import find_changes
from pimentohoist.configuration import Configuration
from pimentohoist.exceptions import SettingsError

_MONTHS_A_YEAR = 12
_CHANGE_SIGNS: Mapping[str, str] = MappingProxyType(
    {'added': '+', 'changed': '~', 'removed': '-'}
)


@dataclass(frozen=True, slots=True)
class _ShownChange:
    section: str
    change: str
    text: str | None


class QueryCommands:
    """Commands that change nothing."""

    def check(self, path: str, json: bool = False) -> str:
        """Check a configuration text; print its digest if it is valid.

        Example: pimentohoistctl check fleet.toml

        Parameters
        ----------
        json : bool
            Print the digest and the number of sections of each kind as JSON.
        """
        configuration = read_configuration(path, 'check')
        kinds = (identity.partition('/')[0] for identity in configuration.sections)
        document = {'digest': configuration.digest(), 'sections': Counter(kinds)}
        return render(configuration.digest(), document, is_json=json)

    def diff(self, path: str, daemon: str, json: bool = False) -> str:
        """Print which sections a text would add, change or remove.

        Example: pimentohoistctl diff fleet.toml 10.0.0.4:8001

        Parameters
        ----------
        json : bool
            Print the changes as JSON, each with its new text.
        """
        new_configuration = read_configuration(path, 'diff')
        in_force = daemon_client(daemon, 'diff').configuration()
        changes = [
            _ShownChange(
                change.section,
                _change_kind(in_force, change.section, change.text),
                change.text,
            )
            for change in find_changes(in_force, new_configuration)
        ]
        text = '\n'.join(
            f'{_CHANGE_SIGNS[shown_change.change]} {shown_change.section}'
            for shown_change in changes
        )
        return render(text, list(map(asdict, changes)), is_json=json)

    def show(self, daemon: str, json: bool = False) -> None:
        """Print the configuration in force at a daemon, byte for byte.

        Example: pimentohoistctl show 10.0.0.4:8001 > fleet.toml

        Parameters
        ----------
        json : bool
            Print text, digest and the log's next offset as JSON.
        """
        document = daemon_client(daemon, 'show').request_object(
            '/configuration', field='text'
        )
        # Returning the text would make fire print it with a newline added.
        sys.stdout.write(render(document['text'], document, is_json=json))

    def history(self, daemon: str, json: bool = False) -> str:
        """Print the latest publishes and the decision on each.

        Example: pimentohoistctl history 10.0.0.4:8001

        Parameters
        ----------
        json : bool
            Print the verdicts as JSON.
        """
        entries = daemon_client(daemon, 'history').request_list('/history')
        return render('\n'.join(map(_history_line, entries)), entries, is_json=json)

    def state(self, daemon: str, json: bool = True) -> str:
        """Print the state of a daemon, always as JSON.

        Example: pimentohoistctl state 10.0.0.4:8001
        """
        return render(
            '',
            daemon_client(daemon, 'state').request_object('/state', field='view'),
            is_json=True,
        )

    def entries(self, caller_address: str, json: bool = False) -> str:
        """Print the addresses that callers may use, as a daemon lists them.

        Example: pimentohoistctl entries 10.0.0.4:8000

        Parameters
        ----------
        json : bool
            Print the addresses and how long callers may store them as JSON.
        """
        document = daemon_client(caller_address, 'entries').request_object(
            '/v1/entries', field='entries'
        )
        return render('\n'.join(document['entries']), document, is_json=json)

    def forecast(
        self, path: str, month: str = '', output: str = 'table', json: bool = False
    ) -> str:
        """Print the maximum that each workspace can spend in a month.

        Example: pimentohoistctl forecast fleet.toml --month=2027-01 --output=csv

        Parameters
        ----------
        path : str
            Configuration text.
        month : str
            Month in the form 2027-01; the next month if not given.
        output : str
            Format: table, csv or json.
        json : bool
            The same as --output=json.
        """
        year, number = _read_month(month)
        if output not in {'table', 'csv', 'json'}:
            raise SettingsError(
                f'output: not table, csv or json: {output}', step='forecast'
            )
        sections = read_configuration(path, 'forecast').sections.values()
        rows = [
            _forecast_row(forecast)
            for forecast in forecast_month(sections, year, number)
        ]
        names = list(Forecast.__dataclass_fields__)
        text = csv_text(names, rows) if output == 'csv' else table_text(names, rows)
        return render(text, rows, is_json=json or output == 'json')


def _change_kind(in_force: Configuration, section: str, text: str | None) -> str:
    if text is None:
        return 'removed'
    return 'changed' if section in in_force.sections else 'added'


def _history_line(entry: dict[str, Any]) -> str:
    decision = 'accepted' if entry['is_accepted'] else 'rejected'
    operator = entry['operator'] or '-'
    reasons = '; '.join([*entry['conflicts'], *entry['faults']])
    line = (
        f'{entry["offset"]} {entry["published_at"]} {operator} {decision} '
        f'{entry["sections"]} sections {reasons}'
    )
    return line.rstrip()


def _read_month(text: str) -> tuple[int, int]:
    if not text:
        return _month_after(datetime.now(UTC))
    try:
        month = datetime.strptime(str(text), '%Y-%m')
    except ValueError as error:
        raise SettingsError(
            f'month: not as 2027-01: {text}', step='forecast'
        ) from error
    return month.year, month.month


def _month_after(date: datetime) -> tuple[int, int]:
    years, month = divmod(date.month, _MONTHS_A_YEAR)
    return date.year + years, month + 1


def _forecast_row(forecast: Forecast) -> dict[str, str]:
    return {name: str(value) for name, value in asdict(forecast).items()}
