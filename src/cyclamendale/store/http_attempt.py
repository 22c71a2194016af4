"""Sends single HTTP requests and classifies their failures."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import enum
import io
import socket
from typing import Any, TypeAlias

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import abstract
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error as internet_error
from twisted.internet import interfaces
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer  # type: ignore[import-untyped]

from cyclamendale import clocks
from cyclamendale import http_pool
from cyclamendale.store import faults

KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 1
"""A connection that goes silent without a reset is closed after two seconds,
however long the request on it may wait; shorter times don't exist in TCP."""


class AttemptFailure(enum.Enum):
    """Why a request got no response."""

    NOT_SENT = "not-sent"
    """No byte of the request reached the platform."""
    LOST = "lost"
    """The request may have taken effect."""


class HttpResponse(msgspec.Struct, frozen=True):
    """Complete HTTP response."""

    status: int
    body: bytes


SendOperation: TypeAlias = Callable[
    [faults.Operation, str, str, bytes | None],
    Awaitable[Result[HttpResponse, AttemptFailure]],
]
"""Sends an operation, given its HTTP method, path and body."""


@implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    """Connects to IP addresses without the resolver and its threads."""

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: client.URI) -> Any:
        host = uri.host.decode()
        endpoint_type: Any = endpoints.HostnameEndpoint
        if abstract.isIPAddress(host):
            endpoint_type = endpoints.TCP4ClientEndpoint
        return _KeepAliveEndpoint(
            endpoint_type(
                self._reactor, host, uri.port, timeout=self._timeout_s
            )
        )


@implementer(interfaces.IStreamClientEndpoint)
class _KeepAliveEndpoint:
    """Enables TCP keep-alive on the connections of another endpoint."""

    def __init__(self, endpoint: Any) -> None:
        self._endpoint = endpoint

    def connect(self, factory: Any) -> Any:
        return self._endpoint.connect(factory).addCallback(_enable_keep_alive)


def _enable_keep_alive(connected: Any) -> Any:
    connected.transport.setTcpKeepAlive(True)
    handle = connected.transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
    return connected


class Sender:
    """Sends each request once, over a pool of persistent connections."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        base_url: str,
        timeout_s: float,
        connect_timeout_s: float,
        max_connections: int,
    ) -> None:
        self._clock = clock
        self._pending: set[defer.Deferred[Any]] = set()
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = http_pool.make_http_pool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = max_connections
        self._agent = client.Agent.usingEndpointFactory(
            reactor,
            _EndpointFactory(reactor, connect_timeout_s),
            pool=self._pool,
        )

    async def send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        wait_s: float = 0.0,
    ) -> Result[HttpResponse, AttemptFailure]:
        """Sends a request once and reads the complete response.

        Args:
            method: HTTP method.
            path: Path and query.
            body: The body, if any.
            wait_s: How long the server may wait before it answers, besides
                the time-out.
        """
        pending = defer.Deferred.fromCoroutine(
            self._send_request(method, path, body)
        )

        def time_out() -> None:
            # The others may have gone silent with this one.
            self._pool.closeCachedConnections()
            pending.cancel()

        timer = self._clock.call_later(self._timeout_s + wait_s, time_out)
        self._pending.add(pending)
        try:
            return Ok(await pending)
        except (
            internet_error.ConnectError,
            internet_error.ConnectingCancelledError,
            client.RequestNotSent,
        ):
            # Raised before a connection was established.
            return Error(AttemptFailure.NOT_SENT)
        except (
            defer.CancelledError,
            internet_error.ConnectionClosed,
            client.ResponseFailed,
            client.RequestTransmissionFailed,
            client.RequestGenerationFailed,
            client.PartialDownloadError,
        ):
            return Error(AttemptFailure.LOST)
        finally:
            self._pending.discard(pending)
            if timer.active():
                timer.cancel()

    def move(self, base_url: str) -> None:
        """Sends all further requests elsewhere and gives up those in flight."""
        self._base_url = base_url.rstrip("/")
        self._pool.closeCachedConnections()
        for pending in tuple(self._pending):
            pending.cancel()

    async def _send_request(
        self, method: str, path: str, body: bytes | None
    ) -> HttpResponse:
        headers = http_headers.Headers({b"content-type": [b"application/json"]})
        producer: Any = None
        if body is not None:
            producer = client.FileBodyProducer(io.BytesIO(body))
        response = await self._agent.request(
            method.encode(),
            f"{self._base_url}{path}".encode(),
            headers,
            producer,
        )
        return HttpResponse(response.code, await client.readBody(response))

    def close(self) -> defer.Deferred[Any]:
        """Closes the persistent connections."""
        return self._pool.closeCachedConnections()
