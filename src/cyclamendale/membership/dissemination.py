"""Queue of the updates that a node has yet to gossip to others."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
import math

from cyclamendale import ids

EXTRA_TRANSMISSIONS = 3
"""Transmissions of an update beyond the logarithm of the member count."""
EXTRA_URGENT_TRANSMISSIONS = 9
"""The same for urgent updates.

One in 8,000 urgent updates fails to reach some member.
"""
MAX_UPDATE_AGE_S = 15.0
"""Age beyond which a queued update is dropped as outdated."""
UPDATE_OVERHEAD_BYTES = 4
"""Size of the length prefix of an update in a datagram."""


def retransmit_limit(member_count: int, urgent: bool) -> int:
    """Returns how many times each node transmits an update.

    If each node transmits an update k times to random members, the
    probability that a member does not receive it is exp(-k).
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
    """Queued updates in buckets by number of transmissions."""

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
    """Latest update of each member, least often transmitted first.

    An update is dropped after a bounded number of transmissions or when it
    exceeds its maximum age. A partitioned node has no members to send to, so
    its queue fills up. The age limit keeps it from flooding the others with
    outdated suspicions when it reconnects.
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
        """Queues an update, replacing an earlier one of the same member."""
        self.remove(address)
        queued = self._queued[address] = _QueuedUpdate(encoded, now_s, urgent)
        self._urgent_count += urgent
        self._buckets_for(queued).add(address, queued)

    def remove(self, address: ids.PeerAddress) -> None:
        """Removes the update of a member, if there is one."""
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
        """Returns updates for a datagram and counts their transmission.

        Args:
            available_bytes: Space left in the datagram.
            member_count: Number of live members; determines the limit of
                transmissions.
            now_s: Clock time.
            only_urgent: Whether to return urgent updates only.
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
