"""A deployment whose stores reach each other through proxies, so that their connections can be reset.

A node finds another store at that one's IP address and its own InternalPorts. Each store has internal ports of its own
here; what stands at that address and those ports is a proxy that knows the caller.
"""

from __future__ import annotations

import asyncio
import contextlib

from tests.soak.deployment import System

STORES = ("store-1", "store-2", "store-3")
PORTS_A_STORE = 16
CHUNK_BYTES = 1 << 16


class Link:
    """Passes bytes between a caller and a store, or resets its connections and refuses new ones."""

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.listen, self.target = listen, target
        self.is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, *self.listen)

    def close(self) -> None:
        """Ends it."""
        if self._server is not None:
            self._server.close()
        self.cut()

    def cut(self) -> None:
        """Resets all connections, and refuses new ones until `is_cut` is taken back."""
        self.is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_writer = None
        if not self.is_cut:
            with contextlib.suppress(OSError):
                far_reader, far_writer = await asyncio.open_connection(*self.target)
        if far_writer is None:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        ways = [
            asyncio.ensure_future(_copy(reader, far_writer)),
            asyncio.ensure_future(_copy(far_reader, writer)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._writers -= {writer, far_writer}
            for way in ways:
                way.cancel()
            writer.transport.abort()
            far_writer.transport.abort()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()


class LinkedSystem(System):
    """A system with a proxy for each caller of each store."""

    def _first_port(self, name: str) -> int:
        """The first internal port of a machine."""
        number = STORES.index(name) + 1 if name in STORES else 0
        return self.internal_port + PORTS_A_STORE * number

    def ports_needed(self) -> int:
        """Returns how many internal ports are used from the first on."""
        return PORTS_A_STORE * (len(STORES) + 1)

    def settings_of(self, name: str, settings: dict) -> dict:
        """Gives each store its own internal ports."""
        first = self._first_port(name)
        return {**settings, "InternalPorts": [first, first + PORTS_A_STORE - 1]}

    async def open_links(self) -> None:
        """Opens the proxies: to stores from edges and from each other store, and from stores to control nodes."""
        self.links: dict[tuple[str, str], Link] = {}
        for number, store in enumerate(STORES, 1):
            ip, own = f"{self.net}.1.{number}", self._first_port(store)
            for caller in ("edges", *STORES):
                if caller != store:
                    self.links[caller, store] = Link((ip, self._first_port(caller) + 1), (ip, own + 1))
            for control in (1, 2, 3):
                control_ip = f"{self.net}.0.{control}"
                self.links[store, f"core-{control}"] = Link((control_ip, own), (control_ip, self.internal_port))
        for link in self.links.values():
            await link.open()

    def links_between_stores(self, store: str) -> list[Link]:
        """Returns the links of one store with the other stores, in both directions."""
        return [link for ends, link in self.links.items() if store in ends and set(ends) <= set(STORES)]

    def end(self) -> None:
        """Ends the proxies and all processes."""
        for link in self.links.values():
            link.close()
        super().end()
