"""Permits for loads from the weight store, given by the home of its budget."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable, Mapping, Sequence
from contextlib import suppress
from typing import Any

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.held_pins import MemberOwners
from pimentohoist._decisions.loads import LoadBudget, LoadRequest, StoreLimits
from pimentohoist._generated import peer_pb2
from pimentohoist.configuration import StoreBudget
from pimentohoist.exceptions import UnavailableError
from pimentohoist.models import AdapterVersion
from pimentohoist.protocols import Peers

_STEP = 'load_permits'
_RESOURCE_KEY = 'store-budget'
_HOLD_S = 0.25
_TIMEOUT_S = 2.0
_SILENCE_S = 2.0
_RETRY_AFTER_S = 0.2
_NO_LIMITS = StoreLimits(loads_per_s=1000, loads_at_once=1000)
"""Without a section on the store the operators have set no limit."""


class LoadPermits:
    """Asks the home of the budget for permits, and gives them while it is the home.

    Attributes
    ----------
    granted : int
        Permits given by this daemon.
    """

    def __init__(
        self,
        owners: MemberOwners,
        configuration: ConfigurationController,
        peers: Peers,
    ) -> None:
        self.owners = owners
        self.configuration = configuration
        self.peers = peers
        self.granted = 0
        self._budget: LoadBudget | None = None
        self._offers: dict[str, LoadRequest] = {}
        self._changed = threading.Condition()

    def take(
        self,
        endpoint: str,
        load_requests: Sequence[LoadRequest],
        loading: Iterable[AdapterVersion],
    ) -> AdapterVersion | None:
        """Tell the home what an endpoint needs; return what may be loaded now.

        Raises
        ------
        PeerError, UnavailableError
            The home does not answer or gives no permits.
        """
        request = peer_pb2.LoadPermitRequest(
            sender=peer_pb2.Sender(
                incarnation=self.owners.incarnation, epoch=self.owners.epoch
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
        reply = self._ask(request)
        if not reply.adapter:
            return None
        return AdapterVersion(reply.adapter, reply.version)

    def answer(self, request: peer_pb2.LoadPermitRequest) -> peer_pb2.LoadPermitReply:
        """Answer an endpoint's home, after a short wait if nothing is granted at once."""
        load_requests = tuple(
            _parse_load_request(message) for message in request.wishes
        )
        loading = [
            AdapterVersion(message.adapter, message.version)
            for message in request.loading
        ]
        hold_s = _HOLD_S if load_requests else 0
        deadline = time.monotonic() + hold_s
        with self._changed:
            self._require_budget().ask(
                request.endpoint, load_requests, loading, time.monotonic()
            )
            self._offers.pop(request.endpoint, None)
            granted = self._grant(request.endpoint)
            while granted is None and time.monotonic() < deadline:
                self._changed.wait(_HOLD_S / 4)
                granted = self._grant(request.endpoint)
        if granted is None:
            return peer_pb2.LoadPermitReply()
        return peer_pb2.LoadPermitReply(
            adapter=granted.adapter.adapter, version=granted.adapter.version
        )

    def watch(self) -> None:
        """Begin as the home of the budget, or end; to be called often."""
        with self._changed, suppress(UnavailableError):
            self._require_budget()

    def dump(self) -> Mapping[str, Any]:
        """Return what is open and what was granted."""
        with self._changed:
            budget = self._budget or LoadBudget(self._weight)
            return {
                'is_home': self.owners.is_owner(_RESOURCE_KEY),
                'granted': self.granted,
                'open': [f'{endpoint} {name}' for endpoint, name in budget.open],
                'leads': budget.shares.leads(),
            }

    def _ask(self, request: peer_pb2.LoadPermitRequest) -> peer_pb2.LoadPermitReply:
        owner = self.owners.owner(_RESOURCE_KEY)
        if owner is None:
            raise UnavailableError(
                'the view is empty', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )
        if owner.incarnation == self.owners.incarnation:
            return self.answer(request)
        reply: peer_pb2.LoadPermitReply = self.peers.call(
            owner.peer_address, 'TakeLoadPermit', request, timeout_s=_TIMEOUT_S
        )
        return reply

    def _require_budget(self) -> LoadBudget:
        if not self.owners.is_owner(_RESOURCE_KEY):
            self._budget = None
            raise UnavailableError(
                'not the home of the budget', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )
        if self._budget is None:
            # A former home's loads are reported within this time, by those who ask.
            is_first = len(self.owners.members()) == 1
            pause_s = 0 if is_first else _SILENCE_S
            self._budget = LoadBudget(self._weight, time.monotonic() + pause_s)
        return self._budget

    def _grant(self, endpoint: str) -> LoadRequest | None:
        granted = self._require_budget().grant(self._limits(), time.monotonic())
        while granted is not None:
            self.granted += 1
            self._offers[granted[0]] = granted[1]
            self._changed.notify_all()
            granted = self._require_budget().grant(self._limits(), time.monotonic())
        return self._offers.pop(endpoint, None)

    def _limits(self) -> StoreLimits:
        budgets = self.configuration.sections(StoreBudget)
        if not budgets:
            return _NO_LIMITS
        return StoreLimits(budgets[0].loads_per_s, budgets[0].loads_at_once)

    def _weight(self, workspace: str) -> float:
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
