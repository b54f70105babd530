"""Choice of the daemon that a caller uses, from the address lists of the daemons."""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class AddressList:
    """A list of addresses and the monotonic time until which it may be used."""

    addresses: tuple[str, ...] = ()
    expires_at: float = float('-inf')


@dataclass(frozen=True, slots=True)
class AddressSelector:
    """Orders the addresses to try.

    Attributes
    ----------
    seed_addresses : tuple of str
        Addresses from the caller's settings; asked when no listed address answers.
    entries : AddressList
        Last list received.
    failed : tuple of str
        Addresses that have failed since, the latest last; tried after all others.
    """

    seed_addresses: tuple[str, ...]
    entries: AddressList = AddressList()
    failed: tuple[str, ...] = ()

    def is_stale(self, now: float) -> bool:
        """Return whether the list has expired and must be requested again."""
        return now >= self.entries.expires_at

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses to try, the preferred one first."""
        listed = self.entries.addresses or self.seed_addresses
        working = tuple(address for address in listed if address not in self.failed)
        return working + tuple(address for address in self.failed if address in listed)

    def sources(self) -> tuple[str, ...]:
        """Return the addresses to ask for a list, the preferred one first."""
        others = (
            address
            for address in self.seed_addresses
            if address not in self.entries.addresses
        )
        return (*self.addresses(), *others)

    def with_addresses(self, entries: AddressList) -> AddressSelector:
        """Return a selector with a new list, without the failures recorded before."""
        return AddressSelector(self.seed_addresses, entries)

    def with_failure(self, address: str) -> AddressSelector:
        """Return a selector that tries `address` last."""
        others = tuple(failed for failed in self.failed if failed != address)
        return replace(self, failed=(*others, address))
