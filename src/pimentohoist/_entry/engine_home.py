"""The home of one engine: grants its adapters to requests and orders its loads."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Mapping
from concurrent.futures import Executor
from dataclasses import dataclass
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.adapter_places import AdapterPlaces, LoadPlan
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

_LONGEST_LOAD_S = 3.0
_REPORT_LAG_S = 0.25
"""Reports are as of a few hundred milliseconds ago."""

_logger = logging.getLogger(__name__)


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
    loaders : Executor
        Runs loads, which wait for the engine.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        capacity: int,
        authority: Authority,
        loaders: Executor,
    ) -> None:
        self.endpoint = endpoint
        self.authority = authority
        self.loaders = loaders
        self.places = AdapterPlaces(capacity)
        self.orders = EngineOrders(endpoint.address, endpoint.endpoint_id)
        self.is_over = False
        self.fenced_by = -1
        self.loads = 0
        self._orders_taken = -1
        self._loading: set[AdapterKey] = set()
        self._changed = threading.Condition()
        self._order_lock = threading.Lock()

    def start(self) -> None:
        """Learn from the engine what it holds."""
        self._resync()
        with self._changed:
            self._changed.notify_all()

    def hold(self, adapter: AdapterKey, version: int, wait_until: float) -> int:
        """Wait until an adapter is there and return its version; it stays for a while.

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
        if adapter in self._loading:
            return
        if self.places.is_outdated(adapter, version) or self.places.is_coming(adapter):
            plan: LoadPlan | None = LoadPlan(adapter, None)
        else:
            plan = self.places.plan_load(adapter, now)
        if plan is not None:
            self.places.begin(plan)
            self._loading.add(adapter)
            self.loaders.submit(self._load, plan, version, now)

    def _may_order(self) -> bool:
        is_fenced = self.authority.fencing_number() <= self.fenced_by
        return self.authority.may_order() and not is_fenced

    def _load(self, plan: LoadPlan, version: int, asked_at: float) -> None:
        try:
            outcome = self._carry_out(plan, version)
        except (PeerError, DocumentError) as error:
            outcome = str(error)
        except Exception as error:
            _logger.exception('load failed', extra={'step': _STEP})
            outcome = repr(error)
        is_loaded = not outcome
        if not is_loaded:
            self._resync()
        with self._changed:
            self._loading.discard(plan.adapter)
            if is_loaded:
                self.places.finish(plan.adapter, version, _clock.now())
            self._changed.notify_all()
        extra = {
            'step': _STEP,
            'endpoint': self.endpoint.endpoint_id,
            'adapter': str(plan.adapter),
            'version': version,
            'victim': str(plan.victim or ''),
            'orders_taken': self._orders_taken,
            'fence': self.authority.fencing_number(),
            'took_ms': round((_clock.now() - asked_at) * 1000),
            'outcome': outcome or 'loaded',
        }
        _logger.info('load ended', extra=extra)

    def _carry_out(self, plan: LoadPlan, version: int) -> str:
        """Evict and load; return why it failed, nothing if it did not."""
        with self._order_lock:
            if self._orders_taken < 0:
                return 'home begins'
            if plan.victim is not None and not self._evict(plan.victim):
                return 'not evicted'
            reply = self._order(lambda: self._order_load(plan.adapter, version))
            if reply is OrderReply.BEGUN:
                self._orders_taken += 1
                self.loads += 1
        if reply is OrderReply.HOLDS:
            return ''
        if reply is not OrderReply.BEGUN:
            return f'load: {reply}'
        return self._wait_until_loaded(plan.adapter, version)

    def _wait_until_loaded(self, adapter: AdapterKey, version: int) -> str:
        give_up_at = _clock.now() + _LONGEST_LOAD_S
        reply = OrderReply.BEGUN
        while _clock.now() < give_up_at:
            _sleep(_POLL_S)
            with self._order_lock:
                reply = self._order(lambda: self._order_load(adapter, version))
            if reply is OrderReply.HOLDS:
                return ''
        return f'never loaded: {reply}'

    def _order_load(self, adapter: AdapterKey, version: int) -> OrderReply:
        return self.orders.load(adapter, self._orders_taken, version or None)

    def _evict(self, victim: AdapterKey) -> bool:
        """Evict an adapter; it leaves only when no request uses it."""
        reply = self._order(lambda: self.orders.unload(victim, self._orders_taken))
        if reply in {OrderReply.HOLDS, OrderReply.BEGUN}:
            self._orders_taken += 1
        if reply is not OrderReply.HOLDS:
            return False
        with self._changed:
            self.places.drop(victim)
        return True

    def _order(self, order: Callable[[], OrderReply]) -> OrderReply:
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
        if reply not in {OrderReply.BEGUN, OrderReply.HOLDS}:
            extra = {'step': _STEP, 'endpoint': self.endpoint.endpoint_id}
            _logger.info('order refused: %s', reply, extra=extra)
        return reply

    def _resync(self) -> None:
        """Believe the engine's report after an order whose effect isn't known."""
        if self._orders_taken >= 0:
            _sleep(_REPORT_LAG_S)
        try:
            with self._order_lock:
                self._read_report()
        except (PeerError, DocumentError) as error:
            extra = {'step': _STEP, 'endpoint': self.endpoint.endpoint_id}
            _logger.info('report not read: %s', error, extra=extra)
            self._orders_taken = -1
            with self._changed:
                self.places.reconcile({}, (), _clock.now())

    def _read_report(self) -> None:
        report = self.orders.report()
        self._orders_taken = report.orders_taken
        with self._changed:
            self.places.reconcile(report.adapters, report.loading, _clock.now())


def _sleep(seconds: float) -> None:
    threading.Event().wait(seconds)
