"""From a caller's request to its answer, with runners that the test plays."""

from __future__ import annotations

import random

import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.fleet import routing
from cyclamendale.fleet import shutdown
from cyclamendale.intents import keys
from cyclamendale.intents import model
from cyclamendale.overload import call_frequency
from cyclamendale.overload import fleet_retries
from cyclamendale.overload import placement
from cyclamendale.overload import root_admission
from cyclamendale.platform import exchange as names
from cyclamendale.proxy import calls
from cyclamendale.proxy import dispatcher
from cyclamendale.proxy import messages
from cyclamendale.quotas import fleet_levels
from tests.support import fake_log

REASON = refusals.RefusalReason
NOT_RUN = refusals.Execution.NOT_RUN
UNKNOWN = refusals.Execution.UNKNOWN

CONFIGURATION = model.Configuration(
    version=3,
    services={"wash": model.Service("wash")},
    routes={
        "read": model.Route(
            "read", "wash", "/read/",
            idempotent=True, deadline_s=1.0, virtual_host="one",
            max_attempts=2,
        ),
        "long": model.Route(
            "long", "wash", "/long/", deadline_s=5.0, virtual_host="one",
        ),
        "write": model.Route(
            "write", "wash", "/write/", deadline_s=1.0, virtual_host="one",
            max_attempts=2,
        ),
        "inner": model.Route(
            "inner", "wash", "/inner/", idempotent=True, open=True,
            deadline_s=1.0, virtual_host="one", max_attempts=2,
        ),
    },
    customers={"big": model.Customer("big", 0, 0)},
    keys={keys.digest_of("k1"): model.Key(keys.digest_of("k1"), "big")},
)  # fmt: skip


class FakeExchange:
    def __init__(self, path, key=b"k1", host=b"one", remaining_s=5.0):
        self.request = request = messages.CallerRequest()
        request.method = b"GET"
        request.path = path
        request.host = host
        request.key = key
        request.request_id = b"r1"
        request.remaining_s = remaining_s
        self.cancel = None
        self.is_over = False
        self.answers = []

    def respond(self, status, lines, body):
        self.answers.append((status, lines, body))

    @property
    def status(self):
        (answer,) = self.answers
        return answer[0]


class FakeRunner(messages.Runner):
    """Notes the requests; outcomes come from the test, in turn."""

    def __init__(self):
        self.works = []
        self.receivers = []
        self.cancelled = 0

    def run(self, work, receiver):
        self.works.append((work.head, work.upstream_id))
        self.receivers.append(receiver)
        return self

    def cancel(self):
        self.cancelled += 1


class FakeObserver:
    def __init__(self):
        self.notes = []

    def record_answer(self, work, status, arrived_s):
        self.notes.append(("answered", status))

    def record_refusal(self, request, route, customer, refusal, version):
        self.notes.append(("refused", refusal.reason))

    def record_shedding(self, work, cause):
        self.notes.append(("shed", cause.service))

    def record_over_quota(self, work, customer, state):
        self.notes.append(("over-quota", customer))

    def record_caller_left(self, work):
        self.notes.append(("left",))


class DispatcherCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        clock = clocks.ReactorClock(self.reactor)
        randomness = random.Random(1)
        self.pressure = 0.0
        self.observer = FakeObserver()
        self.shutdown = shutdown.Shutdown(clock)
        self.log = fake_log.FakeLog()
        self.runners = {"a": FakeRunner(), "b": FakeRunner()}
        self.candidates = [
            placement.Candidate("a", "north"),
            placement.Candidate("b", "south"),
        ]
        for found in self.candidates:
            found.slots = 100
        graph = call_frequency.CallGraph()
        self.quotas = fleet_levels.make_fleet_quotas(clock, randomness)
        self.retries = fleet_retries.make_fleet_retries(
            clock, randomness, 0.2, 10.0, 50.0
        )
        self.retries.request("wash")
        self.retries.share_out(set())
        self.dispatcher = dispatcher.Dispatcher(
            calls.DispatcherParts(
                clock,
                randomness,
                names.DIALECT,
                placement.Placement(
                    randomness, "own", "north", lambda _: self.candidates
                ),
                root_admission.RootAdmission(
                    clock, randomness, graph.chain, lambda _: self.pressure
                ),
                self.retries,
                self.quotas,
                call_frequency.LocalFrequencies(),
                graph.chain,
                self.runners.__getitem__,
                lambda: "own",
                self.shutdown,
                self.observer,
                self.log,
            )
        )
        self.dispatcher.start()
        self.dispatcher.configure(routing.RoutingTable(CONFIGURATION))

    def handle(self, path=b"/read/x", **values):
        held = FakeExchange(path, **values)
        held.request.arrived_s = self.reactor.seconds()
        self.dispatcher.handle(held)
        return held

    def give(self, host, outcome, index=-1):
        self.runners[host].receivers[index](outcome)


def answer(status=200):
    return messages.Answer(status, b"", b"whole")


def refusal(reason, execution=NOT_RUN):
    return refusals.Refusal(reason, execution)


class RefusedAtOnceTest(DispatcherCase):
    scenarios = [
        ("unknown host", {"values": {"host": b"two"}, "status": 404}),
        ("unknown path", {"values": {"path": b"/none/"}, "status": 404}),
        ("prefix without its slash", {"values": {"path": b"/read"},
                                      "status": 404}),
        ("no key", {"values": {"key": None}, "status": 401}),
        ("unknown key", {"values": {"key": b"k9"}, "status": 401}),
    ]  # fmt: skip

    def test_with_a_final_status(self):
        held = self.handle(**self.values)
        self.assertEqual(self.status, held.status)
        self.assertEqual([], self.runners["a"].works)

    def test_not_found_is_never_said_before_a_configuration(self):
        self.dispatcher._routing = None
        held = self.handle(**self.values)
        self.assertEqual(503, held.status)
        self.assertIn(b"Retry-After", held.answers[0][1])


class OutcomeTest(DispatcherCase):
    scenarios = [
        ("answer", {
            "path": b"/read/x", "outcomes": [("a", answer())],
            "status": 200}),
        ("failure of the upstream, then an answer", {
            "path": b"/read/x",
            "outcomes": [("a", answer(500)), ("b", answer())],
            "status": 200}),
        ("two failures, the second is passed on", {
            "path": b"/read/x",
            "outcomes": [("a", answer(500)), ("b", answer(500))],
            "status": 500}),
        ("lost, then an answer", {
            "path": b"/read/x",
            "outcomes": [("a", refusal(REASON.LOST, UNKNOWN)),
                         ("b", answer())],
            "status": 200}),
        ("lost, then refused: it may have run", {
            "path": b"/read/x",
            "outcomes": [("a", refusal(REASON.LOST, UNKNOWN)),
                         ("b", refusal(REASON.QUEUE_FULL))],
            "status": 502}),
        ("refused at random by all, asked again", {
            "path": b"/read/x",
            "outcomes": [("a", refusal(REASON.UPSTREAM_REFUSED)),
                         ("b", refusal(REASON.UPSTREAM_REFUSED)),
                         ("a", refusal(REASON.UPSTREAM_REFUSED)),
                         ("a", answer())],
            "status": 200}),
        ("not idempotent, refused without a run, asked again", {
            "path": b"/write/x",
            "outcomes": [("a", refusal(REASON.UPSTREAM_REFUSED)),
                         ("b", refusal(REASON.UPSTREAM_REFUSED)),
                         ("a", answer())],
            "status": 200}),
        ("refused by one and failed by the other, which is not asked", {
            "path": b"/read/x",
            "outcomes": [("a", refusal(REASON.UPSTREAM_REFUSED)),
                         ("b", answer(500)), ("a", answer())],
            "status": 200}),
        ("refused by both gates", {
            "path": b"/read/x",
            "outcomes": [("a", refusal(REASON.QUEUE_FULL)),
                         ("b", refusal(REASON.QUEUE_FULL))],
            "status": 503}),
        ("not idempotent and failed", {
            "path": b"/write/x", "outcomes": [("a", answer(500))],
            "status": 500}),
        ("not idempotent and lost", {
            "path": b"/write/x",
            "outcomes": [("a", refusal(REASON.LOST, UNKNOWN))],
            "status": 502}),
        ("not idempotent and certainly not run", {
            "path": b"/write/x",
            "outcomes": [("a", refusal(REASON.LEAVING)), ("b", answer())],
            "status": 200}),
    ]  # fmt: skip

    def test_what_the_caller_gets(self):
        held = self.handle(self.path)
        for host, outcome in self.outcomes:
            self.assertEqual([], held.answers)
            self.give(host, outcome)
        self.assertEqual(self.status, held.status)


class HeadTest(DispatcherCase):
    def test_the_caller_service_and_the_customer_are_stated(self):
        self.handle()
        head, _ = self.runners["a"].works[0]
        self.assertIn(b"X-Cyclamendale-Caller-Service: own\r\n", head)
        self.assertIn(b"X-Cyclamendale-Tenant-Id: big\r\n", head)

    def test_a_call_without_a_key_on_an_open_route_names_no_customer(self):
        self.handle(b"/inner/x", key=None)
        head, _ = self.runners["a"].works[0]
        self.assertNotIn(b"Tenant", head)


class TimeTest(DispatcherCase):
    scenarios = [
        ("the route's time", {"remaining_s": 5.0, "limit_s": 1.0}),
        ("the caller's time", {"remaining_s": 0.4, "limit_s": 0.4}),
        ("a caller that states none", {"remaining_s": None, "limit_s": 1.0}),
    ]

    def test_a_final_answer_comes_when_the_time_is_over(self):
        held = self.handle(remaining_s=self.remaining_s)
        steps = round(self.limit_s / 0.05)
        self.reactor.pump([0.05] * (steps - 1))
        self.assertEqual([], held.answers)
        # The platform allows a quarter of a second.
        self.reactor.pump([0.05] * 6)
        self.assertEqual(504, held.status)
        self.give("a", answer())
        self.assertEqual(1, len(held.answers))


class GoneTest(DispatcherCase):
    def test_a_caller_that_leaves_cancels_the_run(self):
        held = self.handle()
        held.cancel()
        self.assertEqual(1, self.runners["a"].cancelled)
        self.assertIn(("left",), self.observer.notes)
        self.assertEqual(0, self.candidates[0].in_flight)


class QuotaTest(DispatcherCase):
    def test_a_spent_quota_is_refused_with_what_was_known_of_it(self):
        self.quotas.set_customers({"big": model.Customer("big", 1.0, 4.0)})
        self.reactor.advance(2.0)
        self.quotas.start_interval(set(), set())
        held = [self.handle() for _ in range(12)]
        self.assertIn(("over-quota", "big"), self.observer.notes)
        statuses = [each.status for each in held if each.answers]
        self.assertEqual({429}, set(statuses))
        state = self.quotas.get_state("big")
        self.assertEqual((1.0, 1, 1.0), (
            state.rate_per_s, state.host_count,
            state.reachable_share))  # fmt: skip
        self.assertEqual(12 - len(statuses), len(self.runners["a"].works))


class ShutdownTest(DispatcherCase):
    """A node that is killed five seconds after its signal.

    The route's time is one second, that of the other one five.
    """

    scenarios = [
        ("at once, however long it may take", {
            "at_s": 0.0, "path": b"/long/x", "is_taken": True}),
        ("while callers are still on their way", {
            "at_s": 2.6, "path": b"/long/x", "is_taken": True}),
        ("later, if it may last longer than the process", {
            "at_s": 2.8, "path": b"/long/x", "is_taken": False}),
        ("later, if it ends in time", {
            "at_s": 2.8, "path": b"/read/x", "is_taken": True}),
        ("in the last moments", {
            "at_s": 3.5, "path": b"/read/x", "is_taken": False}),
    ]  # fmt: skip

    def test_takes_only_what_it_can_answer(self):
        self.shutdown.begin(5.0)
        self.reactor.advance(self.at_s)
        held = self.handle(self.path)
        if self.is_taken:
            self.assertEqual([], held.answers)
        else:
            self.assertEqual(503, held.status)
            self.assertEqual([], self.runners["a"].works)


class PressureTest(DispatcherCase):
    def test_roots_are_refused_with_a_time_to_come_back(self):
        self.pressure = 1.0
        statuses = [self.handle().answers for _ in range(40)]
        refused = [held[0] for held in statuses if held]
        self.assertGreater(len(refused), 30)
        self.assertEqual(503, refused[0][0])
        self.assertIn(b"Retry-After: ", refused[0][1])

    def test_the_cause_is_noted(self):
        self.pressure = 1.0
        for _ in range(40):
            self.handle()
        self.assertIn(("shed", "wash"), self.observer.notes)

    def test_onward_calls_are_not(self):
        self.pressure = 1.0
        for _ in range(40):
            self.handle(b"/inner/x", key=None)
        self.assertEqual(40, len(self.runners["a"].works))
