"""A caller's request on its way through the filter chain, and its answer."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from pimentohoist.configuration import Adapter, EndpointGroup, Route, Workspace
from pimentohoist.models import AdapterVersion

_MS_PER_S = 1000


class RequestKind(StrEnum):
    """What a caller asks for."""

    COMPLETION = 'completion'
    CHAT = 'chat'
    SERVICE = 'service'
    MODELS = 'models'


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request as received.

    Attributes
    ----------
    request_id : str
        Made by the daemon.
    authorization : str
        Header as received; used by the authenticating filter alone.
    idempotency_key : str
        Header ``Idempotency-Key``; empty if absent.
    body : bytes
        Whole body.
    document : mapping
        Parsed JSON body of completions and chats.
    deadline : float
        Monotonic time in seconds by which the caller wants the answer.
    """

    request_id: str
    kind: RequestKind
    method: str
    path: str
    authorization: str = field(repr=False)
    body: bytes = field(repr=False)
    content_type: str
    deadline: float
    idempotency_key: str = ''
    route: str = ''
    document: Mapping[str, Any] = field(default_factory=dict, repr=False)


@dataclass(slots=True)
class RequestTiming:
    """When what happened to a request, in monotonic seconds.

    Attributes
    ----------
    slot_wait_s, slot_s : float
        Time spent waiting for slots and holding them, over all attempts.
    gaps_ms : Counter of int
        How many tokens followed the one before after so many milliseconds.
    failure : str
        Code of the error that ended an answer already begun; empty if none did.
    """

    started_at: float = 0
    slot_wait_s: float = 0
    slot_s: float = 0
    tokens: int = 0
    first_token_at: float | None = None
    last_token_at: float = 0
    gaps_ms: Counter[int] = field(default_factory=Counter)
    failure: str = ''

    def record_tokens(self, count: int, now: float) -> None:
        """Count tokens that are passed on together at `now`."""
        self.tokens += count
        if self.first_token_at is None:
            self.first_token_at = now
        else:
            self.gaps_ms[round((now - self.last_token_at) * _MS_PER_S)] += 1
        if count > 1:
            self.gaps_ms[0] += count - 1
        self.last_token_at = now


class HasDescriptor(Protocol):
    """A socket or file that can be waited for."""

    def fileno(self) -> int:
        """Return its descriptor."""


@dataclass(slots=True)
class ReadReadiness:
    """What an answer under way waits for.

    The iterator of the answer's parts gives an empty part when it can't go on without
    blocking. Who drives it waits until `source` is readable, or a while, says in
    `is_ready` which of the two it was, and goes on.

    Attributes
    ----------
    source : HasDescriptor or None
        None if the next step may block for other reasons.
    """

    source: HasDescriptor | None = None
    is_ready: bool = False

    def wait_for(self, source: HasDescriptor) -> None:
        """Say that the next step needs something from `source`."""
        self.source = source
        self.is_ready = False

    def clear(self) -> None:
        """Say that the next step may block."""
        self.source = None
        self.is_ready = False


@dataclass(slots=True)
class Exchange:
    """A request with what the filters found out about it so far.

    Attributes
    ----------
    is_sent : bool
        Whether a byte of the request could have reached a plain service.
    """

    request: CallerRequest
    workspace: Workspace | None = None
    key_name: str = ''
    adapter: Adapter | None = None
    adapter_version: AdapterVersion | None = None
    route: Route | None = None
    group: EndpointGroup | None = None
    prompt: str = ''
    max_tokens: int = 0
    cost_tokens: int = 0
    used_tokens: int = 0
    endpoint: str = ''
    is_sent: bool = False
    is_cancelled: Callable[[], bool] = field(default=lambda: False)
    timing: RequestTiming = field(default_factory=RequestTiming)
    readiness: ReadReadiness = field(default_factory=ReadReadiness)
    annotations: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """What a request needs of an endpoint.

    Attributes
    ----------
    adapter : AdapterVersion or None
        Must be resident on the engine; None for a plain service.
    deadline : float
        Monotonic time in seconds by which the request must have ended.
    excluded : frozenset of str
        Names of endpoints that have failed this request before.
    is_alone : bool
        Whether no other request of this kind may run on the endpoint, since this one is
        suspected of crashing endpoints.
    """

    request_id: str
    group: EndpointGroup
    adapter: AdapterVersion | None
    workspace: str
    cost_tokens: int
    is_urgent: bool
    deadline: float
    excluded: frozenset[str] = frozenset()
    is_alone: bool = False


@dataclass(slots=True)
class CallerResponse:
    """What goes back to the caller.

    Attributes
    ----------
    body : iterable of bytes
        Parts in order; closed by the server when sent or given up.
    readiness : ReadReadiness or None
        What the body waits for, if it gives empty parts instead of blocking.
    """

    status: int
    content_type: str
    body: Iterable[bytes]
    headers: dict[str, str] = field(default_factory=dict)
    readiness: ReadReadiness | None = None

    def on_close(self, callback: Callable[[], None]) -> CallerResponse:
        """Return the answer with `callback` run once its body has ended."""
        self.body = _ClosingBody(self.body, callback)
        return self


class _ClosingBody:
    def __init__(self, parts: Iterable[bytes], callback: Callable[[], None]) -> None:
        self._parts = parts
        self._callback: Callable[[], None] | None = callback

    def __iter__(self) -> Any:
        yield from self._parts

    def close(self) -> None:
        callback = self._callback
        self._callback = None
        try:
            getattr(self._parts, 'close', lambda: None)()
        finally:
            if callback is not None:
                callback()
