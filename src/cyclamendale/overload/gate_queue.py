"""Priority queue of the requests that wait for a slot at one upstream.

Under overload, more requests arrive than the upstream has slots for. Onward
calls, which an upstream makes for a request that it is running, are started
first, since the work of their parents is lost without them. Other requests
follow by rank, the one shed last being started first. Within one rank,
requests that can still be answered within their aim precede those that
can't, so that a queue that was once too long does not delay all later
requests too.

Where nearly all requests are onward calls, the few roots are started before
them. Behind or among the calls they would wait for as long as the service is
overloaded, and starting them first costs the calls almost nothing.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
import enum
import heapq
import itertools
import math

import msgspec

from cyclamendale.overload import start_limit
from cyclamendale.proxy import messages

USED_SLOTS_SHARE = 0.94
"""Share of the announced slots that is used. Some upstreams slow down once
19 of 20 slots are in use, and none answers requests that it cannot queue."""

MIN_SERVICE_TIME_SHARE = 0.35
"""Minimum service time of a request, relative to the mean. A request is
refused only if even that is too long for its deadline."""

AIM_MARGIN = 1.8
"""Mean service times that must remain until the aim for a request to count
as on time; nine in ten requests take less."""

MAX_LATE_WAIT_SHARE = 0.35
"""Maximum expected wait of a request that will miss its aim, as a share of
its remaining time. With a longer queue it is refused at once, to be
retried."""

MAX_ROOT_WAIT_SHARE = 0.45
"""Maximum wait of a root, as a share of its time. Requests of higher priority
may keep arriving; an early refusal leaves its caller time to retry."""

ONWARD_RANK = -1
"""Rank of onward calls, which precedes those of roots."""

FEW_ROOTS_RANK = -2
"""Rank of roots that are few among onward calls."""

FEW_ROOTS_SHARE = 0.2
"""Share of roots below which they precede onward calls. It is reached more
easily while roots that make many calls are refused elsewhere."""

ROOT_SHARE_WEIGHT = 0.01
"""Weight of one request in the root share; about a hundred count."""

SERVICE_TIME_WEIGHT = 0.06
"""Weight of one request in the mean service time; about twenty count."""

INITIAL_SERVICE_TIME_S = 0.05
"""Service time assumed until the first request ends."""


class Verdict(enum.Enum):
    """Decision on a request that arrives at the gate."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


class Ticket:
    """A request at the gate.

    Attributes:
        request: The request.
        arrived_s: Clock time of its arrival at the gate.
        started_s: Clock time of its start, or None while it waits.
        priority: Rank, or one of those above, and 1 if it will miss its aim,
            else 0.
        is_withdrawn: Whether it left the queue without being started.
        process: Number of the upstream process that it was started on.
    """

    __slots__ = (
        "arrived_s",
        "is_withdrawn",
        "priority",
        "process",
        "started_s",
        "request",
    )

    def __init__(self, request: messages.UpstreamRequest, now_s: float) -> None:
        self.request = request
        self.arrived_s = now_s
        self.started_s: float | None = None
        self.priority = (ONWARD_RANK if request.onward else request.rank, 0)
        self.is_withdrawn = False
        self.process = 0


class GateLoad(msgspec.Struct, frozen=True):
    """State of a gate.

    Attributes:
        in_service: Requests started and not yet answered.
        queued: Waiting requests.
        capacity: Number of requests that can be in service.
        service_time_s: Mean service time at the upstream.
        wait_s: Expected wait of a new request.
    """

    in_service: int
    queued: int
    capacity: int
    service_time_s: float
    wait_s: float

    @property
    def at_gate(self) -> int:
        """Returns the number of requests in service or waiting."""
        return self.in_service + self.queued


class GateQueue:
    """Priority queue and service-time estimate of one upstream."""

    def __init__(self) -> None:
        self._capacity = 1
        self._in_service = 0
        self._heap: list[tuple[tuple[int, int], int, Ticket]] = []
        self._waiting = 0
        self._waiting_by_priority: collections.Counter[tuple[int, int]] = (
            collections.Counter()
        )
        self._overdue: list[Ticket] = []
        self._sequence = itertools.count()
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._is_measured = False
        self._root_share = 1.0
        self._limit = start_limit.make_start_limit()
        self._process = 0

    def replace_upstream(self) -> None:
        """Forgets the limit of an earlier process, and what runs on it.

        The new one may have named a limit to an earlier process of this node.
        """
        self._limit = start_limit.make_unproven_start_limit()
        self._process += 1
        self._in_service = 0

    def observe_limit(self, named_per_s: float | None, now_s: float) -> None:
        """Takes the limit of a response; None if it named none."""
        self._limit.observe(named_per_s, now_s)

    @property
    def limit_per_s(self) -> float | None:
        """Returns the starts per second that the upstream takes, if limited."""
        return self._limit.rate_per_s

    def set_slots(self, slots: int) -> None:
        """Sets the number of requests that the upstream runs concurrently."""
        self._capacity = max(1, int(slots * USED_SLOTS_SHARE))

    def load(self) -> GateLoad:
        """Returns the current state."""
        return GateLoad(
            self._in_service,
            self._waiting,
            self._limit.capacity(self._capacity, self._service_time_s),
            self._service_time_s,
            self.expected_wait_s(),
        )

    def expected_wait_s(self) -> float:
        """Returns the expected wait of a new request."""
        if self._in_service < self._capacity and not self._waiting:
            return 0.0
        return (self._waiting + 1) * self._start_interval_s()

    def submit(self, ticket: Ticket, now_s: float) -> Verdict:
        """Starts, queues or refuses a request.

        A request that could not finish before its deadline is refused at
        once, while its caller can still react.
        """
        is_root = not ticket.request.onward
        self._root_share += ROOT_SHARE_WEIGHT * (is_root - self._root_share)
        if is_root and self._root_share < FEW_ROOTS_SHARE:
            ticket.priority = (FEW_ROOTS_RANK, 0)
        if self._has_room(now_s) and not self._waiting:
            if not self._can_finish(ticket, now_s):
                return Verdict.REFUSE
            self._start(ticket, now_s)
            return Verdict.START
        if not self._assign_priority(ticket, now_s):
            return Verdict.REFUSE
        heapq.heappush(
            self._heap, (ticket.priority, next(self._sequence), ticket)
        )
        self._waiting += 1
        self._waiting_by_priority[ticket.priority] += 1
        return Verdict.WAIT

    def withdraw(self, ticket: Ticket) -> bool:
        """Removes a waiting request; returns False if it is not waiting."""
        if ticket.started_s is not None or ticket.is_withdrawn:
            return False
        ticket.is_withdrawn = True
        self._record_departure(ticket)
        return True

    def finish(self, ticket: Ticket, now_s: float, is_sample: bool) -> None:
        """Records the end of a started request.

        Args:
            ticket: The request.
            now_s: Clock time.
            is_sample: Whether its duration is a service time. A duration
                above the mean always counts, as a lower bound.
        """
        if ticket.process != self._process:
            return
        self._in_service -= 1
        assert ticket.started_s is not None
        duration_s = now_s - ticket.started_s
        if not (is_sample or duration_s > self._service_time_s):
            return
        if not self._is_measured:
            self._is_measured = True
            self._service_time_s = duration_s
            return
        self._service_time_s += SERVICE_TIME_WEIGHT * (
            duration_s - self._service_time_s
        )

    def pop_startable(self, now_s: float) -> Iterator[Ticket]:
        """Removes and yields the waiting requests to start now."""
        while self._waiting and self._has_room(now_s):
            ticket = heapq.heappop(self._heap)[-1]
            if ticket.is_withdrawn:
                continue
            self._record_departure(ticket)
            if self._can_finish(ticket, now_s):
                self._start(ticket, now_s)
                yield ticket
            else:
                ticket.is_withdrawn = True
                self._overdue.append(ticket)

    def next_start_in_s(self, now_s: float) -> float | None:
        """Returns when the limit lets the next waiting request start.

        Returns:
            Seconds, or None if none waits for the limit.
        """
        if not self._waiting or self._in_service >= self._capacity:
            return None
        wait_s = self._limit_wait_s(now_s)
        return wait_s if 0.0 < wait_s < math.inf else None

    def pop_expired(self, now_s: float) -> Iterator[Ticket]:
        """Removes and yields requests that can no longer finish in time."""
        overdue, self._overdue = self._overdue, []
        yield from overdue
        if not self._waiting:
            self._heap.clear()
            return
        for entry in tuple(self._heap):
            ticket = entry[-1]
            if not ticket.is_withdrawn and not self._can_finish(ticket, now_s):
                self.withdraw(ticket)
                yield ticket

    def drain(self) -> Iterator[Ticket]:
        """Removes and yields all waiting requests."""
        heap, self._heap = self._heap, []
        for entry in heap:
            if self.withdraw(entry[-1]):
                yield entry[-1]

    def _start(self, ticket: Ticket, now_s: float) -> None:
        ticket.started_s = now_s
        ticket.process = self._process
        self._in_service += 1
        self._limit.record_start(now_s)

    def _has_room(self, now_s: float) -> bool:
        return (
            self._in_service < self._capacity
            and self._limit_wait_s(now_s) <= 0.0
        )

    def _limit_wait_s(self, now_s: float) -> float:
        return self._limit.wait_s(self._in_service, now_s)

    def _start_interval_s(self) -> float:
        """Returns the mean time between two starts of a busy upstream."""
        interval_s = self._service_time_s / self._capacity
        if self._limit.rate_per_s is None:
            return interval_s
        return max(interval_s, 1.0 / self._limit.rate_per_s)

    def _can_finish(self, ticket: Ticket, start_s: float) -> bool:
        request = ticket.request
        needed_s = MIN_SERVICE_TIME_SHARE * self._service_time_s
        if start_s + needed_s > request.deadline_s:
            return False
        max_wait_s = MAX_ROOT_WAIT_SHARE * (
            request.deadline_s - ticket.arrived_s
        )
        return request.onward or start_s - ticket.arrived_s <= max_wait_s

    def _record_departure(self, ticket: Ticket) -> None:
        self._waiting -= 1
        self._waiting_by_priority[ticket.priority] -= 1

    def _assign_priority(self, ticket: Ticket, now_s: float) -> bool:
        """Sets the priority; returns False if the wait would be too long."""
        request = ticket.request
        start_s = now_s + self._wait_behind_s(ticket.priority)
        if start_s + AIM_MARGIN * self._service_time_s <= request.aim_s:
            return self._can_finish(ticket, start_s)
        ticket.priority = (ticket.priority[0], 1)
        wait_s = self._wait_behind_s(ticket.priority)
        max_wait_s = MAX_LATE_WAIT_SHARE * (request.deadline_s - now_s)
        return wait_s <= max_wait_s and self._can_finish(ticket, now_s + wait_s)

    def _wait_behind_s(self, priority: tuple[int, int]) -> float:
        """Returns the time to serve all requests up to a priority."""
        ahead = 1 + sum(
            count
            for other, count in self._waiting_by_priority.items()
            if other <= priority
        )
        return ahead * self._start_interval_s()


def make_gate_queue() -> GateQueue:
    """Returns the queue of one upstream, with a capacity of one request."""
    return GateQueue()
