"""Permits for loads from the weight store, granted by the owner of its budget."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable, Mapping, Sequence
from contextlib import suppress
from typing import Any

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.held_pins import OwnershipView
from pimentohoist._decisions.loads import LoadBudget, LoadRequest, StoreLimits
from pimentohoist._generated import peer_pb2
from pimentohoist.configuration import StoreBudget
from pimentohoist.exceptions import UnavailableError
from pimentohoist.models import AdapterVersion
from pimentohoist.protocols import Peers

_STEP = 'load_permits'
_RESOURCE_KEY = 'store-budget'
_MAX_LONG_POLL_S = 0.25
_CALL_TIMEOUT_S = 2.0
_TAKEOVER_PAUSE_S = 2.0
_RETRY_AFTER_S = 0.2
_NO_LIMITS = StoreLimits(loads_per_s=1000, loads_at_once=1000)
"""Limits without a store section in the configuration: operators have set none."""


class LoadPermits:
    """Requests permits from the owner of the budget, and grants them as its owner.

    Attributes
    ----------
    granted_count : int
        Number of permits that this daemon has granted.
    """

    def __init__(
        self,
        view: OwnershipView,
        configuration: ConfigurationController,
        peers: Peers,
    ) -> None:
        self.view = view
        self.configuration = configuration
        self.peers = peers
        self.granted_count = 0
        self._budget: LoadBudget | None = None
        self._undelivered: dict[str, LoadRequest] = {}
        self._changed = threading.Condition()

    def take(
        self,
        endpoint: str,
        load_requests: Sequence[LoadRequest],
        loading: Iterable[AdapterVersion],
    ) -> AdapterVersion | None:
        """Send an endpoint's load requests to the owner; return what may be loaded now.

        Raises
        ------
        PeerError, UnavailableError
            The owner doesn't answer or refuses.
        """
        request = peer_pb2.LoadPermitRequest(
            sender=peer_pb2.Sender(
                incarnation=self.view.incarnation, epoch=self.view.epoch
            ),
            endpoint=endpoint,
            wishes=(
                _load_request_message(load_request) for load_request in load_requests
            ),
            loading=(
                peer_pb2.WishedLoad(adapter=adapter.adapter, version=adapter.version)
                for adapter in loading
            ),
        )
        reply = self._call_owner(request)
        if not reply.adapter:
            return None
        return AdapterVersion(reply.adapter, reply.version)

    def handle(self, request: peer_pb2.LoadPermitRequest) -> peer_pb2.LoadPermitReply:
        """Answer the owner of an endpoint; wait a short time until a load is granted."""
        load_requests = tuple(
            _parse_load_request(message) for message in request.wishes
        )
        loading = [
            AdapterVersion(message.adapter, message.version)
            for message in request.loading
        ]
        max_wait_s = _MAX_LONG_POLL_S if load_requests else 0
        deadline = time.monotonic() + max_wait_s
        with self._changed:
            self._require_budget().update_load_requests(
                request.endpoint, load_requests, loading, time.monotonic()
            )
            self._undelivered.pop(request.endpoint, None)
            granted = self._next_granted(request.endpoint)
            while granted is None and time.monotonic() < deadline:
                self._changed.wait(_MAX_LONG_POLL_S / 4)
                granted = self._next_granted(request.endpoint)
        if granted is None:
            return peer_pb2.LoadPermitReply()
        return peer_pb2.LoadPermitReply(
            adapter=granted.adapter.adapter, version=granted.adapter.version
        )

    def refresh(self) -> None:
        """Start or stop as the owner of the budget; call it often."""
        with self._changed, suppress(UnavailableError):
            self._require_budget()

    def dump(self) -> Mapping[str, Any]:
        """Return the open loads and the number of permits granted."""
        with self._changed:
            budget = self._budget or LoadBudget(self._share_weight)
            return {
                'is_home': self.view.is_owner(_RESOURCE_KEY),
                'granted': self.granted_count,
                'open': [f'{endpoint} {name}' for endpoint, name in budget.open],
                'leads': budget.shares.leads(),
            }

    def _call_owner(
        self, request: peer_pb2.LoadPermitRequest
    ) -> peer_pb2.LoadPermitReply:
        owner = self.view.owner(_RESOURCE_KEY)
        if owner is None:
            raise UnavailableError(
                'no owner of the store budget: the view is empty',
                step=_STEP,
                retry_after_s=_RETRY_AFTER_S,
            )
        if owner.incarnation == self.view.incarnation:
            return self.handle(request)
        reply: peer_pb2.LoadPermitReply = self.peers.call(
            owner.peer_address, 'TakeLoadPermit', request, timeout_s=_CALL_TIMEOUT_S
        )
        return reply

    def _require_budget(self) -> LoadBudget:
        if not self.view.is_owner(_RESOURCE_KEY):
            self._budget = None
            raise UnavailableError(
                'not the owner of the store budget',
                step=_STEP,
                retry_after_s=_RETRY_AFTER_S,
            )
        if self._budget is None:
            # Within this time the owners of endpoints report the loads that a former
            # owner granted.
            is_only_member = len(self.view.members()) == 1
            pause_s = 0 if is_only_member else _TAKEOVER_PAUSE_S
            self._budget = LoadBudget(self._share_weight, time.monotonic() + pause_s)
        return self._budget

    def _next_granted(self, endpoint: str) -> LoadRequest | None:
        granted = self._require_budget().grant(self._limits(), time.monotonic())
        while granted is not None:
            self.granted_count += 1
            self._undelivered[granted[0]] = granted[1]
            self._changed.notify_all()
            granted = self._require_budget().grant(self._limits(), time.monotonic())
        return self._undelivered.pop(endpoint, None)

    def _limits(self) -> StoreLimits:
        budgets = self.configuration.sections(StoreBudget)
        if not budgets:
            return _NO_LIMITS
        return StoreLimits(budgets[0].loads_per_s, budgets[0].loads_at_once)

    def _share_weight(self, workspace: str) -> float:
        section = self.configuration.workspace(workspace)
        return max(1, section.rate_tokens_per_s) if section else 1


def _load_request_message(load_request: LoadRequest) -> peer_pb2.WishedLoad:
    return peer_pb2.WishedLoad(
        workspace=load_request.workspace,
        adapter=load_request.adapter.adapter,
        version=load_request.adapter.version,
        waiting_requests=load_request.waiting_requests,
        urgent_requests=load_request.urgent_requests,
        waited_s=load_request.waited_s,
    )


def _parse_load_request(message: peer_pb2.WishedLoad) -> LoadRequest:
    return LoadRequest(
        AdapterVersion(message.adapter, message.version),
        message.workspace,
        message.waiting_requests,
        message.urgent_requests,
        message.waited_s,
    )
