"""Calls between nodes: both ends of an exchange over a connection."""

from __future__ import annotations

import enum
from typing import Any

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.forwarding import exchange
from cyclamendale.intents import model
from cyclamendale.overload import feedback as feedbacks
from cyclamendale.overload import shed_key as shed_keys
from cyclamendale.peer import _checks
from cyclamendale.peer import codec
from cyclamendale.peer import connection as connections
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer import thrift_network
from cyclamendale.peer.generated.call import ttypes

_SIGNAL = codec.encode(ttypes.Signal())


class RemoteCallTransport(exchange.CallTransport):
    """Way to the gate of another node."""

    def __init__(
        self,
        peer_network: thrift_network.ThriftPeerNetwork,
        clock: clocks.Clock,
        peer: ids.PeerAddress,
    ) -> None:
        self._network = peer_network
        self._clock = clock
        self._peer = peer

    def open(
        self, envelope: exchange.Envelope, receiver: exchange.Receiver
    ) -> exchange.Exchange:
        """See base class."""
        handle = _RemoteExchange(envelope, receiver, self._clock)
        self._network.with_connection(self._peer, handle.connected)
        return handle


class _RemoteExchange(exchange.Exchange):
    """Caller's end of a call."""

    __slots__ = (
        "_call_id",
        "_clock",
        "_connection",
        "_ended",
        "_envelope",
        "_receiver",
    )

    def __init__(
        self,
        envelope: exchange.Envelope,
        receiver: exchange.Receiver,
        clock: clocks.Clock,
    ) -> None:
        self._envelope = envelope
        self._receiver = receiver
        self._clock = clock
        self._connection: connections.PeerConnection | None = None
        self._call_id = 0
        self._ended = False

    def connected(self, connection: connections.PeerConnection | None) -> None:
        """Sends the call once there is a connection."""
        if self._ended:
            return
        if connection is None:
            self._ended = True
            self._receiver.lost(sent=False)
            return
        self._connection = connection
        self._call_id = connection.next_call_id()
        if self._envelope.more:
            connection.expect(
                kinds.MessageKind.PUSH, self._call_id, self._push_taken
            )
        connection.request(
            kinds.MessageKind.CALL,
            self._call_id,
            _encode_envelope(self._envelope, self._clock.now_s()),
            self._replied,
        )

    def pull(self) -> None:
        """See base class."""
        self._request(kinds.MessageKind.PULL, _SIGNAL, self._chunk_received)

    def push(self, data: bytes, last: bool) -> None:
        """See base class."""
        chunk = ttypes.Chunk(data=data, last=last, unused_budget=0)
        self._request(
            kinds.MessageKind.PUSH,
            codec.encode(chunk),
            None if last else self._push_taken,
        )

    def cancel(self) -> bool:
        """See base class."""
        if self._ended:
            return False
        self._ended = True
        connection = self._connection
        if connection is None:
            return True
        self._stop_listening()
        for kind in _REPLIED_KINDS:
            connection.forget(kind, self._call_id)
        if connection.is_open:
            connection.request(
                kinds.MessageKind.CANCEL, self._call_id, _SIGNAL, None
            )
        return False

    def _request(
        self,
        kind: kinds.MessageKind,
        payload: bytes,
        on_reply: connections.ReplyHandler | None,
    ) -> None:
        connection = self._connection
        if self._ended or connection is None or not connection.is_open:
            return
        connection.request(kind, self._call_id, payload, on_reply)

    def _replied(self, reply: bytes | network.PeerErrorKind) -> None:
        if self._ended:
            return
        answer = self._decoded(ttypes.CallAnswer, reply)
        if answer is None:
            return
        if not answer.more and self._envelope.more and self._connection:
            # A streamed answer may come while the upload goes on.
            self._connection.forget(kinds.MessageKind.PUSH, self._call_id)
        if answer.reason is None:
            self._ended = not answer.more
            if answer.more and self._connection is not None:
                # Between two pulls no request would be failed.
                self._connection.lost_listeners.add(self._connection_lost)
            self._receiver.answered(_decode_answer(answer))
            return
        self._ended = True
        self._receiver.refused(
            _decode_refusal(answer),
            _decode_feedback(answer),
            answer.unused_budget,
        )

    def _chunk_received(self, reply: bytes | network.PeerErrorKind) -> None:
        if self._ended:
            return
        chunk = self._decoded(ttypes.Chunk, reply)
        if chunk is not None:
            if chunk.last:
                self._stop_listening()
            self._ended = chunk.last
            self._receiver.chunk(chunk.data, chunk.last, chunk.unused_budget)

    def _push_taken(self, reply: bytes | network.PeerErrorKind) -> None:
        if self._ended:
            return
        if self._decoded(ttypes.Signal, reply) is not None:
            self._receiver.pushed()

    def _decoded(
        self, struct_type: type, reply: bytes | network.PeerErrorKind
    ) -> ttypes.CallAnswer | None:
        """Returns the decoded reply, or ends the exchange as lost."""
        if not isinstance(reply, network.PeerErrorKind):
            try:
                message: Any = codec.decode(struct_type, reply)
                if struct_type is ttypes.CallAnswer:
                    _checks.check_answer(message)
                return message
            except (codec.DecodeError, _checks.CheckError):
                self.cancel()
        self._stop_listening()
        self._ended = True
        self._receiver.lost(sent=True)
        return None

    def _connection_lost(self) -> None:
        if not self._ended:
            self._ended = True
            self._receiver.lost(sent=True)

    def _stop_listening(self) -> None:
        if self._connection is not None:
            self._connection.lost_listeners.discard(self._connection_lost)


_REPLIED_KINDS = (
    kinds.MessageKind.CALL,
    kinds.MessageKind.PULL,
    kinds.MessageKind.PUSH,
)


class CallServer:
    """Opens exchanges at the gate for calls from other nodes."""

    def __init__(
        self,
        peer_network: thrift_network.ThriftPeerNetwork,
        clock: clocks.Clock,
        gate: exchange.CallTransport,
    ) -> None:
        self._clock = clock
        self._gate = gate
        self._calls: dict[
            tuple[connections.PeerConnection, int], _InboundCall
        ] = {}
        peer_network.serve_raw(kinds.MessageKind.CALL, self._call)
        peer_network.serve_raw(kinds.MessageKind.PULL, self._pull)
        peer_network.serve_raw(kinds.MessageKind.PUSH, self._push)
        peer_network.serve_raw(kinds.MessageKind.CANCEL, self._cancel)

    def _call(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        payload: bytes,
    ) -> None:
        key = (connection, call_id)
        try:
            message = codec.decode(ttypes.CallRequest, payload)
            _checks.check_call(message)
            envelope = _decode_envelope(message, self._clock.now_s())
        except (codec.DecodeError, ValueError):
            connection.reject(kinds.MessageKind.CALL, call_id)
            return
        if key in self._calls:
            connection.reject(kinds.MessageKind.CALL, call_id)
            return
        inbound = _InboundCall(connection, call_id, self._calls)
        self._calls[key] = inbound
        connection.lost_listeners.add(inbound.connection_lost)
        handle = self._gate.open(envelope, inbound)
        inbound.handle = handle

    def _pull(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        payload: bytes,
    ) -> None:
        inbound = self._calls.get((connection, call_id))
        if inbound is None or inbound.handle is None:
            connection.reject(kinds.MessageKind.PULL, call_id)
        else:
            inbound.handle.pull()

    def _push(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        payload: bytes,
    ) -> None:
        inbound = self._calls.get((connection, call_id))
        if inbound is None or inbound.handle is None:
            connection.reject(kinds.MessageKind.PUSH, call_id)
            return
        try:
            chunk = codec.decode(ttypes.Chunk, payload)
        except codec.DecodeError:
            connection.reject(kinds.MessageKind.PUSH, call_id)
            return
        inbound.handle.push(chunk.data, chunk.last)

    def _cancel(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        payload: bytes,
    ) -> None:
        inbound = self._calls.get((connection, call_id))
        if inbound is not None:
            inbound.connection_lost()


class _Stage(enum.Enum):
    CALLED = 1
    ANSWERED = 2
    ENDED = 3


class _InboundCall(exchange.Receiver):
    """Target's end of a call: sends what the gate says as frames."""

    __slots__ = ("_call_id", "_calls", "_connection", "_stage", "handle")

    def __init__(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        calls: dict[tuple[connections.PeerConnection, int], _InboundCall],
    ) -> None:
        self._connection = connection
        self._call_id = call_id
        self._calls = calls
        self._stage = _Stage.CALLED
        self.handle: exchange.Exchange | None = None

    def connection_lost(self) -> None:
        """Cancels the work: nobody is left to receive the answer."""
        self._end()
        if self.handle is not None:
            self.handle.cancel()

    def answered(self, answer: exchange.Answer) -> None:
        """See base class."""
        self._stage = _Stage.ANSWERED
        if not answer.more:
            self._end()
        self._connection.reply(
            kinds.MessageKind.CALL, self._call_id, _encode_answer(answer)
        )

    def refused(
        self,
        refusal: refusals.Refusal,
        answer_feedback: feedbacks.Feedback | None,
        unused_budget: int,
    ) -> None:
        """See base class."""
        self._end()
        self._connection.reply(
            kinds.MessageKind.CALL,
            self._call_id,
            _encode_refusal(refusal, answer_feedback, unused_budget),
        )

    def chunk(self, data: bytes, last: bool, unused_budget: int) -> None:
        """See base class."""
        if last:
            self._end()
        self._connection.reply(
            kinds.MessageKind.PULL,
            self._call_id,
            codec.encode(
                ttypes.Chunk(data=data, last=last, unused_budget=unused_budget)
            ),
        )

    def pushed(self) -> None:
        """See base class."""
        self._connection.reply(kinds.MessageKind.PUSH, self._call_id, _SIGNAL)

    def lost(self, sent: bool) -> None:
        """See base class."""
        stage = self._stage
        self._end()
        kind = (
            kinds.MessageKind.CALL
            if stage is _Stage.CALLED
            else kinds.MessageKind.PULL
        )
        # Rejected unasked when no pull waits: the peer's next one finds
        # no call and is rejected as well.
        self._connection.reject(kind, self._call_id)

    def _end(self) -> None:
        self._stage = _Stage.ENDED
        self._connection.lost_listeners.discard(self.connection_lost)
        self._calls.pop((self._connection, self._call_id), None)


def _encode_envelope(envelope: exchange.Envelope, now_s: float) -> bytes:
    return codec.encode(
        ttypes.CallRequest(
            request_id=envelope.request,
            customer=envelope.customer,
            route=envelope.route,
            importance=envelope.importance,
            shed_key=envelope.shed_key,
            depth=envelope.depth,
            budget=envelope.budget,
            remaining_s=envelope.deadline_s - now_s,
            head=envelope.head,
            body=envelope.body,
            more=envelope.more,
            body_bytes=envelope.body_bytes,
        )
    )


def _decode_envelope(
    message: ttypes.CallRequest, now_s: float
) -> exchange.Envelope:
    return exchange.Envelope(
        ids.RequestId(message.request_id),
        ids.CustomerId(message.customer),
        ids.RouteName(message.route),
        model.Importance(message.importance),
        shed_keys.ShedKey(message.shed_key),
        message.depth,
        message.budget,
        now_s + message.remaining_s,
        message.head,
        message.body,
        message.more,
        message.body_bytes,
    )


def _encode_answer(answer: exchange.Answer) -> bytes:
    return codec.encode(
        ttypes.CallAnswer(
            status=answer.status,
            head=answer.head,
            body=answer.body,
            more=answer.more,
            body_bytes=answer.body_bytes,
            unused_budget=answer.unused_budget,
            threshold=answer.feedback.threshold,
            load=answer.feedback.load,
        )
    )


def _decode_answer(message: ttypes.CallAnswer) -> exchange.Answer:
    return exchange.Answer(
        message.status,
        message.head,
        message.body,
        message.more,
        message.body_bytes,
        message.unused_budget,
        _decode_feedback(message),
    )


def _decode_feedback(message: ttypes.CallAnswer) -> feedbacks.Feedback:
    return feedbacks.Feedback(
        shed_keys.ShedKey(message.threshold), message.load
    )


def _encode_refusal(
    refusal: refusals.Refusal,
    answer_feedback: feedbacks.Feedback | None,
    unused_budget: int,
) -> bytes:
    known = answer_feedback or feedbacks.Feedback()
    decider = refusal.decider
    return codec.encode(
        ttypes.CallAnswer(
            status=0,
            head=b"",
            body=b"",
            more=False,
            body_bytes=0,
            unused_budget=unused_budget,
            threshold=known.threshold,
            load=known.load,
            reason=refusal.reason.value,
            execution=refusal.execution.value,
            decider_file=decider.file if decider else None,
            decider_version=decider.version if decider else None,
            retry_after_s=refusal.retry_after_s,
        )
    )


def _decode_refusal(message: ttypes.CallAnswer) -> refusals.Refusal:
    decider = None
    if message.decider_file is not None:
        decider = refusals.Decider(
            ids.IntentFileName(message.decider_file),
            ids.ConfigVersion(message.decider_version or 0),
        )
    try:
        reason = refusals.RefusalReason(message.reason)
        execution = refusals.Execution(message.execution)
    except ValueError:
        # A newer peer's reason: what is certain is only that it refused.
        reason = refusals.RefusalReason.LOST
        execution = refusals.Execution.UNKNOWN
    return refusals.Refusal(reason, execution, decider, message.retry_after_s)
