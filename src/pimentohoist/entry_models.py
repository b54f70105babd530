"""What an entry daemon knows of routes, workspaces, endpoints and requests."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property


class RepeatPolicy(StrEnum):
    """How often a request may run.

    `REPEATABLE` ones may run again; `ONCE` ones run at most once for each attempt of the
    caller, and so do `STREAM` ones unless their route lets them resume.
    """

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class WeightedGroup:
    """An endpoint group behind a route, with its share of the route's requests."""

    group: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host below a path prefix go.

    Attributes
    ----------
    timeout_s : float
        Longest time that a request is kept waiting for its whole answer.
    goal_s : float
        Time within which an answer is wanted; for streams, its first event.
    max_endpoints : int
        Endpoints that may run one attempt of a caller.
    priority : int
        0 is the most urgent.
    is_open : bool
        Whether it needs no key.
    """

    name: str
    host: str
    prefix: str
    kind: RepeatPolicy
    timeout_s: float
    goal_s: float
    priority: int
    shares: tuple[WeightedGroup, ...]
    max_endpoints: int
    is_open: bool
    can_resume: bool

    @property
    def may_repeat(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.kind is RepeatPolicy.REPEATABLE


@dataclass(frozen=True, slots=True)
class ModelSize:
    """A base model and its adapters, in megabytes of an engine's memory."""

    model: str
    weights_mb: float
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What one engine of a group can hold and run."""

    slots: int
    weights_mb: float
    adapter_slots: int
    models: tuple[ModelSize, ...]

    def adapter_slot_count(self, held_models: tuple[str, ...]) -> int:
        """Return how many adapters fit beside the models that an engine holds."""
        sizes = {size.model: size for size in self.models}
        held = [sizes[name] for name in held_models if name in sizes]
        free_mb = self.weights_mb - sum(size.weights_mb for size in held)
        adapter_mb = max((size.adapter_mb for size in held), default=0)
        if adapter_mb <= 0:
            return self.adapter_slots
        return max(0, min(self.adapter_slots, int(free_mb // adapter_mb)))


@dataclass(frozen=True, slots=True)
class EndpointGroup:
    """Endpoints that serve the same; `engine` is None for plain services."""

    name: str
    max_connections: int
    engine: EngineLimits | None = None


@dataclass(frozen=True, slots=True)
class Workspace:
    """Who pays for a request.

    Attributes
    ----------
    priority : int or None
        Goes before that of the route.
    rate, burst : float
        Tokens a second, and tokens; a rate of 0 is no limit.
    plain_tokens : int
        What a request counts that names no tokens.
    """

    name: str
    keys: frozenset[str] = field(repr=False)
    priority: int | None
    rate: float
    burst: float
    plain_tokens: int


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and for how long it may keep a connection waiting.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest header and body of a request.
    header_s : float
        Time from a header's first byte to its last.
    idle_s : float
        Time without a request after which a connection is closed.
    """

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


@dataclass(frozen=True)
class Declaration:
    """The operators' configuration at one version."""

    version: int
    routes: tuple[Route, ...]
    groups: Mapping[str, EndpointGroup]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits
    text: bytes = field(default=b'', repr=False)

    @cached_property
    def routes_by_prefix(self) -> Mapping[tuple[str, str], Route]:
        """Return the routes by host and prefix."""
        return {(route.host, route.prefix): route for route in self.routes}

    @cached_property
    def workspaces_by_key(self) -> Mapping[str, Workspace]:
        """Return the workspaces by key."""
        return {
            key: workspace for workspace in self.workspaces for key in workspace.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        end = path.rfind('/')
        while end >= 0:
            route = self.routes_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


@dataclass(frozen=True, slots=True)
class AdapterKey:
    """An adapter of a base model; an empty name is the model itself."""

    model: str
    name: str = ''

    def __str__(self) -> str:
        """Return the form that logs and messages between daemons use."""
        return f'{self.model}/{self.name}'


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An incarnation of an endpoint, as it describes itself.

    Attributes
    ----------
    started_ms : int
        Unix time of its start; with the id it names the incarnation.
    adapters : mapping of AdapterKey to int
        Versions of the adapters that it holds.
    """

    endpoint_id: str
    group: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    started_ms: int
    accepted_orders: int
    models: tuple[str, ...] = ()
    adapters: Mapping[AdapterKey, int] = field(default_factory=dict)

    @property
    def incarnation(self) -> str:
        """Return what no later start of the endpoint shares."""
        return f'{self.endpoint_id}#{self.started_ms}'


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself when it is asked.

    Attributes
    ----------
    accepted_orders : int
        Number of orders that it has accepted since its start.
    loading : frozenset of AdapterKey
        Adapters that are on their way.
    """

    started_ms: int
    accepted_orders: int
    models: tuple[str, ...]
    adapters: Mapping[AdapterKey, int]
    loading: frozenset[AdapterKey]


@dataclass(frozen=True, slots=True)
class EntryRequest:
    """A caller's request, its body opaque.

    Attributes
    ----------
    target : str
        Path and query, byte for byte.
    allowed_s : float or None
        How long the caller will wait from its sending.
    tokens : int or None
        Prompt plus maximum output.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes = field(repr=False)
    key: str = field(repr=False)
    allowed_s: float | None
    adapter: AdapterKey | None
    tokens: int | None
    arrived_at: float

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition('?')[0]


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """What is told to an endpoint beside the caller's own request.

    Attributes
    ----------
    remaining_s : float or None
        Time left until the caller gives up.
    adapter_version : int or None
        The only version of the adapter on which it may run.
    """

    endpoint_id: str
    workspace: str | None
    remaining_s: float | None
    adapter_version: int | None = None
    last_event_id: str | None = None
    priority: int | None = None
