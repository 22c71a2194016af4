"""Queue of the updates that a node still passes on to others."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
import math

from cyclamendale import ids

EXTRA_SENDINGS = 3
"""Sendings of an update beyond the logarithm of the member count."""
EXTRA_URGENT_SENDINGS = 9
"""The same for urgent ones: one in 8,000 misses some member."""
MAX_AGE_S = 15.0
"""Age at which an update is no longer news and is dropped."""
UPDATE_OVERHEAD_BYTES = 4
"""Length prefix of an update in a datagram."""


def retransmit_limit(members: int, urgent: bool) -> int:
    """Returns how often an update is sent by each node.

    With k sendings by each to random others, a member receives none with
    probability exp(-k).
    """
    extra = EXTRA_URGENT_SENDINGS if urgent else EXTRA_SENDINGS
    return math.ceil(math.log(members + 1)) + extra


class _Queued:
    __slots__ = ("encoded", "queued_s", "sent", "urgent")

    def __init__(self, encoded: bytes, queued_s: float, urgent: bool) -> None:
        self.encoded = encoded
        self.urgent = urgent
        self.queued_s = queued_s
        self.sent = 0


class _Levels:
    """Queued updates by the number of times that they were sent."""

    __slots__ = ("_by_sent",)

    def __init__(self) -> None:
        self._by_sent: list[dict[ids.PeerAddress, _Queued]] = []

    def __iter__(self) -> Iterator[tuple[ids.PeerAddress, _Queued]]:
        for level in self._by_sent:
            yield from level.items()

    def add(self, address: ids.PeerAddress, queued: _Queued) -> None:
        while len(self._by_sent) <= queued.sent:
            self._by_sent.append({})
        self._by_sent[queued.sent][address] = queued

    def remove(self, address: ids.PeerAddress, queued: _Queued) -> None:
        del self._by_sent[queued.sent][address]


class UpdateQueue:
    """Newest update of each member, least often sent first.

    An update is dropped after a bounded number of sendings, or when it
    is old: a node that was cut off has nobody to send to, and must not
    flood the others with stale accusations once it is back.
    """

    def __init__(self) -> None:
        self._queued: dict[ids.PeerAddress, _Queued] = {}
        self._urgent_count = 0
        self._urgent = _Levels()
        self._others = _Levels()

    def __len__(self) -> int:
        return len(self._queued)

    def has_urgent(self) -> bool:
        """Returns whether an urgent update is queued."""
        return self._urgent_count > 0

    def put(
        self,
        address: ids.PeerAddress,
        encoded: bytes,
        now_s: float,
        urgent: bool = False,
    ) -> None:
        """Queues an update in place of an older one of that member."""
        self.remove(address)
        queued = self._queued[address] = _Queued(encoded, now_s, urgent)
        self._urgent_count += urgent
        self._levels(queued).add(address, queued)

    def remove(self, address: ids.PeerAddress) -> None:
        """Drops a member's update, if there is one."""
        queued = self._queued.pop(address, None)
        if queued is not None:
            self._urgent_count -= queued.urgent
            self._levels(queued).remove(address, queued)

    def take(
        self,
        room_bytes: int,
        members: int,
        now_s: float,
        only_urgent: bool = False,
    ) -> list[bytes]:
        """Returns updates that fit into `room_bytes` and counts them sent.

        Args:
            room_bytes: Room in the datagram.
            members: Count of live members, for the number of sendings.
            now_s: Clock time.
            only_urgent: Whether to leave out what can wait.
        """
        chosen = list(self._choose(room_bytes, now_s, only_urgent))
        for address, queued in chosen:
            self._count_sending(address, queued, members)
        return [queued.encoded for _, queued in chosen]

    def _choose(
        self, room_bytes: int, now_s: float, only_urgent: bool
    ) -> Iterator[tuple[ids.PeerAddress, _Queued]]:
        expired = []
        everything = itertools.chain(
            self._urgent, () if only_urgent else self._others
        )
        for address, queued in everything:
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
        self, address: ids.PeerAddress, queued: _Queued, members: int
    ) -> None:
        self.remove(address)
        queued.sent += 1
        if queued.sent < retransmit_limit(members, queued.urgent):
            self._queued[address] = queued
            self._urgent_count += queued.urgent
            self._levels(queued).add(address, queued)

    def _levels(self, queued: _Queued) -> _Levels:
        return self._urgent if queued.urgent else self._others
