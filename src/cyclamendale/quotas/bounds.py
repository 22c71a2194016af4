"""The bound on the admissions of a customer, and the state of its quota."""

from __future__ import annotations

import msgspec

from cyclamendale.intents import model

HEADROOM_SHARE = 0.92
"""Share of the bound's headroom that is used. The rest covers network
partitions that are not yet noticed."""


class QuotaBound(msgspec.Struct, frozen=True):
    """How far the admissions of a window may exceed rate and burst.

    Attributes:
        window_s: Length of the window.
        overrun: Allowed excess as a share of the window's rate and burst.
        slack: Allowed excess in requests, in addition to `overrun`.
    """

    window_s: float = 5.0
    overrun: float = 0.1
    slack: float = 20.0

    def headroom(self, customer: model.Customer) -> float:
        """Returns the requests above its rate that a window may hold."""
        return HEADROOM_SHARE * (
            customer.burst
            + self.overrun
            * (customer.rate_per_s * self.window_s + customer.burst)
            + self.slack
        )


class QuotaState(msgspec.Struct, frozen=True):
    """Snapshot of one customer's quota at one of its homes, for logging.

    Attributes:
        rate_per_s: Allowed requests per second.
        level: Requests that the homes may admit; a debt if negative.
        demand_per_s: Requests per second that asked this home.
        reachable_share: Share of the quota left to the reachable hosts.
    """

    rate_per_s: float
    level: float
    demand_per_s: float
    reachable_share: float
