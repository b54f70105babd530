"""Types of what varies: the platform, endpoints, filters and controllers.

Each protocol of the platform and of endpoints has one adapter class that speaks HTTP;
another wire format is one new class.
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
    """The platform's append-only log with named streams."""

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
        """Read records from `offset` on, waiting up to `wait_s` for the first.

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
        """Return size and loads in flight; raises PeerError."""


class InstanceList(Protocol):
    """The platform's lagging list of instances."""

    def entries(self) -> tuple[InstanceEntry, ...]:
        """Return all known instances; raises PeerError."""


class Engine(Protocol):
    """A model engine."""

    def status(self) -> EngineStatus:
        """Return residency and load as the engine reports them, late."""

    def load(self, order: AdapterOrder) -> None:
        """Load an adapter version; returns when it is resident."""

    def evict(self, order: AdapterOrder) -> None:
        """Evict an adapter version."""

    def generate(
        self, generation: Generation, readiness: ReadReadiness, *, timeout_s: float
    ) -> Iterator[Sequence[TokenChunk]]:
        """Run a request and yield its tokens in order, as many together as have come.

        Yields none where it would have to wait for what it names in `readiness`.

        Raises
        ------
        PeerConnectError, PeerRefusedError
            The request was not run.
        PeerError
            The request may have run.
        """

    def cancel(self, request_id: str) -> None:
        """Stop a request."""


class Service(Protocol):
    """A plain service."""

    def call(self, call: ServiceCall, *, timeout_s: float) -> ServiceResponse:
        """Send one call and return the whole answer; errors as `Engine.generate`."""


class Slot(Protocol):
    """A request's place on an endpoint; leaving the context gives it back."""

    endpoint: Endpoint

    def __enter__(self) -> Self:
        """Hold the slot; the adapter stays resident meanwhile."""

    def __exit__(self, *exc_info: object) -> None:
        """Give the slot back."""

    def mark_failed(self) -> None:
        """Say that the endpoint failed the request."""


class Slots(Protocol):
    """Gives slots on endpoints and the clients to use them."""

    def acquire(self, request: SlotRequest) -> Slot:
        """Wait for a slot and return it.

        Raises
        ------
        UnavailableError, DeadlineError
            There is none in time; the request was not run.
        """

    def engine(self, endpoint: Endpoint) -> Engine:
        """Return the client of an engine."""

    def service(self, endpoint: Endpoint) -> Service:
        """Return the client of a plain service."""


class Peers(Protocol):
    """Calls to other daemons."""

    def call(self, address: str, method: str, request: Any, *, timeout_s: float) -> Any:
        """Call `method` of the daemon at a peer address; raises PeerError."""


class Filter(Protocol):
    """One step of a request; calls `proceed` for the rest of the chain."""

    def __call__(self, exchange: Exchange, proceed: Handler) -> CallerResponse:
        """Handle the exchange or refuse it with a `PimentohoistError`."""


class Fold(Protocol):
    """State computed from a stream's records in order, by no other input."""

    @property
    def next_offset(self) -> int:
        """Offset of the first record not yet applied."""

    def apply(self, record: LogRecord) -> None:
        """Apply one record; a broken record is counted and skipped."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, body: bytes) -> None:
        """Replace the state by a snapshot's, if that covers more."""


class Controller(Protocol):
    """Owner of one part of the daemon's state and of the threads that keep it."""

    def __enter__(self) -> Self:
        """Start the controller's threads."""

    def __exit__(self, *exc_info: object) -> None:
        """Stop the threads and release what is held."""

    def dump(self) -> Mapping[str, Any]:
        """Return the state for operators, without secrets, ready for JSON."""


class PeerAnswering(Protocol):
    """A controller that answers calls of other daemons."""

    def peer_methods(self) -> Mapping[str, Callable[[Any], Any]]:
        """Return the functions that answer, by method of the peer service."""


class OwnerLookup(Protocol):
    """Which member is the home of a thing in the present view."""

    @property
    def epoch(self) -> int:
        """Log offset of the record that made the view; the fencing number."""

    def owner(self, resource_key: str) -> Member | None:
        """Return the home of `resource_key`; None if the view is empty."""

    def is_owner(self, resource_key: str) -> bool:
        """Return whether this daemon is the home and fresh enough to act on it."""
