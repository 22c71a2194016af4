"""Which nodes of a failure domain watch each of its quota shards."""

from __future__ import annotations

from cyclamendale import ids
from cyclamendale.membership import directory
from cyclamendale.quotas import shard_row
from cyclamendale.quotas import shares

CLAIMERS = 2
"""Nodes of a failure domain that watch each of its shards."""

_MAY_CLAIM = (directory.MemberState.ALIVE, directory.MemberState.SUSPECT)


class Claimers:
    """Claimers by rendezvous hashing over the members' addresses."""

    def __init__(
        self, own: directory.Member, members: directory.Directory
    ) -> None:
        self._domain = own.failure_domain
        self._address = own.address
        self._members = members
        self._ranks: dict[ids.ShardId, int | None] = {}
        self._may_claim: dict[ids.PeerAddress, bool] = {}

    def of(self, shard: ids.ShardId) -> list[directory.Member]:
        """Returns the members that watch a shard, in order of rank."""
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
        return ranked[:CLAIMERS]

    def rank(self, shard: ids.ShardId) -> int | None:
        """Returns this node's rank for a shard; None for no claimer."""
        if shard not in self._ranks:
            addresses = [member.address for member in self.of(shard)]
            self._ranks[shard] = (
                addresses.index(self._address)
                if self._address in addresses
                else None
            )
        return self._ranks[shard]

    def member_changed(self, member: directory.Member) -> None:
        """Forgets the ranks if a member came or went that may claim."""
        if member.failure_domain != self._domain:
            return
        claims = not member.leaving and member.state in _MAY_CLAIM
        if self._may_claim.get(member.address) != claims:
            self._may_claim[member.address] = claims
            self._ranks.clear()
