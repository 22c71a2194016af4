"""A node's view of its own health, after Lifeguard.

A node that is slow, paused or cut off misses answers although the members
that it probes are well. It takes its own failures as a hint of that, and
then probes more slowly and waits longer before it accuses anyone.
"""

from __future__ import annotations

MAX_SCORE = 8


class LocalHealth:
    """Score from 0, healthy, to `MAX_SCORE`."""

    __slots__ = ("score",)

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor by which probe periods and timeouts are stretched."""
        return self.score + 1

    def record_answered_probe(self) -> None:
        """Notes that a probe was answered in time."""
        self.score = max(0, self.score - 1)

    def record_degradation(self) -> None:
        """Notes a sign of own trouble.

        Such as a probe that not even the helpers reacted to, a suspicion
        of oneself, or a timer that fired late.
        """
        self.score = min(MAX_SCORE, self.score + 1)
