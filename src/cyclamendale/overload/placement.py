"""Load balancing: chooses the host whose upstream runs a request.

Upstreams of one service differ in speed, some are cold or slow or fail part
of their requests, and traffic to another failure domain is costly. The own
domain is preferred until its upstream is nearly full, too slow for the
remaining time, or fails more than its peers.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
import math
import random as random_module

from cyclamendale import ids

CROSS_DOMAIN_COST_THRESHOLD = 0.8
"""Cost above which upstreams of other domains are considered. Without
other faults, the cost is the share of slots in use. Of 0.3, 0.5 and 0.8, the
value 0.8 gives the least waiting and cross-domain traffic."""

CROSS_DOMAIN_COST = 0.12
"""Minimum cost advantage for choosing another domain."""

OWN_HOST_BONUS = 0.15
"""Minimum cost advantage of another upstream of the own domain over that
of the own host, which is reached without a hop between nodes."""

COLD_SLOWDOWN_FACTOR = 2.0
"""Assumed slowdown of a cold upstream."""

SUSPECT_COST = 4.0
"""Added cost of a host that has not reported recently."""

SLOW_TIME_SHARE = 0.4
"""Share of the remaining time that a request may take at an upstream without
added cost; half of the remaining time is kept for waiting and variance."""

SLOW_COST = 3.0
"""Cost per multiple of the remaining time beyond that share."""

FAILURE_COST = 2.5
"""Cost of failing all requests while the best upstream fails none.
Failures that all upstreams of a service share are caused further down the
call path."""

FAILURE_WEIGHT = 0.12
"""Weight of one outcome in the failure share; about eight outcomes count."""

FAILURE_HALF_LIFE_S = 2.0
"""Half-life of a failure share, so that an upstream that has recovered is
tried again."""

PROBE_SHARE = 0.03
"""Share of the requests that are placed by utilization alone, which detects
that a slow upstream has become fast again."""

MAX_COMPARED = 4
"""Maximum number of upstreams per domain that are compared per request."""

LEAST_FAILURE_MAX_AGE_S = 0.1
"""Age after which the least failure share of a service is determined anew."""


class Candidate:
    """One upstream, as observed by this node.

    Attributes:
        host: Peer address of its node.
        failure_domain: Its failure domain.
        upstream_id: Id of the upstream process.
        slots: Requests that it runs concurrently.
        service_time_s: Mean service time, as reported by its gate.
        in_flight: Own requests in flight to it.
        is_cold: Whether it started recently.
        is_suspect: Whether its host has been silent for too long.
        penalty_until_s: Clock time until which it is tried last, after a
            refusal.
    """

    __slots__ = (
        "_last_failure_share",
        "_last_outcome_s",
        "_in_flight_at_report",
        "_reported_at_gate",
        "failure_domain",
        "host",
        "in_flight",
        "is_cold",
        "is_suspect",
        "penalty_until_s",
        "service_time_s",
        "slots",
        "upstream_id",
    )

    def __init__(
        self, host: ids.PeerAddress, failure_domain: ids.FailureDomainName
    ) -> None:
        self.host = host
        self.failure_domain = failure_domain
        self.upstream_id = ""
        self.slots = 1
        self.service_time_s = 0.0
        self.is_cold = False
        self.is_suspect = False
        self.penalty_until_s = 0.0
        self.in_flight = 0
        self._reported_at_gate = 0
        self._in_flight_at_report = 0
        self._last_failure_share = 0.0
        self._last_outcome_s = 0.0

    def reset(self, upstream_id: str) -> None:
        """Discards the observations of an earlier process."""
        self.upstream_id = upstream_id
        self.penalty_until_s = 0.0
        self._last_failure_share = 0.0

    def record_report(self, at_gate: int) -> None:
        """Records the requests at its gate, own ones included."""
        self._reported_at_gate = at_gate
        self._in_flight_at_report = self.in_flight

    def record_end(self) -> None:
        """Records the end of an own request."""
        self.in_flight = max(0, self.in_flight - 1)

    def record_outcome(self, has_failed: bool, now_s: float) -> None:
        """Records the outcome of an own request."""
        share = self.failure_share(now_s)
        self._last_failure_share = share + FAILURE_WEIGHT * (has_failed - share)
        self._last_outcome_s = now_s

    def failure_share(self, now_s: float) -> float:
        """Returns the share of own requests that failed recently."""
        if self._last_failure_share < 0.01:
            return 0.0
        age_s = now_s - self._last_outcome_s
        return self._last_failure_share * math.pow(
            0.5, age_s / FAILURE_HALF_LIFE_S
        )

    def utilization(self, now_s: float) -> float:
        """Returns the share of slots in use, plus penalties."""
        sent_since_report = self.in_flight - self._in_flight_at_report
        utilization = (
            max(self.in_flight, self._reported_at_gate + sent_since_report)
            / self.slots
        )
        if self.is_cold:
            utilization = utilization * COLD_SLOWDOWN_FACTOR + 0.05
        if self.is_suspect or now_s < self.penalty_until_s:
            utilization += SUSPECT_COST
        return utilization

    def slowness_cost(self, limit_s: float) -> float:
        """Returns the cost of its service time for a time limit."""
        service_time_s = self.service_time_s
        if self.is_cold:
            service_time_s *= COLD_SLOWDOWN_FACTOR
        share = service_time_s / max(limit_s, 0.001)
        return max(0.0, share - SLOW_TIME_SHARE) * SLOW_COST


class _ServiceCandidates:
    """Candidates of one service, split by whether they are local.

    Attributes:
        source: The candidates.
        own: The candidate of the own host, if it is among them.
        local: The candidates of the own domain.
        remote: The other candidates.
    """

    def __init__(
        self,
        source: Sequence[Candidate],
        own: ids.PeerAddress,
        failure_domain: ids.FailureDomainName,
    ) -> None:
        self.source = source
        self.own: Candidate | None = None
        self.local: list[Candidate] = []
        self.remote: list[Candidate] = []
        self._least_failure_share = 0.0
        self._least_updated_s = -math.inf
        for candidate in source:
            if candidate.host == own:
                self.own = candidate
            if candidate.failure_domain == failure_domain:
                self.local.append(candidate)
            else:
                self.remote.append(candidate)

    def least_failure_share(self, now_s: float) -> float:
        """Returns the failure share of the best candidate, of lately."""
        if now_s - self._least_updated_s > LEAST_FAILURE_MAX_AGE_S:
            self._least_updated_s = now_s
            self._least_failure_share = min(
                (each.failure_share(now_s) for each in self.source), default=0.0
            )
        return self._least_failure_share


class Placement:
    """Chooses among the candidates of a service."""

    def __init__(
        self,
        random: random_module.Random,
        own: ids.PeerAddress,
        failure_domain: ids.FailureDomainName,
        candidates_of: Callable[[ids.ServiceName], Sequence[Candidate]],
    ) -> None:
        self._random = random
        self._own = own
        self._failure_domain = failure_domain
        self._candidates_of = candidates_of
        self._by_service: dict[ids.ServiceName, _ServiceCandidates] = {}

    def choose(
        self,
        service: ids.ServiceName,
        excluded: Collection[ids.PeerAddress],
        limit_s: float,
        now_s: float,
        allowed_hosts: Collection[ids.PeerAddress] | None = None,
    ) -> Candidate | None:
        """Returns the candidate for a request, or None if there is none.

        Args:
            service: Service that is to run it.
            excluded: Hosts that have been tried already.
            limit_s: Time within which it has to be answered.
            now_s: Clock time.
            allowed_hosts: Restricts the choice to these hosts, if given.
        """
        known = self._candidates(service)
        local, remote = known.local, known.remote
        if excluded or allowed_hosts is not None:
            local, remote = (
                [
                    each
                    for each in candidates
                    if _is_eligible(each.host, excluded, allowed_hosts)
                ]
                for candidates in (local, remote)
            )
        min_failure_share = known.least_failure_share(now_s)
        is_probe = self._random.random() < PROBE_SHARE

        def cost_of(candidate: Candidate) -> float:
            cost = candidate.utilization(now_s)
            if is_probe:
                return cost
            if candidate.host == self._own:
                cost -= OWN_HOST_BONUS
            excess = candidate.failure_share(now_s) - min_failure_share
            return (
                cost + candidate.slowness_cost(limit_s) + excess * FAILURE_COST
            )

        best, cost = self._cheapest(local, known.own, cost_of)
        if best is not None and cost < CROSS_DOMAIN_COST_THRESHOLD:
            return best
        other, other_cost = self._cheapest(remote, None, cost_of)
        if best is None or (
            other is not None and other_cost + CROSS_DOMAIN_COST < cost
        ):
            return other
        return best

    def _candidates(self, service: ids.ServiceName) -> _ServiceCandidates:
        """Returns the candidates, split anew only if they were replaced."""
        source = self._candidates_of(service)
        known = self._by_service.get(service)
        if known is None or known.source is not source:
            known = _ServiceCandidates(source, self._own, self._failure_domain)
            self._by_service[service] = known
        return known

    def _cheapest(
        self,
        candidates: list[Candidate],
        own: Candidate | None,
        cost_of: Callable[[Candidate], float],
    ) -> tuple[Candidate | None, float]:
        if len(candidates) > MAX_COMPARED:
            sampled = self._random.sample(candidates, MAX_COMPARED)
            if own is not None and own in candidates:
                sampled.append(own)
            candidates = sampled
        best, least = None, 0.0
        # A random start spreads requests among candidates of equal cost.
        count = len(candidates)
        start = int(self._random.random() * count) if count else 0
        for index in range(count):
            candidate = candidates[(start + index) % count]
            cost = cost_of(candidate)
            if best is None or cost < least:
                best, least = candidate, cost
        return best, least


def _is_eligible(
    host: ids.PeerAddress,
    excluded: Collection[ids.PeerAddress],
    allowed_hosts: Collection[ids.PeerAddress] | None,
) -> bool:
    return host not in excluded and (
        allowed_hosts is None or host in allowed_hosts
    )
