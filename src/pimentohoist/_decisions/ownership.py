"""Ownership of engines by partition, and leases under which owners give orders."""

from __future__ import annotations

import threading
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Ownership:
    """Partitions that a daemon holds in the owners' group.

    Attributes
    ----------
    generation : int
        Generation of the group; the fencing number of the daemon's orders.
    """

    member: str
    generation: int
    partitions: frozenset[int]


def partition_of(endpoint_id: str, partitions: int) -> int:
    """Return the partition to which an engine belongs, which never changes."""
    return zlib.crc32(endpoint_id.encode()) % partitions


def owner_of(partition: int, claims: Iterable[Ownership]) -> Ownership | None:
    """Return the newest of the claims to a partition."""
    held = (claim for claim in claims if partition in claim.partitions)
    return max(held, key=lambda claim: claim.generation, default=None)


@dataclass(slots=True)
class PartitionLease:
    """One daemon's right to order the engines of one partition.

    Attributes
    ----------
    may_order_from : float
        A daemon that lost the partition and got it back gives no orders before this
        time.
    """

    lease_s: float
    is_held: bool = False
    may_order_from: float = 0
    last_order_at: float = field(default=float('-inf'))

    def gain(self, now: float, *, is_released: bool = True) -> None:
        """Record that the partition is held.

        Parameters
        ----------
        is_released : bool
            Whether the former holder is known to have released it.
        """
        if not self.is_held:
            # Another daemon may have ordered in between: two owners must not order
            # within one lease.
            last_order_at = self.last_order_at if is_released else now
            self.may_order_from = max(now, last_order_at + self.lease_s)
        self.is_held = True

    def lose(self) -> None:
        """Record that the partition isn't held any more."""
        self.is_held = False

    def may_order(self, now: float) -> bool:
        """Return whether orders may be given now."""
        return self.is_held and now >= self.may_order_from

    def record_order(self, now: float) -> None:
        """Record the time of an order."""
        self.last_order_at = now


class PartitionLeases:
    """The leases of one daemon by partition; safe for threads.

    Parameters
    ----------
    lease_s : callable
        Returns the duration of a new lease in seconds.
    """

    def __init__(self, lease_s: Callable[[], float]) -> None:
        self.lease_s = lease_s
        self._leases: dict[int, PartitionLease] = {}
        self._lock = threading.Lock()

    def of(self, partition: int) -> PartitionLease:
        """Return the lease on a partition."""
        with self._lock:
            return self._leases.setdefault(partition, PartitionLease(self.lease_s()))
