"""Which peers a node exchanges configuration with."""

from __future__ import annotations

from collections.abc import Iterable
import random

from cyclamendale import ids
from cyclamendale.membership import directory as directories

ACROSS_CONTACTS_PER_S = 2.0
"""Exchanges with other failure domains that the nodes of one start."""

MIN_ACROSS_SHARE = 0.05
"""Least share of its ticks in which a node contacts another domain."""


def choose(
    randomness: random.Random,
    own: directories.Member,
    members: Iterable[directories.Member],
    near: int,
    across: int,
) -> list[ids.PeerAddress]:
    """Picks random peers of the own failure domain and of others.

    Args:
        randomness: Source of the choice.
        own: The node itself, which is not picked.
        members: The members that it knows of.
        near: Most peers of its own failure domain.
        across: Most peers of other failure domains.
    """
    same: list[ids.PeerAddress] = []
    others: list[ids.PeerAddress] = []
    for member in members:
        if member.address == own.address:
            continue
        is_near = member.failure_domain == own.failure_domain
        (same if is_near else others).append(member.address)
    return [
        *randomness.sample(same, min(near, len(same))),
        *randomness.sample(others, min(across, len(others))),
    ]


def across_share(
    own: directories.Member,
    members: Iterable[directories.Member],
    tick_s: float,
) -> float:
    """Returns the share of ticks in which to contact another domain.

    The nodes of one failure domain together then make about
    `ACROSS_CONTACTS_PER_S`, so that small domains hear of others as fast
    as large ones, and large ones do not flood the links between them.
    """
    near = sum(
        member.failure_domain == own.failure_domain for member in members
    )
    share = ACROSS_CONTACTS_PER_S * tick_s / max(1, near)
    return min(1.0, max(MIN_ACROSS_SHARE, share))
