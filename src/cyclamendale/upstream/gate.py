"""The gate: the only way to the upstream on the node's own host.

Because every request passes it, the gate knows for certain whether a
request was handed over; a refusal before that is truly "not run".
"""

from __future__ import annotations

from collections.abc import Callable
import enum
import random
from typing import Any

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.entry import retry_budget
from cyclamendale.forwarding import exchange
from cyclamendale.membership import directory
from cyclamendale.overload import admission as admissions
from cyclamendale.overload import feedback as feedbacks
from cyclamendale.upstream import connection_pool
from cyclamendale.upstream import contexts
from cyclamendale.upstream import http_connection

BUFFERED_BYTES = 2 * exchange.CHUNK_BYTES
"""Bytes of an answer held before the upstream is no longer read."""

LEAVING_RETRY_AFTER_S = 1.0

AdmissionFactory = Callable[[directory.Announcement], admissions.Admission]
CombineFeedback = Callable[
    [feedbacks.Feedback, contexts.Context], feedbacks.Feedback
]


class Gate(exchange.CallTransport):
    """Admits, queues, hands over, cancels and drains.

    Attributes:
        contexts: The requests that run on the upstream now.
        running: Requests handed over whose answer is not yet sent whole.
    """

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        random_source: random.Random,
        make_admission: AdmissionFactory,
        combine: CombineFeedback,
    ) -> None:
        self._reactor = reactor
        self.clock = clock
        self._random = random_source
        self._make_admission = make_admission
        self.combine = combine
        self.contexts = contexts.ContextTable()
        self._announced: directory.Announcement | None = None
        self._pool: connection_pool.ConnectionPool | None = None
        self._admission: admissions.Admission | None = None
        self._accepting = False
        self._closing = False
        self.running: set[_GateExchange] = set()
        self._drained: list[Callable[[], None]] = []

    @property
    def accepts(self) -> bool:
        """Returns whether new work is admitted."""
        return self._accepting and not self._closing

    @property
    def feedback(self) -> feedbacks.Feedback:
        """Returns the threshold and load of the upstream."""
        if self._admission is None:
            return feedbacks.Feedback()
        return self._admission.feedback()

    def failed_connections(self) -> bool:
        """Returns whether the last connect to the upstream failed."""
        return self._pool is not None and self._pool.failed_connects > 0

    def set_upstream(self, announced: directory.Announcement | None) -> None:
        """Follows what the upstream announces of itself."""
        previous = self._announced
        self._announced = announced
        if announced is None:
            self._stop_accepting()
            return
        is_other = previous is None or (
            (previous.service, previous.address)
            != (announced.service, announced.address)
        )
        if is_other:
            self._connect_to(announced)
        assert self._admission is not None
        self._admission.set_capacity(announced.slots, announced.connections)
        if announced.state is directory.UpstreamState.READY:
            if not self._accepting:
                self._accepting = True
                cold = previous is None or (
                    previous.state is directory.UpstreamState.STARTING
                )
                self._admission.reopen(cold)
        else:
            self._stop_accepting()

    def disconnect(self) -> None:
        """Closes idle connections to the upstream."""
        if self._pool is not None:
            self._pool.close()

    def close(self, drained: Callable[[], None]) -> None:
        """Refuses new work from now on; calls `drained` when none runs."""
        self._closing = True
        self._stop_accepting()
        self._drained.append(drained)
        self._check_drained()

    def open(
        self, envelope: exchange.Envelope, receiver: exchange.Receiver
    ) -> exchange.Exchange:
        """See base class."""
        handle = _GateExchange(self, envelope, receiver)
        if not self.accepts or self._admission is None or self._pool is None:
            handle.refuse_as_leaving()
            return handle
        handle.enter(self._admission, self._pool)
        return handle

    def leaving_refusal(self) -> refusals.Refusal:
        """Returns the refusal of a gate that takes no new work."""
        return refusals.Refusal(
            refusals.RefusalReason.LEAVING,
            retry_after_s=LEAVING_RETRY_AFTER_S
            * self._random.uniform(0.5, 1.5),
        )

    def ended(self, handle: _GateExchange) -> None:
        """Notes that nothing of a request is left at the gate."""
        self.running.discard(handle)
        self._check_drained()

    def _connect_to(self, announced: directory.Announcement) -> None:
        self._stop_accepting()
        if self._pool is not None:
            self._pool.close()
        self._pool = connection_pool.ConnectionPool(
            self._reactor, announced.address
        )
        self._admission = self._make_admission(announced)

    def _stop_accepting(self) -> None:
        self._accepting = False
        if self._admission is not None:
            self._admission.close()

    def _check_drained(self) -> None:
        if self._closing and not self.running:
            drained, self._drained = self._drained, []
            for notify in drained:
                notify()


class _Phase(enum.Enum):
    WAITING = 1
    CONNECTING = 2
    HANDED_OVER = 3
    ANSWERING = 4
    ENDED = 5


class _GateExchange(exchange.Exchange, http_connection.ResponseHandler):
    """One request at the gate."""

    __slots__ = (
        "_admission",
        "_buffer",
        "_connection",
        "_context",
        "_envelope",
        "_gate",
        "_head",
        "_paused",
        "_phase",
        "_pool",
        "_pull_waiting",
        "_push_awaited",
        "_receiver",
        "_response_complete",
        "_ticket",
        "_timer",
        "_upload_left",
    )

    def __init__(
        self,
        gate: Gate,
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
        self._paused = False
        self._pull_waiting = False
        self._response_complete = False
        self._timer: clocks.DelayedCall | None = None
        self._push_awaited = False
        self._upload_left = envelope.body_bytes - len(envelope.body)

    # Arrival and hand-over.

    def refuse_as_leaving(self) -> None:
        """Refuses because the gate takes no new work."""
        self._phase = _Phase.ENDED
        self._receiver.refused(
            self._gate.leaving_refusal(), None, self._envelope.budget
        )

    def enter(
        self,
        admission: admissions.Admission,
        pool: connection_pool.ConnectionPool,
    ) -> None:
        """Asks for admission."""
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
        context.on_waiting = self._waiting_changed
        self._context = context
        self._gate.contexts.add(context)
        self._connection = connection
        self._phase = _Phase.HANDED_OVER
        self._timer = self._gate.clock.call_later(
            max(0.0, remaining_s), self._deadline_passed
        )
        connection.begin(
            _request_bytes(envelope, context, remaining_s),
            self,
            envelope.head.startswith(b"HEAD "),
            envelope.more,
        )
        if envelope.more:
            connection.when_writable(self._writable)

    def _waiting_changed(self, waiting: bool) -> None:
        """Frees the limit, not the slot, while only onward calls run."""
        assert self._ticket is not None and self._admission is not None
        if waiting:
            self._admission.pause(self._ticket)
        else:
            self._admission.resume(self._ticket)

    # The upstream's response.

    def head_received(self, head: http_connection.ResponseHead) -> None:
        """See base class."""
        self._head = head

    def data_received(self, data: bytes) -> None:
        """See base class."""
        self._buffer += data
        if self._phase is _Phase.HANDED_OVER:
            if len(self._buffer) >= exchange.CHUNK_BYTES:
                self._answer(more=True)
        elif self._pull_waiting:
            self._send_chunk()
        if len(self._buffer) >= BUFFERED_BYTES and not self._paused:
            self._paused = True
            assert self._connection is not None
            self._connection.pause()

    def response_ended(self) -> None:
        """See base class."""
        self._response_complete = True
        self._release(admissions.Completion.ANSWERED)
        if self._phase is _Phase.HANDED_OVER:
            self._phase = _Phase.ENDED
            self._answer(more=False)
            self._close()
        elif self._pull_waiting:
            # The rest still waits to be pulled, until the deadline.
            self._send_chunk()

    def response_failed(self) -> None:
        """See base class."""
        answering = self._phase is _Phase.ANSWERING
        self._finish(admissions.Completion.FAILED)
        if answering:
            self._receiver.lost(sent=True)
        else:
            self._refuse_unknown(refusals.RefusalReason.UPSTREAM_FAILED)

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
                head.lines,
                body,
                more,
                head.body_bytes,
                0 if more else context.budget.drain(),
                self._gate.combine(self._gate.feedback, context),
            )
        )

    def _take_chunk(self) -> bytes:
        data = bytes(self._buffer[: exchange.CHUNK_BYTES])
        del self._buffer[: exchange.CHUNK_BYTES]
        return data

    def _send_chunk(self) -> None:
        self._pull_waiting = False
        data = self._take_chunk()
        last = self._response_complete and not self._buffer
        unused = 0
        if last:
            assert self._context is not None
            unused = self._context.budget.drain()
            self._close()
        elif self._paused and len(self._buffer) < exchange.CHUNK_BYTES:
            self._paused = False
            if self._connection is not None:
                self._connection.resume()
        self._receiver.chunk(data, last, unused)

    # What the caller's side asks for.

    def pull(self) -> None:
        """See base class."""
        if self._phase is not _Phase.ANSWERING:
            return
        self._pull_waiting = True
        if self._buffer or self._response_complete:
            self._send_chunk()

    def push(self, data: bytes, last: bool) -> None:
        """See base class."""
        connection = self._connection
        if connection is None:
            return
        if not self._accepts_push(data, last):
            self._cut_upload()
            return
        if self._envelope.body_bytes == exchange.UNKNOWN_LENGTH:
            data = _chunk_encoded(data, last)
        connection.send(data, last)
        if not last:
            connection.when_writable(self._writable)

    def cancel(self) -> bool:
        """See base class."""
        phase = self._phase
        if phase is _Phase.WAITING:
            assert self._admission is not None and self._ticket is not None
            self._phase = _Phase.ENDED
            self._admission.withdraw(self._ticket)
        elif self._response_complete:
            self._close()
        elif phase is not _Phase.ENDED:
            self._abort_connection()
            self._finish(admissions.Completion.CANCELLED)
        return phase in (_Phase.WAITING, _Phase.CONNECTING)

    def _writable(self) -> None:
        if self._connection is not None:
            self._push_awaited = True
            self._receiver.pushed()

    def _accepts_push(self, data: bytes, last: bool) -> bool:
        """Returns whether a part was asked for and has its place.

        A body of another length than announced would run into the next
        request on the upstream's connection.
        """
        awaited, self._push_awaited = self._push_awaited, False
        if self._envelope.body_bytes == exchange.UNKNOWN_LENGTH:
            return awaited
        self._upload_left -= len(data)
        return awaited and (
            self._upload_left == 0 if last else self._upload_left >= 0
        )

    def _cut_upload(self) -> None:
        answering = self._phase is _Phase.ANSWERING
        self._abort_connection()
        self._finish(admissions.Completion.CANCELLED)
        if answering:
            self._receiver.lost(sent=True)
        else:
            self._refuse_unknown(refusals.RefusalReason.LOST)

    # The end.

    def _deadline_passed(self) -> None:
        answering = self._phase is _Phase.ANSWERING
        if self._response_complete:
            self._close()
        else:
            self._abort_connection()
            self._finish(admissions.Completion.CANCELLED)
        if answering:
            self._receiver.lost(sent=True)
        else:
            self._refuse_unknown(refusals.RefusalReason.DEADLINE)

    def _refuse_unknown(self, reason: refusals.RefusalReason) -> None:
        assert self._context is not None
        self._receiver.refused(
            refusals.Refusal(reason, refusals.Execution.UNKNOWN),
            self._gate.combine(self._gate.feedback, self._context),
            self._context.budget.drain(),
        )

    def _abort_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()

    def _finish(self, completion: admissions.Completion) -> None:
        """Ends a request of whose answer nothing more is sent."""
        self._phase = _Phase.ENDED
        self._release(completion)
        self._close()

    def _release(self, completion: admissions.Completion) -> None:
        """Ends the context and gives the slot back."""
        self._connection = None
        own_time_s = 0.0
        assert self._ticket is not None and self._admission is not None
        if self._context is not None:
            self._gate.contexts.end(self._context)
            if completion is not admissions.Completion.ANSWERED:
                for cancel in tuple(self._context.cancel_onward):
                    cancel()
            if self._context.is_waiting:
                self._admission.resume(self._ticket)
            self._context.on_waiting = None
            started_s = self._ticket.started_s or 0.0
            total_s = self._gate.clock.now_s() - started_s
            own_time_s = max(0.0, total_s - self._context.onward_s)
        self._admission.finish(self._ticket, own_time_s, completion)

    def _close(self) -> None:
        """Ends the exchange once its answer was sent or abandoned."""
        self._phase = _Phase.ENDED
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._buffer.clear()
        self._gate.ended(self)


def _request_bytes(
    envelope: exchange.Envelope, context: contexts.Context, remaining_s: float
) -> bytes:
    """Builds the request for the upstream, with the context token."""
    parts = [
        envelope.head,
        b"X-Cyclamendale-Context: %s\r\nX-Cyclamendale-Deadline-Ms: %d\r\n"
        % (context.token.encode(), remaining_s * 1000),
    ]
    if envelope.body_bytes == exchange.UNKNOWN_LENGTH:
        parts.append(b"Transfer-Encoding: chunked\r\n\r\n")
        parts.append(_chunk_encoded(envelope.body, not envelope.more))
    else:
        if envelope.body_bytes or not envelope.head.startswith(
            (b"GET ", b"HEAD ", b"DELETE ", b"OPTIONS ")
        ):
            parts.append(b"Content-Length: %d\r\n" % envelope.body_bytes)
        parts.append(b"\r\n")
        parts.append(envelope.body)
    return b"".join(parts)


def _chunk_encoded(data: bytes, last: bool) -> bytes:
    """Encodes a part of a body for Transfer-Encoding: chunked."""
    encoded = b"%x\r\n%s\r\n" % (len(data), data) if data else b""
    return encoded + b"0\r\n\r\n" if last else encoded
