"""Adapts the slots in use to an upstream that refuses because it is full."""

from __future__ import annotations

REFUSAL_BACKOFF_FACTOR = 0.95
"""Factor on the number of used slots after a refusal of a full upstream."""

FULL_OCCUPANCY_SHARE = 0.7
"""Share of occupied slots from which a refusal means that the upstream is
full; an upstream that refuses with fewer requests in flight does so at
random."""

MIN_SLOTS_SHARE = 0.5
"""Minimum share of the announced slots that stays in use."""


class UsableSlots:
    """Slots of one upstream that are in use."""

    def __init__(self) -> None:
        self._announced = 1
        self._usable = 1.0

    @property
    def count(self) -> int:
        """Returns the number of slots to use."""
        return int(self._usable)

    def announce(self, slots: int) -> None:
        """Takes the number that the upstream announces."""
        self._announced = slots
        self._usable = float(slots)

    def back_off(self, in_service: int, capacity: int) -> bool:
        """Uses fewer slots if a refusal means that the upstream is full.

        Args:
            in_service: Requests in service.
            capacity: Requests that can be in service.

        Returns:
            False if it refused although it was not full.
        """
        if in_service < FULL_OCCUPANCY_SHARE * capacity:
            return False
        self._usable = max(
            1.0,
            MIN_SLOTS_SHARE * self._announced,
            self._usable * REFUSAL_BACKOFF_FACTOR,
        )
        return True
