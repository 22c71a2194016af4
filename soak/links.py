"""The links of a fleet to the store and to the upstreams."""

from __future__ import annotations

import asyncio

from soak import processes
from soak import proxy

_STORE_LINK_PORT = 6
_UPSTREAM_PORT = 7
"""Ports of a host, counted from its first; the lower ones are taken."""


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
        self.store = fleet.store
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
