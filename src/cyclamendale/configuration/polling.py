"""Schedule on which a node polls the platform's head row.

A few nodes per failure domain poll on every tick; the others receive new
versions from peers and poll rarely, as a fallback.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

import xxhash

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.membership import directory as directories

POLLERS_PER_DOMAIN = 2
"""Nodes of a failure domain that poll the head row on every tick."""

FALLBACK_POLL_INTERVAL_S = 30.0
"""Mean interval between polls of a node that is not a poller."""

UNCONFIRMED_AFTER_S = 5.0
"""Age of the last confirmation above which a node polls more often."""

UNCONFIRMED_POLL_INTERVAL_S = 10.0
"""Mean interval between polls of a node whose confirmation is too old."""


class PollSchedule:
    """Decides on each tick whether the node polls."""

    def __init__(
        self,
        clock: clocks.Clock,
        randomness: random.Random,
        directory: directories.Directory,
    ) -> None:
        self._clock = clock
        self._random = randomness
        self._directory = directory
        self._last_poll_s = float("-inf")
        self._jitter = 1.0

    def is_due(self, confirmed_age_s: float) -> bool:
        """Returns whether to poll now.

        Args:
            confirmed_age_s: Age of the last confirmation.
        """
        directory = self._directory
        if is_poller(directory.own(), directory.members()):
            return True
        wait_s = FALLBACK_POLL_INTERVAL_S
        if confirmed_age_s > UNCONFIRMED_AFTER_S:
            wait_s = UNCONFIRMED_POLL_INTERVAL_S
        return self._clock.now_s() - self._last_poll_s > wait_s * self._jitter

    def record_poll(self) -> None:
        """Records the start of a poll and draws a new jitter."""
        self._last_poll_s = self._clock.now_s()
        self._jitter = self._random.uniform(0.5, 1.5)


def is_poller(
    own: directories.Member, members: Iterable[directories.Member]
) -> bool:
    """Returns whether a node is one of its failure domain's pollers.

    Pollers are selected by rendezvous hashing over the alive members, so that
    all members select the same ones and the loss of a poller replaces only
    that one.

    Args:
        own: The node.
        members: The members known to the node.
    """
    own_rank = _rank(own.node)
    higher_ranked = (
        member
        for member in members
        if member.failure_domain == own.failure_domain
        and member.state is directories.MemberState.ALIVE
        and _rank(member.node) > own_rank
    )
    return sum(1 for _ in higher_ranked) < POLLERS_PER_DOMAIN


def _rank(node: ids.NodeId) -> int:
    return xxhash.xxh64_intdigest(node.encode())
