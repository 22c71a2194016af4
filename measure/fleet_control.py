"""Bytes and age of the host reports of a fleet on a virtual clock.

Runs `python -m measure.fleet_control 30 194`: for each number of hosts the real
reporters, aggregators and codecs over a modelled network, while loads, pressure
and counts of retries change. Prints the control bytes of a node, sent plus
received with 28 bytes of headers a datagram, the age of what nodes know, and
the processor time of the reporting parts.
"""

from __future__ import annotations

import argparse
import collections
from collections.abc import Iterator, Sequence
import random
import statistics
import sys
import time

from twisted.internet import defer
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import aggregator
from cyclamendale.fleet import digest_builder
from cyclamendale.fleet import host_lists
from cyclamendale.fleet import host_report
from cyclamendale.fleet import hosts
from cyclamendale.fleet import report_builder
from cyclamendale.fleet import reporter
from cyclamendale.fleet import silent_hosts
from cyclamendale.membership import udp
from cyclamendale.overload import retry_usage
from tests.support import fake_log

DOMAIN_COUNT = 6
SERVICES = ("rafi46c", "deye88a", "huvo11a", "pulo780")
SLOTS = 25
STEP_S = 0.005
"""Clock step; datagrams sent in one step arrive in the next."""

HEADER_BYTES = 28
INTRODUCED_PER_DOMAIN = 3
WARM_UP_INTERVALS = 12
MEASURED_INTERVALS = 12


class ModelPort(udp.DatagramPort):
    """Datagram port of one node of the model."""

    def __init__(self, fleet: Fleet, address: ids.PeerAddress) -> None:
        self._fleet = fleet
        self._address = address

    def open(self, receive: object) -> None:
        """See base class."""
        self._fleet.receivers[self._address] = receive

    def transmit(self, receiver: ids.PeerAddress, data: bytes) -> None:
        """See base class."""
        self._fleet.transmit(self._address, receiver, data)

    def close(self) -> defer.Deferred[None]:
        """See base class."""
        return defer.succeed(None)


class LoadModel:
    """Load of one upstream, which changes at random."""

    def __init__(self, rng: random.Random, index: int) -> None:
        self._rng = rng
        self._id = f"i-{index:08x}"
        self._service = SERVICES[index % len(SERVICES)]
        self._at_gate = SLOTS / 2
        self._counts = dict.fromkeys(SERVICES, 40)
        self._repeats = 0

    def status(self) -> host_report.UpstreamStatus:
        """Returns the status after another random change."""
        self._at_gate += self._rng.gauss(0.0, 2.0)
        self._at_gate = min(1.2 * SLOTS, max(0.0, self._at_gate))
        pressure = max(0.0, self._at_gate / SLOTS - 0.9)
        return host_report.UpstreamStatus(
            self._id, self._service, SLOTS, True, 0.0, int(self._at_gate),
            pressure, 0.5, 0.0,
        )  # fmt: skip

    def retries(
        self, sequence: int
    ) -> dict[ids.ServiceName, retry_usage.RetryUsage]:
        """Returns counts; every third report has another retry."""
        self._repeats += self._rng.random() < 1 / 3
        return {
            name: retry_usage.RetryUsage(
                count + self._rng.randrange(9), count, self._repeats
            )
            for name, count in self._counts.items()
        }


class Fleet:
    """Reporting parts of all nodes, and the network between them."""

    def __init__(self, host_count: int, seed: int) -> None:
        self.reactor = task.Clock()
        self.receivers: dict[ids.PeerAddress, object] = {}
        self.sent_bytes: collections.Counter[ids.PeerAddress] = (
            collections.Counter()
        )
        self.remote_bytes = 0
        self._in_flight: collections.deque[tuple[ids.PeerAddress, bytes]] = (
            collections.deque()
        )
        self._clock = clocks.ReactorClock(self.reactor)
        self._random = random.Random(seed)
        self.domains = {
            f"10.{index % DOMAIN_COUNT}.{index // 250}.{index % 250}:7000": (
                f"domain-{index % DOMAIN_COUNT}"
            )
            for index in range(host_count)
        }
        self.views: dict[ids.PeerAddress, hosts.HostView] = {}
        self.reported_s: dict[tuple[ids.PeerAddress, int], float] = {}
        reporters = [
            self._make_reporter(index, address)
            for index, address in enumerate(self.domains)
        ]
        for view in self.views.values():
            for address, domain in self.domains.items():
                view.add_host(address, domain)
        self.interval_s = next(iter(self.views.values())).report_interval_s()
        for each in reporters:
            each.start()
            self.reactor.advance(self.interval_s / host_count)
        for address, each in zip(self.domains, reporters, strict=True):
            for other in self._introduced_hosts(address):
                each.introduce(other)

    def _introduced_hosts(
        self, address: ids.PeerAddress
    ) -> Iterator[ids.PeerAddress]:
        """Yields the own domain and a few hosts of each other one."""
        by_domain: collections.Counter[ids.FailureDomainName] = (
            collections.Counter()
        )
        for other, domain in self.domains.items():
            by_domain[domain] += 1
            is_own = domain == self.domains[address]
            if other != address and (
                is_own or by_domain[domain] <= INTRODUCED_PER_DOMAIN
            ):
                yield other

    def _make_reporter(
        self, index: int, address: ids.PeerAddress
    ) -> reporter.Reporter:
        domain = self.domains[address]
        view = hosts.HostView(self._clock, address, domain)
        self.views[address] = view
        load = LoadModel(self._random, index)
        builder = report_builder.ReportBuilder(
            address, domain, lambda: 1, load.status, lambda: [], load.retries,
            lambda: False,
        )  # fmt: skip
        port = ModelPort(self, address)
        log = fake_log.FakeLog()
        return reporter.Reporter(
            self._clock,
            port,
            view,
            aggregator.Aggregator(
                self._random,
                view,
                address,
                domain,
                digest_builder.DigestBuilder(
                    self._clock,
                    view,
                    address,
                    domain,
                    builder.incarnation,
                    10.0,
                    lambda: 1,
                    tuple,
                    lambda: 0.0,
                ),
                lambda digest: None,
            ),
            builder,
            silent_hosts.SilentHosts(self._clock, self._random, view),
            host_lists.HostLists(
                self._clock, self._random, view, address, domain,
                port.transmit, log,
            ),
            lambda: self._record_own_report(address),
            lambda report: None,
            lambda digest: None,
            lambda data: None,
            log,
        )  # fmt: skip

    def _record_own_report(self, address: ids.PeerAddress) -> None:
        # Called just before the node builds its next report.
        sequence = self.views[address]._hosts[address].sequence + 1
        self.reported_s[address, sequence] = self.reactor.seconds()

    def transmit(
        self, sender: ids.PeerAddress, receiver: ids.PeerAddress, data: bytes
    ) -> None:
        """Sends a datagram and counts it at both ends."""
        size_bytes = len(data) + HEADER_BYTES
        self.sent_bytes[sender] += size_bytes
        self.sent_bytes[receiver] += size_bytes
        if self.domains[sender] != self.domains[receiver]:
            self.remote_bytes += size_bytes
        self._in_flight.append((receiver, data))

    def run_for(self, duration_s: float) -> None:
        """Advances the clock and delivers datagrams."""
        for _ in range(round(duration_s / STEP_S)):
            self.reactor.advance(STEP_S)
            for _ in range(len(self._in_flight)):
                receiver, data = self._in_flight.popleft()
                self.receivers[receiver](data)  # type: ignore[operator]

    def ages_s(self, is_own_domain: bool) -> Iterator[float]:
        """Yields how old what each node knows of each other one is."""
        now_s = self.reactor.seconds()
        for address, view in self.views.items():
            for other in view.others():
                is_own = other.failure_domain == self.domains[address]
                if is_own is is_own_domain and other.report is not None:
                    key = other.address, other.sequence
                    yield now_s - self.reported_s.get(key, 0.0)


def measure(host_count: int, seed: int) -> str:
    """Returns a row of the printed table."""
    fleet = Fleet(host_count, seed)
    fleet.run_for(WARM_UP_INTERVALS * fleet.interval_s)
    fleet.sent_bytes.clear()
    fleet.remote_bytes = 0
    duration_s = MEASURED_INTERVALS * fleet.interval_s
    started_s = time.process_time()
    fleet.run_for(duration_s)
    used_s = time.process_time() - started_s
    per_s = sorted(
        count / duration_s / 1000 for count in fleet.sent_bytes.values()
    )
    own, other = (
        statistics.fmean(fleet.ages_s(is_own)) for is_own in (True, False)
    )
    return (
        f"{host_count:6} {fleet.interval_s:8.2f} {statistics.fmean(per_s):9.1f}"
        f" {per_s[-1]:9.1f} {fleet.remote_bytes / duration_s / 1000:10.1f}"
        f" {own:8.2f} {other:8.2f}"
        f" {used_s / duration_s / host_count * 1e6:9.0f}"
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Prints the table for the given numbers of hosts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("hosts", type=int, nargs="*", default=[30, 100, 194])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    print(
        " hosts interval  KB/s mean  KB/s max  between   age own  age other"
        "      us/s   (KB/s a node, KB/s in all, s, processor time a node)"
    )
    for host_count in options.hosts:
        print(measure(host_count, options.seed), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
