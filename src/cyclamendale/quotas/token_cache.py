"""Tokens that a node has drawn and not yet spent."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator
import enum
import math

from cyclamendale import ids
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import token_bucket

TICK_INTERVAL_S = 0.1
"""Interval at which demand is measured and tokens are given back."""

STOCK_TARGET_S = 0.2
"""Demand for which a node keeps tokens."""

EMPTY_BACKOFF_S = 0.05
"""How long a node does not ask after its holder had no token."""

MAX_REFILL_WAIT_S = 0.5
"""How long a request waits for refill once its holder had no token."""

_US_PER_S = 1_000_000
_MAX_STOCK_AGE_SHARE = 0.8
_DEMAND_SMOOTHING = 0.3
_IDLE_TICKS = 5
_LOW_WATER_DIVISOR = 4


class Batch:
    """Tokens of one grant.

    Attributes:
        holder: The holder that granted them.
        grant: The grant; its `tokens` is what was left at the time.
        count: Tokens not yet spent.
        expires_s: Clock time from which they must not be spent.
    """

    __slots__ = ("unspent_tokens", "expires_s", "grant", "holder")

    def __init__(
        self, holder: ids.NodeId, grant: ttypes.QuotaGrant, expires_s: float
    ) -> None:
        self.holder = holder
        self.grant = grant
        self.unspent_tokens: int = grant.tokens
        self.expires_s = expires_s

    def make_return(self) -> ttypes.QuotaReturn:
        """Returns the message that gives the unspent tokens back."""
        return ttypes.QuotaReturn(
            shard=self.grant.shard,
            epoch=self.grant.epoch,
            grant_id=self.grant.grant_id,
            tokens=self.unspent_tokens,
        )


class WaitOutcome(enum.Enum):
    """How the wait for a token ended."""

    ADMITTED = "admitted"
    NO_TOKENS = "no-tokens"
    UNAVAILABLE = "unavailable"


class Waiter:
    """A request that waits for a token.

    Attributes:
        since_s: Clock time at which it began to wait.
        deadline_s: Clock time until which waiting helps.
        finish: Called once, with the outcome.
    """

    __slots__ = ("deadline_s", "finish", "waiting_since_s")

    def __init__(
        self,
        since_s: float,
        deadline_s: float,
        finish: Callable[[WaitOutcome], None],
    ) -> None:
        self.waiting_since_s = since_s
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
        "_arrivals",
        "_batches",
        "_demand_per_s",
        "_idle_ticks",
        "_low_water",
        "_stock_target",
        "_on_low",
        "_stock_target_s",
        "available",
        "customer",
        "backoff_until_s",
        "requested_tokens",
        "waiters",
    )

    def __init__(
        self,
        customer: ids.CustomerId,
        on_low: Callable[[CustomerTokens], None],
    ) -> None:
        self.customer = customer
        self.available = 0
        self.requested_tokens = 0
        self.backoff_until_s = 0.0
        self.waiters: collections.deque[Waiter] = collections.deque()
        self._batches: collections.deque[Batch] = collections.deque()
        self._on_low = on_low
        self._low_water = 0
        self._stock_target = 0
        self._arrivals = 0
        self._demand_per_s = 0.0
        self._stock_target_s = STOCK_TARGET_S
        self._idle_ticks = 0

    @property
    def is_idle(self) -> bool:
        """Returns whether nothing was asked, held or awaited lately."""
        is_busy = self._batches or self.waiters or self.requested_tokens
        return not is_busy and self._idle_ticks >= _IDLE_TICKS

    @property
    def is_low(self) -> bool:
        """Returns whether it is time to ask for more tokens."""
        return bool(self.waiters) or self.available <= self._low_water

    def spend(self, now_s: float) -> bool:
        """Spends a token that is not too old, if there is one."""
        self._arrivals += 1
        if not self._batches:
            return False
        batch = self._batches[0]
        if batch.expires_s <= now_s:
            return False
        return self._spend_from(batch)

    def spend_unexpired(self, now_s: float) -> bool:
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
        life_s = (age_limit_s - age_s) * (1.0 - token_bucket.MAX_CLOCK_DRIFT)
        self._stock_target_s = min(
            STOCK_TARGET_S, age_limit_s * _MAX_STOCK_AGE_SHARE
        )
        self._batches.append(Batch(holder, grant, sent_s + life_s))
        self.available += grant.tokens

    def tokens_to_request(self) -> int:
        """Returns how many tokens to ask for now."""
        stock_target = math.floor(self._demand_per_s * self._stock_target_s)
        self._stock_target = stock_target
        if self.requested_tokens and len(self.waiters) <= self.requested_tokens:
            return 0
        self._low_water = math.ceil(stock_target / _LOW_WATER_DIVISOR)
        missing = (
            stock_target
            + len(self.waiters)
            - self.available
            - self.requested_tokens
        )
        return max(0, missing)

    def update_demand(self, elapsed_s: float) -> None:
        """Updates the observed demand; called once a tick."""
        arrivals_per_s = self._arrivals / elapsed_s
        self._idle_ticks = 0 if self._arrivals else self._idle_ticks + 1
        self._arrivals = 0
        is_rising = arrivals_per_s >= self._demand_per_s
        weight = 1.0 if is_rising else _DEMAND_SMOOTHING
        self._demand_per_s += weight * (arrivals_per_s - self._demand_per_s)

    def pop_expired(self, now_s: float) -> Iterator[Batch]:
        """Takes out and yields what is too old to be spent."""
        batches = self._batches
        if all(batch.expires_s > now_s for batch in batches):
            return
        self._batches = collections.deque(
            batch for batch in batches if batch.expires_s > now_s
        )
        for batch in batches:
            if batch.expires_s <= now_s:
                self.available -= batch.unspent_tokens
                yield batch

    def pop_surplus(self, now_s: float) -> Iterator[Batch]:
        """Takes out and yields what expired or exceeds the demand."""
        stock_target = math.ceil(2 * self._demand_per_s * self._stock_target_s)
        kept: collections.deque[Batch] = collections.deque()
        keep_tokens = stock_target if self._idle_ticks < _IDLE_TICKS else 0
        for batch in self._batches:
            if batch.expires_s <= now_s or keep_tokens <= 0:
                self.available -= batch.unspent_tokens
                yield batch
            else:
                keep_tokens -= batch.unspent_tokens
                kept.append(batch)
        self._batches = kept

    def admit_waiters(self, now_s: float) -> None:
        """Admits waiting requests, oldest first, while tokens last."""
        while self.waiters:
            if self.waiters[0].deadline_s <= now_s:
                self.waiters.popleft().finish(WaitOutcome.NO_TOKENS)
            elif self.spend_unexpired(now_s):
                self.waiters.popleft().finish(WaitOutcome.ADMITTED)
            else:
                return

    def refuse_long_waiters(self, since_s: float) -> None:
        """Refuses those who have waited since before `since_s`."""
        while self.waiters and self.waiters[0].waiting_since_s <= since_s:
            self.waiters.popleft().finish(WaitOutcome.NO_TOKENS)

    def finish_waiters(self, outcome: WaitOutcome) -> None:
        """Ends the wait of all waiting requests."""
        waiters = self.waiters
        self.waiters = collections.deque()
        for waiter in waiters:
            waiter.finish(outcome)

    def drain(self) -> Iterator[Batch]:
        """Takes out and yields everything."""
        batches = self._batches
        self._batches = collections.deque()
        self.available = 0
        yield from batches

    def _spend_from(self, batch: Batch) -> bool:
        batch.unspent_tokens -= 1
        self.available -= 1
        if batch.unspent_tokens == 0:
            self._batches.remove(batch)
        if self.available <= self._low_water and self._stock_target:
            self._on_low(self)
        return True
