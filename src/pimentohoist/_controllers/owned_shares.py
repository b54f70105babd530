"""Shares of workspaces' limits of which this daemon is the home."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Mapping
from typing import Any

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.exit_prober import EndProofs
from pimentohoist._controllers.ownership_history_reader import TenureReader
from pimentohoist._controllers.view import ViewController
from pimentohoist._decisions.share_places import share_home
from pimentohoist._decisions.shares import (
    SHARES,
    Grant,
    GrantOrder,
    GrantUse,
    ShareBucket,
    ShareLimit,
    ShareState,
)
from pimentohoist._decisions.ownership_terms import (
    LastState,
    PulledState,
    ShareKeeper,
    ShareName,
    Surroundings,
    Tenure,
)
from pimentohoist.configuration import Workspace
from pimentohoist.exceptions import UnavailableError
from pimentohoist.protocols import Clock

_STEP = 'limits'
_RETRY_AFTER_S = 0.5


class ShareHomes:
    """Answers for the shares at home here; every call reads the present view first."""

    def __init__(
        self,
        view: ViewController,
        configuration: ConfigurationController,
        proofs: EndProofs,
        clock: Clock,
    ) -> None:
        self.view = view
        self.configuration = configuration
        self.clock = clock
        self.keeper = ShareKeeper()
        self.tenures = TenureReader(view, share_home)
        self.proofs = proofs
        self.absent_at: dict[str, float] = {}
        self.lock = threading.RLock()
        self._absent_until = float('-inf')
        self._configuration_offset = -1

    def names(self) -> tuple[ShareName, ...]:
        """Return all shares of all workspaces."""
        with self.lock:
            return tuple(
                ShareName(workspace, share)
                for workspace in self.absent_at
                for share in range(SHARES)
            )

    def tenure(self, name: ShareName) -> Tenure | None:
        """Return the tenure of a share's present home."""
        with self.lock:
            return self.tenures.tenure(name.thing)

    def order(
        self, name: ShareName, order: GrantOrder, uses: Iterable[GrantUse]
    ) -> Grant:
        """Take in what was spent and grant tokens; raises UnavailableError."""
        with self.lock:
            bucket = self._bucket(name)
            now = self.clock()
            bucket.note_uses(uses, now)
            return bucket.grant(order, now)

    def note_uses(self, name: ShareName, uses: Iterable[GrantUse]) -> None:
        """Take in what was spent; raises UnavailableError."""
        with self.lock:
            self._bucket(name).note_uses(uses, self.clock())

    def has_begun(self, name: ShareName) -> bool:
        """Return whether this daemon can answer for the share now."""
        with self.lock:
            try:
                self._bucket(name)
            except UnavailableError:
                return False
        return True

    def adopt(self, name: ShareName, epoch: int, state: ShareState) -> None:
        """Begin a tenure with what the former home gave up for it."""
        with self.lock:
            tenure = self.tenure(name)
            limit = self._limit(name)
            if tenure is not None and tenure.epoch == epoch and limit is not None:
                pulled = PulledState(state, self.clock())
                self.keeper.adopt(name, tenure, limit, pulled)

    def receive(self, name: ShareName, former_home: str, state: ShareState) -> None:
        """Keep what a former home passed on before it left for good."""
        with self.lock:
            self.keeper.receive(name, former_home, state)

    def close(self, name: ShareName, before_epoch: int) -> LastState:
        """End older tenures of a share here and return what the last one leaves.

        Raises
        ------
        UnavailableError
            The workspace is not known here yet, so that it can't be said what is left.
        """
        with self.lock:
            tenure = self.tenure(name)
            own = tenure and tenure.of(self.view.incarnation)
            if own is None:
                return LastState(None)
            if self._limit(name) is None:
                raise UnavailableError('the workspace is not known here', step=_STEP)
            # A tenure that nobody asked for yet may have a burst to pass on.
            self._bucket_of(name, own)
            return self.keeper.close(name, own.epoch, before_epoch, self._around())

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

    def _bucket(self, name: ShareName) -> ShareBucket:
        tenure = self.tenure(name)
        if tenure is None or tenure.home != self.view.incarnation:
            raise UnavailableError('not the home of this share', step=_STEP)
        bucket = None
        if self.view.is_fresh():
            bucket = self._bucket_of(name, tenure)
        if bucket is None:
            raise UnavailableError(
                'the share has not begun here', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )
        return bucket

    def _bucket_of(self, name: ShareName, tenure: Tenure) -> ShareBucket | None:
        limit = self._limit(name)
        if limit is None:
            return None
        return self.keeper.bucket(name, tenure, limit, self._around())

    def _around(self) -> Surroundings:
        return Surroundings(
            self.clock(),
            self.view.fresh_since(),
            self.proofs.fenced_at,
            self.absent_at,
            self.proofs.gone_at,
        )

    def _limit(self, name: ShareName) -> ShareLimit | None:
        workspace = self.configuration.workspace(name.workspace)
        if workspace is None:
            return None
        return ShareLimit.of(
            workspace.rate_tokens_per_s, workspace.burst_tokens, name.share
        )
