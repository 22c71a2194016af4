"""Histogram of the arrival rates at a gate, by shed key."""

from __future__ import annotations

from cyclamendale.overload import shed_key as shed_keys

IMPORTANCE_CLASSES = 4
"""Number of importance classes in a shed key."""

BUCKET_BITS = shed_keys.COHORT_BITS + 2
"""Low-order bits of a shed key that share one bucket."""

BUCKETS_PER_CLASS = 1 << (
    shed_keys.OVER_SHARE_BITS + shed_keys.COHORT_BITS - BUCKET_BITS
)
BUCKETS = IMPORTANCE_CLASSES * BUCKETS_PER_CLASS

SMOOTHING_S = 0.5
"""Time constant of the averaging of rates."""


class DemandHistogram:
    """Histogram of arrival rates over shed keys.

    Entry nodes shed requests above the threshold, so these do not arrive
    at the gate. Buckets above the threshold are not updated meanwhile and
    keep the last known demand.
    """

    __slots__ = ("_arrivals", "_rates_per_s")

    def __init__(self) -> None:
        self._arrivals = [0] * BUCKETS
        self._rates_per_s = [0.0] * BUCKETS

    def record_arrival(self, shed_key: int) -> None:
        """Counts one arrival."""
        bucket = shed_key >> BUCKET_BITS
        self._arrivals[bucket if bucket < BUCKETS else -1] += 1

    def end_window(self, elapsed_s: float, visible_key: int) -> None:
        """Updates the rates with the arrivals since the last call.

        Args:
            elapsed_s: Time since the last call.
            visible_key: Shed key up to which all demand reaches the gate;
                buckets above it keep their rates.
        """
        arrivals = self._arrivals
        rates_per_s = self._rates_per_s
        weight = min(1.0, elapsed_s / SMOOTHING_S)
        for bucket in range(min(BUCKETS, visible_key >> BUCKET_BITS)):
            rate_per_s = rates_per_s[bucket]
            count = arrivals[bucket]
            if count or rate_per_s:
                rates_per_s[bucket] = rate_per_s + weight * (
                    count / elapsed_s - rate_per_s
                )
        self._arrivals = [0] * BUCKETS

    def key_at_rate(self, rate_per_s: float) -> int:
        """Returns the key up to which demand sums to `rate_per_s`."""
        remaining_per_s = rate_per_s
        for bucket, bucket_per_s in enumerate(self._rates_per_s):
            if bucket_per_s >= remaining_per_s > 0:
                bucket_share = remaining_per_s / bucket_per_s
                return int((bucket + bucket_share) * (1 << BUCKET_BITS))
            remaining_per_s -= bucket_per_s
            if remaining_per_s <= 0:
                return (bucket + 1) << BUCKET_BITS
        return shed_keys.MAX_SHED_KEY
