"""Local health awareness of a node, as in Lifeguard.

A node that is slow, paused or partitioned misses answers although the
members that it probes are healthy. A node with signs of such trouble probes
less often and waits longer before it suspects a member.
"""

from __future__ import annotations

MAX_SCORE = 8


class LocalHealth:
    """Health score of this node, from 0, healthy, to `MAX_SCORE`."""

    __slots__ = ("score",)

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor by which probe periods and timeouts are extended."""
        return self.score + 1

    def record_answered_probe(self) -> None:
        """Lowers the score after a probe that was answered in time."""
        self.score = max(0, self.score - 1)

    def record_degradation(self) -> None:
        """Raises the score after a sign that this node is impaired.

        Signs are a failed probe to which some helpers did not respond
        either, a suspicion or declared death of this node, and a tick that
        fired late.
        """
        self.score = min(MAX_SCORE, self.score + 1)
