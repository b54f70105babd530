"""Shares of workspaces' limits that this daemon owns."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Mapping
from typing import Any

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.exit_prober import ExitProber
from pimentohoist._controllers.ownership_history_reader import OwnershipHistoryReader
from pimentohoist._controllers.view import ViewController
from pimentohoist._decisions.share_placement import share_owner
from pimentohoist._decisions.shares import (
    SHARES_PER_WORKSPACE,
    Grant,
    GrantOrder,
    GrantUse,
    ShareBucket,
    ShareLimit,
    ShareState,
)
from pimentohoist._decisions.ownership_terms import (
    FinalState,
    PulledState,
    OwnedShareStore,
    ShareId,
    TakeoverContext,
    OwnershipTerm,
)
from pimentohoist.configuration import Workspace
from pimentohoist.exceptions import UnavailableError
from pimentohoist.protocols import Clock

_STEP = 'limits'
_RETRY_AFTER_S = 0.5


class OwnedShares:
    """Serves the shares that this daemon owns; every call reads the current view first."""

    def __init__(
        self,
        view: ViewController,
        configuration: ConfigurationController,
        exit_prober: ExitProber,
        clock: Clock,
    ) -> None:
        self.view = view
        self.configuration = configuration
        self.clock = clock
        self.store = OwnedShareStore()
        self.history = OwnershipHistoryReader(view, share_owner)
        self.exit_prober = exit_prober
        self.absent_at: dict[str, float] = {}
        self.lock = threading.RLock()
        self._absent_until = float('-inf')
        self._configuration_offset = -1

    def share_ids(self) -> tuple[ShareId, ...]:
        """Return all shares of all workspaces."""
        with self.lock:
            return tuple(
                ShareId(workspace, share)
                for workspace in self.absent_at
                for share in range(SHARES_PER_WORKSPACE)
            )

    def term(self, share_id: ShareId) -> OwnershipTerm | None:
        """Return the ownership term of a share in the current view."""
        with self.lock:
            return self.history.term(share_id.resource_key)

    def grant(
        self, share_id: ShareId, order: GrantOrder, uses: Iterable[GrantUse]
    ) -> Grant:
        """Record uses of grants, then grant tokens; raises UnavailableError."""
        with self.lock:
            bucket = self._bucket(share_id)
            now = self.clock()
            bucket.record_uses(uses, now)
            return bucket.grant(order, now)

    def record_uses(self, share_id: ShareId, uses: Iterable[GrantUse]) -> None:
        """Record uses of grants; raises UnavailableError."""
        with self.lock:
            self._bucket(share_id).record_uses(uses, self.clock())

    def has_begun(self, share_id: ShareId) -> bool:
        """Return whether this daemon's term has begun and it may serve the share now."""
        with self.lock:
            try:
                self._bucket(share_id)
            except UnavailableError:
                return False
        return True

    def adopt(self, share_id: ShareId, epoch: int, state: ShareState) -> None:
        """Begin a term with the state pulled from a former owner."""
        with self.lock:
            term = self.term(share_id)
            limit = self._limit(share_id)
            if term is not None and term.epoch == epoch and limit is not None:
                pulled = PulledState(state, self.clock())
                self.store.adopt(share_id, term, limit, pulled)

    def receive(self, share_id: ShareId, former_owner: str, state: ShareState) -> None:
        """Store the state that a former owner handed over before it left the view."""
        with self.lock:
            self.store.receive(share_id, former_owner, state)

    def close(self, share_id: ShareId, before_epoch: int) -> FinalState:
        """End this daemon's older terms of a share and return the last one's final state.

        Raises
        ------
        UnavailableError
            The workspace is not in the configuration read so far, so that the final state
            is unknown.
        """
        with self.lock:
            term = self.term(share_id)
            own = term and term.of(self.view.incarnation)
            if own is None:
                return FinalState(None)
            if self._limit(share_id) is None:
                raise UnavailableError(
                    f'workspace {share_id.workspace} is not in the configuration yet',
                    step=_STEP,
                )
            # A term without any request so far may still have a burst to hand over.
            self._bucket_of(share_id, own)
            return self.store.close(share_id, own.epoch, before_epoch, self._context())

    def update_workspaces(self) -> None:
        """Record when each workspace was last absent from the configuration."""
        follower = self.configuration.follower
        with follower.changed:
            offset = follower.fold.next_offset
            head_read_at = follower.head_read_at
        if offset != self._configuration_offset:
            names = [part.name for part in self.configuration.sections(Workspace)]
            with self.lock:
                self.absent_at = {
                    name: self.absent_at.get(name, self._absent_until) for name in names
                }
        self._configuration_offset = offset
        self._absent_until = head_read_at

    def dump(self) -> Mapping[str, Any]:
        """Return the owned shares by workspace and number."""
        with self.lock:
            return {
                f'{share_id.workspace}/{share_id.share}': {
                    'epoch': held.epoch,
                    'level_tokens': round(held.bucket.level_tokens, 3),
                    'open_tokens': held.bucket.open_tokens,
                }
                for share_id, held in self.store.held.items()
                if held.bucket is not None
            }

    def _bucket(self, share_id: ShareId) -> ShareBucket:
        term = self.term(share_id)
        if term is None or term.owner != self.view.incarnation:
            raise UnavailableError(
                f'not the owner of share {share_id.resource_key}', step=_STEP
            )
        bucket = None
        if self.view.is_fresh():
            bucket = self._bucket_of(share_id, term)
        if bucket is None:
            raise UnavailableError(
                f'the term of share {share_id.resource_key} has not begun',
                step=_STEP,
                retry_after_s=_RETRY_AFTER_S,
            )
        return bucket

    def _bucket_of(self, share_id: ShareId, term: OwnershipTerm) -> ShareBucket | None:
        limit = self._limit(share_id)
        if limit is None:
            return None
        return self.store.bucket(share_id, term, limit, self._context())

    def _context(self) -> TakeoverContext:
        return TakeoverContext(
            self.clock(),
            self.view.fresh_since(),
            self.exit_prober.fenced_at,
            self.absent_at,
            self.exit_prober.inactive_since,
        )

    def _limit(self, share_id: ShareId) -> ShareLimit | None:
        workspace = self.configuration.workspace(share_id.workspace)
        if workspace is None:
            return None
        return ShareLimit.of(
            workspace.rate_tokens_per_s, workspace.burst_tokens, share_id.share
        )
