"""HTTP request of a caller and the delivery of its answer."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from twisted.python import failure
from twisted.web import http

from cyclamendale import _http_constants
from cyclamendale import _immediate_write
from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.entry import _refusals
from cyclamendale.entry import call as calls
from cyclamendale.filters import match_route
from cyclamendale.forwarding import caller as callers
from cyclamendale.forwarding import exchange
from cyclamendale.forwarding import forwarder

if TYPE_CHECKING:
    from cyclamendale.entry import _channel

_NOT_FORWARDED_HEADERS = frozenset(
    {
        b"Connection",
        b"Content-Length",
        b"Expect",
        b"Keep-Alive",
        b"Proxy-Authenticate",
        b"Proxy-Authorization",
        b"Proxy-Connection",
        b"TE",
        b"Te",
        b"Trailer",
        b"Transfer-Encoding",
        b"Upgrade",
    }
)
"""Headers that are not forwarded: hop-by-hop headers, Content-Length, which
is set anew, and Expect, which the entry handles itself."""

_OWN_HEADER_PREFIX = b"X-Cyclamendale-"
_OWN_REQUEST_HEADERS = frozenset(
    {b"X-Cyclamendale-Context", b"X-Cyclamendale-Deadline-Ms"}
)


class EntryRequest(http.Request, callers.Caller):
    """HTTP request of a caller, which also receives its answer."""

    channel: Any

    def __init__(
        self, channel: _channel.EntryChannel, queued: Any = None
    ) -> None:
        super().__init__(channel)
        self._entry = channel.entry
        self._call: calls.Call | None = None
        self._forwarding: forwarder.Forwarding | None = None
        self._upload_buffer = bytearray()
        self._body_bytes = 0
        self._received_body_bytes = 0
        self._body_complete = False
        self._upload_requested = False
        self._reading_paused = False
        self._filter_timer: clocks.DelayedCall | None = None
        self._status = 0
        self._answer_bytes_left = exchange.UNKNOWN_LENGTH
        self._answer_chunked = False
        self._bodyless = False
        self._writing_paused = False
        self._pull_pending = False
        self.answer_started = False
        self._ended = False

    @property
    def has_started(self) -> bool:
        """Returns whether the request has entered the filter chain."""
        return self._call is not None

    # Arrival of the request.

    def parseCookies(self) -> None:
        """Does nothing; only the upstream needs parsed cookies."""

    def gotLength(self, length: int | None) -> None:
        """Starts a request at once if its body is long or of unknown length."""
        self._body_bytes = exchange.UNKNOWN_LENGTH if length is None else length
        if length is None or length > exchange.CHUNK_BYTES:
            self._start_call(self.channel._command, self.channel._path)

    def handleContentChunk(self, data: bytes) -> None:
        """Buffers a part of the body until the target requests it."""
        if self._ended:
            return
        self._upload_buffer += data
        if self._call is None:
            return
        if self._body_bytes == exchange.UNKNOWN_LENGTH:
            self._received_body_bytes += len(data)
            if self._refuse_if_too_large(self._call):
                return
        if self._upload_requested:
            self._send_upload()
        elif len(self._upload_buffer) >= exchange.CHUNK_BYTES:
            # Pauses even if already paused, because Twisted may have resumed
            # reading on its own.
            self._reading_paused = True
            self.channel.transport.pauseProducing()

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handles the end of the request."""
        self._body_complete = True
        if self._ended:
            return
        if self._call is None:
            self._start_call(command, path)
        elif self._upload_requested:
            self._send_upload()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Cancels the call of a caller that closed its connection."""
        call = self._call
        if call is not None and not self._ended:
            not_run = call.on_cancel is None or call.on_cancel()
            call.ended = True
            self._end(
                refusals.Refusal(
                    refusals.RefusalReason.CANCELLED,
                    refusals.Execution.NOT_RUN
                    if not_run
                    else refusals.Execution.UNKNOWN,
                )
            )
        super().connectionLost(reason)

    def refuse_malformed(self) -> None:
        """Refuses a malformed request, which may already be in progress."""
        if self._call is None:
            self._call = self._make_call(b"", b"", b"", False)
        self._fail(refusals.Refusal(refusals.RefusalReason.BAD_REQUEST))

    def _refuse_if_too_large(self, call: calls.Call) -> bool:
        """Refuses an upload whose size exceeds the limit of its route."""
        route = call.route
        if route is None or self._received_body_bytes <= route.max_body_bytes:
            return False
        self._fail(match_route.make_too_large_refusal(call, route))
        return True

    def _fail(self, refusal: refusals.Refusal) -> None:
        """Ends the request because of an error of its caller."""
        if self._ended:
            self.channel.transport.abortConnection()
        elif self._forwarding is not None:
            self._forwarding.fail(refusal)
        else:
            self.refuse(refusal)

    def _start_call(self, method: bytes, path: bytes) -> None:
        entry = self._entry
        body, more = bytes(self._upload_buffer), not self._body_complete
        self._upload_buffer.clear()
        if not more:
            self._body_bytes = len(body)
        call = self._make_call(method, path, body, more)
        self._call = call
        self._bodyless = method == b"HEAD"
        entry.active_requests.add(self)
        assert entry.filter_chain is not None
        entry.filter_chain.run(call)
        if self._forwarding is None and not self._ended and call.deadline_s:
            self._filter_timer = entry.clock.call_later(
                max(0.0, call.deadline_s - entry.clock.now_s()),
                self._filter_deadline_passed,
            )

    def _make_call(
        self, method: bytes, path: bytes, body: bytes, more: bool
    ) -> calls.Call:
        entry = self._entry
        return calls.Call(
            method,
            path,
            self._forwarded_headers(),
            entry.configuration.current,
            entry.clock.now_s(),
            self,
            body,
            more,
            self._body_bytes,
        )

    def _filter_deadline_passed(self) -> None:
        """Refuses a request whose deadline passed in the filter chain."""
        self.refuse(refusals.Refusal(refusals.RefusalReason.DEADLINE))

    def _forwarded_headers(self) -> calls.HeaderList:
        return [
            (name, value)
            for name, values in self.requestHeaders.getAllRawHeaders()
            if name not in _NOT_FORWARDED_HEADERS
            and (
                not name.startswith(_OWN_HEADER_PREFIX)
                or name in _OWN_REQUEST_HEADERS
            )
            for value in values
        ]

    def filters_passed(self) -> None:
        """See base class."""
        assert self._call is not None
        self._stop_filter_timer()
        forwarding = forwarder.Forwarding(
            self._entry.forwarder, self._call, self
        )
        self._forwarding = forwarding
        forwarding.start()

    # Upload of the request's body.

    def request_upload(self) -> None:
        """See base class."""
        self._upload_requested = True
        if self._upload_buffer or self._body_complete:
            self._send_upload()

    def _send_upload(self) -> None:
        self._upload_requested = False
        data = bytes(self._upload_buffer[: exchange.CHUNK_BYTES])
        del self._upload_buffer[: exchange.CHUNK_BYTES]
        last = self._body_complete and not self._upload_buffer
        if self._reading_paused and not self._ended:
            self._reading_paused = False
            self.channel.transport.resumeProducing()
        assert self._forwarding is not None
        self._forwarding.push(data, last)

    # Delivery of the answer.

    def answer(self, answer: exchange.Answer) -> None:
        """See base class."""
        if self._ended:
            return
        self.answer_started = True
        self._status = answer.status
        head = [
            _http_constants.status_line(answer.status),
            answer.head,
            b"X-Cyclamendale-Outcome: answered\r\n",
            b"X-Cyclamendale-Request: %s\r\n"
            % (self._call.request.encode() if self._call else b""),
        ]
        if answer.more and answer.body_bytes == exchange.UNKNOWN_LENGTH:
            self._answer_chunked = self.channel.is_http_1_1
            if self._answer_chunked:
                head.append(b"Transfer-Encoding: chunked\r\n")
        elif answer.status not in _http_constants.NO_BODY_CODES:
            length = answer.body_bytes if answer.more else len(answer.body)
            if self._bodyless:
                length = answer.body_bytes
            if length != exchange.UNKNOWN_LENGTH:
                head.append(b"Content-Length: %d\r\n" % length)
        self._write_head(head, self._frame(answer.body))
        if answer.more:
            if answer.body_bytes != exchange.UNKNOWN_LENGTH:
                self._answer_bytes_left = answer.body_bytes - len(answer.body)
            self.channel.registerProducer(self, True)
            self._pull()
        else:
            self._end(answer.status)
            self.finish()

    def chunk(self, data: bytes, last: bool) -> None:
        """See base class."""
        if self._ended:
            return
        if not self._matches_announced_length(data, last):
            assert self._forwarding is not None
            self._forwarding.cancel()
            self.abort()
            return
        framed = self._frame(data)
        if last and self._answer_chunked:
            framed += b"0\r\n\r\n"
        self.channel.write(framed)
        if last:
            self.channel.unregisterProducer()
            self._end(self._status)
            self.finish()
        else:
            self._pull()

    def refuse(self, refusal: refusals.Refusal) -> None:
        """See base class."""
        if self._ended:
            return
        call = self._call
        assert call is not None
        call.ended = True
        body = b"" if self._bodyless else _refusals.body(call, refusal)
        head = _refusals.head(call, refusal, len(body))
        if not self._body_complete:
            # The rest of the body is not read, so the connection cannot be
            # reused.
            self.channel.persistent = False
        self._write_head(head, body)
        self._end(refusal)
        self.finish()

    def abort(self) -> None:
        """See base class."""
        if self._ended:
            return
        self._end(
            refusals.Refusal(
                refusals.RefusalReason.LOST, refusals.Execution.UNKNOWN
            )
        )
        self.channel.transport.abortConnection()

    # Back pressure of the caller's connection.

    def pauseProducing(self) -> None:
        """Stops requesting chunks because the caller reads slowly."""
        self._writing_paused = True

    def resumeProducing(self) -> None:
        """Requests chunks again after the write buffer drained."""
        self._writing_paused = False
        if self._pull_pending:
            self._pull()

    def stopProducing(self) -> None:
        """Does nothing; `connectionLost` handles the close that follows."""

    def _pull(self) -> None:
        self._pull_pending = self._writing_paused
        if not self._writing_paused and self._forwarding is not None:
            self._forwarding.pull()

    def _matches_announced_length(self, data: bytes, last: bool) -> bool:
        """Returns whether a part of the answer fits the announced length."""
        if self._answer_bytes_left == exchange.UNKNOWN_LENGTH:
            return True
        left = self._answer_bytes_left - len(data)
        self._answer_bytes_left = left
        # The last part may be empty.
        return left == 0 if last else left >= 0

    def _frame(self, data: bytes) -> bytes:
        if not self._answer_chunked:
            return data
        return b"%x\r\n%s\r\n" % (len(data), data) if data else b""

    def _write_head(self, head: list[bytes], body: bytes) -> None:
        if self._entry.closing or not self._body_complete:
            self.channel.persistent = False
        if not self.channel.persistent:
            head.append(b"Connection: close\r\n")
        head.append(b"\r\n")
        head.append(body)
        self.startedWriting = 1
        _immediate_write.write_now(self.channel.transport, b"".join(head))

    def _end(self, outcome: refusals.Refusal | int) -> None:
        self._ended = True
        self._stop_filter_timer()
        self._entry.active_requests.discard(self)
        call = self._call
        assert call is not None
        if call.on_ended is not None:
            call.on_ended(
                outcome if isinstance(outcome, refusals.Refusal) else None
            )
        self._entry.observer(call, outcome)
        self._forwarding = None
        call.release()
        self._entry.notify_if_drained()

    def _stop_filter_timer(self) -> None:
        timer, self._filter_timer = self._filter_timer, None
        clocks.cancel(timer)
