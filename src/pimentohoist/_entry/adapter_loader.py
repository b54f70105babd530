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
"""Between two polls of a load; a tenth of the time that a load from the store takes."""

_MAX_LOAD_S = 3.0

_logger = logging.getLogger(__name__)


class AdapterLoader:
    """Executes loads on one engine.

    Parameters
    ----------
    changed : Condition
        Guards the adapter slots.

    Attributes
    ----------
    loads : int
        Number of loads that the engine has begun.
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
        """Evict a victim if no adapter slot is free, then load the adapter."""
        session = self.session
        with session.lock:
            if adapter.model not in session.models:
                return session.load_model(adapter.model)
            with self.changed:
                # The adapter slots may have changed since the load was requested.
                is_replacement = self.adapter_slots.is_outdated(adapter, version)
                plan = self.adapter_slots.plan(adapter, version, _clock.now())
            if plan is None or not self._free_slot(plan):
                return LoadOutcome('no room', is_state_known=plan is None)
            reply = self._order_load(adapter, version)
            if is_replacement and reply is OrderReply.ACCEPTED:
                # The engine accepts no other order until a replacement has ended, so
                # the session's lock is held meanwhile.
                return self._wait_until_loaded(adapter, version)
        if reply is OrderReply.ACCEPTED:
            return self._wait_until_loaded(adapter, version)
        return LoadOutcome.of(reply, 'load', was_polled=False)

    def _order_load(self, adapter: AdapterKey, version: int) -> OrderReply:
        with self.changed:
            if self.adapter_slots.is_loading(adapter):
                # The engine would answer another order as begun but not count it, and
                # an owner's count that is too high lets orders on an old plan through.
                return OrderReply.ACCEPTED
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
            # Read before the check: the engine then refuses the poll by this number if
            # an eviction is accepted between the check and the poll.
            accepted_orders = self.session.accepted_orders
            with self.changed:
                if not self.adapter_slots.needs_load_order(adapter, version):
                    return LoadOutcome('settled by a report')
            reply = self._poll(adapter, version, accepted_orders)
        return LoadOutcome.of(reply, 'poll', was_polled=True)

    def _free_slot(self, plan: SlotLoadPlan) -> bool:
        """Evict the victim of a plan; return whether an adapter slot is free."""
        if plan.victim is None:
            return True
        reply = self.session.unload(plan.victim)
        with self.changed:
            if reply is OrderReply.DONE:
                self.adapter_slots.drop(plan.victim)
            if reply is OrderReply.ACCEPTED:
                # A request still uses the victim; the engine unloads it afterwards.
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
