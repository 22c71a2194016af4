"""Cache of tokens that a node has drawn but not yet spent."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator
import enum
import math

from cyclamendale import ids
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import token_bucket

TICK_INTERVAL_S = 0.1
"""Interval at which demand is measured and surplus tokens returned."""

STOCK_TARGET_S = 0.2
"""Target stock of tokens, as a time span of demand."""

EMPTY_BACKOFF_S = 0.05
"""Maximum time without draws after the holder had too few tokens."""

MAX_REFILL_WAIT_S = 0.5
"""Maximum wait of a request for refill while its holder has too few tokens."""

_US_PER_S = 1_000_000
_MAX_STOCK_AGE_SHARE = 0.8
_DEMAND_SMOOTHING = 0.3
_IDLE_TICKS = 5
_LOW_WATER_DIVISOR = 4


class Batch:
    """Cached tokens of one grant.

    Attributes:
        holder: The holder that granted the tokens.
        grant: The grant; its `tokens` is the number granted.
        unspent_tokens: Tokens not yet spent.
        expires_s: Clock time from which the tokens must not be spent.
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
        """Returns the message that returns the unspent tokens."""
        return ttypes.QuotaReturn(
            shard=self.grant.shard,
            epoch=self.grant.epoch,
            grant_id=self.grant.grant_id,
            tokens=self.unspent_tokens,
        )


class WaitOutcome(enum.Enum):
    """Result of waiting for a token."""

    ADMITTED = "admitted"
    NO_TOKENS = "no-tokens"
    UNAVAILABLE = "unavailable"


class Waiter:
    """A request waiting for a token.

    Attributes:
        waiting_since_s: Clock time at which the wait began.
        deadline_s: Clock time after which a token is of no more use.
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
    """One customer's token cache on one node.

    Attributes:
        customer: The customer.
        available: Tokens in the cache, including expired ones.
        waiters: Requests waiting for tokens, in order of arrival.
        requested_tokens: Tokens requested in draws without a reply yet.
        backoff_until_s: Clock time until which no tokens are requested.
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
        """Returns whether the cache is unused.

        It then has no tokens, waiters, pending draws or recent arrivals.
        """
        is_busy = self._batches or self.waiters or self.requested_tokens
        return not is_busy and self._idle_ticks >= _IDLE_TICKS

    @property
    def is_low(self) -> bool:
        """Returns whether more tokens should be requested."""
        return bool(self.waiters) or self.available <= self._low_water

    def spend(self, now_s: float) -> bool:
        """Counts an arrival; spends a token unless the oldest batch expired."""
        self._arrivals += 1
        if not self._batches:
            return False
        batch = self._batches[0]
        if batch.expires_s <= now_s:
            return False
        return self._spend_from(batch)

    def spend_unexpired(self, now_s: float) -> bool:
        """Spends a token of the oldest batch that has not expired, if any."""
        for batch in self._batches:
            if batch.expires_s > now_s:
                return self._spend_from(batch)
        return False

    def add(
        self, holder: ids.NodeId, grant: ttypes.QuotaGrant, sent_s: float
    ) -> None:
        """Adds granted tokens.

        Args:
            holder: The holder that granted the tokens.
            grant: The grant.
            sent_s: Clock time before the draw was sent, from which the age
                of the tokens counts.
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
        """Returns how many tokens to request now."""
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
        """Updates the measured demand; called once per tick."""
        arrivals_per_s = self._arrivals / elapsed_s
        self._idle_ticks = 0 if self._arrivals else self._idle_ticks + 1
        self._arrivals = 0
        is_rising = arrivals_per_s >= self._demand_per_s
        weight = 1.0 if is_rising else _DEMAND_SMOOTHING
        self._demand_per_s += weight * (arrivals_per_s - self._demand_per_s)

    def pop_expired(self, now_s: float) -> Iterator[Batch]:
        """Removes and yields expired batches."""
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
        """Removes and yields batches that expired or exceed the demand."""
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
        """Admits waiting requests, oldest first, while tokens are available."""
        while self.waiters:
            if self.waiters[0].deadline_s <= now_s:
                self.waiters.popleft().finish(WaitOutcome.NO_TOKENS)
            elif self.spend_unexpired(now_s):
                self.waiters.popleft().finish(WaitOutcome.ADMITTED)
            else:
                return

    def refuse_long_waiters(self, since_s: float) -> None:
        """Refuses requests that have waited since `since_s` or longer."""
        while self.waiters and self.waiters[0].waiting_since_s <= since_s:
            self.waiters.popleft().finish(WaitOutcome.NO_TOKENS)

    def finish_waiters(self, outcome: WaitOutcome) -> None:
        """Ends the wait of all requests with the given outcome."""
        waiters = self.waiters
        self.waiters = collections.deque()
        for waiter in waiters:
            waiter.finish(outcome)

    def drain(self) -> Iterator[Batch]:
        """Removes and yields all batches."""
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
