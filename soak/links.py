"""The store of a fleet, and the links to it and to the upstreams."""

from __future__ import annotations

import asyncio
import urllib.parse

from review import standins
from soak import processes
from soak import proxy

_STORE_LINK_PORT = 6
_UPSTREAM_PORT = 7
"""Ports of a host, counted from its first; the lower ones are taken."""


class Store(standins.Store):
    """A store that can be slow and that can forget its history.

    Attributes:
        transaction_s: Time that each transaction takes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.transaction_s = 0.0
        self._forgotten_version = -1

    def forget_history(self) -> None:
        """Forgets all changes up to now; feeds that need them get 410."""
        self._forgotten_version = self.version

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, dict]:
        if method == "POST":
            await asyncio.sleep(self.transaction_s)
        path, _, query = target.partition("?")
        if path == "/-/rows-feed":
            (after,) = urllib.parse.parse_qs(query)["after"]
            if int(after) < self._forgotten_version:
                return 410, {}
        return await super()._answer(method, target, body)


class Links:
    """Puts proxies before the store and the upstreams of all hosts.

    Attributes:
        store: The store.
        to_store: Links from the hosts to the store, by host.
        to_upstream: Links from the hosts to their upstreams, by host.
        store_lock: Held while a fault of the store is played.
        upstream_locks: Held while a fault of such a link is played, by host.
    """

    def __init__(self, fleet: processes.Hosts) -> None:
        """Changes the addresses of a fleet that has not started yet."""
        first = min(fleet.ports.values())
        self.store = fleet.store = Store()
        self.store_lock = asyncio.Lock()
        self.to_store: dict[int, proxy.Proxy] = {}
        self.to_upstream: dict[int, proxy.Proxy] = {}
        self.upstream_locks: dict[int, asyncio.Lock] = {}
        for host in fleet.hosts:
            number, store_address = host.number, host.store_address
            host.store_address = f"{host.ip}:{first + _STORE_LINK_PORT}"
            host.upstream_address = f"{host.ip}:{first + _UPSTREAM_PORT}"
            self.to_store[number] = proxy.Proxy(
                host.store_address, store_address
            )
            host.upstream_link = proxy.Proxy(host.app, host.upstream_address)
            self.to_upstream[number] = host.upstream_link
            self.upstream_locks[number] = asyncio.Lock()

    async def listen(self) -> None:
        """Opens the links to the store; those to upstreams follow these."""
        for link in self.to_store.values():
            await link.listen()

    async def heal_store(self) -> None:
        """Ends all faults of the store."""
        self.store.transaction_s = 0.0
        for link in self.to_store.values():
            link.set_mode(proxy.PASS)
            await link.listen()

    def close(self) -> None:
        """Closes all links."""
        for link in (*self.to_store.values(), *self.to_upstream.values()):
            link.close()
