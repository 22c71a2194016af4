"""Request path of one node over loopback, with permissive policies."""

from __future__ import annotations

import hashlib
import random

from twisted.internet import defer
from twisted.internet import protocol
from twisted.web import resource
from twisted.web import server

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.configuration import source
from cyclamendale.entry import http_entry
from cyclamendale.filters import context
from cyclamendale.filters import deadline
from cyclamendale.filters import early_shed as early_shed_filter
from cyclamendale.filters import identify
from cyclamendale.filters import match_route
from cyclamendale.forwarding import forwarder
from cyclamendale.forwarding import policy
from cyclamendale.intents import model
from cyclamendale.membership import directory
from cyclamendale.overload import admission
from cyclamendale.overload import early_shed
from cyclamendale.overload import feedback
from cyclamendale.overload import target_choice
from cyclamendale.peer import call_client
from cyclamendale.peer import call_server
from cyclamendale.peer import thrift_network
from cyclamendale.upstream import gate as gates

SECRET = b"fleet-secret"
KEY = b"masons-key"
DIGEST = ids.KeyDigest(hashlib.sha256(KEY).hexdigest())


def configuration(**route_fields) -> model.Configuration:
    """Returns a configuration with one service, route, customer and key."""
    fields = {"path_prefix": "/shop", "deadline_s": 5.0, **route_fields}
    route = model.Route(
        ids.RouteName("shop"), ids.ServiceName("shop"), **fields
    )
    masons = ids.CustomerId("masons")
    return model.Configuration(
        version=ids.ConfigVersion(7),
        services={route.service: model.Service(route.service)},
        routes={route.name: route},
        customers={masons: model.Customer(masons, 100.0, 100.0)},
        keys={DIGEST: model.Key(DIGEST, masons)},
        sources={
            ("route", "shop"): ids.IntentFileName("20-shop.toml"),
            ("key", DIGEST): ids.IntentFileName("40-key.toml"),
        },
    )


class OpenAdmission(admission.Admission):
    """Admission that starts every request at once.

    Attributes:
        holds_requests: Whether requests stay in `waiting` instead.
        finished: Completions of the finished requests, in order.
        paused: Tickets of paused requests.
        on_finish: Called once, when the next request finishes.
    """

    def __init__(self):
        self.finished = []
        self.paused = []
        self.closed = False
        self.on_finish = lambda: None
        self.holds_requests = False
        self.waiting = []

    def submit(self, ticket):
        if self.holds_requests:
            self.waiting.append(ticket)
            return
        ticket.started_s = 0.0
        ticket.start()

    def finish(self, ticket, own_time_s, completion):
        self.finished.append(completion)
        notify, self.on_finish = self.on_finish, lambda: None
        notify()

    def pause(self, ticket):
        self.paused.append(ticket)

    def resume(self, ticket):
        self.paused.remove(ticket)

    def withdraw(self, ticket):
        if ticket not in self.waiting:
            return False
        self.waiting.remove(ticket)
        return True

    def set_capacity(self, slots, connections):
        self.slots = slots

    def set_service(self, service):
        self.service = service

    def close(self):
        self.closed = True

    def reopen(self, cold):
        self.closed = False

    @property
    def queued(self):
        return 0

    def feedback(self):
        return feedback.Feedback()


class FirstTargetChooser(target_choice.TargetChooser):
    """Chooses the first target that is not excluded."""

    def __init__(self):
        self.members = []
        self.outcomes = []

    def choose(self, service, excluded):
        return next((m for m in self.members if m.node not in excluded), None)

    def record_sent(self, target):
        self.last_target = target

    def record_answer(self, target, duration_s, succeeded, answer_feedback):
        self.outcomes.append((target, succeeded))

    def record_leaving(self, target):
        self.leaving_target = target


class NoShedder(early_shed.EarlyShedder, early_shed.FairUseTracker):
    """Early shedder and fair use tracker that never shed."""

    def should_shed(self, route, shed_key):
        return False

    def observe(self, route, answer_feedback):
        self.last_feedback = answer_feedback

    def record_request(self, customer, route):
        return 0


class UnlimitedRetryPolicy(policy.RetryPolicy):
    """Retry policy that allows every retry and hedge.

    Attributes:
        hedge_after_s: Hedging delay, or None for no hedging.
        retries: Number of retries that were requested.
    """

    hedge_after_s = None
    retries = 0

    def record_call(self, route):
        return self.hedge_after_s

    def may_retry(self, importance):
        self.retries += 1
        return True

    def may_hedge(self, route):
        return True

    def record_duration(self, route, duration_s):
        self.last_duration_s = duration_s


class PathNode:
    """Entry, gate and peer network of one node.

    Attributes:
        outcomes: Outcomes that the entry reported, in order.
        admissions: Admissions that the gate made, in order.
    """

    def __init__(
        self, reactor, fixed_configuration: model.Configuration
    ) -> None:
        self.reactor = reactor
        self.clock = clocks.SystemClock(reactor)
        self.configuration = source.FixedConfiguration(fixed_configuration)
        self.chooser = FirstTargetChooser()
        self.shedder = NoShedder()
        self.policy = UnlimitedRetryPolicy()
        self.outcomes = []
        self.admissions = []
        self.network = thrift_network.ThriftPeerNetwork(
            reactor, self.clock, SECRET
        )
        self.gate = gates.Gate(
            reactor,
            self.clock,
            random.Random(1),
            self._make_admission,
            lambda own, context: own,
        )
        call_server.CallServer(self.network, self.clock, self.gate)
        port = self.network.listen("127.0.0.1", 0)
        self.address = ids.PeerAddress(f"127.0.0.1:{port}")
        self.node = ids.make_node_id(self.address)
        self.entry = http_entry.Entry(
            self.clock,
            self.configuration,
            forwarder.Forwarder(
                self.clock,
                self.chooser,
                self.shedder,
                self.policy,
                self.transport_for,
            ),
            lambda call, outcome: self.outcomes.append(outcome),
        )
        self.entry.set_filters(
            [
                identify.IdentifyFilter(self.gate.contexts, self.configuration),
                match_route.MatchRouteFilter(),
                context.ContextFilter(self.shedder),
                deadline.DeadlineFilter(self.clock),
                early_shed_filter.EarlyShedFilter(
                    self.shedder, random.Random(1)
                ),
            ]
        )
        self._port = reactor.listenTCP(
            0, self.entry.make_factory(), interface="127.0.0.1"
        )
        self.http_port = self._port.getHost().port

    def _make_admission(self, announced):
        self.admissions.append(OpenAdmission())
        return self.admissions[-1]

    def transport_for(self, target):
        if target.node == self.node:
            return self.gate
        return call_client.RemoteCallTransport(
            self.network, self.clock, target.address
        )

    def member(self) -> directory.Member:
        return directory.Member(
            self.node, self.address, ids.FailureDomainName("north"), 1
        )

    def announce(self, address: str, state=directory.UpstreamState.READY):
        self.gate.set_upstream(
            directory.Announcement(
                ids.ServiceName("shop"), address, 10, 100, state
            )
        )

    def close(self):
        self.gate.close_connections()
        return defer.gatherResults(
            [
                defer.maybeDeferred(self._port.stopListening),
                self.network.close(),
            ]
        )


class ScriptedUpstream(resource.Resource):
    """Upstream whose answers are a function of the request."""

    isLeaf = True

    def __init__(self, render):
        super().__init__()
        self.render = render
        self.requests = 0


def listen_site(reactor, root) -> tuple[object, str]:
    """Serves a twisted.web resource; returns its port and address."""
    site = server.Site(root)
    site.noisy = False
    port = reactor.listenTCP(0, site, interface="127.0.0.1")
    return port, f"127.0.0.1:{port.getHost().port}"


class RawClient(protocol.Protocol):
    """Client that records the received bytes.

    Attributes:
        closed: Fires with all received bytes when the connection closes.
    """

    def __init__(self):
        self.received = bytearray()
        self.closed = defer.Deferred()
        self._pending_wait = None
        self.paused = False

    def dataReceived(self, data):
        self.received += data
        self._check()

    def wait_for(self, predicate):
        """Returns a deferred that fires once `predicate(received)` holds."""
        fired = defer.Deferred()
        self._pending_wait = (predicate, fired)
        self._check()
        return fired

    def _check(self):
        if self._pending_wait and self._pending_wait[0](self.received):
            fired = self._pending_wait[1]
            self._pending_wait = None
            fired.callback(bytes(self.received))

    def connectionLost(self, reason):
        self.reason = reason
        self.closed.callback(bytes(self.received))
