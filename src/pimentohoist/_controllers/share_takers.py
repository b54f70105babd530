"""Calls to the homes of shares, which may be this daemon itself."""

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
from pimentohoist._decisions.share_places import share_owner
from pimentohoist._decisions.shares import Grant, GrantOrder, GrantUse
from pimentohoist._decisions.ownership_terms import ShareId, OwnershipTerm
from pimentohoist._generated import peer_pb2
from pimentohoist._view_fold import View
from pimentohoist.exceptions import PeerError, PeerRefusedError, UnavailableError
from pimentohoist.models import Member
from pimentohoist.protocols import Peers

_STEP = 'limits'
_TIMEOUT_S = 0.25
_PAUSE_S = 1.0
_MS = 1000


class ShareTaker:
    """Takes grants, reports what was spent, and moves shares between homes.

    Attributes
    ----------
    failures : int
        Calls without a reply.
    silent_until : dict of str to float
        By incarnation: time up to which it isn't called, since it didn't answer.
    """

    def __init__(self, owners: OwnedShares, peers: Peers) -> None:
        self.owners = owners
        self.view = owners.view
        self.peers = peers
        self.failures = 0
        self.silent_until: dict[str, float] = {}
        self._lock = threading.Lock()

    def owner(self, name: ShareId) -> ShareOwner | None:
        """Return the home of a share in the present view; None if it is silent."""
        term = self.owners.term(name)
        if term is None or self._is_silent(term.owner):
            return None
        return ShareOwner(name.share, term.owner)

    def take(
        self,
        name: ShareId,
        owner: ShareOwner,
        order: GrantOrder,
        uses: tuple[GrantUse, ...],
    ) -> Grant | None:
        """Return the grant; None if it isn't known whether there is one.

        Raises
        ------
        UnavailableError, PeerRefusedError
            The home refused and took nothing in.
        """
        if owner.incarnation == self.view.incarnation:
            return self.owners.order(name, order, uses)
        request = peer_pb2.GrantRequest(
            sender=self._sender(),
            workspace=name.workspace,
            share=name.share,
            tokens=order.extra_tokens,
            at_least_tokens=order.need_tokens,
            grant_id=order.grant_id,
            uses=write_uses(uses),
        )
        reply = self._try(owner.incarnation, 'TakeGrant', request)
        if reply is None:
            return None
        return Grant(reply.grant_id, reply.tokens, reply.expires_after_ms / _MS)

    def report(
        self, name: ShareId, owner: ShareOwner, uses: tuple[GrantUse, ...]
    ) -> bool:
        """Say what was spent; return whether it has arrived."""
        if owner.incarnation == self.view.incarnation:
            try:
                self.owners.record_uses(name, uses)
            except UnavailableError:
                return False
            return True
        if self._is_silent(owner.incarnation):
            return False
        request = peer_pb2.GrantReturn(
            sender=self._sender(),
            workspace=name.workspace,
            share=name.share,
            uses=write_uses(uses),
        )
        return self._call(owner.incarnation, 'ReturnGrant', request) is not None

    def pull(self, name: ShareId) -> None:
        """Get the state of a share that is now at home here from its former home."""
        term = self.owners.term(name)
        if term is None or term.owner != self.view.incarnation:
            return
        if not self.view.is_fresh() or self.owners.has_begun(name):
            return
        self._ask_for_ends(term)
        for former in islice(term.chain(), 1, None):
            if self._is_silent(former.owner) or not self._pull(
                name, term.epoch, former.owner
            ):
                return

    def hand_over_all(self) -> None:
        """Pass every share at home here on, for good, before leaving the view."""
        others = tuple(
            member
            for member in self.view.members()
            if member.incarnation != self.view.incarnation
        )
        after = View(self.view.epoch + 1, others)
        for name in self.owners.names():
            # A workspace that was removed a moment ago has nothing to pass on.
            with suppress(UnavailableError):
                self._hand_over(name, after)

    def _hand_over(self, name: ShareId, after: View) -> None:
        last = self.owners.close(name, after.epoch)
        if last.state is not None and after.members:
            message = write_state(name, last)
            message.sender.CopyFrom(self._sender())
            owner = share_owner(name.resource_key, after)
            self._call(owner, 'HandOverShare', message)

    def _ask_for_ends(self, term: OwnershipTerm) -> None:
        """Find out whether former homes that have left the view still act."""
        formers = {former.owner for former in islice(term.chain(), 1, None)}
        known = {
            member.incarnation: member
            for view in self.view.recent_views()[0]
            for member in view.members
            if member.incarnation in formers
        }
        for member in self.view.members():
            known.pop(member.incarnation, None)
        self.owners.proofs.ask_for(known.values())

    def _pull(self, name: ShareId, epoch: int, former_owner: str) -> bool:
        """Return whether the tenure before that one has to be asked."""
        request = peer_pb2.SharePull(
            sender=peer_pb2.Sender(incarnation=self.view.incarnation, epoch=epoch),
            workspace=name.workspace,
            share=name.share,
        )
        reply = self._call(former_owner, 'PullShare', request)
        if reply is None:
            return False
        if reply.is_held:
            self.owners.adopt(name, epoch, read_state(reply))
        return bool(reply.has_never_begun)

    def _call(self, incarnation: str, method: str, request: Any) -> Any:
        try:
            return self._try(incarnation, method, request)
        except (PeerRefusedError, UnavailableError):
            return None

    def _try(self, incarnation: str, method: str, request: Any) -> Any:
        member = self._member(incarnation)
        if member is None:
            raise UnavailableError('the home has left', step=_STEP, peer=incarnation)
        try:
            return self.peers.call(
                member.peer_address, method, request, timeout_s=_TIMEOUT_S
            )
        except PeerRefusedError:
            raise
        except PeerError:
            with self._lock:
                self.failures += 1
                self.silent_until[incarnation] = self.owners.clock() + _PAUSE_S
            return None

    def _is_silent(self, incarnation: str) -> bool:
        return self.owners.clock() < self.silent_until.get(incarnation, 0)

    def _member(self, incarnation: str) -> Member | None:
        found = (
            member
            for member in self.view.members()
            if member.incarnation == incarnation
        )
        return next(found, None)

    def _sender(self) -> peer_pb2.Sender:
        return peer_pb2.Sender(incarnation=self.view.incarnation, epoch=self.view.epoch)
