"""Connects the reporter of a node with the parts that learn from reports."""

from __future__ import annotations

from collections.abc import Callable
import random as random_module
from typing import Any

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import aggregator
from cyclamendale.fleet import call_learning
from cyclamendale.fleet import departure_reminders
from cyclamendale.fleet import digest_builder
from cyclamendale.fleet import digests
from cyclamendale.fleet import host_lists
from cyclamendale.fleet import host_report
from cyclamendale.fleet import hosts
from cyclamendale.fleet import permits as permits_module
from cyclamendale.fleet import report_builder
from cyclamendale.fleet import reporter
from cyclamendale.fleet import silent_hosts
from cyclamendale.membership import udp
from cyclamendale.overload import fleet_retries

VersionListener = Callable[[ids.ConfigVersion, ids.PeerAddress], None]
"""Callback that takes a configuration version and a node that has it."""


class Reporting:
    """What a node tells the fleet, and what it learns from others.

    Attributes:
        reporter: Sends and receives the datagrams.
        host_lists: Asks other nodes for the hosts while the store is away.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        port: udp.DatagramPort,
        view: hosts.HostView,
        own_domain: ids.FailureDomainName,
        builder: report_builder.ReportBuilder,
        usage_window_s: float,
        configuration_version: Callable[[], ids.ConfigVersion],
        store_silent_s: Callable[[], float],
        on_version: VersionListener,
        call_learner: call_learning.CallGraphLearner,
        retries: fleet_retries.FleetRetryBudget,
        permits: permits_module.Permits,
        log: Any,
    ) -> None:
        self._view = view
        self._own_domain = own_domain
        self._on_version = on_version
        self._call_learner = call_learner
        self._retries = retries
        self._permits = permits
        self.host_lists = host_lists.HostLists(
            clock, random, view, builder.address, own_domain, port.transmit, log
        )
        self.reporter = reporter.Reporter(
            clock,
            port,
            view,
            aggregator.Aggregator(
                random,
                view,
                builder.address,
                own_domain,
                digest_builder.DigestBuilder(
                    clock,
                    view,
                    builder.address,
                    own_domain,
                    builder.incarnation,
                    usage_window_s,
                    configuration_version,
                    call_learner.domain_calls,
                    store_silent_s,
                ),
                self._handle_digest,
            ),
            builder,
            silent_hosts.SilentHosts(clock, random, view),
            self.host_lists,
            departure_reminders.DepartureReminders(
                clock,
                view,
                self.host_lists,
                builder.address,
                port.transmit,
                log,
            ),
            self._start_interval,
            self._handle_report,
            self._handle_digest,
            permits.handle_datagram,
            log,
        )

    def _handle_report(self, report: host_report.HostReport) -> None:
        self._on_version(report.configuration_version, report.address)
        self._call_learner.apply_report(report)

    def _handle_digest(self, digest: digests.Digest) -> None:
        self._on_version(digest.configuration_version, digest.aggregator)
        self._retries.record_group(
            digest.failure_domain,
            digest.incarnation,
            digest.usage(),
            digest.is_complete,
        )
        self._call_learner.apply_digest(digest)

    def _start_interval(self) -> None:
        quota_hosts = self._view.quota_hosts()
        self._permits.set_view(quota_hosts)
        self._retries.allocate(
            sum(len(hosts.live) for hosts in quota_hosts.values()),
            sum(hosts.known_count for hosts in quota_hosts.values()),
            self._own_domain,
            self._view.included_sequence,
        )
