"""Workspaces' quotas, counted by every daemon from its own and the others' requests."""

from __future__ import annotations

import threading
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.usage import UsageBucket
from pimentohoist._entry.members import Heartbeat, MembersController
from pimentohoist.entry_models import Workspace


class QuotasController:
    """Charges requests and hears what other daemons admitted.

    Attributes
    ----------
    used : dict of str to float
        Tokens admitted here by workspace, for this daemon's beats.
    """

    def __init__(self, members: MembersController) -> None:
        self.members = members
        self.used: defaultdict[str, float] = defaultdict(float)
        self._buckets: dict[str, UsageBucket] = {}
        self._lock = threading.Lock()
        members.on_heartbeat.append(self._record_heartbeat)

    def charge(self, workspace: Workspace, tokens: float) -> float | None:
        """Charge a request; return None, or the seconds to wait if there is no credit."""
        if not workspace.rate:
            return None
        share = self.members.live_share()
        with self._lock:
            bucket = self._bucket(workspace)
            bucket.fill(_clock.now(), share)
            if not bucket.charge(tokens):
                return bucket.wait_s()
            self.used[workspace.name] += tokens
        return None

    def give_back(self, workspace: Workspace, tokens: float) -> None:
        """Give back what a request was charged that surely has not run."""
        if not workspace.rate:
            return
        with self._lock:
            self._bucket(workspace).record(-tokens)
            self.used[workspace.name] -= tokens

    def dump(self) -> Mapping[str, Any]:
        """Return the levels of the buckets."""
        with self._lock:
            return {name: bucket.level for name, bucket in self._buckets.items()}

    def _bucket(self, workspace: Workspace) -> UsageBucket:
        bucket = self._buckets.get(workspace.name)
        now = _clock.now()
        if bucket is None:
            bucket = UsageBucket(workspace.rate, workspace.burst, now)
            self._buckets[workspace.name] = bucket
        elif (bucket.rate, bucket.burst) != (workspace.rate, workspace.burst):
            bucket.adjust(workspace.rate, workspace.burst, now)
        return bucket

    def _record_heartbeat(self, heartbeat: Heartbeat, before: Heartbeat | None) -> None:
        """Charge what a daemon has admitted since its last beat."""
        is_same = before is not None and before.incarnation == heartbeat.incarnation
        earlier = before.used if before is not None and is_same else {}
        with self._lock:
            for name, tokens in heartbeat.used.items():
                bucket = self._buckets.get(name)
                # A daemon heard for the first time tells its total, not what is new.
                if bucket is not None and (is_same or before is not None):
                    bucket.record(tokens - earlier.get(name, 0))
