"""Connections of Twisted's HTTP client that check the heads of responses.

The client's own parser takes much that is no response: any number as a status,
any version, line feeds as line ends and control bytes in values.
"""

from __future__ import annotations

from typing import Any

from twisted.internet import defer
from twisted.web import _newclient
from twisted.web import client

from cyclamendale import response_heads


class _CheckedConnection(_newclient.HTTP11ClientProtocol):
    """Connection whose parser gets no malformed head."""

    # mypy cannot check Twisted's interfaces without a plugin.
    transport: Any

    def __init__(self, quiescent_callback: Any) -> None:
        super().__init__(quiescent_callback)
        self._filter: response_heads.HeadFilter | None = None

    def request(self, request: Any) -> defer.Deferred[Any]:
        """Sends a request; the bytes that follow are its response."""
        self._filter = response_heads.HeadFilter()
        return super().request(request)

    def dataReceived(self, data: bytes) -> None:
        """Parses checked bytes; a malformed head fails the request."""
        if self._filter is None:
            # No request was sent yet; the base class closes the connection.
            super().dataReceived(data)
            return
        try:
            checked = self._filter.accept(data)
        except response_heads.MalformedHeadError:
            # A close would wait until the request is sent.
            self.transport.abortConnection()
            return
        if checked:
            super().dataReceived(checked)


class _Factory(client._HTTP11ClientFactory):
    def buildProtocol(self, addr: Any) -> _CheckedConnection:
        return _CheckedConnection(self._quiescentCallback)


class _Pool(client.HTTPConnectionPool):
    _factory = _Factory


def make_http_pool(reactor: Any, persistent: bool) -> client.HTTPConnectionPool:
    """Returns a pool for an `Agent`, which does not repeat requests.

    Args:
        reactor: The twisted reactor.
        persistent: Whether connections are kept for later requests.
    """
    pool = _Pool(reactor, persistent)
    # The caller decides about retries, since only it knows which operations
    # are safe to resend.
    pool.retryAutomatically = False
    return pool
