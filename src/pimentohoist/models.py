"""Frozen data classes that several modules share."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A record of a log stream.

    Attributes
    ----------
    offset : int
        Position in the stream, from 0, without gaps.
    body : bytes
        Content as appended.
    """

    offset: int
    body: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Response to a read of a log stream.

    Attributes
    ----------
    first_offset : int
        Lowest offset that the log still keeps.
    next_offset : int
        Offset of the next record to be appended, the head of the stream.
    records : tuple of LogRecord
        Records in order; empty if the reader is at the head.
    """

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True, order=True)
class AdapterVersion:
    """An adapter with the version resolved."""

    adapter: str
    version: int

    def __str__(self) -> str:
        """Return the name that engines use for it."""
        return f'{self.adapter}@{self.version}'


@dataclass(frozen=True, slots=True)
class Member:
    """An incarnation of a daemon in the view.

    Attributes
    ----------
    incarnation : str
        Unique id of one run of a daemon.
    peer_address, callers_address : str
        ``ip:port`` for gRPC and for callers' HTTP.
    failure_domain : str
        From the daemon's settings.
    epoch : int
        One more than the offset of the join record.
    is_leaving : bool
        Whether callers are no longer sent to it.
    operators_address : str
        ``ip:port`` for operators' HTTP, which serves the daemon's state and the
        configuration in force; empty if not configured.
    """

    incarnation: str
    peer_address: str
    callers_address: str
    failure_domain: str
    epoch: int = 0
    is_leaving: bool = False
    operators_address: str = ''


@dataclass(frozen=True, slots=True)
class InstanceEntry:
    """An entry of the platform's list of instances, which lags behind."""

    address: str
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class WeightInfo:
    """The weight store's report on an adapter version."""

    size_bytes: int
    loads_in_flight: int


@dataclass(frozen=True, slots=True)
class AdapterOrder:
    """An order to an engine, fenced by the epoch of the sender's view."""

    adapter: AdapterVersion
    fencing_number: int


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """An engine's report on residency and load; both lag behind."""

    resident: frozenset[AdapterVersion]
    requests_in_flight: int
    slots: int
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class Generation:
    """A request to an engine.

    Attributes
    ----------
    request_id : str
        Repeated in every chunk of the response.
    adapter : AdapterVersion
        Adapter version to use.
    prompt : str
        Whole prompt text.
    max_tokens : int
        Maximum number of tokens to generate.
    cache_salt : str
        Separates the prefix caches of workspaces from each other.
    resume_offset : int
        Number of tokens already received; the response starts after them.
    is_urgent : bool
        Priority class.
    """

    request_id: str
    adapter: AdapterVersion
    prompt: str
    max_tokens: int
    cache_salt: str
    resume_offset: int = 0
    is_urgent: bool = False


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """One generated token; the last one has a `finish_reason`."""

    request_id: str
    adapter: AdapterVersion
    offset: int
    text: str
    finish_reason: str | None = None


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service."""

    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str
    is_idempotent: bool
    idempotency_key: str = ''


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """A plain service's whole response."""

    status: int
    body: bytes
    content_type: str
    headers: Mapping[str, str] = field(default_factory=dict)
