"""Shares of a customer's quota that its homes may spend.

Each reachable failure domain counts by its demand and by the share of its
hosts that can be reached. A domain that is cut off keeps the largest share
that it had lately, so that the shares on both sides of a network partition
add up to one at most.
"""

from __future__ import annotations

from collections.abc import Iterator
import math

from cyclamendale import ids
from cyclamendale.quotas import _home_bucket
from cyclamendale.quotas import homes

PRIOR_REQUESTS = 3.0
"""Pseudo-count added to each domain's requests, so that a few arrivals don't
shift the shares."""

PEAK_SHARE_DECAY_S = 10.0
"""Time constant with which a domain's peak share falls. The peak is kept for
a domain that is cut off; its current share may fall before that is noticed."""

MIN_SILENCE_S = 0.5
MIN_MISSED_REQUESTS = 4.0
"""A failure domain whose homes told of demand counts as cut off once it is
silent for this time, in which this many requests were to be expected."""

FORGET_HOME_S = 60.0
"""Time after which a silent other home no longer counts."""


def compute(
    bucket: _home_bucket.Bucket,
    view: homes.DomainView,
    own_domain: ids.FailureDomainName,
    now_s: float,
    elapsed_s: float,
) -> tuple[float, float]:
    """Computes shares of a customer's quota, and updates its peak shares.

    Args:
        bucket: The customer's bucket.
        view: Hosts by failure domain.
        own_domain: Failure domain of this home.
        now_s: Clock time.
        elapsed_s: Time since the last computation.

    Returns:
        The share of this home, and that of all reachable hosts.
    """
    own_requests = (
        bucket.demand_per_s * _home_bucket.DEMAND_AVERAGING_S + PRIOR_REQUESTS
    )
    silent = set(_silent_domains(bucket, own_domain, now_s))
    requests = {
        domain: PRIOR_REQUESTS
        for domain, each in view.items()
        if each.live and domain not in silent
    }
    requests[own_domain] = own_requests
    for address, other in tuple(bucket.others.items()):
        if now_s - other.heard_s > FORGET_HOME_S:
            del bucket.others[address]
        elif other.failure_domain in requests:
            requests[other.failure_domain] += (
                other.current_demand_per_s(now_s)
                * _home_bucket.DEMAND_AVERAGING_S
            )
    peaks = bucket.peak_shares
    kept = {
        domain: peaks.get(domain, 1.0 / len(view))
        for domain in view
        if domain not in requests
    }
    bucket.kept_domains = kept.keys()
    free_share = max(0.0, 1.0 - sum(kept.values()))
    total_requests = sum(requests.values())
    shares = {
        domain: free_share * count / total_requests
        for domain, count in requests.items()
    }
    decay = math.exp(-elapsed_s / PEAK_SHARE_DECAY_S)
    for domain, share in shares.items():
        peaks[domain] = max(share, decay * peaks.get(domain, 0.0))
    reachable_share = sum(
        share * view[domain].reachable_share if domain in view else share
        for domain, share in shares.items()
    )
    own_share = shares[own_domain] * (own_requests / requests[own_domain])
    if own_domain in view:
        own_share *= view[own_domain].reachable_share
    return own_share, max(reachable_share, 1e-6)


def _silent_domains(
    bucket: _home_bucket.Bucket,
    own_domain: ids.FailureDomainName,
    now_s: float,
) -> Iterator[ids.FailureDomainName]:
    """Yields other domains that ought to have told of their demand."""
    heard_s: dict[ids.FailureDomainName, float] = {}
    demand_per_s: dict[ids.FailureDomainName, float] = {}
    for other in bucket.others.values():
        domain = other.failure_domain
        heard_s[domain] = max(other.heard_s, heard_s.get(domain, -math.inf))
    for other in bucket.others.values():
        domain = other.failure_domain
        demand_per_s[domain] = demand_per_s.get(
            domain, 0.0
        ) + other.current_demand_per_s(heard_s[domain])
    for domain, last_s in heard_s.items():
        silent_s = now_s - last_s
        averaging_s = _home_bucket.DEMAND_AVERAGING_S
        missed_requests = (
            demand_per_s[domain]
            * averaging_s
            * (1.0 - math.exp(-silent_s / averaging_s))
        )
        if (
            domain != own_domain
            and silent_s > MIN_SILENCE_S
            and missed_requests > MIN_MISSED_REQUESTS
        ):
            yield domain
