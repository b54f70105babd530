"""What callers, endpoints, the store and the operator see during a soak.

All times are seconds on one monotonic clock of the machine, so that records of different
processes can be compared. Records hold what was seen from outside the daemons only.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """What may be repeated."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'
    RESUMABLE = 'resumable'


class ConnectionEnd(StrEnum):
    """Who ended a caller's connection, as the caller saw it."""

    NONE = 'none'
    CLOSED = 'closed'
    RESET = 'reset'
    LEFT = 'left'
    TIMEOUT = 'timeout'


class RunOutcome(StrEnum):
    """How an endpoint dealt with a request that reached it."""

    REFUSED = 'refused'
    FAILED = 'failed'
    COMPLETED = 'completed'
    BROKEN_OFF = 'broken_off'
    CANCELLED = 'cancelled'


LIMIT_PER_S = 3
"""Requests a second that an endpoint names as its limit."""

BRITTLE_PER_S = 3
"""Requests that a brittle endpoint turns away in a second without falling over."""

BRITTLE_ROOM = 2
"""Requests for which it has room."""


@dataclass(frozen=True, slots=True)
class CallerRecord:
    """One attempt of a caller.

    Attributes
    ----------
    daemon : str
        Host of the daemon to which the caller connected.
    key, workspace : str
        The key that was sent, and the workspace that held it when it was made up.
    tokens : int
        Prompt tokens and the maximum number of output tokens.
    timeout_s : float
        The lesser of the caller's deadline and the route's limit, in seconds.
    read_at : float or None
        When the last byte of the request was sent; None if sending failed.
    status : int
        0 without a response's head.
    is_whole : bool
        Whether the response came to its end.
    events : tuple of int
        Numbers of the events of a stream, as they arrived.
    is_kept : bool
        Whether the connection had carried a request before.
    """

    request_id: str
    daemon: str
    route: str
    kind: RequestKind
    key: str
    workspace: str
    adapter: str
    tokens: int
    timeout_s: float
    sent_at: float
    read_at: float | None
    first_byte_at: float | None
    ended_at: float
    status: int
    retry_after_s: float | None
    has_seal: bool
    is_whole: bool
    events: tuple[int, ...]
    end: ConnectionEnd
    is_kept: bool


@dataclass(frozen=True, slots=True)
class RunRecord:
    """One arrival of a request at an endpoint.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint's incarnation.
    daemon : str
        Host of the daemon that sent it; empty if unknown.
    last_event_id : int
        The event after which it was resumed; 0 if it began anew.
    has_key : bool
        Whether the caller's key was passed on.
    left_s : float or None
        The time that the daemon named as left, in seconds.
    status : int
        The status that the endpoint answered; 0 if it isn't known.
    last_event : int or None
        Number of the last event that the endpoint sent; None if it isn't known.
    software_version : str
        Version of the endpoint's software.
    """

    request_id: str
    endpoint: str
    group: str
    daemon: str
    path: str
    workspace: str
    adapter: str
    version: int
    last_event_id: int
    has_key: bool
    left_s: float | None
    arrived_at: float
    ended_at: float | None
    outcome: RunOutcome
    status: int = 0
    last_event: int | None = None
    software_version: str = ''


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """One order that reached an engine, and what the engine held after it."""

    engine: str
    holder: str
    fence: int
    opcode: str
    adapter: str
    status: int
    arrived_at: float
    held: int
    slots: int


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """One configuration that the operator sent.

    Attributes
    ----------
    acknowledged_at : float or None
        When the store acknowledged it; None if it never did.
    routes : frozenset of str
        Names of the routes.
    keys : dict of str to str
        Workspaces by key.
    rates : dict of str to tuple of float
        Tokens a second and burst, by workspace.
    is_valid : bool
        Whether daemons may put it in force.
    groups : dict of str to str
        Endpoint groups by route.
    """

    version: int
    sent_at: float
    acknowledged_at: float | None
    routes: frozenset[str]
    keys: dict[str, str]
    rates: dict[str, tuple[float, float]]
    is_valid: bool = True
    groups: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FaultRecord:
    """One fault or planned change.

    Attributes
    ----------
    kind : str
        As in the plan, such as ``term``, ``kill``, ``pause`` or ``store_silent``.
    target : str
        Host of a daemon, id of an endpoint, or the name of a link.
    """

    kind: str
    target: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    """The end of one process of a daemon.

    Attributes
    ----------
    signalled_at : float or None
        When it got SIGTERM.
    killed_at : float or None
        When it got SIGKILL.
    """

    daemon: str
    started_at: float
    ready_at: float | None
    signalled_at: float | None
    killed_at: float | None
    ended_at: float | None
    exit_code: int | None


@dataclass(frozen=True, slots=True)
class Bounds:
    """The platform's bounds, in seconds unless named otherwise."""

    grace_s: float = 8.0
    contact_s: float = 3.0
    loss_slack_s: float = 0.2
    configuration_s: float = 2.0
    rollback_slack_s: float = 0.25
    drain_s: float = 2.0
    lease_s: float = 3.0
    retry_ratio: float = 0.2
    retry_slack: float = 54
    budget_window_s: float = 10.0
    quota_window_s: float = 8.0
    quota_over: float = 0.1
    quota_slack_tokens: float = 110_000
    cancel_s: float = 0.5
    limit_window_s: float = 4.0
    limit_over: float = 1.5
    limit_slack: float = 5
    told_s: float = 0.5
    reach_share: float = 2 / 3
    reach_failures: float = 10
    reach_failed_share: float = 0.02
    recover_s: float = 12
    recover_share: float = 0.25
    brittle_falls: float = 2
    brittle_falls_share: float = 0.1


@dataclass(frozen=True, slots=True)
class Observations:
    """All that was seen in one run."""

    seed: int
    began_at: float
    ended_at: float
    bounds: Bounds
    callers: tuple[CallerRecord, ...] = ()
    runs: tuple[RunRecord, ...] = ()
    orders: tuple[OrderRecord, ...] = ()
    configurations: tuple[ConfigurationRecord, ...] = ()
    faults: tuple[FaultRecord, ...] = ()
    processes: tuple[ProcessRecord, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise.

    Attributes
    ----------
    promise : str
        Name of the check.
    text : str
        What was seen and what was promised, with the figures.
    request_id : str
        The request whose log records explain it; empty if it concerns none.
    """

    promise: str
    at: float
    text: str
    request_id: str = ''


@dataclass(frozen=True, slots=True)
class CheckResult:
    """What one check found, and to how many observations it applied."""

    promise: str
    applied: int
    violations: tuple[Violation, ...]
