"""HTTP server connection of the entry."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from twisted.python import failure
from twisted.web import http

from cyclamendale import clocks
from cyclamendale.entry import _request

if TYPE_CHECKING:
    from cyclamendale.entry import http_entry

LINGER_S = 2.0
"""Time for which the rest of a refused upload is read and discarded.

An immediate close would reset the connection, and the caller could lose the
refusal before reading it.
"""


class EntryChannel(http.HTTPChannel):
    """HTTP server connection to one caller."""

    transport: Any

    def __init__(self, entry: http_entry.Entry) -> None:
        super().__init__()
        self.entry = entry
        self.timeOut = entry.idle_timeout_s  # type: ignore[assignment]
        self.requestFactory = _request.EntryRequest  # type: ignore[assignment]
        self.is_http_1_1 = True
        self._arrival_timer: clocks.DelayedCall | None = None
        self._lingering = False

    def connectionMade(self) -> None:
        """Registers the connection with the entry."""
        super().connectionMade()
        self.entry.channels.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Parses data and limits the time in which a request must arrive.

        Most requests arrive in one segment and need no timer.
        """
        if self._lingering:
            return
        super().dataReceived(data)
        if not self._handlingRequest and self._arrival_timer is None:
            self._start_arrival_timer()

    def headerReceived(self, line: bytes) -> bool:
        """Refuses headers that Twisted fails to parse, such as huge numbers."""
        try:
            return super().headerReceived(line)
        except ValueError:
            self._respondToBadRequestAndDisconnect()
            return False

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuses a request with an oversized line."""
        self._respondToBadRequestAndDisconnect()

    def allContentReceived(self) -> None:
        """Ends a request unless it has already been answered."""
        if not self._lingering:
            super().allContentReceived()

    def requestDone(self, request: _request.EntryRequest) -> None:
        """Continues with the next request or closes the connection."""
        if not self.persistent and not self._handlingRequest:
            self.requests.remove(request)
            self._linger(request.answer_started)
        else:
            super().requestDone(request)
            if not self.persistent:
                # The caller may never read the answer.
                self.setTimeout(self.entry.idle_timeout_s)
            elif self.entry.closing and not self.requests:
                self.loseConnection()

    def timeoutConnection(self) -> None:
        """Closes an idle connection; deadlines limit requests in progress."""
        if any(request.has_started for request in self.requests):
            self.setTimeout(self.entry.idle_timeout_s)
        else:
            super().timeoutConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:
        """Answers a malformed request with a typed refusal."""
        if self._lingering:
            return
        if not self.requests:
            self.requests.append(_request.EntryRequest(self))
        self.requests[-1].refuse_malformed()

    def _send100Continue(self) -> None:
        """Requests the body unless the request was already refused."""
        if self.requests:
            super()._send100Continue()

    def _linger(self, answer_started: bool) -> None:
        """Closes the sending side and discards data that still arrives."""
        self._lingering = True
        self._buffer = b""
        self._stop_arrival_timer()
        self._networkProducer.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()
        self._arrival_timer = self.entry.clock.call_later(
            # A slow reader may still be receiving a long answer.
            self.entry.idle_timeout_s if answer_started else LINGER_S,
            self.transport.abortConnection,
        )

    def allHeadersReceived(self) -> None:
        """Handles the end of the request head."""
        self._stop_arrival_timer()
        self.is_http_1_1 = self._version == b"HTTP/1.1"
        super().allHeadersReceived()

    def connectionLost(self, reason: failure.Failure) -> None:  # type: ignore[override]
        """Cancels the requests in progress and unregisters the connection."""
        self._stop_arrival_timer()
        self.entry.channels.discard(self)
        super().connectionLost(reason)
        self.entry.notify_if_drained()

    def _start_arrival_timer(self) -> None:
        if self.line_mode:
            if not self._buffer and not self._receivedHeaderSize:
                return
            timeout_s = self.entry.head_timeout_s
        elif self.requests and not self.requests[-1].has_started:
            timeout_s = self.entry.idle_timeout_s
        else:
            return
        self._arrival_timer = self.entry.clock.call_later(
            timeout_s, self._arrival_timed_out
        )

    def _stop_arrival_timer(self) -> None:
        timer, self._arrival_timer = self._arrival_timer, None
        clocks.cancel(timer)

    def _arrival_timed_out(self) -> None:
        self._arrival_timer = None
        self._respondToBadRequestAndDisconnect()
