"""Sends single HTTP requests and classifies their failures."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import enum
import io
from typing import Any, TypeAlias

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import abstract
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error as internet_error
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer  # type: ignore[import-untyped]

from cyclamendale import clocks
from cyclamendale.store import faults


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
        return endpoint_type(
            self._reactor, host, uri.port, timeout=self._timeout_s
        )


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
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = max_connections
        # The caller decides about retries, since only it knows which
        # operations are safe to resend.
        self._pool.retryAutomatically = False
        self._agent = client.Agent.usingEndpointFactory(
            reactor,
            _EndpointFactory(reactor, connect_timeout_s),
            pool=self._pool,
        )

    async def send(
        self, method: str, path: str, body: bytes | None
    ) -> Result[HttpResponse, AttemptFailure]:
        """Sends a request once and reads the complete response."""
        pending = defer.Deferred.fromCoroutine(
            self._send_request(method, path, body)
        )
        timer = self._clock.call_later(self._timeout_s, pending.cancel)
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
            if timer.active():
                timer.cancel()

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
