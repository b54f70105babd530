"""Which callers' bytes are read, wait unread or are given up when memory is short."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable
from dataclasses import dataclass

_SMALL_BYTES = 32_768
"""Heads and ordinary requests are smaller; they may use the share that large ones may not."""

_LARGE_SHARE = 0.75
_MAX_GROUP_SHARE = 0.5
"""A workspace or an address that holds more of the budget waits while others wait."""

_STALL_S = 1.0
"""A sender on a slow link sends some bytes in this time."""

_MAX_WAIT_S = 2.0
_MEMORY_SHARE = 0.125
"""A daemon takes 45 MB at rest; the rest is for threads, responses and what the allocator
keeps."""

_MIN_BUDGET_BYTES = 8_388_608
"""Two bodies of the largest size that is declared in the deployments known."""

_BYTES_PER_MB = 1_048_576
_OWN_DESCRIPTORS = 64
"""A daemon has 36 at rest, and more for other daemons and the store."""

_MAX_CONNECTIONS = 2000
_MIN_CONNECTIONS = 8
CALLERS_SHARE = 0.375
FORWARDED_SHARE = 0.125
DIRECTORY_SHARE = 0.125
CHECKS_SHARE = 0.015625
"""Shares of the connections that a daemon may have with others, by server."""


@dataclass(slots=True)
class _Account:
    """Bytes that are held of one request.

    Attributes
    ----------
    progressed_at, waits_since : float
        Monotonic times in seconds.
    """

    group: str
    progressed_at: float
    size: int = 0
    waits_since: float | None = None
    is_complete: bool = False


class CallerBudget:
    """Account of the bytes that are held for callers, by request.

    Attributes
    ----------
    max_bytes : int
        Bytes that may be held of all requests.
    held_bytes : int
        Bytes that are held.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self._accounts: dict[Hashable, _Account] = {}
        self._group_bytes: Counter[str] = Counter()
        self._waiting: dict[Hashable, _Account] = {}
        self._waiting_groups: Counter[str] = Counter()
        self._large: dict[Hashable, None] = {}

    def record(
        self, holder: Hashable, group: str, size: int, now: float, *, is_complete: bool
    ) -> None:
        """Set how many bytes are held of a request that has made progress."""
        account = self._accounts.get(holder)
        if account is None:
            account = _Account(group, now)
            self._accounts[holder] = account
        self.held_bytes += size - account.size
        self._group_bytes[account.group] += size - account.size
        account.size = size
        account.progressed_at = now
        account.is_complete = is_complete
        self.stop_waiting(holder)
        if is_complete or size <= _SMALL_BYTES:
            self._large.pop(holder, None)
        else:
            self._large.setdefault(holder)

    def waiting_count(self) -> int:
        """Return how many requests wait unread."""
        return len(self._waiting)

    def release(self, holder: Hashable) -> None:
        """Forget a request; nothing of it is held any more."""
        self.stop_waiting(holder)
        self._large.pop(holder, None)
        account = self._accounts.pop(holder, None)
        if account is None:
            return
        self.held_bytes -= account.size
        self._group_bytes[account.group] -= account.size
        if self._group_bytes[account.group] <= 0:
            self._group_bytes.pop(account.group)

    def fits(self, holder: Hashable, growth: int) -> bool:
        """Return whether so many bytes more of a request may be read.

        The first read of each is allowed, since most requests are complete with it.
        """
        account = self._accounts.get(holder)
        if account is None or not account.size:
            return True
        if self._is_oldest(holder):
            return self.held_bytes - account.size <= self.max_bytes
        wanted = self.held_bytes + growth
        if account.size + growth <= _SMALL_BYTES:
            return wanted <= self.max_bytes
        if self._is_group_over(account):
            return False
        return wanted <= self.max_bytes * _LARGE_SHARE

    def wait(self, holder: Hashable, now: float) -> None:
        """Record that bytes of a request have come which may not be read."""
        account = self._accounts[holder]
        if account.waits_since is None:
            account.waits_since = now
            self._waiting[holder] = account
            self._waiting_groups[account.group] += 1

    def stop_waiting(self, holder: Hashable) -> None:
        """Record that no bytes of a request wait to be read."""
        account = self._waiting.pop(holder, None)
        if account is not None:
            account.waits_since = None
            self._waiting_groups[account.group] -= 1
            if not self._waiting_groups[account.group]:
                self._waiting_groups.pop(account.group)

    def find_victim(self, now: float) -> Hashable | None:
        """Return the request to give up, since others wait for its memory; else None.

        It is the one that has made no progress for the longest time. If all make progress,
        it is one that has waited for too long, of the group that holds most.
        """
        if not self._waiting:
            return None
        stalled = [
            (account.progressed_at, holder)
            for holder, account in self._accounts.items()
            if _is_stalled(account, now)
        ]
        if stalled:
            return min(stalled, key=lambda entry: entry[0])[1]
        late = [
            (self._group_bytes[account.group], account.waits_since or 0, holder)
            for holder, account in self._waiting.items()
            if now - (account.waits_since or 0) >= _MAX_WAIT_S
        ]
        return max(late, key=lambda entry: entry[:2])[2] if late else None

    def _is_group_over(self, account: _Account) -> bool:
        """Return whether a group holds too much while another one waits."""
        held = self._group_bytes[account.group]
        if held <= self.max_bytes * _MAX_GROUP_SHARE:
            return False
        own_waiting = self._waiting_groups[account.group]
        return len(self._waiting) > own_waiting

    def _is_oldest(self, holder: Hashable) -> bool:
        """Return whether a large request came first.

        It may grow to its own limit, so that one of them ends and the others go on.
        """
        return next(iter(self._large), None) is holder


def _is_stalled(account: _Account, now: float) -> bool:
    is_read = not account.is_complete and account.waits_since is None
    return is_read and account.size > 0 and now - account.progressed_at >= _STALL_S


def body_budget_bytes(memory_mb: float) -> int:
    """Return how many bytes may be held for callers in an instance of this memory."""
    return max(_MIN_BUDGET_BYTES, int(memory_mb * _MEMORY_SHARE * _BYTES_PER_MB))


def connection_limit(max_descriptors: int, share: float) -> int:
    """Return how many connections may be open to a server.

    One to a server of requests may need another one to an endpoint.

    Parameters
    ----------
    share : float
        The server's share of the descriptors that the daemon doesn't use itself.
    """
    connections = int((max_descriptors - _OWN_DESCRIPTORS) * share)
    return max(_MIN_CONNECTIONS, min(_MAX_CONNECTIONS, connections))
