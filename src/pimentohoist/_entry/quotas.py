"""Workspaces' quotas, which each daemon charges for all daemons' requests."""

from __future__ import annotations

import threading
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.usage import UsageBucket
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist.entry_models import Workspace


class QuotasController:
    """Charges quotas with the requests that this and other daemons admit.

    Attributes
    ----------
    admitted_tokens : dict of str to float
        Tokens that this daemon has admitted, by workspace, for its heartbeats.
    """

    def __init__(self, members: MembersController) -> None:
        self.members = members
        self.admitted_tokens: defaultdict[str, float] = defaultdict(float)
        self._buckets: dict[str, UsageBucket] = {}
        self._lock = threading.Lock()
        members.on_heartbeat.append(self._record_heartbeat)

    def charge(self, workspace: Workspace, tokens: float) -> float | None:
        """Charge a request; return None, or the seconds until there is credit again."""
        if not workspace.rate:
            return None
        share = self.members.live_share()
        with self._lock:
            bucket = self._bucket(workspace)
            bucket.fill(_clock.now(), share)
            if not bucket.charge(tokens):
                return bucket.wait_s()
            self.admitted_tokens[workspace.name] += tokens
        return None

    def refund(self, workspace: Workspace, tokens: float) -> None:
        """Refund the tokens of a request that has certainly not been executed."""
        if not workspace.rate:
            return
        with self._lock:
            self._bucket(workspace).record(-tokens)
            self.admitted_tokens[workspace.name] -= tokens

    def dump(self) -> Mapping[str, Any]:
        """Return the levels of the buckets, and what this daemon has admitted."""
        with self._lock:
            return {
                'levels': {
                    name: bucket.level for name, bucket in self._buckets.items()
                },
                'admitted': dict(self.admitted_tokens),
            }

    def _bucket(self, workspace: Workspace) -> UsageBucket:
        bucket = self._buckets.get(workspace.name)
        now = _clock.now()
        if bucket is None:
            bucket = UsageBucket(workspace.rate, workspace.burst, now)
            self._buckets[workspace.name] = bucket
        elif (bucket.rate, bucket.burst) != (workspace.rate, workspace.burst):
            bucket.adjust(workspace.rate, workspace.burst, now)
        return bucket

    def _record_heartbeat(
        self, heartbeat: Heartbeat, previous: Heartbeat | None
    ) -> None:
        """Charge the tokens that a daemon has admitted since its previous heartbeat."""
        is_same = previous is not None and previous.incarnation == heartbeat.incarnation
        previously_admitted = (
            previous.admitted_tokens if previous is not None and is_same else {}
        )
        with self._lock:
            for name, tokens in heartbeat.admitted_tokens.items():
                bucket = self._buckets.get(name)
                # The first heartbeat from a daemon carries its total, not an increase.
                if bucket is not None and (is_same or previous is not None):
                    bucket.record(tokens - previously_admitted.get(name, 0))
