"""Queue of the updates that a node still passes on to others."""

from __future__ import annotations

from collections.abc import Iterator
import math

from cyclamendale import ids

RETRANSMIT_FACTOR = 4
"""Times, per decimal digit of the member count, that an update is sent."""
MAX_AGE_S = 15.0
"""Age at which an update is no longer news and is dropped."""
UPDATE_OVERHEAD_BYTES = 4
"""Length prefix of an update in a datagram."""


def retransmit_limit(members: int) -> int:
    """Returns how often an update is sent by each node."""
    return RETRANSMIT_FACTOR * math.ceil(math.log10(members + 1))


class _Queued:
    __slots__ = ("encoded", "queued_s", "sent")

    def __init__(self, encoded: bytes, queued_s: float) -> None:
        self.encoded = encoded
        self.queued_s = queued_s
        self.sent = 0


class UpdateQueue:
    """Newest update of each member, least often sent first.

    An update is dropped after a bounded number of sendings, or when it
    is old: a node that was cut off has nobody to send to, and must not
    flood the others with stale accusations once it is back.
    """

    def __init__(self) -> None:
        self._queued: dict[ids.PeerAddress, _Queued] = {}
        self._by_sent: list[dict[ids.PeerAddress, _Queued]] = [{}]

    def __len__(self) -> int:
        return len(self._queued)

    def put(
        self, address: ids.PeerAddress, encoded: bytes, now_s: float
    ) -> None:
        """Queues an update in place of an older one of that member."""
        self.remove(address)
        queued = self._queued[address] = _Queued(encoded, now_s)
        self._by_sent[0][address] = queued

    def remove(self, address: ids.PeerAddress) -> None:
        """Drops a member's update, if there is one."""
        queued = self._queued.pop(address, None)
        if queued is not None:
            del self._by_sent[queued.sent][address]

    def take(self, room_bytes: int, limit: int, now_s: float) -> list[bytes]:
        """Returns updates that fit into `room_bytes` and counts them sent.

        Args:
            room_bytes: Room in the datagram.
            limit: Sendings after which an update is dropped.
            now_s: Clock time.
        """
        if not self._queued:
            return []
        chosen = list(self._choose(room_bytes, now_s))
        for address, queued in chosen:
            self._count_sending(address, queued, limit)
        return [queued.encoded for _, queued in chosen]

    def _choose(
        self, room_bytes: int, now_s: float
    ) -> Iterator[tuple[ids.PeerAddress, _Queued]]:
        expired = []
        for level in self._by_sent:
            for address, queued in level.items():
                if now_s - queued.queued_s > MAX_AGE_S:
                    expired.append(address)
                    continue
                size = len(queued.encoded) + UPDATE_OVERHEAD_BYTES
                if size > room_bytes:
                    break
                room_bytes -= size
                yield address, queued
        for address in expired:
            self.remove(address)

    def _count_sending(
        self, address: ids.PeerAddress, queued: _Queued, limit: int
    ) -> None:
        del self._by_sent[queued.sent][address]
        queued.sent += 1
        if queued.sent >= limit:
            del self._queued[address]
            return
        while len(self._by_sent) <= queued.sent:
            self._by_sent.append({})
        self._by_sent[queued.sent][address] = queued
