"""Assembles a node and defines its start-up and shutdown order."""

from __future__ import annotations

import random
from typing import Any

from twisted.internet import defer
from twisted.web import resource

from cyclamendale import _observation
from cyclamendale import _platform_clients
from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale import metrics as metrics_module
from cyclamendale import settings as settings_module
from cyclamendale import timeline
from cyclamendale.controllers import announcements
from cyclamendale.controllers import configuration as configurations
from cyclamendale.controllers import control_site
from cyclamendale.controllers import membership
from cyclamendale.controllers import quotas
from cyclamendale.controllers import timeline as timelines
from cyclamendale.controllers import timeline_site
from cyclamendale.entry import http_entry
from cyclamendale.filters import base
from cyclamendale.filters import context
from cyclamendale.filters import deadline
from cyclamendale.filters import early_shed
from cyclamendale.filters import identify
from cyclamendale.filters import match_route
from cyclamendale.filters import once
from cyclamendale.filters import quota
from cyclamendale.filters import readiness
from cyclamendale.forwarding import exchange
from cyclamendale.forwarding import forwarder
from cyclamendale.forwarding import policy
from cyclamendale.intents import merge
from cyclamendale.intents import model
from cyclamendale.membership import directory
from cyclamendale.membership import udp
from cyclamendale.overload import admission
from cyclamendale.overload import fair_use
from cyclamendale.overload import gate_admission
from cyclamendale.overload import power_of_two
from cyclamendale.overload import threshold_shed
from cyclamendale.peer import call_client
from cyclamendale.peer import call_server
from cyclamendale.peer import thrift_network
from cyclamendale.upstream import gate as gates

LAME_DUCK_S = 1.0
"""How long a stopping node still accepts requests, for other nodes to serve.

Meanwhile `Connection: close` tells callers to move to another node.
"""


class Node:
    """One node process: its components and their life cycle.

    Attributes:
        event_log: The node's events.
        own_member: The node's own entry among the members.
    """

    def __init__(
        self, reactor: Any, settings: settings_module.Settings
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._clock = clocks.SystemClock(reactor)
        self._random = random.Random()
        self._metrics = _make_metrics(self._clock, settings)
        fleet_secret = settings.fleet_secret
        secret = fleet_secret.reveal() if fleet_secret else b""
        hlc = events.HybridLogicalClock(self._clock)
        self._network = thrift_network.ThriftPeerNetwork(
            reactor,
            self._clock,
            secret,
            settings.peer_connect_timeout_s,
            hlc,
        )
        peer_port = self._network.listen(
            settings.peer_address.host, settings.peer_address.port
        )
        address = ids.PeerAddress(f"{settings.peer_address.host}:{peer_port}")
        self.own_member = directory.Member(
            ids.make_node_id(address), address, settings.failure_domain, 1
        )
        self.event_log = events.EventLog(self.own_member.node, hlc)
        self._platform = _platform_clients.PlatformClients(
            reactor, self._clock, self._random, settings, self.event_log
        )
        self._build_membership(secret, peer_port)
        self._build_configuration()
        self._build_request_path()
        self._build_quotas()
        self._build_control()
        self._build_filters()
        self._http_port: Any = None
        self._control_port: Any = None
        self._is_serving = False

    # Construction.

    def _build_membership(self, secret: bytes, peer_port: int) -> None:
        self._membership = membership.make_membership_controller(
            self._clock,
            self._random,
            self.own_member,
            self._platform.table,
            self._network,
            self.event_log,
            secret,
            udp.UdpPort(
                self._reactor, self._settings.peer_address.host, peer_port
            ),
        )
        self._directory: directory.Directory = self._membership.directory

    def _build_configuration(self) -> None:
        self._configuration = configurations.make_configuration_controller(
            configurations.Dependencies(
                rows=self._platform.table,
                objects=self._platform.objects,
                peers=self._network,
                directory=self._directory,
                clock=self._clock,
                rng=self._random,
                merge=merge.make_merger().merge,
                event_log=self.event_log,
            )
        )

    def _build_request_path(self) -> None:
        self._gate = gates.Gate(
            self._reactor,
            self._clock,
            self._random,
            self._make_admission,
            lambda own, running: threshold_shed.combine(
                own, running.onward_feedback
            ),
        )
        self._configuration.subscribe(self._apply_configuration)
        call_server.CallServer(self._network, self._clock, self._gate)
        self._early_shedder = threshold_shed.make_early_shedder(
            self._clock, self._random
        )
        self._call_observer = _observation.CallObserver(
            self._clock, self.event_log, self._metrics
        )
        self._entry = http_entry.Entry(
            self._clock,
            self._configuration,
            forwarder.Forwarder(
                self._clock,
                power_of_two.make_target_chooser(
                    self._clock, self._random, self._directory
                ),
                self._early_shedder,
                policy.make_retry_policy(),
                self._transport_for,
            ),
            self._call_observer.record_call,
            self._settings.http_idle_timeout_s,
            self._settings.http_head_timeout_s,
        )

    def _build_quotas(self) -> None:
        self._quota_controller = quotas.make_quota_controller(
            self._clock,
            self._random,
            self._directory,
            self._platform.lease_table,
            self._network,
            self._configuration,
            self.event_log,
        )

    def _build_control(self) -> None:
        self._announcements = announcements.make_announcements_controller(
            self._clock,
            self.event_log,
            self._apply_announcement,
            self._gate.has_connect_failed,
            self._settings.announcement_timeout_s,
        )
        self._timeline_controller = timelines.make_timeline_controller(
            self._clock,
            self._directory,
            self._network,
            self.event_log,
            self._make_status,
            self._configuration,
        )

        self._gauge_sampler = _observation.GaugeSampler(
            self._clock,
            self._metrics,
            self._make_status,
            self._settings.metrics_interval_s,
        )

    def _build_filters(self) -> None:
        customer_fairness = fair_use.make_fair_use_tracker(
            self._clock, self._weight_of, self._service_of
        )
        filters: list[base.Filter] = [
            readiness.ReadinessFilter(lambda: self._is_serving),
            identify.IdentifyFilter(self._gate.contexts, self._configuration),
            match_route.MatchRouteFilter(),
            context.ContextFilter(customer_fairness),
            deadline.DeadlineFilter(self._clock),
            quota.QuotaFilter(self._quota_controller),
            early_shed.EarlyShedFilter(self._early_shedder, self._random),
            once.OnceFilter(self._platform.table),
        ]
        self._entry.set_filters(filters)

    # Start-up and shutdown.

    @defer.inlineCallbacks
    def start(self) -> Any:
        """Joins the cluster and serves once a configuration is in force."""
        self._membership.start()
        self._timeline_controller.start()
        self._configuration.start()
        self._metrics.start()
        if self._settings.statsd_address is not None:
            self._gauge_sampler.start()
        self._listen_control()
        self._http_port = self._reactor.listenTCP(
            self._settings.http_address.port,
            self._entry.make_factory(),
            interface=self._settings.http_address.host,
        )
        yield self._configuration.ready
        self._quota_controller.start()
        self._announcements.start()
        self._is_serving = True
        self.event_log.record(
            events.NodeStarted(failure_domain=self.own_member.failure_domain)
        )

    @property
    def is_listening(self) -> bool:
        """Returns whether all listeners are open."""
        return self._http_port is not None

    def listen_addresses(self) -> dict[str, str]:
        """Returns the actual listen addresses, by the name of the setting."""
        settings = self._settings
        http_port = self._http_port.getHost().port
        control_port = self._control_port.getHost().port
        return {
            "http_address": f"{settings.http_address.host}:{http_port}",
            "peer_address": self.own_member.address,
            "control_address": (
                f"{settings.control_address.host}:{control_port}"
            ),
        }

    @defer.inlineCallbacks
    def stop(self) -> Any:
        """Shuts down gracefully: drains requests and releases quota leases."""
        self.event_log.record(events.NodeStopping())
        self._membership.set_leaving()
        gate_drained: defer.Deferred[None] = defer.Deferred()
        self._gate.close(lambda: gate_drained.callback(None))
        entry_drained: defer.Deferred[None] = defer.Deferred()
        self._entry.begin_close()
        yield self._sleep(LAME_DUCK_S)
        yield self._http_port.stopListening()
        self._entry.close(lambda: entry_drained.callback(None))
        drained = defer.gatherResults([gate_drained, entry_drained])
        yield self._wait_at_most(drained, self._settings.shutdown_timeout_s)
        if self._is_serving:
            yield self._quota_controller.stop()
            yield self._announcements.stop()
        yield self._configuration.stop()
        yield self._timeline_controller.stop()
        yield self._membership.stop()
        yield self._gauge_sampler.stop()
        yield self._metrics.stop()
        self._gate.close_connections()
        yield self._control_port.stopListening()
        yield self._network.close()

    def _listen_control(self) -> None:
        root: Any = resource.Resource()
        root.putChild(b"announce", self._announcements.make_resource())
        timeline_site.add_resources(root, self._timeline_controller)
        self._control_port = self._reactor.listenTCP(
            self._settings.control_address.port,
            control_site.make_site(root),
            interface=self._settings.control_address.host,
        )

    def _sleep(self, delay_s: float) -> defer.Deferred[None]:
        paused: defer.Deferred[None] = defer.Deferred()
        self._clock.call_later(delay_s, paused.callback, None)
        return paused

    def _wait_at_most(
        self, awaited: defer.Deferred[Any], timeout_s: float
    ) -> defer.Deferred[Any]:
        """Returns `awaited`, which fires after `timeout_s` at the latest."""
        awaited.addTimeout(timeout_s, self._reactor)
        awaited.addErrback(lambda failure: failure.trap(defer.TimeoutError))
        return awaited

    # Callbacks between the components.

    def _apply_configuration(self, configuration: model.Configuration) -> None:
        for service in configuration.services.values():
            self._gate.set_service(service)

    def _apply_announcement(
        self, announced: directory.Announcement | None
    ) -> None:
        self._gate.set_upstream(announced)
        self._membership.set_upstream(announced)

    def _make_admission(
        self, announced: directory.Announcement
    ) -> admission.Admission:
        service = self._configuration.current.services.get(
            announced.service, model.Service(announced.service)
        )
        return gate_admission.make_admission(
            self._clock, self._random, service, self._weight_of
        )

    def _transport_for(
        self, target: directory.Member
    ) -> exchange.CallTransport:
        if target.node == self.own_member.node:
            return self._gate
        return call_client.RemoteCallTransport(
            self._network, self._clock, target.address
        )

    def _weight_of(self, customer: ids.CustomerId) -> float:
        found = self._configuration.current.customers.get(customer)
        return found.weight if found else 1.0

    def _service_of(self, route: ids.RouteName) -> str:
        found = self._configuration.current.routes.get(route)
        return found.service if found else route

    def _make_status(self) -> timeline.NodeStatus:
        return _observation.make_node_status(
            self._directory,
            self._configuration,
            self._gate,
            self._quota_controller,
            self._platform.is_reachable,
        )


def make_node(reactor: Any, settings: settings_module.Settings) -> Node:
    """Returns a node that has not been started."""
    return Node(reactor, settings)


def _make_metrics(
    clock: clocks.Clock, settings: settings_module.Settings
) -> metrics_module.Metrics:
    address = settings.statsd_address
    if address is None:
        return metrics_module.NullMetrics()
    return metrics_module.make_statsd_metrics(
        clock,
        address.host,
        address.port,
        settings.statsd_prefix,
        settings.metrics_interval_s,
    )
