"""Borrows tokens from holders of the same shard in other failure domains."""

from __future__ import annotations

from collections.abc import Callable
import random

from expression import Result
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.controllers import _quota_locator
from cyclamendale.controllers import quota_leases
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import holder

BORROW_TIMEOUT_S = 0.2
"""Timeout of requests to a lender."""

LENDER_BACKOFF_S = 0.1
"""Maximum time for which a lender is not asked again.

It applies after a lender granted too few tokens, did not answer or was not
found. The backoff is kept per customer and failure domain, with jitter.
"""

RETURN_INTERVAL_S = 0.1
"""Minimum interval between returns of unused loans."""

_MAX_BACKOFF_ENTRIES = 10_000


class _Shortfall:
    """Tokens missing for one customer, summed over all pending draws."""

    __slots__ = ("awaited", "customer", "done", "shard", "tokens")

    def __init__(self, want: ttypes.QuotaWant) -> None:
        self.shard = ids.ShardId(want.shard)
        self.customer = ids.CustomerId(want.customer)
        self.tokens: int = want.tokens
        self.awaited: int = want.awaited
        self.done: defer.Deferred[None] = defer.Deferred()


class Borrower:
    """Borrows tokens for the shards that this node holds.

    Requests of one reactor turn are batched by lender.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        peers: network.PeerNetwork,
        leases: quota_leases.QuotaLeases,
        locator: _quota_locator.HolderLocator,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._leases = leases
        self._locator = locator
        self._backoff_until_s: dict[
            tuple[ids.CustomerId, ids.FailureDomainName], float
        ] = {}
        self._pending: dict[ids.CustomerId, _Shortfall] = {}
        self._flush_scheduled = False
        self._next_return_s = 0.0

    def has_possible_lender(
        self, customer: ids.CustomerId, now_s: float
    ) -> bool:
        """Returns whether any lender of the customer is not backed off."""
        home_domains = self._leases.divisions.current.units(customer)
        return any(
            self._backoff_until_s.get((customer, domain), 0.0) <= now_s
            for domain in home_domains
            if domain != self._leases.domain
        )

    def borrow(self, missing: list[ttypes.QuotaWant]) -> defer.Deferred[None]:
        """Borrows the missing tokens.

        Returns:
            Fires when the tokens were borrowed or every lender was tried.
        """
        deferreds = []
        for want in missing:
            shortfall = self._pending.get(want.customer)
            if shortfall is None:
                shortfall = self._pending[want.customer] = _Shortfall(want)
            else:
                shortfall.tokens += want.tokens
                shortfall.awaited += want.awaited
            deferred: defer.Deferred[None] = defer.Deferred()
            shortfall.done.addCallback(_make_trigger(deferred))
            deferreds.append(deferred)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._clock.call_later(0, self._flush)
        done: defer.Deferred[None] = defer.DeferredList(deferreds).addCallback(
            lambda _: None
        )
        return done

    def return_unused_loans(self, now_s: float) -> None:
        """Returns borrowed tokens that expired unspent to their lenders."""
        if now_s < self._next_return_s:
            return
        self._next_return_s = now_s + RETURN_INTERVAL_S
        by_lender: dict[ids.NodeId, list[ttypes.QuotaReturn]] = {}
        for shard in self._leases.held_shards():
            shard_holder = self._leases.get_holder(shard)
            if shard_holder is None:
                continue
            for loan in shard_holder.pop_expired_loans(now_s):
                entry = ttypes.QuotaReturn(
                    loan.grant.shard,
                    loan.grant.epoch,
                    loan.grant.grant_id,
                    loan.tokens,
                )
                by_lender.setdefault(loan.lender, []).append(entry)
        for lender, entries in by_lender.items():
            self._peers.request(
                ids.address_of(lender),
                kinds.MessageKind.QUOTA_RETURN,
                ttypes.QuotaReturnRequest(entries),
                ttypes.QuotaReturnReply,
                BORROW_TIMEOUT_S,
            )

    def _flush(self) -> None:
        self._flush_scheduled = False
        shortfalls, self._pending = self._pending, {}
        self._request_loans(list(shortfalls.values()))

    def _request_loans(self, shortfalls: list[_Shortfall]) -> None:
        """Asks one lender per customer.

        Repeats after each reply until no token is missing or every lender
        was tried.
        """
        now_s = self._clock.now_s()
        batches: dict[
            tuple[ids.FailureDomainName, ids.NodeId], list[_Shortfall]
        ] = {}
        for shortfall in shortfalls:
            lender = (
                self._choose_lender(shortfall, now_s)
                if shortfall.tokens > 0
                else None
            )
            if lender is None:
                shortfall.done.callback(None)
            else:
                batches.setdefault(lender, []).append(shortfall)
        for (domain, node), batch in batches.items():
            wants = [
                ttypes.QuotaWant(
                    shortfall.shard,
                    shortfall.customer,
                    shortfall.tokens,
                    shortfall.awaited,
                )
                for shortfall in batch
            ]
            answer = self._peers.request(
                ids.address_of(node),
                kinds.MessageKind.QUOTA_BORROW,
                ttypes.QuotaDrawRequest(wants),
                ttypes.QuotaDrawReply,
                BORROW_TIMEOUT_S,
            )
            answer.addCallback(self._handle_reply, domain, node, batch, now_s)

    def _choose_lender(
        self, shortfall: _Shortfall, now_s: float
    ) -> tuple[ids.FailureDomainName, ids.NodeId] | None:
        home_domains = self._leases.divisions.current.units(shortfall.customer)
        domains = [
            domain
            for domain in home_domains
            if domain != self._leases.domain
            and self._backoff_until_s.get((shortfall.customer, domain), 0.0)
            <= now_s
        ]
        self._rng.shuffle(domains)
        for domain in domains:
            node = self._locator.find(domain, shortfall.shard, now_s)
            if node is not None:
                return domain, node
            self._start_backoff(shortfall.customer, domain, now_s)
        return None

    def _handle_reply(
        self,
        result: Result[ttypes.QuotaDrawReply, network.PeerError],
        domain: ids.FailureDomainName,
        node: ids.NodeId,
        batch: list[_Shortfall],
        sent_s: float,
    ) -> None:
        now_s = self._clock.now_s()
        if result.is_error():
            self._locator.report_no_answer(node, now_s)
        else:
            for hint in result.ok.hints or ():
                shard = ids.ShardId(hint.shard)
                self._locator.report_not_holder(domain, shard, node)
            self._locator.learn_hints(result.ok.hints)
            self._deposit(node, result.ok.grants, batch, sent_s)
        for shortfall in batch:
            if shortfall.tokens > 0:
                self._start_backoff(shortfall.customer, domain, now_s)
        self._request_loans(batch)

    def _deposit(
        self,
        lender: ids.NodeId,
        grants: list[ttypes.QuotaGrant],
        batch: list[_Shortfall],
        sent_s: float,
    ) -> None:
        """Hands borrowed tokens to their shard holders.

        The age of the tokens counts from the time of the request.
        """
        for grant in grants:
            if not 0 <= grant.want < len(batch):
                continue
            shortfall = batch[grant.want]
            shortfall.tokens -= grant.tokens
            shortfall.awaited = max(0, shortfall.awaited - grant.tokens)
            shard_holder = self._leases.get_holder(shortfall.shard)
            if shard_holder is not None:
                loan = holder.make_loan(lender, grant, sent_s)
                shard_holder.add_loan(shortfall.customer, loan)

    def _start_backoff(
        self,
        customer: ids.CustomerId,
        domain: ids.FailureDomainName,
        now_s: float,
    ) -> None:
        if len(self._backoff_until_s) >= _MAX_BACKOFF_ENTRIES:
            self._backoff_until_s.clear()
        backoff_s = LENDER_BACKOFF_S * self._rng.uniform(0.5, 1.0)
        self._backoff_until_s[customer, domain] = now_s + backoff_s


def _make_trigger(deferred: defer.Deferred[None]) -> Callable[[None], None]:
    def fire(_: None) -> None:
        deferred.callback(None)

    return fire
