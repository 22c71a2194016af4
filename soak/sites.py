"""Sizes of the fleets that a soak runs."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Site:
    """A fleet: its failure domains, and one service for each host.

    Attributes:
        failure_domains: Names of the failure domains; hosts take turns.
        services: Service of the upstream of each host.
    """

    failure_domains: tuple[str, ...]
    services: tuple[str, ...]


SITES = {
    "small": Site(("north", "south"), ("pickup", "wash", "track", "wash") * 2),
    "sappaya": Site(
        ("hatyai", "pattani", "yala", "satun"),
        ("pickup",) * 4 + ("wash",) * 4 + ("track",) * 4 + ("drying",) * 4,
    ),
    "atabah": Site(
        ("tanta", "mansoura", "zagazig"),
        ("tracker",) * 4
        + ("bookings",) * 3
        + ("surveys",) * 4
        + ("catalogue",) * 3,
    ),
}
