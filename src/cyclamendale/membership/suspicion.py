"""Suspicions and their timeouts."""

from __future__ import annotations

from collections.abc import Iterator
import math

from cyclamendale import ids

TIMEOUT_FACTOR = 3.0
"""Shortest timeout, in probe periods per decimal digit of members."""
LONGEST_RATIO = 2.0
"""Longest timeout, for an unconfirmed suspicion, over the shortest."""
MAX_CONFIRMATIONS = 3
"""Independent accusers, besides the first, that shorten a timeout."""


class _Suspicion:
    __slots__ = ("accusers", "deadline_s", "started_s")

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.deadline_s = math.inf
        self.accusers: set[ids.NodeId] = set()


class Suspicions:
    """Running suspicions, by the address of the suspect."""

    def __init__(self, probe_period_s: float) -> None:
        self._probe_period_s = probe_period_s
        self._running: dict[ids.PeerAddress, _Suspicion] = {}

    def __len__(self) -> int:
        return len(self._running)

    def accuse(
        self,
        address: ids.PeerAddress,
        accuser: ids.NodeId | None,
        members: int,
        now_s: float,
    ) -> bool:
        """Starts or confirms a suspicion.

        Args:
            address: The suspect.
            accuser: Who failed to reach it, if known.
            members: Count of live members.
            now_s: Clock time.

        Returns:
            Whether the accusation is news that others should hear.
        """
        suspicion = self._running.get(address)
        is_first = suspicion is None
        if suspicion is None:
            suspicion = self._running[address] = _Suspicion(now_s)
        accusers = suspicion.accusers
        is_news = is_first or (
            accuser is not None
            and accuser not in accusers
            and len(accusers) <= MAX_CONFIRMATIONS
        )
        if accuser is not None and is_news:
            accusers.add(accuser)
        suspicion.deadline_s = suspicion.started_s + self.timeout_s(
            members, max(0, len(accusers) - 1)
        )
        return is_news

    def timeout_s(self, members: int, confirmations: int) -> float:
        """Returns how long a suspect has to refute.

        It grows with the logarithm of the member count, as the time that
        an update needs to reach all does, and falls with confirmations.
        """
        digits = max(1.0, math.log10(max(1, members)))
        shortest_s = TIMEOUT_FACTOR * digits * self._probe_period_s
        longest_s = LONGEST_RATIO * shortest_s
        # In a small cluster, so many confirmations cannot be had.
        wanted = min(MAX_CONFIRMATIONS, max(0, members - 3))
        if wanted == 0:
            return shortest_s
        share = math.log(min(confirmations, wanted) + 1) / math.log(wanted + 1)
        return max(shortest_s, longest_s - (longest_s - shortest_s) * share)

    def has_run(
        self, address: ids.PeerAddress, members: int, now_s: float
    ) -> bool:
        """Returns whether a suspect has had time to refute.

        That is half the shortest timeout, since news of the suspicion
        may have come here late.
        """
        suspicion = self._running.get(address)
        if suspicion is None:
            return False
        shortest_s = self.timeout_s(members, MAX_CONFIRMATIONS)
        return now_s - suspicion.started_s >= shortest_s / 2

    def end(self, address: ids.PeerAddress) -> None:
        """Ends a suspicion, if there is one."""
        self._running.pop(address, None)

    def expired(self, now_s: float) -> Iterator[ids.PeerAddress]:
        """Yields and ends the suspicions whose timeout has passed."""
        if not self._running:
            return
        over = [
            address
            for address, suspicion in self._running.items()
            if suspicion.deadline_s <= now_s
        ]
        for address in over:
            del self._running[address]
            yield address

    def extend(self, pause_s: float) -> None:
        """Moves all timeouts on by a time in which nothing was heard."""
        for suspicion in self._running.values():
            suspicion.started_s += pause_s
            suspicion.deadline_s += pause_s
