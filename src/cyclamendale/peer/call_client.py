"""Client side of calls between nodes."""

from __future__ import annotations

from typing import Any

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.forwarding import exchange
from cyclamendale.peer import _call_codec
from cyclamendale.peer import _checks
from cyclamendale.peer import codec
from cyclamendale.peer import connection as connections
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer import thrift_network
from cyclamendale.peer.generated.call import ttypes

_KINDS_WITH_REPLY = (
    kinds.MessageKind.CALL,
    kinds.MessageKind.PULL,
    kinds.MessageKind.PUSH,
)


class RemoteCallTransport(exchange.CallTransport):
    """Opens exchanges with the gate of another node."""

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
        self._network.with_connection(self._peer, handle.on_connected)
        return handle


class _RemoteExchange(exchange.Exchange):
    """Client side of one call."""

    __slots__ = (
        "_call_id",
        "_clock",
        "_connection",
        "_is_ended",
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
        self._is_ended = False

    def on_connected(
        self, connection: connections.PeerConnection | None
    ) -> None:
        """Sends the call, or reports it as lost without a connection."""
        if self._is_ended:
            return
        if connection is None:
            self._is_ended = True
            self._receiver.lost(sent=False)
            return
        self._connection = connection
        self._call_id = connection.next_call_id()
        if self._envelope.more:
            connection.expect_reply(
                kinds.MessageKind.PUSH,
                self._call_id,
                self._on_push_reply,
            )
        connection.request(
            kinds.MessageKind.CALL,
            self._call_id,
            _call_codec.encode_envelope(self._envelope, self._clock.now_s()),
            self._on_call_reply,
        )

    def pull(self) -> None:
        """See base class."""
        self._request(
            kinds.MessageKind.PULL,
            _call_codec.ENCODED_SIGNAL,
            self._on_pull_reply,
        )

    def push(self, data: bytes, last: bool) -> None:
        """See base class."""
        chunk = ttypes.Chunk(data=data, last=last, unused_budget=0)
        self._request(
            kinds.MessageKind.PUSH,
            codec.encode(chunk),
            None if last else self._on_push_reply,
        )

    def cancel(self) -> bool:
        """See base class."""
        if self._is_ended:
            return False
        self._is_ended = True
        connection = self._connection
        if connection is None:
            return True
        self._remove_lost_listener()
        for kind in _KINDS_WITH_REPLY:
            connection.ignore_reply(kind, self._call_id)
        if connection.is_open:
            connection.request(
                kinds.MessageKind.CANCEL,
                self._call_id,
                _call_codec.ENCODED_SIGNAL,
                None,
            )
        return False

    def _request(
        self,
        kind: kinds.MessageKind,
        payload: bytes,
        on_reply: connections.ReplyHandler | None,
    ) -> None:
        connection = self._connection
        if self._is_ended or connection is None or not connection.is_open:
            return
        connection.request(kind, self._call_id, payload, on_reply)

    def _on_call_reply(self, reply: bytes | network.PeerErrorKind) -> None:
        if self._is_ended:
            return
        answer = self._decode_reply(ttypes.CallAnswer, reply)
        if answer is None:
            return
        if not answer.more and self._envelope.more and self._connection:
            # A complete answer ends the upload; during a streamed one
            # the upload may continue.
            self._connection.ignore_reply(kinds.MessageKind.PUSH, self._call_id)
        if answer.reason is None:
            self._is_ended = not answer.more
            if answer.more and self._connection is not None:
                # Between two pulls there is no pending request whose
                # handler would learn of the lost connection.
                self._connection.lost_listeners.add(self._on_connection_lost)
            self._receiver.answered(_call_codec.decode_answer(answer))
            return
        self._is_ended = True
        self._receiver.refused(
            _call_codec.decode_refusal(answer),
            _call_codec.decode_feedback(answer),
            answer.unused_budget,
        )

    def _on_pull_reply(self, reply: bytes | network.PeerErrorKind) -> None:
        if self._is_ended:
            return
        chunk = self._decode_reply(ttypes.Chunk, reply)
        if chunk is not None:
            if chunk.last:
                self._remove_lost_listener()
            self._is_ended = chunk.last
            self._receiver.chunk(chunk.data, chunk.last, chunk.unused_budget)

    def _on_push_reply(self, reply: bytes | network.PeerErrorKind) -> None:
        if self._is_ended:
            return
        if self._decode_reply(ttypes.Signal, reply) is not None:
            self._receiver.upload_requested()

    def _decode_reply(
        self, struct_type: type, reply: bytes | network.PeerErrorKind
    ) -> ttypes.CallAnswer | None:
        """Decodes a reply; if that fails, ends the exchange as lost."""
        if not isinstance(reply, network.PeerErrorKind):
            try:
                message: Any = codec.decode(struct_type, reply)
                if struct_type is ttypes.CallAnswer:
                    _checks.check_answer(message)
                return message
            except (codec.DecodeError, _checks.InvalidMessageError):
                self.cancel()
        self._remove_lost_listener()
        self._is_ended = True
        self._receiver.lost(sent=True)
        return None

    def _on_connection_lost(self) -> None:
        if not self._is_ended:
            self._is_ended = True
            self._receiver.lost(sent=True)

    def _remove_lost_listener(self) -> None:
        if self._connection is not None:
            self._connection.lost_listeners.discard(self._on_connection_lost)
