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
from pimentohoist._entry.adapter_loader import AdapterLoader
from pimentohoist._entry.engine_session import EngineLease, EngineSession, LoadOutcome
from pimentohoist.entry_models import AdapterKey, Endpoint, EngineReport
from pimentohoist.exceptions import (
    DocumentError,
    NotOwnerError,
    PeerError,
    UnavailableError,
)

_STEP = 'hold_adapter'
_RECHECK_S = 0.1
"""Pins expire without an event, so waiting requests check the adapter slots this often:
a third of the time for which an adapter stays pinned."""

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
        fail_fast: bool = False,
    ) -> int:
        """Wait until an adapter is loaded, pin it for a while and return its version.

        Parameters
        ----------
        deadline : float
            Time at which the wait ends, on the daemon's clock.
        fail_fast : bool
            Refuse at once if a load can't begin now.

        Raises
        ------
        NotOwnerError
            This daemon may not order the engine.
        UnavailableError
            The adapter isn't loaded by the deadline.
        """
        with self._changed:
            self.adapter_slots.record_demand(adapter, _clock.now())
            pinned_version = self._pin_or_load(adapter, version)
            if (
                pinned_version is None
                and fail_fast
                and not self._is_loaded_or_loading(adapter)
            ):
                raise self._unavailable(f'adapter {adapter} cannot be loaded now')
            while pinned_version is None:
                remaining_s = deadline - _clock.now()
                if remaining_s <= 0:
                    raise self._unavailable(f'adapter {adapter} not loaded in time')
                self._changed.wait(min(remaining_s, _RECHECK_S))
                pinned_version = self._pin_or_load(adapter, version)
            return pinned_version

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
            is_known = self._is_loaded_or_loading(adapter)
            if not is_known and room > len(self._pending_loads):
                # Otherwise the next prepared adapter would evict this one.
                self.adapter_slots.record_demand(adapter, now)
                self._begin_load(adapter, version)
            raise self._unavailable(f'adapter {adapter} not loaded yet')

    def record_use(self, member: str, adapters: frozenset[AdapterKey]) -> None:
        """Record which adapters the requests of a daemon use."""
        with self._changed:
            before = self.adapter_slots.in_use.get(member, frozenset())
            self.adapter_slots.in_use[member] = adapters
            if before - adapters:
                self._changed.notify_all()

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
                self._begin_load(adapter, version)

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

    def _pin_or_load(self, adapter: AdapterKey, version: int) -> int | None:
        pinned_version = self.adapter_slots.grant(adapter, version, _clock.now())
        if pinned_version is None:
            self._begin_load(adapter, version)
        return pinned_version

    def _is_loaded_or_loading(self, adapter: AdapterKey) -> bool:
        return adapter in self._pending_loads or adapter in self.adapter_slots.slots

    def _begin_load(self, adapter: AdapterKey, version: int) -> None:
        """Start a load unless one is pending or no adapter slot is free."""
        if not self.session.may_order():
            raise NotOwnerError(
                'no lease on the engine', step=_STEP, peer=self.endpoint.endpoint_id
            )
        if adapter in self._pending_loads or not self.session.is_state_known:
            return
        now = _clock.now()
        loads_without_slot = sum(
            pending not in self.adapter_slots.slots for pending in self._pending_loads
        )
        can_load = self.adapter_slots.can_load(adapter, now, loads_without_slot)
        if can_load or self.adapter_slots.needs_load_order(adapter, version):
            self._pending_loads.add(adapter)
            self.loaders.submit(self._load, adapter, version or _FIRST_VERSION, now)

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
            self._changed.notify_all()
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

    def _unavailable(self, message: str) -> UnavailableError:
        return UnavailableError(message, step=_STEP, peer=self.endpoint.endpoint_id)
