"""The listening TCP ports of a node."""

from __future__ import annotations

from typing import Any

from twisted.internet import defer

from cyclamendale.fleet import settings
from cyclamendale.peer import thrift_network


class Listeners:
    """Opens listening ports and closes all of them."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._ports: list[Any] = []

    def open(self, address: str, factory: Any) -> Any:
        """Listens at an address; returns the port.

        Raises:
            CannotListenError: The address can't be used.
        """
        ip, number = settings.split_address(address)
        port = self._reactor.listenTCP(
            number,
            factory,
            interface=ip,
            backlog=thrift_network.ACCEPT_BACKLOG,
        )
        self._ports.append(port)
        return port

    def close(self) -> list[defer.Deferred[Any]]:
        """Stops to listen; the Deferreds fire when the ports are free."""
        ports, self._ports = self._ports, []
        return [defer.maybeDeferred(port.stopListening) for port in ports]
