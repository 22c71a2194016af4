"""Controller that serves draws, returns and loans of held quota shards."""

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


class QuotaHolders(base.Controller):
    """Answers other nodes for the shards that this node holds."""

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
        self._map = holders
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
            self.take_back,
        )
        self._peers.serve(
            kinds.MessageKind.QUOTA_RELEASE,
            ttypes.QuotaReleaseRequest,
            self._released,
        )
        self._leases.start()

    def stop(self) -> defer.Deferred[None]:
        """Gives the leases back and tells those who may claim them."""
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
        """Grants tokens to a node; borrows when there are too few."""
        now_s = self._clock.now_s()
        self._credit(request.returns, now_s)
        reply = ttypes.QuotaDrawReply(grants=[])
        missing: dict[int, ttypes.QuotaWant] = {}
        for index, want in enumerate(request.wants):
            short = self._grant(index, want, reply, now_s)
            if short > 0 and self._borrower.may_help(want.customer, now_s):
                awaited = max(0, _awaited(want) - (want.tokens - short))
                missing[index] = ttypes.QuotaWant(
                    want.shard, want.customer, short, awaited
                )
        if not missing:
            return reply
        borrowed = self._borrower.borrow(list(missing.values()))
        borrowed.addCallback(self._draw_borrowed, missing, reply)
        return borrowed

    def lend(self, request: ttypes.QuotaDrawRequest) -> ttypes.QuotaDrawReply:
        """Grants tokens to another failure domain; deducts them first."""
        now_s = self._clock.now_s()
        self._credit(request.returns, now_s)
        reply = ttypes.QuotaDrawReply(grants=[])
        for index, want in enumerate(request.wants):
            self._grant(index, want, reply, now_s, lending=True)
        return reply

    def take_back(
        self, request: ttypes.QuotaReturnRequest
    ) -> ttypes.QuotaReturnReply:
        """Credits unspent tokens."""
        credited = self._credit(request.returns, self._clock.now_s())
        return ttypes.QuotaReturnReply(credited=int(credited))

    def _grant(
        self,
        index: int,
        want: ttypes.QuotaWant,
        reply: ttypes.QuotaDrawReply,
        now_s: float,
        lending: bool = False,
    ) -> int:
        """Adds grants to the reply; returns how many tokens are missing."""
        shard = ids.ShardId(want.shard)
        shard_holder = self._leases.holder_of(shard)
        if shard_holder is None:
            self._add_hint(reply, shard)
            return 0
        if want.tokens <= 0:
            self._add_hint(reply, shard)
        customer = ids.CustomerId(want.customer)
        if lending:
            grants = shard_holder.lend(
                customer, want.tokens, _awaited(want), now_s
            )
        else:
            grants = shard_holder.draw(customer, want.tokens, now_s)
        for grant in grants:
            grant.want = index
        reply.grants.extend(grants)
        return want.tokens - sum(grant.tokens for grant in grants)

    def _draw_borrowed(
        self,
        _: None,
        missing: dict[int, ttypes.QuotaWant],
        reply: ttypes.QuotaDrawReply,
    ) -> ttypes.QuotaDrawReply:
        now_s = self._clock.now_s()
        for index, want in missing.items():
            self._grant(index, want, reply, now_s)
        return reply

    def _credit(self, returns: list[ttypes.QuotaReturn], now_s: float) -> float:
        credited = 0.0
        for entry in returns or ():
            shard_holder = self._leases.holder_of(ids.ShardId(entry.shard))
            if shard_holder is not None and shard_holder.epoch == entry.epoch:
                credited += shard_holder.credit_return(
                    entry.grant_id, entry.tokens, now_s
                )
        self._borrower.give_back(now_s)
        return credited

    def _add_hint(
        self, reply: ttypes.QuotaDrawReply, shard: ids.ShardId
    ) -> None:
        reply.hints = [*(reply.hints or ()), self._hint(shard)]

    def _hint(self, shard: ids.ShardId) -> ttypes.QuotaHolderHint:
        hint = self._map.get_hint(self._leases.domain, shard)
        return hint or ttypes.QuotaHolderHint(
            failure_domain=self._leases.domain, shard=shard, epoch=0, holder=""
        )

    def _released(
        self, request: ttypes.QuotaReleaseRequest
    ) -> ttypes.QuotaReleaseReply:
        for hint in request.released:
            self._map.apply_hint(hint)
            if hint.failure_domain == self._leases.domain:
                self._leases.claim_soon(ids.ShardId(hint.shard))
        return ttypes.QuotaReleaseReply()

    def _announce_release(self, shards: list[ids.ShardId]) -> None:
        by_peer: dict[ids.PeerAddress, list[ttypes.QuotaHolderHint]] = {}
        for shard in shards:
            for member in self._leases.claimers(shard):
                if member.node != self._node:
                    hints = by_peer.setdefault(member.address, [])
                    hints.append(self._hint(shard))
        for address, hints in by_peer.items():
            self._peers.request(
                address,
                kinds.MessageKind.QUOTA_RELEASE,
                ttypes.QuotaReleaseRequest(released=hints),
                ttypes.QuotaReleaseReply,
                _RELEASE_TIMEOUT_S,
            )


def _awaited(want: ttypes.QuotaWant) -> int:
    """Returns how many of the wanted tokens requests wait for."""
    if want.awaited is None:
        return want.tokens
    return min(want.awaited, want.tokens)
