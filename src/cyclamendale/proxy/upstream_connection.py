"""HTTP/1.1 client connection to this host's upstream.

A response belongs to a request only if it echoes the request's id. The one
exception is a refusal without an id as the first response of a connection,
where no earlier request can have caused it. Bytes that arrive while no request
is in flight close the connection.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
from typing import Any

import httptools
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from cyclamendale import _immediate_write
from cyclamendale import buffer_budget
from cyclamendale import response_heads
from cyclamendale.proxy import header_names
from cyclamendale.proxy import heads
from cyclamendale.proxy import messages
from cyclamendale.proxy import stated_limit

MAX_FRAMING_BYTES = 64 * 1024
"""Maximum number of bytes outside of bodies per exchange: heads, interim
responses, chunk sizes and trailers."""

MAX_RETRYABLE_IDS = 64
"""Requests that a connection may refuse or fail before it is closed."""


class Failure(enum.Enum):
    """Why an exchange with the upstream failed."""

    NOT_CONNECTED = "not-connected"
    """There was no connection; no byte was sent."""
    NOT_SENT = "not-sent"
    """The upstream was replaced before a byte was sent."""
    BROKEN = "broken"
    """The connection closed during the exchange."""
    GARBLED = "garbled"
    """The received bytes are not a valid response to the request."""
    TOO_LARGE = "too-large"
    """The body exceeds what this node buffers."""


class UpstreamResponse(messages.Response):
    """A response with the details that only the upstream's node needs.

    Attributes:
        not_run: Whether the upstream states that it did not run the request.
        limit_per_s: Requests per second that it takes, if it names a limit.
        is_leaving: Whether it states that it leaves.
    """

    __slots__ = ("is_leaving", "limit_per_s", "not_run")

    def __init__(
        self,
        status: int,
        header_lines: bytes,
        body: bytes,
        not_run: bool,
        limit_per_s: float | None = None,
        is_leaving: bool = False,
    ) -> None:
        super().__init__(status, header_lines, body)
        self.not_run = not_run
        self.limit_per_s = limit_per_s
        self.is_leaving = is_leaving


ResultReceiver = Callable[["UpstreamResponse | Failure"], None]


class UpstreamConnection(protocol.Protocol):
    """A connection that carries one request at a time.

    Attributes:
        idle_since_s: Clock time since which no request is in flight.
        keep_alive_s: Idle time-out stated by the upstream, if any.
    """

    transport: Any

    def __init__(
        self,
        header_names: header_names.HeaderNames,
        on_open: Callable[[UpstreamConnection], None],
        on_idle: Callable[[UpstreamConnection], None],
        on_closed: Callable[[UpstreamConnection], None],
        budget: buffer_budget.BufferBudget,
    ) -> None:
        self._buffer = budget.make_reservation()
        self._header_names = header_names
        self._request_id_header = header_names.request_id.lower()
        self._not_run_header = header_names.not_run.lower()
        self._limit_header = header_names.limit.lower()
        self._leaving_header = header_names.leaving.lower()
        self._on_open: Callable[[UpstreamConnection], None] | None = on_open
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._parser: Any = None
        self._receiver: ResultReceiver | None = None
        self._request_id = b""
        self._is_head_request = False
        self._is_reusable = True
        self._is_first_exchange = True
        self._retryable_ids: set[bytes] = set()
        self._completed: tuple[ResultReceiver, UpstreamResponse] | None = None
        self._received_bytes = 0
        self._received_body_bytes = 0
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self._echoed_id: bytes | None = None
        self._reset_response()

    def may_carry(self, request_id: bytes) -> bool:
        """Returns whether a repeated earlier response can't be mistaken.

        A request that was refused or failed may be sent again under its id.
        On the same connection a second copy of the earlier response would
        look like the response to the new send. A request without an id needs
        a connection without an earlier response.
        """
        if not request_id:
            return self._is_first_exchange
        return request_id not in self._retryable_ids

    def send(
        self,
        data: bytes,
        request_id: bytes,
        is_head_request: bool,
        receiver: ResultReceiver,
    ) -> None:
        """Sends a request.

        Args:
            data: The encoded request.
            request_id: Id that the response must echo.
            is_head_request: Whether it is a HEAD request, whose response has
                no body.
            receiver: Called once with the response or the failure.
        """
        self._receiver = receiver
        self._request_id = request_id
        self._is_head_request = is_head_request
        self._received_bytes = self._received_body_bytes = 0
        self._reset_response()
        _immediate_write.write_now(self.transport, data)

    def abort(self) -> None:
        """Aborts the connection; the receiver is not called."""
        self._receiver = None
        self._abort_transport()

    # Twisted.

    def connectionMade(self) -> None:
        """Disables Nagle's algorithm and reports the open connection."""
        self.transport.setTcpNoDelay(True)
        # It holds the request that the connection was opened for.
        on_open, self._on_open = self._on_open, None
        if on_open is not None:
            on_open(self)

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._receiver is None:
            # The bytes belong to no request.
            self._abort_transport()
            return
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_reusable = False
            self._fail(Failure.GARBLED)
        if self._receiver is not None and self._has_excess_framing():
            self._fail(Failure.GARBLED)
        self._deliver()

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the exchange; a clean close completes a body without length."""
        self._is_reusable = False
        if self._receiver is not None:
            is_clean = reason.check(error.ConnectionDone) is not None
            if is_clean and self._ends_with_connection():
                self._finish()
                self._deliver()
            else:
                self._fail(Failure.BROKEN)
        self._buffer.release()
        self._parser = None
        self._on_closed(self)

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Starts a response; one without a request is dropped."""
        if self._receiver is None:
            self._is_reusable = False
            return
        self._buffer.release()
        self._reset_response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores or evaluates a header; trailers are dropped."""
        if self._receiver is None or self._has_head:
            return
        lower = name.lower()
        if lower == self._request_id_header:
            self._echoed_id = value
        elif lower == self._not_run_header:
            self._not_run = True
            return
        if lower in heads.CONNECTION_HEADERS:
            self._connection_header(lower, value)
            return
        if lower == b"content-encoding":
            self._is_encoded = True
        elif lower == self._limit_header:
            self._limits.append(value)
        elif lower == self._leaving_header:
            self._is_leaving |= value.strip() == b"1"
        self._header_lines.append(heads.line(name, value))

    def on_headers_complete(self) -> None:
        """Ends the head of a response."""
        if self._receiver is None:
            return
        self._status = self._parser.get_status_code()
        # The parser checks the header lines.
        response_heads.check(
            b"HTTP/%b %03d\r\n"
            % (self._parser.get_http_version().encode(), self._status)
        )
        # An interim response that ends with its connection is none.
        self._has_head = self._status >= 200
        if self._is_head_request and self._status >= 200:
            # The parser would wait for the body that the head announces.
            self._is_reusable = False
            self._complete()
        elif not self._buffer.reserve_stated(self._stated_body_bytes):
            self._fail(Failure.TOO_LARGE)

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        if self._receiver is None:
            return
        self._received_body_bytes += len(data)
        add = (
            self._buffer.add
            if self._stated_body_bytes
            else self._buffer.add_unstated
        )
        if not add(len(data)):
            self._fail(Failure.TOO_LARGE)
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Ends a response; interim responses are ignored."""
        if self._receiver is not None and self._status >= 200:
            self._complete()

    # Evaluation of responses.

    def _reset_response(self) -> None:
        self._header_lines: list[bytes] = []
        self._body: list[bytes] = []
        self._stated_body_bytes = 0
        self._status = 0
        self._echoed_id = None
        self._has_head = False
        self._has_length = False
        self._not_run = False
        self._is_encoded = False
        self._limits: list[bytes] = []
        self._is_leaving = False
        self._connection_values: list[bytes] = []

    def _connection_header(self, lower: bytes, value: bytes) -> None:
        if lower in (b"content-length", b"transfer-encoding"):
            self._has_length = True
            if lower == b"content-length" and value.isdigit():
                self._stated_body_bytes = int(value)
        elif lower == b"connection":
            self._connection_values.append(value)
            if b"close" in value.lower():
                self._is_reusable = False
        elif lower == b"keep-alive":
            self.keep_alive_s = _keep_alive_s(value) or self.keep_alive_s

    def _ends_with_connection(self) -> bool:
        return (
            self._has_head
            and not self._has_length
            and self._echoed_id == self._request_id
        )

    def _has_excess_framing(self) -> bool:
        framing_bytes = self._received_bytes - self._received_body_bytes
        return framing_bytes > (
            MAX_FRAMING_BYTES
            + heads.FRAMING_BYTES_PER_BODY_BYTE * self._received_body_bytes
        )

    def _complete(self) -> None:
        if self._echoed_id is None:
            is_own = self._is_first_exchange and (
                self._not_run or not self._request_id
            )
            self._is_reusable = False
            if not is_own:
                self._fail(Failure.GARBLED)
                return
        elif self._echoed_id != self._request_id:
            # A late response to an earlier request; the right one follows.
            self._is_reusable = False
            return
        if not self._parser.should_keep_alive():
            self._is_reusable = False
        self._finish()

    def _finish(self) -> None:
        """Ends the exchange; the response is delivered by `_deliver`."""
        receiver = self._receiver
        if receiver is None:
            return
        if self._is_encoded:
            self._fail(Failure.GARBLED)
            return
        body, self._body = b"".join(self._body), []
        response = UpstreamResponse(
            self._status,
            heads.join_forwarded(self._header_lines, self._connection_values),
            body,
            self._not_run,
            stated_limit.decode(self._limits),
            self._is_leaving,
        )
        self._receiver = None
        self._completed = receiver, response
        self._is_first_exchange = False
        if self._not_run or self._status >= 500:
            self._retryable_ids.add(self._request_id)
            if len(self._retryable_ids) >= MAX_RETRYABLE_IDS:
                self._is_reusable = False

    def _deliver(self) -> None:
        """Passes on a complete response, once its segment is parsed.

        Only then is it known whether further bytes follow, which belong to
        no request and make the connection unusable.
        """
        completed, self._completed = self._completed, None
        if completed is None:
            if self._receiver is None and not self._is_reusable:
                self._abort_transport()
            return
        self._buffer.release()
        receiver, response = completed
        if self._is_reusable:
            self._on_idle(self)
        else:
            self.transport.loseConnection()
        receiver(response)

    def _fail(self, reason: Failure) -> None:
        receiver, self._receiver = self._receiver, None
        if self._completed is None:
            self._abort_transport()
        if receiver is not None:
            receiver(reason)

    def _abort_transport(self) -> None:
        self._is_reusable = False
        self._buffer.release()
        self.transport.abortConnection()


def _keep_alive_s(value: bytes) -> float | None:
    """Returns the time-out that a Keep-Alive header states."""
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.lower() == b"timeout" and text.strip().isdigit():
            return float(text)
    return None
