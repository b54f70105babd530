"""Slot requests and releases that this daemon sends to the owners of endpoints."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pimentohoist._controllers.endpoint_owners import EndpointOwners
from pimentohoist._controllers.engine_orders import EndpointRef
from pimentohoist._controllers.held_pins import MS_PER_S, HeldPins, OwnershipView
from pimentohoist._decisions.admission import RefusalReason
from pimentohoist._decisions.endpoint import Pin
from pimentohoist._decisions.owner_search import UNREACHABLE
from pimentohoist._generated import peer_pb2
from pimentohoist.exceptions import (
    NotOwnerError,
    PeerConnectError,
    PeerError,
    PeerRefusedError,
)
from pimentohoist.exchanges import SlotRequest
from pimentohoist.models import Member
from pimentohoist.protocols import Peers

_CALL_TIMEOUT_S = 2.0
_MAX_RELEASE_ATTEMPTS = 5
_RELEASE_TIMEOUT_S = 0.5
_RETRY_PAUSE_S = 0.05
_MAX_NOT_OWNER_S = 0.5
_RETRY_AFTER_S = 0.5
_Outcome = tuple[str, float]


@dataclass(frozen=True, slots=True)
class SlotDecision:
    """An owner's decision on a slot request.

    Attributes
    ----------
    reason : str
        Reason of the refusal; empty if the slot is held.
    """

    endpoint_ref: EndpointRef
    pin_id: str
    reason: str = ''
    retry_after_s: float = _RETRY_AFTER_S

    @property
    def is_pinned(self) -> bool:
        """Return whether the slot is held."""
        return not self.reason


class OwnerClient:
    """Acquires and releases slots; endpoints that this daemon owns need no call.

    Parameters
    ----------
    submit : callable
        Runs a function with its arguments in another thread.
    """

    def __init__(
        self,
        view: OwnershipView,
        peers: Peers,
        pins: HeldPins,
        local_owners: EndpointOwners,
        submit: Callable[..., object],
    ) -> None:
        self.view = view
        self.peers = peers
        self.pins = pins
        self.local_owners = local_owners
        self.submit = submit
        self._pin_numbers = itertools.count()

    def acquire(
        self,
        endpoint_ref: EndpointRef,
        request: SlotRequest,
        *,
        must_queue: bool = False,
    ) -> SlotDecision:
        """Request a slot and poll until the owner has decided."""
        pin_id = f'{request.request_id}/{next(self._pin_numbers)}'
        pin = Pin(pin_id, request.adapter, request.deadline, request.is_exclusive)
        self.pins.add(endpoint_ref.name, pin)
        decision = SlotDecision(endpoint_ref, pin_id)
        reason, retry_after_s = self._acquire_with_retries(
            decision, _Acquisition(request, must_queue=must_queue)
        )
        if not reason:
            return decision
        return SlotDecision(endpoint_ref, pin_id, reason, retry_after_s)

    def release(
        self, decision: SlotDecision, service_s: float, *, has_failed: bool = False
    ) -> None:
        """Release a slot; if no owner can be reached, the pin expires at its deadline."""
        message = peer_pb2.ReleaseRequest(
            sender=self._sender(),
            endpoint=decision.endpoint_ref.name,
            pin_id=decision.pin_id,
            service_time_ms=int(service_s * MS_PER_S),
            endpoint_failed=has_failed,
        )
        for _ in range(_MAX_RELEASE_ATTEMPTS):
            try:
                self._call(
                    decision.endpoint_ref.name,
                    'Release',
                    message,
                    self.local_owners.release,
                    timeout_s=_RELEASE_TIMEOUT_S,
                )
            except (NotOwnerError, PeerError):
                time.sleep(_RETRY_PAUSE_S)
                continue
            break
        self.pins.remove(decision.pin_id)

    def _acquire_with_retries(
        self, decision: SlotDecision, acquisition: _Acquisition
    ) -> _Outcome:
        grace = _TakeoverGrace()
        while time.monotonic() < acquisition.request.deadline:
            outcome = None
            try:
                outcome = self._acquire_once(decision, acquisition)
            except (NotOwnerError, PeerError) as error:
                if grace.is_over(error):
                    self._abandon(decision, may_be_pinned=grace.may_be_pinned)
                    return UNREACHABLE, _RETRY_AFTER_S
            else:
                grace.record_response()
            if outcome is not None:
                return outcome
            time.sleep(_RETRY_PAUSE_S)
        self._abandon(decision, may_be_pinned=True)
        return RefusalReason.DEADLINE, _RETRY_AFTER_S

    def _acquire_once(
        self, decision: SlotDecision, acquisition: _Acquisition
    ) -> _Outcome | None:
        """Return the decision; None if the owner has not decided yet."""
        owner = self.view.owner(decision.endpoint_ref.name)
        message = acquisition.message(decision, self._sender())
        reply = self._call(
            decision.endpoint_ref.name,
            'Acquire',
            message,
            self.local_owners.acquire,
            timeout_s=_CALL_TIMEOUT_S,
        )
        if reply.refusal and reply.refusal != RefusalReason.MOVED:
            self.pins.remove(decision.pin_id)
            return reply.refusal, reply.retry_after_ms / MS_PER_S
        if reply.pin_id and self._is_still_owner(decision.endpoint_ref.name, owner):
            return '', 0
        return None

    def _call(
        self,
        name: str,
        method: str,
        message: Any,
        local_method: Callable[[Any], Any],
        *,
        timeout_s: float,
    ) -> Any:
        owner = self.view.owner(name)
        if owner is None:
            raise NotOwnerError(
                f'no owner of endpoint {name}: the view is empty', step=method
            )
        if owner.incarnation == self.view.incarnation:
            return local_method(message)
        return self.peers.call(owner.peer_address, method, message, timeout_s=timeout_s)

    def _is_still_owner(self, name: str, called: Member | None) -> bool:
        """Return whether the daemon that answered is still the owner."""
        current = self.view.owner(name)
        if called is None or current is None:
            return False
        return called.incarnation == current.incarnation

    def _abandon(self, decision: SlotDecision, *, may_be_pinned: bool) -> None:
        """Remove the pin, with a release call if the owner may have recorded it."""
        if may_be_pinned:
            self.submit(self.release, decision, 0)
        else:
            self.pins.remove(decision.pin_id)

    def _sender(self) -> peer_pb2.Sender:
        return peer_pb2.Sender(incarnation=self.view.incarnation, epoch=self.view.epoch)


@dataclass(frozen=True, slots=True)
class _Acquisition:
    request: SlotRequest
    must_queue: bool

    def message(
        self, decision: SlotDecision, sender: peer_pb2.Sender
    ) -> peer_pb2.AcquireRequest:
        request = self.request
        remaining_s = max(0, request.deadline - time.monotonic())
        return peer_pb2.AcquireRequest(
            sender=sender,
            request_id=decision.pin_id,
            endpoint=decision.endpoint_ref.name,
            workspace=request.workspace,
            adapter=request.adapter.adapter if request.adapter else '',
            version=request.adapter.version if request.adapter else 0,
            cost_tokens=request.cost_tokens,
            is_urgent=request.is_urgent,
            deadline_after_ms=int(remaining_s * MS_PER_S),
            is_alone=request.is_exclusive,
            must_queue=self.must_queue,
        )


class _TakeoverGrace:
    """Limits how long refusals are retried while a new owner may take over.

    Attributes
    ----------
    may_be_pinned : bool
        Whether an owner may have queued or pinned the request.
    """

    def __init__(self) -> None:
        self.may_be_pinned = False
        self._deadline: float | None = None

    def record_response(self) -> None:
        """Record that an owner answered."""
        self.may_be_pinned = True
        self._deadline = None

    def is_over(self, error: Exception) -> bool:
        """Record an error; return whether to stop retrying."""
        if self._deadline is None:
            self._deadline = time.monotonic() + _MAX_NOT_OWNER_S
        is_refused = isinstance(error, NotOwnerError | PeerRefusedError)
        if not is_refused and not isinstance(error, PeerConnectError):
            self.may_be_pinned = True
        return not is_refused or time.monotonic() >= self._deadline
