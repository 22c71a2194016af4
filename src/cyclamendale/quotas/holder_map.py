"""What a node knows of who holds which quota shard."""

from __future__ import annotations

from cyclamendale import ids
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import shard_row

AVOIDANCE_S = 1.0
"""How long a holder that did not answer is passed over."""


class HolderMap:
    """Holders by failure domain and shard; the newest epoch wins."""

    def __init__(self) -> None:
        self._holders: dict[
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
        entry = self._holders.get((domain, shard))
        if entry is None or epoch >= entry[0]:
            self._holders[domain, shard] = (epoch, holder)

    def find(
        self,
        domain: ids.FailureDomainName,
        shard: ids.ShardId,
        now_s: float,
    ) -> ids.NodeId | None:
        """Returns the holder, unless it is unknown or passed over."""
        entry = self._holders.get((domain, shard))
        if entry is None or entry[1] == shard_row.NO_HOLDER:
            return None
        if now_s < self._avoid_until_s.get(entry[1], 0.0):
            return None
        return entry[1]

    def avoid(self, holder: ids.NodeId, now_s: float) -> None:
        """Passes a holder over for a while, since it did not answer."""
        for node, until_s in list(self._avoid_until_s.items()):
            if until_s <= now_s:
                del self._avoid_until_s[node]
        self._avoid_until_s[holder] = now_s + AVOIDANCE_S

    def forget(
        self,
        domain: ids.FailureDomainName,
        shard: ids.ShardId,
        node: ids.NodeId,
    ) -> None:
        """Forgets that a node holds a shard."""
        entry = self._holders.get((domain, shard))
        if entry is not None and entry[1] == node:
            del self._holders[domain, shard]

    def get_hint(
        self, domain: ids.FailureDomainName, shard: ids.ShardId
    ) -> ttypes.QuotaHolderHint | None:
        """Returns what is known, for another node."""
        entry = self._holders.get((domain, shard))
        if entry is None:
            return None
        return ttypes.QuotaHolderHint(
            failure_domain=domain, shard=shard, epoch=entry[0], holder=entry[1]
        )

    def apply_hint(self, hint: ttypes.QuotaHolderHint) -> None:
        """Learns from another node."""
        self.learn(
            ids.FailureDomainName(hint.failure_domain),
            ids.ShardId(hint.shard),
            ids.Epoch(hint.epoch),
            ids.NodeId(hint.holder),
        )
