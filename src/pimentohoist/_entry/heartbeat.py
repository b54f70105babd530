"""The state that daemons send one another, and its form in datagrams."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from pimentohoist._decisions.ownership import Ownership


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The state that a daemon sends to the others a few times a second.

    Attributes
    ----------
    adapter_versions : int
        Digest of the adapter versions that it knows.
    admitted_tokens : mapping of str to float
        Tokens admitted by workspace since the start of the incarnation.
    in_flight : mapping of str to mapping of str to int
        Number of its requests in flight by endpoint id and adapter.
    engines : mapping of str to list
        For each engine that it owns: free adapter slots, and the adapters in the slots.
    crash_reports : list of str
        Fingerprints of requests that crash endpoints.
    draining_endpoints : list of str
        Incarnations of endpoints of which it lately learned that they leave or are gone.
    part_reports : list of list
        Parts of prompts that may crash engines: id, seconds since the last crash, crashed
        incarnations, those of them that had begun an answer, other parts that were always
        suspect with it.
    cleared_parts : list of str
        Parts that were suspect and are cleared.
    endpoint_limits : list of list
        Newest statements of endpoints on their limits: incarnation, requests a second or
        None, seconds since the request was sent.
    declarations_read_age_s : float or None
        Time since the store last answered its reads of the operators' records.
    store_era : int
        Newest era of the store that it knows.
    lost_endpoints : list of str
        Ids of the endpoints that it can't reach.
    brittle_endpoints : list of list
        Newest statements of endpoints that fall over when they turn many requests away:
        incarnation, how many in a second or None, seconds since the request was sent.
    room_rejections : list of list
        Requests that brittle endpoints turned away: incarnation, seconds since the last.
    software_versions : mapping of str to list of str
        Versions of endpoints in service by group, of groups with several.
    versions_recorded_age_s : float or None
        Time since it recorded the versions in service in the store's era; None if it
        hasn't, and from builds that don't.
    link_mbps : float
        Speed of its link in Mbit/s; 0 if it isn't known, and from builds that don't say.
    long_prompts : mapping of str to float
        Engines that its long prompts keep busy on average, by group.
    endpoint_changes : list of list or None
        Records of endpoints that were lately removed from the store or came back:
        incarnation, whether it is back, era and offset up to which the store was read. None
        from builds that don't tell removals from announced leaves.
    evacuations : list
        What it knows of evacuated failure domains; empty if it knows of no record.
    cold_endpoints : list of list
        Newest statements on endpoints that are or were cold: incarnation, seconds until it
        is warm, age in seconds, requests a second that it takes meanwhile.
    keeps_homes : bool
        Whether it sends requests to endpoints in their homes only.
    endpoint_reads : list
        What it knows of the endpoints' records: a list of the store's era, offset and
        digest, seconds since it read them, whether it can read, and records that have
        changed lately, as lists of offset, id and text or None; empty from other builds.
    sequence : int
        Number of the heartbeat in its incarnation; 0 from builds that send none.
    """

    member: str
    incarnation: str
    failure_domain: str
    callers_address: str
    is_ready: bool
    version: int
    adapter_versions: int
    generation: int
    partitions: list[int] = field(default_factory=list)
    admitted_tokens: Mapping[str, float] = field(default_factory=dict)
    in_flight: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    engines: Mapping[str, tuple[int, list[str]]] = field(default_factory=dict)
    crash_reports: list[str] = field(default_factory=list)
    draining_endpoints: list[str] = field(default_factory=list)
    declarations_read_age_s: float | None = None
    store_era: int = 0
    part_reports: list[list[Any]] = field(default_factory=list)
    cleared_parts: list[str] = field(default_factory=list)
    endpoint_limits: list[list[Any]] = field(default_factory=list)
    sequence: int = 0
    lost_endpoints: list[str] = field(default_factory=list)
    brittle_endpoints: list[list[Any]] = field(default_factory=list)
    room_rejections: list[list[Any]] = field(default_factory=list)
    software_versions: Mapping[str, list[str]] = field(default_factory=dict)
    versions_recorded_age_s: float | None = None
    link_mbps: float = 0
    long_prompts: Mapping[str, float] = field(default_factory=dict)
    endpoint_changes: list[list[Any]] | None = None
    evacuations: list[Any] = field(default_factory=list)
    cold_endpoints: list[list[Any]] = field(default_factory=list)
    keeps_homes: bool = False
    endpoint_reads: list[Any] = field(default_factory=list)

    def ownership(self) -> Ownership:
        """Return which partitions the daemon claims."""
        return Ownership(self.member, self.generation, frozenset(self.partitions))

    def in_flight_at(self, endpoint_id: str) -> int:
        """Return how many of its requests are in flight at an endpoint."""
        return sum(self.in_flight.get(endpoint_id, {}).values())


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """A daemon's newest heartbeat, and when it was received.

    One that was relayed counts as received before the time for which relays kept it.
    """

    heartbeat: Heartbeat
    received_at: float


def is_newer(received: ReceivedHeartbeat, known: ReceivedHeartbeat) -> bool:
    """Return whether a heartbeat is newer than the one that is known.

    Relays deliver some twice and some late, even after the first of the sender's next
    incarnation.
    """
    heartbeat, before = received.heartbeat, known.heartbeat
    if heartbeat.incarnation != before.incarnation:
        return received.received_at > known.received_at
    return not heartbeat.sequence or heartbeat.sequence > before.sequence


def encode_heartbeat(heartbeat: Heartbeat) -> list[Any]:
    """Return the values of a heartbeat, in the order of its fields."""
    return [getattr(heartbeat, name) for name in Heartbeat.__slots__]


def decode_heartbeat(fields: Any) -> Heartbeat:
    """Return a heartbeat; an earlier build sends fewer fields, a later one more."""
    if not isinstance(fields, list):
        raise ValueError('heartbeat: expected a list of its fields')
    return Heartbeat(*fields[: len(Heartbeat.__slots__)])
