"""Server side of calls between nodes."""

from __future__ import annotations

import enum

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.forwarding import exchange
from cyclamendale.overload import feedback as feedbacks
from cyclamendale.peer import _call_codec
from cyclamendale.peer import _checks
from cyclamendale.peer import codec
from cyclamendale.peer import connection as connections
from cyclamendale.peer import kinds
from cyclamendale.peer import thrift_network
from cyclamendale.peer.generated.call import ttypes


class CallServer:
    """Opens exchanges with the local gate for calls from other nodes."""

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
            envelope = _call_codec.decode_envelope(message, self._clock.now_s())
        except (codec.DecodeError, ValueError):
            connection.reject(kinds.MessageKind.CALL, call_id)
            return
        if key in self._calls:
            connection.reject(kinds.MessageKind.CALL, call_id)
            return
        inbound = _InboundCall(connection, call_id, self._calls)
        self._calls[key] = inbound
        connection.lost_listeners.add(inbound.cancel)
        inbound.set_handle(self._gate.open(envelope, inbound))

    def _pull(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        payload: bytes,
    ) -> None:
        handle = self._find_exchange(connection, call_id)
        if handle is None:
            connection.reject(kinds.MessageKind.PULL, call_id)
        else:
            handle.pull()

    def _push(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        payload: bytes,
    ) -> None:
        handle = self._find_exchange(connection, call_id)
        chunk = _decode_chunk(payload)
        if handle is None or chunk is None:
            connection.reject(kinds.MessageKind.PUSH, call_id)
        else:
            handle.push(chunk.data, chunk.last)

    def _cancel(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        payload: bytes,
    ) -> None:
        inbound = self._calls.get((connection, call_id))
        if inbound is not None:
            inbound.cancel()

    def _find_exchange(
        self, connection: connections.PeerConnection, call_id: int
    ) -> exchange.Exchange | None:
        inbound = self._calls.get((connection, call_id))
        return None if inbound is None else inbound.handle


def _decode_chunk(payload: bytes) -> ttypes.Chunk | None:
    try:
        return codec.decode(ttypes.Chunk, payload)
    except codec.DecodeError:
        return None


class _Stage(enum.Enum):
    CALLED = 1
    ANSWERED = 2
    ENDED = 3


class _InboundCall(exchange.Receiver):
    """Server side of one call; sends the gate's events as frames."""

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

    def set_handle(self, handle: exchange.Exchange) -> None:
        """Stores the handle, unless the call has already ended."""
        if self._stage is not _Stage.ENDED:
            self.handle = handle

    def cancel(self) -> None:
        """Cancels the exchange; no caller is left to receive its answer."""
        handle = self.handle
        self._end()
        if handle is not None:
            handle.cancel()

    def answered(self, answer: exchange.Answer) -> None:
        """See base class."""
        self._stage = _Stage.ANSWERED
        if not answer.more:
            self._end()
        self._connection.reply(
            kinds.MessageKind.CALL,
            self._call_id,
            _call_codec.encode_answer(answer),
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
            _call_codec.encode_refusal(refusal, answer_feedback, unused_budget),
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

    def upload_requested(self) -> None:
        """See base class."""
        self._connection.reply(
            kinds.MessageKind.PUSH, self._call_id, _call_codec.ENCODED_SIGNAL
        )

    def lost(self, sent: bool) -> None:
        """See base class."""
        stage = self._stage
        self._end()
        kind = (
            kinds.MessageKind.CALL
            if stage is _Stage.CALLED
            else kinds.MessageKind.PULL
        )
        # If no pull is pending, the peer drops this rejection. Its next
        # pull finds no call and is rejected as well.
        self._connection.reject(kind, self._call_id)

    def _end(self) -> None:
        self._stage = _Stage.ENDED
        self._connection.lost_listeners.discard(self.cancel)
        self._calls.pop((self._connection, self._call_id), None)
        # Breaks the reference cycle with the exchange; see `Call.release`.
        self.handle = None
