"""Assembles one node of a fleet, and starts and stops its parts in order."""

from __future__ import annotations

import random
from typing import Any

from twisted.internet import defer

from cyclamendale import buffer_budget
from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import call_learning
from cyclamendale.fleet import configuration as configurations
from cyclamendale.fleet import departures
from cyclamendale.fleet import discovery
from cyclamendale.fleet import formats as formats_module
from cyclamendale.fleet import hosts
from cyclamendale.fleet import journal
from cyclamendale.fleet import listeners
from cyclamendale.fleet import node_gauges
from cyclamendale.fleet import observation
from cyclamendale.fleet import own_upstream
from cyclamendale.fleet import permits
from cyclamendale.fleet import report_builder as report_builders
from cyclamendale.fleet import report_codec
from cyclamendale.fleet import reporting
from cyclamendale.fleet import routing
from cyclamendale.fleet import settings as settings_module
from cyclamendale.fleet import shutdown
from cyclamendale.fleet import steps
from cyclamendale.intents import model
from cyclamendale.membership import udp
from cyclamendale.overload import fleet_retries
from cyclamendale.overload import placement
from cyclamendale.overload import pressure
from cyclamendale.overload import root_admission
from cyclamendale.peer import thrift_network
from cyclamendale.proxy import dispatch_state
from cyclamendale.proxy import dispatcher
from cyclamendale.proxy import gate as gates
from cyclamendale.proxy import links
from cyclamendale.proxy import local_runner
from cyclamendale.proxy import messages
from cyclamendale.proxy import run_server
from cyclamendale.proxy import server
from cyclamendale.store import watched_rows


class Node:
    """A node and all its parts."""

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
        self._listeners = listeners.Listeners(reactor)
        self._budget = buffer_budget.BufferBudget(settings.memory_bytes)
        self._build_fleet_parts(rows)
        self._build_request_path(rows)
        node_gauges.add_gauges(
            self._observer, self._active_configuration, self._view, self._gate
        )

    def _build_fleet_parts(self, rows: watched_rows.WatchedRows) -> None:
        settings = self._settings
        own_address = settings.peer_address
        self._peers = thrift_network.ThriftPeerNetwork(
            self._reactor,
            self._clock,
            b"",
            max_frame_bytes=links.MAX_FRAME_BYTES,
            budget=self._budget,
        )
        self._budget.add_unsent_source(lambda: self._peers.unsent_bytes)
        self._view = hosts.HostView(
            self._clock, own_address, settings.failure_domain
        )
        self._active_configuration = configurations.ActiveConfiguration(
            self._formats.decode_document, self.log
        )
        self._configuration_sync = configurations.ConfigurationSync(
            self._clock,
            self._random,
            self._active_configuration,
            rows,
            self._formats.document_location,
            self._view,
            self._peers,
            self.log,
        )
        self._call_learner = call_learning.CallGraphLearner(
            self._clock,
            own_address,
            settings.failure_domain,
            self._caller_service,
        )
        bounds = settings.bounds
        self._retries = fleet_retries.make_fleet_retry_budget(
            self._clock,
            self._random,
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_slack,
        )
        report_builder = report_builders.ReportBuilder(
            own_address,
            settings.failure_domain,
            lambda: self._active_configuration.version,
            lambda: self._own_upstream.status(),
            self._call_learner.reported_frequencies,
            self._retries.usage,
            lambda: self._shutdown.has_begun,
            lambda: self._own_upstream.recent_departures(),
        )
        port = udp.UdpPort(
            self._reactor,
            settings.ip,
            settings.peer_port,
            2 * report_codec.MAX_DATAGRAM_BYTES,
        )
        self._permits = permits.make_permits(
            self._clock,
            self._random,
            own_address,
            settings.failure_domain,
            bounds.quota,
            port.transmit,
            self.log,
        )
        exchange = reporting.Reporting(
            self._clock,
            self._random,
            port,
            self._view,
            settings.failure_domain,
            report_builder,
            bounds.retry_window_s,
            lambda: self._active_configuration.version,
            self._configuration_sync.store_silent_s,
            self._configuration_sync.learn_version,
            self._call_learner,
            self._retries,
            self._permits,
            self.log,
        )
        self._reporter, self._lists = exchange.reporter, exchange.host_lists
        self._discovery = discovery.Discovery(
            self._clock,
            self._random,
            rows,
            own_address,
            settings.failure_domain,
            self._view,
            self._reporter.introduce,
            self._lists,
            self.log,
        )

    def _build_request_path(self, rows: watched_rows.WatchedRows) -> None:
        settings = self._settings
        own_address = settings.peer_address
        self._gate = gates.Gate(
            self._reactor,
            self._clock,
            self._formats.http_header_names,
            self.log,
            self._reporter.send_now,
            self._budget,
        )
        self._gate.on_run = self._call_learner.record_run
        self._own_upstream = own_upstream.OwnUpstream(
            settings.ip,
            self._gate,
            self._active_configuration,
            departures.DepartureStore(
                self._clock, self._random, rows, own_address, self.log
            ),
            self.log,
        )
        self._lists.on_departures = self._own_upstream.learn_departures
        self._run_server = run_server.RunServer(
            self._peers,
            self._clock,
            self._gate,
            self._gate.load,
            self._shutdown,
            self._budget,
        )
        self._links = links.Links(
            self._peers, self._clock, self._set_load, self._shutdown, self.log
        )
        self._local_runner = local_runner.LocalRunner(
            own_address, self._gate, self._gate.load, self._set_load
        )
        self._dispatcher = dispatcher.Dispatcher(
            dispatch_state.DispatcherDependencies(
                self._clock,
                self._random,
                self._formats.http_header_names,
                placement.Placement(
                    self._random,
                    own_address,
                    settings.failure_domain,
                    self._view.candidates,
                ),
                root_admission.RootAdmission(
                    self._clock,
                    self._random,
                    self._call_learner.graph.calls_by_service,
                    self._pressure,
                ),
                self._retries,
                self._permits,
                self._call_learner.frequencies,
                self._call_learner.graph.calls_by_service,
                self._runner_for,
                self._caller_service,
                self._shutdown,
                self._observer,
                self.log,
            )
        )
        self._active_configuration.subscribe(self._apply_configuration)
        self._server = server.make_caller_server(
            self._clock,
            self._dispatcher,
            self._formats.http_header_names,
            self.log,
            self._budget,
        )
        self._budget.add_unsent_source(lambda: self._server.unsent_bytes)

    # Start and stop.

    def start(self) -> None:
        """Starts to listen; the node is ready once it has a configuration.

        Raises:
            OSError, CannotListenError: No address is open then.
        """
        try:
            self._open_ports()
            self._start_parts()
        except BaseException:
            self._close(steps.Steps(self.log, "start"))
            raise

    def _start_parts(self) -> None:
        settings = self._settings
        self.log.belief(
            "start",
            address=settings.peer_address,
            failure_domain=settings.failure_domain,
            service=settings.service,
            upstream=settings.upstream_address,
            store=settings.store_address,
        )
        self._gate.start()
        self._own_upstream.start(settings.first_start)
        self._links.start()
        self._dispatcher.start()
        self._server.start()
        self._discovery.start(settings.first_start)
        self._configuration_sync.start(settings.first_start)
        self._call_learner.start()

    def _open_ports(self) -> None:
        settings = self._settings
        self._peers.listen(settings.ip, settings.peer_port)
        self._listeners.open(
            settings.announcement_address,
            self._formats.make_announcement_site(self._own_upstream),
        )
        self._listeners.open(
            settings.readiness_address,
            self._formats.make_readiness_site(self.is_ready),
        )
        self._listeners.open(
            f"{settings.ip}:{settings.metrics_port}",
            observation.make_metrics_site(self._observer),
        )
        address = settings.caller_address
        self._port = self._listeners.open(address, self._server)
        # Opens the port of datagrams first, and starts nothing if that fails.
        self._reporter.start()

    def is_ready(self) -> bool:
        """Returns whether callers may send requests to this node."""
        has_configuration = self._active_configuration.current is not None
        return has_configuration and not self._shutdown.has_begun

    @defer.inlineCallbacks
    def stop(self) -> Any:
        """Serves while callers move away, then stops; cuts off no request."""
        stopping = steps.Steps(self.log, "stop")
        run = stopping.run
        count = self._count_pending_requests
        self._shutdown.begin(self._settings.bounds.grace_s)
        self.log.belief("stop", in_work=run(count))
        run(self._reporter.send_now)
        run(self._server.begin_close)
        # Requests that can't be counted get all the time there is.
        yield self._shutdown.wait_while_serving(lambda: run(count, otherwise=1))
        self._shutdown.end()
        self.log.belief("stopped", in_work=run(count))
        self._reactor.callLater(0, self._server.accept_waiting, self._port)
        closed = self._close(stopping)
        yield self._shutdown.wait_while_closing(lambda: not closed.called)
        yield self._shutdown.wait_for_reads()
        run(self._server.end_close)
        yield self._shutdown.wait_while_closing(lambda: self._server.in_flight)

    def _close(self, stopping: steps.Steps) -> defer.Deferred[Any]:
        """Closes all ports and stops all parts, started or not."""
        return stopping.run_all(
            lambda: defer.gatherResults(self._listeners.close()),
            self._call_learner.stop,
            self._own_upstream.stop,
            self._configuration_sync.stop,
            self._discovery.stop,
            self._gate.stop,
            self._run_server.stop,
            self._dispatcher.stop,
            self._server.stop,
            self._links.stop,
            self._permits.stop,
            self._reporter.stop,
            self._peers.close,
        )

    def _count_pending_requests(self) -> int:
        return (
            self._server.in_flight
            + self._run_server.in_flight
            + self._gate.in_flight
            + bool(self._peers.unsent_bytes)
        )

    def reload(self, settings: settings_module.HostSettings) -> None:
        """Applies changed settings; listening addresses stay unchanged."""
        if settings == self._settings:
            return
        self.log.belief(
            "reload",
            service=settings.service,
            upstream=settings.upstream_address,
            store=settings.store_address,
        )
        self._settings = self._settings.reloaded(settings)

    # Callbacks between the parts.

    def _runner_for(self, host: ids.PeerAddress) -> messages.Runner:
        if host == self._settings.peer_address:
            return self._local_runner
        return self._links.runner(host)

    def _caller_service(self) -> ids.ServiceName:
        return self._settings.service

    def _set_load(self, host: ids.PeerAddress, at_gate: int) -> None:
        if (known := self._view.find(host)) is not None:
            known.candidate.record_report(at_gate)

    def _pressure(self, service: ids.ServiceName) -> float:
        return pressure.combine(
            self._view.pressure(service),
            self._view.refused_share(service),
            self._settings.bounds.retry_ratio,
        )

    def _apply_configuration(self, configuration: model.Configuration) -> None:
        table = routing.RoutingTable(configuration)
        self._call_learner.set_services(table.services_by_route())
        self._permits.set_customers(configuration.customers)
        self._dispatcher.configure(table)


def make_node(
    reactor: Any,
    settings: settings_module.HostSettings,
    formats: formats_module.Formats,
    rows: watched_rows.WatchedRows,
    log: journal.Journal,
) -> Node:
    """Returns a node that has not been started."""
    return Node(reactor, settings, formats, rows, log)
