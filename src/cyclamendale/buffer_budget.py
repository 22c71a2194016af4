"""Limits the bodies that a node holds in memory at one time.

Bodies are held until they are complete, so that a caller never gets a part of
a response as a whole one. A faulty upstream may send bodies without end, and
callers may read slowly, so all connections of a node share one budget: bodies
of requests and of responses, frames of other nodes, and unsent data.
"""

from __future__ import annotations

from collections.abc import Callable

DEFAULT_MEMORY_BYTES = 256 * 1000 * 1000
"""Memory of a node whose settings state no limit."""

PROCESS_BYTES = 64 * 1000 * 1000
"""Memory of a node that holds no bodies."""

TRANSIENT_COPIES = 2
"""Copies of one body that exist at a time while it is encoded or decoded,
beside the one that is held. The node handles one message at a time."""

MAX_BODY_SHARE = 0.3
"""Share of the free memory that one body may take."""

MAX_UNSTATED_BYTES = 12 * 1024 * 1024
"""Budget for responses whose length is not known before their end."""

LARGE_BYTES = 1024 * 1024
"""Size from which unsent data is looked up, which takes a look at all
connections."""


class BufferBudget:
    """Bytes that the connections of a node hold together.

    Attributes:
        max_body_bytes: Largest body that is held.
        max_held_bytes: Bytes that are held at most.
        held_bytes: Bytes that reservations hold.
        unstated_bytes: Part of them whose length was not stated.
    """

    def __init__(self, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        free_bytes = max(PROCESS_BYTES, memory_bytes - PROCESS_BYTES)
        self.max_body_bytes = int(MAX_BODY_SHARE * free_bytes)
        self.max_held_bytes = (
            free_bytes - TRANSIENT_COPIES * self.max_body_bytes
        )
        self.held_bytes = 0
        self.unstated_bytes = 0
        self._unsent_sources: list[Callable[[], int]] = []

    def add_unsent_source(self, source: Callable[[], int]) -> None:
        """Adds a function that returns the unsent bytes of connections."""
        self._unsent_sources.append(source)

    def make_reservation(self) -> Reservation:
        """Returns an empty reservation for one connection."""
        return Reservation(self)

    def has_room(self, size_bytes: int, looks_up_unsent: bool) -> bool:
        """Returns whether more bytes can be held."""
        held_bytes = self.held_bytes + size_bytes
        if held_bytes > self.max_held_bytes:
            return False
        if not looks_up_unsent:
            return True
        unsent_bytes = sum(source() for source in self._unsent_sources)
        return held_bytes + unsent_bytes <= self.max_held_bytes


class Reservation:
    """The part of the budget that one body uses."""

    __slots__ = (
        "_budget",
        "_is_unstated",
        "_received_bytes",
        "_reserved_bytes",
    )

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0
        self._received_bytes = 0
        self._is_unstated = False

    def reserve_stated(self, size_bytes: int) -> bool:
        """Reserves a stated length; False if it exceeds the budget."""
        return self._grow(size_bytes)

    def add(self, size_bytes: int) -> bool:
        """Adds a received part of a body; False if it exceeds the budget.

        A body within its stated length is covered by its reservation.
        """
        self._received_bytes += size_bytes
        if self._received_bytes <= self._reserved_bytes:
            return True
        return self._grow(size_bytes)

    def add_unstated(self, size_bytes: int) -> bool:
        """Adds a part of a response whose length was not stated."""
        budget = self._budget
        if budget.unstated_bytes + size_bytes > MAX_UNSTATED_BYTES:
            return False
        if not self._grow(size_bytes):
            return False
        self._is_unstated = True
        budget.unstated_bytes += size_bytes
        return True

    def hold(self, size_bytes: int) -> None:
        """Adds bytes that are in memory already, also beyond the budget."""
        self._reserved_bytes += size_bytes
        self._budget.held_bytes += size_bytes

    def release(self) -> None:
        """Returns everything to the budget."""
        self._budget.held_bytes -= self._reserved_bytes
        if self._is_unstated:
            self._budget.unstated_bytes -= self._reserved_bytes
        self._reserved_bytes = self._received_bytes = 0
        self._is_unstated = False

    def _grow(self, size_bytes: int) -> bool:
        new_bytes = self._reserved_bytes + size_bytes
        if new_bytes > self._budget.max_body_bytes:
            return False
        is_next_step = (
            new_bytes // LARGE_BYTES > self._reserved_bytes // LARGE_BYTES
        )
        if not self._budget.has_room(size_bytes, is_next_step):
            return False
        self.hold(size_bytes)
        return True
