"""Choice of the members that a node probes and asks for help."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import random

from cyclamendale import ids
from cyclamendale.membership import member_list

ACROSS_EVERY = 5
"""One probe in so many goes to another failure domain."""
MAX_TRIES = 8
"""Random picks after which a choice makes do with what it has."""


class ProbeTargets:
    """Goes round the own failure domain, and across now and then.

    Each round visits all members once in random order, which bounds the
    time until a crashed member is probed.
    """

    def __init__(
        self, members: member_list.Membership, rng: random.Random
    ) -> None:
        self._members = members
        self._rng = rng
        self._near: list[ids.PeerAddress] = []
        self._far: list[ids.PeerAddress] = []
        self._count = 0

    def next(self) -> ids.PeerAddress | None:
        """Returns the member to probe now, or None if there is none."""
        self._count += 1
        across = self._count % ACROSS_EVERY == 0
        return self._pop(across) or self._pop(not across)

    def sample(
        self, count: int, excluded: Iterable[ids.PeerAddress] = ()
    ) -> list[ids.PeerAddress]:
        """Returns up to `count` random live members, own node excluded."""
        live = self._members.live_addresses()
        rejected = {self._members.own().address, *excluded}
        if len(live) <= count + len(rejected):
            return [address for address in live if address not in rejected][
                :count
            ]
        chosen: list[ids.PeerAddress] = []
        for _ in range(MAX_TRIES * count):
            address = live[int(self._rng.random() * len(live))]
            if address not in rejected:
                rejected.add(address)
                chosen.append(address)
                if len(chosen) == count:
                    break
        return chosen

    def helpers(
        self, target: ids.PeerAddress, count: int
    ) -> list[ids.PeerAddress]:
        """Returns members to probe `target` through.

        One of them is taken from a third failure domain where possible,
        so that a cut between two domains does not look like a crash.
        """
        record = self._members.record(target)
        chosen = self.sample(count, (target,))
        if record is None:
            return chosen
        ends = {
            self._members.own().failure_domain,
            record.member.failure_domain,
        }
        for address in self.sample(MAX_TRIES, (target, *chosen)):
            if any(self._domain(helper) not in ends for helper in chosen):
                break
            if self._domain(address) not in ends:
                chosen[-1:] = [address]
        return chosen

    def _domain(self, address: ids.PeerAddress) -> ids.FailureDomainName | None:
        record = self._members.record(address)
        return record.member.failure_domain if record else None

    def _pop(self, across: bool) -> ids.PeerAddress | None:
        ring = self._far if across else self._near
        address = self._pop_live(ring)
        if address is None:
            ring.extend(self._round(across))
            self._rng.shuffle(ring)
            address = self._pop_live(ring)
        return address

    def _pop_live(self, ring: list[ids.PeerAddress]) -> ids.PeerAddress | None:
        while ring:
            record = self._members.record(ring.pop())
            if record is not None and member_list.is_live(record.member):
                return record.member.address
        return None

    def _round(self, across: bool) -> Iterator[ids.PeerAddress]:
        own = self._members.own()
        for member in self._members.members():
            is_far = member.failure_domain != own.failure_domain
            if is_far == across and member.address != own.address:
                yield member.address
