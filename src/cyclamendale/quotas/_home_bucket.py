"""State of one customer's quota at one of its homes."""

from __future__ import annotations

from collections.abc import Set
import math

from cyclamendale import ids
from cyclamendale.quotas import spendings

DEMAND_AVERAGING_S = 2.0
"""Time constant of a home's demand average."""


class OtherHome:
    """Last known usage of one customer at another home."""

    __slots__ = (
        "admitted",
        "demand_per_s",
        "failure_domain",
        "heard_s",
        "incarnation",
    )

    def __init__(self, sender: spendings.Sender) -> None:
        self.failure_domain = sender.failure_domain
        self.incarnation = sender.incarnation
        self.admitted = 0
        self.demand_per_s = 0.0
        self.heard_s = -math.inf

    def current_demand_per_s(self, now_s: float) -> float:
        """Returns its demand, which decays while it tells nothing."""
        return self.demand_per_s * math.exp(
            -max(0.0, now_s - self.heard_s) / DEMAND_AVERAGING_S
        )


class Bucket:
    """One customer's bucket, as this home keeps it."""

    __slots__ = (
        "admitted",
        "allowance",
        "arrivals",
        "demand_per_s",
        "kept_domains",
        "peak_shares",
        "interval_ends_s",
        "interval_started_s",
        "last_admitted_s",
        "level",
        "others",
        "reachable_share",
        "told_admitted",
        "updated_s",
    )

    def __init__(self, now_s: float, level: float) -> None:
        self.level = level
        self.updated_s = now_s
        self.interval_started_s = -math.inf
        self.interval_ends_s = -math.inf
        self.last_admitted_s = -math.inf
        self.allowance = 0
        self.admitted = 0
        self.told_admitted = 0
        self.arrivals = 0
        self.demand_per_s = 0.0
        self.reachable_share: float | None = None
        self.peak_shares: dict[ids.FailureDomainName, float] = {}
        self.kept_domains: Set[ids.FailureDomainName] = frozenset()
        self.others: dict[ids.PeerAddress, OtherHome] = {}
