"""Authentication of membership datagrams and protection from replay.

A datagram is a truncated HMAC followed by the encoded struct. Each process
draws a random nonce. A datagram counts as fresh only if it repeats the
receiver's nonce of now and its counter was not seen before with the
sender's nonce. Neither rests on clocks, nor on memory that survives a
restart: what was recorded before the receiver's start has another nonce.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
import hashlib
import hmac
import secrets
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from cyclamendale import ids
from cyclamendale.membership import wire
from cyclamendale.peer.generated.membership import ttypes

MAC_BYTES = 16
WINDOW_DATAGRAMS = 256
"""How far a datagram may be overtaken and still be accepted."""
MAX_WINDOWS = 8_192
"""Sender processes remembered before the own nonce is replaced."""
UNKNOWN_NONCE = 0
_KEY_LABEL = b"cyclamendale membership datagram\0"


class DropReason(enum.Enum):
    """Why a datagram was dropped."""

    OVERSIZED = "oversized"
    TRUNCATED = "truncated"
    WRONG_MAC = "wrong-mac"
    MALFORMED = "malformed"
    UNKNOWN_VERSION = "unknown-version"
    REPLAYED = "replayed"
    UNPROVEN = "unproven"
    """It lacks this process's nonce, so it may be a replay."""


class DroppedDatagram(msgspec.Struct, frozen=True):
    """A datagram that was dropped.

    Attributes:
        reason: Why.
        datagram: The authentic content, for `DropReason.UNPROVEN`.
    """

    reason: DropReason
    datagram: Any = None


class ReplayWindow:
    """Counters seen from one sender process."""

    __slots__ = ("_highest", "_seen")

    def __init__(self) -> None:
        self._highest = 0
        self._seen = 0

    def accept(self, counter: int) -> bool:
        """Notes a counter; False if it was seen or is too old to tell."""
        ahead = counter - self._highest
        if ahead > 0:
            mask = (1 << WINDOW_DATAGRAMS) - 1
            shift = min(ahead, WINDOW_DATAGRAMS)
            self._seen = ((self._seen << shift) | 1) & mask
            self._highest = counter
            return True
        bit = 1 << -ahead
        if -ahead >= WINDOW_DATAGRAMS or self._seen & bit:
            return False
        self._seen |= bit
        return True


def random_nonce() -> int:
    """Returns an unguessable nonce that is not `UNKNOWN_NONCE`."""
    return secrets.randbits(62) + 1


class Authenticator:
    """Seals datagrams for others and opens those for this process."""

    def __init__(
        self,
        secret: bytes,
        own_address: ids.PeerAddress,
        make_nonce: Callable[[], int] = random_nonce,
    ) -> None:
        self._key = hashlib.sha256(_KEY_LABEL + secret).digest()
        self._own_address = own_address
        self._make_nonce = make_nonce
        self._nonce = make_nonce()
        self._counter = 0
        self._peer_nonces: dict[ids.PeerAddress, int] = {}
        self._windows: dict[int, ReplayWindow] = {}

    def seal(
        self,
        receiver: ids.PeerAddress,
        datagram: Any,
        receiver_nonce: int | None = None,
    ) -> bytes:
        """Returns the bytes to send; sets the datagram's freshness fields.

        Args:
            receiver: Where the datagram goes.
            datagram: A `MembershipDatagram`.
            receiver_nonce: The receiver's nonce, if another than the one
                learned from its newest datagram.
        """
        if receiver_nonce is None:
            receiver_nonce = self._peer_nonces.get(receiver, UNKNOWN_NONCE)
        self._counter += 1
        datagram.version = wire.FORMAT_VERSION
        datagram.sender_nonce = self._nonce
        datagram.counter = self._counter
        datagram.receiver_nonce = receiver_nonce
        payload = wire.encode_struct(datagram)
        return self._mac(receiver, payload) + payload

    def open(self, data: bytes) -> Result[Any, DroppedDatagram]:
        """Checks a received datagram; nothing unauthentic is decoded."""
        if len(data) > wire.MAX_DATAGRAM_BYTES:
            return Error(DroppedDatagram(DropReason.OVERSIZED))
        if len(data) <= MAC_BYTES:
            return Error(DroppedDatagram(DropReason.TRUNCATED))
        payload = data[MAC_BYTES:]
        mac = self._mac(self._own_address, payload)
        if not hmac.compare_digest(mac, data[:MAC_BYTES]):
            return Error(DroppedDatagram(DropReason.WRONG_MAC))
        decoded = wire.decode_struct(payload, ttypes.MembershipDatagram)
        if decoded.is_error():
            return Error(DroppedDatagram(DropReason.MALFORMED))
        return self._verify(decoded.ok)

    def _verify(self, datagram: Any) -> Result[Any, DroppedDatagram]:
        if datagram.version != wire.FORMAT_VERSION:
            return Error(DroppedDatagram(DropReason.UNKNOWN_VERSION))
        if not _is_well_formed(datagram):
            return Error(DroppedDatagram(DropReason.MALFORMED))
        if datagram.receiver_nonce != self._nonce:
            return Error(DroppedDatagram(DropReason.UNPROVEN, datagram))
        window = self._windows.get(datagram.sender_nonce)
        if window is None:
            window = self._add_window(datagram.sender_nonce)
        if not window.accept(datagram.counter):
            return Error(DroppedDatagram(DropReason.REPLAYED))
        sender = ids.address_of(ids.NodeId(datagram.sender))
        self._peer_nonces[sender] = datagram.sender_nonce
        return Ok(datagram)

    def _add_window(self, sender_nonce: int) -> ReplayWindow:
        if len(self._windows) >= MAX_WINDOWS:
            # Forgetting a window is safe only with a new own nonce.
            self._windows.clear()
            self._nonce = self._make_nonce()
        window = self._windows[sender_nonce] = ReplayWindow()
        return window

    def _mac(self, receiver: ids.PeerAddress, payload: bytes) -> bytes:
        authenticated = receiver.encode() + b"\0" + payload
        return hmac.digest(self._key, authenticated, "sha256")[:MAC_BYTES]


def _is_well_formed(datagram: Any) -> bool:
    numbers = (datagram.sender_nonce, datagram.counter, datagram.sequence)
    return (
        bool(datagram.sender)
        and datagram.kind in wire.DatagramKind._value2member_map_
        and all(number is not None for number in numbers)
        and datagram.counter > 0
    )
