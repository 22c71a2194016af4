"""What the homes of a customer tell each other."""

from __future__ import annotations

import msgspec

from cyclamendale import ids


class Spending(msgspec.Struct, frozen=True, array_like=True):
    """Usage of one customer as told by one home.

    Attributes:
        customer: The customer.
        admitted: Requests admitted since the process started.
        news: Those among them that were not told before.
        demand_per_s: Requests per second that asked this home.
        level: Level of the bucket at this home.
    """

    customer: ids.CustomerId
    admitted: int
    news: int
    demand_per_s: float
    level: float


class Sender(msgspec.Struct, frozen=True, array_like=True):
    """Process that tells its spending.

    Attributes:
        address: Address of the home.
        failure_domain: Its failure domain.
        incarnation: Random number that identifies the process.
    """

    address: ids.PeerAddress
    failure_domain: ids.FailureDomainName
    incarnation: int
