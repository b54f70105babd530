"""Sends a request to endpoints until one answers or no more may be tried."""

from __future__ import annotations

import logging
from http import HTTPStatus

from pimentohoist import _clock
from pimentohoist._entry.choosing import EndpointChooser, Target
from pimentohoist._entry.connections import Connections, Exchange, Head
from pimentohoist._entry.event_stream import EventSplitter
from pimentohoist._entry.judging import Judge, TryAgainError, given_up
from pimentohoist._entry.request_context import EntryAnswer, Passage, log_fields
from pimentohoist._entry.retries import Retries
from pimentohoist._entry.running import Running
from pimentohoist._entry.stream_relay import StreamRelay
from pimentohoist.entry_models import Onward, RequestKind
from pimentohoist.exceptions import PeerError, PimentohoistError
from pimentohoist.platform import answer_headers, onward_headers

_STEP = 'dispatch'
_MAX_PRIORITY = 9
_MIN_SEND_S = 0.01

_logger = logging.getLogger(__name__)


class StreamBrokenError(OSError):
    """A stream ends before its end: the caller's connection must be cut."""


class Dispatch:
    """The last step of a request."""

    def __init__(
        self,
        chooser: EndpointChooser,
        judge: Judge,
        connections: Connections,
        retries: Retries,
        running: Running,
    ) -> None:
        self.chooser = chooser
        self.judge = judge
        self.connections = connections
        self.retries = retries
        self.running = running

    def __call__(self, passage: Passage) -> EntryAnswer:
        """Return an endpoint's answer; raises PimentohoistError."""
        self.retries.record_request(passage.group.name)
        while True:
            try:
                return self._attempt(passage)
            except TryAgainError as error:
                _logger.info('another attempt: %s', error, extra=log_fields(passage))

    def dump(self) -> dict[str, object]:
        """Return the requests under way."""
        return {
            'running': self.running.snapshot(),
            'connections_opened': self.connections.opened,
        }

    def _attempt(self, passage: Passage) -> EntryAnswer:
        target = self._choose(passage)
        exchange = self._send(passage, target, None)
        try:
            return self._receive(passage, exchange)
        except BaseException:
            exchange.close()
            passage.finish()
            raise

    def _choose(self, passage: Passage) -> Target:
        try:
            return self.chooser.choose(passage)
        except PimentohoistError as error:
            if passage.watched.is_over:
                raise given_up(passage) from error
            raise

    def _send(
        self, passage: Passage, target: Target, last_event_id: str | None
    ) -> Exchange:
        endpoint = target.endpoint
        remaining_s = passage.remaining_s(_clock.now())
        if remaining_s < _MIN_SEND_S or passage.watched.is_over:
            raise given_up(passage)
        onward = Onward(
            endpoint.endpoint_id,
            passage.workspace.name if passage.workspace else None,
            remaining_s,
            target.adapter_version,
            last_event_id,
            _rank(passage) if passage.group.engine else None,
        )
        self._count(passage, endpoint.endpoint_id)
        try:
            exchange = self.connections.send(
                endpoint, passage.request, onward_headers(passage.request, onward)
            )
        except PimentohoistError as error:
            passage.finish()
            raise self.judge.judge_failure(passage, endpoint, error) from error
        passage.watched.watch(exchange)
        return exchange

    def _count(self, passage: Passage, endpoint_id: str) -> None:
        """Count a request at an endpoint until it has ended there."""
        adapter = str(passage.request.adapter or '')
        passage.endpoints.append(endpoint_id)
        self.running.begin(endpoint_id, adapter)
        passage.cleanups.append(lambda: self.running.finish(endpoint_id, adapter))

    def _receive(self, passage: Passage, exchange: Exchange) -> EntryAnswer:
        try:
            head = exchange.read_head(passage.request.request_id)
            if _is_stream(passage, head):
                return self._stream(passage, exchange, head)
            body = exchange.read_whole()
        except PeerError as error:
            raise self.judge.judge_failure(passage, exchange.endpoint, error) from error
        self.judge.judge_answer(passage, exchange, head)
        exchange.close()
        passage.finish()
        headers = answer_headers(head.headers.items())
        return EntryAnswer(head.status, head.reason, headers, [body], len(body))

    def _stream(self, passage: Passage, exchange: Exchange, head: Head) -> EntryAnswer:
        """Wait for the first event, then pass the stream on as it comes."""
        relay = StreamRelay(passage, exchange, EventSplitter(), self._go_on)
        first = relay.first_events()
        self.judge.judge_answer(passage, exchange, head)
        headers = answer_headers(head.headers.items())
        return EntryAnswer(head.status, head.reason, headers, relay.events(first), None)

    def _go_on(self, relay: StreamRelay, error: PeerError) -> Exchange:
        """Return the exchange with which a broken stream goes on."""
        passage = relay.passage
        passage.failure = error
        if not passage.watched.is_over:
            endpoint_id = relay.exchange.endpoint.endpoint_id
            self.judge.endpoints.health_of(endpoint_id).record_failure(_clock.now())
        if not self.judge.may_resume(passage):
            raise StreamBrokenError(str(error))
        try:
            return self._resume(passage, relay.splitter.last_id)
        except PimentohoistError as failure:
            raise StreamBrokenError(str(failure)) from failure

    def _resume(self, passage: Passage, last_event_id: str | None) -> Exchange:
        exchange = self._send(passage, self._choose(passage), last_event_id)
        head = exchange.read_head(passage.request.request_id)
        if not _is_stream(passage, head):
            raise PeerError(
                f'not resumed: {head.status}',
                step=_STEP,
                peer=exchange.endpoint.endpoint_id,
            )
        passage.runs += 1
        return exchange


def _is_stream(passage: Passage, head: Head) -> bool:
    return passage.route.kind is RequestKind.STREAM and head.status == HTTPStatus.OK


def _rank(passage: Passage) -> int:
    workspace = passage.workspace
    has_own = workspace is not None and workspace.rank is not None
    rank = workspace.rank if workspace is not None and has_own else None
    return min(_MAX_PRIORITY, passage.route.rank if rank is None else rank)
