"""State of one endpoint at its owner, which applies the decisions of `EndpointState`."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Iterable, Mapping
from math import isinf
from typing import Any

from pimentohoist._controllers.engine_orders import EngineOrders
from pimentohoist._decisions.admission import RefusalReason, Refusal
from pimentohoist._decisions.endpoint import EndpointState, LoadPlan, Pin
from pimentohoist._decisions.loads import LoadRequest
from pimentohoist._decisions.queue import QueuedRequest
from pimentohoist._decisions.ownership_terms import OwnershipTerm
from pimentohoist.exceptions import PeerError, PeerRefusedError, PimentohoistError
from pimentohoist.models import AdapterVersion

_VERIFY_PERIOD_S = 3.0
_VERIFY_AFTER_FAILURE_S = 0.3
_ABANDONED_AFTER_S = 3.0
_SETTLE_POLL_S = 0.1
_logger = logging.getLogger(__name__)


class EndpointOwner:
    """The state of one endpoint with its lock, its engine orders and open refusals.

    Attributes
    ----------
    changed : threading.Condition
        Guards the state; notified after each decision.
    term : OwnershipTerm
        Ownership term of this daemon.
    stepped_down_at : dict of str to float
        By incarnation: time by which the member is known to have read a view in which
        this daemon is the owner.
    is_fenced : bool
        Whether no former owner can send orders any more; no request starts before that.
    is_verified : bool
        Whether the engine has reported its resident adapters; no request starts before
        that.
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
        self.stepped_down_at: dict[str, float] = {}
        self.counts = {'loads': 0, 'failed_loads': 0}
        self.verify_at = float('-inf')
        self._refusals: dict[str, Refusal] = {}
        self._last_polled_at: dict[str, float] = {}

    def acquire(
        self, request: QueuedRequest, *, must_queue: bool, max_wait_s: float
    ) -> Refusal | None:
        """Queue a request, or poll for its decision, waiting up to `max_wait_s`.

        Returns
        -------
        Refusal or None
            None if the request is pinned or still waits; see `is_pinned`.
        """
        wait_deadline = time.monotonic() + max_wait_s
        with self.changed:
            self._last_polled_at[request.request_id] = time.monotonic()
            if request.request_id in self._refusals:
                return self._take_refusal(request.request_id)
            refusal = self.state.enqueue(
                request, time.monotonic(), must_queue=must_queue
            )
            while _can_wait_for_pins(refusal, request, must_queue=must_queue):
                if time.monotonic() >= wait_deadline:
                    return None
                self.changed.wait(_SETTLE_POLL_S)
                refusal = self.state.enqueue(
                    request, time.monotonic(), must_queue=must_queue
                )
            if refusal is not None:
                self._last_polled_at.pop(request.request_id, None)
                return refusal
            self._decide()
            while request.request_id in self.state.queue.entries:
                remaining_s = wait_deadline - time.monotonic()
                if remaining_s <= 0:
                    break
                self.changed.wait(remaining_s)
            return self._take_refusal(request.request_id)

    def is_pinned(self, pin_id: str) -> bool:
        """Return whether a request holds its pin."""
        with self.changed:
            return pin_id in self.state.pins

    def release(self, pin_id: str, service_s: float, *, has_failed: bool) -> None:
        """Release a pin, or remove the request from the queue."""
        with self.changed:
            self.state.release(pin_id, service_s, has_failed=has_failed)
            self._last_polled_at.pop(pin_id, None)
            self._refusals.pop(pin_id, None)
            if has_failed:
                verify_by = time.monotonic() + _VERIFY_AFTER_FAILURE_S
                self.verify_at = min(self.verify_at, verify_by)
            self._decide()

    def adopt_pins(self, pins: Iterable[Pin], settled_at: float | None = None) -> None:
        """Adopt pins that a member holds; evictions are allowed from `settled_at` on."""
        with self.changed:
            self.state.adopt(pins)
            if settled_at is not None:
                self.state.admission.settled_at = settled_at
                self.changed.notify_all()

    def tick(self) -> None:
        """Drop abandoned requests and apply decisions that depend on the time."""
        with self.changed:
            self._drop_abandoned()
            self._decide()

    def close(self) -> None:
        """Refuse all queued requests, since this daemon is no longer the owner."""
        with self.changed:
            self._record_refusals(self.state.refuse_all(RefusalReason.MOVED))

    def verify(self) -> None:
        """Read the engine's status; mark the endpoint down if it doesn't answer."""
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

    def load_demand(
        self, wait_s: float
    ) -> tuple[list[LoadRequest], tuple[AdapterVersion, ...]]:
        """Return load requests and adapters being loaded, after a wait if there are none."""
        with self.changed:
            load_requests = self.state.load_requests(time.monotonic())
            loading = tuple(self.state.residency.loading)
            if not (load_requests or loading):
                self.changed.wait(wait_s)
            return load_requests, loading

    def begin_load(self, adapter: AdapterVersion) -> LoadPlan | None:
        """Return the plan of a permitted load; None if it isn't possible now."""
        with self.changed:
            return self.state.begin_load(adapter, time.monotonic())

    def execute(self, plan: LoadPlan) -> None:
        """Send the eviction and the load to the engine and record the result."""
        is_loaded = False
        try:
            self.orders.execute(plan)
        except PimentohoistError as error:
            _logger.warning('load failed: %s', error.message, extra=self._extra(error))
            self.verify_at = time.monotonic() + _VERIFY_AFTER_FAILURE_S
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
        """Return the state of queue, pins and residency."""
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
        self._record_refusals(self.state.refuse_late(now))
        if self.is_verified and self.is_fenced and self.orders.is_owner():
            for request in self.state.dispatch(now):
                self._last_polled_at.pop(request.request_id, None)
        self.changed.notify_all()

    def _record_refusals(self, refusals: Iterable[Refusal]) -> None:
        for refusal in refusals:
            self._refusals[refusal.request_id] = refusal
        self.changed.notify_all()

    def _take_refusal(self, request_id: str) -> Refusal | None:
        refusal = self._refusals.pop(request_id, None)
        if refusal is not None:
            self._last_polled_at.pop(request_id, None)
        return refusal

    def _drop_abandoned(self) -> None:
        """Drop requests that their entry daemon no longer polls."""
        since = time.monotonic() - _ABANDONED_AFTER_S
        abandoned = [
            request_id
            for request_id, polled_at in self._last_polled_at.items()
            if polled_at < since
        ]
        for request_id in abandoned:
            self._last_polled_at.pop(request_id)
            self._refusals.pop(request_id, None)
            self.state.queue.remove(request_id)

    def _mark_down(self, error: PeerError) -> None:
        self.verify_at = time.monotonic() + _VERIFY_AFTER_FAILURE_S
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


def _can_wait_for_pins(
    refusal: Refusal | None, request: QueuedRequest, *, must_queue: bool
) -> bool:
    """Return whether a request that can't go elsewhere may wait until pins are known."""
    if refusal is None or refusal.reason != RefusalReason.SETTLING or not must_queue:
        return False
    # An infinite delay means that members still report; it is short but unknown.
    is_reporting = isinf(refusal.retry_after_s)
    wait_s = 0 if is_reporting else refusal.retry_after_s
    return time.monotonic() + wait_s < request.deadline
