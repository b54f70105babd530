"""The owner of one engine: loads adapters there and pins them for requests."""

from __future__ import annotations

import logging
import threading
from concurrent.futures import Executor

from pimentohoist import _clock
from pimentohoist._decisions.adapter_handover import (
    popular_adapters,
    unpopular_slot_count,
)
from pimentohoist._decisions.adapter_slots import AdapterSlots
from pimentohoist._decisions.waiting_order import RequestNeeds
from pimentohoist._entry.adapter_loader import AdapterLoader
from pimentohoist._entry.adapter_queue import AdapterQueue, Waiter, default_needs
from pimentohoist._entry.engine_session import EngineLease, EngineSession, LoadOutcome
from pimentohoist.entry_models import AdapterKey, Endpoint, EngineReport
from pimentohoist.exceptions import (
    DocumentError,
    NotOwnerError,
    PeerError,
    UnavailableError,
    WaitRefusedError,
)

_STEP = 'hold_adapter'
_MS_PER_S = 1000
_FIRST_VERSION = 1
"""Version of an adapter for which none has been declared."""

_logger = logging.getLogger(__name__)


class EngineOwner:
    """Loads, pins and evicts the adapters of one engine.

    Parameters
    ----------
    capacity : int
        Number of adapter slots.
    default_model : str
        Base model that is loaded if the engine has none.
    loaders : Executor
        Runs loads, which block until the engine has ended them.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        capacity: int,
        default_model: str,
        lease: EngineLease,
        loaders: Executor,
    ) -> None:
        self.endpoint = endpoint
        self.default_model = default_model
        self.loaders = loaders
        self.session = EngineSession(endpoint, lease)
        self.adapter_slots = AdapterSlots(capacity)
        self._pending_loads: set[AdapterKey] = set()
        self._changed = threading.Condition()
        self.queue = AdapterQueue(self)
        self.loader = AdapterLoader(self.session, self.adapter_slots, self._changed)

    def start(self) -> None:
        """Read the engine's report, retrying until it answers."""
        self._resync()
        session = self.session
        if not (session.is_ended or session.models):
            with session.lock:
                outcome = session.load_model(self.default_model)
            _logger.info(
                'default model: %s', outcome.failure, extra=session.log_fields()
            )
        with self._changed:
            self._changed.notify_all()

    def load_and_pin(
        self,
        adapter: AdapterKey,
        version: int,
        deadline: float,
        *,
        needs: RequestNeeds | None = None,
        fail_fast: bool = False,
    ) -> int:
        """Wait until an adapter is loaded, pin it for a while and return its version.

        Parameters
        ----------
        deadline : float
            Time at which the wait ends, on the daemon's clock.
        needs : RequestNeeds or None
            What decides on the request's turn; None if only its wait is known.
        fail_fast : bool
            Refuse at once if a load can't begin now.

        Raises
        ------
        NotOwnerError
            This daemon may not order the engine.
        WaitRefusedError
            The request can't be served here before its own deadline.
        UnavailableError
            The adapter isn't loaded by the end of the wait. `retry_after_s` is the
            expected wait.
        """
        with self._changed:
            now = _clock.now()
            self.adapter_slots.record_demand(adapter, now)
            pinned_version = self.adapter_slots.grant(adapter, version, now)
            if pinned_version is not None:
                return pinned_version
            _check_lease(self.session, self.endpoint)
            needs = needs or default_needs(deadline, now)
            waiter = self.queue.add(adapter, version, needs, now, is_probe=fail_fast)
            try:
                return self._wait(waiter, deadline, fail_fast=fail_fast)
            finally:
                self.queue.remove(waiter, _clock.now())

    def prepare(self, adapter: AdapterKey, version: int) -> int:
        """Begin to load an adapter if that evicts none that was requested lately.

        Raises
        ------
        UnavailableError
            The adapter isn't loaded yet.
        """
        with self._changed:
            now = _clock.now()
            pinned_version = self.adapter_slots.grant(adapter, version, now)
            if pinned_version is not None:
                return pinned_version
            room = unpopular_slot_count(self.adapter_slots, now)
            is_known = self.is_loaded_or_loading(adapter)
            if not is_known and room > len(self._pending_loads):
                # Otherwise the next prepared adapter would evict this one.
                _check_lease(self.session, self.endpoint)
                self.adapter_slots.record_demand(adapter, now)
                self.begin_load(adapter, version)
            raise _unavailable(
                f'adapter {adapter} not loaded yet', self.endpoint.endpoint_id
            )

    def record_use(self, member: str, adapters: frozenset[AdapterKey]) -> None:
        """Record which adapters the requests of a daemon use."""
        with self._changed:
            before = self.adapter_slots.in_use.get(member, frozenset())
            self.adapter_slots.in_use[member] = adapters
            if before - adapters:
                self._serve_waiting()

    def forget_members(self, live: frozenset[str]) -> None:
        """Drop the uses recorded for daemons that are no longer live."""
        with self._changed:
            for member in tuple(self.adapter_slots.in_use):
                if member not in live:
                    self.adapter_slots.in_use.pop(member)

    def replace(self, adapter: AdapterKey, version: int) -> None:
        """Replace an adapter by a newer version if an older one is loaded."""
        with self._changed:
            if self.adapter_slots.is_outdated(adapter, version):
                _check_lease(self.session, self.endpoint)
                self.begin_load(adapter, version)

    def status(self) -> tuple[int, list[str]]:
        """Return the number of free adapter slots and the adapters in the slots."""
        with self._changed:
            free = self.adapter_slots.free_adapter_slots(_clock.now())
            return free, [str(adapter) for adapter in self.adapter_slots.slots]

    def popular_adapters(self) -> list[AdapterKey]:
        """Return the ready adapters that were requested lately, most popular first."""
        with self._changed:
            return popular_adapters(self.adapter_slots, _clock.now())

    def apply_report(self, report: EngineReport) -> None:
        """Replace the state of the adapter slots by the engine's report."""
        with self._changed:
            self.adapter_slots.reconcile(report.adapters, report.loading, _clock.now())

    def close(self) -> None:
        """End the ownership; requests that wait are refused."""
        self.session.is_ended = True
        with self._changed:
            self._changed.notify_all()
        self.session.orders.close()

    def is_loaded_or_loading(self, adapter: AdapterKey) -> bool:
        """Return whether an adapter has an adapter slot or is about to get one."""
        return adapter in self._pending_loads or adapter in self.adapter_slots.slots

    def begin_load(self, adapter: AdapterKey, version: int) -> bool:
        """Begin a load if that is needed and possible now; return whether it was begun.

        The caller holds the lock of the adapter slots.
        """
        can_order = self.session.may_order() and self.session.is_state_known
        if adapter in self._pending_loads or not can_order:
            return False
        now = _clock.now()
        loads_without_slot = sum(
            pending not in self.adapter_slots.slots for pending in self._pending_loads
        )
        can_load = self.adapter_slots.can_load(adapter, now, loads_without_slot)
        if not (can_load or self.adapter_slots.needs_load_order(adapter, version)):
            return False
        self._pending_loads.add(adapter)
        self.loaders.submit(self._load, adapter, version or _FIRST_VERSION, now)
        return True

    def _wait(self, waiter: Waiter, deadline: float, *, fail_fast: bool) -> int:
        """Wait until the adapter of a queued request is loaded, and pin it."""
        while True:
            now = _clock.now()
            pinned_version = self.adapter_slots.grant(
                waiter.adapter, waiter.version, now
            )
            if pinned_version is not None:
                return pinned_version
            self._check_wait(waiter, deadline - now, fail_fast=fail_fast)
            self._changed.wait(min(deadline - now, self.queue.recheck_s))
            if self.queue.is_due(_clock.now()):
                self._serve_waiting()

    def _check_wait(self, waiter: Waiter, left_s: float, *, fail_fast: bool) -> None:
        """Raise an error if a queued request may not wait any longer."""
        _check_lease(self.session, self.endpoint)
        adapter = waiter.adapter
        endpoint_id = self.endpoint.endpoint_id
        wait_s = self.queue.wait_s(waiter)
        if waiter.refusal is not None:
            message = f'adapter {adapter} cannot be loaded in time: {waiter.refusal}'
            raise WaitRefusedError(
                message,
                step=_STEP,
                peer=endpoint_id,
                retry_after_s=wait_s,
                reason=waiter.refusal,
            )
        if fail_fast and not self.is_loaded_or_loading(adapter):
            raise _unavailable(
                f'adapter {adapter} cannot be loaded now', endpoint_id, wait_s
            )
        if left_s <= 0:
            raise _unavailable(
                f'adapter {adapter} not loaded in time', endpoint_id, wait_s
            )

    def _serve_waiting(self) -> None:
        """Begin what loads can begin after a change of the adapter slots."""
        if len(self.queue) and self.session.may_order():
            self.queue.serve(_clock.now())
        self._changed.notify_all()

    def _load(self, adapter: AdapterKey, version: int, requested_at: float) -> None:
        try:
            outcome = self.loader.execute(adapter, version)
        except (PeerError, DocumentError) as error:
            outcome = LoadOutcome(str(error), is_state_known=False)
        except Exception as error:
            _logger.exception('load failed', extra=self.session.log_fields())
            outcome = LoadOutcome(repr(error), is_state_known=False)
        if not outcome.is_state_known:
            self._resync()
        with self._changed:
            self._pending_loads.discard(adapter)
            is_settled = outcome.was_polled and not self.adapter_slots.needs_load_order(
                adapter, version
            )
            if not outcome.failure and not is_settled:
                self.adapter_slots.finish(adapter, version, _clock.now())
                self.queue.record_load(_clock.now() - requested_at)
            self._serve_waiting()
        extra = {
            **self.session.log_fields(),
            'adapter': str(adapter),
            'version': version,
            'took_ms': round((_clock.now() - requested_at) * _MS_PER_S),
            'outcome': outcome.failure or 'loaded',
        }
        _logger.info('load ended', extra=extra)

    def _resync(self) -> None:
        """Take over the engine's report, retrying until it answers."""
        self.session.resync(self.apply_report)
        while not (self.session.is_ended or self.session.is_state_known):
            self.session.resync(self.apply_report)


def _check_lease(session: EngineSession, endpoint: Endpoint) -> None:
    if not session.may_order():
        raise NotOwnerError(
            'no lease on the engine', step=_STEP, peer=endpoint.endpoint_id
        )


def _unavailable(
    message: str, endpoint_id: str, wait_s: float | None = None
) -> UnavailableError:
    return UnavailableError(message, step=_STEP, peer=endpoint_id, retry_after_s=wait_s)
