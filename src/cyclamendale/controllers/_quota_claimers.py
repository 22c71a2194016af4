"""Selects the nodes that watch, and may claim, each quota shard lease."""

from __future__ import annotations

from cyclamendale import ids
from cyclamendale.membership import directory
from cyclamendale.quotas import shard_row
from cyclamendale.quotas import shares

CLAIMERS_PER_SHARD = 2
"""Number of nodes of a failure domain that watch each of its shards."""

_ELIGIBLE_STATES = (directory.MemberState.ALIVE, directory.MemberState.SUSPECT)


class Claimers:
    """Ranks claimers by rendezvous hashing over the members' addresses."""

    def __init__(
        self, own: directory.Member, members: directory.Directory
    ) -> None:
        self._domain = own.failure_domain
        self._address = own.address
        self._members = members
        self._ranks: dict[ids.ShardId, int | None] = {}
        self._eligible: dict[ids.PeerAddress, bool] = {}

    def list_members(self, shard: ids.ShardId) -> list[directory.Member]:
        """Returns the claimers of a shard, in order of rank."""
        own = self._members.own()
        members = {
            member.address: member
            for member in (*self._members.members(), own)
            if member.failure_domain == self._domain
            and (not member.leaving or member.address == own.address)
        }
        key = shard_row.lease_key(self._domain, shard)
        ranked = sorted(
            members.values(),
            key=lambda member: shares.rendezvous_score(key, member.address),
            reverse=True,
        )
        return ranked[:CLAIMERS_PER_SHARD]

    def get_rank(self, shard: ids.ShardId) -> int | None:
        """Returns this node's rank for a shard; None if it is no claimer."""
        if shard not in self._ranks:
            addresses = [member.address for member in self.list_members(shard)]
            self._ranks[shard] = (
                addresses.index(self._address)
                if self._address in addresses
                else None
            )
        return self._ranks[shard]

    def update_member(self, member: directory.Member) -> None:
        """Clears the cached ranks when the set of eligible members changes."""
        if member.failure_domain != self._domain:
            return
        is_eligible = not member.leaving and member.state in _ELIGIBLE_STATES
        if self._eligible.get(member.address) != is_eligible:
            self._eligible[member.address] = is_eligible
            self._ranks.clear()
