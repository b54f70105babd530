"""How the landing at 42e3788 decodes what daemons append and send, for tests.

Both builds run side by side while machines are replaced.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

HEARTBEAT_FIELDS = 24
RECORD = '{"era": 0, "groups": {"models": {"v1": ["00f1c4ad09e2b7a3"]}}}'
_HEARTBEAT = (
    '["127.0.0.2:8002", "ab12", "tbs-a", "127.0.0.2:8000", true, 3, 0, 7, [0, 1],'
    ' {}, {}, {}, [], [], 0.2, 1, [], [], [], 5, [], [], [], {"models": ["v1", "v2"]}]'
)


def decode_streams(body: bytes) -> tuple[int, list[tuple[str, str, str]]]:
    """Return the era, and the group, version and name of each stream."""
    document = json.loads(body)
    return int(document['era']), list(_streams(document['groups']))


def heartbeat_values() -> list[Any]:
    """Return a heartbeat, as sent in a datagram."""
    return json.loads(_HEARTBEAT)


def _streams(groups: Any) -> Iterator[tuple[str, str, str]]:
    for group, versions in groups.items():
        for version, streams in versions.items():
            assert all(isinstance(stream, str) for stream in streams), streams
            yield from ((group, version, stream) for stream in streams)
