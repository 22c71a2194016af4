"""Which peers a node exchanges configuration with."""

from __future__ import annotations

from collections.abc import Iterable
import random

from cyclamendale import ids
from cyclamendale.membership import directory as directories

CROSS_DOMAIN_EXCHANGES_PER_S = 2.0
"""Exchanges with other failure domains that the nodes of one start."""

MIN_CROSS_DOMAIN_SHARE = 0.05
"""Least share of its ticks in which a node contacts another domain."""


def choose(
    randomness: random.Random,
    own: directories.Member,
    members: Iterable[directories.Member],
    max_same_domain: int,
    max_other_domains: int,
) -> list[ids.PeerAddress]:
    """Picks random peers of the own failure domain and of others.

    Args:
        randomness: Source of the choice.
        own: The node itself, which is not picked.
        members: The members that it knows of.
        max_same_domain: Most peers of its own failure domain.
        max_other_domains: Most peers of other failure domains.
    """
    same_domain: list[ids.PeerAddress] = []
    other_domains: list[ids.PeerAddress] = []
    for member in members:
        if member.address == own.address:
            continue
        is_same_domain = member.failure_domain == own.failure_domain
        (same_domain if is_same_domain else other_domains).append(
            member.address
        )
    return [
        *randomness.sample(same_domain, min(max_same_domain, len(same_domain))),
        *randomness.sample(
            other_domains, min(max_other_domains, len(other_domains))
        ),
    ]


def compute_cross_domain_share(
    own: directories.Member,
    members: Iterable[directories.Member],
    tick_s: float,
) -> float:
    """Returns the share of ticks in which to contact another domain.

    The nodes of one failure domain together then make about
    `CROSS_DOMAIN_EXCHANGES_PER_S`, so that small domains hear of others as fast
    as large ones, and large ones do not flood the links between them.
    """
    domain_size = sum(
        member.failure_domain == own.failure_domain for member in members
    )
    share = CROSS_DOMAIN_EXCHANGES_PER_S * tick_s / max(1, domain_size)
    return min(1.0, max(MIN_CROSS_DOMAIN_SHARE, share))
