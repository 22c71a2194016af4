"""Chooses the home of each customer: the host that keeps its quota.

Each failure domain has one home per customer, found by rendezvous hashing
over the live hosts of the domain. All hosts with the same view choose the same
home, no host is a home for longer than it lives, and a host that leaves moves
only the customers whose home it was.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec
import xxhash

from cyclamendale import ids

MAX_RANKS = 3
"""Homes that a request may ask in turn: one that died unnoticed or is slow is
followed by the next in rank."""


class DomainHosts(msgspec.Struct, frozen=True):
    """Hosts of one failure domain, as one host sees them.

    Attributes:
        live: Hosts that were heard from recently and are not leaving.
        known_count: Hosts that may be alive, whether reachable or not.
    """

    live: tuple[ids.PeerAddress, ...]
    known_count: int

    @property
    def reachable_share(self) -> float:
        """Returns the reachable share of the hosts that may be alive."""
        return len(self.live) / max(1, self.known_count, len(self.live))


DomainView = Mapping[ids.FailureDomainName, DomainHosts]


class HomeMap:
    """Homes of the customers in each failure domain; follows one view."""

    def __init__(self) -> None:
        self._view: DomainView = {}
        self._ranked: dict[
            tuple[ids.FailureDomainName, ids.CustomerId],
            tuple[ids.PeerAddress, ...],
        ] = {}

    @property
    def view(self) -> DomainView:
        """Returns the view that the homes follow."""
        return self._view

    def set_view(self, view: DomainView) -> None:
        """Replaces the view; homes of unchanged domains stay cached."""
        changed = {
            domain
            for domain in view.keys() | self._view.keys()
            if _live(view, domain) != _live(self._view, domain)
        }
        self._view = view
        if changed:
            self._ranked = {
                key: homes
                for key, homes in self._ranked.items()
                if key[0] not in changed
            }

    def live(self, domain: ids.FailureDomainName) -> Sequence[ids.PeerAddress]:
        """Returns the hosts of a domain that may be homes."""
        return _live(self._view, domain)

    def ranked(
        self, domain: ids.FailureDomainName, customer: ids.CustomerId
    ) -> tuple[ids.PeerAddress, ...]:
        """Returns the first homes of a customer in a domain, by rank."""
        key = domain, customer
        homes = self._ranked.get(key)
        if homes is None:
            homes = self._ranked[key] = _rank(_live(self._view, domain), key[1])
        return homes


def _live(
    view: DomainView, domain: ids.FailureDomainName
) -> tuple[ids.PeerAddress, ...]:
    hosts = view.get(domain)
    return hosts.live if hosts is not None else ()


def _rank(
    hosts: Sequence[ids.PeerAddress], customer: ids.CustomerId
) -> tuple[ids.PeerAddress, ...]:
    by_score = sorted(
        hosts,
        key=lambda host: xxhash.xxh64_intdigest(f"{host} {customer}".encode()),
        reverse=True,
    )
    return tuple(by_score[:MAX_RANKS])
