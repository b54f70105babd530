"""One endpoint at its home: carries out what `EndpointState` decides."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Iterable, Mapping
from math import isinf
from typing import Any

from pimentohoist._controllers.engine_orders import EngineOrders
from pimentohoist._decisions.admission import Reason, Refusal
from pimentohoist._decisions.endpoint import EndpointState, LoadPlan, Pin
from pimentohoist._decisions.loads import LoadRequest
from pimentohoist._decisions.queue import QueuedRequest
from pimentohoist._decisions.ownership_terms import OwnershipTerm
from pimentohoist.exceptions import PeerError, PeerRefusedError, PimentohoistError
from pimentohoist.models import AdapterVersion

_VERIFY_PERIOD_S = 3.0
_VERIFY_SOON_S = 0.3
_ABANDONED_S = 3.0
_SETTLE_POLL_S = 0.1
_logger = logging.getLogger(__name__)


class EndpointOwner:
    """The state of one endpoint with the lock, orders and answers around it.

    Attributes
    ----------
    changed : threading.Condition
        Guards the state; notified after each decision.
    term : OwnershipTerm
        Views in which this daemon is the home.
    moved_at : dict of str to float
        By incarnation: when a member was known to have read of this home.
    is_fenced : bool
        Whether no former home can order anything; nothing is sent to the engine before.
    is_verified : bool
        Whether the engine has reported what it holds; nothing is sent to it before.
    """

    def __init__(self, orders: EngineOrders, term: OwnershipTerm) -> None:
        self.orders = orders
        self.term = term
        self.endpoint_ref = orders.endpoint_ref
        self.state = EndpointState(
            self.endpoint_ref.group.slots, self.endpoint_ref.group.knee_requests
        )
        self.state.admission.settled_at = float('inf')
        self.changed = threading.Condition()
        self.is_verified = False
        self.is_fenced = False
        self.moved_at: dict[str, float] = {}
        self.counts = {'loads': 0, 'failed_loads': 0}
        self.verify_at = float('-inf')
        self._refusals: dict[str, Refusal] = {}
        self._asked_at: dict[str, float] = {}

    def ask(
        self, entry: QueuedRequest, *, must_queue: bool, hold_s: float
    ) -> Refusal | None:
        """Offer a request, or ask again for one, and wait a little for the decision.

        Returns
        -------
        Refusal or None
            None if it is pinned or still waits; `is_pinned` tells which.
        """
        hold_deadline = time.monotonic() + hold_s
        with self.changed:
            self._asked_at[entry.request_id] = time.monotonic()
            if entry.request_id in self._refusals:
                return self._take_refusal(entry.request_id)
            refusal = self.state.offer(entry, time.monotonic(), must_queue=must_queue)
            while _may_settle(refusal, entry, must_queue=must_queue):
                if time.monotonic() >= hold_deadline:
                    return None
                self.changed.wait(_SETTLE_POLL_S)
                refusal = self.state.offer(
                    entry, time.monotonic(), must_queue=must_queue
                )
            if refusal is not None:
                self._asked_at.pop(entry.request_id, None)
                return refusal
            self._decide()
            while entry.request_id in self.state.queue.entries:
                remaining_s = hold_deadline - time.monotonic()
                if remaining_s <= 0:
                    break
                self.changed.wait(remaining_s)
            return self._take_refusal(entry.request_id)

    def is_pinned(self, pin_id: str) -> bool:
        """Return whether a request runs."""
        with self.changed:
            return pin_id in self.state.pins

    def release(self, pin_id: str, service_s: float, *, has_failed: bool) -> None:
        """Give a pin or a place in the queue back."""
        with self.changed:
            self.state.release(pin_id, service_s, has_failed=has_failed)
            self._asked_at.pop(pin_id, None)
            self._refusals.pop(pin_id, None)
            if has_failed:
                soon = time.monotonic() + _VERIFY_SOON_S
                self.verify_at = min(self.verify_at, soon)
            self._decide()

    def settle(self, pins: Iterable[Pin], settled_at: float | None = None) -> None:
        """Take over pins that a member holds; if all are known, say when to evict."""
        with self.changed:
            self.state.adopt(pins)
            if settled_at is not None:
                self.state.admission.settled_at = settled_at
                self.changed.notify_all()

    def tick(self) -> None:
        """Decide anew, with time gone on."""
        with self.changed:
            self._give_up_abandoned()
            self._decide()

    def close(self) -> None:
        """Refuse all that wait: this daemon is not the home any more."""
        with self.changed:
            self._record_refusals(self.state.refuse_all(Reason.MOVED))

    def verify(self) -> None:
        """Ask the engine what it holds; it is down if it does not answer."""
        self.verify_at = time.monotonic() + _VERIFY_PERIOD_S
        try:
            status = self.orders.status()
        except PeerRefusedError:
            return
        except PeerError as error:
            self._mark_down(error)
            return
        with self.changed:
            self.state.apply_report(status.resident, time.monotonic())
            self.is_verified = True
            self._decide()

    def load_needs(
        self, wait_s: float
    ) -> tuple[list[LoadRequest], tuple[AdapterVersion, ...]]:
        """Return wishes and loads under way, after a wait if there are none."""
        with self.changed:
            load_requests = self.state.load_requests(time.monotonic())
            loading = tuple(self.state.residency.loading)
            if not (load_requests or loading):
                self.changed.wait(wait_s)
            return load_requests, loading

    def begin_load(self, adapter: AdapterVersion) -> LoadPlan | None:
        """Return what to order for a permitted load; None if it is not possible now."""
        with self.changed:
            return self.state.begin_load(adapter, time.monotonic())

    def execute(self, plan: LoadPlan) -> None:
        """Order the eviction and the load."""
        is_loaded = False
        try:
            self.orders.execute(plan)
        except PimentohoistError as error:
            _logger.warning('load failed: %s', error.message, extra=self._extra(error))
            self.verify_at = time.monotonic() + _VERIFY_SOON_S
        else:
            is_loaded = True
            self.is_fenced |= self.endpoint_ref.endpoint.checks_fencing
        with self.changed:
            self.counts['loads' if is_loaded else 'failed_loads'] += 1
            refusals = self.state.end_load(
                plan.adapter, is_loaded=is_loaded, now=time.monotonic()
            )
            self._record_refusals(refusals)
            self._decide()

    def dump(self) -> Mapping[str, Any]:
        """Return queue, pins and residency."""
        with self.changed:
            state = self.state
            residency = state.residency
            return {
                'is_down': state.is_down,
                'is_verified': self.is_verified,
                'is_fenced': self.is_fenced,
                'is_settled': state.admission.is_settled(time.monotonic()),
                'waiting': len(state.queue),
                'pins': len(state.pins),
                'resident': sorted(str(adapter) for adapter in residency.resident),
                'loading': sorted(str(adapter) for adapter in residency.loading),
                'service_s': round(state.admission.service.mean_s, 3),
                'knee_requests': state.admission.knee_requests,
                'load_s': round(state.admission.load.mean_s, 3),
                **self.counts,
            }

    def _decide(self) -> None:
        now = time.monotonic()
        self._record_refusals(self.state.refuse_hopeless(now))
        if self.is_verified and self.is_fenced and self.orders.is_owner():
            for entry in self.state.dispatch(now):
                self._asked_at.pop(entry.request_id, None)
        self.changed.notify_all()

    def _record_refusals(self, refusals: Iterable[Refusal]) -> None:
        for refusal in refusals:
            self._refusals[refusal.request_id] = refusal
        self.changed.notify_all()

    def _take_refusal(self, request_id: str) -> Refusal | None:
        refusal = self._refusals.pop(request_id, None)
        if refusal is not None:
            self._asked_at.pop(request_id, None)
        return refusal

    def _give_up_abandoned(self) -> None:
        """Drop what its entry daemon no longer asks for."""
        since = time.monotonic() - _ABANDONED_S
        abandoned = [name for name, at in self._asked_at.items() if at < since]
        for request_id in abandoned:
            self._asked_at.pop(request_id)
            self._refusals.pop(request_id, None)
            self.state.queue.remove(request_id)

    def _mark_down(self, error: PeerError) -> None:
        self.verify_at = time.monotonic() + _VERIFY_SOON_S
        with self.changed:
            if not self.state.is_down:
                _logger.warning('endpoint down', extra=self._extra(error))
            self._record_refusals(self.state.mark_down())

    def _extra(self, error: PimentohoistError) -> dict[str, str]:
        return {
            'endpoint': self.endpoint_ref.name,
            'step': error.step,
            'peer': error.peer or self.endpoint_ref.endpoint.address,
        }


def _may_settle(
    refusal: Refusal | None, entry: QueuedRequest, *, must_queue: bool
) -> bool:
    """Return whether a request with nowhere else to go can wait until pins are known."""
    if refusal is None or refusal.reason != Reason.SETTLING or not must_queue:
        return False
    # Members report within a short time, but nobody can say when.
    is_reporting = isinf(refusal.retry_after_s)
    wait_s = 0 if is_reporting else refusal.retry_after_s
    return time.monotonic() + wait_s < entry.deadline
