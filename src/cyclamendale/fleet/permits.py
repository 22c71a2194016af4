"""Asks the homes of customers for permits, and answers as a home.

A permit costs one datagram each way inside the failure domain, or nothing if
this host is the home. A home that does not answer is skipped for a while, and
the next in rank is asked. If none answers, the request is refused: it has not
run, and the caller may come back.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
import itertools
import random as random_module
import secrets
from typing import Any

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import permit_codec
from cyclamendale.intents import model
from cyclamendale.quotas import bounds
from cyclamendale.quotas import home_levels
from cyclamendale.quotas import homes
from cyclamendale.quotas import permits
from cyclamendale.quotas import spendings as spendings_module

ANSWER_TIMEOUT_S = 0.03
"""Time after which the next home is asked; a hundred times the round trip
inside a failure domain, and more than a slow host needs."""

SKIP_SILENT_HOME_S = 1.0
"""How long a home that did not answer is asked last."""

UNANSWERED_RETRY_S = 0.3
"""Retry-After if no home answered; by then others know of a lost host."""

MAX_ABANDONED_ASKS = 1_000
"""Unanswered asks that are remembered, to refund permits that come late."""

_INCARNATION_BITS = 31


class _PendingAsk:
    """A request that waits for a permit."""

    __slots__ = ("customer", "is_repeated", "receiver", "timer", "untried")

    def __init__(
        self,
        customer: ids.CustomerId,
        receiver: permits.PermitReceiver,
        untried: list[ids.PeerAddress],
    ) -> None:
        self.customer = customer
        self.receiver = receiver
        self.untried = untried
        self.is_repeated = False
        self.timer: clocks.DelayedCall | None = None


class Permits(permits.PermitSource):
    """Permits of one host, as an asking host and as a home."""

    def __init__(
        self,
        clock: clocks.Clock,
        own_address: ids.PeerAddress,
        own_domain: ids.FailureDomainName,
        home_map: homes.HomeMap,
        levels: home_levels.HomeLevels,
        transmit: Callable[[ids.PeerAddress, bytes], None],
        log: Any,
    ) -> None:
        self._clock = clock
        self._own_address = own_address
        self._own_domain = own_domain
        self._home_map = home_map
        self._levels = levels
        self._transmit = transmit
        self._log = log
        self._sender = spendings_module.Sender(
            own_address, own_domain, secrets.randbits(_INCARNATION_BITS)
        )
        self._ask_ids = itertools.count(1)
        self._pending: dict[int, _PendingAsk] = {}
        self._abandoned: dict[int, ids.PeerAddress] = {}
        self._silent_until_s: dict[ids.PeerAddress, float] = {}
        self._refused_until_s: dict[ids.CustomerId, float] = {}
        self._unasked_arrivals: dict[ids.CustomerId, int] = {}
        self._tell_timer: clocks.DelayedCall | None = None

    def set_customers(
        self, customers: Mapping[ids.CustomerId, model.Customer]
    ) -> None:
        """Sets the customers of the configuration in force."""
        self._levels.set_customers(customers)

    def set_view(self, view: homes.DomainView) -> None:
        """Sets the hosts that may be homes."""
        self._levels.set_view(view)

    def stop(self) -> None:
        """Tells the other homes what they do not know yet."""
        clocks.cancel(self._tell_timer)
        self._tell()

    # Asking.

    def request(
        self, name: ids.CustomerId, receiver: permits.PermitReceiver
    ) -> None:
        """See base class."""
        if not self._levels.is_limited(name):
            receiver(None)
            return
        wait_s = self._refused_until_s.get(name, 0.0) - self._clock.now_s()
        if wait_s > 0:
            # The home refused just now; the arrival still counts as demand.
            self._unasked_arrivals[name] = (
                self._unasked_arrivals.get(name, 0) + 1
            )
            receiver(wait_s)
            return
        self._ask(_PendingAsk(name, receiver, self._homes_to_ask(name)))

    def refund(self, name: ids.CustomerId) -> None:
        """See base class."""
        if not self._levels.is_limited(name):
            return
        home = self._homes_to_ask(name)[0]
        if home == self._own_address:
            self._levels.refund(name)
            self._schedule_tell()
        else:
            self._send(home, permit_codec.Refund(name))

    def get_state(self, name: ids.CustomerId) -> bounds.QuotaState | None:
        """See base class."""
        return self._levels.get_state(name)

    def _homes_to_ask(self, name: ids.CustomerId) -> list[ids.PeerAddress]:
        """Returns the homes of the own domain; silent ones come last."""
        now_s = self._clock.now_s()
        ranked = self._home_map.ranked(self._own_domain, name)
        return sorted(
            ranked or (self._own_address,),
            key=lambda home: self._silent_until_s.get(home, 0.0) > now_s,
        )

    def _ask(self, ask: _PendingAsk) -> None:
        if not ask.untried:
            ask.receiver(UNANSWERED_RETRY_S)
            return
        home = ask.untried.pop(0)
        arrivals = 1 + self._unasked_arrivals.pop(ask.customer, 0)
        if home == self._own_address:
            self._conclude(ask, self._admit(ask.customer, arrivals))
            return
        ask_id = next(self._ask_ids)
        self._pending[ask_id] = ask
        ask.timer = self._clock.call_later(
            ANSWER_TIMEOUT_S, self._on_silence, ask_id, home
        )
        self._send(
            home,
            permit_codec.Ask(self._own_address, ask_id, ask.customer, arrivals),
        )

    def _on_silence(self, ask_id: int, home: ids.PeerAddress) -> None:
        ask = self._pending.pop(ask_id)
        if len(self._abandoned) >= MAX_ABANDONED_ASKS:
            self._abandoned.clear()
        self._abandoned[ask_id] = home
        now_s = self._clock.now_s()
        if not ask.is_repeated:
            # The datagram may be lost. Another home would be a second one.
            ask.is_repeated = True
            ask.untried.insert(0, home)
        else:
            ask.is_repeated = False
            if self._silent_until_s.get(home, 0.0) < now_s:
                self._log.belief("quota-home-silent", home=home)
            self._silent_until_s[home] = now_s + SKIP_SILENT_HOME_S
        self._ask(ask)

    def _conclude(self, ask: _PendingAsk, wait_s: float | None) -> None:
        if wait_s is not None:
            self._refused_until_s[ask.customer] = self._clock.now_s() + min(
                wait_s, home_levels.INTERVAL_S
            )
        ask.receiver(wait_s)

    # Answering as a home.

    def handle_datagram(self, data: bytes) -> None:
        """Handles a datagram of another host."""
        message = permit_codec.decode(data)
        match message:
            case permit_codec.Ask():
                self._answer(message)
            case permit_codec.Answer():
                self._on_answer(message)
            case permit_codec.Refund(customer):
                self._levels.refund(customer)
                self._schedule_tell()
            case permit_codec.SpendingNews(sender, spendings):
                for spending in spendings:
                    self._levels.record_spending(sender, spending)
            case None:
                self._log.belief("permit-malformed", size_bytes=len(data))

    def _answer(self, ask: permit_codec.Ask) -> None:
        if self._levels.is_limited(ask.customer):
            wait_s = self._admit(ask.customer, ask.arrivals)
            answer_s = permit_codec.GRANTED if wait_s is None else wait_s
        else:
            answer_s = permit_codec.UNKNOWN_CUSTOMER
        self._send(
            ask.sender,
            permit_codec.Answer(ask.ask_id, ask.customer, round(answer_s, 3)),
        )

    def _on_answer(self, answer: permit_codec.Answer) -> None:
        ask = self._pending.pop(answer.ask_id, None)
        is_granted = answer.wait_s == permit_codec.GRANTED
        if ask is None:
            home = self._abandoned.pop(answer.ask_id, None)
            if is_granted and home is not None:
                # Another home was asked meanwhile.
                self._send(home, permit_codec.Refund(answer.customer))
            return
        clocks.cancel(ask.timer)
        if answer.wait_s == permit_codec.UNKNOWN_CUSTOMER:
            self._ask(ask)
        else:
            self._conclude(ask, None if is_granted else answer.wait_s)

    def _admit(self, name: ids.CustomerId, arrivals: int) -> float | None:
        wait_s = self._levels.admit(name, arrivals)
        self._schedule_tell()
        return wait_s

    # Telling other homes.

    def _schedule_tell(self) -> None:
        if self._tell_timer is None:
            self._tell_timer = self._clock.call_later(
                home_levels.INTERVAL_S, self._tell
            )

    def _tell(self) -> None:
        self._tell_timer = None
        news: dict[ids.PeerAddress, list[spendings_module.Spending]] = {}
        for spending in self._levels.take_changed():
            for home in self._other_homes(spending.customer):
                news.setdefault(home, []).append(spending)
        for home, spendings in news.items():
            self._send(home, permit_codec.SpendingNews(self._sender, spendings))

    def _other_homes(self, name: ids.CustomerId) -> set[ids.PeerAddress]:
        """Returns the other hosts that may admit requests of a customer.

        A host that stands in for its domain's home tells the stand-ins of
        other domains too; they would not hear of each other otherwise.
        """
        others = set(self._levels.recent_others(name))
        own_ranked = self._home_map.ranked(self._own_domain, name)
        is_first = own_ranked[:1] == (self._own_address,)
        others.update(own_ranked)
        for domain in self._home_map.view:
            if domain != self._own_domain:
                ranked = self._home_map.ranked(domain, name)
                others.update(ranked[:1] if is_first else ranked)
        others.discard(self._own_address)
        return others

    def _send(
        self, receiver: ids.PeerAddress, message: permit_codec.PermitMessage
    ) -> None:
        self._transmit(receiver, permit_codec.encode(message))


def make_permits(
    clock: clocks.Clock,
    random: random_module.Random,
    own_address: ids.PeerAddress,
    own_domain: ids.FailureDomainName,
    bound: bounds.QuotaBound,
    transmit: Callable[[ids.PeerAddress, bytes], None],
    log: Any,
) -> Permits:
    """Returns the permits of a host, without customers at first.

    Args:
        clock: Clock of the host.
        random: Source of randomness.
        own_address: Address at which other hosts reach this one.
        own_domain: Failure domain of the host.
        bound: Bound on what a window may exceed.
        transmit: Sends a datagram to another host.
        log: Log of beliefs.
    """
    home_map = homes.HomeMap()
    levels = home_levels.make_home_levels(
        clock, random, home_map, own_domain, bound
    )
    return Permits(
        clock, own_address, own_domain, home_map, levels, transmit, log
    )
