"""Pool of persistent connections to the node's own upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from cyclamendale.upstream import http_connection

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 64

ConnectionCallback = Callable[
    ["http_connection.UpstreamConnection | None"], None
]
"""Called with an idle connection, or None if connecting failed."""


class ConnectionPool:
    """Keeps idle connections and opens new ones as needed.

    Attributes:
        consecutive_connect_failures: Connect attempts that failed since the
            last successful one.
    """

    def __init__(self, reactor: Any, address: str) -> None:
        self._reactor = reactor
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[http_connection.UpstreamConnection] = []
        self._open_connections: set[http_connection.UpstreamConnection] = set()
        self._is_closed = False
        self.consecutive_connect_failures = 0

    def acquire(self, callback: ConnectionCallback) -> None:
        """Calls `callback` with a connection, immediately if one is idle."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                callback(connection)
                return
            connection.abort()
        factory = _Factory(
            self.release,
            self._connection_closed,
            self._connection_opened,
            callback,
        )
        factory.on_failed = self._connect_failed
        self._reactor.connectTCP(
            self._host, self._port, factory, timeout=CONNECT_TIMEOUT_S
        )

    def close(self) -> None:
        """Closes idle connections now and those in use on their release."""
        self._is_closed = True
        for connection in self._idle:
            connection.transport.loseConnection()
        self._idle.clear()

    def release(self, connection: http_connection.UpstreamConnection) -> None:
        """Returns a connection that carries no request to the pool."""
        if self._is_closed or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.transport.loseConnection()
        else:
            self._idle.append(connection)

    def _connection_opened(
        self, connection: http_connection.UpstreamConnection
    ) -> None:
        self.consecutive_connect_failures = 0
        self._open_connections.add(connection)

    def _connect_failed(self, callback: ConnectionCallback) -> None:
        self.consecutive_connect_failures += 1
        callback(None)

    def _connection_closed(
        self, connection: http_connection.UpstreamConnection
    ) -> None:
        self._open_connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)


class _Factory(protocol.ClientFactory):
    """Opens one connection for one call of `acquire`."""

    noisy = False

    def __init__(
        self,
        on_idle: Callable[[http_connection.UpstreamConnection], None],
        on_closed: Callable[[http_connection.UpstreamConnection], None],
        on_opened: Callable[[http_connection.UpstreamConnection], None],
        callback: ConnectionCallback,
    ) -> None:
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._on_opened = on_opened
        self._callback = callback
        self.on_failed: Callable[[ConnectionCallback], None] = lambda _: None

    def buildProtocol(self, addr: Any) -> http_connection.UpstreamConnection:
        connection = _NotifyingConnection(self._on_idle, self._on_closed)
        connection.on_established = self._established
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.on_failed(self._callback)

    def _established(
        self, connection: http_connection.UpstreamConnection
    ) -> None:
        self._on_opened(connection)
        self._callback(connection)


class _NotifyingConnection(http_connection.UpstreamConnection):
    """Connection that reports when it is established."""

    on_established: Callable[[http_connection.UpstreamConnection], None]

    def connectionMade(self) -> None:
        super().connectionMade()
        self.on_established(self)
