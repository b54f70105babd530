"""Faults, state and records of the stand-in for an engine of the users' platform."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from http import HTTPStatus

from pimentohoist_standins.endless import EndlessAnswer


FALL_S = 2.0
"""Time for which a brittle engine is away once it has fallen over."""


@dataclass(frozen=True, slots=True)
class BrokenStream:
    """How a stream ends before its last event.

    Attributes
    ----------
    events : int
        Complete events that are sent before.
    part : bytes
        What is sent after them.
    is_reset : bool
        Whether the connection is reset; else it is closed.
    is_body_ended : bool
        Whether a chunked body ends with its last chunk before the connection closes.
    is_crash : bool
        Whether the engine crashes: it refuses connections, and closes those that are open.
    """

    events: int
    part: bytes = b''
    is_reset: bool = False
    is_body_ended: bool = True
    is_crash: bool = False


@dataclass(slots=True)
class EngineFaults:
    """Faults that the engine shows.

    Attributes
    ----------
    unanswered_orders : int
        Number of next orders that are carried out but not answered.
    cut_after_events : int or None
        Number of events after which the next stream is cut, once.
    broken_streams : list of BrokenStream
        How the next streams end; engines may share the list.
    framing : str
        What tells the end of a response's body: ``chunks`` (of streams; other bodies have
        a length), or ``connection end``.
    event_end : bytes
        Ends each line of an event, and the event.
    endless_after_events : int or None
        Number of events after which an event of the next streams doesn't end, as many as
        `endless_answers`.
    extra_responses : int
        Number of next responses that are followed by one without an id.
    answer_bytes : int
        Size to which the answers of a plain service are padded.
    failures : int
        Number of next requests that are executed and end with status 500.
    statuses : list of HTTPStatus
        Statuses of the next requests, which are refused, or fail if the status is 500;
        engines may share the list.
    is_refusal_named : bool
        Whether refusals echo the id of their request.
    repeated_refusals : int
        How often a refusal is written once more, before the response to the next request
        on its connection.
    interim_status : HTTPStatus or None
        Status of an informational response that is written before each response.
    endless_answer : EndlessAnswer or None
        Sent to the next requests, as many as `endless_answers`.
    endless_reports : EndlessAnswer or None
        Sent to all orders, after they are carried out, and reads of the report.
    crashing_parts : frozenset of str
        Parts of a prompt; the engine crashes when it begins to answer a request with one.
    is_silent : bool
        Whether executed requests stay unanswered; they are answered once it is false.
    is_leaving : bool
        Whether all responses say that the engine leaves.
    quiet_s : float or None
        Requests are refused, and the responses ask for no requests for this time.
    limits : list of str
        Requests a second that all responses name as the engine's limit, one header each.
    brittle : int or None
        Requests that it turns away in a second, for want of room, without falling over;
        named in all responses. None if it never falls over.
    room : int or None
        Requests that it executes or keeps waiting at once; None for any number.
    cut_heads : list of int
        After how many bytes of their heads the next responses to requests end with their
        connections; engines may share the list.
    head_lines : list of tuple of str and str
        Places in the heads of the next responses to requests, one each, and the lines that
        are added there, as Latin-1; an empty line leaves a head as it is. Engines may share
        the list.
    resumption : bytes or None
        Body of the responses to requests that take a stream up.
    load_s : float
        Time to load an adapter, in seconds.
    event_s : float
        Time between two events of a stream, in seconds.
    """

    unanswered_orders: int = 0
    is_silent: bool = False
    is_leaving: bool = False
    quiet_s: float | None = None
    cut_after_events: int | None = None
    cut_heads: list[int] = field(default_factory=list)
    head_lines: list[tuple[str, str]] = field(default_factory=list)
    endless_after_events: int | None = None
    extra_responses: int = 0
    failures: int = 0
    statuses: list[HTTPStatus] = field(default_factory=list)
    is_refusal_named: bool = True
    repeated_refusals: int = 0
    interim_status: HTTPStatus | None = None
    broken_streams: list[BrokenStream] = field(default_factory=list)
    framing: str = 'chunks'
    event_end: bytes = b'\n'
    crashing_parts: frozenset[str] = frozenset()
    answer_bytes: int = 0
    endless_answer: EndlessAnswer | None = None
    endless_answers: int = 0
    endless_reports: EndlessAnswer | None = None
    limits: list[str] = field(default_factory=list)
    brittle: int | None = None
    room: int | None = None
    resumption: bytes | None = None
    load_s: float = 0.05
    event_s: float = 0.005


@dataclass(slots=True)
class ExecutedRequest:
    """A request that the engine executed."""

    request_id: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class EngineState:
    """Adapters of the engine and the orders and requests that it received.

    Attributes
    ----------
    is_overloaded : bool
        Whether it was ordered to load more adapters than `capacity`.
    holders : dict of int to set of str
        Holders that named each fencing number.
    arrivals : list of float
        When each request arrived, on the monotonic clock, refused ones included.
    order_arrivals : list of float
        When each order and each read of the report arrived.
    crashed_at : float or None
        When the engine crashed, on the monotonic clock.
    disconnected_streams : int
        Streams whose client disconnected before the end.
    running : int
        Requests that it executes or keeps waiting.
    turned_away : list of float
        When it turned requests away for want of room.
    falls : list of float
        When it fell over; it cuts connections without an answer for `FALL_S` then.
    closed_answers : list of int
        Bytes sent of each endless answer until the client closed the connection.
    """

    capacity: int = 4
    accepted_orders: int = 0
    fence: int = -1
    holders: defaultdict[int, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )
    adapters: dict[str, float] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    is_overloaded: bool = False
    loads: Counter[str] = field(default_factory=Counter)
    executed_requests: list[ExecutedRequest] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    order_arrivals: list[float] = field(default_factory=list)
    crashed_at: float | None = None
    disconnected_streams: int = 0
    closed_answers: list[int] = field(default_factory=list)
    running: int = 0
    turned_away: list[float] = field(default_factory=list)
    falls: list[float] = field(default_factory=list)

    def is_down(self, now: float) -> bool:
        """Return whether it has fallen over and isn't back."""
        return bool(self.falls) and now < self.falls[-1] + FALL_S

    def turn_away(self, brittle: int | None, now: float) -> None:
        """Count a request that is turned away; fall over if there are too many."""
        self.turned_away.append(now)
        back_at = self.falls[-1] + FALL_S if self.falls else 0
        since = max(now - 1, back_at)
        recent = sum(at > since for at in self.turned_away)
        if brittle is not None and recent > brittle:
            self.falls.append(now)
