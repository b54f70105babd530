"""The platform's store as a process of the soak."""

from __future__ import annotations

import time
from typing import Any

from pimentohoist_standins._soak.addresses import SERVICE_PORT, Network, slot_of
from pimentohoist_standins.keyed_store import PARTITION_COUNT, KeyedStore

_ENDPOINT_TOPIC = 'keyed.servers'
_MS_PER_S = 1000


class StoreRole(KeyedStore):
    """A store whose members lapse, and that shows each daemon its own endpoint proxies."""

    def __init__(self, prefix: str) -> None:
        self.network = Network(prefix)
        super().__init__((self.network.store, SERVICE_PORT))
        self.era = 1
        self.lapses_at: dict[str, float] = {}

    def configure(self, **attributes: Any) -> None:
        """Set attributes, such as ``is_down``."""
        for name, setting in attributes.items():
            setattr(self, name, setting)

    def put_documents(self, topic: str, documents: dict[str, Any]) -> None:
        """Append records by key; None deletes a key."""
        for key, document in documents.items():
            self.put(topic, key, document)

    def view(self, topic: str, body: bytes, client_host: str) -> bytes:
        """Replace the addresses of endpoints by those of a daemon's proxies."""
        if topic != _ENDPOINT_TOPIC or not client_host.startswith(self.network.prefix):
            return body
        links = self.network.endpoint_links(slot_of(client_host))
        return body.replace(self.network.endpoint_hosts.encode(), links.encode())

    def join_group(self, document: dict[str, Any]) -> Any:
        """Renew a member, drop lapsed ones and share the partitions among the others."""
        now = time.monotonic()
        with self._changed:
            self.lapses_at[document['member']] = now + document['ttl-ms'] / _MS_PER_S
            lapsed = {name for name, at in self.lapses_at.items() if at < now}
            self._set_members(self.lapses_at.keys() - lapsed)
        return super().join_group(document)

    def leave_group(self, member: str) -> Any:
        """Drop a member."""
        with self._changed:
            self._set_members(self.members - {member})
        return super().leave_group(member)

    def _set_members(self, members: set[str]) -> None:
        """Share the partitions anew if the members changed; few partitions move."""
        if members == self.members:
            return
        self.lapses_at = {name: self.lapses_at[name] for name in members}
        self.members = members
        self.generation += 1
        if not members:
            self.owner = {}
            return
        limit = -(-PARTITION_COUNT // len(members))
        counts = dict.fromkeys(sorted(members), 0)
        for partition in range(PARTITION_COUNT):
            owner = self.owner.get(partition, '')
            if counts.get(owner, limit) >= limit:
                owner = min(counts, key=counts.__getitem__)
            self.owner[partition] = owner
            counts[owner] += 1
