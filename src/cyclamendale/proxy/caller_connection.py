"""HTTP/1.1 connection of a caller, based on the parser of `httptools`.

Pipelined requests of a connection run concurrently, and their responses keep
the order of the requests. A request is handled once it is complete.
"""

from __future__ import annotations

import collections
from typing import Any, TYPE_CHECKING

import httptools
from twisted.internet import protocol
from twisted.python import failure

from cyclamendale import _immediate_close
from cyclamendale import _immediate_write
from cyclamendale import buffer_budget
from cyclamendale.proxy import exchange as exchanges
from cyclamendale.proxy import heads
from cyclamendale.proxy import messages
from cyclamendale.proxy import request_parser

if TYPE_CHECKING:
    from cyclamendale.proxy import server as servers

MAX_PIPELINED = 64
"""Requests in flight per connection at which reading from it pauses."""

LINGER_S = 1.0
"""How long a stopping node waits for a caller to close after its last response,
and a refused caller is read on. A close with unread bytes would reset the
connection, and the caller would lose what it has not read."""

MIN_READ_BYTES_PER_S = 250_000
"""Rate at which callers are taken to read what the kernel holds for them."""

RETRY_AFTER_S = 1.0
"""Retry-After of a request that is refused for lack of memory."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerConnection(protocol.Protocol):
    """A connection of a caller; see `exchange.Connection`."""

    transport: Any

    def __init__(self, server: servers.CallerServer) -> None:
        self._server = server
        self._parser: Any = request_parser.RequestParser(self)
        self._exchanges: collections.deque[exchanges.Exchange] = (
            collections.deque()
        )
        self._limits = server.handler.limits()
        self._request = messages.NO_REQUEST
        self._header_lines: list[bytes] = []
        self._framing_lines: list[bytes] = []
        self._connection_values: list[bytes] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._reservation: buffer_budget.Reservation | None = None
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._in_head = False
        self._in_body = False
        self._is_paused = False
        self._is_draining = False
        self._is_last_request = False
        self._is_refused = False
        self._last_activity_s = server.clock.now_s()
        self.read_by_s = 0.0

    # Time-outs and graceful close.

    def check_timeouts(self, now_s: float) -> None:
        """Closes a connection that is idle or slow for too long."""
        limits = self._server.handler.limits()
        idle_s = now_s - max(self._last_activity_s, self.read_by_s)
        limit_s = limits.idle_timeout_s
        if self._is_draining:
            is_over = self._is_idle() and idle_s > limit_s
            # Earlier responses may still be read.
            if self._is_refused and (is_over or not self.in_flight):
                self.transport.abortConnection()
            elif is_over:
                self.transport.loseConnection()
        elif self._in_head or self._in_body:
            if self._in_head:
                limit_s = limits.head_timeout_s
            if now_s - self._last_activity_s > limit_s:
                self._refuse(408)
        elif not self.in_flight and idle_s > limit_s:
            self.transport.loseConnection()

    def end_close(self) -> None:
        """Closes the connection, or refuses a request that is incomplete."""
        if self._is_draining or self._exchanges:
            return
        if self._in_head or self._in_body:
            self._refuse(503)
        elif self._may_be_unread():
            self._close()
        else:
            _immediate_close.close_now(self.transport)

    def _is_idle(self) -> bool:
        return not (self._exchanges or self._in_head or self._in_body)

    @property
    def in_flight(self) -> int:
        """Returns the number of requests whose response is not sent yet.

        Responses that the caller has yet to read count as one, also for a
        while after they were sent on a connection that closes.
        """
        is_unread = self.unsent_bytes or (
            self._is_draining and self._may_be_unread()
        )
        return len(self._exchanges) + bool(is_unread)

    def _may_be_unread(self) -> bool:
        """Returns whether the caller may still read what it was sent."""
        linger_by_s = self.read_by_s + LINGER_S
        return bool(self.unsent_bytes) or (
            self._server.clock.now_s() <= linger_by_s
        )

    @property
    def unsent_bytes(self) -> int:
        """Returns the size of the responses that are not sent yet."""
        return _immediate_write.unsent_bytes(self.transport)

    # Twisted.

    def connectionMade(self) -> None:
        """Registers the connection."""
        self.transport.setTcpNoDelay(True)
        self._server.connections.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._is_draining or self._is_last_request:
            return
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Errors after the last request of the connection are ignored.
            if not (self._is_draining or self._is_last_request):
                self._server.log_malformed(str(error))
                self._refuse(400)
        head_bytes = self._head_bytes + self._unparsed_bytes
        if self._in_head and head_bytes > self._limits.max_head_bytes:
            self._refuse(431)
        elif self._in_body and self._unparsed_bytes > (
            self._limits.max_head_bytes
            + heads.FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        ):
            self._refuse(400)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Cancels the requests in flight."""
        self._server.connections.discard(self)
        cancelled, self._exchanges = self._exchanges, collections.deque()
        self._release()
        for exchange in cancelled:
            exchange.end()
            if exchange.cancel is not None:
                exchange.cancel()
                exchange.cancel = None
        # Breaks the reference cycle between the parser and this object.
        self._parser = None

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._request = messages.CallerRequest()
        self._header_lines = []
        self._framing_lines = []
        self._connection_values = []
        self._body = []
        self._body_bytes = 0
        self._release()
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._in_head = True
        self._limits = self._server.handler.limits()
        self._last_activity_s = self._server.clock.now_s()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._request.path += url
        self._head_bytes += len(url)
        self._unparsed_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header or calls its handler."""
        self._head_bytes += len(name) + len(value) + 4
        self._unparsed_bytes = 0
        if self._head_bytes > self._limits.max_head_bytes:
            self._refuse(431)
            return
        lower = name.lower()
        handle_header = self._server.header_handlers.get(lower)
        if handle_header is None:
            self._header_lines.append(heads.line(name, value))
        else:
            handle_header(self, name, value)

    def on_headers_complete(self) -> None:
        """Ends the head of a request; refuses targets that are not paths."""
        self._in_head = False
        self._in_body = True
        self._unparsed_bytes = 0
        if not self._request.path.startswith(b"/") and not self._is_draining:
            self._refuse(400)

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        if self._is_draining:
            return
        self._body_bytes += len(data)
        self._unparsed_bytes -= len(data)
        self._last_activity_s = self._server.clock.now_s()
        if self._body_bytes > self._limits.max_body_bytes:
            self._refuse(413)
            return
        if self._reservation is None:
            self._reservation = self._server.budget.make_reservation()
        if not self._reservation.add(len(data)):
            self._refuse(503)
            return
        self._body.append(data)

    def _release(self) -> None:
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None

    def on_message_complete(self) -> None:
        """Passes the complete request to the handler."""
        if (
            self._is_draining
            or self._is_last_request
            or self._parser.has_ignored_offer
        ):
            return
        self._in_body = False
        if self._server.is_closing and (self._exchanges or self.unsent_bytes):
            # Its response might be read too late behind those before it.
            if not (self._exchanges and self._close_after_last()):
                self._refuse(503)
            return
        request = self._request
        request.method = self._parser.method()
        request.body = b"".join(self._body)
        self._body = []
        request.header_lines = heads.join_forwarded(
            self._header_lines, self._connection_values
        )
        now_s = self._server.clock.now_s()
        request.arrived_s = self._last_activity_s = now_s
        self._is_last_request = not self._parser.should_keep_alive()
        exchange = exchanges.Exchange(self, request, self._is_last_request)
        self._request = messages.NO_REQUEST
        exchange.reservation, self._reservation = self._reservation, None
        self._exchanges.append(exchange)
        if len(self._exchanges) >= MAX_PIPELINED and not self._is_paused:
            self._is_paused = True
            self.transport.pauseProducing()
        self._server.handler.handle(exchange)

    def framing_lines(self) -> list[bytes]:
        """Returns the header lines that state how long the body is."""
        return self._framing_lines

    def connection_values(self) -> list[bytes]:
        """Returns the values of `Connection`."""
        return self._connection_values

    # Handlers of headers that are not simply forwarded.

    def set_host(self, name: bytes, value: bytes) -> None:
        """Stores the host; the header is forwarded too."""
        self._request.host = value
        self._header_lines.append(heads.line(name, value))

    def set_request_id(self, name: bytes, value: bytes) -> None:
        """Stores the request id; the header is forwarded unchanged."""
        self._request.request_id = value
        self._header_lines.append(heads.line(name, value))

    def set_remaining(self, name: bytes, value: bytes) -> None:
        """Stores the remaining time; the gate states it anew."""
        try:
            self._request.remaining_s = max(0.0, float(value) / 1000.0)
        except ValueError:
            self._server.log_malformed(f"{name!r}: {value!r}")

    def set_key(self, name: bytes, value: bytes) -> None:
        """Stores the key, which is not forwarded; the first one counts."""
        if self._request.key is None:
            self._request.key = value

    def add_connection_options(self, name: bytes, value: bytes) -> None:
        """Stores the value of a Connection header."""
        self._connection_values.append(value)

    def add_framing_line(self, name: bytes, value: bytes) -> None:
        """Stores a header that states how long the body is."""
        self._framing_lines.append(heads.line(name, value))

    def handle_expect(self, name: bytes, value: bytes) -> None:
        """Asks for the body, since only complete bodies are forwarded."""
        if value.lower() == b"100-continue" and not self._exchanges:
            _immediate_write.write_now(self.transport, _CONTINUE)

    def drop_header(self, name: bytes, value: bytes) -> None:
        """Drops a connection header or one that only nodes may set."""

    # Output.

    def closes_after(self, exchange: exchanges.Exchange) -> bool:
        """Returns whether the connection closes after a response.

        The requests that follow it may have been run, so they are answered.
        """
        if not self._server.is_closing:
            return False
        self._close_after_last()
        return exchange.closes

    def _close_after_last(self) -> bool:
        """Closes after the last response in flight, unless it is encoded."""
        self._is_last_request = self._exchanges[-1].close_after()
        return self._is_last_request

    def flush(self) -> None:
        """Writes the responses that are next in order."""
        waiting = self._exchanges
        ready: list[bytes] = []
        closes = False
        while waiting and not closes:
            output = waiting[0].output
            if output is None:
                break
            ready.append(output)
            closes = waiting.popleft().closes
        if not ready:
            return
        data = b"".join(ready)
        now_s = self._last_activity_s = self._server.clock.now_s()
        # The caller reads earlier responses first.
        self.read_by_s = (
            max(self.read_by_s, now_s) + len(data) / MIN_READ_BYTES_PER_S
        )
        _immediate_write.write_now(self.transport, data)
        if closes:
            self._close()
        elif self._is_paused and len(waiting) < MAX_PIPELINED:
            self._is_paused = False
            self.transport.resumeProducing()

    def _refuse(self, status: int) -> None:
        """Refuses an unreadable request, after responding to earlier ones."""
        if self._is_draining:
            return
        self._is_draining = self._is_refused = True
        self._in_head = self._in_body = False
        exchange = exchanges.Exchange(self, self._request, True)
        self._exchanges.append(exchange)
        self._server.log_refused(self._request, status)
        self._body = []
        self._release()
        header_lines = b""
        if status == 503:
            header_lines = heads.line(b"Retry-After", b"%g" % RETRY_AFTER_S)
        exchange.respond(status, header_lines, b"")

    def _close(self) -> None:
        """Cancels later requests and closes after the written responses.

        Only the sending side closes: what the caller sends from here on is
        read and dropped until it closes, too.
        """
        for exchange in self._exchanges:
            exchange.end()
            if exchange.cancel is not None:
                exchange.cancel()
        self._exchanges.clear()
        self._is_draining = True
        if self._is_paused:
            self._is_paused = False
            self.transport.resumeProducing()
        self.transport.loseWriteConnection()
