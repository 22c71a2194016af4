"""Pool of persistent connections to this host's upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.python import failure

from cyclamendale import buffer_budget
from cyclamendale import clocks
from cyclamendale.fleet import settings
from cyclamendale.proxy import header_names
from cyclamendale.proxy import upstream_connection as connections

CONNECT_TIMEOUT_S = 1.0
"""Time-out of a connection attempt. The upstream is on the same host; one
that is out of connections drops the opening packet for a second."""

MAX_IDLE_S = 4.0
"""Maximum idle time after which a connection is reused. Known upstreams
close idle connections after 10 s, some sooner than they state."""

KEEP_ALIVE_SHARE = 0.7
"""Share of the stated keep-alive time that is used, so that a close by the
upstream does not cross a request."""

NON_IDEMPOTENT_MAX_IDLE_S = 2.0
"""Maximum idle time of a connection for a request that must not run twice:
if the connection turns out to be closed, it is unknown whether it ran."""


class Lease:
    """Lease of a connection for one request."""

    __slots__ = ("_connection", "_is_cancelled")

    def __init__(self) -> None:
        self._connection: connections.UpstreamConnection | None = None
        self._is_cancelled = False

    @property
    def is_cancelled(self) -> bool:
        """Returns whether the request was cancelled."""
        return self._is_cancelled

    @property
    def is_sent(self) -> bool:
        """Returns whether the request was written to a connection."""
        return self._connection is not None

    def attach(self, connection: connections.UpstreamConnection) -> None:
        """Sets the connection that carries the request."""
        self._connection = connection

    def cancel(self) -> None:
        """Aborts the request; its receiver is not called."""
        self._is_cancelled = True
        if self._connection is not None:
            self._connection.abort()


class UpstreamPool:
    """Pool of connections to one upstream process, used in LIFO order."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        header_names: header_names.HeaderNames,
        host: str,
        port: int,
        budget: buffer_budget.BufferBudget,
    ) -> None:
        self._budget = budget
        self._reactor = reactor
        self._clock = clock
        self._header_names = header_names
        self._host = host
        self._port = port
        self._idle: list[connections.UpstreamConnection] = []
        self._is_closed = False

    def send(
        self,
        encode_request: Callable[[], bytes | None],
        request_id: bytes,
        is_head_request: bool,
        idempotent: bool,
        receiver: connections.ResultReceiver,
    ) -> Lease:
        """Sends a request over an idle or a new connection.

        Args:
            encode_request: Encodes the request at the moment of sending;
                returns None if it may not be sent any more.
            request_id: Id that the response must echo.
            is_head_request: Whether it is a HEAD request, whose response has
                no body.
            idempotent: Whether the request may run more than once.
            receiver: Called once unless the lease is cancelled.
        """
        lease = Lease()

        def write(connection: connections.UpstreamConnection) -> None:
            data = None
            if not (lease.is_cancelled or self._is_closed):
                data = encode_request()
            if data is not None:
                lease.attach(connection)
                connection.send(data, request_id, is_head_request, receiver)
                return
            self._release(connection)
            if not lease.is_cancelled:
                receiver(connections.Failure.NOT_SENT)

        connection = self._acquire(idempotent, request_id)
        if connection is not None:
            write(connection)
            return lease

        def on_failed() -> None:
            if not lease.is_cancelled:
                receiver(connections.Failure.NOT_CONNECTED)

        self._connect(write, on_failed)
        return lease

    def close(self) -> None:
        """Closes idle connections now and the others after their request."""
        self._is_closed = True
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def _acquire(
        self, idempotent: bool, request_id: bytes
    ) -> connections.UpstreamConnection | None:
        now_s = self._clock.now_s()
        if not self._idle:
            return None
        idle_s = now_s - self._idle[-1].idle_since_s
        if idle_s > _max_idle_s(self._idle[-1]):
            # All connections below it have been idle longer.
            stale, self._idle = self._idle, []
            for stale_connection in stale:
                stale_connection.abort()
            return None
        if not idempotent and idle_s > NON_IDEMPOTENT_MAX_IDLE_S:
            return None
        if not self._idle[-1].may_carry(request_id):
            return None
        return self._idle.pop()

    def _release(self, connection: connections.UpstreamConnection) -> None:
        if self._is_closed:
            connection.abort()
            return
        connection.idle_since_s = self._clock.now_s()
        self._idle.append(connection)
        if connection.idle_since_s - self._idle[0].idle_since_s > (
            _max_idle_s(self._idle[0])
        ):
            self._idle.pop(0).abort()

    def _discard(self, connection: connections.UpstreamConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)

    def _connect(
        self,
        on_open: Callable[[connections.UpstreamConnection], None],
        on_failed: Callable[[], None],
    ) -> None:
        factory = _ConnectFactory(
            lambda: connections.UpstreamConnection(
                self._header_names,
                on_open,
                self._release,
                self._discard,
                self._budget,
            ),
            on_failed,
        )
        self._reactor.connectTCP(
            self._host, self._port, factory, timeout=CONNECT_TIMEOUT_S
        )


class _ConnectFactory(protocol.ClientFactory):
    """Opens one connection and does not reconnect."""

    noisy = False

    def __init__(
        self,
        make_connection: Callable[[], connections.UpstreamConnection],
        on_failed: Callable[[], None],
    ) -> None:
        self._make_connection: (
            Callable[[], connections.UpstreamConnection] | None
        ) = make_connection
        self._on_failed: Callable[[], None] | None = on_failed

    def buildProtocol(self, addr: Any) -> protocol.Protocol | None:
        # The callbacks hold the request, the factory lives as long as the
        # connection.
        make_connection, self._make_connection = self._make_connection, None
        self._on_failed = None
        return make_connection() if make_connection is not None else None

    def clientConnectionFailed(
        self, connector: Any, reason: failure.Failure
    ) -> None:
        on_failed, self._on_failed = self._on_failed, None
        if on_failed is not None:
            on_failed()


def _max_idle_s(connection: connections.UpstreamConnection) -> float:
    if connection.keep_alive_s is None:
        return MAX_IDLE_S
    return min(MAX_IDLE_S, connection.keep_alive_s * KEEP_ALIVE_SHARE)


def make_upstream_pool(
    reactor: Any,
    clock: clocks.Clock,
    header_names: header_names.HeaderNames,
    budget: buffer_budget.BufferBudget,
    address: str,
) -> UpstreamPool:
    """Returns a pool without open connections.

    Args:
        reactor: The twisted reactor.
        clock: Clock for idle times.
        header_names: Header names of the upstream.
        budget: Memory for the bodies of responses.
        address: Address the upstream listens on, `ip:port`.
    """
    host, port = settings.split_address(address)
    return UpstreamPool(reactor, clock, header_names, host, port, budget)
