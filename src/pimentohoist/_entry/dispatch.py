"""Sends a request to endpoints until one answers or no more may be tried."""

from __future__ import annotations

import logging
import random
import threading
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from http import HTTPStatus

from pimentohoist import _clock
from pimentohoist._decisions.endpoint_choice import (
    Candidate,
    choose_engines,
    choose_plain,
)
from pimentohoist._decisions.retry_window import RetryWindow
from pimentohoist._entry.connections import Connections, Exchange, Head
from pimentohoist._entry.crashes import CrashesController, fingerprint
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.event_stream import EventSplitter
from pimentohoist._entry.filters import spread
from pimentohoist._entry.members import MembersController
from pimentohoist._entry.passage import EntryAnswer, Passage
from pimentohoist._entry.places import PlacesController
from pimentohoist.entry_models import AdapterKey, Endpoint, Onward, RequestKind
from pimentohoist.exceptions import (
    CallerDisconnectedError,
    DeadlineError,
    PeerConnectError,
    PeerError,
    PeerTimeoutError,
    PimentohoistError,
    RunState,
    UnavailableError,
)
from pimentohoist.platform import answer_headers, is_certainly_not_run, onward_headers

_STEP = 'dispatch'
_MOST_SENDS = 3
"""Endpoints that are tried while it is certain that none has run the request."""

_MOST_ASKED = 3
"""Engines that are asked whether they can load an adapter at once."""

_MOST_WAITED_FOR = 2
_MOST_RANK = 9
_LEAST_SEND_S = 0.01
_BUSY_RETURN_S = 0.5
"""A load and the run that it waits for have ended by then, as a rule."""

_RESERVED = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""Statuses that promise the caller that its request has not run."""

_logger = logging.getLogger(__name__)


class StreamBrokenError(OSError):
    """A stream ends before its end: the caller's connection must be cut."""


class _TryAgainError(PimentohoistError):
    """An attempt failed in a way that allows another one."""


@dataclass(frozen=True, slots=True)
class Target:
    """An endpoint chosen for one attempt, and the version it must have."""

    endpoint: Endpoint
    adapter_version: int | None = None


class Running:
    """This daemon's requests by endpoint and adapter."""

    def __init__(self, endpoints: EndpointsController) -> None:
        self.endpoints = endpoints
        self._counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self._lock = threading.Lock()

    def begin(self, endpoint_id: str, adapter: str) -> None:
        """Count a request."""
        with self._lock:
            self.endpoints.in_flight[endpoint_id] += 1
            self._counts[endpoint_id][adapter] += 1

    def finish(self, endpoint_id: str, adapter: str) -> None:
        """Count a request no more."""
        with self._lock:
            self.endpoints.in_flight[endpoint_id] -= 1
            counts = self._counts[endpoint_id]
            counts[adapter] -= 1
            if counts[adapter] <= 0:
                counts.pop(adapter)
            if not counts:
                self._counts.pop(endpoint_id)

    def snapshot(self) -> dict[str, dict[str, int]]:
        """Return the requests by endpoint and adapter."""
        with self._lock:
            return {name: dict(counts) for name, counts in self._counts.items()}


class Dispatch:
    """The last step of a request."""

    def __init__(
        self,
        endpoints: EndpointsController,
        members: MembersController,
        places: PlacesController,
        crashes: CrashesController,
    ) -> None:
        self.endpoints = endpoints
        self.members = members
        self.places = places
        self.crashes = crashes
        self.connections = Connections()
        self.running = Running(endpoints)
        self.retries: dict[str, RetryWindow] = {}
        self._lock = threading.Lock()

    def __call__(self, passage: Passage) -> EntryAnswer:
        """Return an endpoint's answer; raises PimentohoistError."""
        self._note_request(passage)
        while True:
            try:
                return self._attempt(passage)
            except _TryAgainError as error:
                _logger.info('another attempt: %s', error, extra=_extra(passage))

    def dump(self) -> dict[str, object]:
        """Return the requests under way."""
        return {
            'running': self.running.snapshot(),
            'connections_opened': self.connections.opened,
        }

    def _attempt(self, passage: Passage, splitter: EventSplitter | None = None) -> EntryAnswer:
        target = self._choose(passage)
        last_id = None if splitter is None else splitter.last_id
        exchange = self._send(passage, target, last_id)
        try:
            return self._receive(passage, target, exchange)
        except BaseException:
            exchange.close()
            passage.finish()
            raise

    # choosing

    def _choose(self, passage: Passage) -> Target:
        if passage.watched.is_over:
            raise self._given_up(passage)
        usable = {
            endpoint.endpoint_id: endpoint
            for endpoint in self.endpoints.usable(passage.group.name)
            if endpoint.endpoint_id not in passage.endpoints
        }
        if not usable:
            raise passage.failure or UnavailableError(
                f'no endpoint of {passage.group.name}',
                step=_STEP,
                retry_after_s=spread(_BUSY_RETURN_S),
            )
        adapter = passage.request.adapter
        if adapter is not None and passage.group.engine is not None:
            usable = _with_model(usable, adapter.model)
        if passage.group.engine is None or adapter is None or not adapter.name:
            names = choose_plain(self._candidates(usable, adapter), random.random())
            return Target(usable[names[0]])
        return self._choose_engine(passage, adapter, usable)

    def _choose_engine(
        self, passage: Passage, adapter: AdapterKey, usable: dict[str, Endpoint]
    ) -> Target:
        """Have the adapter held by one of the engines."""
        ordered = choose_engines(str(adapter), self._candidates(usable, adapter))
        # All engines are asked for a place at once before one of them is waited for.
        turns = [(name, True) for name in ordered[:_MOST_ASKED]]
        turns += [(name, False) for name in ordered[:_MOST_WAITED_FOR]]
        failure: PimentohoistError | None = None
        for name, is_impatient in turns:
            now = _clock.now()
            wait_s = min(passage.left_s(now), self._hold_until(passage) - now)
            if wait_s <= 0 or passage.watched.is_over:
                break
            try:
                version = self.places.hold(
                    name, adapter, wait_s, is_impatient=is_impatient
                )
            except PimentohoistError as error:
                failure = error
                extra = {**_extra(passage), 'endpoint': name}
                _logger.info('adapter not held: %s', error, extra=extra)
                continue
            return Target(usable[name], version or None)
        if passage.watched.is_over:
            raise self._given_up(passage)
        raise UnavailableError(
            f'no engine could hold {adapter}: {failure}',
            step=_STEP,
            retry_after_s=spread(_BUSY_RETURN_S),
        )

    def _hold_until(self, passage: Passage) -> float:
        return passage.request.arrived_at + passage.route.goal_s

    def _candidates(
        self, usable: dict[str, Endpoint], adapter: AdapterKey | None
    ) -> list[Candidate]:
        beats = self.members.live()
        homed = self.places.statuses()
        for beat in beats:
            homed.update(beat.engines)
        domain = self.members.settings.failure_domain
        name = str(adapter or '')
        candidates = []
        for endpoint in usable.values():
            health = self.endpoints.health_of(endpoint.endpoint_id)
            others = sum(beat.running_on(endpoint.endpoint_id) for beat in beats)
            free, held = homed.get(endpoint.endpoint_id, (0, ()))
            candidate = Candidate(
                endpoint.endpoint_id,
                endpoint.slots,
                self.endpoints.in_flight[endpoint.endpoint_id] + others,
                health.latency_s,
                health.cost_factor(),
                endpoint.failure_domain == domain,
                name in held,
                free,
            )
            candidates.append(candidate)
        return candidates

    # sending

    def _send(
        self, passage: Passage, target: Target, last_event_id: str | None
    ) -> Exchange:
        endpoint = target.endpoint
        left_s = passage.left_s(_clock.now())
        if left_s < _LEAST_SEND_S:
            raise self._given_up(passage)
        workspace = passage.workspace
        rank = passage.route.rank
        if workspace is not None and workspace.rank is not None:
            rank = workspace.rank
        onward = Onward(
            endpoint.endpoint_id,
            None if workspace is None else workspace.name,
            left_s,
            target.adapter_version,
            last_event_id,
            min(_MOST_RANK, rank) if passage.group.engine else None,
        )
        headers = onward_headers(passage.request, onward)
        passage.endpoints.append(endpoint.endpoint_id)
        adapter = str(passage.request.adapter or '')
        self.running.begin(endpoint.endpoint_id, adapter)
        passage.cleanups.append(
            lambda: self.running.finish(endpoint.endpoint_id, adapter)
        )
        try:
            exchange = self.connections.send(endpoint, passage.request, headers)
        except PimentohoistError as error:
            passage.finish()
            raise self._judge_failure(passage, endpoint, error) from error
        passage.watched.exchange = exchange
        if passage.watched.is_over:
            exchange.abort()
        return exchange

    # receiving

    def _receive(
        self, passage: Passage, target: Target, exchange: Exchange
    ) -> EntryAnswer:
        try:
            head = exchange.read_head(passage.request.request_id)
            if passage.route.kind is RequestKind.STREAM and head.status == HTTPStatus.OK:
                return self._stream(passage, target, exchange, head)
            body = exchange.read_whole()
        except PeerError as error:
            raise self._judge_failure(passage, target.endpoint, error) from error
        self._judge_answer(passage, target.endpoint, head, exchange)
        exchange.close()
        passage.finish()
        headers = answer_headers(head.headers.items())
        return EntryAnswer(head.status, head.reason, headers, [body], len(body))

    def _stream(
        self, passage: Passage, target: Target, exchange: Exchange, head: Head
    ) -> EntryAnswer:
        """Wait for the first event, then pass the stream on as it comes."""
        splitter = EventSplitter()
        parts = exchange.parts()
        first = _first_events(parts, splitter)
        health = self.endpoints.health_of(target.endpoint.endpoint_id)
        health.note_answer(_clock.now() - exchange.sent_at)
        passage.runs += 1
        relay = _Relay(self, passage, target, exchange, splitter)
        headers = answer_headers(head.headers.items())
        return EntryAnswer(
            head.status, head.reason, headers, relay.events(first, parts), None
        )

    # judging

    def _judge_answer(
        self, passage: Passage, endpoint: Endpoint, head: Head, exchange: Exchange
    ) -> None:
        """Raise if the answer isn't the caller's; count what it tells of the endpoint."""
        health = self.endpoints.health_of(endpoint.endpoint_id)
        latency_s = _clock.now() - exchange.sent_at
        if is_certainly_not_run(head.status, head.headers):
            self._note_not_run(passage, endpoint, head)
            return
        passage.runs += 1
        if head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            health.note_answer(latency_s)
        else:
            health.note_failure()
            failure = PeerError(
                f'status {head.status}', step=_STEP, peer=endpoint.endpoint_id
            )
            if self._may_repeat(passage):
                raise _again(failure)
        if head.status in _RESERVED:
            # The caller would take it for a promise that nothing ran.
            raise PeerError(
                f'status {head.status} after a run', step=_STEP, peer=endpoint.endpoint_id
            )

    def _note_not_run(self, passage: Passage, endpoint: Endpoint, head: Head) -> None:
        wrong_adapter = passage.request.adapter is not None
        if head.status == HTTPStatus.MISDIRECTED_REQUEST and not wrong_adapter:
            self.endpoints.note_other_incarnation(endpoint)
        failure = UnavailableError(
            f'endpoint refused with {head.status}',
            step=_STEP,
            peer=endpoint.endpoint_id,
            retry_after_s=spread(_BUSY_RETURN_S),
        )
        passage.failure = failure
        is_more = len(passage.endpoints) < _MOST_SENDS
        if is_more and self._take_retry(passage):
            raise _again(failure)
        raise failure

    def _judge_failure(
        self, passage: Passage, endpoint: Endpoint, error: PimentohoistError
    ) -> PimentohoistError:
        """Return what to raise after an attempt that got no answer."""
        health = self.endpoints.health_of(endpoint.endpoint_id)
        watched = passage.watched
        if isinstance(error, PeerConnectError):
            health.note_unreached(_clock.now())
            passage.failure = UnavailableError(
                str(error), step=_STEP, retry_after_s=spread(_BUSY_RETURN_S)
            )
            is_more = len(passage.endpoints) < _MOST_SENDS
            return _again(error) if is_more else passage.failure
        passage.runs += 1
        if watched.is_over:
            if not watched.has_left:
                health.note_failure()
            return self._given_up(passage)
        health.note_failure()
        self._look_for_crash(passage, endpoint)
        if self._may_repeat(passage):
            return _again(error)
        return error

    def _look_for_crash(self, passage: Passage, endpoint: Endpoint) -> None:
        """Note a crash if an endpoint that broke off can't be reached any more."""
        if self.connections.can_reach(endpoint.address):
            return
        self.endpoints.health_of(endpoint.endpoint_id).note_unreached(_clock.now())
        name = fingerprint(passage.request)
        count = self.crashes.note_crash(name, endpoint.endpoint_id)
        extra = {**_extra(passage), 'fingerprint': name, 'crashes': count}
        _logger.warning('endpoint crashed under a request', extra=extra)

    def _may_repeat(self, passage: Passage) -> bool:
        """Return whether a request that may have run may be sent once more."""
        is_allowed = passage.route.may_repeat and not passage.watched.is_over
        has_attempt = passage.runs < passage.route.most_endpoints
        return is_allowed and has_attempt and self._take_retry(passage)

    def may_resume(self, passage: Passage) -> bool:
        """Return whether a stream that broke may go on at another engine."""
        is_allowed = passage.route.can_resume and not passage.watched.is_over
        has_attempt = passage.runs < passage.route.most_endpoints
        return is_allowed and has_attempt and self._take_retry(passage)

    def resume(self, passage: Passage, splitter: EventSplitter) -> tuple[Target, Exchange]:
        """Send a stream's request on after its last whole event."""
        target = self._choose(passage)
        exchange = self._send(passage, target, splitter.last_id)
        head = exchange.read_head(passage.request.request_id)
        if head.status != HTTPStatus.OK:
            raise PeerError(
                f'not resumed: {head.status}', step=_STEP, peer=target.endpoint.endpoint_id
            )
        passage.runs += 1
        return target, exchange

    def _take_retry(self, passage: Passage) -> bool:
        now = _clock.now()
        daemons = 1 + self.members.known_count()
        with self._lock:
            return self._window(passage.group.name).take(now, daemons)

    def _note_request(self, passage: Passage) -> None:
        with self._lock:
            self._window(passage.group.name).note_request(_clock.now())

    def _window(self, group: str) -> RetryWindow:
        bounds = self.members.settings.bounds
        if group not in self.retries:
            self.retries[group] = RetryWindow(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            )
        return self.retries[group]

    def _given_up(self, passage: Passage) -> PimentohoistError:
        if passage.watched.has_left:
            return CallerDisconnectedError('the caller has left', step=_STEP)
        if passage.runs:
            return PeerTimeoutError('no answer in time', step=_STEP)
        return DeadlineError('not sent in time', step=_STEP)


class _Relay:
    """Passes the events of a stream on, from one engine after another if need be."""

    def __init__(
        self,
        dispatch: Dispatch,
        passage: Passage,
        target: Target,
        exchange: Exchange,
        splitter: EventSplitter,
    ) -> None:
        self.dispatch = dispatch
        self.passage = passage
        self.target = target
        self.exchange = exchange
        self.splitter = splitter

    def events(self, first: bytes, parts: Iterator[bytes]) -> Iterator[bytes]:
        """Yield whole events."""
        try:
            if first:
                yield first
            while True:
                with self._failures() as failures:
                    yield from self._whole(parts)
                if not failures:
                    break
                parts = self._go_on(failures[0])
        finally:
            self.exchange.close()
            self.passage.finish()

    def _whole(self, parts: Iterator[bytes]) -> Iterator[bytes]:
        for part in parts:
            events = self.splitter.feed(part)
            if events:
                yield events
        rest = self.splitter.rest()
        if rest:
            yield rest

    @contextmanager
    def _failures(self) -> Iterator[list[PimentohoistError]]:
        failures: list[PimentohoistError] = []
        try:
            yield failures
        except PeerError as error:
            failures.append(error)

    def _go_on(self, error: PimentohoistError) -> Iterator[bytes]:
        """Return the parts of a stream that resumes; raises StreamBrokenError."""
        dispatch, passage = self.dispatch, self.passage
        endpoint = self.target.endpoint
        self.exchange.close()
        passage.finish()
        passage.failure = error
        if not passage.watched.is_over:
            dispatch.endpoints.health_of(endpoint.endpoint_id).note_failure()
        if not dispatch.may_resume(passage):
            raise StreamBrokenError(str(error))
        self.splitter.rest()
        try:
            self.target, self.exchange = dispatch.resume(passage, self.splitter)
        except PimentohoistError as failure:
            raise StreamBrokenError(str(failure)) from failure
        return self.exchange.parts()


def _with_model(usable: dict[str, Endpoint], model: str) -> dict[str, Endpoint]:
    """Return the engines that hold a model, or all if none says that it does."""
    holders = {
        endpoint_id: endpoint
        for endpoint_id, endpoint in usable.items()
        if model in endpoint.models
    }
    return holders or usable


def _first_events(parts: Iterator[bytes], splitter: EventSplitter) -> bytes:
    for part in parts:
        events = splitter.feed(part)
        if events:
            return events
    return splitter.rest()


def _again(error: PimentohoistError) -> _TryAgainError:
    again = _TryAgainError(error.message, step=error.step, peer=error.peer)
    again.run_state = RunState.UNKNOWN
    return again


def _extra(passage: Passage) -> dict[str, object]:
    return {
        'step': _STEP,
        'id': passage.request.request_id,
        'route': passage.route.name,
        'tried': passage.endpoints,
    }
