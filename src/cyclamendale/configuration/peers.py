"""Selection of the peers with which a node exchanges configuration."""

from __future__ import annotations

from collections.abc import Iterable
import random

from cyclamendale import ids
from cyclamendale.membership import directory as directories

CROSS_DOMAIN_EXCHANGES_PER_S = 2.0
"""Exchanges per second that the nodes of one failure domain together start
with other domains."""

MIN_CROSS_DOMAIN_SHARE = 0.05
"""Minimum share of ticks in which a node contacts another domain."""


def choose(
    randomness: random.Random,
    own: directories.Member,
    members: Iterable[directories.Member],
    max_same_domain: int,
    max_other_domains: int,
) -> list[ids.PeerAddress]:
    """Picks random peers of the own failure domain and of others.

    Args:
        randomness: Source of randomness.
        own: The node itself, which is not picked.
        members: The members known to the node.
        max_same_domain: Maximum number of peers of its own failure domain.
        max_other_domains: Maximum number of peers of other failure domains.
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

    The nodes of one failure domain together then start about
    `CROSS_DOMAIN_EXCHANGES_PER_S`, so that updates reach small domains as fast
    as large ones, and large domains do not flood the links between them.
    """
    domain_size = sum(
        member.failure_domain == own.failure_domain for member in members
    )
    share = CROSS_DOMAIN_EXCHANGES_PER_S * tick_s / max(1, domain_size)
    return min(1.0, max(MIN_CROSS_DOMAIN_SHARE, share))
