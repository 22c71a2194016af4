"""Map of the known holders of quota shards."""

from __future__ import annotations

from cyclamendale import ids
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import shard_row

AVOIDANCE_S = 1.0
"""Time during which a holder that did not answer is skipped."""


class HolderMap:
    """Holders by failure domain and shard; the highest epoch wins."""

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
        """Records a holder unless one of a higher epoch is known."""
        entry = self._holders.get((domain, shard))
        if entry is None or epoch >= entry[0]:
            self._holders[domain, shard] = (epoch, holder)

    def find(
        self,
        domain: ids.FailureDomainName,
        shard: ids.ShardId,
        now_s: float,
    ) -> ids.NodeId | None:
        """Returns the holder, or None if it is unknown or skipped."""
        entry = self._holders.get((domain, shard))
        if entry is None or entry[1] == shard_row.NO_HOLDER:
            return None
        if now_s < self._avoid_until_s.get(entry[1], 0.0):
            return None
        return entry[1]

    def avoid(self, holder: ids.NodeId, now_s: float) -> None:
        """Skips a holder that did not answer, for `AVOIDANCE_S`."""
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
        """Removes the entry of a shard if it names this node."""
        entry = self._holders.get((domain, shard))
        if entry is not None and entry[1] == node:
            del self._holders[domain, shard]

    def get_hint(
        self, domain: ids.FailureDomainName, shard: ids.ShardId
    ) -> ttypes.QuotaHolderHint | None:
        """Returns the known holder as a hint for another node."""
        entry = self._holders.get((domain, shard))
        if entry is None:
            return None
        return ttypes.QuotaHolderHint(
            failure_domain=domain, shard=shard, epoch=entry[0], holder=entry[1]
        )

    def apply_hint(self, hint: ttypes.QuotaHolderHint) -> None:
        """Records a holder from another node's hint."""
        self.learn(
            ids.FailureDomainName(hint.failure_domain),
            ids.ShardId(hint.shard),
            ids.Epoch(hint.epoch),
            ids.NodeId(hint.holder),
        )
