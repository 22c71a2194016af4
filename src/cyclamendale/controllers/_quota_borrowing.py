"""Loans of tokens from the same shard's holders of other domains."""

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
"""Longest wait for a lender's answer."""

LENDER_DRY_S = 0.1
"""How long a lender that gave too little is not asked again."""

GIVE_BACK_S = 0.1
"""Shortest interval at which unused loans are given back."""

_MAX_DRY_ENTRIES = 10_000


class _Need:
    """Tokens that are missing for one customer, for all who wait."""

    __slots__ = ("awaited", "customer", "done", "shard", "tokens")

    def __init__(self, want: ttypes.QuotaWant) -> None:
        self.shard = ids.ShardId(want.shard)
        self.customer = ids.CustomerId(want.customer)
        self.tokens: int = want.tokens
        self.awaited: int = want.awaited
        self.done: defer.Deferred[None] = defer.Deferred()


class Borrower:
    """Borrows for the shards of this node, batched by lender."""

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
        self._dry_until_s: dict[
            tuple[ids.CustomerId, ids.FailureDomainName], float
        ] = {}
        self._queued: dict[ids.CustomerId, _Need] = {}
        self._flush_scheduled = False
        self._next_give_back_s = 0.0

    def may_help(self, customer: ids.CustomerId, now_s: float) -> bool:
        """Returns whether some lender may have tokens."""
        homes = self._leases.divisions.current.units(customer)
        return any(
            self._dry_until_s.get((customer, domain), 0.0) <= now_s
            for domain in homes
            if domain != self._leases.domain
        )

    def borrow(self, missing: list[ttypes.QuotaWant]) -> defer.Deferred[None]:
        """Borrows what is missing; fires when all was tried."""
        waits = []
        for want in missing:
            need = self._queued.get(want.customer)
            if need is None:
                need = self._queued[want.customer] = _Need(want)
            else:
                need.tokens += want.tokens
                need.awaited += want.awaited
            wait: defer.Deferred[None] = defer.Deferred()
            need.done.addCallback(_fire(wait))
            waits.append(wait)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._clock.call_later(0, self._flush)
        done: defer.Deferred[None] = defer.DeferredList(waits).addCallback(
            lambda _: None
        )
        return done

    def give_back(self, now_s: float) -> None:
        """Gives borrowed tokens back that grew too old unspent."""
        if now_s < self._next_give_back_s:
            return
        self._next_give_back_s = now_s + GIVE_BACK_S
        by_lender: dict[ids.NodeId, list[ttypes.QuotaReturn]] = {}
        for shard in self._leases.held_shards():
            shard_holder = self._leases.holder_of(shard)
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
        needs, self._queued = self._queued, {}
        self._ask(list(needs.values()))

    def _ask(self, needs: list[_Need]) -> None:
        """Asks one lender for each customer; repeated until all is tried."""
        now_s = self._clock.now_s()
        batches: dict[
            tuple[ids.FailureDomainName, ids.NodeId], list[_Need]
        ] = {}
        for need in needs:
            lender = self._lender(need, now_s) if need.tokens > 0 else None
            if lender is None:
                need.done.callback(None)
            else:
                batches.setdefault(lender, []).append(need)
        for (domain, node), batch in batches.items():
            wants = [
                ttypes.QuotaWant(
                    need.shard, need.customer, need.tokens, need.awaited
                )
                for need in batch
            ]
            asking = self._peers.request(
                ids.address_of(node),
                kinds.MessageKind.QUOTA_BORROW,
                ttypes.QuotaDrawRequest(wants),
                ttypes.QuotaDrawReply,
                BORROW_TIMEOUT_S,
            )
            asking.addCallback(self._answered, domain, node, batch, now_s)

    def _lender(
        self, need: _Need, now_s: float
    ) -> tuple[ids.FailureDomainName, ids.NodeId] | None:
        homes = self._leases.divisions.current.units(need.customer)
        domains = [
            domain
            for domain in homes
            if domain != self._leases.domain
            and self._dry_until_s.get((need.customer, domain), 0.0) <= now_s
        ]
        self._rng.shuffle(domains)
        for domain in domains:
            node = self._locator.find(domain, need.shard, now_s)
            if node is not None:
                return domain, node
            self._note_dry(need.customer, domain, now_s)
        return None

    def _answered(
        self,
        result: Result[ttypes.QuotaDrawReply, network.PeerError],
        domain: ids.FailureDomainName,
        node: ids.NodeId,
        batch: list[_Need],
        sent_s: float,
    ) -> None:
        now_s = self._clock.now_s()
        if result.is_error():
            self._locator.no_answer(node, now_s)
        else:
            for hint in result.ok.hints or ():
                shard = ids.ShardId(hint.shard)
                self._locator.not_holder(domain, shard, node)
            self._locator.take_hints(result.ok.hints)
            self._deposit(node, result.ok.grants, batch, sent_s)
        for need in batch:
            if need.tokens > 0:
                self._note_dry(need.customer, domain, now_s)
        self._ask(batch)

    def _deposit(
        self,
        lender: ids.NodeId,
        grants: list[ttypes.QuotaGrant],
        batch: list[_Need],
        sent_s: float,
    ) -> None:
        """Takes borrowed tokens; their age counts from the request."""
        for grant in grants:
            if not 0 <= grant.want < len(batch):
                continue
            need = batch[grant.want]
            need.tokens -= grant.tokens
            need.awaited = max(0, need.awaited - grant.tokens)
            shard_holder = self._leases.holder_of(need.shard)
            if shard_holder is not None:
                loan = holder.make_loan(lender, grant, sent_s)
                shard_holder.add_loan(need.customer, loan)

    def _note_dry(
        self,
        customer: ids.CustomerId,
        domain: ids.FailureDomainName,
        now_s: float,
    ) -> None:
        if len(self._dry_until_s) >= _MAX_DRY_ENTRIES:
            self._dry_until_s.clear()
        wait_s = LENDER_DRY_S * self._rng.uniform(0.5, 1.0)
        self._dry_until_s[customer, domain] = now_s + wait_s


def _fire(wait: defer.Deferred[None]) -> Callable[[None], None]:
    def fire(_: None) -> None:
        wait.callback(None)

    return fire
