"""A daemon's settings, read from TOML and checked as a whole."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic import dataclasses as checked

from pimentohoist.configuration import Address, Name
from pimentohoist.exceptions import SettingsError

_STEP = 'settings'
_MAX_SECONDS = 3600
_MAX_THREADS = 4096
_Seconds = Annotated[float, Field(gt=0, le=_MAX_SECONDS)]

_CONFIG = ConfigDict(extra='forbid')


@checked.dataclass(frozen=True, config=_CONFIG)
class DaemonSettings:
    """Who this daemon is and where it listens.

    Attributes
    ----------
    seed_peers : tuple of str
        Peer addresses of daemons that are asked for the state of the streams if the log
        is down at the start.
    """

    name: Name
    failure_domain: Name
    callers_address: Address
    operators_address: Address
    peer_address: Address
    seed_peers: tuple[Address, ...] = ()


@checked.dataclass(frozen=True, config=_CONFIG)
class PlatformSettings:
    """Where the platform's services are."""

    log_address: Address
    weight_store_address: Address
    instance_list_address: Address
    timeout_s: _Seconds = 2


@checked.dataclass(frozen=True, config=_CONFIG)
class CallersSettings:
    """What callers may ask.

    Attributes
    ----------
    threads : int
        Requests served at once.
    max_body_bytes : int
        Largest request body.
    timeout_s : float
        Deadline of a request that names none.
    entries_max_age_s : float
        How long callers may keep the list of entry addresses.
    drain_limit_s : float
        Longest time that a planned stop waits for requests to end.
    """

    threads: Annotated[int, Field(ge=1, le=_MAX_THREADS)] = 64
    max_body_bytes: Annotated[int, Field(ge=1)] = 1_048_576
    timeout_s: _Seconds = 60
    entries_max_age_s: _Seconds = 5
    drain_limit_s: _Seconds = 600


@checked.dataclass(frozen=True, config=_CONFIG)
class SnapshotSettings:
    """How often the streams' states are appended, both well within the log's retention.

    Attributes
    ----------
    every_s : float
        Longest time between two snapshots of a stream.
    every_records : int
        Most records between two snapshots of a stream.
    """

    every_s: _Seconds = 600
    every_records: Annotated[int, Field(ge=1)] = 500


@checked.dataclass(frozen=True, config=_CONFIG)
class LoggingSettings:
    """How much is logged."""

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


@checked.dataclass(frozen=True, config=_CONFIG)
class Settings:
    """All of a daemon's settings."""

    daemon: DaemonSettings
    platform: PlatformSettings
    callers: CallersSettings = CallersSettings()
    snapshots: SnapshotSettings = SnapshotSettings()
    logging: LoggingSettings = LoggingSettings()


_SETTINGS: TypeAdapter[Settings] = TypeAdapter(Settings)


def read_settings(path: str) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        With every fault and its path in the file.
    """
    try:
        document = tomllib.loads(Path(path).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f'{path}: {error}', step=_STEP) from error
    try:
        return _SETTINGS.validate_python(document)
    except ValidationError as error:
        faults = (
            '.'.join(str(part) for part in fault['loc']) + f': {fault["msg"]}'
            for fault in error.errors()
        )
        raise SettingsError(f'{path}: {"; ".join(faults)}', step=_STEP) from error
