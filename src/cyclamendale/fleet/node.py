"""One node of a fleet: its parts and their order of life."""

from __future__ import annotations

import random
from typing import Any

import msgspec
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import call_learning
from cyclamendale.fleet import configuration as configurations
from cyclamendale.fleet import departures
from cyclamendale.fleet import discovery
from cyclamendale.fleet import formats as formats_module
from cyclamendale.fleet import hosts
from cyclamendale.fleet import journal
from cyclamendale.fleet import observation
from cyclamendale.fleet import own_upstream
from cyclamendale.fleet import relay
from cyclamendale.fleet import report_codec
from cyclamendale.fleet import reporter
from cyclamendale.fleet import routing
from cyclamendale.fleet import settings as settings_module
from cyclamendale.fleet import shutdown
from cyclamendale.intents import model
from cyclamendale.membership import udp
from cyclamendale.overload import fleet_retries
from cyclamendale.overload import placement
from cyclamendale.overload import pressure
from cyclamendale.overload import root_admission
from cyclamendale.peer import thrift_network
from cyclamendale.proxy import calls
from cyclamendale.proxy import dispatcher
from cyclamendale.proxy import gate as gates
from cyclamendale.proxy import links
from cyclamendale.proxy import messages
from cyclamendale.proxy import server
from cyclamendale.quotas import fleet_levels
from cyclamendale.store import load_limit
from cyclamendale.store import watched_rows

DRAIN_LOOK_S = 0.05
"""Time between two looks of a stopping node at what is in work."""

BACKLOG = 1024
"""Connections that may wait to be accepted; the opening packets of others
are dropped and come again only seconds later."""


class Node:
    """All parts of one node."""

    def __init__(
        self,
        reactor: Any,
        settings: settings_module.HostSettings,
        formats: formats_module.Formats,
        rows: watched_rows.WatchedRows,
        log: journal.Journal,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._formats = formats
        self._clock = clock = clocks.SystemClock(reactor)
        self._random = random.Random()
        self.log = log
        self._observer = observation.Observer(clock, self.log)
        self._shutdown = shutdown.Shutdown(clock)
        self._ports: list[Any] = []
        self._build_fleet(rows)
        self._build_path(rows)
        self._add_gauges()

    # Construction, part by part.

    def _build_fleet(self, rows: watched_rows.WatchedRows) -> None:
        settings = self._settings
        own = settings.peer_address
        self._peers = thrift_network.ThriftPeerNetwork(
            self._reactor,
            self._clock,
            b"",
            max_frame_bytes=links.MAX_FRAME_BYTES,
        )
        self._view = hosts.HostView(
            self._clock,
            own,
            settings.failure_domain,
        )
        self._in_force = configurations.ConfigurationInForce(
            self._formats.decode, self.log
        )
        self._spread = configurations.ConfigurationSpread(
            self._clock,
            self._random,
            self._in_force,
            rows,
            self._formats.place,
            self._view,
            self._peers,
            self.log,
        )
        self._learning = call_learning.CallLearning(
            self._clock, own, self._caller_service
        )
        bounds = settings.bounds
        self._quotas = fleet_levels.make_fleet_quotas(
            self._clock,
            self._random,
            fleet_levels.QuotaBound(
                bounds.quota_window_s,
                bounds.quota_overrun,
                bounds.quota_slack,
            ),
        )
        self._retries = fleet_retries.make_fleet_retries(
            self._clock,
            self._random,
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_slack,
        )
        source = reporter.ReportSource(
            own,
            settings.failure_domain,
            lambda: self._in_force.version,
            lambda: self._own_upstream.status(),
            self._learning.told,
            self._retries.usage,
            lambda: self._shutdown.has_begun,
        )
        self._reporter = reporter.Reporter(
            self._clock,
            udp.UdpPort(
                self._reactor,
                settings.ip,
                settings.peer_port,
                2 * report_codec.MAX_DATAGRAM_BYTES,
            ),
            self._view,
            relay.Relay(self._random, self._view, settings.failure_domain),
            source,
            self._measure,
            self._heard,
            self.log,
        )
        self._discovery = discovery.Discovery(
            self._clock,
            self._random,
            rows,
            own,
            settings.failure_domain,
            self._view,
            self._reporter.introduce,
            self.log,
        )

    def _build_path(self, rows: watched_rows.WatchedRows) -> None:
        settings = self._settings
        own = settings.peer_address
        self._gate = gates.Gate(
            self._reactor,
            self._clock,
            self._formats.dialect,
            self.log,
            self._reporter.send_now,
        )
        self._gate.on_run = self._learning.ran
        self._own_upstream = own_upstream.OwnUpstream(
            settings.ip,
            self._gate,
            self._in_force,
            departures.Departures(
                self._clock, self._random, rows, own, self.log
            ),
            self.log,
        )
        self._run_server = links.RunServer(
            self._peers, self._clock, self._gate, self._gate.load
        )
        self._links = links.Links(
            self._peers, self._clock, self._load_heard, self.log
        )
        self._own_runner = links.LocalRunner(
            own, self._gate, self._gate.load, self._load_heard
        )
        self._dispatcher = dispatcher.Dispatcher(
            calls.DispatcherParts(
                self._clock,
                self._random,
                self._formats.dialect,
                placement.Placement(
                    self._random,
                    own,
                    settings.failure_domain,
                    self._view.candidates,
                ),
                root_admission.RootAdmission(
                    self._clock,
                    self._random,
                    self._learning.graph.chain,
                    self._pressure,
                ),
                self._retries,
                self._quotas,
                self._learning.frequencies,
                self._learning.graph.chain,
                self._runner,
                self._caller_service,
                self._shutdown,
                self._observer,
                self.log,
            )
        )
        self._in_force.subscribe(self._configured)
        self._server = server.make_caller_server(
            self._clock, self._dispatcher, self._formats.dialect, self.log
        )

    def _add_gauges(self) -> None:
        gauge = self._observer.add_gauge
        gauge("configuration_version", lambda: self._in_force.version)
        gauge("hosts_live", lambda: 1 + len(self._view.live_others()))
        gauge("gate_in_service", lambda: self._gate.load().in_service)
        gauge("gate_queued", lambda: self._gate.load().queued)
        gauge("gate_pressure", lambda: self._gate.pressure)
        gauge("gate_refused_share", lambda: self._gate.refused_share)

    # Life.

    def start(self) -> None:
        """Begins to listen; the node is ready once it is configured."""
        settings = self._settings
        self.log.belief(
            "start",
            failure_domain=settings.failure_domain,
            service=settings.service,
            upstream=settings.upstream_address,
            store=settings.store_address,
        )
        self._peers.listen(settings.ip, settings.peer_port)
        self._listen(
            settings.announcement_address,
            self._formats.announcement_site(self._own_upstream),
        )
        self._listen(
            settings.readiness_address,
            self._formats.readiness_site(self.is_ready),
        )
        self._listen(
            f"{settings.ip}:{settings.metrics_port}",
            observation.make_metrics_site(self._observer),
        )
        self._listen(settings.caller_address, self._server)
        self._gate.start()
        self._own_upstream.start()
        self._links.start()
        self._dispatcher.start()
        self._server.start()
        self._reporter.start()
        self._discovery.start()
        self._spread.start()
        self._learning.start()

    def is_ready(self) -> bool:
        """Returns whether callers should be sent here."""
        return (
            self._in_force.current is not None and not self._shutdown.has_begun
        )

    @defer.inlineCallbacks
    def stop(self) -> Any:
        """Serves on while callers move away, then ends; cuts no request."""
        self._shutdown.begin(self._settings.bounds.grace_s)
        self.log.belief("stop", in_work=self._in_work())
        self._reporter.send_now()
        self._server.begin_close()
        while not self._shutdown.is_over(self._in_work()):
            yield load_limit.pause(self._clock, DRAIN_LOOK_S)
        self.log.belief("stopped", in_work=self._in_work())
        closing = [
            defer.maybeDeferred(port.stopListening) for port in self._ports
        ]
        self._learning.stop()
        self._own_upstream.stop()
        self._spread.stop()
        self._discovery.stop()
        self._dispatcher.stop()
        self._server.stop()
        self._links.stop()
        self._gate.stop()
        yield self._reporter.stop()
        closing.append(self._peers.close())
        yield defer.gatherResults(closing)

    def _in_work(self) -> int:
        return (
            self._server.in_work + self._run_server.in_work + self._gate.in_work
        )

    def _listen(self, address: str, factory: Any) -> None:
        ip, port = settings_module.split_address(address)
        self._ports.append(
            self._reactor.listenTCP(
                port, factory, interface=ip, backlog=BACKLOG
            )
        )

    # Settings that change while the node runs.

    def reload(self, settings: settings_module.HostSettings) -> None:
        """Takes changed settings; addresses in use stay as they are."""
        if settings == self._settings:
            return
        self.log.belief(
            "reload",
            service=settings.service,
            upstream=settings.upstream_address,
        )
        self._settings = msgspec.structs.replace(
            self._settings,
            service=settings.service,
            upstream_address=settings.upstream_address,
            bounds=settings.bounds,
        )

    # What the parts ask of each other.

    def _runner(self, host: ids.PeerAddress) -> messages.Runner:
        if host == self._settings.peer_address:
            return self._own_runner
        return self._links.runner(host)

    def _caller_service(self) -> ids.ServiceName:
        return self._settings.service

    def _load_heard(self, host: ids.PeerAddress, at_gate: int) -> None:
        candidate = self._view.candidate_at(host)
        if candidate is not None:
            candidate.report(at_gate)

    def _pressure(self, service: ids.ServiceName) -> float:
        return pressure.combined(
            self._view.pressure(service),
            pressure.from_refusals(
                self._view.refused_share(service),
                self._settings.bounds.retry_ratio,
            ),
        )

    def _configured(self, configuration: model.Configuration) -> None:
        table = routing.RoutingTable(configuration)
        self._learning.graph.set_services(table.services_by_route())
        self._quotas.set_customers(configuration.customers)
        self._dispatcher.configure(table)

    def _heard(self, report: hosts.HostReport) -> None:
        self._spread.heard(report)
        self._quotas.apply_report(
            report.address, report.incarnation, report.spendings
        )
        self._retries.hear(report.address, report.incarnation, report.retries)
        self._learning.heard(report)

    def _measure(self) -> dict[ids.CustomerId, fleet_levels.Spending]:
        spendings = self._quotas.measure_spending()
        live = self._view.live_others()
        self._quotas.start_interval(live, self._view.gone_others())
        self._retries.share_out(live)
        return spendings


def make_node(
    reactor: Any,
    settings: settings_module.HostSettings,
    formats: formats_module.Formats,
    rows: watched_rows.WatchedRows,
    log: journal.Journal,
) -> Node:
    """Returns a node that is not started yet."""
    return Node(reactor, settings, formats, rows, log)
