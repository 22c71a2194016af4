"""Datagrams between nodes: sealing, opening, first contact, counting."""

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
"""Newest datagrams kept for sending again after a challenge."""


class DatagramSender(abc.ABC):
    """Sends membership datagrams; any of them may be lost."""

    @abc.abstractmethod
    def send(self, receiver: ids.PeerAddress, datagram: Any) -> None:
        """Sends a `MembershipDatagram` to the node at `receiver`."""


class LinkCounters:
    """What passed through a link.

    Attributes:
        sent: Datagrams sent.
        sent_bytes: Their bytes, without UDP and IP headers.
        received: Datagrams received, dropped ones included.
        received_bytes: Their bytes, without UDP and IP headers.
        dropped: Datagrams dropped, by reason.
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

    A process that does not know the receiver's nonce is challenged by the
    receiver, and then sends its newest datagram to it once more.
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
        """Returns the authentic, fresh datagram in `data`, or None."""
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
            return  # Never answer one challenge with another.
        challenge = ttypes.MembershipDatagram(
            kind=wire.DatagramKind.CHALLENGE,
            sender=self._own_node,
            sequence=0,
            digest=0,
        )
        # The nonce is not kept: it may be that of a replayed datagram.
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
