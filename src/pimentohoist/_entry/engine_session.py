"""Sequenced and fenced orders to one incarnation of an engine.

An order is a command to load or unload an adapter. It names the number of orders that
the engine has accepted so far, so that the engine itself refuses an order that arrives
late, after newer ones.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pimentohoist import _clock
from pimentohoist.entry_models import AdapterKey, Endpoint, EngineReport
from pimentohoist.exceptions import DocumentError, PeerError
from pimentohoist.platform import EngineOrders, OrderReply

_STEP = 'order'
_REPORT_LAG_S = 0.25
"""A report shows the engine's state of a few hundred milliseconds ago."""

_MODEL_POLL_INTERVAL_S = 0.1
_MAX_QUIET_SLEEP_S = 0.25
_MAX_MODEL_LOAD_S = 20.0

_SUCCESSFUL = frozenset((OrderReply.ACCEPTED, OrderReply.DONE))
_EXPECTED_POLL_REPLIES = _SUCCESSFUL | {OrderReply.CONFLICT}
"""Replies to a poll that are not logged, since the end of the load is."""

_logger = logging.getLogger(__name__)


class EngineLease(Protocol):
    """A daemon's right to order one engine, as its owner."""

    holder: str

    def may_order(self) -> bool:
        """Return whether the daemon may order the engine now."""

    def fencing_number(self) -> int:
        """Return the fencing number that the daemon's orders carry."""

    def quiet_s(self) -> float:
        """Return the seconds for which the engine wants no requests."""

    def record_order(self) -> None:
        """Record that the daemon has sent an order."""


@dataclass(frozen=True, slots=True)
class LoadOutcome:
    """How a load ended.

    Attributes
    ----------
    failure : str
        Empty if the adapter is loaded.
    is_state_known : bool
        Whether it is still known which adapters the engine has.
    was_polled : bool
        Whether the load was polled for its end; a report may have settled it meanwhile.
    """

    failure: str = ''
    is_state_known: bool = True
    was_polled: bool = False

    @classmethod
    def of(cls, reply: OrderReply, step: str, *, was_polled: bool) -> LoadOutcome:
        """Return the outcome of a load whose last order got this reply."""
        if reply is OrderReply.DONE:
            return cls(was_polled=was_polled)
        return cls(f'{step}: {reply}', is_state_known=reply is OrderReply.FENCED)


class EngineSession:
    """The orders of one owner to one incarnation of an engine.

    Attributes
    ----------
    lock : Lock
        Held around orders that belong together.
    is_state_known : bool
        Whether the engine's count of accepted orders and its models are known.
    is_ended : bool
        Whether another endpoint answers at the address, or the ownership has ended.
    fenced_by : int
        Fencing number that was refused; a higher one is needed.
    has_ordered : bool
        Whether an order was sent, which a report may not show yet.
    """

    def __init__(self, endpoint: Endpoint, lease: EngineLease) -> None:
        self.endpoint = endpoint
        self.lease = lease
        self.orders = EngineOrders(endpoint.address, endpoint.endpoint_id)
        self.lock = threading.Lock()
        self.is_state_known = False
        self.is_ended = False
        self.fenced_by = -1
        self.models: tuple[str, ...] = ()
        self.accepted_orders = 0
        self.has_ordered = False

    def may_order(self) -> bool:
        """Return whether orders may be sent now."""
        is_fenced = self.lease.fencing_number() <= self.fenced_by
        return self.lease.may_order() and not (is_fenced or self.is_ended)

    def load(self, adapter: AdapterKey, version: int | None) -> OrderReply:
        """Load an adapter."""
        # Loads of adapters name a version: an order without one, repeated while the
        # adapter is being loaded, could start another load.
        reply = self._order(
            'load',
            adapter,
            lambda: self.orders.load(adapter, self.accepted_orders, version),
        )
        if reply is OrderReply.ACCEPTED:
            self.accepted_orders += 1
        return reply

    def poll(
        self, adapter: AdapterKey, version: int | None, accepted_orders: int
    ) -> OrderReply:
        """Poll whether a load has ended; the lock need not be held.

        The engine has no request for this: the load order itself is sent again. The
        engine refuses it if it has accepted another order since `accepted_orders`; the
        poll may then be repeated with the newer number.
        """
        if self.lease.quiet_s():
            return OrderReply.ACCEPTED
        reply = self._order(
            'poll', adapter, lambda: self.orders.load(adapter, accepted_orders, version)
        )
        return OrderReply.ACCEPTED if reply is OrderReply.CONFLICT else reply

    def unload(self, adapter: AdapterKey) -> OrderReply:
        """Unload an adapter that the engine holds."""
        reply = self._order(
            'unload', adapter, lambda: self.orders.unload(adapter, self.accepted_orders)
        )
        if reply in _SUCCESSFUL:
            self.accepted_orders += 1
        return reply

    def load_model(self, model: str) -> LoadOutcome:
        """Load a base model and wait for it: an engine restarts without any."""
        key = AdapterKey(model)
        deadline = _clock.now() + _MAX_MODEL_LOAD_S
        reply = self.load(key, None)
        while reply is OrderReply.ACCEPTED and _clock.now() < deadline:
            sleep(_MODEL_POLL_INTERVAL_S)
            reply = self.poll(key, None, self.accepted_orders)
        if reply is not OrderReply.DONE:
            return LoadOutcome(f'model not loaded: {reply}', is_state_known=False)
        self.models = (*self.models, model)
        _logger.info('model loaded: %s', model, extra=self.log_fields())
        return LoadOutcome('the model had to be loaded')

    def resync(self, apply: Callable[[EngineReport], None]) -> None:
        """Take over the engine's report after an order whose effect isn't known."""
        with self.lock:
            self._wait_for_retry_after()
            if self.has_ordered:
                # The report is older than the request for it by this lag: an order that
                # was accepted within it would be missing from the report.
                sleep(_REPORT_LAG_S)
            try:
                report = self.orders.report()
            except (PeerError, DocumentError) as error:
                self.is_state_known = False
                sleep(_REPORT_LAG_S)
                _logger.info('report not read: %s', error, extra=self.log_fields())
                return
            extra = {
                **self.log_fields(),
                'orders_taken': report.accepted_orders,
                'believed': self.accepted_orders,
                'models': report.models,
                'held': len(report.adapters),
                'coming': len(report.loading),
            }
            _logger.info('report read', extra=extra)
            self.accepted_orders = report.accepted_orders
            self.models = report.models
            apply(report)
            self.is_state_known = True

    def log_fields(self) -> dict[str, object]:
        """Return the fields of each log record about the engine."""
        return {'step': _STEP, 'endpoint': self.endpoint.endpoint_id}

    def _wait_for_retry_after(self) -> None:
        """Wait until the engine wants requests again."""
        quiet_s = self.lease.quiet_s()
        while quiet_s and not self.is_ended:
            sleep(min(quiet_s, _MAX_QUIET_SLEEP_S))
            quiet_s = self.lease.quiet_s()

    def _order(
        self, verb: str, adapter: AdapterKey, send_order: Callable[[], OrderReply]
    ) -> OrderReply:
        """Send an order if this daemon still may order the engine."""
        number = self.lease.fencing_number()
        if not self.may_order():
            return OrderReply.FENCED
        if self.lease.quiet_s():
            return OrderReply.REFUSED
        self.orders.set_holder(self.lease.holder, number)
        self.lease.record_order()
        self.has_ordered = True
        reply = send_order()
        if reply is OrderReply.FENCED:
            self.fenced_by = number
        if reply is OrderReply.OTHER_ENDPOINT:
            self.is_ended = True
        if verb != 'poll' or reply not in _EXPECTED_POLL_REPLIES:
            extra = {
                **self.log_fields(),
                'adapter': str(adapter),
                'orders_taken': self.accepted_orders,
                'fence': number,
            }
            _logger.info('%s: %s', verb, reply, extra=extra)
        return reply


def sleep(seconds: float) -> None:
    """Block the calling thread for a time in seconds."""
    threading.Event().wait(seconds)
