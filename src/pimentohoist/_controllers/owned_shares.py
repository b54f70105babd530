"""Shares of workspaces' limits of which this daemon is the home."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Mapping
from typing import Any

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.exit_prober import ExitProber
from pimentohoist._controllers.ownership_history_reader import OwnershipHistoryReader
from pimentohoist._controllers.view import ViewController
from pimentohoist._decisions.share_places import share_owner
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
    """Answers for the shares at home here; every call reads the present view first."""

    def __init__(
        self,
        view: ViewController,
        configuration: ConfigurationController,
        proofs: ExitProber,
        clock: Clock,
    ) -> None:
        self.view = view
        self.configuration = configuration
        self.clock = clock
        self.keeper = OwnedShareStore()
        self.terms = OwnershipHistoryReader(view, share_owner)
        self.proofs = proofs
        self.absent_at: dict[str, float] = {}
        self.lock = threading.RLock()
        self._absent_until = float('-inf')
        self._configuration_offset = -1

    def names(self) -> tuple[ShareId, ...]:
        """Return all shares of all workspaces."""
        with self.lock:
            return tuple(
                ShareId(workspace, share)
                for workspace in self.absent_at
                for share in range(SHARES_PER_WORKSPACE)
            )

    def term(self, name: ShareId) -> OwnershipTerm | None:
        """Return the tenure of a share's present home."""
        with self.lock:
            return self.terms.term(name.resource_key)

    def order(
        self, name: ShareId, order: GrantOrder, uses: Iterable[GrantUse]
    ) -> Grant:
        """Take in what was spent and grant tokens; raises UnavailableError."""
        with self.lock:
            bucket = self._bucket(name)
            now = self.clock()
            bucket.record_uses(uses, now)
            return bucket.grant(order, now)

    def record_uses(self, name: ShareId, uses: Iterable[GrantUse]) -> None:
        """Take in what was spent; raises UnavailableError."""
        with self.lock:
            self._bucket(name).record_uses(uses, self.clock())

    def has_begun(self, name: ShareId) -> bool:
        """Return whether this daemon can answer for the share now."""
        with self.lock:
            try:
                self._bucket(name)
            except UnavailableError:
                return False
        return True

    def adopt(self, name: ShareId, epoch: int, state: ShareState) -> None:
        """Begin a tenure with what the former home gave up for it."""
        with self.lock:
            term = self.term(name)
            limit = self._limit(name)
            if term is not None and term.epoch == epoch and limit is not None:
                pulled = PulledState(state, self.clock())
                self.keeper.adopt(name, term, limit, pulled)

    def receive(self, name: ShareId, former_owner: str, state: ShareState) -> None:
        """Keep what a former home passed on before it left for good."""
        with self.lock:
            self.keeper.receive(name, former_owner, state)

    def close(self, name: ShareId, before_epoch: int) -> FinalState:
        """End older tenures of a share here and return what the last one leaves.

        Raises
        ------
        UnavailableError
            The workspace is not known here yet, so that it can't be said what is left.
        """
        with self.lock:
            term = self.term(name)
            own = term and term.of(self.view.incarnation)
            if own is None:
                return FinalState(None)
            if self._limit(name) is None:
                raise UnavailableError('the workspace is not known here', step=_STEP)
            # A tenure that nobody asked for yet may have a burst to pass on.
            self._bucket_of(name, own)
            return self.keeper.close(name, own.epoch, before_epoch, self._context())

    def watch(self) -> None:
        """Note which workspaces have appeared in the configuration."""
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
        """Return the shares at home here by workspace and number."""
        with self.lock:
            return {
                f'{name.workspace}/{name.share}': {
                    'epoch': held.epoch,
                    'level_tokens': round(held.bucket.level_tokens, 3),
                    'open_tokens': held.bucket.open_tokens,
                }
                for name, held in self.keeper.held.items()
                if held.bucket is not None
            }

    def _bucket(self, name: ShareId) -> ShareBucket:
        term = self.term(name)
        if term is None or term.owner != self.view.incarnation:
            raise UnavailableError('not the home of this share', step=_STEP)
        bucket = None
        if self.view.is_fresh():
            bucket = self._bucket_of(name, term)
        if bucket is None:
            raise UnavailableError(
                'the share has not begun here', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )
        return bucket

    def _bucket_of(self, name: ShareId, term: OwnershipTerm) -> ShareBucket | None:
        limit = self._limit(name)
        if limit is None:
            return None
        return self.keeper.bucket(name, term, limit, self._context())

    def _context(self) -> TakeoverContext:
        return TakeoverContext(
            self.clock(),
            self.view.fresh_since(),
            self.proofs.fenced_at,
            self.absent_at,
            self.proofs.inactive_since,
        )

    def _limit(self, name: ShareId) -> ShareLimit | None:
        workspace = self.configuration.workspace(name.workspace)
        if workspace is None:
            return None
        return ShareLimit.of(
            workspace.rate_tokens_per_s, workspace.burst_tokens, name.share
        )
