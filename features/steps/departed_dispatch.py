"""Steps on callers that leave between the steps of an attempt."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context

from pimentohoist import _clock
from pimentohoist._entry.dispatch import Dispatch
from pimentohoist._entry.endpoint_chooser import ChosenEndpoint
from pimentohoist._entry.in_flight_requests import InFlightRequests
from pimentohoist._entry.request_context import RequestContext
from pimentohoist._entry.request_monitor import MonitoredRequest
from pimentohoist._entry.retry_policy import RetryableError
from pimentohoist.entry_models import (
    Endpoint,
    EndpointGroup,
    EntryRequest,
    ExecutionPolicy,
    Route,
)
from pimentohoist.exceptions import (
    CallerDisconnectedError,
    PeerError,
    PimentohoistError,
    UnavailableError,
)

_ENDPOINT = Endpoint('s1', 'g', '127.0.0.1:9', 'a', 8, False, 0, 0)
_TIMEOUT_S = 4.0
_MOMENTS = (
    'before an endpoint is chosen',
    'while its request waits for an adapter',
    'while a connection is opened',
    'while the first of two attempts fails',
    'while its prompt is quarantined',
)


class _FakePlatform:
    """Test double of what a dispatch uses; the caller leaves at a given moment."""

    def __init__(self) -> None:
        self.moment = ''
        self.moments: list[str] = []
        self.sent: list[str] = []
        self.places = 0
        self.permits = 0
        forwarding = SimpleNamespace(in_flight=InFlightRequests())
        rooms = SimpleNamespace(give_back=self._give_back)
        permits = SimpleNamespace(give_back=self._give_permit_back)
        chooser = SimpleNamespace(choose=self._choose, rooms=rooms, permits=permits)
        self.parts: dict[str, Any] = {
            'chooser': chooser,
            'retry_policy': SimpleNamespace(
                forwarding=forwarding, classify_failure=self._classify
            ),
            'part_quarantine': self._check_parts,
            'connections': SimpleNamespace(send=self._send),
            'retry_budgets': SimpleNamespace(record_request=self._pass),
            'in_flight': InFlightRequests(),
            'stream_versions': SimpleNamespace(incarnations=None),
        }

    def has_left(self) -> bool:
        """Return whether the caller has left by now."""
        return self.moment in self.moments

    def _choose(self, context: RequestContext) -> ChosenEndpoint:
        self.places += 1
        self.permits += 1
        self.moments.append('while its request waits for an adapter')
        return ChosenEndpoint(_ENDPOINT)

    def _give_back(self, endpoint: Endpoint) -> None:
        self.places -= 1

    def _give_permit_back(self, endpoint: Endpoint) -> None:
        self.permits -= 1

    def _check_parts(self, context: RequestContext) -> None:
        if self.moment == 'while its prompt is quarantined':
            raise UnavailableError('quarantined', step='test', retry_after_s=1)

    def _send(
        self,
        endpoint: Endpoint,
        request: EntryRequest,
        headers: object,
        on_open: Callable[[Any], None],
    ) -> None:
        self.moments.append('while a connection is opened')
        exchange = SimpleNamespace(
            endpoint=endpoint, abort=self._pass, close=self._pass, sent_at=0
        )
        on_open(exchange)
        self.moments.append('while the first of two attempts fails')
        is_retried = self.moment == self.moments[-1] and not self.sent
        self.sent.append('first' if is_retried else 'next')
        raise PeerError('reset', step='test', peer='s1')

    def _classify(
        self, context: RequestContext, endpoint: Endpoint, error: PimentohoistError
    ) -> PimentohoistError:
        if self.sent == ['first']:
            return RetryableError(error.message, step='test')
        return error

    def _pass(self, *arguments: object) -> None:
        """Do nothing."""


@given('a dispatch of requests to an endpoint')
def new_dispatch(context: Context) -> None:
    context.platform = _FakePlatform()
    context.dispatch = Dispatch(**context.platform.parts)


@when('a caller leaves {moment}')
def dispatch_request(context: Context, moment: str) -> None:
    platform = context.platform
    assert moment in _MOMENTS, moment
    platform.moment = moment
    platform.moments.append(_MOMENTS[0])
    now = _clock.now()
    request = EntryRequest(
        'r1', 'GET', 'h', '/', (), b'', '', _TIMEOUT_S, None, None, now
    )
    monitored = MonitoredRequest('r1', now, now + _TIMEOUT_S, platform.has_left)
    route = Route(
        'r',
        'h',
        '/',
        ExecutionPolicy.IDEMPOTENT,
        _TIMEOUT_S,
        1,
        0,
        (),
        max_executions=2,
        is_public=True,
        can_resume=False,
    )
    declaration: Any = None
    group = EndpointGroup('g', 100, None)
    context.error = None
    try:
        context.dispatch(RequestContext(request, monitored, declaration, route, group))
    except PimentohoistError as error:
        context.error = error


@then("its request isn't sent, and ends as one of a departed caller")
def check_unsent(context: Context) -> None:
    assert 'next' not in context.platform.sent, context.platform.sent
    assert isinstance(context.error, CallerDisconnectedError), context.error


@then('the place and the permit that it took are given back')
def check_given_back(context: Context) -> None:
    taken = context.platform.places, context.platform.permits
    assert taken == (0, 0), taken
