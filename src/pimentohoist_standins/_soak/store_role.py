"""The platform's store as a process of the soak."""

from __future__ import annotations

from typing import Any

from pimentohoist_standins._soak.addresses import SERVICE_PORT, Network, slot_of
from pimentohoist_standins.keyed_store import KeyedStore

_ENDPOINT_TOPIC = 'keyed.servers'


class StoreRole(KeyedStore):
    """A store that shows each daemon its own endpoint proxies."""

    def __init__(self, prefix: str) -> None:
        self.network = Network(prefix)
        super().__init__((self.network.store, SERVICE_PORT))
        self.era = 1

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
