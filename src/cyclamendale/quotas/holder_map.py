"""What a node knows of who holds which quota shard."""

from __future__ import annotations

from cyclamendale import ids
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import shard_row

AVOID_S = 1.0
"""How long a holder that did not answer is passed over."""


class HolderMap:
    """Holders by failure domain and shard; the newest epoch wins."""

    def __init__(self) -> None:
        self._known: dict[
            tuple[ids.FailureDomainName, ids.ShardId],
            tuple[ids.Epoch, ids.NodeId],
        ] = {}
        self._avoid_until_s: dict[ids.NodeId, float] = {}

    def learn(
        self,
        domain: ids.FailureDomainName,
        shard: ids.ShardId,
        epoch: ids.Epoch,
        holder: ids.NodeId,
    ) -> None:
        """Takes news of a holder, unless newer ones are known."""
        known = self._known.get((domain, shard))
        if known is None or epoch >= known[0]:
            self._known[domain, shard] = (epoch, holder)

    def find(
        self,
        domain: ids.FailureDomainName,
        shard: ids.ShardId,
        now_s: float,
    ) -> ids.NodeId | None:
        """Returns the holder, unless it is unknown or passed over."""
        known = self._known.get((domain, shard))
        if known is None or known[1] == shard_row.NO_HOLDER:
            return None
        if now_s < self._avoid_until_s.get(known[1], 0.0):
            return None
        return known[1]

    def avoid(self, holder: ids.NodeId, now_s: float) -> None:
        """Passes a holder over for a while, since it did not answer."""
        for node, until_s in list(self._avoid_until_s.items()):
            if until_s <= now_s:
                del self._avoid_until_s[node]
        self._avoid_until_s[holder] = now_s + AVOID_S

    def forget(
        self,
        domain: ids.FailureDomainName,
        shard: ids.ShardId,
        node: ids.NodeId,
    ) -> None:
        """Forgets that a node holds a shard."""
        known = self._known.get((domain, shard))
        if known is not None and known[1] == node:
            del self._known[domain, shard]

    def hint(
        self, domain: ids.FailureDomainName, shard: ids.ShardId
    ) -> ttypes.QuotaHolderHint | None:
        """Returns what is known, for another node."""
        known = self._known.get((domain, shard))
        if known is None:
            return None
        return ttypes.QuotaHolderHint(
            failure_domain=domain, shard=shard, epoch=known[0], holder=known[1]
        )

    def take_hint(self, hint: ttypes.QuotaHolderHint) -> None:
        """Learns from another node."""
        self.learn(
            ids.FailureDomainName(hint.failure_domain),
            ids.ShardId(hint.shard),
            ids.Epoch(hint.epoch),
            ids.NodeId(hint.holder),
        )
