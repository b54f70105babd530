"""Loads adapters on one engine, evicting others to make room."""

from __future__ import annotations

import logging
import threading

from pimentohoist import _clock
from pimentohoist._decisions.adapter_slots import AdapterSlots, SlotLoadPlan
from pimentohoist._entry.engine_session import EngineSession, LoadOutcome, sleep
from pimentohoist.entry_models import AdapterKey
from pimentohoist.exceptions import PeerTimeoutError
from pimentohoist.platform import OrderReply

_POLL_INTERVAL_S = 0.03
"""Between two questions whether a load has ended; a tenth of a load from the store."""

_MAX_LOAD_S = 3.0

_logger = logging.getLogger(__name__)


class AdapterLoader:
    """Carries out loads.

    Parameters
    ----------
    changed : Condition
        Guards the places.

    Attributes
    ----------
    loads : int
        Loads that the engine has begun.
    """

    def __init__(
        self,
        session: EngineSession,
        adapter_slots: AdapterSlots,
        changed: threading.Condition,
    ) -> None:
        self.session = session
        self.adapter_slots = adapter_slots
        self.changed = changed
        self.loads = 0

    def execute(self, adapter: AdapterKey, version: int) -> LoadOutcome:
        """Make room and load."""
        session = self.session
        with session.lock:
            if adapter.model not in session.models:
                return session.load_model(adapter.model)
            with self.changed:
                # What is there may have changed since the load was asked for.
                is_replacement = self.adapter_slots.is_outdated(adapter, version)
                plan = self.adapter_slots.plan(adapter, version, _clock.now())
            if plan is None or not self._make_room(plan):
                return LoadOutcome('no room', is_state_known=plan is None)
            reply = self._order_load(adapter, version)
            if is_replacement and reply is OrderReply.ACCEPTED:
                # The engine takes no other order until a replacement is over.
                return self._wait_until_loaded(adapter, version)
        if reply is OrderReply.ACCEPTED:
            return self._wait_until_loaded(adapter, version)
        return LoadOutcome.of(reply, 'load', was_polled=False)

    def _order_load(self, adapter: AdapterKey, version: int) -> OrderReply:
        reply = self.session.load(adapter, version)
        if reply is OrderReply.ACCEPTED:
            self.loads += 1
            with self.changed:
                self.adapter_slots.begin(adapter)
        return reply

    def _wait_until_loaded(self, adapter: AdapterKey, version: int) -> LoadOutcome:
        deadline = _clock.now() + _MAX_LOAD_S
        reply = OrderReply.ACCEPTED
        while reply is OrderReply.ACCEPTED and _clock.now() < deadline:
            sleep(_POLL_INTERVAL_S)
            # Read first: a poll that an eviction overtakes is refused by its number.
            accepted_orders = self.session.accepted_orders
            with self.changed:
                if not self.adapter_slots.needs_order(adapter, version):
                    return LoadOutcome('settled by a report')
            reply = self._poll(adapter, version, accepted_orders)
        return LoadOutcome.of(reply, 'poll', was_polled=True)

    def _make_room(self, plan: SlotLoadPlan) -> bool:
        """Evict the victim of a plan; return whether there is room."""
        if plan.victim is None:
            return True
        reply = self.session.unload(plan.victim)
        with self.changed:
            if reply is OrderReply.DONE:
                self.adapter_slots.drop(plan.victim)
            if reply is OrderReply.ACCEPTED:
                # A request uses it after all: it leaves when that has ended.
                self.adapter_slots.leave(plan.victim, _clock.now())
        return reply is OrderReply.DONE

    def _poll(
        self, adapter: AdapterKey, version: int, accepted_orders: int
    ) -> OrderReply:
        try:
            return self.session.poll(adapter, version, accepted_orders)
        except PeerTimeoutError as error:
            _logger.info(
                'poll not answered: %s', error, extra=self.session.log_fields()
            )
            return OrderReply.ACCEPTED
