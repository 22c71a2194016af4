"""Token accounting of a quota shard holder: grants, returns and loans."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping, Sequence
import math

import msgspec

from cyclamendale import ids
from cyclamendale.intents import model
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import lease
from cyclamendale.quotas import shares
from cyclamendale.quotas import token_bucket

RETURN_WINDOW_S = 10.0
"""Time after a grant during which returned tokens are credited."""

RESERVED_DEMAND_S = 0.2
"""Local demand for which a lender reserves tokens, as a time span."""

_US_PER_S = 1_000_000
_DEMAND_WINDOW_S = 1.0
_MAX_RESERVED_SHARE = 0.5


class Loan(msgspec.Struct):
    """Tokens borrowed from another failure domain; they keep their age.

    Attributes:
        tokens: Number of tokens.
        age_limit_s: Maximum age of the tokens.
        issued_s: Time from which their age counts.
        lender: Node that granted them.
        grant: The lender's grant.
    """

    tokens: int
    age_limit_s: float
    issued_s: float
    lender: ids.NodeId
    grant: ttypes.QuotaGrant

    @property
    def expires_s(self) -> float:
        """Returns the time from which the tokens must not be granted."""
        return self.issued_s + self.age_limit_s


def make_loan(
    lender: ids.NodeId, grant: ttypes.QuotaGrant, sent_s: float
) -> Loan:
    """Returns a loan of granted tokens.

    Args:
        lender: Node that granted the tokens.
        grant: The grant.
        sent_s: Time before the request was sent, from which age counts.
    """
    age_s = (grant.age_us or 0) / _US_PER_S
    limit_s = grant.age_limit_us / _US_PER_S
    return Loan(grant.tokens, limit_s, sent_s - age_s, lender, grant)


class _OutstandingGrant(msgspec.Struct):
    """A grant whose tokens may still be returned, in part or in full."""

    customer: ids.CustomerId
    granted_s: float
    source: token_bucket.Withdrawal | Loan


class _Account:
    """Bucket, loans and demand of one customer at this holder."""

    __slots__ = (
        "loans",
        "bucket",
        "customer",
        "recent_demand",
        "demand_updated_s",
        "share",
    )

    def __init__(self, bucket: token_bucket.TokenBucket) -> None:
        self.bucket = bucket
        self.loans: collections.deque[Loan] = collections.deque()
        self.customer: model.Customer | None = None
        self.share = 0.0
        self.recent_demand = 0.0
        self.demand_updated_s = 0.0

    def compute_limits(self, units: int) -> token_bucket.BucketLimits:
        """Returns the bucket limits for a share of the shard."""
        customer = self.customer
        share = self.share * (units / shares.SHARE_UNITS)
        if customer is None or share <= 0:
            return token_bucket.NO_LIMITS
        return token_bucket.bucket_limits(
            share, customer.rate_per_s, customer.burst
        )

    def record_demand(self, tokens: int, now_s: float) -> None:
        """Adds to the local demand, which decays exponentially."""
        elapsed_s = now_s - self.demand_updated_s
        self.recent_demand *= math.exp(-elapsed_s / _DEMAND_WINDOW_S)
        self.recent_demand += tokens
        self.demand_updated_s = now_s

    def reserved_tokens(self, now_s: float) -> float:
        """Returns how many tokens are reserved for local demand."""
        elapsed_s = now_s - self.demand_updated_s
        demand = self.recent_demand * math.exp(-elapsed_s / _DEMAND_WINDOW_S)
        max_reserved = self.bucket.limits.capacity * _MAX_RESERVED_SHARE
        return min(max_reserved, demand * RESERVED_DEMAND_S / _DEMAND_WINDOW_S)


class ShardHolder:
    """Customer buckets of one shard during one epoch of its lease.

    Attributes:
        domain: Failure domain of the shard.
        shard: The shard.
        epoch: Epoch of the lease; returns for other epochs don't apply.
    """

    def __init__(
        self,
        domain: ids.FailureDomainName,
        shard: ids.ShardId,
        epoch: ids.Epoch,
        starts_full: bool,
    ) -> None:
        self.domain = domain
        self.shard = shard
        self.epoch = epoch
        self._starts_full = starts_full
        self._share_units = 0
        self._accounts: dict[ids.CustomerId, _Account] = {}
        self._outstanding_grants: collections.OrderedDict[
            int, _OutstandingGrant
        ] = collections.OrderedDict()
        self._last_grant_id = 0
        self._expired_loans: list[Loan] = []

    def set_customers(
        self,
        customers: Mapping[ids.CustomerId, model.Customer],
        divisions: Sequence[shares.DivisionIndex | None],
        now_s: float,
    ) -> None:
        """Sets the customers and the divisions that limit their shares.

        Args:
            customers: Customers that may belong to this shard.
            divisions: Each customer gets its smallest share in any of
                them. None stands for a division not yet known, in which
                the share is 0.
            now_s: Current clock time.
        """
        for name in self._accounts.keys() - customers.keys():
            self._update_account(self._accounts[name], None, 0.0, now_s)
        for name, customer in customers.items():
            share = self._smallest_share(name, divisions)
            account = self._accounts.get(name)
            if account is None:
                self._open_account(customer, share, now_s)
            elif account.customer != customer or account.share != share:
                self._update_account(account, customer, share, now_s)

    def apply_share_changes(self, changes: Iterable[lease.ShareChange]) -> None:
        """Applies changes to this node's share, oldest first."""
        for change in changes:
            self._share_units = change.units
            for account in self._accounts.values():
                limits = account.compute_limits(change.units)
                account.bucket.set_limits(limits, change.at_s)

    def draw(
        self, customer: ids.CustomerId, wanted: int, now_s: float
    ) -> list[ttypes.QuotaGrant]:
        """Grants up to `wanted` tokens, borrowed ones first.

        Granted tokens are deducted immediately.
        """
        account = self._accounts.get(customer)
        if account is None or wanted <= 0:
            return []
        account.record_demand(wanted, now_s)
        grants: list[ttypes.QuotaGrant] = []
        while account.loans and wanted:
            loan = _take_from_oldest_loan(account.loans, wanted)
            if loan.expires_s > now_s:
                wanted -= loan.tokens
                grants += self._grant(customer, account, loan, now_s)
            else:
                self._expired_loans.append(loan)
        withdrawal = account.bucket.take(wanted, now_s)
        grants += self._grant(customer, account, withdrawal, now_s)
        return grants

    def lend(
        self,
        customer: ids.CustomerId,
        wanted: int,
        awaited: int,
        now_s: float,
    ) -> list[ttypes.QuotaGrant]:
        """Grants tokens of the own bucket to another failure domain.

        Args:
            customer: Customer whose tokens are lent.
            wanted: Number of tokens requested.
            awaited: How many of them requests already wait for. The
                others are lent only beyond the reserve for local demand.
            now_s: Current clock time.
        """
        account = self._accounts.get(customer)
        if account is None or wanted <= 0:
            return []
        available = account.bucket.available(
            now_s, account.reserved_tokens(now_s)
        )
        tokens = min(wanted, max(awaited, available))
        withdrawal = account.bucket.take(tokens, now_s)
        return list(self._grant(customer, account, withdrawal, now_s))

    def pop_expired_loans(self, now_s: float) -> list[Loan]:
        """Removes and returns borrowed tokens that expired unspent."""
        for account in self._accounts.values():
            while account.loans and account.loans[0].expires_s <= now_s:
                self._expired_loans.append(account.loans.popleft())
        expired, self._expired_loans = self._expired_loans, []
        return expired

    def credit_return(self, grant_id: int, tokens: int, now_s: float) -> float:
        """Credits unspent tokens of a grant, at most once per grant.

        Returns:
            Number of tokens credited.
        """
        granted = self._outstanding_grants.pop(grant_id, None)
        if granted is None:
            return 0
        tokens = max(0, min(tokens, granted.source.tokens))
        account = self._accounts[granted.customer]
        if isinstance(granted.source, token_bucket.Withdrawal):
            return account.bucket.refund(granted.source, tokens, now_s)
        if tokens:
            unspent = msgspec.structs.replace(granted.source, tokens=tokens)
            account.loans.append(unspent)
        return tokens

    def add_loan(self, customer: ids.CustomerId, loan: Loan) -> None:
        """Adds borrowed tokens to a customer's account."""
        account = self._accounts.get(customer)
        if account is not None and loan.tokens > 0:
            account.loans.append(loan)

    def get_level(self, customer: ids.CustomerId, now_s: float) -> float:
        """Returns the number of tokens in a customer's bucket."""
        account = self._accounts.get(customer)
        if account is None:
            return 0.0
        account.bucket.refill(now_s)
        return account.bucket.level

    def _grant(
        self,
        customer: ids.CustomerId,
        account: _Account,
        source: token_bucket.Withdrawal | Loan | None,
        now_s: float,
    ) -> Iterable[ttypes.QuotaGrant]:
        if source is None or account.customer is None:
            return
        self._expire_old_grants(now_s)
        self._last_grant_id += 1
        self._outstanding_grants[self._last_grant_id] = _OutstandingGrant(
            customer, now_s, source
        )
        if isinstance(source, token_bucket.Withdrawal):
            age_us = None
            limit_s = token_bucket.age_limit_s(
                account.customer.rate_per_s, account.customer.burst
            )
        else:
            age_s = now_s - source.issued_s
            age_s /= 1.0 - token_bucket.MAX_CLOCK_DRIFT
            age_us = math.ceil(age_s * _US_PER_S)
            limit_s = source.age_limit_s
        yield ttypes.QuotaGrant(
            shard=self.shard,
            epoch=self.epoch,
            grant_id=self._last_grant_id,
            tokens=source.tokens,
            age_limit_us=math.floor(limit_s * _US_PER_S),
            age_us=age_us,
        )

    def _expire_old_grants(self, now_s: float) -> None:
        while self._outstanding_grants:
            grant_id, oldest = next(iter(self._outstanding_grants.items()))
            if oldest.granted_s > now_s - RETURN_WINDOW_S:
                return
            del self._outstanding_grants[grant_id]
            if isinstance(oldest.source, token_bucket.Withdrawal):
                self._accounts[oldest.customer].bucket.close_withdrawal(
                    oldest.source
                )

    def _open_account(
        self, customer: model.Customer, share: float, now_s: float
    ) -> None:
        """Opens the account of a customer that is new at this holder.

        The bucket starts full only if no earlier holder can have spent
        from it. If the customer has no share here yet, the bucket starts
        empty and stays so when the share grows.
        """
        bucket = token_bucket.TokenBucket(token_bucket.NO_LIMITS, 0.0, now_s)
        account = self._accounts[customer.name] = _Account(bucket)
        self._update_account(account, customer, share, now_s)
        if self._starts_full:
            bucket.level = bucket.limits.capacity

    def _update_account(
        self,
        account: _Account,
        customer: model.Customer | None,
        share: float,
        now_s: float,
    ) -> None:
        account.customer = customer
        account.share = share
        account.bucket.set_limits(
            account.compute_limits(self._share_units), now_s
        )

    def _smallest_share(
        self,
        customer: ids.CustomerId,
        divisions: Sequence[shares.DivisionIndex | None],
    ) -> float:
        return min(
            (
                division.share(self.domain, self.shard, customer)
                if division is not None
                else 0.0
                for division in divisions
            ),
            default=0.0,
        )


def _take_from_oldest_loan(loans: collections.deque[Loan], wanted: int) -> Loan:
    """Takes up to `wanted` tokens from the oldest loan."""
    oldest = loans[0]
    if oldest.tokens <= wanted:
        return loans.popleft()
    oldest.tokens -= wanted
    return msgspec.structs.replace(oldest, tokens=wanted)
