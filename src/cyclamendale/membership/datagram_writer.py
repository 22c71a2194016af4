"""Composition of membership datagrams with piggybacked updates."""

from __future__ import annotations

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.membership import directory
from cyclamendale.membership import dissemination
from cyclamendale.membership import link
from cyclamendale.membership import member_list
from cyclamendale.membership import pace
from cyclamendale.membership import wire
from cyclamendale.peer.generated.membership import ttypes

SETTLED_AFTER_S = 5.0
"""Time without a change after which the digests of all nodes should match."""
_FIXED_FIELDS_BYTES = 112
"""Bytes reserved for the MAC and the fixed-size fields of a datagram."""


class DatagramWriter:
    """Composes and sends the datagrams of one node."""

    def __init__(
        self,
        clock: clocks.Clock,
        members: member_list.MemberList,
        queue: dissemination.UpdateQueue,
        sender: link.DatagramSender,
    ) -> None:
        self._clock = clock
        self._members = members
        self._queue = queue
        self._sender = sender
        self._rate_limiter = pace.UpdateRateLimiter(clock.now_s())

    def send(
        self,
        kind: wire.DatagramKind,
        receiver: ids.PeerAddress,
        sequence: int,
        target: ids.PeerAddress | None = None,
    ) -> None:
        """Sends a datagram with piggybacked updates.

        If `receiver` is not considered alive, its own entry is included.

        Args:
            kind: Kind of the datagram.
            receiver: Address of the receiver.
            sequence: Matches responses to requests; 0 if none is expected.
            target: The member that a helper is to probe or has probed.
        """
        record = self._members.record(receiver)
        leading_updates = []
        alive = directory.MemberState.ALIVE
        if record is not None and record.member.state is not alive:
            # The receiver can refute the suspicion or death.
            leading_updates.append(record.encoded)
        self._compose_and_send(
            kind, receiver, sequence, target, leading_updates
        )

    def send_entry(self, receiver: ids.PeerAddress, encoded: bytes) -> None:
        """Sends an encoded entry to one node."""
        self._compose_and_send(
            wire.DatagramKind.GOSSIP, receiver, 0, None, [encoded]
        )

    def should_gossip(self) -> bool:
        """Returns whether queued updates may be sent now.

        Urgent updates are exempt from the rate limit.
        """
        if self._queue.has_urgent():
            return True
        return bool(self._queue) and self._rate_limiter.has_budget(
            self._clock.now_s()
        )

    def is_settled(self) -> bool:
        """Returns whether the own digest should match those of others."""
        unchanged_s = self._clock.now_s() - self._members.digest_changed_s
        return unchanged_s >= SETTLED_AFTER_S

    def own_digest(self) -> int:
        """Returns the digest as a signed 64-bit integer, as thrift needs it."""
        digest = self._members.digest
        return digest - (1 << 64) if digest >= 1 << 63 else digest

    def _compose_and_send(
        self,
        kind: wire.DatagramKind,
        receiver: ids.PeerAddress,
        sequence: int,
        target: ids.PeerAddress | None,
        updates: list[bytes],
    ) -> None:
        own = self._members.own()
        available_bytes = wire.MAX_DATAGRAM_BYTES - _FIXED_FIELDS_BYTES
        available_bytes -= (
            len(own.node) + len(target or "") + _encoded_size_bytes(updates)
        )
        updates = updates + self._take_updates(available_bytes)
        datagram = ttypes.MembershipDatagram(
            kind=kind,
            sender=own.node,
            sequence=sequence,
            target=target,
            digest=self.own_digest(),
            settled=self.is_settled() or None,
            updates=updates or None,
        )
        self._sender.send(receiver, datagram)

    def _take_updates(self, available_bytes: int) -> list[bytes]:
        if not self._queue:
            return []
        now_s = self._clock.now_s()
        taken = self._queue.take(
            available_bytes,
            len(self._members.live_addresses()),
            now_s,
            only_urgent=not self._rate_limiter.has_budget(now_s),
        )
        self._rate_limiter.consume(_encoded_size_bytes(taken))
        return taken


def _encoded_size_bytes(updates: list[bytes]) -> int:
    return sum(map(len, updates)) + len(updates) * (
        dissemination.UPDATE_OVERHEAD_BYTES
    )
