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
"""Least number of nodes per failure domain that ask then at the same time."""

STAND_IN_TURN_S = 0.6
"""Time after which the next ones take turns with them. A node whose request is
refused does not ask again in the same turn."""

MAX_TURNS = 7
"""Turns in which all nodes of a domain ask. Any one may be the only one that
the store serves, so that more nodes ask at the same time in a large domain; a
version still is in force in time after the last turn."""


def should_watch(
    rank: int, live_count: int, silent_s: float, is_served: bool
) -> bool:
    """Returns whether a node should watch the store.

    Args:
        rank: Number of live nodes of its failure domain with lower addresses.
        live_count: Number of live nodes of the domain, itself included.
        silent_s: Time since a known node was in contact with the store.
        is_served: Whether the store answered the last request of the node.
    """
    if rank < WATCHERS_PER_DOMAIN:
        return True
    if silent_s < MAX_SILENCE_S:
        return False
    if is_served:
        return True
    # Places on a ring of all stand-ins, in units of 1 / MAX_TURNS of a node.
    others = max(1, live_count - WATCHERS_PER_DOMAIN)
    at_once = max(STAND_INS_PER_DOMAIN * MAX_TURNS, others)
    turn = int((silent_s - MAX_SILENCE_S) / STAND_IN_TURN_S)
    place = (rank - WATCHERS_PER_DOMAIN) * MAX_TURNS
    return (place - turn * at_once) % (others * MAX_TURNS) < at_once
