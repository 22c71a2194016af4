"""Order in which requests wait for room at one upstream.

The load it answers: more requests arrive than the upstream has slots for,
some of them calls that an upstream made for a request it is running.
Such onward calls go first, since the work of their parents is lost
without them; then what is shed last goes first. Within one rank, requests
that can still be answered within their aim go before those that can't.
"""

from __future__ import annotations

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
        started_s: Clock time of its hand-over; 0 while it waits.
        is_withdrawn: Whether it left the queue without being run.
    """

    __slots__ = ("arrived_s", "is_withdrawn", "started_s", "work")

    def __init__(self, work: messages.Work, now_s: float) -> None:
        self.work = work
        self.arrived_s = now_s
        self.started_s = 0.0
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


class RoomQueue:
    """Requests in service at one upstream, and those that wait."""

    def __init__(self) -> None:
        self._limit = 1
        self._in_service = 0
        self._heap: list[tuple[int, int, int, Ticket]] = []
        self._waiting = 0
        self._overdue: list[Ticket] = []
        self._order = itertools.count()
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._is_measured = False

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
        if not self._can_finish(ticket, now_s + self._wait_ahead_s(ticket)):
            return Verdict.REFUSE
        if self._in_service < self._limit and not self._waiting:
            self._begin(ticket, now_s)
            return Verdict.START
        heapq.heappush(self._heap, (*self._place(ticket, now_s), ticket))
        self._waiting += 1
        return Verdict.WAIT

    def withdraw(self, ticket: Ticket) -> bool:
        """Takes a waiting request out; False if it is not waiting."""
        if ticket.started_s or ticket.is_withdrawn:
            return False
        ticket.is_withdrawn = True
        self._waiting -= 1
        return True

    def finish(self, ticket: Ticket, now_s: float, counts: bool) -> None:
        """Notes the end of a request that was handed over.

        Args:
            ticket: The request.
            now_s: Clock time.
            counts: Whether its time says how long requests take.
        """
        self._in_service -= 1
        if not counts:
            return
        took_s = now_s - ticket.started_s
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
            self._waiting -= 1
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
        needed_s = FASTEST_SHARE * self._service_time_s
        return start_s + needed_s <= ticket.work.deadline_s

    def _wait_ahead_s(self, ticket: Ticket) -> float:
        """Returns the least time that others keep the request waiting."""
        if self._in_service < self._limit or not self._waiting:
            return 0.0
        own = _rank_of(ticket)
        ahead = sum(1 for entry in self._heap if entry[0] <= own)
        return ahead * self._service_time_s / self._limit

    def _place(self, ticket: Ticket, now_s: float) -> tuple[int, int, int]:
        finish_s = now_s + self.wait_s() + self._service_time_s
        is_late = finish_s > ticket.work.aim_s
        return _rank_of(ticket), int(is_late), next(self._order)


def _rank_of(ticket: Ticket) -> int:
    return -1 if ticket.work.onward else ticket.work.rank


def make_room_queue() -> RoomQueue:
    """Returns the queue of one upstream, with room for one request."""
    return RoomQueue()
