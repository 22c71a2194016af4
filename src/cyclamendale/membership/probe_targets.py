"""Selection of probe targets and of helpers for indirect probes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import random

from cyclamendale import ids
from cyclamendale.membership import directory
from cyclamendale.membership import member_list

CROSS_DOMAIN_PROBE_INTERVAL = 5
"""Every n-th probe goes to a member of another failure domain."""
MAX_RANDOM_PICKS = 8
"""Maximum number of random picks per selected member.

Beyond it, a selection returns the members found so far. It is also the number
of members considered when a helper in a third failure domain is needed.
"""


class ProbeTargets:
    """Selects probe targets, mostly in the failure domain of this node.

    Members of this domain and those of other domains are probed in
    separate rounds. Each round visits all members once in random order,
    which bounds the time until a crashed member is probed.
    """

    def __init__(
        self, members: member_list.MemberList, rng: random.Random
    ) -> None:
        self._members = members
        self._rng = rng
        self._own_domain_ring: list[ids.PeerAddress] = []
        self._cross_domain_ring: list[ids.PeerAddress] = []
        self._dead_ring: list[ids.PeerAddress] = []
        self._probe_count = 0

    def next(self) -> ids.PeerAddress | None:
        """Returns the next member to probe, or None if there is none."""
        self._probe_count += 1
        is_cross_domain = self._probe_count % CROSS_DOMAIN_PROBE_INTERVAL == 0
        return self._next_live(is_cross_domain) or self._next_live(
            not is_cross_domain
        )

    def next_dead(self, count: int) -> list[ids.PeerAddress]:
        """Returns up to `count` dead members; successive calls cover all."""
        if not self._dead_ring:
            self._dead_ring = [
                record.member.address
                for record in self._members.records()
                if record.member.state is directory.MemberState.DEAD
            ]
            self._rng.shuffle(self._dead_ring)
        chosen, self._dead_ring = (
            self._dead_ring[:count],
            self._dead_ring[count:],
        )
        return chosen

    def sample(
        self, count: int, excluded: Iterable[ids.PeerAddress] = ()
    ) -> list[ids.PeerAddress]:
        """Returns up to `count` random live members, excluding this node."""
        live = self._members.live_addresses()
        excluded_addresses = {self._members.own().address, *excluded}
        if len(live) <= count + len(excluded_addresses):
            return [
                address for address in live if address not in excluded_addresses
            ][:count]
        chosen: list[ids.PeerAddress] = []
        for _ in range(MAX_RANDOM_PICKS * count):
            address = live[int(self._rng.random() * len(live))]
            if address not in excluded_addresses:
                excluded_addresses.add(address)
                chosen.append(address)
                if len(chosen) == count:
                    break
        return chosen

    def choose_helpers(
        self, target: ids.PeerAddress, count: int
    ) -> list[ids.PeerAddress]:
        """Returns helpers for an indirect probe of `target`.

        At least one helper is in a third failure domain if possible, so
        that a partition between two domains is not mistaken for a crash.
        """
        record = self._members.record(target)
        chosen = self.sample(count, (target,))
        if record is None:
            return chosen
        endpoint_domains = {
            self._members.own().failure_domain,
            record.member.failure_domain,
        }
        for address in self.sample(MAX_RANDOM_PICKS, (target, *chosen)):
            if any(
                self._failure_domain_of(helper) not in endpoint_domains
                for helper in chosen
            ):
                break
            if self._failure_domain_of(address) not in endpoint_domains:
                chosen[-1:] = [address]
        return chosen

    def _failure_domain_of(
        self, address: ids.PeerAddress
    ) -> ids.FailureDomainName | None:
        record = self._members.record(address)
        return record.member.failure_domain if record else None

    def _next_live(self, is_cross_domain: bool) -> ids.PeerAddress | None:
        ring = (
            self._cross_domain_ring
            if is_cross_domain
            else self._own_domain_ring
        )
        address = self._pop_live(ring)
        if address is None:
            ring.extend(self._candidates(is_cross_domain))
            self._rng.shuffle(ring)
            address = self._pop_live(ring)
        return address

    def _pop_live(self, ring: list[ids.PeerAddress]) -> ids.PeerAddress | None:
        while ring:
            record = self._members.record(ring.pop())
            if record is not None and member_list.is_live(record.member):
                return record.member.address
        return None

    def _candidates(self, is_cross_domain: bool) -> Iterator[ids.PeerAddress]:
        own = self._members.own()
        for member in self._members.members():
            is_other_domain = member.failure_domain != own.failure_domain
            if (
                is_other_domain == is_cross_domain
                and member.address != own.address
            ):
                yield member.address
