"""Order of the tokens of an engine's response that go to the caller."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from pimentohoist.models import AdapterVersion, TokenChunk


class ChunkVerdict(Enum):
    """Whether a received token is passed on, or why not."""

    PASS = 'pass'
    REPEATED = 'repeated'
    FOREIGN = 'foreign'
    GAP = 'gap'


@dataclass(frozen=True, slots=True)
class TokenOrder:
    """Tokens of one request's response that were passed on so far.

    Attributes
    ----------
    adapter : AdapterVersion
        Adapter and version that the response must name.
    next_offset : int
        Offset of the first token not yet passed on; where a retry resumes.
    is_finished : bool
        Whether the last token was passed on.
    """

    adapter: AdapterVersion
    next_offset: int = 0
    is_finished: bool = False

    def check(self, chunk: TokenChunk, request_id: str) -> ChunkVerdict:
        """Return what to do with a token received on the attempt `request_id`."""
        if (chunk.request_id, chunk.adapter) != (request_id, self.adapter):
            return ChunkVerdict.FOREIGN
        if self.is_finished or chunk.offset < self.next_offset:
            return ChunkVerdict.REPEATED
        return (
            ChunkVerdict.PASS if chunk.offset == self.next_offset else ChunkVerdict.GAP
        )

    def after(self, chunk: TokenChunk) -> TokenOrder:
        """Return the order with `chunk` passed on."""
        return TokenOrder(
            self.adapter, chunk.offset + 1, chunk.finish_reason is not None
        )
