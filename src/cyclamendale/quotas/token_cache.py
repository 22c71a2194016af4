"""Tokens that a node has drawn and not yet spent."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator
import enum
import math

from cyclamendale import ids
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import token_bucket

TICK_S = 0.1
"""Interval at which demand is measured and tokens are given back."""

STOCK_S = 0.2
"""Demand for which a node keeps tokens."""

DRY_S = 0.05
"""How long a node does not ask after its holder had no token."""

PATIENCE_S = 0.5
"""How long a request waits for refill once its holder had no token."""

_US_PER_S = 1_000_000
_STOCK_OF_AGE = 0.8
_DEMAND_SMOOTHING = 0.3
_IDLE_TICKS = 5
_LOW_WATER_PART = 4


class Batch:
    """Tokens of one grant.

    Attributes:
        holder: The holder that granted them.
        grant: The grant; its `tokens` is what was left at the time.
        count: Tokens not yet spent.
        expires_s: Clock time from which they must not be spent.
    """

    __slots__ = ("count", "expires_s", "grant", "holder")

    def __init__(
        self, holder: ids.NodeId, grant: ttypes.QuotaGrant, expires_s: float
    ) -> None:
        self.holder = holder
        self.grant = grant
        self.count: int = grant.tokens
        self.expires_s = expires_s

    def to_return(self) -> ttypes.QuotaReturn:
        """Returns the message that gives the unspent tokens back."""
        return ttypes.QuotaReturn(
            shard=self.grant.shard,
            epoch=self.grant.epoch,
            grant_id=self.grant.grant_id,
            tokens=self.count,
        )


class Outcome(enum.Enum):
    """How the wait for a token ended."""

    ADMITTED = "admitted"
    DRY = "dry"
    UNAVAILABLE = "unavailable"


class Waiter:
    """A request that waits for a token.

    Attributes:
        since_s: Clock time at which it began to wait.
        deadline_s: Clock time until which waiting helps.
        finish: Called once, with the outcome.
    """

    __slots__ = ("deadline_s", "finish", "since_s")

    def __init__(
        self,
        since_s: float,
        deadline_s: float,
        finish: Callable[[Outcome], None],
    ) -> None:
        self.since_s = since_s
        self.deadline_s = deadline_s
        self.finish = finish


class CustomerTokens:
    """One customer's tokens on one node.

    Attributes:
        customer: The customer.
        available: Tokens in the cache, expired ones included.
        waiting: Requests that wait for tokens, in order of arrival.
        in_flight: Tokens asked for and not yet answered.
        dry_until_s: Clock time until which asking is useless.
    """

    __slots__ = (
        "_asked",
        "_batches",
        "_demand_per_s",
        "_idle_ticks",
        "_low_water",
        "_stock",
        "_on_low",
        "_stock_s",
        "available",
        "customer",
        "dry_until_s",
        "in_flight",
        "waiting",
    )

    def __init__(
        self,
        customer: ids.CustomerId,
        on_low: Callable[[CustomerTokens], None],
    ) -> None:
        self.customer = customer
        self.available = 0
        self.in_flight = 0
        self.dry_until_s = 0.0
        self.waiting: collections.deque[Waiter] = collections.deque()
        self._batches: collections.deque[Batch] = collections.deque()
        self._on_low = on_low
        self._low_water = 0
        self._stock = 0
        self._asked = 0
        self._demand_per_s = 0.0
        self._stock_s = STOCK_S
        self._idle_ticks = 0

    @property
    def idle(self) -> bool:
        """Returns whether nothing was asked, held or awaited lately."""
        busy = self._batches or self.waiting or self.in_flight
        return not busy and self._idle_ticks >= _IDLE_TICKS

    @property
    def low(self) -> bool:
        """Returns whether it is time to ask for more tokens."""
        return bool(self.waiting) or self.available <= self._low_water

    def spend(self, now_s: float) -> bool:
        """Spends a token that is not too old, if there is one."""
        self._asked += 1
        if not self._batches:
            return False
        batch = self._batches[0]
        if batch.expires_s <= now_s:
            return False
        return self._spend_from(batch)

    def spend_younger(self, now_s: float) -> bool:
        """Spends any token that is not too old; passes over expired."""
        for batch in self._batches:
            if batch.expires_s > now_s:
                return self._spend_from(batch)
        return False

    def add(
        self, holder: ids.NodeId, grant: ttypes.QuotaGrant, sent_s: float
    ) -> None:
        """Adds granted tokens.

        Args:
            holder: Who granted them.
            grant: The grant.
            sent_s: Clock time before the request for it was sent, from
                which the age of its tokens counts.
        """
        age_limit_s = grant.age_limit_us / _US_PER_S
        age_s = (grant.age_us or 0) / _US_PER_S
        life_s = (age_limit_s - age_s) * (1.0 - token_bucket.ALLOWED_DRIFT)
        self._stock_s = min(STOCK_S, age_limit_s * _STOCK_OF_AGE)
        self._batches.append(Batch(holder, grant, sent_s + life_s))
        self.available += grant.tokens

    def wanted(self) -> int:
        """Returns how many tokens to ask for now."""
        stock = math.floor(self._demand_per_s * self._stock_s)
        self._stock = stock
        if self.in_flight and len(self.waiting) <= self.in_flight:
            return 0
        self._low_water = math.ceil(stock / _LOW_WATER_PART)
        short = stock + len(self.waiting) - self.available - self.in_flight
        return max(0, short)

    def measure(self, elapsed_s: float) -> None:
        """Updates the observed demand; called once a tick."""
        asked_per_s = self._asked / elapsed_s
        self._idle_ticks = 0 if self._asked else self._idle_ticks + 1
        self._asked = 0
        rising = asked_per_s >= self._demand_per_s
        weight = 1.0 if rising else _DEMAND_SMOOTHING
        self._demand_per_s += weight * (asked_per_s - self._demand_per_s)

    def expired(self, now_s: float) -> Iterator[Batch]:
        """Takes out and yields what is too old to be spent."""
        batches = self._batches
        if all(batch.expires_s > now_s for batch in batches):
            return
        self._batches = collections.deque(
            batch for batch in batches if batch.expires_s > now_s
        )
        for batch in batches:
            if batch.expires_s <= now_s:
                self.available -= batch.count
                yield batch

    def surplus(self, now_s: float) -> Iterator[Batch]:
        """Takes out and yields what expired or exceeds the demand."""
        stock = math.ceil(2 * self._demand_per_s * self._stock_s)
        kept: collections.deque[Batch] = collections.deque()
        keep = stock if self._idle_ticks < _IDLE_TICKS else 0
        for batch in self._batches:
            if batch.expires_s <= now_s or keep <= 0:
                self.available -= batch.count
                yield batch
            else:
                keep -= batch.count
                kept.append(batch)
        self._batches = kept

    def serve_waiting(self, now_s: float) -> None:
        """Admits waiting requests, oldest first, while tokens last."""
        while self.waiting:
            if self.waiting[0].deadline_s <= now_s:
                self.waiting.popleft().finish(Outcome.DRY)
            elif self.spend_younger(now_s):
                self.waiting.popleft().finish(Outcome.ADMITTED)
            else:
                return

    def refuse_impatient(self, since_s: float) -> None:
        """Refuses those who have waited since before `since_s`."""
        while self.waiting and self.waiting[0].since_s <= since_s:
            self.waiting.popleft().finish(Outcome.DRY)

    def refuse_waiting(self, outcome: Outcome) -> None:
        """Ends the wait of all waiting requests."""
        waiting = self.waiting
        self.waiting = collections.deque()
        for waiter in waiting:
            waiter.finish(outcome)

    def drain(self) -> Iterator[Batch]:
        """Takes out and yields everything."""
        batches = self._batches
        self._batches = collections.deque()
        self.available = 0
        yield from batches

    def _spend_from(self, batch: Batch) -> bool:
        batch.count -= 1
        self.available -= 1
        if batch.count == 0:
            self._batches.remove(batch)
        if self.available <= self._low_water and self._stock:
            self._on_low(self)
        return True
