"""Decides which nodes of a failure domain watch the store.

The nodes with the lowest addresses watch. The store may turn these away, or
they may be cut off, so each digest tells since when its aggregator has had no
contact with the store. A node that has heard of none for too long asks the
store itself: silence does not mean that nothing changed.
"""

from __future__ import annotations

WATCHERS_PER_DOMAIN = 2
"""Nodes per failure domain that watch the store; tolerates the loss of one."""

MAX_SILENCE_S = 1.2
"""Time without contact of any known node with the store after which others
ask. Several digests may be lost in it, and a version still is in force in time
after it."""

STAND_INS_PER_DOMAIN = 4
STAND_IN_TURN_S = 2.0
"""Nodes per failure domain that ask then, and the time after which the next
ones take turns with them: the load on a store that is away must not grow with
the fleet."""


def should_watch(rank: int, live_count: int, silent_s: float) -> bool:
    """Returns whether a node should watch the store.

    Args:
        rank: Number of live nodes of its failure domain with lower addresses.
        live_count: Number of live nodes of the domain, itself included.
        silent_s: Time since a known node was in contact with the store.
    """
    if rank < WATCHERS_PER_DOMAIN:
        return True
    if silent_s < MAX_SILENCE_S:
        return False
    others = max(1, live_count - WATCHERS_PER_DOMAIN)
    turn = int((silent_s - MAX_SILENCE_S) / STAND_IN_TURN_S)
    first = turn * STAND_INS_PER_DOMAIN % others
    return (rank - WATCHERS_PER_DOMAIN - first) % others < STAND_INS_PER_DOMAIN
