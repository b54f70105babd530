"""The home of one engine: grants its adapters to requests and orders its loads."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Mapping
from concurrent.futures import Executor
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.adapter_places import AdapterPlaces
from pimentohoist.entry_models import AdapterKey, Endpoint
from pimentohoist.exceptions import (
    DocumentError,
    NotHomeError,
    PeerError,
    UnavailableError,
)
from pimentohoist.platform import EngineOrders, OrderReply

_STEP = 'hold_adapter'
_POLL_S = 0.03
"""Between two questions whether a load has ended; a tenth of a load from the store."""

_FIRST_VERSION = 1
"""Of an adapter for which no newer one was declared."""

_LONGEST_LOAD_S = 3.0
_LONGEST_MODEL_LOAD_S = 20.0
_MODEL_POLL_S = 0.1
_REPORT_LAG_S = 0.25
"""Reports are as of a few hundred milliseconds ago."""

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Outcome:
    """How a load ended.

    Attributes
    ----------
    failure : str
        Empty if the adapter is there.
    is_known : bool
        Whether this daemon still knows what the engine holds.
    """

    failure: str = ''
    is_known: bool = True


@dataclass(frozen=True, slots=True)
class Authority:
    """This daemon's right to order one engine.

    Attributes
    ----------
    may_order : callable
        Whether it may order now.
    fencing_number : callable
        The number that its orders carry.
    note_order : callable
        Called at each order.
    """

    holder: str
    may_order: Callable[[], bool]
    fencing_number: Callable[[], int]
    note_order: Callable[[], None]


class EngineHome:
    """Grants one engine's adapters, and loads and evicts them.

    Parameters
    ----------
    first_model : str
        Loaded if the engine has none.
    loaders : Executor
        Runs loads, which wait for the engine.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        capacity: int,
        first_model: str,
        authority: Authority,
        loaders: Executor,
    ) -> None:
        self.endpoint = endpoint
        self.first_model = first_model
        self.authority = authority
        self.loaders = loaders
        self.places = AdapterPlaces(capacity)
        self.orders = EngineOrders(endpoint.address, endpoint.endpoint_id)
        self.is_over = False
        self.fenced_by = -1
        self.loads = 0
        self._orders_taken = 0
        self._is_known = False
        self._models: tuple[str, ...] = ()
        self._loading: set[AdapterKey] = set()
        self._changed = threading.Condition()
        self._order_lock = threading.Lock()

    def start(self) -> None:
        """Learn from the engine what it holds, until it answers."""
        while not (self.is_over or self._is_known):
            self._resync()
            with self._changed:
                self._changed.notify_all()
        if not (self.is_over or self._models):
            with self._order_lock:
                self._bring_model(self.first_model)

    def hold(
        self,
        adapter: AdapterKey,
        version: int,
        wait_until: float,
        *,
        is_impatient: bool = False,
    ) -> int:
        """Wait until an adapter is there and return its version; it stays for a while.

        Parameters
        ----------
        is_impatient : bool
            Refuse at once if a load can't begin now.

        Raises
        ------
        NotHomeError
            This daemon may not order the engine.
        UnavailableError
            The adapter isn't there in time.
        """
        with self._changed:
            self.places.note_demand(adapter, _clock.now())
            while True:
                now = _clock.now()
                found = self.places.grant(adapter, version, now)
                if found is not None:
                    return found
                self._begin_load(adapter, version, now)
                is_begun = adapter in self._loading or adapter in self.places.places
                if is_impatient and not is_begun:
                    raise UnavailableError(
                        'no room now', step=_STEP, peer=self.endpoint.endpoint_id
                    )
                if not self._changed.wait(max(0, wait_until - now)):
                    raise UnavailableError(
                        'adapter not there in time',
                        step=_STEP,
                        peer=self.endpoint.endpoint_id,
                    )

    def note_use(self, member: str, adapters: frozenset[AdapterKey]) -> None:
        """Note which adapters the requests of a daemon use."""
        with self._changed:
            before = self.places.in_use.get(member, frozenset())
            self.places.in_use[member] = adapters
            if before - adapters:
                self._changed.notify_all()

    def forget_members(self, live: frozenset[str]) -> None:
        """Forget what daemons used that are gone."""
        with self._changed:
            for member in tuple(self.places.in_use):
                if member not in live:
                    self.places.in_use.pop(member)

    def replace(self, adapter: AdapterKey, version: int) -> None:
        """Replace an adapter by a newer version if it is there."""
        with self._changed:
            if self.places.is_outdated(adapter, version):
                self._begin_load(adapter, version, _clock.now())

    def status(self) -> tuple[int, list[str]]:
        """Return the free places and the adapters that are there."""
        with self._changed:
            free = self.places.free_places(_clock.now())
            return free, [str(adapter) for adapter in self.places.places]

    def close(self) -> None:
        """End the home; requests that wait are refused."""
        with self._changed:
            self.is_over = True
            self._changed.notify_all()
        self.orders.close()

    def dump(self) -> Mapping[str, Any]:
        """Return what is there."""
        free, adapters = self.status()
        return {'free': free, 'adapters': adapters, 'loads': self.loads}

    def _begin_load(self, adapter: AdapterKey, version: int, now: float) -> None:
        """Start a load unless the adapter is on its way or there is no room."""
        if self.is_over or not self._may_order():
            raise NotHomeError(
                'no right to order', step=_STEP, peer=self.endpoint.endpoint_id
            )
        if adapter in self._loading or not self._is_known:
            return
        begun = sum(asked not in self.places.places for asked in self._loading)
        can_load = self.places.can_load(adapter, now, begun)
        if can_load or self._needs_order(adapter, version):
            self._loading.add(adapter)
            self.loaders.submit(self._load, adapter, version, now)

    def _needs_order(self, adapter: AdapterKey, version: int) -> bool:
        """Return whether an adapter that has a place must be asked for again."""
        is_outdated = self.places.is_outdated(adapter, version)
        return is_outdated or self.places.is_coming(adapter)

    def _may_order(self) -> bool:
        is_fenced = self.authority.fencing_number() <= self.fenced_by
        return self.authority.may_order() and not is_fenced

    def _load(self, adapter: AdapterKey, version: int, asked_at: float) -> None:
        number = version or _FIRST_VERSION
        try:
            outcome = self._carry_out(adapter, number)
        except (PeerError, DocumentError) as error:
            outcome = _Outcome(str(error), is_known=False)
        except Exception as error:
            _logger.exception('load failed', extra={'step': _STEP})
            outcome = _Outcome(repr(error), is_known=False)
        if not outcome.is_known:
            self._resync()
        with self._changed:
            self._loading.discard(adapter)
            if not outcome.failure:
                self.places.finish(adapter, number, _clock.now())
            self._changed.notify_all()
        extra = {
            **self._extra(),
            'adapter': str(adapter),
            'version': number,
            'took_ms': round((_clock.now() - asked_at) * 1000),
            'outcome': outcome.failure or 'loaded',
        }
        _logger.info('load ended', extra=extra)

    def _carry_out(self, adapter: AdapterKey, version: int) -> _Outcome:
        """Make room and load."""
        with self._order_lock:
            if adapter.model not in self._models:
                return self._bring_model(adapter.model)
            with self._changed:
                # What is there may have changed since the load was asked for.
                is_replacement = self.places.is_outdated(adapter, version)
                plan = self.places.plan(adapter, version, _clock.now())
            if plan is None:
                return _Outcome('no room')
            if plan.victim is not None and not self._evict(plan.victim):
                return _Outcome('not evicted', is_known=False)
            reply = self._order_load(adapter, version)
            if reply is OrderReply.BEGUN:
                self._orders_taken += 1
                self.loads += 1
                with self._changed:
                    self.places.begin(adapter)
            if is_replacement and reply is OrderReply.BEGUN:
                # The engine takes no other order until a replacement is over.
                return self._wait_until_loaded(adapter, version, nullcontext())
        if reply is OrderReply.BEGUN:
            return self._wait_until_loaded(adapter, version, self._order_lock)
        return _outcome_of(reply, f'load: {reply}')

    def _wait_until_loaded(
        self, adapter: AdapterKey, version: int, lock: AbstractContextManager[object]
    ) -> _Outcome:
        give_up_at = _clock.now() + _LONGEST_LOAD_S
        reply = OrderReply.BEGUN
        while reply is OrderReply.BEGUN and _clock.now() < give_up_at:
            _sleep(_POLL_S)
            with lock:
                reply = self._order_load(adapter, version, is_poll=True)
        return _outcome_of(reply, f'not loaded: {reply}')

    def _bring_model(self, model: str) -> _Outcome:
        """Load the base model of adapters; an engine starts again without any."""
        key = AdapterKey(model)
        give_up_at = _clock.now() + _LONGEST_MODEL_LOAD_S
        reply = self._order_load(key, None)
        if reply is OrderReply.BEGUN:
            self._orders_taken += 1
        while reply is OrderReply.BEGUN and _clock.now() < give_up_at:
            _sleep(_MODEL_POLL_S)
            reply = self._order_load(key, None, is_poll=True)
        if reply is OrderReply.HOLDS:
            self._models = (*self._models, model)
            _logger.info('model loaded: %s', model, extra=self._extra())
            return _Outcome('model had to be loaded')
        return _Outcome(f'model not loaded: {reply}', is_known=False)

    def _order_load(
        self, adapter: AdapterKey, version: int | None, *, is_poll: bool = False
    ) -> OrderReply:
        # Without a version, asking again for one that is on its way could start another.
        return self._order(
            'poll' if is_poll else 'load',
            adapter,
            lambda: self.orders.load(adapter, self._orders_taken, version),
        )

    def _evict(self, victim: AdapterKey) -> bool:
        """Evict an adapter; return whether its place is free."""
        reply = self._order(
            'unload', victim, lambda: self.orders.unload(victim, self._orders_taken)
        )
        if reply in {OrderReply.HOLDS, OrderReply.BEGUN}:
            self._orders_taken += 1
        with self._changed:
            if reply is OrderReply.HOLDS:
                self.places.drop(victim)
            if reply is OrderReply.BEGUN:
                # A request uses it after all: it leaves when that has ended.
                self.places.leave(victim, _clock.now())
        return reply is OrderReply.HOLDS

    def _order(
        self, what: str, adapter: AdapterKey, order: Callable[[], OrderReply]
    ) -> OrderReply:
        """Give an order if this daemon still may."""
        number = self.authority.fencing_number()
        if self.is_over or not self._may_order():
            return OrderReply.FENCED
        self.orders.authorise(self.authority.holder, number)
        self.authority.note_order()
        reply = order()
        if reply is OrderReply.FENCED:
            self.fenced_by = number
        if reply is OrderReply.OTHER_ENDPOINT:
            self.is_over = True
        if what != 'poll' or reply not in {OrderReply.BEGUN, OrderReply.HOLDS}:
            extra = {
                **self._extra(),
                'adapter': str(adapter),
                'orders_taken': self._orders_taken,
                'fence': number,
            }
            _logger.info('%s: %s', what, reply, extra=extra)
        return reply

    def _extra(self) -> dict[str, object]:
        return {'step': _STEP, 'endpoint': self.endpoint.endpoint_id}

    def _resync(self) -> None:
        """Believe the engine's report after an order whose effect isn't known."""
        with self._order_lock:
            # No order may be accepted between the report and what it shows.
            _sleep(_REPORT_LAG_S)
            try:
                self._read_report()
            except (PeerError, DocumentError) as error:
                _logger.info('report not read: %s', error, extra=self._extra())
                self._is_known = False

    def _read_report(self) -> None:
        report = self.orders.report()
        extra = {
            **self._extra(),
            'before': self._orders_taken,
            'orders_taken': report.orders_taken,
            'models': report.models,
            'held': len(report.adapters),
            'coming': len(report.loading),
        }
        _logger.info('report read', extra=extra)
        self._orders_taken = report.orders_taken
        self._models = report.models
        self._is_known = True
        with self._changed:
            self.places.reconcile(report.adapters, report.loading, _clock.now())


def _outcome_of(reply: OrderReply, failure: str) -> _Outcome:
    if reply is OrderReply.HOLDS:
        return _Outcome()
    return _Outcome(failure, is_known=reply is OrderReply.FENCED)


def _sleep(seconds: float) -> None:
    threading.Event().wait(seconds)
