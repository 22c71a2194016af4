"""Suspicions of unreachable members and their timeouts."""

from __future__ import annotations

from collections.abc import Iterator
import math

from cyclamendale import ids

MIN_TIMEOUT_FACTOR = 3.0
"""Minimum timeout in probe periods, per log10 of the member count."""
MAX_TIMEOUT_RATIO = 2.0
"""Ratio of the timeout without confirmations to the minimum timeout."""
MAX_CONFIRMATIONS = 3
"""Number of accusers, besides the first, that shorten the timeout."""


class _Suspicion:
    __slots__ = ("accusers", "deadline_s", "started_s")

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.deadline_s = math.inf
        self.accusers: set[ids.NodeId] = set()


class Suspicions:
    """Active suspicions by the address of the suspect."""

    def __init__(self, probe_period_s: float) -> None:
        self._probe_period_s = probe_period_s
        self._active: dict[ids.PeerAddress, _Suspicion] = {}

    def __len__(self) -> int:
        return len(self._active)

    def accuse(
        self,
        address: ids.PeerAddress,
        accuser: ids.NodeId | None,
        member_count: int,
        now_s: float,
    ) -> bool:
        """Starts or confirms a suspicion.

        Args:
            address: The suspect.
            accuser: The node that failed to reach it, if known.
            member_count: Number of live members.
            now_s: Clock time.

        Returns:
            Whether the accusation is new evidence to be gossiped.
        """
        suspicion = self._active.get(address)
        is_first = suspicion is None
        if suspicion is None:
            suspicion = self._active[address] = _Suspicion(now_s)
        accusers = suspicion.accusers
        is_new_evidence = is_first or (
            accuser is not None
            and accuser not in accusers
            and len(accusers) <= MAX_CONFIRMATIONS
        )
        if accuser is not None and is_new_evidence:
            accusers.add(accuser)
        suspicion.deadline_s = suspicion.started_s + self.timeout_s(
            member_count, max(0, len(accusers) - 1)
        )
        return is_new_evidence

    def timeout_s(self, member_count: int, confirmations: int) -> float:
        """Returns the time within which a suspect must refute.

        It grows with the logarithm of the member count, like the time that
        an update takes to reach all members. Confirmations shorten it.
        """
        digits = max(1.0, math.log10(max(1, member_count)))
        min_timeout_s = MIN_TIMEOUT_FACTOR * digits * self._probe_period_s
        max_timeout_s = MAX_TIMEOUT_RATIO * min_timeout_s
        # A small cluster has too few members for all confirmations.
        max_confirmations = min(MAX_CONFIRMATIONS, max(0, member_count - 3))
        if max_confirmations == 0:
            return min_timeout_s
        progress = math.log(
            min(confirmations, max_confirmations) + 1
        ) / math.log(max_confirmations + 1)
        return max(
            min_timeout_s,
            max_timeout_s - (max_timeout_s - min_timeout_s) * progress,
        )

    def has_had_refutation_time(
        self, address: ids.PeerAddress, member_count: int, now_s: float
    ) -> bool:
        """Returns whether a suspect has had time to refute.

        Half of the minimum timeout suffices, since the suspicion may have
        reached this node late.
        """
        suspicion = self._active.get(address)
        if suspicion is None:
            return False
        min_timeout_s = self.timeout_s(member_count, MAX_CONFIRMATIONS)
        return now_s - suspicion.started_s >= min_timeout_s / 2

    def remove(self, address: ids.PeerAddress) -> None:
        """Removes the suspicion of a member, if there is one."""
        self._active.pop(address, None)

    def pop_expired(self, now_s: float) -> Iterator[ids.PeerAddress]:
        """Removes timed-out suspicions and yields their suspects."""
        if not self._active:
            return
        expired = [
            address
            for address, suspicion in self._active.items()
            if suspicion.deadline_s <= now_s
        ]
        for address in expired:
            del self._active[address]
            yield address

    def extend_deadlines(self, pause_s: float) -> None:
        """Extends all timeouts by a pause of this process."""
        for suspicion in self._active.values():
            suspicion.started_s += pause_s
            suspicion.deadline_s += pause_s
