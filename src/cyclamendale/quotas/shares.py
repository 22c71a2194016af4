"""Division of each customer's quota among failure domains and shards."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import functools
import math
from typing import NewType

import msgspec
import xxhash

from cyclamendale import decoding
from cyclamendale import ids
from cyclamendale.intents import model
from cyclamendale.quotas import token_bucket

DivisionDigest = NewType("DivisionDigest", str)
"""Content hash that identifies a division."""

SHARE_UNITS = 1 << 20
"""Units of a full share. Integer units keep sums exact."""

MIN_HOME_TOKENS = 4.0
"""Minimum capacity, in tokens, of the bucket in each home domain."""

_HASH_RANGE = float(1 << 64)


class DomainWeight(msgspec.Struct, frozen=True, array_like=True):
    """Weight of a failure domain."""

    name: ids.FailureDomainName
    weight: float


class CustomerHomes(msgspec.Struct, frozen=True, array_like=True):
    """Number of home failure domains of a customer."""

    customer: ids.CustomerId
    count: int


class Division(msgspec.Struct, frozen=True):
    """Division of quotas; divisions with equal contents are equal.

    Attributes:
        shard_count: Number of shards per failure domain.
        domains: Failure domains, sorted by name.
        homes: Customers with more than one home, sorted by name. A customer
            that is not listed has one home, so all holders divide its quota
            alike even if some of them don't know the customer yet.
    """

    shard_count: int
    domains: tuple[DomainWeight, ...]
    homes: tuple[CustomerHomes, ...] = ()

    @property
    def digest(self) -> DivisionDigest:
        """Returns the content hash of this division."""
        return DivisionDigest(xxhash.xxh3_128_hexdigest(encode_division(self)))


def encode_division(division: Division) -> bytes:
    """Encodes a division for the table."""
    return msgspec.json.encode(division)


def decode_division(value: bytes, digest: DivisionDigest) -> Division | None:
    """Decodes a division; returns None if its digest doesn't match."""
    try:
        division = msgspec.json.decode(value, type=Division)
    except decoding.ERRORS:
        return None
    return division if division.digest == digest else None


def make_division(
    configuration: model.Configuration,
    fallback: Iterable[ids.FailureDomainName],
) -> Division:
    """Returns the division for a configuration.

    Args:
        configuration: The configuration.
        fallback: Failure domains to use if none is configured.
    """
    domains = tuple(
        DomainWeight(domain.name, domain.weight)
        for domain in configuration.failure_domains.values()
        if domain.weight > 0
    ) or tuple(DomainWeight(name, 1.0) for name in fallback)
    domains = tuple(sorted(domains, key=lambda domain: domain.name))
    homes = tuple(
        CustomerHomes(name, count)
        for name, customer in sorted(configuration.customers.items())
        if (count := _home_count(customer, domains)) > 1
    )
    shard_count = max(1, configuration.defaults.quota_shards)
    return Division(shard_count, domains, homes)


def _home_count(
    customer: model.Customer, domains: tuple[DomainWeight, ...]
) -> int:
    """Returns the largest number of homes with large enough buckets."""
    limits = token_bucket.bucket_limits(
        1.0, customer.rate_per_s, customer.burst
    )
    weights = sorted(domain.weight for domain in domains)
    for count in range(len(domains), 1, -1):
        smallest = weights[0] / sum(weights[-count:])
        if limits.capacity * smallest >= MIN_HOME_TOKENS:
            return count
    return 1


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def shard_of(customer: ids.CustomerId, shard_count: int) -> ids.ShardId:
    """Returns the shard that a customer belongs to."""
    return ids.ShardId(_hash(customer) % shard_count)


def rendezvous_score(key: str, name: str, weight: float = 1.0) -> float:
    """Returns the weighted rendezvous score of a name for a key."""
    point = _hash(f"{key}\0{name}") + 1
    return -weight / math.log(point / (_HASH_RANGE + 2.0))


class DivisionIndex:
    """Looks up the shares that a division assigns to failure domains."""

    def __init__(self, division: Division) -> None:
        self.division = division
        self._home_counts: Mapping[ids.CustomerId, int] = {
            homes.customer: homes.count for homes in division.homes
        }
        self._units = functools.lru_cache(maxsize=None)(self._compute_units)

    def units(
        self, customer: ids.CustomerId
    ) -> Mapping[ids.FailureDomainName, int]:
        """Returns the units of each home, at most `SHARE_UNITS` in total."""
        return self._units(customer)

    def share(
        self,
        domain: ids.FailureDomainName,
        shard: ids.ShardId,
        customer: ids.CustomerId,
    ) -> float:
        """Returns the fraction that a shard of a failure domain may spend."""
        if shard_of(customer, self.division.shard_count) != shard:
            return 0.0
        return self._units(customer).get(domain, 0) / SHARE_UNITS

    def _compute_units(
        self, customer: ids.CustomerId
    ) -> dict[ids.FailureDomainName, int]:
        ranked = sorted(
            self.division.domains,
            key=lambda domain: rendezvous_score(
                customer, domain.name, domain.weight
            ),
            reverse=True,
        )
        homes = ranked[: self._home_counts.get(customer, 1)]
        total = sum(home.weight for home in homes)
        return {
            home.name: math.floor(SHARE_UNITS * (home.weight / total))
            for home in homes
        }
