"""Gate of an upstream that names how many requests it takes."""

from __future__ import annotations

from cyclamendale import refusals
from cyclamendale.proxy import gate as gates
from tests import test_overload_start_limit as start_limits
from tests import test_proxy_gate

LIMIT_PER_S = 20.0
SERVICE_TIME_S = 0.1
ARRIVALS_PER_S = 100
TIMEOUT_S = 0.8


class OverloadTest(test_proxy_gate.GateCase):
    """Callers send five times what the upstream takes."""

    def setUp(self):
        super().setUp()
        self.urgent_reports = 0
        self.named_per_s = LIMIT_PER_S
        self.starts_s = []

    def build_gate(self, on_state_change):
        return super().build_gate(self.count_urgent_report)

    def count_urgent_report(self):
        self.urgent_reports += 1

    def respond_due(self):
        now_s = self.reactor.seconds()
        while len(self.starts_s) < len(self.pool.sent):
            self.starts_s.append(now_s)
        while (
            self.responded < len(self.starts_s)
            and self.starts_s[self.responded] + SERVICE_TIME_S <= now_s
        ):
            self.pool.respond(self.responded, limit_per_s=self.named_per_s)
            self.responded += 1

    def overload(self, duration_s):
        self.responded = 0
        for _ in range(round(duration_s * ARRIVALS_PER_S)):
            now_s = self.reactor.seconds()
            self.run_request(deadline_s=now_s + TIMEOUT_S, aim_s=now_s + 0.5)
            self.reactor.advance(1.0 / ARRIVALS_PER_S)
            self.respond_due()

    # An upstream got whatever callers sent, whatever limit it named.
    def test_the_upstream_gets_what_it_takes(self):
        self.open(slots=100)
        self.overload(12.0)
        steady = [each for each in self.starts_s if each >= 0.5]
        self.assertLessEqual(
            start_limits.most_in_window(steady),
            start_limits.WINDOW_FACTOR * LIMIT_PER_S * start_limits.WINDOW_S
            + start_limits.SLACK,
        )
        self.assertGreaterEqual(len(steady), 0.9 * LIMIT_PER_S * 11.5)

    def test_the_rest_is_refused_as_not_run(self):
        self.open(slots=100)
        self.overload(6.0)
        refused = [
            each for each in self.outcomes if isinstance(each, refusals.Refusal)
        ]
        self.assertGreater(len(refused), 300)
        self.assertEqual(
            {test_proxy_gate.NOT_RUN}, {each.execution for each in refused}
        )

    def test_others_learn_the_smaller_capacity_at_once_and_rarely(self):
        self.open(slots=100)
        before = self.urgent_reports
        self.overload(6.0)
        self.assertLessEqual(self.gate.load().capacity, 4)
        self.assertIn(self.urgent_reports - before, range(1, 6))

    def test_a_response_without_a_limit_lifts_it(self):
        self.open(slots=100)
        self.overload(2.0)
        self.named_per_s = None
        self.reactor.advance(1.0)
        self.run_request(deadline_s=1000.0)
        self.reactor.advance(0.1)
        self.pool.respond(len(self.pool.sent) - 1)
        self.assertEqual(94, self.gate.load().capacity)


class ForeignLimitTest(test_proxy_gate.GateCase):
    """Responses that say nothing about the current upstream process."""

    def test_the_limit_of_an_earlier_process_is_ignored(self):
        self.open(slots=100)
        self.run_request()
        self.gate.open("i-2", "wash", "10.0.0.9:80", 100)
        self.pool.respond(limit_per_s=2.0)
        self.assertEqual(94, self.gate.load().capacity)

    def test_the_limit_of_another_process_at_the_address_is_ignored(self):
        self.open(slots=100)
        self.run_request()
        self.pool.respond(status=421, not_run=True, limit_per_s=2.0)
        self.assertIs(gates.GateState.UNKNOWN, self.gate.state)
        self.assertEqual(94, self.gate.load().capacity)

    def test_a_refusal_does_not_lift_the_limit(self):
        self.open(slots=100)
        self.run_request()
        self.pool.respond(limit_per_s=2.0)
        self.reactor.advance(2.0)
        self.run_request()
        self.pool.respond(1, status=503, not_run=True)
        self.assertLess(self.gate.load().capacity, 94)
