"""Data classes of an entry daemon: routes, workspaces, endpoints and requests."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property


class ExecutionPolicy(StrEnum):
    """How often a request may be executed.

    Attributes
    ----------
    IDEMPOTENT
        It may be executed again.
    AT_MOST_ONCE
        It is executed at most once for each attempt of the caller.
    STREAM
        As `AT_MOST_ONCE`, unless its route allows it to resume.
    """

    IDEMPOTENT = 'repeatable'
    AT_MOST_ONCE = 'once'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class WeightedGroup:
    """An endpoint group of a route, with its weight among the route's groups."""

    group: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests for one host and path prefix are sent, and how.

    Attributes
    ----------
    timeout_s : float
        Longest time that a request may take until its response is complete.
    latency_target_s : float
        Time within which a response is wanted; for streams, the first event.
    weighted_groups : tuple of WeightedGroup
        Groups among which requests are distributed.
    max_executions : int
        Endpoints that may execute one attempt of a caller.
    priority : int
        0 is the most urgent.
    is_public : bool
        Whether requests need no key.
    can_resume : bool
        Whether a broken stream may resume at another endpoint.
    homes : frozenset of str
        Regions in which requests may be executed; empty for all.
    """

    name: str
    host: str
    prefix: str
    execution_policy: ExecutionPolicy
    timeout_s: float
    latency_target_s: float
    priority: int
    weighted_groups: tuple[WeightedGroup, ...]
    max_executions: int
    is_public: bool
    can_resume: bool
    homes: frozenset[str] = frozenset()

    @property
    def may_retry(self) -> bool:
        """Return whether a request that may have been executed may be sent again."""
        return self.execution_policy is ExecutionPolicy.IDEMPOTENT or self.can_resume


@dataclass(frozen=True, slots=True)
class ModelSize:
    """The size of a base model and of one of its adapters, in MB of an engine's memory."""

    model: str
    weights_mb: float
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What one engine of a group can hold and execute.

    Attributes
    ----------
    slots : int
        Requests that it executes at once.
    weights_mb : float
        Memory for models and adapters, in MB.
    max_adapter_slots : int
        Adapters that it holds at most.
    models : tuple of ModelSize
        Sizes of the models that it may hold.
    """

    slots: int
    weights_mb: float
    max_adapter_slots: int
    models: tuple[ModelSize, ...]

    def adapter_slot_count(self, held_models: tuple[str, ...]) -> int:
        """Return how many adapters fit beside the models that the engine holds."""
        sizes = {size.model: size for size in self.models}
        held_sizes = [sizes[name] for name in held_models if name in sizes]
        free_mb = self.weights_mb - sum(size.weights_mb for size in held_sizes)
        adapter_mb = max((size.adapter_mb for size in held_sizes), default=0)
        if adapter_mb <= 0:
            return self.max_adapter_slots
        return max(0, min(self.max_adapter_slots, int(free_mb // adapter_mb)))


@dataclass(frozen=True, slots=True)
class EndpointGroup:
    """Interchangeable endpoints; `engine` is None for plain services.

    Attributes
    ----------
    cold_s : float
        Time for which an endpoint is cold after it has started; 0 if it never is.
    cold_per_s : float
        Requests a second that a cold endpoint takes from all daemons together; 0 without
        a limit.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None
    cold_s: float = 0
    cold_per_s: float = 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """The payer of requests, with its keys, its priority and its quota.

    Attributes
    ----------
    priority : int or None
        Overrides the priority of the route.
    rate, burst : float
        Tokens a second, and tokens; a rate of 0 means no limit.
    default_tokens : int
        Tokens charged for a request that states none.
    homes : frozenset of str
        Regions in which its requests may be executed; empty for all.
    """

    name: str
    keys: frozenset[str] = field(repr=False)
    priority: int | None
    rate: float
    burst: float
    default_tokens: int
    homes: frozenset[str] = frozenset()


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of callers' requests and on idle and slow connections.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Largest header and body of a request, in bytes.
    header_timeout_s : float
        Time from a header's first byte to its last.
    idle_timeout_s : float
        Time without a request after which a connection is closed.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class Declaration:
    """The operators' configuration at one version.

    Attributes
    ----------
    document : bytes
        The document from which it was decoded.
    """

    version: int
    routes: tuple[Route, ...]
    groups: Mapping[str, EndpointGroup]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits
    document: bytes = field(default=b'', repr=False)

    @cached_property
    def routes_by_prefix(self) -> Mapping[tuple[str, str], Route]:
        """Return the routes by host and path prefix."""
        return {(route.host, route.prefix): route for route in self.routes}

    @cached_property
    def workspaces_by_key(self) -> Mapping[str, Workspace]:
        """Return the workspaces by key."""
        return {
            key: workspace for workspace in self.workspaces for key in workspace.keys
        }

    @cached_property
    def shortest_latency_targets_s(self) -> Mapping[str, float]:
        """Return the shortest latency target of the routes to each group, in seconds."""
        targets: dict[str, float] = {}
        for route in self.routes:
            for share in route.weighted_groups:
                known_s = targets.get(share.group, route.latency_target_s)
                targets[share.group] = min(known_s, route.latency_target_s)
        return targets

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path, or None."""
        end = path.rfind('/')
        while end >= 0:
            route = self.routes_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


@dataclass(frozen=True, slots=True)
class AdapterKey:
    """An adapter of a base model; an empty name stands for the model itself."""

    model: str
    name: str = ''

    def __str__(self) -> str:
        """Return the form used in logs and in messages between daemons."""
        return f'{self.model}/{self.name}'


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An incarnation of an endpoint, as its own record describes it.

    Attributes
    ----------
    started_ms : int
        Unix time of its start in milliseconds; with the id it names the incarnation.
    accepted_orders : int
        Orders that it had accepted since its start when it wrote the record.
    software_version : str
        Version of its software; streams can't go on at another one.
    is_daemon : bool
        Whether it is another daemon, which sends requests on to endpoints.
    cold_s : float
        How much longer it was to stay cold when it wrote the record.
    models : tuple of str
        Names of the base models that it holds.
    adapters : mapping of AdapterKey to int
        Versions of the adapters that it holds.
    """

    endpoint_id: str
    group: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    started_ms: int
    accepted_orders: int
    models: tuple[str, ...] = ()
    adapters: Mapping[AdapterKey, int] = field(default_factory=dict)
    software_version: str = ''
    is_daemon: bool = False
    cold_s: float = 0

    @property
    def incarnation(self) -> str:
        """Return a name that is unique to this start of the endpoint."""
        return f'{self.endpoint_id}#{self.started_ms}'


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reports on request.

    Attributes
    ----------
    accepted_orders : int
        Orders that it has accepted since its start.
    loading : frozenset of AdapterKey
        Adapters that it is loading.
    """

    started_ms: int
    accepted_orders: int
    models: tuple[str, ...]
    adapters: Mapping[AdapterKey, int]
    loading: frozenset[AdapterKey]


@dataclass(frozen=True, slots=True)
class ForwardedOrigin:
    """What the daemon has decided that forwards a caller's request.

    Attributes
    ----------
    member : str
        The daemon's address for other daemons.
    workspace : str or None
        Name of the workspace that has paid for it; None on a public route.
    max_executions : int
        Endpoints that may execute it.
    stream_version : str or None
        Software version of the engine that began its stream.
    """

    member: str
    workspace: str | None
    max_executions: int
    stream_version: str | None = None


@dataclass(frozen=True, slots=True)
class EntryRequest:
    """A caller's request; its body is opaque to the daemon.

    Attributes
    ----------
    target : str
        Path and query, byte for byte as received.
    timeout_s : float or None
        How long the caller waits from the moment of sending.
    tokens : int or None
        Prompt tokens plus the maximum of output tokens.
    prompt_tokens : int
        Tokens of the prompt; 0 if the request doesn't state them.
    arrived_at : float
        Time of `_clock.now` in seconds at which it arrived.
    protocol : str
        Version of HTTP that the caller speaks.
    shared_parts : tuple of str
        Ids of the parts of the prompt that it may share with other requests.
    last_event_id : str
        Event after which the caller takes a stream up again; empty for a new one.
    resumed_id : str
        Id of the caller's attempt that brought the first event of that stream.
    origin : ForwardedOrigin or None
        What another daemon has decided that forwards it; None if it came from a caller.
    output_tokens : int or None
        Maximum of output tokens; part of `tokens`.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes = field(repr=False)
    key: str = field(repr=False)
    timeout_s: float | None
    adapter: AdapterKey | None
    tokens: int | None
    arrived_at: float
    protocol: str = 'HTTP/1.1'
    shared_parts: tuple[str, ...] = ()
    last_event_id: str = ''
    resumed_id: str = ''
    origin: ForwardedOrigin | None = None
    prompt_tokens: int = 0
    output_tokens: int | None = None

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition('?')[0]


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """What a daemon adds to a caller's request when it forwards the request.

    Attributes
    ----------
    remaining_s : float or None
        Time until the deadline.
    adapter_version : int or None
        The only version of the adapter with which the request may be executed.
    last_event_id : str or None
        Event after which a stream resumes.
    """

    endpoint_id: str
    workspace: str | None
    remaining_s: float | None
    adapter_version: int | None = None
    last_event_id: str | None = None
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What a response of an endpoint asks of the daemon that got it.

    Attributes
    ----------
    is_leaving : bool
        Whether the endpoint wants no new work, from any daemon.
    quiet_s : float or None
        Seconds for which it wants no requests from this daemon.
    limit_per_s : float or None
        Requests a second that it takes from all daemons together; None without a limit.
    is_limit_readable : bool
        Whether the response names no limit, or one that could be read.
    brittle_per_s : float or None
        Requests that it turns away in a second for want of room without falling over; None
        if it doesn't fall over.
    is_brittle_readable : bool
        Whether the response doesn't name that, or it could be read.
    cold_s : float or None
        Seconds for which it stays cold; None if the response doesn't say.
    """

    is_leaving: bool = False
    quiet_s: float | None = None
    limit_per_s: float | None = None
    is_limit_readable: bool = True
    brittle_per_s: float | None = None
    is_brittle_readable: bool = True
    cold_s: float | None = None
