"""Looks up the holders of quota shards in the table or at other nodes."""

from __future__ import annotations

import random

from expression import Result

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.membership import directory
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import holder_map
from cyclamendale.quotas import shard_row
from cyclamendale.store import table

MIN_REFRESH_INTERVAL_S = 0.1
"""Initial wait between two look-ups of a failure domain's holders."""

MAX_REFRESH_INTERVAL_S = 4.0
"""Longest wait; it doubles while look-ups do not find the holder."""

_HINT_TIMEOUT_S = 0.2
_MAX_SHARDS = 4096


class HolderLocator:
    """Keeps the holder map up to date with a bounded rate of look-ups."""

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        node: ids.NodeId,
        members: directory.Directory,
        platform_table: table.Table,
        peers: network.PeerNetwork,
        holders: holder_map.HolderMap,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._node = node
        self._members = members
        self._table = platform_table
        self._peers = peers
        self._holder_map = holders
        self._next_refresh_s: dict[ids.FailureDomainName, float] = {}
        self._refresh_wait_s: dict[ids.FailureDomainName, float] = {}

    def find(
        self,
        domain: ids.FailureDomainName,
        shard: ids.ShardId,
        now_s: float,
    ) -> ids.NodeId | None:
        """Returns the holder if it is known; otherwise starts a look-up."""
        node = self._holder_map.find(domain, shard, now_s)
        if node is None:
            self._refresh(domain, shard, now_s)
        elif domain in self._refresh_wait_s:
            del self._refresh_wait_s[domain]
        return node

    def report_no_answer(self, node: ids.NodeId, now_s: float) -> None:
        """Passes over a holder for a while, because it did not answer."""
        self._holder_map.avoid(node, now_s)

    def report_not_holder(
        self,
        domain: ids.FailureDomainName,
        shard: ids.ShardId,
        node: ids.NodeId,
    ) -> None:
        """Forgets a holder that answered that it does not hold the shard."""
        self._holder_map.forget(domain, shard, node)

    def learn_hints(self, hints: list[ttypes.QuotaHolderHint] | None) -> None:
        """Adds the holders named in another node's reply."""
        for hint in hints or ():
            self._holder_map.apply_hint(hint)

    def _refresh(
        self,
        domain: ids.FailureDomainName,
        shard: ids.ShardId,
        now_s: float,
    ) -> None:
        if now_s < self._next_refresh_s.get(domain, 0.0):
            return
        wait_s = self._refresh_wait_s.get(domain, MIN_REFRESH_INTERVAL_S)
        self._refresh_wait_s[domain] = min(2 * wait_s, MAX_REFRESH_INTERVAL_S)
        self._next_refresh_s[domain] = now_s + wait_s * self._rng.uniform(
            0.5, 1.5
        )
        listing = self._table.list_rows(
            f"{shard_row.LEASE_PREFIX}{domain}/", _MAX_SHARDS
        )
        listing.addCallback(self._handle_rows, domain, shard)

    def _handle_rows(
        self,
        result: Result[list[table.Row], table.TableError],
        domain: ids.FailureDomainName,
        shard: ids.ShardId,
    ) -> None:
        if result.is_error():
            self._ask_member(domain, shard)
            return
        for row in result.ok:
            location = shard_row.parse_lease_key(row.key)
            decoded = shard_row.decode_row(row.value)
            if location is not None and decoded.is_ok():
                self._holder_map.learn(
                    *location, decoded.ok.epoch, decoded.ok.holder
                )

    def _ask_member(
        self, domain: ids.FailureDomainName, shard: ids.ShardId
    ) -> None:
        """Asks a random member of the failure domain who holds the shard.

        Used when the table cannot be read.
        """
        members = [
            member
            for member in self._members.members()
            if member.failure_domain == domain and member.node != self._node
        ]
        if not members:
            return
        answer = self._peers.request(
            self._rng.choice(members).address,
            kinds.MessageKind.QUOTA_DRAW,
            ttypes.QuotaDrawRequest([ttypes.QuotaWant(shard, "", 0, 0)]),
            ttypes.QuotaDrawReply,
            _HINT_TIMEOUT_S,
        )
        answer.addCallback(self._handle_hints)

    def _handle_hints(
        self, result: Result[ttypes.QuotaDrawReply, network.PeerError]
    ) -> None:
        if result.is_ok():
            self.learn_hints(result.ok.hints)
