"""Authentication and replay protection of membership datagrams.

A datagram is a truncated HMAC followed by the encoded struct. Each process
generates a random nonce. A datagram is fresh only if it contains the
receiver's current nonce and its counter has not been received before with
the sender's nonce. This needs neither synchronised clocks nor state that
survives a restart: a datagram recorded before the receiver started contains
an outdated nonce.
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
"""Size of the replay window.

A datagram is dropped if its counter is this far or further behind the highest.
"""
MAX_WINDOWS = 8_192
"""Maximum number of tracked sender processes.

Beyond it, all windows are cleared and the own nonce is replaced.
"""
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
    """Its receiver nonce is not the current one, so it may be a replay."""


class DroppedDatagram(msgspec.Struct, frozen=True):
    """A dropped datagram.

    Attributes:
        reason: Why it was dropped.
        datagram: The authenticated content if `reason` is
            `DropReason.UNPROVEN`, otherwise None.
    """

    reason: DropReason
    datagram: Any = None


class ReplayWindow:
    """Sliding window of the counters received from one sender process."""

    __slots__ = ("_highest", "_seen")

    def __init__(self) -> None:
        self._highest = 0
        self._seen = 0

    def accept(self, counter: int) -> bool:
        """Records a counter; returns False for a duplicate or one too old."""
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
    """Returns an unpredictable nonce other than `UNKNOWN_NONCE`."""
    return secrets.randbits(62) + 1


class Authenticator:
    """Seals outgoing datagrams and verifies incoming ones."""

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
        """Sets the freshness fields of a datagram and returns its sealed bytes.

        Args:
            receiver: Address of the receiver.
            datagram: A `MembershipDatagram`.
            receiver_nonce: The receiver's nonce. Defaults to the one learned
                from its latest datagram, or `UNKNOWN_NONCE`.
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
        """Verifies and decodes a received datagram.

        The content is decoded only after the MAC is verified.
        """
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
            # Replacing the own nonce invalidates all datagrams recorded so
            # far, so that they cannot be replayed without the windows.
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
