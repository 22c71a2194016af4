"""Test bench for one HTTP entry on a virtual clock.

The test sends the bytes of the caller and answers the attempts.
"""

from __future__ import annotations

import random
import re

from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.configuration import source
from cyclamendale.entry import http_entry
from cyclamendale.entry import retry_budget
from cyclamendale.filters import context
from cyclamendale.filters import deadline
from cyclamendale.filters import early_shed
from cyclamendale.filters import identify
from cyclamendale.filters import match_route
from cyclamendale.filters import once
from cyclamendale.forwarding import forwarder
from cyclamendale.intents import model
from cyclamendale.membership import directory
from cyclamendale.upstream import contexts
from tests.support import gate_bench
from tests.support import held_exchange
from tests.support import path_node

ANSWER_PATTERN = re.compile(
    rb"HTTP/1.1 (\d+).*?\r\nX-Cyclamendale-Outcome: ([a-z-]+)"
    rb"(?:\r\nX-Cyclamendale-Reason: ([a-z-]+))?",
    re.DOTALL,
)


class StrictClock(task.Clock):
    """Virtual clock that rejects negative delays, as a reactor does."""

    def callLater(self, delay, function, *args, **kwargs):
        assert delay >= 0, delay
        return super().callLater(delay, function, *args, **kwargs)


class Connection:
    """Connection of one caller to the entry.

    Attributes:
        is_write_closed: Whether the entry closed its side for writing.
    """

    def __init__(self, bench):
        self.channel = bench.entry.make_factory().buildProtocol(None)
        self.channel.callLater = bench.reactor.callLater
        self.transport = gate_bench.StringTransport()
        self.transport.loseWriteConnection = self._lose_write
        self.is_write_closed = False
        self.channel.makeConnection(self.transport)

    def _lose_write(self):
        self.is_write_closed = True

    def send(self, data):
        self.channel.dataReceived(data)

    def close(self):
        self.channel.connectionLost(gate_bench.CLOSED)

    @property
    def received(self):
        return self.transport.value()

    @property
    def outcomes(self):
        """Status, outcome and reason of each answer, in order."""
        return [
            (int(status), outcome.decode(), reason.decode() or None)
            for status, outcome, reason in ANSWER_PATTERN.findall(self.received)
        ]


class EntryBench:
    """Entry with the real filters, whose attempts the test answers.

    Attributes:
        contexts: Contexts of the requests that run on the upstream.
        attempts: Attempts that the entry opened, in order.
        outcomes: Outcomes that the entry reported, in order.
        never_sent: Whether cancelled attempts report that nothing was
            sent; applies to attempts opened afterwards.
    """

    def __init__(self, table=None, configuration=None, **route_fields):
        self.reactor = StrictClock()
        self.clock = clocks.ReactorClock(self.reactor)
        self.contexts = contexts.ContextTable()
        self.attempts = []
        self.outcomes = []
        self.never_sent = False
        configuration_source = source.FixedConfiguration(
            configuration or path_node.configuration(**route_fields)
        )
        chooser = path_node.FirstTargetChooser()
        chooser.members = [
            directory.Member(
                ids.NodeId(f"n{number}"),
                ids.PeerAddress(f"n{number}"),
                ids.FailureDomainName("north"),
                1,
            )
            for number in range(3)
        ]
        shedder = path_node.NoShedder()
        self.entry = http_entry.Entry(
            self.clock,
            configuration_source,
            forwarder.Forwarder(
                self.clock,
                chooser,
                shedder,
                path_node.UnlimitedRetryPolicy(),
                lambda target: held_exchange.HeldTransport(self._open),
            ),
            lambda call, outcome: self.outcomes.append(outcome),
        )
        filters = [
            identify.IdentifyFilter(self.contexts, configuration_source),
            match_route.MatchRouteFilter(),
            context.ContextFilter(shedder),
            deadline.DeadlineFilter(self.clock),
            early_shed.EarlyShedFilter(shedder, random.Random(1)),
        ]
        if table is not None:
            filters.append(once.OnceFilter(table))
        self.entry.set_filters(filters)

    def _open(self, envelope, receiver):
        held = held_exchange.HeldExchange(envelope, receiver, self.never_sent)
        self.attempts.append(held)
        return held

    def connect(self):
        """Returns a new connection to the entry."""
        return Connection(self)

    def add_context(self):
        """Adds a request that runs on the upstream; returns its context."""
        running = contexts.Context(
            ids.RequestId("parent"),
            ids.CustomerId("masons"),
            ids.RouteName("shop"),
            model.Importance.NORMAL,
            1000.0,
            0,
            0,
            retry_budget.RetryBudget(3),
        )
        self.contexts.add(running)
        return running
