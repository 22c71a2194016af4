"""Controller of a node's quotas: admits requests, draws, returns tokens."""

from __future__ import annotations

import random

from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.configuration import source
from cyclamendale.controllers import _quota_borrowing
from cyclamendale.controllers import _quota_draws
from cyclamendale.controllers import _quota_locator
from cyclamendale.controllers import base
from cyclamendale.controllers import quota_holder
from cyclamendale.controllers import quota_leases
from cyclamendale.membership import directory
from cyclamendale.peer import network
from cyclamendale.quotas import gate
from cyclamendale.quotas import holder_map
from cyclamendale.quotas import lease
from cyclamendale.quotas import token_cache
from cyclamendale.store import table

MAX_WAIT_S = 1.0
"""Maximum time that a request waits for a token."""

MAX_WAITING_REQUESTS = 1024
"""Maximum number of a customer's requests that wait on one node."""

_MIN_RETRY_AFTER_S = 0.1
_UNAVAILABLE_RETRY_AFTER_S = 1.0


class QuotaController(base.Controller, gate.QuotaGate):
    """Admits requests with tokens that were drawn ahead of demand."""

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        configuration: source.ConfigurationSource,
        holder_service: quota_holder.QuotaHolderService,
        drawer: _quota_draws.Drawer,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._configuration = configuration
        self._holder_service = holder_service
        self._drawer = drawer
        self._tokens = drawer.tokens
        self._tick_call: clocks.DelayedCall | None = None
        self._last_tick_s = 0.0
        self._is_stopping = False

    def start(self) -> None:
        """See base class."""
        self._holder_service.start()
        self._last_tick_s = self._clock.now_s()
        self._tick()

    def stop(self) -> defer.Deferred[None]:
        """Returns the tokens, then releases the leases; see base class."""
        self._is_stopping = True
        if self._tick_call is not None:
            self._tick_call.cancel()
        for tokens in self._tokens.values():
            tokens.finish_waiters(token_cache.WaitOutcome.UNAVAILABLE)
        returned = self._drawer.return_all()
        returned.addCallback(lambda _: self._holder_service.stop())
        return returned

    def held_shards(self) -> list[ids.ShardId]:
        """Returns the shards whose lease this node holds."""
        return self._holder_service.held_shards()

    def admit(
        self, customer: ids.CustomerId, deadline_s: float
    ) -> refusals.Refusal | None | defer.Deferred[refusals.Refusal | None]:
        """See base class."""
        tokens = self._tokens.get(customer)
        if tokens is not None and tokens.spend(self._clock.now_s()):
            return None
        return self._admit_or_wait(customer, deadline_s)

    def _admit_or_wait(
        self, customer: ids.CustomerId, deadline_s: float
    ) -> refusals.Refusal | None | defer.Deferred[refusals.Refusal | None]:
        """Spends a token of a later grant, or waits for a draw."""
        if self._is_stopping:
            return self._make_refusal(
                customer, token_cache.WaitOutcome.UNAVAILABLE
            )
        entry = self._configuration.current.customers.get(customer)
        if entry is None:
            return self._make_refusal(
                customer, token_cache.WaitOutcome.NO_TOKENS
            )
        now_s = self._clock.now_s()
        tokens = self._drawer.get_tokens(customer)
        if tokens.spend_unexpired(now_s):
            return None
        is_exhausted = now_s < tokens.backoff_until_s
        refill_tokens = int(entry.rate_per_s * token_cache.MAX_REFILL_WAIT_S)
        max_waiting = (
            min(MAX_WAITING_REQUESTS, 1 + refill_tokens)
            if is_exhausted
            else MAX_WAITING_REQUESTS
        )
        if len(tokens.waiters) >= max_waiting:
            return self._make_refusal(
                customer, token_cache.WaitOutcome.NO_TOKENS
            )
        admission = _PendingAdmission(self, customer)
        tokens.waiters.append(
            token_cache.Waiter(
                now_s, min(deadline_s, now_s + MAX_WAIT_S), admission.finish
            )
        )
        if not is_exhausted:
            self._drawer.draw(tokens)
        return admission.get_result()

    def _make_refusal(
        self, customer: ids.CustomerId, outcome: token_cache.WaitOutcome
    ) -> refusals.Refusal:
        configuration = self._configuration.current
        entry = configuration.customers.get(customer)
        reason = refusals.RefusalReason.QUOTA
        wait_s = _MIN_RETRY_AFTER_S
        if outcome is token_cache.WaitOutcome.UNAVAILABLE:
            reason = refusals.RefusalReason.QUOTA_UNAVAILABLE
            wait_s = _UNAVAILABLE_RETRY_AFTER_S
        elif entry is not None and entry.rate_per_s > 0:
            wait_s = max(wait_s, 1.0 / entry.rate_per_s)
        return refusals.Refusal(
            reason,
            decider=configuration.decider("customer", customer, "rate_per_s"),
            retry_after_s=wait_s * self._rng.uniform(1.0, 2.0),
        )

    def _tick(self) -> None:
        self._tick_call = self._clock.call_later(
            token_cache.TICK_INTERVAL_S, self._tick
        )
        now_s = self._clock.now_s()
        elapsed_s = max(now_s - self._last_tick_s, 1e-3)
        self._last_tick_s = now_s
        self._drawer.tick(now_s, elapsed_s)


class _PendingAdmission:
    """The result of a wait for a token, known at once or later."""

    __slots__ = ("_controller", "_customer", "_deferred", "_outcome")

    def __init__(
        self, controller: QuotaController, customer: ids.CustomerId
    ) -> None:
        self._controller = controller
        self._customer = customer
        self._outcome: token_cache.WaitOutcome | None = None
        self._deferred: defer.Deferred[refusals.Refusal | None] | None = None

    def finish(self, outcome: token_cache.WaitOutcome) -> None:
        """Sets the outcome of the wait."""
        self._outcome = outcome
        if self._deferred is not None:
            self._deferred.callback(self._make_refusal())

    def get_result(
        self,
    ) -> refusals.Refusal | None | defer.Deferred[refusals.Refusal | None]:
        """Returns the result, or a Deferred that fires with it."""
        if self._outcome is not None:
            return self._make_refusal()
        self._deferred = defer.Deferred()
        return self._deferred

    def _make_refusal(self) -> refusals.Refusal | None:
        assert self._outcome is not None
        if self._outcome is token_cache.WaitOutcome.ADMITTED:
            return None
        return self._controller._make_refusal(self._customer, self._outcome)


def make_quota_controller(
    clock: clocks.Clock,
    rng: random.Random,
    members: directory.Directory,
    platform_table: table.Table,
    peers: network.PeerNetwork,
    configuration: source.ConfigurationSource,
    event_log: events.EventLog,
    settings: lease.LeaseSettings | None = None,
) -> QuotaController:
    """Returns the quota controller of a node, with all its components.

    Args:
        clock: Time source and scheduler.
        rng: Source of jitter and of write IDs.
        members: The known members; the own entry identifies this node.
        platform_table: The platform's table.
        peers: Sends requests to other nodes.
        configuration: The configuration in force.
        event_log: Where lease changes are recorded.
        settings: Timing of the leases; the defaults if None.
    """
    own = members.own()
    holders = holder_map.HolderMap()
    leases = quota_leases.QuotaLeases(
        clock,
        rng,
        own,
        members,
        platform_table,
        configuration,
        event_log,
        holders,
        settings or lease.LeaseSettings(),
    )
    locator = _quota_locator.HolderLocator(
        clock, rng, own.node, members, platform_table, peers, holders
    )
    borrower = _quota_borrowing.Borrower(clock, rng, peers, leases, locator)
    holder_service = quota_holder.QuotaHolderService(
        clock, own.node, peers, leases, holders, borrower
    )
    drawer = _quota_draws.Drawer(
        clock, rng, own, peers, leases, holder_service, locator
    )
    return QuotaController(clock, rng, configuration, holder_service, drawer)
