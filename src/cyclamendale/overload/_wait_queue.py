"""Priority queue of the requests that wait at a gate."""

from __future__ import annotations

import bisect
from collections.abc import Iterator
import heapq

from cyclamendale.overload import admission


class WaitQueue:
    """Tickets sorted by key and, for expiry, by latest useful start time.

    The gate bounds the length of the sorted list, so an insertion is a
    binary search and a small memory move. The list is in descending order
    because the lowest key is removed most often.
    """

    __slots__ = ("_by_key", "_by_latest_start", "_sequence", "_sort_keys")

    def __init__(self) -> None:
        self._by_key: list[tuple[int, int, admission.Ticket]] = []
        self._by_latest_start: list[tuple[float, int, admission.Ticket]] = []
        self._sort_keys: dict[admission.Ticket, tuple[int, int]] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._by_key)

    def add(
        self, ticket: admission.Ticket, key: int, latest_start_s: float
    ) -> None:
        """Inserts a ticket."""
        self._sequence += 1
        sequence = self._sequence
        # Negated, so that the lowest key and the earliest arrival are last.
        bisect.insort(self._by_key, (-key, -sequence, ticket))
        heapq.heappush(
            self._by_latest_start, (latest_start_s, sequence, ticket)
        )
        self._sort_keys[ticket] = (-key, -sequence)

    def highest_key(self) -> int:
        """Returns the highest key, which is refused first."""
        return -self._by_key[0][0]

    def pop_lowest(self) -> admission.Ticket:
        """Removes and returns the ticket to start first."""
        ticket = self._by_key.pop()[2]
        del self._sort_keys[ticket]
        return ticket

    def pop_highest(self) -> admission.Ticket:
        """Removes and returns the ticket to refuse first."""
        ticket = self._by_key.pop(0)[2]
        del self._sort_keys[ticket]
        return ticket

    def remove(self, ticket: admission.Ticket) -> bool:
        """Removes a ticket; returns whether it was waiting."""
        sort_key = self._sort_keys.pop(ticket, None)
        if sort_key is None:
            return False
        del self._by_key[bisect.bisect_left(self._by_key, sort_key)]
        return True

    def next_expiry_s(self) -> float | None:
        """Returns when the next ticket expires, or None when empty."""
        self._discard_removed()
        return self._by_latest_start[0][0] if self._by_latest_start else None

    def pop_expired(self, now_s: float) -> Iterator[admission.Ticket]:
        """Removes and yields the tickets whose latest start has passed."""
        heap = self._by_latest_start
        while heap and heap[0][0] <= now_s:
            _, sequence, ticket = heapq.heappop(heap)
            sort_key = self._sort_keys.get(ticket)
            if sort_key is not None and sort_key[1] == -sequence:
                self.remove(ticket)
                yield ticket

    def _discard_removed(self) -> None:
        heap = self._by_latest_start
        while heap:
            sort_key = self._sort_keys.get(heap[0][2])
            if sort_key is not None and sort_key[1] == -heap[0][1]:
                return
            heapq.heappop(heap)
