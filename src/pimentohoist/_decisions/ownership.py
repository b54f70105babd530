"""Which daemon is the home of an engine, and when it may give orders."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Ownership:
    """Partitions that a daemon holds in the group of homes.

    Attributes
    ----------
    generation : int
        Of the group; the fencing number of its orders.
    """

    member: str
    generation: int
    partitions: frozenset[int]


def partition_of(endpoint_id: str, partitions: int) -> int:
    """Return the partition to which an engine belongs, for good."""
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
    resumes_at : float
        A daemon that lost a partition and got it back orders nothing before.
    """

    lease_s: float
    is_held: bool = False
    resumes_at: float = 0
    ordered_at: float = field(default=float('-inf'))

    def gain(self, now: float) -> None:
        """Note that the partition is held."""
        if not self.is_held:
            # Another daemon may have ordered in between: no two take turns in a lease.
            self.resumes_at = max(now, self.ordered_at + self.lease_s)
        self.is_held = True

    def lose(self) -> None:
        """Note that the partition isn't held any more."""
        self.is_held = False

    def may_order(self, now: float) -> bool:
        """Return whether orders may be given now."""
        return self.is_held and now >= self.resumes_at

    def record_order(self, now: float) -> None:
        """Note that an order was given."""
        self.ordered_at = now
