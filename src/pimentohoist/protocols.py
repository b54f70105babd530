"""Protocols of the platform, endpoints, filters and controllers.

Each protocol of the platform and of endpoints is implemented by one HTTP client class;
support for another wire format requires one new class.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Protocol, Self

from pimentohoist.configuration import Endpoint
from pimentohoist.exchanges import CallerResponse, ReadReadiness, Exchange, SlotRequest
from pimentohoist.models import (
    AdapterOrder,
    AdapterVersion,
    EngineStatus,
    Generation,
    InstanceEntry,
    LogPage,
    LogRecord,
    Member,
    ServiceResponse,
    ServiceCall,
    TokenChunk,
    WeightInfo,
)

Clock = Callable[[], float]
"""Monotonic time in seconds."""

Handler = Callable[[Exchange], CallerResponse]
"""The rest of a filter chain."""


class Log(Protocol):
    """The platform's append-only log, which has named streams."""

    def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        """Append records together and return the offset of the first.

        Raises
        ------
        LogError
            Nothing was appended.
        AppendUnknownError
            The records may or may not have been appended.
        """

    def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Read records from `offset` on, waiting up to `wait_s` seconds for the first.

        Raises
        ------
        OffsetExpiredError
            The log no longer keeps `offset`.
        LogError
            The log did not answer.
        """


class WeightStore(Protocol):
    """The platform's store of adapter weights."""

    def describe(self, adapter: AdapterVersion) -> WeightInfo:
        """Return the size and the loads in flight; raises PeerError."""


class InstanceList(Protocol):
    """The platform's list of instances, which lags behind."""

    def entries(self) -> tuple[InstanceEntry, ...]:
        """Return all listed instances; raises PeerError."""


class Engine(Protocol):
    """A model engine."""

    def status(self) -> EngineStatus:
        """Return residency and load as the engine reports them, which lags behind."""

    def load(self, order: AdapterOrder) -> None:
        """Load an adapter version; returns when it is resident."""

    def evict(self, order: AdapterOrder) -> None:
        """Evict an adapter version."""

    def generate(
        self, generation: Generation, readiness: ReadReadiness, *, timeout_s: float
    ) -> Iterator[Sequence[TokenChunk]]:
        """Execute a request and yield its tokens in order, in batches as they arrive.

        Yields an empty batch if the next step would block on `readiness.source`.

        Raises
        ------
        PeerConnectError, PeerRefusedError
            The request was not executed.
        PeerError
            The request may have been executed.
        """

    def cancel(self, request_id: str) -> None:
        """Stop a request."""


class Service(Protocol):
    """A plain service."""

    def call(self, call: ServiceCall, *, timeout_s: float) -> ServiceResponse:
        """Send a call and return the whole response; errors as in `Engine.generate`."""


class Slot(Protocol):
    """A request's slot on an endpoint; leaving the context releases it."""

    endpoint: Endpoint

    def __enter__(self) -> Self:
        """Hold the slot; its adapter stays resident until the slot is released."""

    def __exit__(self, *exc_info: object) -> None:
        """Release the slot."""

    def mark_failed(self) -> None:
        """Record that the endpoint failed the request."""


class Slots(Protocol):
    """Grants slots on endpoints and returns the endpoints' clients."""

    def acquire(self, request: SlotRequest) -> Slot:
        """Wait for a slot and return it.

        Raises
        ------
        UnavailableError, DeadlineError
            No slot became free in time; the request was not executed.
        """

    def engine(self, endpoint: Endpoint) -> Engine:
        """Return the client of an engine."""

    def service(self, endpoint: Endpoint) -> Service:
        """Return the client of a plain service."""


class Peers(Protocol):
    """Calls to other daemons."""

    def call(self, address: str, method: str, request: Any, *, timeout_s: float) -> Any:
        """Call `method` of the daemon at peer address `address`; raises PeerError."""


class Filter(Protocol):
    """One step of request handling; calls `proceed` for the rest of the chain."""

    def __call__(self, exchange: Exchange, proceed: Handler) -> CallerResponse:
        """Handle the exchange or reject it with a `PimentohoistError`."""


class Fold(Protocol):
    """State computed only from a stream's records, applied in order."""

    @property
    def next_offset(self) -> int:
        """Offset of the first record not yet applied."""

    def apply(self, record: LogRecord) -> None:
        """Apply one record; count and skip a malformed one."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, body: bytes) -> None:
        """Replace the state by a snapshot's if the snapshot covers more records."""


class Controller(Protocol):
    """Manages one part of the daemon's state and the threads that update it."""

    def __enter__(self) -> Self:
        """Start the controller's threads."""

    def __exit__(self, *exc_info: object) -> None:
        """Stop the threads and release the controller's resources."""

    def dump(self) -> Mapping[str, Any]:
        """Return the state for operators, without secrets, ready for JSON."""


class PeerService(Protocol):
    """A controller that handles calls from other daemons."""

    def peer_methods(self) -> Mapping[str, Callable[[Any], Any]]:
        """Return the handler functions by method of the peer service."""


class OwnerLookup(Protocol):
    """Finds the owner of a resource key in the current view."""

    @property
    def epoch(self) -> int:
        """Epoch of the current view, used as the fencing number."""

    def owner(self, resource_key: str) -> Member | None:
        """Return the owner of `resource_key`; None if the view is empty."""

    def is_owner(self, resource_key: str) -> bool:
        """Return whether this daemon is the owner and fresh enough to act on it."""
