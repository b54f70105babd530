"""Loads adapters on one engine, evicting others to make room."""

from __future__ import annotations

import logging
import threading

from pimentohoist import _clock
from pimentohoist._decisions.adapter_slots import AdapterPlaces, LoadPlan
from pimentohoist._entry.engine_ledger import EngineLedger, LoadOutcome, sleep
from pimentohoist.entry_models import AdapterKey
from pimentohoist.exceptions import PeerTimeoutError
from pimentohoist.platform import OrderReply

_POLL_S = 0.03
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
        self, ledger: EngineLedger, places: AdapterPlaces, changed: threading.Condition
    ) -> None:
        self.ledger = ledger
        self.places = places
        self.changed = changed
        self.loads = 0

    def carry_out(self, adapter: AdapterKey, version: int) -> LoadOutcome:
        """Make room and load."""
        ledger = self.ledger
        with ledger.lock:
            if adapter.model not in ledger.models:
                return ledger.bring_model(adapter.model)
            with self.changed:
                # What is there may have changed since the load was asked for.
                is_replacement = self.places.is_outdated(adapter, version)
                plan = self.places.plan(adapter, version, _clock.now())
            if plan is None or not self._make_room(plan):
                return LoadOutcome('no room', is_known=plan is None)
            reply = self._order_load(adapter, version)
            if is_replacement and reply is OrderReply.BEGUN:
                # The engine takes no other order until a replacement is over.
                return self._wait_until_loaded(adapter, version)
        if reply is OrderReply.BEGUN:
            return self._wait_until_loaded(adapter, version)
        return LoadOutcome.of(reply, 'load', is_awaited=False)

    def _order_load(self, adapter: AdapterKey, version: int) -> OrderReply:
        reply = self.ledger.load(adapter, version)
        if reply is OrderReply.BEGUN:
            self.loads += 1
            with self.changed:
                self.places.begin(adapter)
        return reply

    def _wait_until_loaded(self, adapter: AdapterKey, version: int) -> LoadOutcome:
        deadline = _clock.now() + _MAX_LOAD_S
        reply = OrderReply.BEGUN
        while reply is OrderReply.BEGUN and _clock.now() < deadline:
            sleep(_POLL_S)
            # Read first: a poll that an eviction overtakes is refused by its number.
            orders_taken = self.ledger.orders_taken
            with self.changed:
                if not self.places.needs_order(adapter, version):
                    return LoadOutcome('settled by a report')
            reply = self._poll(adapter, version, orders_taken)
        return LoadOutcome.of(reply, 'poll', is_awaited=True)

    def _make_room(self, plan: LoadPlan) -> bool:
        """Evict the victim of a plan; return whether there is room."""
        if plan.victim is None:
            return True
        reply = self.ledger.unload(plan.victim)
        with self.changed:
            if reply is OrderReply.HOLDS:
                self.places.drop(plan.victim)
            if reply is OrderReply.BEGUN:
                # A request uses it after all: it leaves when that has ended.
                self.places.leave(plan.victim, _clock.now())
        return reply is OrderReply.HOLDS

    def _poll(self, adapter: AdapterKey, version: int, orders_taken: int) -> OrderReply:
        try:
            return self.ledger.poll(adapter, version, orders_taken)
        except PeerTimeoutError as error:
            _logger.info('poll not answered: %s', error, extra=self.ledger.fields())
            return OrderReply.BEGUN
