"""HTTP/1.1 client connection to the node's own upstream.

Uses Twisted's callback-based `HTTPClient` parser, which needs no Deferred
per call and accepts a request head that is already encoded. Only bodies with
a Content-Length or in chunked encoding are accepted, because truncation of a
body that ends with its connection cannot be detected.
"""

from __future__ import annotations

import abc
from collections.abc import Callable
import enum
from typing import Any

from twisted.internet import protocol
from twisted.python import failure
from twisted.web import http

from cyclamendale import _http_constants
from cyclamendale import _immediate_write
from cyclamendale import response_heads
from cyclamendale.forwarding import exchange

MAX_HEAD_BYTES = 32 * 1024
"""Maximum size of a response head from an upstream."""

_NOT_FORWARDED_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that are not forwarded: hop-by-hop headers, and Content-Length,
which is set anew for the forwarded response."""

_FRAMING_LINES = (b"content-length:", b"transfer-encoding:")
_OWN_HEADER_PREFIX = b"x-cyclamendale-"


class ResponseHead:
    """Status and headers of an upstream's response.

    Attributes:
        status: HTTP status code.
        header_lines: Header lines to forward, each ended by CRLF.
        body_bytes: Length of the body, or `exchange.UNKNOWN_LENGTH`.
    """

    __slots__ = ("body_bytes", "header_lines", "status")

    def __init__(
        self, status: int, header_lines: bytes, body_bytes: int
    ) -> None:
        self.status = status
        self.header_lines = header_lines
        self.body_bytes = body_bytes


class ResponseHandler(abc.ABC):
    """Receives the parts of one response."""

    @abc.abstractmethod
    def head_received(self, head: ResponseHead) -> None:
        """Handles the complete head."""

    @abc.abstractmethod
    def data_received(self, data: bytes) -> None:
        """Handles a part of the body."""

    @abc.abstractmethod
    def response_ended(self) -> None:
        """Handles the end of the response."""

    @abc.abstractmethod
    def response_failed(self) -> None:
        """Handles a lost connection or a malformed response."""


class _Phase(enum.Enum):
    IDLE = 1
    HEAD = 2
    BODY = 3
    CLOSED = 4


class UpstreamConnection(http.HTTPClient):
    """Connection that carries one request at a time."""

    MAX_LENGTH = MAX_HEAD_BYTES
    # mypy cannot check Twisted's interfaces without a plugin.
    transport: Any

    def __init__(
        self,
        on_idle: Callable[[UpstreamConnection], None],
        on_closed: Callable[[UpstreamConnection], None],
    ) -> None:
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._phase = _Phase.IDLE
        self._handler: ResponseHandler | None = None
        self._persistent = True
        self._bodyless = False
        self._status = 0
        self._header_lines: list[bytes] = []
        self._head_bytes = 0
        self._framing_head = b""
        self._chunked = False
        self._decoder: Any = None
        self._sending_body = False
        self._read_paused = False
        self._write_paused = False
        self._on_writable: Callable[[], None] | None = None

    @property
    def is_reusable(self) -> bool:
        """Returns whether the connection may carry another request.

        Unsolicited bytes from the upstream would be read as the response to
        the next request.
        """
        return self._phase is _Phase.IDLE and not self._buffer

    def connectionMade(self) -> None:
        """Configures the transport."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def send_request(
        self, data: bytes, handler: ResponseHandler, bodyless: bool, more: bool
    ) -> None:
        """Sends a request.

        Args:
            data: The request head and the first part of its body.
            handler: Receives the response.
            bodyless: Whether the response has no body (HEAD).
            more: Whether parts of the request body follow by `send_body`.
        """
        self._handler = handler
        self._bodyless = bodyless
        self._phase = _Phase.HEAD
        self._sending_body = more
        self.firstLine = True
        self.length = None
        self._header = b""
        self._header_lines = []
        self._head_bytes = 0
        self._framing_head = b""
        self._chunked = False
        self._decoder = None
        _immediate_write.write_now(self.transport, data)

    def send_body(self, data: bytes, last: bool) -> None:
        """Sends a further part of the request body."""
        self._sending_body = not last
        self.transport.write(data)

    def when_writable(self, notify: Callable[[], None]) -> None:
        """Calls `notify` when the write buffer can take more data."""
        if self._write_paused:
            self._on_writable = notify
        else:
            notify()

    def pauseProducing(self) -> None:
        """Handles a full write buffer."""
        self._write_paused = True

    def resumeProducing(self) -> None:
        """Handles a drained write buffer."""
        self._write_paused = False
        notify, self._on_writable = self._on_writable, None
        if notify is not None:
            notify()

    def stopProducing(self) -> None:
        """Does nothing; `connectionLost` handles the close that follows."""

    def abort(self) -> None:
        """Closes the connection at once without calling the handler."""
        self._handler = None
        self._phase = _Phase.CLOSED
        if self.transport is not None:
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stops reading the response."""
        self._read_paused = True
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Continues to read the response."""
        if self._phase is not _Phase.CLOSED:
            self._read_paused = False
            self.transport.resumeProducing()

    def lineReceived(self, line: bytes) -> None:
        """Parses the status line and the headers."""
        if self._phase is not _Phase.HEAD:
            # A line outside of a response head is unsolicited. It must not
            # be read as the response to the next request.
            self._fail()
            return
        self._head_bytes += len(line)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail()
            return
        try:
            if line:
                self._check_line(line + b"\r\n")
            super().lineReceived(line)
        except (ValueError, IndexError):
            self._fail()

    def _check_line(self, line: bytes) -> None:
        """Checks a line, and whether it fits the lengths stated so far."""
        head = self._framing_head + line
        response_heads.check(head)
        if not self._framing_head or line.lower().startswith(_FRAMING_LINES):
            self._framing_head = head

    def lineLengthExceeded(self, line: bytes) -> None:
        """Fails a response with an oversized line."""
        self._fail()

    def handleStatus(
        self, version: bytes, status: bytes, message: bytes
    ) -> None:
        """Stores the status line."""
        self._status = int(status)
        self._persistent = version == b"HTTP/1.1"

    def handleHeader(self, key: bytes, val: bytes) -> None:
        """Evaluates framing headers and keeps the headers to forward."""
        name = key.lower()
        if name == b"transfer-encoding":
            self._chunked = True
        elif name == b"connection" and b"close" in val.lower():
            self._persistent = False
        if name not in _NOT_FORWARDED_HEADERS and not name.startswith(
            _OWN_HEADER_PREFIX
        ):
            self._header_lines.append(key + b": " + val + b"\r\n")

    def handleEndHeaders(self) -> None:
        """Passes the head to the handler and prepares for the body."""
        if self._status < 200:
            # Interim response; the final response follows.
            self.firstLine = True
            self._header = b""
            self._header_lines = []
            self.length = None
            self._chunked = False
            self._framing_head = b""
            return
        handler = self._handler
        if handler is None:
            return
        no_body = (
            self._bodyless or self._status in _http_constants.NO_BODY_CODES
        )
        if not no_body and self.length is None and not self._chunked:
            self._fail()
            return
        declared = self.length
        body_bytes = exchange.UNKNOWN_LENGTH if declared is None else declared
        self._phase = _Phase.BODY
        handler.head_received(
            ResponseHead(self._status, b"".join(self._header_lines), body_bytes)
        )
        if no_body:
            self.length = 0
        elif self._chunked:
            self._decoder = http._ChunkedTransferDecoder(
                self._data_received, self._chunks_ended
            )
        if self.length == 0:
            self._response_ended()

    def setRawMode(self) -> None:
        """Starts to read a body unless the response has already ended."""
        if self._phase is _Phase.BODY:
            super().setRawMode()

    def rawDataReceived(self, data: bytes) -> None:
        """Reads a part of the body."""
        if self._phase is not _Phase.BODY:
            self._fail()
        elif self._decoder is not None:
            try:
                self._decoder.dataReceived(data)
            except http._MalformedChunkedDataError:
                self._fail()
        else:
            self._identity_received(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Fails the response in progress."""
        handler, self._handler = self._handler, None
        self._phase = _Phase.CLOSED
        self._on_closed(self)
        if handler is not None:
            handler.response_failed()

    def _identity_received(self, data: bytes) -> None:
        assert self.length is not None
        if len(data) > self.length:
            self._fail()
            return
        self.length -= len(data)
        self._data_received(data)
        if self.length == 0 and self._phase is _Phase.BODY:
            self._response_ended()

    def _data_received(self, data: bytes) -> None:
        if self._handler is not None:
            self._handler.data_received(data)

    def _chunks_ended(self, rest: bytes) -> None:
        if rest:
            self._persistent = False
        self._response_ended()

    def _response_ended(self) -> None:
        handler, self._handler = self._handler, None
        if handler is None:
            return
        # Bytes after a complete response belong to no request.
        if self._persistent and not self._sending_body and not self._buffer:
            self._become_idle()
        else:
            self._phase = _Phase.CLOSED
            if self._sending_body or self._write_paused:
                # loseConnection would wait until the buffer is sent.
                self.transport.abortConnection()
            else:
                self.transport.loseConnection()
        handler.response_ended()

    def _become_idle(self) -> None:
        self._phase = _Phase.IDLE
        if self._read_paused:
            self.resume()
        self.setLineMode()
        self._on_idle(self)

    def _fail(self) -> None:
        handler = self._handler
        self.abort()
        if handler is not None:
            handler.response_failed()
