"""Contacts silent hosts of other failure domains, which may start again.

A process that starts again knows no host until someone contacts it or the
store answers. In its own failure domain the aggregators send digests to silent
hosts too. If the whole domain is silent, only other domains can do it.
"""

from __future__ import annotations

from collections.abc import Iterator
import random as random_module

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import hosts
from cyclamendale.fleet import known_host

ROUND_INTERVAL_S = 1.0
"""Shortest interval between two contacts of the same host by a node."""

MAX_CONTACTS_PER_INTERVAL = 4
"""Hosts that a node contacts per report interval. The aggregators of all
domains do it, so that the first host of a large one is found in seconds."""

LEFT_AFTER_REPORTS = 3.0
"""Intervals of silence after which a host that was leaving has ended."""


class SilentHosts:
    """Silent hosts of other failure domains, as one node contacts them."""

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        view: hosts.HostView,
    ) -> None:
        self._clock = clock
        self._random = random
        self._view = view
        self._queue: list[ids.PeerAddress] = []
        self._next_round_s = clock.now_s()

    def take_due(self) -> Iterator[ids.PeerAddress]:
        """Yields the hosts to contact; called once per report interval."""
        now_s = self._clock.now_s()
        if not self._queue and now_s >= self._next_round_s:
            self._next_round_s = now_s + ROUND_INTERVAL_S
            if self._view.rank_in_domain() < hosts.AGGREGATORS_PER_DOMAIN:
                self._queue = [
                    host.address
                    for host in self._view.others()
                    if self._is_silent(host, now_s)
                ]
                # Nodes that contact the same hosts should not do it in step.
                self._random.shuffle(self._queue)
        for _ in range(min(MAX_CONTACTS_PER_INTERVAL, len(self._queue))):
            yield self._queue.pop()

    def _is_silent(self, host: known_host.KnownHost, now_s: float) -> bool:
        if self._view.is_in_own_domain(host.failure_domain):
            return False
        left_after_s = LEFT_AFTER_REPORTS * self._view.report_interval_s()
        return host.candidate.is_suspect or (
            host.is_leaving and now_s - host.last_heard_s > left_after_s
        )
