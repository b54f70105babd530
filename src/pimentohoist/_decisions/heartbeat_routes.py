"""To whom a daemon sends its heartbeat, and who passes it on.

In a small fleet each daemon sends to each other. In a larger one two relays a failure
domain collect the heartbeats of their domain, exchange them with the relays of the others
and pass all of them on within their domain. The relays are those with the fastest links: passing
all heartbeats on takes several Mbit/s, which would fill a slow link and delay requests
there. Each daemon also sends to a few others at random, which pass the heartbeat to their relays: it isn't lost with the relays of its
domain.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from functools import cached_property

from pimentohoist._rendezvous import rank_names

MAX_DIRECT_FLEET = 16
"""Daemons of a fleet in which each sends to each other."""

_RELAYS_PER_DOMAIN = 2
_RANDOM_TARGETS = 2


class Hop(IntEnum):
    """How far a heartbeat has come.

    Attributes
    ----------
    ORIGIN : int
        A relay passes it on within its failure domain and to the relays of the others.
    DOMAIN : int
        Came from the relay of another failure domain; is passed on within this one.
    END : int
        Is not passed on.
    """

    ORIGIN = 0
    DOMAIN = 1
    END = 2


@dataclass(frozen=True)
class HeartbeatRoutes:
    """A daemon's view of the fleet's relays.

    Attributes
    ----------
    domains : mapping of str to str
        Failure domain of each other daemon, by its address.
    suspects : collection of str
        Daemons that aren't taken as relays, since they are silent.
    unrelayed : collection of str
        Daemons of earlier builds, which know no relays and send to each.
    link_mbps : mapping of str to float
        Speed of each daemon's link in Mbit/s by its address, as far as it is known.
    """

    own: str
    own_domain: str
    domains: Mapping[str, str]
    suspects: Collection[str] = ()
    unrelayed: Collection[str] = ()
    link_mbps: Mapping[str, float] = field(default_factory=dict)

    @property
    def is_relayed(self) -> bool:
        """Return whether the fleet is too large for heartbeats from each to each."""
        return len(self.domains) >= MAX_DIRECT_FLEET

    @cached_property
    def own_relays(self) -> list[str]:
        """Return the relays of this daemon's failure domain; it may be one itself."""
        return self._relays(self.own_domain)

    @property
    def is_relay(self) -> bool:
        """Return whether this daemon is a relay."""
        return self.own in self.own_relays

    @cached_property
    def other_relays(self) -> list[str]:
        """Return the relays of the other failure domains."""
        others = sorted(set(self.domains.values()) - {self.own_domain})
        return [address for domain in others for address in self._relays(domain)]

    @cached_property
    def neighbours(self) -> list[str]:
        """Return the other daemons of the failure domain."""
        return [
            address
            for address, domain in self.domains.items()
            if domain == self.own_domain
        ]

    def expected_senders(self) -> set[str]:
        """Return the daemons that would be heard of regularly if they were live."""
        expected = {*self.own_relays, *(self.other_relays if self.is_relay else ())}
        return expected - {self.own}

    def targets(self) -> set[str]:
        """Return to whom this daemon sends its own heartbeat itself."""
        if not self.is_relayed:
            return set(self.domains)
        count = min(_RANDOM_TARGETS, len(self.domains))
        chosen = random.sample(tuple(self.domains), count)
        return {*self.own_relays, *chosen, *self.unrelayed} - {self.own}

    def onward(self, hop: Hop) -> Mapping[str, Hop]:
        """Return to whom a heartbeat is passed on, and how far it has come then."""
        if hop is Hop.END:
            return {}
        if not self.is_relay:
            # Only a relay hears from the relays of other domains.
            return dict.fromkeys(self.own_relays, Hop.ORIGIN)
        within = dict.fromkeys(self.neighbours, Hop.END)
        if hop is Hop.DOMAIN:
            return within
        return {**dict.fromkeys(self.other_relays, Hop.DOMAIN), **within}

    def _relays(self, domain: str) -> list[str]:
        excluded = {*self.suspects, *self.unrelayed}
        members = [
            address
            for address, found in self.domains.items()
            if found == domain and address not in excluded
        ]
        if domain == self.own_domain:
            members.append(self.own)
        ranked = rank_names(domain, members)
        if all(self.link_mbps.get(address) for address in ranked):
            # Earlier builds don't state their links, and rank without them: as long as
            # one of them is in the domain, all daemons do.
            ranked.sort(key=lambda address: -self.link_mbps[address])
        return ranked[:_RELAYS_PER_DOMAIN]
