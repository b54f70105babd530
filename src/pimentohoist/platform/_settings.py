"""Settings of a daemon on the platform, read from TOML and checked."""

from __future__ import annotations

import os
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pimentohoist._decisions.cold_endpoints import ColdBounds
from pimentohoist._decisions.homes import Regions
from pimentohoist.exceptions import SettingsError

SETTINGS_VARIABLE = 'PIMENTOHOIST_BOOT'
"""Environment variable that holds the path of the settings file."""

INSTANCE_VARIABLE = 'PIMENTOHOIST_INSTANCE'
"""Environment variable that may hold further settings as TOML; those of the file go first.
The deploy file sets it, so that the template of the file has what each deployment states."""

_STEP = 'settings'
_MS_PER_S = 1000
_COLD_BOUNDS = ColdBounds(over=3 / 2, slack=5)
"""For groups with cold endpoints on a platform that states no limit of its own."""

_PORTS = 3
"""For heartbeats, metrics and forwarded requests."""


@dataclass(frozen=True, slots=True)
class EntryBounds:
    """Limits that the platform states for the whole fleet.

    Attributes
    ----------
    retry_ratio, retry_slack, retry_window_s : float
        In each window, retries that arrive at endpoints number at most the ratio times
        the requests, plus the slack.
    lease_s : float
        Time within which two holders may not alternate in ordering an engine.
    grace_s : float
        Time between the signal to stop and the kill.
    max_directory_age_s : float
        Longest time for which a caller caches a response of the directory.
    """

    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    lease_s: float
    grace_s: float
    max_directory_age_s: float


@dataclass(frozen=True, slots=True)
class InstanceLimits:
    """What an instance has, from which limits on callers are derived.

    Attributes
    ----------
    memory_mb : float
        Its memory in MiB.
    max_descriptors : int
        Descriptors that the daemon may have open.
    body_timeout_s : float
        Time for a request's body to come; 4 MiB take 7 s at 5 Mbit/s, or 42 s if each byte
        is a chunk.
    """

    memory_mb: float = 256
    max_descriptors: int = 8192
    body_timeout_s: float = 60


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """The daemon's name and addresses, the store's address and the fleet's limits.

    Attributes
    ----------
    link_mbps : float
        Speed of the instance's link in Mbit/s; 0 if it isn't stated.
    """

    name: str
    failure_domain: str
    host: str
    callers_address: str
    ready_address: str
    control_address: str
    directory_address: str
    peer_port: int
    metrics_port: int
    forwarding_port: int
    partitions: int
    engines_check_fences: bool
    seeds: tuple[str, ...]
    store_address: str
    bounds: EntryBounds
    link_mbps: float = 0
    cold_bounds: ColdBounds = _COLD_BOUNDS
    regions: Regions = Regions()
    limits: InstanceLimits = field(default_factory=InstanceLimits)

    @property
    def peer_address(self) -> str:
        """Return the address on which the daemon answers other daemons."""
        return f'{self.host}:{self.peer_port}'


def read_entry_settings(path: str) -> EntrySettings:
    """Read and check the settings; raises a SettingsError that names the field."""
    try:
        document = tomllib.loads(Path(path).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f'{path}: {error}', step=_STEP) from error
    reader = _FieldReader(path, _with_instance_settings(document))
    first_port, _ = reader.ports('daemon.port_range')
    return EntrySettings(
        reader.text('daemon.name'),
        reader.text('daemon.failure_domain'),
        reader.text('daemon.host'),
        reader.text('listen.callers'),
        reader.text('listen.ready'),
        reader.text('listen.control'),
        reader.text('listen.directory'),
        first_port,
        first_port + 1,
        first_port + 2,
        int(reader.number('store.partitions')),
        reader.flag('bounds.engines_check_fences'),
        tuple(filter(None, reader.text('daemon.seeds', '').split(','))),
        reader.text('store.address'),
        EntryBounds(
            reader.number('bounds.retry_ratio'),
            reader.number('bounds.retry_slack'),
            reader.number('bounds.retry_window_s'),
            reader.number('bounds.lease_ms') / _MS_PER_S,
            reader.number('bounds.grace_s'),
            reader.number('bounds.most_directory_age_s'),
        ),
        reader.number('limits.link_mbps', 0),
        ColdBounds(
            reader.number('bounds.cold_over', _COLD_BOUNDS.over),
            reader.number('bounds.cold_slack', _COLD_BOUNDS.slack),
        ),
        reader.regions(),
        _read_limits(reader),
    )


def _with_instance_settings(document: Mapping[str, Any]) -> Mapping[str, Any]:
    """Return the settings of the file and those of the environment's variable."""
    try:
        instance = tomllib.loads(os.environ.get(INSTANCE_VARIABLE, ''))
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f'{INSTANCE_VARIABLE}: {error}', step=_STEP) from error
    merged = dict(document)
    for name, table in instance.items():
        own = document.get(name, {})
        is_table = isinstance(table, Mapping) and isinstance(own, Mapping)
        merged[name] = {**table, **own} if is_table else document.get(name, table)
    return merged


def _read_limits(reader: _FieldReader) -> InstanceLimits:
    defaults = InstanceLimits()
    return InstanceLimits(
        reader.positive('limits.memory_mb', defaults.memory_mb),
        int(reader.positive('limits.max_descriptors', defaults.max_descriptors)),
        reader.positive('limits.body_timeout_s', defaults.body_timeout_s),
    )


class _FieldReader:
    """Reads typed fields of a document; its errors name the field."""

    def __init__(self, path: str, document: Mapping[str, Any]) -> None:
        self.path = path
        self.document = document

    def text(self, field: str, default: str | None = None) -> str:
        found = self._find(field, default)
        if not isinstance(found, str) or (not found and default is None):
            raise self._field_error(field, f'must be a string, got {found!r}')
        return found

    def number(self, field: str, default: float | None = None) -> float:
        found = self._find(field, default)
        if not isinstance(found, (int, float)) or isinstance(found, bool) or found < 0:
            raise self._field_error(field, f'must be a number >= 0, got {found!r}')
        return found

    def positive(self, field_name: str, default: float) -> float:
        found: Any = self._find(field_name, default)
        is_number = isinstance(found, (int, float)) and not isinstance(found, bool)
        if not (is_number and 0 < found < float('inf')):
            raise self._field_error(
                field_name, f'must be a number above 0, got {found!r}'
            )
        return float(found)

    def flag(self, field: str) -> bool:
        found = self._find(field, None)
        if not isinstance(found, bool):
            raise self._field_error(field, f'must be true or false, got {found!r}')
        return found

    def ports(self, field: str) -> tuple[int, int]:
        first, _, last = self.text(field).partition(',')
        is_range = first.isdecimal() and last.isdecimal()
        if not (is_range and int(first) + _PORTS <= int(last) + 1):
            raise self._field_error(
                field, f'must be a range of {_PORTS} ports or more, "FIRST,LAST"'
            )
        return int(first), int(last)

    def regions(self) -> Regions:
        """Return the regions of failure domains; that of the own one may stand alone."""
        field = 'regions.of_domains'
        pairs = {}
        for pair in filter(None, re.split(r'[,;\s]+', self.text(field, ''))):
            domain, _, region = pair.removeprefix('zones.').partition('=')
            if not (domain and region):
                raise self._field_error(field, f'must be DOMAIN=REGION, got {pair!r}')
            pairs[domain] = region
        own = self.text('regions.own', '')
        if own:
            pairs.setdefault(self.text('daemon.failure_domain'), own)
        return Regions(pairs)

    def _find(self, field: str, default: object) -> object:
        table: Any = self.document
        for part in field.split('.'):
            if not isinstance(table, Mapping) or part not in table:
                if default is None:
                    raise self._field_error(field, 'is missing')
                return default
            table = table[part]
        return table

    def _field_error(self, field: str, text: str) -> SettingsError:
        return SettingsError(f'{self.path}: {field} {text}', step=_STEP)
