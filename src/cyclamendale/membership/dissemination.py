"""Queue of the updates that a node still passes on to others."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
import math

from cyclamendale import ids

EXTRA_TRANSMISSIONS = 3
"""Sendings of an update beyond the logarithm of the member count."""
EXTRA_URGENT_TRANSMISSIONS = 9
"""The same for urgent ones: one in 8,000 misses some member."""
MAX_UPDATE_AGE_S = 15.0
"""Age at which an update is no longer news and is dropped."""
UPDATE_OVERHEAD_BYTES = 4
"""Length prefix of an update in a datagram."""


def retransmit_limit(member_count: int, urgent: bool) -> int:
    """Returns how often an update is sent by each node.

    With k sendings by each to random others, a member receives none with
    probability exp(-k).
    """
    extra = EXTRA_URGENT_TRANSMISSIONS if urgent else EXTRA_TRANSMISSIONS
    return math.ceil(math.log(member_count + 1)) + extra


class _QueuedUpdate:
    __slots__ = ("encoded", "queued_s", "transmissions", "urgent")

    def __init__(self, encoded: bytes, queued_s: float, urgent: bool) -> None:
        self.encoded = encoded
        self.urgent = urgent
        self.queued_s = queued_s
        self.transmissions = 0


class _TransmissionBuckets:
    """Queued updates by the number of times that they were sent."""

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: list[dict[ids.PeerAddress, _QueuedUpdate]] = []

    def __iter__(self) -> Iterator[tuple[ids.PeerAddress, _QueuedUpdate]]:
        for bucket in self._buckets:
            yield from bucket.items()

    def add(self, address: ids.PeerAddress, queued: _QueuedUpdate) -> None:
        while len(self._buckets) <= queued.transmissions:
            self._buckets.append({})
        self._buckets[queued.transmissions][address] = queued

    def remove(self, address: ids.PeerAddress, queued: _QueuedUpdate) -> None:
        del self._buckets[queued.transmissions][address]


class UpdateQueue:
    """Newest update of each member, least often sent first.

    An update is dropped after a bounded number of sendings, or when it
    is old: a node that was cut off has nobody to send to, and must not
    flood the others with stale accusations once it is back.
    """

    def __init__(self) -> None:
        self._queued: dict[ids.PeerAddress, _QueuedUpdate] = {}
        self._urgent_count = 0
        self._urgent = _TransmissionBuckets()
        self._regular = _TransmissionBuckets()

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
        queued = self._queued[address] = _QueuedUpdate(encoded, now_s, urgent)
        self._urgent_count += urgent
        self._buckets_for(queued).add(address, queued)

    def remove(self, address: ids.PeerAddress) -> None:
        """Drops a member's update, if there is one."""
        queued = self._queued.pop(address, None)
        if queued is not None:
            self._urgent_count -= queued.urgent
            self._buckets_for(queued).remove(address, queued)

    def take(
        self,
        available_bytes: int,
        member_count: int,
        now_s: float,
        only_urgent: bool = False,
    ) -> list[bytes]:
        """Returns updates that fit into `available_bytes` and counts them sent.

        Args:
            available_bytes: Room in the datagram.
            member_count: Count of live members, for the number of sendings.
            now_s: Clock time.
            only_urgent: Whether to leave out what can wait.
        """
        selected = list(self._select(available_bytes, now_s, only_urgent))
        for address, queued in selected:
            self._record_transmission(address, queued, member_count)
        return [queued.encoded for _, queued in selected]

    def _select(
        self, available_bytes: int, now_s: float, only_urgent: bool
    ) -> Iterator[tuple[ids.PeerAddress, _QueuedUpdate]]:
        expired = []
        candidates = itertools.chain(
            self._urgent, () if only_urgent else self._regular
        )
        for address, queued in candidates:
            if now_s - queued.queued_s > MAX_UPDATE_AGE_S:
                expired.append(address)
                continue
            size_bytes = len(queued.encoded) + UPDATE_OVERHEAD_BYTES
            if size_bytes > available_bytes:
                break
            available_bytes -= size_bytes
            yield address, queued
        for address in expired:
            self.remove(address)

    def _record_transmission(
        self, address: ids.PeerAddress, queued: _QueuedUpdate, member_count: int
    ) -> None:
        self.remove(address)
        queued.transmissions += 1
        if queued.transmissions < retransmit_limit(member_count, queued.urgent):
            self._queued[address] = queued
            self._urgent_count += queued.urgent
            self._buckets_for(queued).add(address, queued)

    def _buckets_for(self, queued: _QueuedUpdate) -> _TransmissionBuckets:
        return self._urgent if queued.urgent else self._regular
