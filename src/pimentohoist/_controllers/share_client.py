"""Calls to the owners of shares, which may be this daemon itself."""

from __future__ import annotations

import threading
from contextlib import suppress
from itertools import islice
from typing import Any

from pimentohoist._controllers.owned_shares import OwnedShares
from pimentohoist._controllers.share_messages import (
    read_state,
    write_state,
    write_uses,
)
from pimentohoist._decisions.grants import ShareOwner
from pimentohoist._decisions.share_placement import share_owner
from pimentohoist._decisions.shares import Grant, GrantOrder, GrantUse
from pimentohoist._decisions.ownership_terms import ShareId, OwnershipTerm
from pimentohoist._generated import peer_pb2
from pimentohoist._view_fold import View
from pimentohoist.exceptions import PeerError, PeerRefusedError, UnavailableError
from pimentohoist.models import Member
from pimentohoist.protocols import Peers

_STEP = 'limits'
CALL_TIMEOUT_S = 0.25
_SILENT_OWNER_PAUSE_S = 1.0
_MS_PER_S = 1000


class ShareClient:
    """Takes grants, reports their uses, and moves shares between owners.

    Attributes
    ----------
    failures : int
        Number of calls without a reply.
    silent_until : dict of str to float
        By incarnation: time up to which it isn't called, because it didn't answer.
    """

    def __init__(self, owned_shares: OwnedShares, peers: Peers) -> None:
        self.owned_shares = owned_shares
        self.view = owned_shares.view
        self.peers = peers
        self.failures = 0
        self.silent_until: dict[str, float] = {}
        self._lock = threading.Lock()

    def owner(self, share_id: ShareId) -> ShareOwner | None:
        """Return the owner of a share in the current view; None if it is silent."""
        term = self.owned_shares.term(share_id)
        if term is None or self._is_silent(term.owner):
            return None
        return ShareOwner(share_id.share, term.owner)

    def take(
        self,
        share_id: ShareId,
        owner: ShareOwner,
        order: GrantOrder,
        uses: tuple[GrantUse, ...],
    ) -> Grant | None:
        """Return the grant; None if it is unknown whether one was made.

        Raises
        ------
        UnavailableError, PeerRefusedError
            The owner refused and recorded no uses.
        """
        if owner.incarnation == self.view.incarnation:
            return self.owned_shares.grant(share_id, order, uses)
        request = peer_pb2.GrantRequest(
            sender=self._sender(),
            workspace=share_id.workspace,
            share=share_id.share,
            tokens=order.extra_tokens,
            at_least_tokens=order.need_tokens,
            grant_id=order.grant_id,
            uses=write_uses(uses),
        )
        reply = self._try_call(owner.incarnation, 'TakeGrant', request)
        if reply is None:
            return None
        return Grant(reply.grant_id, reply.tokens, reply.expires_after_ms / _MS_PER_S)

    def report(
        self, share_id: ShareId, owner: ShareOwner, uses: tuple[GrantUse, ...]
    ) -> bool:
        """Report uses of grants; return whether the owner has recorded them."""
        if owner.incarnation == self.view.incarnation:
            try:
                self.owned_shares.record_uses(share_id, uses)
            except UnavailableError:
                return False
            return True
        if self._is_silent(owner.incarnation):
            return False
        request = peer_pb2.GrantReturn(
            sender=self._sender(),
            workspace=share_id.workspace,
            share=share_id.share,
            uses=write_uses(uses),
        )
        return self._call(owner.incarnation, 'ReturnGrant', request) is not None

    def pull(self, share_id: ShareId) -> None:
        """Pull the state of a share that this daemon now owns from its former owner."""
        term = self.owned_shares.term(share_id)
        if term is None or term.owner != self.view.incarnation:
            return
        if not self.view.is_fresh() or self.owned_shares.has_begun(share_id):
            return
        self._probe_former_owners(term)
        for former in islice(term.chain(), 1, None):
            if self._is_silent(former.owner) or not self._pull(
                share_id, term.epoch, former.owner
            ):
                return

    def hand_over_all(self) -> None:
        """Hand every owned share over, ending its term here, before leaving the view."""
        others = tuple(
            member
            for member in self.view.members()
            if member.incarnation != self.view.incarnation
        )
        next_view = View(self.view.epoch + 1, others)
        for share_id in self.owned_shares.share_ids():
            # A workspace that was removed a moment ago has nothing to hand over.
            with suppress(UnavailableError):
                self._hand_over(share_id, next_view)

    def _hand_over(self, share_id: ShareId, next_view: View) -> None:
        final_state = self.owned_shares.close(share_id, next_view.epoch)
        if final_state.state is not None and next_view.members:
            message = write_state(share_id, final_state)
            message.sender.CopyFrom(self._sender())
            owner = share_owner(share_id.resource_key, next_view)
            self._call(owner, 'HandOverShare', message)

    def _probe_former_owners(self, term: OwnershipTerm) -> None:
        """Request probes of former owners that have left the view."""
        former_owners = {former.owner for former in islice(term.chain(), 1, None)}
        known = {
            member.incarnation: member
            for view in self.view.recent_views()[0]
            for member in view.members
            if member.incarnation in former_owners
        }
        for member in self.view.members():
            known.pop(member.incarnation, None)
        self.owned_shares.exit_prober.request_probes(known.values())

    def _pull(self, share_id: ShareId, epoch: int, former_owner: str) -> bool:
        """Pull from one former owner; return whether the owner before it must be called."""
        request = peer_pb2.SharePull(
            sender=peer_pb2.Sender(incarnation=self.view.incarnation, epoch=epoch),
            workspace=share_id.workspace,
            share=share_id.share,
        )
        reply = self._call(former_owner, 'PullShare', request)
        if reply is None:
            return False
        if reply.is_held:
            self.owned_shares.adopt(share_id, epoch, read_state(reply))
        return bool(reply.has_never_begun)

    def _call(self, incarnation: str, method: str, request: Any) -> Any:
        try:
            return self._try_call(incarnation, method, request)
        except (PeerRefusedError, UnavailableError):
            return None

    def _try_call(self, incarnation: str, method: str, request: Any) -> Any:
        member = self._member(incarnation)
        if member is None:
            raise UnavailableError(
                'the owner of the share has left the view', step=_STEP, peer=incarnation
            )
        try:
            return self.peers.call(
                member.peer_address, method, request, timeout_s=CALL_TIMEOUT_S
            )
        except PeerRefusedError:
            raise
        except PeerError:
            with self._lock:
                self.failures += 1
                self.silent_until[incarnation] = (
                    self.owned_shares.clock() + _SILENT_OWNER_PAUSE_S
                )
            return None

    def _is_silent(self, incarnation: str) -> bool:
        return self.owned_shares.clock() < self.silent_until.get(incarnation, 0)

    def _member(self, incarnation: str) -> Member | None:
        found = (
            member
            for member in self.view.members()
            if member.incarnation == incarnation
        )
        return next(found, None)

    def _sender(self) -> peer_pb2.Sender:
        return peer_pb2.Sender(incarnation=self.view.incarnation, epoch=self.view.epoch)
