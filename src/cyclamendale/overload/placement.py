"""Choice of the host whose upstream runs a request.

The load it answers: upstreams of one service differ in speed, some are
cold, and bytes to another failure domain cost. The own domain goes first
until it is nearly full; then the least full upstream anywhere.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
import random as random_module

from cyclamendale import ids

LEAVE_DOMAIN_AT = 0.8
"""Part of an upstream's slots in use from which others are considered;
a trial of 0.3, 0.5 and 0.8 gave the least waiting and crossing at 0.8."""

CROSSING_COST = 0.12
"""Part of the slots by which another domain must be less full."""

COLD_FACTOR = 2.0
"""How much slower a cold upstream is taken to be."""

SUSPECT_COST = 4.0
"""Added fill of a host that was not heard of lately."""

COMPARED = 4
"""Upstreams of one domain that are compared for one request."""


class Candidate:
    """One upstream as this node sees it.

    Attributes:
        host: Where its node listens for others.
        failure_domain: Its failure domain.
        slots: Requests that it runs at once.
        in_flight: Own requests that it has at present.
        is_cold: Whether it started a short time ago.
        is_suspect: Whether it was silent for longer than expected.
        penalty_until_s: Clock time until which it is tried last, after
            failures or a refusal.
    """

    __slots__ = (
        "failure_domain",
        "failures",
        "host",
        "is_cold",
        "is_suspect",
        "_in_flight_then",
        "_reported",
        "in_flight",
        "penalty_until_s",
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
        self.in_flight = 0
        self._reported = 0
        self._in_flight_then = 0
        self.is_cold = False
        self.is_suspect = False
        self.penalty_until_s = 0.0
        self.failures = 0

    def report(self, at_gate: int) -> None:
        """Takes the number of requests at its gate, own ones included."""
        self._reported = at_gate
        self._in_flight_then = self.in_flight

    def ended(self) -> None:
        """Notes that an own request has ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def fill(self, now_s: float) -> float:
        """Returns the part of its slots that is taken, and more."""
        since = self.in_flight - self._in_flight_then
        fill = max(self.in_flight, self._reported + since) / self.slots
        if self.is_cold:
            fill = fill * COLD_FACTOR + 0.05
        if self.is_suspect or now_s < self.penalty_until_s:
            fill += SUSPECT_COST
        return fill


class Placement:
    """Chooses among the candidates of a service."""

    def __init__(
        self,
        random: random_module.Random,
        failure_domain: ids.FailureDomainName,
        candidates_of: Callable[[ids.ServiceName], Sequence[Candidate]],
    ) -> None:
        self._random = random
        self._failure_domain = failure_domain
        self._candidates_of = candidates_of

    def choose(
        self,
        service: ids.ServiceName,
        excluded: Collection[ids.PeerAddress],
        now_s: float,
    ) -> Candidate | None:
        """Returns the candidate for a request, or None if there is none.

        Args:
            service: Service that is to run it.
            excluded: Hosts that were tried already.
            now_s: Clock time.
        """
        near: list[Candidate] = []
        far: list[Candidate] = []
        for candidate in self._candidates_of(service):
            if candidate.host in excluded:
                continue
            if candidate.failure_domain == self._failure_domain:
                near.append(candidate)
            else:
                far.append(candidate)
        best, fill = self._least_full(near, now_s)
        if best is not None and fill < LEAVE_DOMAIN_AT:
            return best
        other, other_fill = self._least_full(far, now_s)
        if best is None or (
            other is not None and other_fill + CROSSING_COST < fill
        ):
            return other
        return best

    def _least_full(
        self, candidates: list[Candidate], now_s: float
    ) -> tuple[Candidate | None, float]:
        if len(candidates) > COMPARED:
            candidates = self._random.sample(candidates, COMPARED)
        best, least = None, 0.0
        # A random start spreads requests among equals.
        count = len(candidates)
        start = int(self._random.random() * count) if count else 0
        for index in range(count):
            candidate = candidates[(start + index) % count]
            fill = candidate.fill(now_s)
            if best is None or fill < least:
                best, least = candidate, fill
        return best, least
