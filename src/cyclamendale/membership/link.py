"""Authenticated exchange of datagrams between nodes.

The link seals and opens datagrams, handles the nonce challenge on first
contact and counts the traffic.
"""

from __future__ import annotations

import abc
import collections
from collections.abc import Callable
from typing import Any

from cyclamendale import ids
from cyclamendale.membership import datagram_auth
from cyclamendale.membership import wire
from cyclamendale.peer.generated.membership import ttypes

MAX_RETAINED_DATAGRAMS = 64
"""Number of receivers whose latest datagram is kept to be resent."""


class DatagramSender(abc.ABC):
    """Sender of membership datagrams; delivery is not guaranteed."""

    @abc.abstractmethod
    def send(self, receiver: ids.PeerAddress, datagram: Any) -> None:
        """Sends a `MembershipDatagram` to the node at `receiver`."""


class LinkCounters:
    """Traffic counters of a link.

    Attributes:
        sent: Number of datagrams sent.
        sent_bytes: Bytes sent, without UDP and IP headers.
        received: Number of datagrams received, dropped ones included.
        received_bytes: Bytes received, without UDP and IP headers.
        dropped: Number of datagrams dropped, by reason.
    """

    __slots__ = ("dropped", "received", "received_bytes", "sent", "sent_bytes")

    def __init__(self) -> None:
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        self.dropped: collections.Counter[datagram_auth.DropReason] = (
            collections.Counter()
        )


class AuthenticatedLink(DatagramSender):
    """Authenticated datagrams over an unreliable transport.

    A receiver answers a datagram that lacks its current nonce with a
    challenge that contains the nonce. The sender then resends its
    latest datagram to that receiver.
    """

    def __init__(
        self,
        own_node: ids.NodeId,
        authenticator: datagram_auth.Authenticator,
        transmit: Callable[[ids.PeerAddress, bytes], None],
    ) -> None:
        self._own_node = own_node
        self._authenticator = authenticator
        self._transmit = transmit
        self._retained: collections.OrderedDict[ids.PeerAddress, Any] = (
            collections.OrderedDict()
        )
        self.counters = LinkCounters()

    def send(self, receiver: ids.PeerAddress, datagram: Any) -> None:
        """See base class."""
        self._retained[receiver] = datagram
        self._retained.move_to_end(receiver)
        if len(self._retained) > MAX_RETAINED_DATAGRAMS:
            self._retained.popitem(last=False)
        self._seal_and_transmit(receiver, datagram)

    def open(self, data: bytes) -> Any | None:
        """Verifies a datagram; returns None if it is dropped or a challenge."""
        self.counters.received += 1
        self.counters.received_bytes += len(data)
        opened = self._authenticator.open(data)
        if opened.is_error():
            dropped = opened.error
            self.counters.dropped[dropped.reason] += 1
            if dropped.reason is datagram_auth.DropReason.UNPROVEN:
                self._send_challenge(dropped.datagram)
            return None
        datagram = opened.ok
        if datagram.kind == wire.DatagramKind.CHALLENGE:
            self._resend(ids.address_of(datagram.sender))
            return None
        return datagram

    def _send_challenge(self, datagram: Any) -> None:
        if datagram.kind == wire.DatagramKind.CHALLENGE:
            return  # Avoid loops of challenges that answer each other.
        challenge = ttypes.MembershipDatagram(
            kind=wire.DatagramKind.CHALLENGE,
            sender=self._own_node,
            sequence=0,
            digest=0,
        )
        # The nonce is not stored, since the datagram may be a replay.
        sender = ids.address_of(datagram.sender)
        self._seal_and_transmit(sender, challenge, datagram.sender_nonce)

    def _resend(self, receiver: ids.PeerAddress) -> None:
        datagram = self._retained.pop(receiver, None)
        if datagram is not None:
            self._seal_and_transmit(receiver, datagram)

    def _seal_and_transmit(
        self,
        receiver: ids.PeerAddress,
        datagram: Any,
        receiver_nonce: int | None = None,
    ) -> None:
        data = self._authenticator.seal(receiver, datagram, receiver_nonce)
        self.counters.sent += 1
        self.counters.sent_bytes += len(data)
        self._transmit(receiver, data)
