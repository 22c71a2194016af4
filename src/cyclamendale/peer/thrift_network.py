"""Peer network over persistent TCP connections."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure

from cyclamendale import buffer_budget
from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale.peer import codec
from cyclamendale.peer import connection as connections
from cyclamendale.peer import kinds
from cyclamendale.peer import network

CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.2
"""Delay before the next attempt to connect to a peer after a failure.

Requests to the peer fail immediately during this time."""

CLOSE_TIMEOUT_S = 1.0
"""Maximum time that `close` waits for written data to be sent."""

ACCEPT_BACKLOG = 1024
"""Connections that may wait to be accepted. Beyond it, SYN packets are dropped
and retransmitted only seconds later."""

MAX_WAITING_FOR_CONNECT = 1024
"""Maximum number of requests per peer that wait for a connection."""

ConnectionCallback = Callable[["connections.PeerConnection | None"], None]
"""Called with an open connection, or None if there is none."""

RawHandler = Callable[[connections.PeerConnection, int, bytes], None]
"""Called with the connection, call id and payload of a request."""


class _PeerLink:
    """State of the outgoing connection to one peer."""

    def __init__(self) -> None:
        self.connection: connections.PeerConnection | None = None
        self.is_connecting = False
        self.retry_at_s = 0.0
        self.waiting_callbacks: list[ConnectionCallback] = []


class ThriftPeerNetwork(network.PeerNetwork):
    """Sends requests and calls over one connection per peer."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        secret: bytes,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        hlc: events.HybridLogicalClock | None = None,
        max_frame_bytes: int = connections.MAX_FRAME_BYTES,
        budget: buffer_budget.BufferBudget | None = None,
    ) -> None:
        self._budget = budget or buffer_budget.BufferBudget()
        self._max_frame_bytes = max_frame_bytes
        self._reactor = reactor
        self._hlc = hlc or events.HybridLogicalClock(clock)
        self._connect_timeout_s = connect_timeout_s
        self._clock = clock
        self._secret = secret
        self._links: dict[ids.PeerAddress, _PeerLink] = {}
        self._handlers: dict[int, RawHandler] = {}
        self._accepted: set[connections.PeerConnection] = set()
        self._detached: set[connections.PeerConnection] = set()
        self._port: Any = None

    def listen(self, interface: str, port: int) -> int:
        """Starts listening and returns the port number."""
        factory = protocol.Factory.forProtocol(self._make_acceptor)
        factory.noisy = False
        self._port = self._reactor.listenTCP(
            port, factory, interface=interface, backlog=ACCEPT_BACKLOG
        )
        return self._port.getHost().port

    def close(self) -> defer.Deferred[Any]:
        """Stops listening and closes all connections.

        Returns:
            A Deferred that fires when all written data is sent, or after
            `CLOSE_TIMEOUT_S`.
        """
        closing = self._connections()
        closed = [connection.close() for connection in closing]
        if self._port is not None:
            closed.append(defer.maybeDeferred(self._port.stopListening))
        timer = self._clock.call_later(
            CLOSE_TIMEOUT_S, _abort_all, tuple(closing)
        )
        return defer.gatherResults(closed).addCallback(
            lambda _: timer.cancel() if timer.active() else None
        )

    @property
    def unsent_bytes(self) -> int:
        """Returns the size of the written data that is not sent yet."""
        return sum(
            connection.unsent_bytes for connection in self._connections()
        )

    def with_connection(
        self, peer: ids.PeerAddress, callback: ConnectionCallback
    ) -> None:
        """Calls `callback` with an open connection to `peer`, or with None.

        The call is synchronous if the connection is already open.
        """
        link = self._links.get(peer)
        if link is None:
            link = self._links[peer] = _PeerLink()
        if link.connection is not None:
            callback(link.connection)
            return
        now_s = self._clock.now_s()
        if len(link.waiting_callbacks) >= MAX_WAITING_FOR_CONNECT:
            callback(None)
        elif link.is_connecting:
            link.waiting_callbacks.append(callback)
        elif now_s < link.retry_at_s:
            callback(None)
        else:
            link.waiting_callbacks.append(callback)
            self._connect(peer, link)

    def detach_connection(
        self, peer: ids.PeerAddress
    ) -> connections.PeerConnection | None:
        """Removes the connection to a peer; later requests open a new one.

        Returns:
            The open connection, which the caller aborts, or None.
        """
        link = self._links.get(peer)
        if link is None or link.connection is None:
            return None
        connection, link.connection = link.connection, None
        self._detached.add(connection)
        return connection

    def discard_idle_connection(self, peer: ids.PeerAddress) -> bool:
        """Closes the connection to a peer unless requests wait on it.

        Whoever sent these finds out whether the connection has gone silent,
        and knows whether their runs may be given up.

        Returns:
            Whether there was such a connection; the next request opens one.
        """
        link = self._links.get(peer)
        if link is None or link.connection is None:
            return False
        if link.connection.has_pending_requests:
            return False
        connection = self.detach_connection(peer)
        assert connection is not None
        connection.abort()
        return True

    def serve_raw(self, kind: kinds.MessageKind, handler: RawHandler) -> None:
        """Registers a handler that decodes requests and replies itself."""
        self._handlers[kind] = handler

    def serve(
        self,
        kind: kinds.MessageKind,
        message_type: type[network.ThriftStruct],
        handler: network.Handler,
    ) -> None:
        """See base class."""

        def handle(
            connection: connections.PeerConnection,
            call_id: int,
            payload: bytes,
        ) -> None:
            try:
                message = codec.decode(message_type, payload)
            except codec.DecodeError:
                connection.reject(kind, call_id)
                return
            handled = defer.maybeDeferred(handler, message)
            handled.addCallbacks(
                lambda result: connection.reply(
                    kind, call_id, codec.encode(result)
                ),
                lambda _: connection.reject(kind, call_id),
            )

        self._handlers[kind] = handle

    def request(
        self,
        peer: ids.PeerAddress,
        kind: kinds.MessageKind,
        message: network.ThriftStruct,
        reply_type: type[network.ThriftStruct],
        timeout_s: float,
    ) -> defer.Deferred[Result[Any, network.PeerError]]:
        """See base class."""
        pending = _PendingRequest(peer, kind, reply_type)
        pending.timer = self._clock.call_later(timeout_s, pending.expire)
        payload = codec.encode(message)
        self.with_connection(
            peer, lambda connection: pending.send(connection, payload)
        )
        return pending.result

    def _connections(self) -> set[connections.PeerConnection]:
        initiated = {
            link.connection
            for link in self._links.values()
            if link.connection is not None
        }
        return initiated | self._accepted | self._detached

    def _make_acceptor(self) -> connections.PeerConnection:
        return connections.PeerConnection(
            self._secret,
            False,
            self._dispatch,
            self._accepted.add,
            self._accepted.discard,
            self._clock.call_later,
            self._hlc,
            self._max_frame_bytes,
            self._budget,
        )

    def _dispatch(
        self,
        connection: connections.PeerConnection,
        kind: int,
        call_id: int,
        payload: bytes,
    ) -> None:
        handler = self._handlers.get(kind)
        if handler is None:
            connection.reject(kind, call_id)
        else:
            handler(connection, call_id, payload)

    def _connect(self, peer: ids.PeerAddress, link: _PeerLink) -> None:
        link.is_connecting = True

        def on_open(connection: connections.PeerConnection) -> None:
            link.is_connecting = False
            link.connection = connection
            callbacks, link.waiting_callbacks = link.waiting_callbacks, []
            for callback in callbacks:
                callback(connection)

        def on_closed(connection: connections.PeerConnection) -> None:
            if connection in self._detached:
                self._detached.discard(connection)
            elif link.connection is connection:
                link.connection = None
            elif link.is_connecting:
                on_failed(None)

        def on_failed(_reason: failure.Failure | None) -> None:
            link.is_connecting = False
            link.retry_at_s = self._clock.now_s() + RECONNECT_DELAY_S
            callbacks, link.waiting_callbacks = link.waiting_callbacks, []
            for callback in callbacks:
                callback(None)

        factory = _ConnectFactory(
            lambda: connections.PeerConnection(
                self._secret,
                True,
                self._dispatch,
                on_open,
                on_closed,
                self._clock.call_later,
                self._hlc,
                self._max_frame_bytes,
                self._budget,
            ),
            on_failed,
        )
        host, _, port = peer.rpartition(":")
        self._reactor.connectTCP(
            host, int(port), factory, timeout=self._connect_timeout_s
        )


def _abort_all(closing: Iterable[connections.PeerConnection]) -> None:
    for connection in closing:
        connection.abort()


class _ConnectFactory(protocol.ClientFactory):
    """Builds the initiating end of one connection."""

    noisy = False

    def __init__(
        self,
        make_connection: Callable[[], connections.PeerConnection],
        on_failed: Callable[[failure.Failure | None], None],
    ) -> None:
        self._make_connection = make_connection
        self._on_failed = on_failed

    def buildProtocol(self, addr: Any) -> connections.PeerConnection:
        return self._make_connection()

    def clientConnectionFailed(
        self, connector: Any, reason: failure.Failure
    ) -> None:
        self._on_failed(reason)


class _PendingRequest:
    """Request that waits for its connection, its reply or its timeout."""

    def __init__(
        self,
        peer: ids.PeerAddress,
        kind: kinds.MessageKind,
        reply_type: type[network.ThriftStruct],
    ) -> None:
        self.result: defer.Deferred[Result[Any, network.PeerError]] = (
            defer.Deferred()
        )
        self.timer: clocks.DelayedCall | None = None
        self._peer = peer
        self._kind = kind
        self._reply_type = reply_type
        self._connection: connections.PeerConnection | None = None
        self._call_id = 0

    def send(
        self, connection: connections.PeerConnection | None, payload: bytes
    ) -> None:
        if self.result.called:
            return
        if connection is None:
            self._fail(network.PeerErrorKind.UNREACHABLE)
            return
        self._connection = connection
        self._call_id = connection.next_call_id()
        connection.request(self._kind, self._call_id, payload, self._on_reply)

    def expire(self) -> None:
        if self._connection is None:
            self._fail(network.PeerErrorKind.UNREACHABLE)
        else:
            self._connection.ignore_reply(self._kind, self._call_id)
            self._fail(network.PeerErrorKind.TIMEOUT)

    def _on_reply(self, reply: bytes | network.PeerErrorKind) -> None:
        if isinstance(reply, network.PeerErrorKind):
            self._fail(reply)
            return
        try:
            message = codec.decode(self._reply_type, reply)
        except codec.DecodeError:
            self._fail(network.PeerErrorKind.REJECTED)
            return
        self._finish(Ok(message))

    def _fail(self, kind: network.PeerErrorKind) -> None:
        self._finish(Error(network.PeerError(kind, self._peer)))

    def _finish(self, result: Result[Any, network.PeerError]) -> None:
        clocks.cancel(self.timer)
        self.result.callback(result)
