"""Serves draws, loans and returns of tokens of the held quota shards."""

from __future__ import annotations

from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.controllers import _quota_borrowing
from cyclamendale.controllers import base
from cyclamendale.controllers import quota_leases
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import holder_map

_RELEASE_TIMEOUT_S = 0.5


class QuotaHolderService(base.Controller):
    """Answers quota requests for the shards that this node holds."""

    def __init__(
        self,
        clock: clocks.Clock,
        node: ids.NodeId,
        peers: network.PeerNetwork,
        leases: quota_leases.QuotaLeases,
        holders: holder_map.HolderMap,
        borrower: _quota_borrowing.Borrower,
    ) -> None:
        self._clock = clock
        self._node = node
        self._peers = peers
        self._leases = leases
        self._holder_map = holders
        self._borrower = borrower

    def start(self) -> None:
        """See base class."""
        self._peers.serve(
            kinds.MessageKind.QUOTA_DRAW, ttypes.QuotaDrawRequest, self.draw
        )
        self._peers.serve(
            kinds.MessageKind.QUOTA_BORROW, ttypes.QuotaDrawRequest, self.lend
        )
        self._peers.serve(
            kinds.MessageKind.QUOTA_RETURN,
            ttypes.QuotaReturnRequest,
            self.accept_returns,
        )
        self._peers.serve(
            kinds.MessageKind.QUOTA_RELEASE,
            ttypes.QuotaReleaseRequest,
            self._handle_release,
        )
        self._leases.start()

    def stop(self) -> defer.Deferred[None]:
        """Releases the leases and notifies the nodes that may claim them."""
        held = self._leases.held_shards()
        stopped = self._leases.stop()
        stopped.addCallback(lambda _: self._announce_release(held))
        return stopped

    def held_shards(self) -> list[ids.ShardId]:
        """Returns the shards whose lease this node holds."""
        return self._leases.held_shards()

    def draw(
        self, request: ttypes.QuotaDrawRequest
    ) -> ttypes.QuotaDrawReply | defer.Deferred[ttypes.QuotaDrawReply]:
        """Grants tokens to a node; borrows if there are too few."""
        now_s = self._clock.now_s()
        self._credit_returns(request.returns, now_s)
        reply = ttypes.QuotaDrawReply(grants=[])
        missing: dict[int, ttypes.QuotaWant] = {}
        for index, want in enumerate(request.wants):
            shortfall = self._grant(index, want, reply, now_s)
            if shortfall > 0 and self._borrower.has_possible_lender(
                want.customer, now_s
            ):
                awaited = max(
                    0, _count_awaited(want) - (want.tokens - shortfall)
                )
                missing[index] = ttypes.QuotaWant(
                    want.shard, want.customer, shortfall, awaited
                )
        if not missing:
            return reply
        borrowed = self._borrower.borrow(list(missing.values()))
        borrowed.addCallback(self._draw_after_borrowing, missing, reply)
        return borrowed

    def lend(self, request: ttypes.QuotaDrawRequest) -> ttypes.QuotaDrawReply:
        """Grants tokens to a node of another failure domain.

        They are deducted from the own bucket before the reply is sent.
        """
        now_s = self._clock.now_s()
        self._credit_returns(request.returns, now_s)
        reply = ttypes.QuotaDrawReply(grants=[])
        for index, want in enumerate(request.wants):
            self._grant(index, want, reply, now_s, is_loan=True)
        return reply

    def accept_returns(
        self, request: ttypes.QuotaReturnRequest
    ) -> ttypes.QuotaReturnReply:
        """Credits tokens that were returned unspent."""
        credited = self._credit_returns(request.returns, self._clock.now_s())
        return ttypes.QuotaReturnReply(credited=int(credited))

    def _grant(
        self,
        index: int,
        want: ttypes.QuotaWant,
        reply: ttypes.QuotaDrawReply,
        now_s: float,
        is_loan: bool = False,
    ) -> int:
        """Adds grants to the reply; returns the number of missing tokens."""
        shard = ids.ShardId(want.shard)
        shard_holder = self._leases.get_holder(shard)
        if shard_holder is None:
            self._add_hint(reply, shard)
            return 0
        if want.tokens <= 0:
            self._add_hint(reply, shard)
        customer = ids.CustomerId(want.customer)
        if is_loan:
            grants = shard_holder.lend(
                customer, want.tokens, _count_awaited(want), now_s
            )
        else:
            grants = shard_holder.draw(customer, want.tokens, now_s)
        for grant in grants:
            grant.want = index
        reply.grants.extend(grants)
        return want.tokens - sum(grant.tokens for grant in grants)

    def _draw_after_borrowing(
        self,
        _: None,
        missing: dict[int, ttypes.QuotaWant],
        reply: ttypes.QuotaDrawReply,
    ) -> ttypes.QuotaDrawReply:
        now_s = self._clock.now_s()
        for index, want in missing.items():
            self._grant(index, want, reply, now_s)
        return reply

    def _credit_returns(
        self, returns: list[ttypes.QuotaReturn], now_s: float
    ) -> float:
        credited = 0.0
        for entry in returns or ():
            shard_holder = self._leases.get_holder(ids.ShardId(entry.shard))
            if shard_holder is not None and shard_holder.epoch == entry.epoch:
                credited += shard_holder.credit_return(
                    entry.grant_id, entry.tokens, now_s
                )
        self._borrower.return_unused_loans(now_s)
        return credited

    def _add_hint(
        self, reply: ttypes.QuotaDrawReply, shard: ids.ShardId
    ) -> None:
        reply.hints = [*(reply.hints or ()), self._make_hint(shard)]

    def _make_hint(self, shard: ids.ShardId) -> ttypes.QuotaHolderHint:
        hint = self._holder_map.get_hint(self._leases.domain, shard)
        return hint or ttypes.QuotaHolderHint(
            failure_domain=self._leases.domain, shard=shard, epoch=0, holder=""
        )

    def _handle_release(
        self, request: ttypes.QuotaReleaseRequest
    ) -> ttypes.QuotaReleaseReply:
        for hint in request.released:
            self._holder_map.apply_hint(hint)
            if hint.failure_domain == self._leases.domain:
                self._leases.request_claim(ids.ShardId(hint.shard))
        return ttypes.QuotaReleaseReply()

    def _announce_release(self, shards: list[ids.ShardId]) -> None:
        by_peer: dict[ids.PeerAddress, list[ttypes.QuotaHolderHint]] = {}
        for shard in shards:
            for member in self._leases.list_claimers(shard):
                if member.node != self._node:
                    hints = by_peer.setdefault(member.address, [])
                    hints.append(self._make_hint(shard))
        for address, hints in by_peer.items():
            self._peers.request(
                address,
                kinds.MessageKind.QUOTA_RELEASE,
                ttypes.QuotaReleaseRequest(released=hints),
                ttypes.QuotaReleaseReply,
                _RELEASE_TIMEOUT_S,
            )


def _count_awaited(want: ttypes.QuotaWant) -> int:
    """Returns how many of the wanted tokens have requests waiting."""
    if want.awaited is None:
        return want.tokens
    return min(want.awaited, want.tokens)
