"""Admission control at one upstream: concurrency limit and priority queue."""

from __future__ import annotations

import math
import random as random_module

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.intents import model
from cyclamendale.overload import _threshold_control
from cyclamendale.overload import _wait_queue
from cyclamendale.overload import admission
from cyclamendale.overload import fair_use
from cyclamendale.overload import feedback
from cyclamendale.overload import limit as limits
from cyclamendale.overload import shed_key as shed_keys

MEAN_RETRY_AFTER_S = 1.0
"""Mean delay after which a refused caller may retry."""

MIN_QUEUE_LENGTH = 4
"""Queue length that is allowed at any service rate."""

RATE_WINDOW_S = 0.25
"""Window over which the service rate is averaged."""

OVERUSE_RATIO = 1.02
"""Usage relative to the average above which a customer's keys are raised."""

CRITICAL_WAIT_FACTOR = 4.0
"""Maximum wait of critical requests, relative to that of all others.

In strict order, a critical request waits only for other critical ones. When
these are most of the load, a short maximum wait would refuse them although
their share has capacity.
"""

_IMPORTANCE_SHIFT = shed_keys.OVER_SHARE_BITS + shed_keys.COHORT_BITS
_MIN_NON_CRITICAL_KEY = 1 << _IMPORTANCE_SHIFT
_CLASS_MASK = (1 << _IMPORTANCE_SHIFT) - 1
_KEYS_PER_SHARE = fair_use.UNITS_PER_SHARE << shed_keys.COHORT_BITS


class GateAdmission(admission.Admission):
    """Starts requests in the order of their shed keys.

    Within one importance class, the fairness bits of a key are raised for
    a customer that received more than its share of this upstream.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        service: model.Service,
        limit: limits.ConcurrencyLimit,
        weight_of: fair_use.WeightOf,
    ) -> None:
        self._clock = clock
        self._random = random
        self._service = service
        self._limit = limit
        self._weight_of = weight_of
        self._shares: dict[int, fair_use.CustomerShares] = {}
        self._threshold_control = _threshold_control.ThresholdControl(clock)
        self._queue = _wait_queue.WaitQueue()
        self._in_service = 0
        self._paused = 0
        self._closed = False
        self._expiry_timer: clocks.DelayedCall | None = None
        self._expiry_s = math.inf
        self._finished_in_window = 0
        self._rate_window_start_s = clock.now_s()
        self._service_rate_per_s = 0.0

    def submit(self, ticket: admission.Ticket) -> None:
        """See base class."""
        now_s = self._clock.now_s()
        ticket.arrived_s = now_s
        if self._closed:
            self._refuse(ticket, refusals.RefusalReason.LEAVING)
            return
        latest_start_s = ticket.deadline_s - self._limit.expected_own_time_s
        if latest_start_s <= now_s:
            self._refuse(ticket, refusals.RefusalReason.DEADLINE)
            return
        self._threshold_control.record_offered(
            ticket.shed_key, self._occupancy(now_s)
        )
        self._threshold_control.update()
        if not len(self._queue) and self._has_slot():
            self._start(ticket, now_s)
            return
        self._enqueue(ticket, latest_start_s, now_s)

    def pause(self, ticket: admission.Ticket) -> None:
        """See base class."""
        self._paused += 1
        self._start_waiting()

    def resume(self, ticket: admission.Ticket) -> None:
        """See base class."""
        self._paused -= 1

    def finish(
        self,
        ticket: admission.Ticket,
        own_time_s: float,
        completion: admission.Completion,
    ) -> None:
        """See base class."""
        active = self._in_service - self._paused
        self._limit.observe(own_time_s, active, completion)
        self._in_service -= 1
        self._finished_in_window += 1
        if completion is not admission.Completion.CANCELLED:
            self._threshold_control.record_finished()
        self._start_waiting()

    def withdraw(self, ticket: admission.Ticket) -> bool:
        """See base class."""
        return self._queue.remove(ticket)

    def set_capacity(self, slots: int, connections: int) -> None:
        """See base class."""
        self._limit.set_capacity(slots, connections)
        self._start_waiting()

    def set_service(self, service: model.Service) -> None:
        """See base class."""
        self._service = service
        self._limit.set_slow_start(service.slow_start_s)

    def close(self) -> None:
        """See base class."""
        self._closed = True
        while len(self._queue):
            self._refuse(
                self._queue.pop_lowest(), refusals.RefusalReason.LEAVING
            )

    def reopen(self, cold: bool) -> None:
        """See base class."""
        self._closed = False
        if cold:
            self._limit.start_cold()

    @property
    def queued(self) -> int:
        """See base class."""
        return len(self._queue)

    def feedback(self) -> feedback.Feedback:
        """See base class."""
        self._threshold_control.update()
        demand = self._in_service - self._paused + len(self._queue)
        load = max(
            demand / self._limit.current, self._in_service / self._limit.slots
        )
        return feedback.Feedback(self._threshold_control.threshold, load)

    def _has_slot(self) -> bool:
        limit = self._limit
        return (
            self._in_service - self._paused < limit.current
            and self._in_service < limit.slots
        )

    def _queue_key(self, ticket: admission.Ticket) -> int:
        shed_key = ticket.shed_key
        ratio = self._shares_for(shed_key).usage_ratio(ticket.customer)
        if ratio <= OVERUSE_RATIO:
            return shed_key
        raised = shed_key + int((ratio - OVERUSE_RATIO) * _KEYS_PER_SHARE)
        return min(raised, shed_key | _CLASS_MASK)

    def _shares_for(self, shed_key: int) -> fair_use.CustomerShares:
        importance = shed_key >> _IMPORTANCE_SHIFT
        shares = self._shares.get(importance)
        if shares is None:
            shares = fair_use.CustomerShares(self._clock, self._weight_of)
            self._shares[importance] = shares
        return shares

    def _enqueue(
        self,
        ticket: admission.Ticket,
        latest_start_s: float,
        now_s: float,
    ) -> None:
        queue = self._queue
        key = self._queue_key(ticket)
        if self._is_full_for(key, now_s):
            if key >= queue.highest_key():
                self._refuse_for_capacity(
                    ticket, refusals.RefusalReason.QUEUE_FULL
                )
                return
            self._refuse_for_capacity(
                queue.pop_highest(), refusals.RefusalReason.QUEUE_FULL
            )
        max_wait_s = self._service.max_queue_s
        if ticket.shed_key < _MIN_NON_CRITICAL_KEY:
            max_wait_s *= CRITICAL_WAIT_FACTOR
        expiry_s = min(latest_start_s, now_s + max_wait_s)
        queue.add(ticket, key, expiry_s)
        if expiry_s < self._expiry_s:
            self._schedule_expiry(expiry_s, now_s)

    def _is_full_for(self, key: int, now_s: float) -> bool:
        waiting = len(self._queue)
        max_queue_length = self._max_queue_length(now_s)
        if waiting < max_queue_length:
            return False
        if key >= _MIN_NON_CRITICAL_KEY:
            return True
        if self._queue.highest_key() >= _MIN_NON_CRITICAL_KEY:
            return True
        return waiting >= max_queue_length * CRITICAL_WAIT_FACTOR

    def _occupancy(self, now_s: float) -> float:
        waiting = len(self._queue)
        return waiting / self._max_queue_length(now_s) if waiting else 0.0

    def _max_queue_length(self, now_s: float) -> int:
        elapsed_s = now_s - self._rate_window_start_s
        if elapsed_s >= RATE_WINDOW_S:
            self._service_rate_per_s = self._finished_in_window / elapsed_s
            self._finished_in_window = 0
            self._rate_window_start_s = now_s
        served = int(self._service_rate_per_s * self._service.max_queue_s)
        return max(MIN_QUEUE_LENGTH, served)

    def _start_waiting(self) -> None:
        queue = self._queue
        if not len(queue):
            return
        now_s = self._clock.now_s()
        self._refuse_expired(now_s)
        while len(queue) and self._has_slot():
            self._start(queue.pop_lowest(), now_s)

    def _start(self, ticket: admission.Ticket, now_s: float) -> None:
        self._in_service += 1
        self._shares_for(ticket.shed_key).record_usage(ticket.customer)
        ticket.started_s = now_s
        ticket.start()

    def _schedule_expiry(self, expiry_s: float, now_s: float) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._expiry_s = expiry_s
        self._expiry_timer = self._clock.call_later(
            max(0.0, expiry_s - now_s), self._on_expiry
        )

    def _on_expiry(self) -> None:
        self._expiry_timer = None
        self._expiry_s = math.inf
        now_s = self._clock.now_s()
        self._refuse_expired(now_s)
        self._start_waiting()
        expiry_s = self._queue.next_expiry_s()
        if expiry_s is not None and expiry_s < self._expiry_s:
            self._schedule_expiry(expiry_s, now_s)

    def _refuse_expired(self, now_s: float) -> None:
        expected_s = self._limit.expected_own_time_s
        for ticket in self._queue.pop_expired(now_s):
            if ticket.deadline_s - expected_s <= now_s:
                reason = refusals.RefusalReason.DEADLINE
            else:
                reason = refusals.RefusalReason.SHED
            self._refuse_for_capacity(ticket, reason)

    def _refuse_for_capacity(
        self, ticket: admission.Ticket, reason: refusals.RefusalReason
    ) -> None:
        self._threshold_control.record_refused(self._queue_key(ticket))
        self._refuse(ticket, reason)

    def _refuse(
        self, ticket: admission.Ticket, reason: refusals.RefusalReason
    ) -> None:
        # Jitter spreads the retries of callers that are refused together.
        retry_after_s = MEAN_RETRY_AFTER_S * (0.5 + self._random.random())
        ticket.refuse(refusals.Refusal(reason, retry_after_s=retry_after_s))


def make_admission(
    clock: clocks.Clock,
    random: random_module.Random,
    service: model.Service,
    weight_of: fair_use.WeightOf = fair_use.equal_weight,
    limit: limits.ConcurrencyLimit | None = None,
) -> admission.Admission:
    """Returns the admission control of one upstream.

    Args:
        clock: Time source and scheduler.
        random: Source of jitter.
        service: Limits of the upstream's service.
        weight_of: Weight of a customer in sharing the upstream.
        limit: Concurrency limit in place of the default one.
    """
    return GateAdmission(
        clock,
        random,
        service,
        limit or limits.make_limit(clock, service.slow_start_s),
        weight_of,
    )
