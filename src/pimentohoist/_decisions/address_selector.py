"""Which daemon a caller uses, from the lists that daemons give out."""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class AddressList:
    """A list of addresses and the monotonic time until which it may be used."""

    addresses: tuple[str, ...] = ()
    expires_at: float = float('-inf')


@dataclass(frozen=True, slots=True)
class AddressSelector:
    """What a caller knows of addresses.

    Attributes
    ----------
    first_addresses : tuple of str
        Given by the caller's settings; asked when nothing else answers.
    entries : AddressList
        Last list received.
    failed : tuple of str
        Addresses that failed since, the latest last; used after all others.
    """

    first_addresses: tuple[str, ...]
    entries: AddressList = AddressList()
    failed: tuple[str, ...] = ()

    def is_stale(self, now: float) -> bool:
        """Return whether the list must be asked for again."""
        return now >= self.entries.expires_at

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses to try, the preferred one first."""
        listed = self.entries.addresses or self.first_addresses
        sound = tuple(address for address in listed if address not in self.failed)
        return sound + tuple(address for address in self.failed if address in listed)

    def sources(self) -> tuple[str, ...]:
        """Return the addresses to ask for a list, the preferred one first."""
        others = (
            address
            for address in self.first_addresses
            if address not in self.entries.addresses
        )
        return (*self.addresses(), *others)

    def with_addresses(self, entries: AddressList) -> AddressSelector:
        """Return the choice with a new list, on which each address has a new chance."""
        return AddressSelector(self.first_addresses, entries)

    def with_failure(self, address: str) -> AddressSelector:
        """Return the choice with `address` put last."""
        others = tuple(failed for failed in self.failed if failed != address)
        return replace(self, failed=(*others, address))
