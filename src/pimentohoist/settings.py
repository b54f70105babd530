"""A daemon's settings, read from a TOML file and validated as a whole."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic import dataclasses as checked

from pimentohoist.configuration import Address, Name
from pimentohoist.exceptions import SettingsError

_STEP = 'settings'
_MAX_DURATION_S = 3600
_MAX_THREADS = 4096
_Seconds = Annotated[float, Field(gt=0, le=_MAX_DURATION_S)]

_CONFIG = ConfigDict(extra='forbid')


@checked.dataclass(frozen=True, config=_CONFIG)
class DaemonSettings:
    """Name, failure domain and addresses of this daemon.

    Attributes
    ----------
    seed_peers : tuple of str
        Peer addresses of daemons from which the state of the streams is requested if the
        log is down at the start.
    """

    name: Name
    failure_domain: Name
    callers_address: Address
    operators_address: Address
    peer_address: Address
    seed_peers: tuple[Address, ...] = ()


@checked.dataclass(frozen=True, config=_CONFIG)
class PlatformSettings:
    """Addresses of the platform's services and the timeout of requests to them."""

    log_address: Address
    weight_store_address: Address
    instance_list_address: Address
    timeout_s: _Seconds = 2


@checked.dataclass(frozen=True, config=_CONFIG)
class CallersSettings:
    """Limits of callers' requests.

    Attributes
    ----------
    threads : int
        Maximum number of requests served at once.
    max_body_bytes : int
        Maximum size of a request body.
    timeout_s : float
        Time in seconds until the deadline of a request that sets none.
    entries_max_age_s : float
        How long callers may use the list of entry addresses, in seconds.
    drain_limit_s : float
        Maximum time in seconds that a planned stop waits for requests to end.
    """

    threads: Annotated[int, Field(ge=1, le=_MAX_THREADS)] = 64
    max_body_bytes: Annotated[int, Field(ge=1)] = 1_048_576
    timeout_s: _Seconds = 60
    entries_max_age_s: _Seconds = 5
    drain_limit_s: _Seconds = 600


@checked.dataclass(frozen=True, config=_CONFIG)
class SnapshotSettings:
    """How often the streams' states are appended; both well within the log's retention.

    Attributes
    ----------
    every_s : float
        Maximum time in seconds between two snapshots of a stream.
    every_records : int
        Maximum number of records between two snapshots of a stream.
    """

    every_s: _Seconds = 600
    every_records: Annotated[int, Field(ge=1)] = 500


@checked.dataclass(frozen=True, config=_CONFIG)
class LoggingSettings:
    """Settings of the logs."""

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


@checked.dataclass(frozen=True, config=_CONFIG)
class Settings:
    """All of a daemon's settings."""

    daemon: DaemonSettings
    platform: PlatformSettings
    callers: CallersSettings = CallersSettings()
    snapshots: SnapshotSettings = SnapshotSettings()
    logging: LoggingSettings = LoggingSettings()


_SETTINGS_ADAPTER: TypeAdapter[Settings] = TypeAdapter(Settings)


def read_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        Names every fault and its path in the file.
    """
    try:
        document = tomllib.loads(Path(path).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f'{path}: {error}', step=_STEP) from error
    try:
        return _SETTINGS_ADAPTER.validate_python(document)
    except ValidationError as error:
        faults = (
            '.'.join(str(part) for part in fault['loc']) + f': {fault["msg"]}'
            for fault in error.errors()
        )
        raise SettingsError(f'{path}: {"; ".join(faults)}', step=_STEP) from error
