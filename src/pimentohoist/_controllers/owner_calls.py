"""An entry daemon's calls to the homes of endpoints."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pimentohoist._controllers.endpoint_owners import EndpointOwners
from pimentohoist._controllers.engine_orders import EndpointRef
from pimentohoist._controllers.held_pins import MS_PER_S, HeldPins, MemberOwners
from pimentohoist._decisions.admission import Reason
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
_RELEASE_TRIES = 5
_RELEASE_TIMEOUT_S = 0.5
_PAUSE_S = 0.05
_MOVED_PATIENCE_S = 0.5
_RETRY_AFTER_S = 0.5
_Outcome = tuple[str, float]


@dataclass(frozen=True, slots=True)
class SlotAnswer:
    """What a home has answered.

    Attributes
    ----------
    reason : str
        Why there is no slot; empty if there is.
    """

    endpoint_ref: EndpointRef
    pin_id: str
    reason: str = ''
    retry_after_s: float = _RETRY_AFTER_S

    @property
    def is_pinned(self) -> bool:
        """Return whether the slot is held."""
        return not self.reason


class OwnerCalls:
    """Asks homes for slots and gives these back; this daemon's own without a call.

    Parameters
    ----------
    submit : callable
        Runs a function with its arguments in another thread.
    """

    def __init__(
        self,
        view: MemberOwners,
        peers: Peers,
        pins: HeldPins,
        own: EndpointOwners,
        submit: Callable[..., object],
    ) -> None:
        self.view = view
        self.peers = peers
        self.pins = pins
        self.own = own
        self.submit = submit
        self._numbers = itertools.count()

    def ask(
        self,
        endpoint_ref: EndpointRef,
        request: SlotRequest,
        *,
        must_queue: bool = False,
    ) -> SlotAnswer:
        """Ask for a slot until the home has decided."""
        pin_id = f'{request.request_id}/{next(self._numbers)}'
        pin = Pin(pin_id, request.adapter, request.deadline, request.is_alone)
        self.pins.add(endpoint_ref.name, pin)
        asked = SlotAnswer(endpoint_ref, pin_id)
        reason, retry_after_s = self._ask_repeatedly(
            asked, _Wanted(request, must_queue=must_queue)
        )
        if not reason:
            return asked
        return SlotAnswer(endpoint_ref, pin_id, reason, retry_after_s)

    def release(
        self, asked: SlotAnswer, service_s: float, *, has_failed: bool = False
    ) -> None:
        """Give a slot back; if no home can be told, the pin lapses by itself."""
        message = peer_pb2.ReleaseRequest(
            sender=self._sender(),
            endpoint=asked.endpoint_ref.name,
            pin_id=asked.pin_id,
            service_time_ms=int(service_s * MS_PER_S),
            endpoint_failed=has_failed,
        )
        for _ in range(_RELEASE_TRIES):
            try:
                self._call(
                    asked.endpoint_ref.name,
                    'Release',
                    message,
                    self.own.release,
                    timeout_s=_RELEASE_TIMEOUT_S,
                )
            except (NotOwnerError, PeerError):
                time.sleep(_PAUSE_S)
                continue
            break
        self.pins.remove(asked.pin_id)

    def _ask_repeatedly(self, asked: SlotAnswer, wanted: _Wanted) -> _Outcome:
        patience = _Patience()
        while time.monotonic() < wanted.request.deadline:
            outcome = None
            try:
                outcome = self._ask_once(asked, wanted)
            except (NotOwnerError, PeerError) as error:
                if patience.is_over(error):
                    self._give_up(asked, may_be_known=patience.may_be_known)
                    return UNREACHABLE, _RETRY_AFTER_S
            else:
                patience.renew()
            if outcome is not None:
                return outcome
            time.sleep(_PAUSE_S)
        self._give_up(asked, may_be_known=True)
        return Reason.DEADLINE, _RETRY_AFTER_S

    def _ask_once(self, asked: SlotAnswer, wanted: _Wanted) -> _Outcome | None:
        """Return the decision; None if there is none yet."""
        owner = self.view.owner(asked.endpoint_ref.name)
        message = wanted.message(asked, self._sender())
        reply = self._call(
            asked.endpoint_ref.name,
            'Acquire',
            message,
            self.own.acquire,
            timeout_s=_CALL_TIMEOUT_S,
        )
        if reply.refusal and reply.refusal != Reason.MOVED:
            self.pins.remove(asked.pin_id)
            return reply.refusal, reply.retry_after_ms / MS_PER_S
        if reply.pin_id and self._is_still_owner(asked.endpoint_ref.name, owner):
            return '', 0
        return None

    def _call(
        self,
        name: str,
        method: str,
        message: Any,
        own: Callable[[Any], Any],
        *,
        timeout_s: float,
    ) -> Any:
        owner = self.view.owner(name)
        if owner is None:
            raise NotOwnerError('the view is empty', step=method)
        if owner.incarnation == self.view.incarnation:
            return own(message)
        return self.peers.call(owner.peer_address, method, message, timeout_s=timeout_s)

    def _is_still_owner(self, name: str, asked: Member | None) -> bool:
        """Return whether the answer is not one of a former home."""
        present = self.view.owner(name)
        if asked is None or present is None:
            return False
        return asked.incarnation == present.incarnation

    def _give_up(self, asked: SlotAnswer, *, may_be_known: bool) -> None:
        """Release what may have been pinned without this daemon's knowledge."""
        if may_be_known:
            self.submit(self.release, asked, 0)
        else:
            self.pins.remove(asked.pin_id)

    def _sender(self) -> peer_pb2.Sender:
        return peer_pb2.Sender(incarnation=self.view.incarnation, epoch=self.view.epoch)


@dataclass(frozen=True, slots=True)
class _Wanted:
    request: SlotRequest
    must_queue: bool

    def message(
        self, asked: SlotAnswer, sender: peer_pb2.Sender
    ) -> peer_pb2.AcquireRequest:
        request = self.request
        remaining_s = max(0, request.deadline - time.monotonic())
        return peer_pb2.AcquireRequest(
            sender=sender,
            request_id=asked.pin_id,
            endpoint=asked.endpoint_ref.name,
            workspace=request.workspace,
            adapter=request.adapter.adapter if request.adapter else '',
            version=request.adapter.version if request.adapter else 0,
            cost_tokens=request.cost_tokens,
            is_urgent=request.is_urgent,
            deadline_after_ms=int(remaining_s * MS_PER_S),
            is_alone=request.is_alone,
            must_queue=self.must_queue,
        )


class _Patience:
    """Bears refusals while another home may take over shortly.

    Attributes
    ----------
    may_be_known : bool
        Whether a home may hold the request.
    """

    def __init__(self) -> None:
        self.may_be_known = False
        self._until: float | None = None

    def renew(self) -> None:
        """Note an answer."""
        self.may_be_known = True
        self._until = None

    def is_over(self, error: Exception) -> bool:
        """Return whether to give up after an error."""
        if self._until is None:
            self._until = time.monotonic() + _MOVED_PATIENCE_S
        is_refused = isinstance(error, NotOwnerError | PeerRefusedError)
        if not is_refused and not isinstance(error, PeerConnectError):
            self.may_be_known = True
        return not is_refused or time.monotonic() >= self._until
