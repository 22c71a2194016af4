"""Token buckets that stay within quota despite clock drift and token age."""

from __future__ import annotations

import collections
import math

import msgspec

MAX_CLOCK_DRIFT = 0.02
"""Maximum deviation of a host's clock rate from real time."""

MAX_TOKEN_AGE_S = 0.5
"""Maximum time that a granted token may stay unspent on a node."""

MIN_TOKEN_AGE_S = 0.02
"""Minimum target age, even if it uses much of a small burst."""

_TARGET_AGE_REFILL_SHARE = 0.1
_MAX_AGE_REFILL_SHARE = 0.5
_ROUNDING_TOKENS = 1e-9


class BucketLimits(msgspec.Struct, frozen=True):
    """Refill rate and capacity of one bucket."""

    rate_per_s: float
    capacity: float


NO_LIMITS = BucketLimits(0.0, 0.0)


def age_limit_s(rate_per_s: float, burst: float) -> float:
    """Returns the maximum age of a customer's tokens.

    A higher age limit reduces the bucket capacity, so a customer whose
    burst refills quickly gets a low limit.
    """
    if rate_per_s <= 0:
        return MAX_TOKEN_AGE_S
    refill_s = burst / rate_per_s
    wanted_s = max(
        min(MAX_TOKEN_AGE_S, refill_s * _TARGET_AGE_REFILL_SHARE),
        MIN_TOKEN_AGE_S,
    )
    return min(wanted_s, refill_s * _MAX_AGE_REFILL_SHARE)


def bucket_limits(
    share: float, rate_per_s: float, burst: float
) -> BucketLimits:
    """Returns the limits of the bucket for a share of a quota.

    Tokens granted up to the age limit before a window may be spent in it,
    so the capacity is reduced by what refills in that time. If that leaves
    less than one token, the capacity is one token and the rate is reduced,
    so that two tokens are never spent too close to each other.

    Args:
        share: Fraction of the customer's quota, from 0 to 1.
        rate_per_s: The customer's full rate.
        burst: The customer's full burst.
    """
    age_s = age_limit_s(rate_per_s, burst)
    rate = share * rate_per_s
    capacity = share * (burst - rate_per_s * age_s)
    if capacity < 1.0 <= share * burst:
        capacity = 1.0
        rate = rate / (1.0 + rate * age_s)
    return BucketLimits(rate / (1.0 + MAX_CLOCK_DRIFT), max(capacity, 0.0))


class Withdrawal:
    """Tokens taken from a bucket in one call.

    Attributes:
        tokens: Number of tokens taken.
        creditable: Number of tokens that can still be refunded.
    """

    __slots__ = ("creditable", "tokens")

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.creditable: float = tokens


class TokenBucket:
    """Tokens that refill at a rate up to a capacity.

    If a refunded token had never been taken, refill that arrived in the
    meantime might have overflowed. So the level plus all refundable tokens
    never exceed the capacity; the oldest withdrawals lose their claim first.

    Attributes:
        limits: Refill rate and capacity.
        level: Tokens in the bucket.
        updated_s: Time up to which refill has been added.
    """

    __slots__ = ("_creditable", "_withdrawals", "level", "limits", "updated_s")

    def __init__(
        self, limits: BucketLimits, level: float, now_s: float
    ) -> None:
        self.limits = limits
        self.level = min(level, limits.capacity)
        self.updated_s = now_s
        self._withdrawals: collections.deque[Withdrawal] = collections.deque()
        self._creditable = 0.0

    def refill(self, now_s: float) -> None:
        """Adds the refill since the last call."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0:
            self.level += elapsed_s * self.limits.rate_per_s
            self.updated_s = now_s
            self._enforce_capacity()

    def set_limits(self, limits: BucketLimits, at_s: float) -> None:
        """Changes the limits as of `at_s`, without raising the level."""
        self.refill(at_s)
        self.limits = limits
        self._enforce_capacity()

    def available(self, now_s: float, reserve: float = 0.0) -> int:
        """Returns the number of whole tokens above the reserve."""
        self.refill(now_s)
        return math.floor(self.level - reserve + _ROUNDING_TOKENS)

    def take(self, wanted: int, now_s: float) -> Withdrawal | None:
        """Takes up to `wanted` whole tokens."""
        taken = min(wanted, self.available(now_s))
        if taken <= 0:
            return None
        while self._withdrawals and self._withdrawals[0].creditable <= 0:
            self._withdrawals.popleft()
        withdrawal = Withdrawal(taken)
        self.level -= taken
        self._withdrawals.append(withdrawal)
        self._creditable += taken
        return withdrawal

    def refund(
        self, withdrawal: Withdrawal, tokens: int, now_s: float
    ) -> float:
        """Credits tokens of a withdrawal that were certainly not spent.

        Returns:
            Number of tokens credited.
        """
        self.refill(now_s)
        credited = min(tokens, withdrawal.creditable)
        self.level += credited
        self.close_withdrawal(withdrawal)
        return credited

    def close_withdrawal(self, withdrawal: Withdrawal) -> None:
        """Rules out further refunds of a withdrawal."""
        self._creditable -= withdrawal.creditable
        withdrawal.creditable = 0.0

    def _enforce_capacity(self) -> None:
        capacity = self.limits.capacity
        self.level = min(self.level, capacity)
        overflow = self._creditable - (capacity - self.level)
        while overflow > 0 and self._withdrawals:
            withdrawal = self._withdrawals[0]
            lost = min(overflow, withdrawal.creditable)
            withdrawal.creditable -= lost
            self._creditable -= lost
            overflow -= lost
            if withdrawal.creditable <= 0:
                self._withdrawals.popleft()
