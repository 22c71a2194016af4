"""Overload policy of the project and the baselines for comparison."""

from __future__ import annotations

import collections
from collections.abc import Callable
import functools
import random as random_module

import msgspec

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.intents import model
from cyclamendale.overload import admission
from cyclamendale.overload import feedback as feedbacks
from cyclamendale.overload import gate_admission
from cyclamendale.overload import limit as limits


class UnlimitedAdmission(admission.Admission):
    """No control: every request is started at once."""

    def submit(self, ticket: admission.Ticket) -> None:
        """See base class."""
        ticket.start()

    def pause(self, ticket: admission.Ticket) -> None:
        """See base class."""

    def resume(self, ticket: admission.Ticket) -> None:
        """See base class."""

    def finish(
        self,
        ticket: admission.Ticket,
        own_time_s: float,
        completion: admission.Completion,
    ) -> None:
        """See base class."""

    def withdraw(self, ticket: admission.Ticket) -> bool:
        """See base class."""
        return False

    def set_capacity(self, slots: int, connections: int) -> None:
        """See base class."""

    def set_service(self, service: model.Service) -> None:
        """See base class."""

    def close(self) -> None:
        """See base class."""

    def reopen(self, cold: bool) -> None:
        """See base class."""

    @property
    def queued(self) -> int:
        """See base class."""
        return 0

    def feedback(self) -> feedbacks.Feedback:
        """See base class."""
        return feedbacks.Feedback()


class FifoAdmission(UnlimitedAdmission):
    """Announced slots as a fixed limit, with a FIFO queue of equal length."""

    def __init__(self) -> None:
        self._slots = 1
        self._in_service = 0
        self._queue: collections.deque[admission.Ticket] = collections.deque()

    def submit(self, ticket: admission.Ticket) -> None:
        """See base class."""
        if self._in_service < self._slots:
            self._in_service += 1
            ticket.start()
        elif len(self._queue) < self._slots:
            self._queue.append(ticket)
        else:
            ticket.refuse(refusals.Refusal(refusals.RefusalReason.QUEUE_FULL))

    def finish(
        self,
        ticket: admission.Ticket,
        own_time_s: float,
        completion: admission.Completion,
    ) -> None:
        """See base class."""
        self._in_service -= 1
        if self._queue:
            self._in_service += 1
            self._queue.popleft().start()

    def withdraw(self, ticket: admission.Ticket) -> bool:
        """See base class."""
        if ticket not in self._queue:
            return False
        self._queue.remove(ticket)
        return True

    def set_capacity(self, slots: int, connections: int) -> None:
        """See base class."""
        self._slots = slots

    def feedback(self) -> feedbacks.Feedback:
        """See base class."""
        load = (self._in_service + len(self._queue)) / self._slots
        return feedbacks.Feedback(load=load)


class Policy(msgspec.Struct, frozen=True):
    """Policy of the nodes of one run.

    Attributes:
        name: Name in the printed tables.
        make_admission: Called with clock, random source and service.
        sheds_early: Whether entry nodes shed by learned thresholds.
        cancels_expired: Whether work is cancelled at the deadline of its
            root request.
        retries_refused_calls: Whether nodes retry refused calls within the
            retry budget.
    """

    name: str
    make_admission: Callable
    sheds_early: bool = True
    cancels_expired: bool = True
    retries_refused_calls: bool = True


def _make_unlimited(
    clock: clocks.Clock,
    random: random_module.Random,
    service: model.Service,
) -> admission.Admission:
    return UnlimitedAdmission()


def _make_fifo(
    clock: clocks.Clock,
    random: random_module.Random,
    service: model.Service,
) -> admission.Admission:
    return FifoAdmission()


def _make_gate(
    limit_type: type[limits.ConcurrencyLimit],
    clock: clocks.Clock,
    random: random_module.Random,
    service: model.Service,
) -> admission.Admission:
    limit = limit_type(clock, service.slow_start_s)
    return gate_admission.make_admission(clock, random, service, limit=limit)


_make_aimd = functools.partial(_make_gate, limits.AimdLimit)
_make_gradient = functools.partial(_make_gate, limits.GradientLimit)

NO_CONTROL = Policy(
    "no control",
    _make_unlimited,
    sheds_early=False,
    cancels_expired=False,
    retries_refused_calls=False,
)
STATIC_FIFO = Policy("static limit, FIFO", _make_fifo, sheds_early=False)
AIMD = Policy("AIMD", _make_aimd)
GRADIENT = Policy("gradient", _make_gradient)
GATE_ONLY = Policy("gradient, no early shed", _make_gradient, sheds_early=False)
ALL = (NO_CONTROL, STATIC_FIFO, AIMD, GRADIENT, GATE_ONLY)
