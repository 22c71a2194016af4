"""Authenticated, multiplexed connection between two nodes.

Frames are length-prefixed. The frame header has the message kind, a flag,
a call id chosen by the requester and the sender's hybrid logical clock
stamp. The payload is one encoded thrift struct. Before the first frame,
both sides prove by a challenge-response handshake that they know the
fleet secret.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
import hashlib
import hmac
import secrets
from typing import Any, TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure

from cyclamendale import _immediate_write
from cyclamendale import buffer_budget
from cyclamendale import events
from cyclamendale.peer import frames
from cyclamendale.peer import network

if TYPE_CHECKING:
    from cyclamendale.peer import kinds

MAX_FRAME_BYTES = 1024 * 1024
MAX_HANDSHAKE_BYTES = 64
"""Maximum message length before the peer is authenticated."""

HANDSHAKE_TIMEOUT_S = 5.0
PROTOCOL_VERSION = b"cyclamendale-peer-2"

_CHALLENGE_BYTES = 16
_COUNTER_MASK = 0xFFFFFFFF


class FrameFlag(enum.IntEnum):
    """Role of a frame within its call id."""

    REQUEST = 0
    REPLY = 1
    REJECTION = 2
    CLOSING = 3
    """Last frame of a sender, which reads no more; kind and call id are 0."""


class _Phase(enum.Enum):
    AWAITING_CHALLENGE = 1
    AWAITING_PROOF = 2
    OPEN = 3
    CLOSED = 4


ReplyHandler = Callable[["bytes | network.PeerErrorKind"], None]
"""Called with the payload of a reply, or with the kind of the failure."""

RequestHandler = Callable[["PeerConnection", int, int, bytes], None]
"""Called with the connection, kind, call id and payload of a request."""


class PeerConnection(protocol.Protocol, frames.Receiver):
    """Protocol of either end of a connection.

    Attributes:
        lost_listeners: Functions to call when the connection is lost.
    """

    # Type-checking Twisted's interfaces would need a mypy plugin.
    transport: Any

    def __init__(
        self,
        secret: bytes,
        is_initiator: bool,
        on_request: RequestHandler,
        on_open: Callable[[PeerConnection], None],
        on_closed: Callable[[PeerConnection], None],
        call_later: Callable[..., Any],
        hlc: events.HybridLogicalClock,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        budget: buffer_budget.BufferBudget | None = None,
    ) -> None:
        self._max_open_frame_bytes = max_frame_bytes
        self._reader = frames.FrameReader(
            self, budget or buffer_budget.BufferBudget()
        )
        self._secret = secret
        self._is_initiator = is_initiator
        self._on_request = on_request
        self._on_open = on_open
        self._on_closed = on_closed
        self._call_later = call_later
        self._hlc = hlc
        self._challenge = secrets.token_bytes(_CHALLENGE_BYTES)
        self._peer_challenge = b""
        self._phase = _Phase.AWAITING_CHALLENGE
        self._pending: dict[int, ReplyHandler] = {}
        self._last_call_id = 0
        self._handshake_timer: Any = None
        self._has_ended = False
        self.lost_listeners: set[Callable[[], None]] = set()

    @property
    def is_open(self) -> bool:
        """Returns whether the connection is authenticated and open."""
        return self._phase is _Phase.OPEN

    @property
    def has_pending_requests(self) -> bool:
        """Returns whether any request waits for its reply."""
        return bool(self._pending)

    @property
    def unsent_bytes(self) -> int:
        """Returns the size of the written data that is not sent yet."""
        return _immediate_write.unsent_bytes(self.transport)

    @property
    def max_frame_bytes(self) -> int:
        """See base class."""
        return (
            self._max_open_frame_bytes
            if self.is_open
            else (MAX_HANDSHAKE_BYTES)
        )

    @property
    def is_closed(self) -> bool:
        """See base class."""
        return self._phase is _Phase.CLOSED

    def connectionMade(self) -> None:
        """Starts the handshake by sending the challenge."""
        self.transport.setTcpNoDelay(True)
        self._handshake_timer = self._call_later(
            HANDSHAKE_TIMEOUT_S, self.transport.abortConnection
        )
        self._send_message(PROTOCOL_VERSION + self._challenge)

    def dataReceived(self, data: bytes) -> None:
        """Handles received bytes; drops those after the end."""
        if self._phase is _Phase.CLOSED:
            return
        self._reader.feed(data)

    def handle_frame(self, frame: bytes) -> None:
        """See base class."""
        if self._phase is _Phase.OPEN:
            if len(frame) < frames.HEADER_BYTES:
                self._abort()
                return
            self.handle_parts(frame, frame[frames.HEADER_BYTES :])
        elif self._phase is _Phase.AWAITING_CHALLENGE:
            self._challenge_received(frame)
        elif self._phase is _Phase.AWAITING_PROOF:
            self._proof_received(frame)

    def handle_oversized_frame(self) -> None:
        """Aborts the connection to a peer that sends an oversized frame."""
        self._abort()

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Fails all requests that wait for a reply."""
        self._phase = _Phase.CLOSED
        self._reader.release()
        if self._handshake_timer.active():
            self._handshake_timer.cancel()
        self._end(network.PeerErrorKind.LOST)

    def _end(self, kind: network.PeerErrorKind) -> None:
        """Fails the requests that wait for a reply, and reports the end."""
        if self._has_ended:
            return
        self._has_ended = True
        # Must come first: reply handlers may send a new request, which
        # must not use this connection.
        self._on_closed(self)
        pending, self._pending = self._pending, {}
        for handler in pending.values():
            handler(kind)
        for listener in tuple(self.lost_listeners):
            listener()

    def next_call_id(self) -> int:
        """Returns a call id that is not in use on this connection."""
        self._last_call_id = (self._last_call_id + 1) & 0xFFFFFFFF
        return self._last_call_id

    def request(
        self,
        kind: kinds.MessageKind,
        call_id: int,
        payload: bytes,
        on_reply: ReplyHandler | None,
    ) -> None:
        """Sends a request frame.

        Args:
            kind: Message kind; a call may have one pending request of
                each kind.
            call_id: Result of `next_call_id`, or the id of the call that
                the request belongs to.
            payload: Encoded struct.
            on_reply: Called exactly once unless `ignore_reply` is called;
                None if no reply is expected.
        """
        if on_reply is not None:
            self.expect_reply(kind, call_id, on_reply)
        self._send(kind, FrameFlag.REQUEST, call_id, payload)

    def expect_reply(
        self, kind: kinds.MessageKind, call_id: int, on_reply: ReplyHandler
    ) -> None:
        """Registers the handler of a reply; sends no request frame."""
        self._pending[call_id << 8 | kind] = on_reply

    def ignore_reply(self, kind: kinds.MessageKind, call_id: int) -> None:
        """Unregisters the handler of a reply; a late reply is dropped."""
        self._pending.pop(call_id << 8 | kind, None)

    def reply(self, kind: int, call_id: int, payload: bytes) -> None:
        """Sends the reply to a request."""
        if self._phase is _Phase.OPEN:
            self._send(kind, FrameFlag.REPLY, call_id, payload)

    def reject(self, kind: int, call_id: int) -> None:
        """Rejects a request that could not be decoded or handled."""
        if self._phase is _Phase.OPEN:
            self._send(kind, FrameFlag.REJECTION, call_id, b"")

    def close(self) -> defer.Deferred[None]:
        """Closes the connection after all written data is sent.

        The peer takes requests without a reply as not read, so those that
        were read must have been replied to.

        Returns:
            A Deferred that fires when the peer has closed its side, too.
        """
        closed: defer.Deferred[None] = defer.Deferred()
        self.lost_listeners.add(lambda: closed.callback(None))
        if self.is_open:
            self._send(0, FrameFlag.CLOSING, 0, b"")
            self._phase = _Phase.CLOSED
            # A close with unread bytes would reset the connection, and the
            # peer would lose replies that it has not read.
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()
        return closed

    def abort(self) -> None:
        """Closes the connection immediately; unsent data is dropped."""
        self._abort()

    def _send(
        self, kind: int, flag: FrameFlag, call_id: int, payload: bytes
    ) -> None:
        stamp = self._hlc.tick()
        length = frames.HEADER_BYTES + len(payload)
        header = frames.HEADER.pack(
            kind, flag, call_id, stamp.wall_ms, stamp.counter & _COUNTER_MASK
        )
        head = length.to_bytes(frames.PREFIX_BYTES, "big") + header
        if length < frames.LARGE_BYTES:
            _immediate_write.write_now(self.transport, head + payload)
        else:
            self.transport.writeSequence((head, payload))

    def _send_message(self, message: bytes) -> None:
        """Sends a message of the handshake."""
        length = len(message).to_bytes(frames.PREFIX_BYTES, "big")
        self.transport.write(length + message)

    def handle_parts(self, header: bytes, payload: bytes | None) -> None:
        """See base class."""
        kind, flag, call_id, wall_ms, counter = frames.HEADER.unpack_from(
            header
        )
        self._hlc.observe(events.HlcStamp(wall_ms, counter))
        if flag == FrameFlag.REQUEST:
            if payload is None:
                self.reject(kind, call_id)
            else:
                self._on_request(self, kind, call_id, payload)
            return
        if flag == FrameFlag.CLOSING:
            self._phase = _Phase.CLOSED
            self.transport.loseConnection()
            self._end(network.PeerErrorKind.UNREAD)
            return
        handler = self._pending.pop(call_id << 8 | kind, None)
        if handler is None:
            return
        if flag == FrameFlag.REPLY and payload is not None:
            handler(payload)
        else:
            handler(network.PeerErrorKind.REJECTED)

    def _challenge_received(self, message: bytes) -> None:
        challenge = message[len(PROTOCOL_VERSION) :]
        if (
            not message.startswith(PROTOCOL_VERSION)
            or len(challenge) != _CHALLENGE_BYTES
        ):
            self._abort()
            return
        self._peer_challenge = challenge
        self._phase = _Phase.AWAITING_PROOF
        self._send_message(self._compute_proof(self._is_initiator))

    def _proof_received(self, message: bytes) -> None:
        expected = self._compute_proof(not self._is_initiator)
        if not hmac.compare_digest(message, expected):
            self._abort()
            return
        self._handshake_timer.cancel()
        self._phase = _Phase.OPEN
        self._on_open(self)

    def _compute_proof(self, by_initiator: bool) -> bytes:
        # The proof includes the role to prevent reflection attacks.
        challenges = [self._challenge, self._peer_challenge]
        if not self._is_initiator:
            challenges.reverse()
        role = b"initiator" if by_initiator else b"acceptor"
        message = b"".join([PROTOCOL_VERSION, role, *challenges])
        return hmac.new(self._secret, message, hashlib.sha256).digest()

    def _abort(self) -> None:
        self._phase = _Phase.CLOSED
        self.transport.abortConnection()
