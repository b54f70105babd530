"""A TCP proxy on loopback addresses, which delays, limits, silences or cuts connections."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
from collections.abc import Coroutine, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Self

_READ_BYTES = 65_536
_SILENCE_POLL_S = 0.02
_REFUSAL_POLL_S = 0.05
_LINGER_RESET = struct.pack('ii', 1, 0)
"""Closing a socket with this option sends RST."""

_FILL_POLL_S = 0.02
_MAX_FILLERS = 8


class CutForm(StrEnum):
    """What happens to connections while a link is cut.

    Attributes
    ----------
    RESET : str
        Open ones are reset, new ones are refused.
    HANG : str
        Nothing is passed on in open ones, new ones aren't answered.
    LIVE : str
        Open ones go on, new ones are refused.
    """

    RESET = 'reset'
    HANG = 'hang'
    LIVE = 'live'


@dataclass(slots=True)
class LinkFaults:
    """Faults of a link's connections, old and new ones.

    Attributes
    ----------
    delay_s : float
        Time by which all bytes are delayed.
    bytes_per_s : float
        Limit of the rate; 0 means none.
    is_request_cut, is_response_cut : bool
        Whether nothing is passed on in one direction; it follows once this ends.
    close_after_bytes : int
        A connection is closed once this many bytes of responses were passed on; 0 means
        never.
    """

    delay_s: float = 0
    bytes_per_s: float = 0
    is_request_cut: bool = False
    is_response_cut: bool = False
    close_after_bytes: int = 0

    def set_silent(self, *, is_silent: bool) -> None:
        """Pass nothing on in both directions, or end that."""
        self.is_request_cut = is_silent
        self.is_response_cut = is_silent

    def is_cut(self, *, is_request: bool) -> bool:
        """Return whether nothing is passed on in a direction."""
        return self.is_request_cut if is_request else self.is_response_cut


@dataclass(slots=True)
class Link:
    """The connections from one address to another; refused while the target refuses them.

    Attributes
    ----------
    source : str
        Host from which connections to the target are opened; empty for any.
    """

    address: tuple[str, int]
    target: tuple[str, int]
    source: str
    faults: LinkFaults = field(default_factory=LinkFaults)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None
    is_cut: bool = False
    blockers: list[socket.socket] = field(default_factory=list)

    async def listen(self) -> None:
        """Accept connections, unless the link is cut."""
        if self.server is None and not self.is_cut:
            self.server = await asyncio.start_server(self.serve, *self.address)

    async def cut(self, form: CutForm) -> None:
        """Cut the link until `mend`."""
        self.is_cut = True
        server, self.server = self.server, None
        if server is not None:
            server.close()
        if form is CutForm.RESET:
            self.reset()
        if form is CutForm.HANG:
            self.faults.set_silent(is_silent=True)
            await self.block()

    async def mend(self) -> None:
        """Accept connections again, and pass on what was held."""
        self.is_cut = False
        for blocker in self.blockers:
            blocker.close()
        self.blockers.clear()
        self.faults.set_silent(is_silent=False)
        await self.listen()

    async def block(self) -> None:
        """Leave new connections unanswered: a listener whose queue is full drops them."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(0)
        self.blockers.append(listener)
        for _ in range(_MAX_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.blockers.append(filler)
        await asyncio.sleep(_FILL_POLL_S)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass on one connection in both directions."""
        local = (self.source, 0) if self.source else None
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target, local_addr=local
            )
        except OSError:
            _reset(writer)
            await self.refuse()
            return
        both = (writer, target_writer)
        self.writers.update(both)
        try:
            await asyncio.gather(
                self.pump(reader, target_writer, is_request=True),
                self.pump(target_reader, writer, is_request=False),
            )
        except OSError:
            for broken in both:
                _reset(broken)
        finally:
            self.writers.difference_update(both)
            for done in both:
                done.close()

    async def refuse(self) -> None:
        """Refuse connections until the target accepts one."""
        server, self.server = self.server, None
        if server is None:
            return
        server.close()
        while not await self.is_target_listening():
            await asyncio.sleep(_REFUSAL_POLL_S)
        await self.listen()

    async def is_target_listening(self) -> bool:
        """Return whether the target accepts a connection."""
        try:
            _, writer = await asyncio.open_connection(*self.target)
        except OSError:
            return False
        writer.close()
        return True

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        """Pass on one direction until its end."""
        passed = 0
        while part := await reader.read(_READ_BYTES):
            await self.hold(len(part), is_request=is_request)
            limit = 0 if is_request else self.faults.close_after_bytes
            if limit and passed + len(part) > limit:
                writer.write(part[: max(0, limit - passed)])
                raise ConnectionAbortedError('closed in the middle')
            writer.write(part)
            passed += len(part)
            await writer.drain()
        await self.hold(0, is_request=is_request)
        if writer.can_write_eof():
            writer.write_eof()

    async def hold(self, count: int, *, is_request: bool) -> None:
        """Wait as long as the faults delay some bytes."""
        faults = self.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.bytes_per_s:
            await asyncio.sleep(count / faults.bytes_per_s)
        while faults.is_cut(is_request=is_request):
            await asyncio.sleep(_SILENCE_POLL_S)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self.writers):
            _reset(writer)


class ProxyRole:
    """Context manager that serves links by their names, in an event loop of its own."""

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def __enter__(self) -> Self:
        """Start the event loop."""
        self.thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End all connections and stop the event loop."""
        self._run(_cancel_others())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def open_links(self, links: dict[str, list[Any]]) -> None:
        """Listen for links by name: host and port, target's host and port, source."""
        for name, (host, port, target_host, target_port, source) in links.items():
            link = Link((host, port), (target_host, target_port), source)
            self.links[name] = link
            self._run(link.listen())

    def configure(self, names: list[str], **faults: Any) -> None:
        """Set faults of links, such as ``delay_s``."""
        for name in names:
            for fault, setting in faults.items():
                setattr(self.links[name].faults, fault, setting)

    def cut(self, names: list[str], form: str) -> None:
        """Cut links in a form of `CutForm`, all at the same moment."""
        cuts = (self.links[name].cut(CutForm(form)) for name in names)
        self._run(_gather(cuts))

    def mend(self, names: list[str]) -> None:
        """End the cut of links."""
        self._run(_gather(self.links[name].mend() for name in names))

    def reset(self, names: list[str]) -> None:
        """Reset the connections of links."""
        for name in names:
            self.loop.call_soon_threadsafe(self.links[name].reset)

    def _run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


async def _gather(coroutines: Iterable[Coroutine[Any, Any, None]]) -> None:
    await asyncio.gather(*coroutines)


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info('socket')
    with suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    writer.transport.abort()
