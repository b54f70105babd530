"""Status and headers of an endpoint's response."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from enum import StrEnum


class Framing(StrEnum):
    """What tells the end of a response's body."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION_END = 'connection end'


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an endpoint's response, and how its body is framed."""

    status: int
    reason: str
    headers: http.client.HTTPMessage
    framing: Framing


def framing_of(response: http.client.HTTPResponse) -> Framing:
    """Return what tells the end of a response's body."""
    if response.chunked:
        return Framing.CHUNKS
    return Framing.CONNECTION_END if response.length is None else Framing.LENGTH
