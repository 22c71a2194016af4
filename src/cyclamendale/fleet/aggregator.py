"""Aggregates the reports of a failure domain and exchanges digests with others.

The two live hosts with the lowest addresses of a domain are its aggregators.
The others report to both. Each aggregator makes digests of its domain, sends
them to the aggregator of the same rank in every other domain, and sends its own
domain what it made and received. This gives two paths between any two domains.
The second aggregator does all this less often, and replaces the first one when
that falls silent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
import itertools
import math
import random as random_module
from typing import TypeAlias

from cyclamendale import ids
from cyclamendale.fleet import bulletin_codec
from cyclamendale.fleet import digest_builder
from cyclamendale.fleet import digests
from cyclamendale.fleet import host_report
from cyclamendale.fleet import hosts

INTERVALS_BETWEEN_DIGESTS = (1, 2)
"""Intervals between the digests of an aggregator for its own domain, by rank.
The second one need not be missed when it replaces the first."""

INTERVALS_BETWEEN_REMOTE_DIGESTS = (2, 4)
"""The same for other domains, where bytes are dear."""

MAX_DIRECT_RECEIVERS = 8
"""Receivers of a bulletin to which it is sent directly. More of them are split
into groups, of which one host passes it on to the others."""

MAX_REQUESTED_PROFILES = 1000
"""Profiles that one request may ask for."""

Datagram: TypeAlias = tuple[ids.PeerAddress, bytes]
"""Receiver and content of a datagram."""


class Aggregator:
    """Aggregates on behalf of one node, while its rank says so."""

    def __init__(
        self,
        random: random_module.Random,
        view: hosts.HostView,
        own_address: ids.PeerAddress,
        own_domain: ids.FailureDomainName,
        builder: digest_builder.DigestBuilder,
        on_own_digest: Callable[[digests.Digest], None],
    ) -> None:
        self._random = random
        self._view = view
        self._own_address = own_address
        self._own_domain = own_domain
        self._builder = builder
        self._on_own_digest = on_own_digest
        self._intervals = itertools.count()
        self._rotations = itertools.count()
        self._told_profiles: dict[int, int] = {}
        self._profiles_for_others: list[bytes] = []
        self._profiles_for_members: list[bytes] = []
        self._remote_digests: dict[ids.FailureDomainName, digests.Digest] = {}

    def collect(self, report: host_report.HostReport) -> None:
        """Takes a report that came from a host of the own domain itself."""
        if report.failure_domain != self._own_domain:
            return
        self._builder.record(report)
        if self._told_profiles.get(report.incarnation) != report.profile:
            self._told_profiles[report.incarnation] = report.profile
            profile = bulletin_codec.encode_profile(report)
            self._profiles_for_others.append(profile)
            self._profiles_for_members.append(profile)

    def outgoing(self) -> Iterator[Datagram]:
        """Yields what to send in this interval; called once per interval."""
        interval = next(self._intervals)
        rank = self._view.rank_in_domain()
        if rank >= hosts.AGGREGATORS_PER_DOMAIN:
            self._profiles_for_others.clear()
            self._profiles_for_members.clear()
            self._remote_digests.clear()
            self._builder.pause()
            return
        if interval % INTERVALS_BETWEEN_DIGESTS[rank]:
            return
        digest = self._builder.build()
        self._view.apply_digest(digest)
        self._on_own_digest(digest)
        if interval % INTERVALS_BETWEEN_REMOTE_DIGESTS[rank] == 0:
            profiles, self._profiles_for_others = self._profiles_for_others, []
            yield from self._to_other_domains(rank, digest, profiles)
        known, self._remote_digests = self._remote_digests, {}
        profiles, self._profiles_for_members = self._profiles_for_members, []
        yield from self._to_own_domain((digest, *known.values()), profiles)

    def handle_remote(
        self, bulletin: bulletin_codec.Bulletin, newer: Iterable[digests.Digest]
    ) -> Iterator[Datagram]:
        """Yields what to send on of a bulletin from another domain.

        Args:
            bulletin: The bulletin.
            newer: Those of its digests that were not known here.
        """
        if bulletin.profiles:
            # A door may have changed, which does not wait for an interval.
            yield from self._to_own_domain((), bulletin.profiles)
        if self._view.rank_in_domain() < hosts.AGGREGATORS_PER_DOMAIN:
            for digest in newer:
                self._remote_digests[digest.failure_domain] = digest
        elif bulletin.digests:
            # After a partition, other domains may know no aggregator here.
            data = bulletin_codec.encode(bulletin_codec.encode_body(bulletin))
            for address in self._view.aggregators():
                yield address, data

    def urgent(self, report: host_report.HostReport) -> Iterator[Datagram]:
        """Yields bulletins of one report for the aggregators elsewhere."""
        data = self._encode((), (bulletin_codec.encode_profile(report),))
        for ranked in self._view.other_domains():
            for address in _live_addresses(ranked)[
                : hosts.AGGREGATORS_PER_DOMAIN
            ] or [ranked[0].address]:
                yield address, data

    def answer(
        self, request: bulletin_codec.ProfileRequest
    ) -> Iterator[Datagram]:
        """Yields the profiles that a host asks for."""
        known = [
            bulletin_codec.encode_profile(report)
            for incarnation in request.incarnations[:MAX_REQUESTED_PROFILES]
            if (report := self._view.last_report(incarnation)) is not None
        ]
        for batch in bulletin_codec.profile_batches(known):
            yield request.sender, self._encode((), batch)

    def _to_other_domains(
        self, rank: int, digest: digests.Digest, profiles: list[bytes]
    ) -> Iterator[Datagram]:
        datagrams = self._encode_batches((digest,), profiles)
        for address in self._remote_aggregators(rank):
            for data in datagrams:
                yield address, bulletin_codec.encode(data)

    def _to_own_domain(
        self,
        known: tuple[digests.Digest, ...],
        profiles: Iterable[bytes],
    ) -> Iterator[Datagram]:
        bodies = self._encode_batches(known, list(profiles))
        for head, group in self._groups():
            for body in bodies:
                yield head, bulletin_codec.encode(body, group)

    def _groups(
        self,
    ) -> Iterator[tuple[ids.PeerAddress, list[ids.PeerAddress]]]:
        """Yields the hosts to send to, each with those it passes on to.

        Other hosts pass on each time, so that one which fails to keeps news
        from the others only once in a while.
        """
        live = self._view.live_in_domain()
        others = {host.address for host in self._view.others_in_domain()}
        for address in others.difference(live):
            yield address, []
        if len(live) <= MAX_DIRECT_RECEIVERS:
            for address in live:
                yield address, []
            return
        start = next(self._rotations) % len(live)
        rotated = live[start:] + live[:start]
        size = math.ceil(math.sqrt(len(live)))
        for first in range(0, len(rotated), size):
            head, *group = rotated[first : first + size]
            yield head, group

    def _remote_aggregators(self, rank: int) -> Iterator[ids.PeerAddress]:
        is_only_one = not self._view.live_in_domain()
        for ranked in self._view.other_domains():
            live = _live_addresses(ranked)
            if is_only_one:
                # The only aggregator sends on both paths.
                chosen = live[: hosts.AGGREGATORS_PER_DOMAIN]
            else:
                chosen = live[rank : rank + 1] or live[-1:]
            # After a partition, any host of the domain can restore contact.
            yield from chosen or [self._random.choice(ranked).address]

    def _encode(
        self, known: tuple[digests.Digest, ...], profiles: tuple[bytes, ...]
    ) -> bytes:
        return bulletin_codec.encode(self._encode_body(known, profiles))

    def _encode_body(
        self, known: tuple[digests.Digest, ...], profiles: tuple[bytes, ...]
    ) -> bytes:
        return bulletin_codec.encode_body(
            bulletin_codec.Bulletin(
                self._own_address, self._own_domain, known, profiles
            )
        )

    def _encode_batches(
        self, known: tuple[digests.Digest, ...], profiles: list[bytes]
    ) -> list[bytes]:
        """Returns bulletins that fit into a datagram each.

        Profiles come first, so that receivers know the hosts of the digests.
        """
        bulletins = [
            self._encode_body((), batch)
            for batch in bulletin_codec.profile_batches(profiles)
        ]
        return bulletins + [
            self._encode_body(batch, ())
            for batch in bulletin_codec.digest_batches(known)
        ]


def _live_addresses(
    ranked: Iterable[hosts.known_host.KnownHost],
) -> list[ids.PeerAddress]:
    return [host.address for host in ranked if not host.candidate.is_suspect]
