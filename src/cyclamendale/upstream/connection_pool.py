"""Warm connections to the node's own upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from cyclamendale.upstream import http_connection

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 64

ConnectionUser = Callable[["http_connection.UpstreamConnection | None"], None]
"""Called with an idle connection, or None when connecting failed."""


class ConnectionPool:
    """Keeps idle connections and opens new ones as needed.

    Attributes:
        failed_connects: Connects that failed in a row.
    """

    def __init__(self, reactor: Any, address: str) -> None:
        self._reactor = reactor
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[http_connection.UpstreamConnection] = []
        self._open: set[http_connection.UpstreamConnection] = set()
        self._is_closed = False
        self.failed_connects = 0

    def acquire(self, user: ConnectionUser) -> None:
        """Calls `user` with a connection, at once when one is idle."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                user(connection)
                return
            connection.abort()
        factory = _Factory(self.release, self._closed, self._opened, user)
        factory.failed = self._connect_failed
        self._reactor.connectTCP(
            self._host, self._port, factory, timeout=CONNECT_TIMEOUT_S
        )

    def close(self) -> None:
        """Closes idle connections; those in use close when they end."""
        self._is_closed = True
        for connection in self._idle:
            connection.transport.loseConnection()
        self._idle.clear()

    def release(self, connection: http_connection.UpstreamConnection) -> None:
        """Takes a connection back that carries no request."""
        if self._is_closed or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.transport.loseConnection()
        else:
            self._idle.append(connection)

    def _opened(self, connection: http_connection.UpstreamConnection) -> None:
        self.failed_connects = 0
        self._open.add(connection)

    def _connect_failed(self, user: ConnectionUser) -> None:
        self.failed_connects += 1
        user(None)

    def _closed(self, connection: http_connection.UpstreamConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)


class _Factory(protocol.ClientFactory):
    """Opens one connection for one user."""

    noisy = False

    def __init__(
        self,
        on_idle: Callable[[http_connection.UpstreamConnection], None],
        on_closed: Callable[[http_connection.UpstreamConnection], None],
        on_opened: Callable[[http_connection.UpstreamConnection], None],
        user: ConnectionUser,
    ) -> None:
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._on_opened = on_opened
        self._user = user
        self.failed: Callable[[ConnectionUser], None] = lambda user: None

    def buildProtocol(self, addr: Any) -> http_connection.UpstreamConnection:
        connection = _AnnouncingConnection(self._on_idle, self._on_closed)
        connection.on_made = self._made
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.failed(self._user)

    def _made(self, connection: http_connection.UpstreamConnection) -> None:
        self._on_opened(connection)
        self._user(connection)


class _AnnouncingConnection(http_connection.UpstreamConnection):
    """A connection that reports when it is established."""

    on_made: Callable[[http_connection.UpstreamConnection], None]

    def connectionMade(self) -> None:
        super().connectionMade()
        self.on_made(self)
