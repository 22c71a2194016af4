"""Order in which requests wait for room at one upstream.

The load it answers: more requests arrive than the upstream has slots for,
some of them calls that an upstream made for a request it is running.
Such onward calls go first, since the work of their parents is lost
without them; then what is shed last goes first. Within one rank, requests
that can still be answered within their aim go before those that can't, so
a queue that was once too long does not make all that follow late too.

Where nearly all are onward calls, the few roots wait with them and not
behind them: they would be overtaken all the while, and letting them in
takes next to nothing from the calls.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
import enum
import heapq
import itertools

import msgspec

from cyclamendale.proxy import messages

SLOTS_SHARE = 0.94
"""Part of the announced slots that is used: some upstreams slow down once
19 of 20 slots are taken, and none answers what it cannot queue."""

FASTEST_SHARE = 0.35
"""Part of the mean service time that a request needs at the least; it is
refused only when it could not even finish so soon."""

AIM_MARGIN = 1.8
"""Mean service times that must be left until the aim for a request to
count as on time; nine in ten take less."""

LATE_SHARE = 0.35
"""Part of its time that a request which is late anyway may be expected to
wait; with more before it, it is told at once to come back."""

PATIENCE_SHARE = 0.45
"""Part of its time that a root waits at the most. Requests that go first
may come all the while; told now, its caller still has time to come back."""

ONWARD_PLACE = -1
"""Place of onward calls, before all ranks."""

FEW_ROOTS_SHARE = 0.1
"""Share of roots among the requests below which they wait with the calls."""

ROOT_SHARE_WEIGHT = 0.01
"""Weight of one request in that share; some hundred count."""

SMOOTHING = 0.06
"""Weight of one request in the mean service time; some twenty count."""

INITIAL_SERVICE_TIME_S = 0.05
"""Service time assumed until the first request ends."""


class Verdict(enum.Enum):
    """What becomes of a request that arrives at the gate."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


class Ticket:
    """A request's place at the gate.

    Attributes:
        work: The request.
        arrived_s: Clock time of its arrival at the gate.
        started_s: Clock time of its hand-over, or None while it waits.
        place: Rank or `ONWARD_PLACE`, and 1 if it is late anyway, else 0.
        is_withdrawn: Whether it left the queue without being run.
    """

    __slots__ = ("arrived_s", "is_withdrawn", "place", "started_s", "work")

    def __init__(self, work: messages.UpstreamRequest, now_s: float) -> None:
        self.work = work
        self.arrived_s = now_s
        self.started_s: float | None = None
        self.place = (ONWARD_PLACE if work.onward else work.rank, 0)
        self.is_withdrawn = False


class GateLoad(msgspec.Struct, frozen=True):
    """State of a gate.

    Attributes:
        in_service: Requests handed over and not answered.
        queued: Requests that wait.
        room: Requests that may be handed over at once.
        service_time_s: Mean time of a request at the upstream.
        wait_s: Time that a new request is expected to wait.
    """

    in_service: int
    queued: int
    room: int
    service_time_s: float
    wait_s: float

    @property
    def at_gate(self) -> int:
        """Returns the requests in service and waiting together."""
        return self.in_service + self.queued


class RoomQueue:
    """Requests in service at one upstream, and those that wait."""

    def __init__(self) -> None:
        self._limit = 1
        self._in_service = 0
        self._heap: list[tuple[tuple[int, int], int, Ticket]] = []
        self._waiting = 0
        self._waiting_at: collections.Counter[tuple[int, int]] = (
            collections.Counter()
        )
        self._overdue: list[Ticket] = []
        self._order = itertools.count()
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._is_measured = False
        self._root_share = 1.0

    def set_slots(self, slots: int) -> None:
        """Takes the number of requests that the upstream runs at once."""
        self._limit = max(1, int(slots * SLOTS_SHARE))

    def load(self) -> GateLoad:
        """Returns the present state."""
        return GateLoad(
            self._in_service,
            self._waiting,
            self._limit,
            self._service_time_s,
            self.wait_s(),
        )

    def wait_s(self) -> float:
        """Returns the time that a new request is expected to wait."""
        if self._in_service < self._limit:
            return 0.0
        return (self._waiting + 1) * self._service_time_s / self._limit

    def submit(self, ticket: Ticket, now_s: float) -> Verdict:
        """Takes a request in.

        A request that could not finish before its deadline is refused at
        once, so that its caller hears of it while that is of use.
        """
        is_root = not ticket.work.onward
        self._root_share += ROOT_SHARE_WEIGHT * (is_root - self._root_share)
        if is_root and self._root_share < FEW_ROOTS_SHARE:
            ticket.place = (ONWARD_PLACE, 0)
        if self._in_service < self._limit and not self._waiting:
            if not self._can_finish(ticket, now_s):
                return Verdict.REFUSE
            self._begin(ticket, now_s)
            return Verdict.START
        if not self._find_place(ticket, now_s):
            return Verdict.REFUSE
        heapq.heappush(self._heap, (ticket.place, next(self._order), ticket))
        self._waiting += 1
        self._waiting_at[ticket.place] += 1
        return Verdict.WAIT

    def withdraw(self, ticket: Ticket) -> bool:
        """Takes a waiting request out; False if it is not waiting."""
        if ticket.started_s is not None or ticket.is_withdrawn:
            return False
        ticket.is_withdrawn = True
        self._left(ticket)
        return True

    def finish(self, ticket: Ticket, now_s: float, counts: bool) -> None:
        """Notes the end of a request that was handed over.

        Args:
            ticket: The request.
            now_s: Clock time.
            counts: Whether its time says how long requests take. A
                longer one than the mean always does: it would have
                taken longer still.
        """
        self._in_service -= 1
        assert ticket.started_s is not None
        took_s = now_s - ticket.started_s
        if not (counts or took_s > self._service_time_s):
            return
        if not self._is_measured:
            self._is_measured = True
            self._service_time_s = took_s
            return
        self._service_time_s += SMOOTHING * (took_s - self._service_time_s)

    def startable(self, now_s: float) -> Iterator[Ticket]:
        """Yields waiting requests that are to be handed over now."""
        while self._waiting and self._in_service < self._limit:
            ticket = heapq.heappop(self._heap)[-1]
            if ticket.is_withdrawn:
                continue
            self._left(ticket)
            if self._can_finish(ticket, now_s):
                self._begin(ticket, now_s)
                yield ticket
            else:
                ticket.is_withdrawn = True
                self._overdue.append(ticket)

    def expired(self, now_s: float) -> Iterator[Ticket]:
        """Yields waiting requests that can't finish in time any more."""
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
        """Yields all waiting requests and takes them out."""
        heap, self._heap = self._heap, []
        for entry in heap:
            if self.withdraw(entry[-1]):
                yield entry[-1]

    def _begin(self, ticket: Ticket, now_s: float) -> None:
        ticket.started_s = now_s
        self._in_service += 1

    def _can_finish(self, ticket: Ticket, start_s: float) -> bool:
        work = ticket.work
        needed_s = FASTEST_SHARE * self._service_time_s
        if start_s + needed_s > work.deadline_s:
            return False
        longest_s = PATIENCE_SHARE * (work.deadline_s - ticket.arrived_s)
        return work.onward or start_s - ticket.arrived_s <= longest_s

    def _left(self, ticket: Ticket) -> None:
        self._waiting -= 1
        self._waiting_at[ticket.place] -= 1

    def _find_place(self, ticket: Ticket, now_s: float) -> bool:
        """Sets the place of a request; False if there is none in time."""
        work = ticket.work
        start_s = now_s + self._wait_at_s(ticket.place)
        if start_s + AIM_MARGIN * self._service_time_s <= work.aim_s:
            return self._can_finish(ticket, start_s)
        ticket.place = (ticket.place[0], 1)
        wait_s = self._wait_at_s(ticket.place)
        longest_s = LATE_SHARE * (work.deadline_s - now_s)
        return wait_s <= longest_s and self._can_finish(ticket, now_s + wait_s)

    def _wait_at_s(self, place: tuple[int, int]) -> float:
        """Returns the time that those at a place or before it take."""
        ahead = 1 + sum(
            count for other, count in self._waiting_at.items() if other <= place
        )
        return ahead * self._service_time_s / self._limit


def make_room_queue() -> RoomQueue:
    """Returns the queue of one upstream, with room for one request."""
    return RoomQueue()
