"""State of one request at the gate, from arrival to the end of its answer."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.entry import retry_budget
from cyclamendale.forwarding import exchange
from cyclamendale.overload import admission as admissions
from cyclamendale.upstream import _request_encoding
from cyclamendale.upstream import connection_pool
from cyclamendale.upstream import contexts
from cyclamendale.upstream import http_connection

if TYPE_CHECKING:
    from cyclamendale.upstream import gate as gates

MAX_BUFFERED_BYTES = 2 * exchange.CHUNK_BYTES
"""Buffered bytes of an answer at which reading from the upstream pauses."""


class _Phase(enum.Enum):
    WAITING = 1
    CONNECTING = 2
    HANDED_OVER = 3
    ANSWERING = 4
    ENDED = 5


class GateExchange(exchange.Exchange, http_connection.ResponseHandler):
    """One request at the gate; the handle of its attempt."""

    __slots__ = (
        "_admission",
        "_buffer",
        "_connection",
        "_context",
        "_envelope",
        "_gate",
        "_head",
        "_is_paused",
        "_phase",
        "_pool",
        "_pull_pending",
        "_push_requested",
        "_receiver",
        "_response_complete",
        "_ticket",
        "_timer",
        "_unsent_bytes",
    )

    def __init__(
        self,
        gate: gates.Gate,
        envelope: exchange.Envelope,
        receiver: exchange.Receiver,
    ) -> None:
        self._gate = gate
        self._envelope = envelope
        self._receiver = receiver
        self._phase = _Phase.WAITING
        self._admission: admissions.Admission | None = None
        self._pool: connection_pool.ConnectionPool | None = None
        self._ticket: admissions.Ticket | None = None
        self._context: contexts.Context | None = None
        self._connection: http_connection.UpstreamConnection | None = None
        self._head: http_connection.ResponseHead | None = None
        self._buffer = bytearray()
        self._is_paused = False
        self._pull_pending = False
        self._response_complete = False
        self._timer: clocks.DelayedCall | None = None
        self._push_requested = False
        self._unsent_bytes = envelope.body_bytes - len(envelope.body)

    # Admission and hand-over to the upstream.

    def refuse_as_leaving(self) -> None:
        """Refuses the request because the gate accepts no new work."""
        self._phase = _Phase.ENDED
        self._receiver.refused(
            self._gate.make_leaving_refusal(), None, self._envelope.budget
        )

    def request_admission(
        self,
        admission: admissions.Admission,
        pool: connection_pool.ConnectionPool,
    ) -> None:
        """Submits the request to admission control."""
        self._admission = admission
        self._pool = pool
        envelope = self._envelope
        self._ticket = admissions.Ticket(
            envelope.customer,
            envelope.shed_key,
            envelope.deadline_s,
            self._start,
            self._refused,
        )
        admission.submit(self._ticket)

    def _start(self) -> None:
        self._phase = _Phase.CONNECTING
        self._gate.running.add(self)
        assert self._pool is not None
        self._pool.acquire(self._connected)

    def _refused(self, refusal: refusals.Refusal) -> None:
        self._phase = _Phase.ENDED
        self._ticket = None
        assert self._admission is not None
        self._receiver.refused(
            refusal, self._admission.feedback(), self._envelope.budget
        )

    def _connected(
        self, connection: http_connection.UpstreamConnection | None
    ) -> None:
        if self._phase is not _Phase.CONNECTING:
            if connection is not None:
                self._return_unused(connection)
        elif connection is None:
            self._refuse_not_run(
                refusals.RefusalReason.NO_TARGET, admissions.Completion.FAILED
            )
        elif self._envelope.deadline_s <= self._gate.clock.now_s():
            self._return_unused(connection)
            self._refuse_not_run(
                refusals.RefusalReason.DEADLINE, admissions.Completion.CANCELLED
            )
        else:
            self._hand_over(connection)

    def _return_unused(
        self, connection: http_connection.UpstreamConnection
    ) -> None:
        assert self._pool is not None
        self._pool.release(connection)

    def _refuse_not_run(
        self,
        reason: refusals.RefusalReason,
        completion: admissions.Completion,
    ) -> None:
        self._finish(completion)
        self._receiver.refused(
            refusals.Refusal(reason),
            self._gate.feedback,
            self._envelope.budget,
        )

    def _hand_over(
        self, connection: http_connection.UpstreamConnection
    ) -> None:
        envelope = self._envelope
        now_s = self._gate.clock.now_s()
        remaining_s = envelope.deadline_s - now_s
        context = contexts.Context(
            envelope.request,
            envelope.customer,
            envelope.route,
            envelope.importance,
            envelope.deadline_s,
            envelope.depth,
            envelope.shed_key,
            retry_budget.RetryBudget(envelope.budget),
        )
        context.on_waiting_changed = self._waiting_changed
        self._context = context
        self._gate.contexts.add(context)
        self._connection = connection
        self._phase = _Phase.HANDED_OVER
        self._timer = self._gate.clock.call_later(
            max(0.0, remaining_s), self._deadline_passed
        )
        connection.send_request(
            _request_encoding.encode_request(envelope, context, remaining_s),
            self,
            envelope.head.startswith(b"HEAD "),
            envelope.more,
        )
        if envelope.more:
            connection.when_writable(self._request_push)

    def _waiting_changed(self, waiting: bool) -> None:
        """Frees the concurrency limit, not the slot, during onward calls."""
        assert self._ticket is not None and self._admission is not None
        if waiting:
            self._admission.pause(self._ticket)
        else:
            self._admission.resume(self._ticket)

    # Response of the upstream.

    def head_received(self, head: http_connection.ResponseHead) -> None:
        """See base class."""
        self._head = head

    def data_received(self, data: bytes) -> None:
        """See base class."""
        self._buffer += data
        if self._phase is _Phase.HANDED_OVER:
            if len(self._buffer) >= exchange.CHUNK_BYTES:
                self._answer(more=True)
        elif self._pull_pending:
            self._send_chunk()
        if len(self._buffer) >= MAX_BUFFERED_BYTES and not self._is_paused:
            self._is_paused = True
            assert self._connection is not None
            self._connection.pause()

    def response_ended(self) -> None:
        """See base class."""
        self._response_complete = True
        self._release_slot(admissions.Completion.ANSWERED)
        if self._phase is _Phase.HANDED_OVER:
            self._phase = _Phase.ENDED
            self._answer(more=False)
            self._close()
        elif self._pull_pending:
            # Further chunks stay buffered until pulled or the deadline.
            self._send_chunk()

    def response_failed(self) -> None:
        """See base class."""
        was_answering = self._phase is _Phase.ANSWERING
        self._finish(admissions.Completion.FAILED)
        if was_answering:
            self._receiver.lost(sent=True)
        else:
            self._refuse_as_unknown(refusals.RefusalReason.UPSTREAM_FAILED)

    def _answer(self, more: bool) -> None:
        head = self._head
        context = self._context
        assert head is not None and context is not None
        body = self._take_chunk() if more else bytes(self._buffer)
        if more:
            self._phase = _Phase.ANSWERING
        self._receiver.answered(
            exchange.Answer(
                head.status,
                head.header_lines,
                body,
                more,
                head.body_bytes,
                0 if more else context.budget.drain(),
                self._gate.combine_feedback(self._gate.feedback, context),
            )
        )

    def _take_chunk(self) -> bytes:
        data = bytes(self._buffer[: exchange.CHUNK_BYTES])
        del self._buffer[: exchange.CHUNK_BYTES]
        return data

    def _send_chunk(self) -> None:
        self._pull_pending = False
        data = self._take_chunk()
        last = self._response_complete and not self._buffer
        unused = 0
        if last:
            assert self._context is not None
            unused = self._context.budget.drain()
            self._close()
        elif self._is_paused and len(self._buffer) < exchange.CHUNK_BYTES:
            self._is_paused = False
            if self._connection is not None:
                self._connection.resume()
        self._receiver.chunk(data, last, unused)

    # Requests of the caller's side.

    def pull(self) -> None:
        """See base class."""
        if self._phase is not _Phase.ANSWERING:
            return
        self._pull_pending = True
        if self._buffer or self._response_complete:
            self._send_chunk()

    def push(self, data: bytes, last: bool) -> None:
        """See base class."""
        connection = self._connection
        if connection is None:
            return
        if not self._is_valid_push(data, last):
            self._abort_upload()
            return
        if self._envelope.body_bytes == exchange.UNKNOWN_LENGTH:
            data = _request_encoding.encode_chunk(data, last)
        connection.send_body(data, last)
        if not last:
            connection.when_writable(self._request_push)

    def cancel(self) -> bool:
        """See base class."""
        phase = self._phase
        if phase is _Phase.WAITING:
            assert self._admission is not None and self._ticket is not None
            self._phase = _Phase.ENDED
            ticket, self._ticket = self._ticket, None
            self._admission.withdraw(ticket)
        elif self._response_complete:
            self._close()
        elif phase is not _Phase.ENDED:
            self._abort_connection()
            self._finish(admissions.Completion.CANCELLED)
        return phase in (_Phase.WAITING, _Phase.CONNECTING)

    def _request_push(self) -> None:
        if self._connection is not None:
            self._push_requested = True
            self._receiver.upload_requested()

    def _is_valid_push(self, data: bytes, last: bool) -> bool:
        """Returns whether a part was requested and fits the body length.

        If the body had another length than announced, the upstream would
        look for the next request at the wrong position.
        """
        requested, self._push_requested = self._push_requested, False
        if self._envelope.body_bytes == exchange.UNKNOWN_LENGTH:
            return requested
        self._unsent_bytes -= len(data)
        return requested and (
            self._unsent_bytes == 0 if last else self._unsent_bytes >= 0
        )

    def _abort_upload(self) -> None:
        was_answering = self._phase is _Phase.ANSWERING
        self._abort_connection()
        self._finish(admissions.Completion.CANCELLED)
        if was_answering:
            self._receiver.lost(sent=True)
        else:
            self._refuse_as_unknown(refusals.RefusalReason.LOST)

    # End of the exchange.

    def _deadline_passed(self) -> None:
        was_answering = self._phase is _Phase.ANSWERING
        if self._response_complete:
            self._close()
        else:
            self._abort_connection()
            self._finish(admissions.Completion.CANCELLED)
        if was_answering:
            self._receiver.lost(sent=True)
        else:
            self._refuse_as_unknown(refusals.RefusalReason.DEADLINE)

    def _refuse_as_unknown(self, reason: refusals.RefusalReason) -> None:
        assert self._context is not None
        self._receiver.refused(
            refusals.Refusal(reason, refusals.Execution.UNKNOWN),
            self._gate.combine_feedback(self._gate.feedback, self._context),
            self._context.budget.drain(),
        )

    def _abort_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()

    def _finish(self, completion: admissions.Completion) -> None:
        """Ends a request whose answer is not sent any further."""
        self._phase = _Phase.ENDED
        self._release_slot(completion)
        self._close()

    def _release_slot(self, completion: admissions.Completion) -> None:
        """Ends the context and releases the slot on the upstream."""
        self._connection = None
        own_time_s = 0.0
        assert self._ticket is not None and self._admission is not None
        if self._context is not None:
            self._gate.contexts.end(self._context)
            if completion is not admissions.Completion.ANSWERED:
                for cancel in tuple(self._context.onward_cancellers):
                    cancel()
            if self._context.is_waiting:
                self._admission.resume(self._ticket)
            self._context.on_waiting_changed = None
            started_s = self._ticket.started_s or 0.0
            total_s = self._gate.clock.now_s() - started_s
            own_time_s = max(0.0, total_s - self._context.onward_time_s)
        ticket, self._ticket = self._ticket, None
        self._admission.finish(ticket, own_time_s, completion)

    def _close(self) -> None:
        """Ends the exchange after its answer was sent or abandoned."""
        self._phase = _Phase.ENDED
        clocks.cancel(self._timer)
        self._buffer.clear()
        self._gate.exchange_ended(self)
