"""Load balancing by the power of two choices, own failure domain first."""

from __future__ import annotations

from collections.abc import Collection, Iterable
import random as random_module

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.membership import directory as directories
from cyclamendale.overload import _ejection
from cyclamendale.overload import feedback
from cyclamendale.overload import target_choice

SATURATED_LOAD = 0.9
"""Load of the own domain above which other domains are considered."""

SPILLOVER_MARGIN = 0.1
"""Minimum load difference to another domain; prevents flapping."""

REPORT_HALF_LIFE_S = 0.5
"""Half-life of a reported load."""

PRUNE_INTERVAL_CALLS = 4096
"""Answers between two removals of targets that left."""


LEAVING_PENALTY_S = 2.0
"""Time for which a target that refused as leaving is tried last.

Membership spreads the departure meanwhile. A target that has come back is
tried again afterwards.
"""


class _TargetState:
    __slots__ = (
        "health",
        "in_flight",
        "leaving_until_s",
        "load",
        "reported_in_flight",
        "reported_s",
    )

    def __init__(self) -> None:
        self.health = _ejection.TargetHealth()
        self.in_flight = 0
        self.leaving_until_s = 0.0
        self.load = 0.0
        self.reported_in_flight = 0
        self.reported_s = 0.0

    def expected_load(self, slots: int, now_s: float) -> float:
        """Returns the expected current load, relative to the limit."""
        age_s = now_s - self.reported_s
        reported = self.load * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        own = self.in_flight / max(1, slots)
        sent_since_report = (self.in_flight - self.reported_in_flight) / max(
            1, slots
        )
        return max(own, reported + sent_since_report)


class PowerOfTwoChooser(target_choice.TargetChooser):
    """Picks the less loaded of two random targets.

    Load is taken from the feedback on answers and the calls in flight.
    There are no active health checks: only the outcomes of calls eject a
    target, and never more than a fixed share of a service's targets.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        directory: directories.Directory,
    ) -> None:
        self._clock = clock
        self._random = random
        self._directory = directory
        self._targets: dict[ids.NodeId, _TargetState] = {}
        self._calls_until_prune = PRUNE_INTERVAL_CALLS

    def choose(
        self,
        service: ids.ServiceName,
        excluded: Collection[ids.NodeId],
    ) -> directories.Member | None:
        """See base class."""
        now_s = self._clock.now_s()
        domain = self._directory.own().failure_domain
        local: list[directories.Member] = []
        remote: list[directories.Member] = []
        ejected: list[directories.Member] = []
        leaving: list[directories.Member] = []
        for member in self._directory.targets(service):
            if excluded and member.node in excluded:
                continue
            target = self._targets.get(member.node)
            if target is not None and now_s < target.leaving_until_s:
                leaving.append(member)
            elif target is not None and target.health.is_ejected(now_s):
                ejected.append(member)
            elif member.failure_domain == domain:
                local.append(member)
            else:
                remote.append(member)
        best = self._pick(local, remote, now_s)
        return (
            best or self._random_member(ejected) or self._random_member(leaving)
        )

    def record_sent(self, target: ids.NodeId) -> None:
        """See base class."""
        state = self._state(target)
        state.in_flight += 1
        if state.health.ejected_until_s > 0.0:
            state.health.is_probing = True

    def record_answer(
        self,
        target: ids.NodeId,
        duration_s: float,
        succeeded: bool,
        answer_feedback: feedback.Feedback | None,
    ) -> None:
        """See base class."""
        now_s = self._clock.now_s()
        state = self._state(target)
        state.in_flight = max(0, state.in_flight - 1)
        if answer_feedback is not None:
            state.load = answer_feedback.load
            state.reported_in_flight = state.in_flight
            state.reported_s = now_s
        if succeeded:
            state.health.record_success()
        elif state.health.record_failure() and self._is_ejection_allowed(
            target, now_s
        ):
            state.health.eject(now_s)
        self._calls_until_prune -= 1
        if self._calls_until_prune <= 0:
            self._prune()

    def record_leaving(self, target: ids.NodeId) -> None:
        """See base class."""
        self._state(target).leaving_until_s = (
            self._clock.now_s() + LEAVING_PENALTY_S
        )

    def _pick(
        self,
        local: list[directories.Member],
        remote: list[directories.Member],
        now_s: float,
    ) -> directories.Member | None:
        best, load = self._pick_less_loaded(local, now_s)
        if best is not None and (load < SATURATED_LOAD or not remote):
            return best
        other, other_load = self._pick_less_loaded(remote, now_s)
        if best is None or other_load + SPILLOVER_MARGIN < load:
            return other
        return best

    def _pick_less_loaded(
        self, members: list[directories.Member], now_s: float
    ) -> tuple[directories.Member | None, float]:
        count = len(members)
        if count == 0:
            return None, 0.0
        first = members[int(self._random.random() * count)]
        load = self._load(first, now_s)
        if count == 1:
            return first, load
        second = members[int(self._random.random() * count)]
        if second is first:
            return first, load
        second_load = self._load(second, now_s)
        return (second, second_load) if second_load < load else (first, load)

    def _load(self, member: directories.Member, now_s: float) -> float:
        target = self._targets.get(member.node)
        if target is None:
            return 0.0
        slots = member.upstream.slots if member.upstream else 1
        return target.expected_load(slots, now_s)

    def _random_member(
        self, members: list[directories.Member]
    ) -> directories.Member | None:
        return self._random.choice(members) if members else None

    def _state(self, node: ids.NodeId) -> _TargetState:
        state = self._targets.get(node)
        if state is None:
            state = self._targets[node] = _TargetState()
        return state

    def _is_ejection_allowed(self, node: ids.NodeId, now_s: float) -> bool:
        service = self._service_of(node)
        if service is None:
            return False
        members = self._directory.targets(service)
        ejected = sum(
            1
            for member in members
            if member.node != node and self._is_ejected(member.node, now_s)
        )
        return _ejection.is_ejection_allowed(ejected, len(members))

    def _is_ejected(self, node: ids.NodeId, now_s: float) -> bool:
        target = self._targets.get(node)
        return target is not None and target.health.is_ejected(now_s)

    def _service_of(self, node: ids.NodeId) -> ids.ServiceName | None:
        for member in self._directory.members():
            if member.node == node and member.upstream is not None:
                return member.upstream.service
        return None

    def _prune(self) -> None:
        self._calls_until_prune = PRUNE_INTERVAL_CALLS
        present = _nodes(self._directory.members())
        for node, state in list(self._targets.items()):
            if node not in present and not state.in_flight:
                del self._targets[node]


def _nodes(members: Iterable[directories.Member]) -> set[ids.NodeId]:
    return {member.node for member in members}


def make_target_chooser(
    clock: clocks.Clock,
    random: random_module.Random,
    directory: directories.Directory,
) -> target_choice.TargetChooser:
    """Returns the target chooser of one node."""
    return PowerOfTwoChooser(clock, random, directory)
