"""Token buckets that keep the bound with slow clocks and aged tokens."""

from __future__ import annotations

import math

import msgspec

ALLOWED_DRIFT = 0.02
"""Largest deviation of a host's clock rate from real time."""

MAX_AGE_S = 0.5
"""Longest time that a granted token may wait on a node."""

MIN_AGE_S = 0.02
"""Age that is aimed at even when it takes much of a small burst."""

_AGE_OF_BURST = 0.1
_MAX_AGE_OF_BURST = 0.5
_ROUNDING_TOKENS = 1e-9


class BucketLimits(msgspec.Struct, frozen=True):
    """Refill rate and capacity of one bucket."""

    rate_per_s: float
    capacity: float


NO_LIMITS = BucketLimits(0.0, 0.0)


def age_limit_s(rate_per_s: float, burst: float) -> float:
    """Returns the greatest age of a customer's tokens.

    The age is paid for with bucket capacity, so a customer whose burst
    refills quickly gets a short one.
    """
    if rate_per_s <= 0:
        return MAX_AGE_S
    refill_s = burst / rate_per_s
    wanted_s = max(min(MAX_AGE_S, refill_s * _AGE_OF_BURST), MIN_AGE_S)
    return min(wanted_s, refill_s * _MAX_AGE_OF_BURST)


def bucket_limits(
    share: float, rate_per_s: float, burst: float
) -> BucketLimits:
    """Returns the limits of the bucket that spends a share of a quota.

    Tokens granted up to the age limit before a window may be spent in
    it, so the capacity holds back what refills in that time. A bucket
    that would hold no whole token then holds exactly one, and refills
    so slowly that two tokens are never spent too close to each other.

    Args:
        share: Part of the customer's quota, from 0 to 1.
        rate_per_s: The customer's whole rate.
        burst: The customer's whole burst.
    """
    age_s = age_limit_s(rate_per_s, burst)
    rate = share * rate_per_s
    capacity = share * (burst - rate_per_s * age_s)
    if capacity < 1.0 <= share * burst:
        capacity = 1.0
        rate = rate / (1.0 + rate * age_s)
    return BucketLimits(rate / (1.0 + ALLOWED_DRIFT), max(capacity, 0.0))


class TokenBucket:
    """Tokens that refill at a rate up to a capacity.

    Attributes:
        limits: Refill rate and capacity.
        level: Tokens in the bucket.
        updated_s: Time up to which refill was added.
        creditable: Most tokens that may still be put back. Refill that
            arrives while tokens are out would have overflowed had they
            stayed, so it takes their place.
    """

    __slots__ = ("creditable", "level", "limits", "updated_s")

    def __init__(
        self, limits: BucketLimits, level: float, now_s: float
    ) -> None:
        self.limits = limits
        self.level = min(level, limits.capacity)
        self.updated_s = now_s
        self.creditable = 0.0

    def refill(self, now_s: float) -> None:
        """Adds what has refilled since the last call."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0:
            self.level += elapsed_s * self.limits.rate_per_s
            self.updated_s = now_s
            self._clamp()

    def set_limits(self, limits: BucketLimits, at_s: float) -> None:
        """Changes the limits as of `at_s`; never raises the level."""
        self.refill(at_s)
        self.limits = limits
        self._clamp()

    def take(self, wanted: int, now_s: float, reserve: float = 0.0) -> int:
        """Takes up to `wanted` whole tokens and leaves the reserve."""
        self.refill(now_s)
        available = math.floor(self.level - reserve + _ROUNDING_TOKENS)
        taken = max(0, min(wanted, available))
        self.level -= taken
        self.creditable += taken
        return taken

    def put_back(self, tokens: int, now_s: float) -> float:
        """Adds tokens that were taken and certainly not spent.

        Returns:
            How many were credited.
        """
        self.refill(now_s)
        credited = min(tokens, self.creditable)
        self.level += credited
        self.creditable -= credited
        return credited

    def _clamp(self) -> None:
        capacity = self.limits.capacity
        self.level = min(self.level, capacity)
        self.creditable = min(self.creditable, capacity - self.level)
