"""A node's view of the hosts of its fleet.

It is built from the digests of the failure domains, and from the reports of the
hosts that report to this one.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator, Sequence
import math

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import digests
from cyclamendale.fleet import host_report
from cyclamendale.fleet import known_host
from cyclamendale.overload import placement
from cyclamendale.quotas import homes

MIN_REPORT_INTERVAL_S = 0.25
"""Report interval in a small fleet. It sets the delay with which pressure,
demand and a new configuration version reach other hosts."""

MAX_REPORT_INTERVAL_S = 0.4
"""Report interval in a large fleet."""

REPORT_INTERVAL_PER_HOST_S = 0.003
"""Report interval per known host, between these bounds."""

AGGREGATORS_PER_DOMAIN = 2
"""Hosts per failure domain that the others report to; tolerates the loss of
one."""

LISTED_AFTER_REPORTS = 1.6
"""Intervals since its last report for which an aggregator lists a host."""

SUSPECT_AFTER_REPORTS = 3.0
"""Missed reports after which a host of the own failure domain is suspect;
suspect hosts are tried last."""

REMOTE_SUSPECT_AFTER_REPORTS = 5.0
"""The same for hosts of other domains, whose digests come less often."""

MAX_DIGEST_GAP_REPORTS = 3.0
"""Intervals without a digest of a domain that do not count against its hosts;
one aggregator may have to be replaced by the other."""

CANDIDATE_EXPIRY_S = 5.0
"""Silence after which a host's upstream is no longer a candidate; longer than
the pauses of hosts that resume with their state intact."""

QUOTA_SHARE_EXPIRY_S = 60.0
"""Silence after which a host's share of the quotas is reclaimed; longer than
any partition that the design covers, so that no share is spent twice."""

HOST_EXPIRY_S = 600.0
"""Silence after which a host is removed and no longer sent reports."""


class _DomainState:
    """What is known of one failure domain.

    Attributes:
        digest: The digest that was received last, if any.
        received_s: Clock time at which it was received.
        sequences: Sequence of the last digest of each aggregator process.
    """

    def __init__(self) -> None:
        self.digest: digests.Digest | None = None
        self.received_s = -math.inf
        self.sequences: dict[int, int] = {}


class HostView:
    """All known hosts, and the state derived from reports and digests.

    Attributes:
        included_sequence: Sequence of the last own report that digests of the
            own domain include, if any.
        store_contact_s: Clock time at which an aggregator last had contact
            with the store, as far as known.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        own_address: ids.PeerAddress,
        own_domain: ids.FailureDomainName,
    ) -> None:
        self._clock = clock
        self._own_address = own_address
        self._own_domain = own_domain
        self._hosts: dict[ids.PeerAddress, known_host.KnownHost] = {}
        self._domains: dict[ids.FailureDomainName, _DomainState] = (
            collections.defaultdict(_DomainState)
        )
        self._are_candidates_stale = False
        self._candidates: dict[ids.ServiceName, list[placement.Candidate]] = {}
        self._are_sums_stale = False
        self._pressures: dict[ids.ServiceName, float] = {}
        self._refused_shares: dict[ids.ServiceName, float] = {}
        self._by_incarnation: dict[int, known_host.KnownHost] = {}
        self.included_sequence: int | None = None
        self.store_contact_s = clock.now_s()
        self.add_host(own_address, own_domain)

    def add_host(
        self,
        address: ids.PeerAddress,
        domain: ids.FailureDomainName,
        silent_s: float = 0.0,
    ) -> bool:
        """Adds a host that has not reported yet; False if already known."""
        if address in self._hosts:
            return False
        self._hosts[address] = known_host.KnownHost(
            address, domain, self._clock.now_s() - silent_s
        )
        return True

    def apply_report(self, report: host_report.HostReport) -> bool:
        """Applies a report; returns False if it is not newer than the last."""
        self.add_host(report.address, report.failure_domain)
        host = self._hosts[report.address]
        if not host.is_newer(report):
            return False
        previous, offered = host.report, host.offered_service()
        host.update(report, self._clock.now_s())
        self._by_incarnation[report.incarnation] = host
        if previous is not None and previous.incarnation != report.incarnation:
            self._by_incarnation.pop(previous.incarnation, None)
        if offered != host.offered_service():
            self._are_candidates_stale = True
        return True

    def record_contact(self, incarnation: int) -> None:
        """Records that a report came from the host itself."""
        host = self._by_incarnation.get(incarnation)
        if host is not None:
            host.last_report_s = host.last_heard_s = self._clock.now_s()
            host.candidate.is_suspect = False

    def last_report(self, incarnation: int) -> host_report.HostReport | None:
        """Returns the last report of a process, if any was received."""
        host = self._by_incarnation.get(incarnation)
        return host.report if host is not None else None

    def apply_digest(self, digest: digests.Digest) -> list[int] | None:
        """Applies a digest.

        Returns:
            Incarnations of the listed hosts whose profile is not known, or
            None if the digest is not newer than the aggregator's last one.
        """
        state = self._domains[digest.failure_domain]
        if digest.sequence <= state.sequences.get(digest.incarnation, 0):
            return None
        now_s = self._clock.now_s()
        state.sequences[digest.incarnation] = digest.sequence
        state.digest, state.received_s = digest, now_s
        self.store_contact_s = max(
            self.store_contact_s, now_s - digest.store_silent_ms / 1000.0
        )
        self._are_sums_stale = True
        if digest.aggregator == self._own_address:
            # It tells what this host knows already.
            self.included_sequence = self._hosts[self._own_address].sequence
            return []
        missing = []
        for entry in digests.unpack_entries(digest.entries):
            host = self._by_incarnation.get(entry.incarnation)
            if host is None or not host.has_profile(entry.profile):
                missing.append(entry.incarnation)
            elif host.address == self._own_address:
                self.included_sequence = host.sequence - (
                    (host.sequence - entry.sequence) % digests.SEQUENCES
                )
            else:
                offered = host.offered_service()
                host.update_entry(entry, now_s)
                if offered != host.offered_service():
                    self._are_candidates_stale = True
        return missing

    def refresh(self) -> None:
        """Updates suspicion and expiry; called once per report interval."""
        now_s = self._clock.now_s()
        interval_s = self.report_interval_s()
        aggregators = set(self.aggregators())
        for host in tuple(self._hosts.values()):
            if host.address == self._own_address:
                continue
            silent_s = now_s - host.last_heard_s
            if host.failure_domain == self._own_domain:
                max_missed_s = SUSPECT_AFTER_REPORTS * interval_s
            else:
                max_missed_s = REMOTE_SUSPECT_AFTER_REPORTS * interval_s
            if host.address not in aggregators:
                # While no digest comes, nothing is known of the others.
                gap_s = now_s - self._domains[host.failure_domain].received_s
                max_gap_s = MAX_DIGEST_GAP_REPORTS * interval_s
                if gap_s < math.inf:
                    max_missed_s += min(gap_s, max_gap_s)
            host.candidate.is_suspect = silent_s > max_missed_s
            if silent_s > HOST_EXPIRY_S:
                del self._hosts[host.address]
                if host.report is not None:
                    self._by_incarnation.pop(host.report.incarnation, None)
        self._are_candidates_stale = self._are_sums_stale = True

    def report_interval_s(self) -> float:
        """Returns the interval between reports for the current fleet size."""
        return min(
            MAX_REPORT_INTERVAL_S,
            max(
                MIN_REPORT_INTERVAL_S,
                len(self._hosts) * REPORT_INTERVAL_PER_HOST_S,
            ),
        )

    def others(self) -> Iterator[known_host.KnownHost]:
        """Yields all hosts except the own one."""
        for address, host in self._hosts.items():
            if address != self._own_address:
                yield host

    def others_in_domain(self) -> Iterator[known_host.KnownHost]:
        """Yields the other hosts of the own failure domain."""
        for host in self.others():
            if host.failure_domain == self._own_domain:
                yield host

    def other_domains(self) -> Iterator[list[known_host.KnownHost]]:
        """Yields the hosts of each other failure domain, sorted by address.

        Hosts that are leaving or have never reported are excluded.
        """
        domains: dict[ids.FailureDomainName, list[known_host.KnownHost]] = (
            collections.defaultdict(list)
        )
        for host in self.others():
            if host.failure_domain != self._own_domain and (
                host.report is not None and not host.is_leaving
            ):
                domains[host.failure_domain].append(host)
        for found in domains.values():
            yield sorted(found, key=lambda host: host.address)

    def is_in_own_domain(self, domain: ids.FailureDomainName) -> bool:
        """Returns whether a failure domain is the own one."""
        return domain == self._own_domain

    def live_in_domain(self) -> list[ids.PeerAddress]:
        """Returns the other live hosts of the own domain, sorted."""
        return sorted(host.address for host in self._live_others_in_domain())

    def aggregators(self) -> list[ids.PeerAddress]:
        """Returns the other hosts that this one reports to."""
        return self.live_in_domain()[:AGGREGATORS_PER_DOMAIN]

    def reporting_hosts(self) -> Iterator[known_host.KnownHost]:
        """Yields the hosts of the own domain that report here, and the own."""
        oldest_s = self._clock.now_s() - (
            LISTED_AFTER_REPORTS * self.report_interval_s()
        )
        for host in self._hosts.values():
            if host.failure_domain == self._own_domain and (
                host.address == self._own_address
                or host.last_report_s >= oldest_s
            ):
                yield host

    def received_digests(self) -> Iterator[digests.Digest]:
        """Yields the last digest of each domain, unless it is outdated."""
        oldest_s = self._clock.now_s() - CANDIDATE_EXPIRY_S
        for state in self._domains.values():
            if state.digest is not None and state.received_s >= oldest_s:
                yield state.digest

    def candidates(
        self, service: ids.ServiceName
    ) -> Sequence[placement.Candidate]:
        """Returns the upstreams of a service that accept new requests."""
        self._update_candidates()
        return self._candidates.get(service, ())

    def find(self, address: ids.PeerAddress) -> known_host.KnownHost | None:
        """Returns a host, or None if it is unknown."""
        return self._hosts.get(address)

    def pressure(self, service: ids.ServiceName) -> float:
        """Returns the mean pressure over the slots of a service.

        An upstream that takes little weighs little: work that it turns away
        may find room at the others.
        """
        self._update_sums()
        return self._pressures.get(service, 0.0)

    def refused_share(self, service: ids.ServiceName) -> float:
        """Returns the lowest refused share among a service's upstreams."""
        self._update_sums()
        return self._refused_shares.get(service, 0.0)

    def live_others(self) -> set[ids.PeerAddress]:
        """Returns the other hosts that are not suspect."""
        return {
            host.address
            for host in self.others()
            if not host.candidate.is_suspect
        }

    def quota_hosts(self) -> homes.DomainView:
        """Returns the hosts by failure domain that quotas are kept on."""
        now_s = self._clock.now_s()
        live: dict[ids.FailureDomainName, list[ids.PeerAddress]] = (
            collections.defaultdict(list)
        )
        known: collections.Counter[ids.FailureDomainName] = (
            collections.Counter()
        )
        for host in self._hosts.values():
            domain = host.failure_domain
            is_own = host.address == self._own_address
            if now_s - host.last_heard_s > QUOTA_SHARE_EXPIRY_S and not is_own:
                continue
            if host.is_leaving:
                continue
            known[domain] += 1
            if is_own or (
                host.report is not None and not host.candidate.is_suspect
            ):
                live[domain].append(host.address)
        return {
            domain: homes.DomainHosts(tuple(sorted(live[domain])), count)
            for domain, count in known.items()
        }

    def rank_in_domain(self) -> int:
        """Returns how many live hosts of the own domain precede this one."""
        live = self._live_others_in_domain()
        return sum(host.address < self._own_address for host in live)

    def _live_others_in_domain(self) -> Iterator[known_host.KnownHost]:
        for host in self.others_in_domain():
            if host.report is not None and not (
                host.candidate.is_suspect or host.is_leaving
            ):
                yield host

    def _update_candidates(self) -> None:
        """Lists the candidates anew if doors changed; many may at once."""
        if not self._are_candidates_stale:
            return
        self._are_candidates_stale = False
        now_s = self._clock.now_s()
        candidates: dict[ids.ServiceName, list[placement.Candidate]] = (
            collections.defaultdict(list)
        )
        for host in self._hosts.values():
            offered = host.offered_service()
            if offered is not None and (
                host.address == self._own_address
                or now_s - host.last_heard_s <= CANDIDATE_EXPIRY_S
            ):
                candidates[offered[0]].append(host.candidate)
        self._candidates = candidates

    def _update_sums(self) -> None:
        """Combines the sums of all domains if any has changed."""
        if not self._are_sums_stale:
            return
        self._are_sums_stale = False
        slots: collections.Counter[ids.ServiceName] = collections.Counter()
        pressures: dict[ids.ServiceName, float] = {}
        refused_shares: dict[ids.ServiceName, float] = {}
        for digest in self.received_digests():
            for sums in digest.services:
                if not sums.open_count:
                    continue
                name, refused_share = sums.service, sums.refused_share
                # Earlier builds do not tell the slots.
                weight = sums.slots or sums.open_count
                slots[name] += weight
                pressures[name] = (
                    pressures.get(name, 0.0) + weight * sums.pressure
                )
                refused_shares[name] = min(
                    refused_shares.get(name, 1.0), refused_share
                )
        self._pressures = {
            name: total / slots[name] for name, total in pressures.items()
        }
        self._refused_shares = refused_shares
