"""Builds the reports of the own node."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import secrets

from cyclamendale import ids
from cyclamendale.fleet import digests
from cyclamendale.fleet import host_report
from cyclamendale.overload import call_frequency
from cyclamendale.overload import retry_usage

REPORTS_PER_FREQUENCY_UPDATE = 8
"""Number of reports of which one includes the call frequencies. A newly learned
call is reported at once: after a restart of all nodes, root requests cannot
be refused for the sake of the services they call before it is known."""

MAX_FREQUENCIES_PER_REPORT = 24


INCARNATION_BITS = 31
"""Length of the random number that identifies a process at an address."""


class ReportBuilder:
    """Builds the reports of the own node.

    Attributes:
        address: Address on which the node listens for other nodes.
        incarnation: Random number that identifies the process.
    """

    def __init__(
        self,
        address: ids.PeerAddress,
        failure_domain: ids.FailureDomainName,
        configuration_version: Callable[[], ids.ConfigVersion],
        upstream: Callable[[], host_report.UpstreamStatus | None],
        frequencies: Callable[[], list[call_frequency.Frequency]],
        retries: Callable[[int], dict[ids.ServiceName, retry_usage.RetryUsage]],
        is_leaving: Callable[[], bool],
        departures: Callable[[], tuple[host_report.Departure, ...]] = tuple,
    ) -> None:
        self.address = address
        self.incarnation = secrets.randbits(INCARNATION_BITS)
        self._failure_domain = failure_domain
        self._configuration_version = configuration_version
        self._upstream = upstream
        self._frequencies = frequencies
        self._retries = retries
        self._is_leaving = is_leaving
        self._departures = departures
        self._sequence = itertools.count(1)
        self._profile = 0
        self._profile_key = host_report.profile_key(None, ())
        self._reported_calls: set[tuple[ids.RouteName, ids.RouteName]] = set()

    def build(
        self,
        is_introduction: bool = False,
        is_first_contact: bool = False,
    ) -> host_report.HostReport:
        """Returns the next report.

        Args:
            is_introduction: Whether the receiver should reply at once.
            is_first_contact: Whether the receiver may have no earlier report.
        """
        sequence = next(self._sequence)
        frequencies: list[call_frequency.Frequency] | None
        if is_first_contact:
            frequencies = self._frequencies()[:MAX_FREQUENCIES_PER_REPORT]
        else:
            frequencies = self._due_frequencies(sequence)
        upstream, departures = self._upstream(), self._departures()
        return host_report.HostReport(
            address=self.address,
            incarnation=self.incarnation,
            sequence=sequence,
            failure_domain=self._failure_domain,
            configuration_version=self._configuration_version(),
            is_leaving=self._is_leaving(),
            upstream=upstream,
            frequencies=frequencies,
            retries=self._retries(sequence),
            is_introduction=is_introduction,
            profile=self._profile_number(upstream, departures),
            departures=departures,
        )

    def _profile_number(
        self,
        upstream: host_report.UpstreamStatus | None,
        departures: tuple[host_report.Departure, ...],
    ) -> int:
        key = host_report.profile_key(upstream, departures)
        if key != self._profile_key:
            self._profile_key = key
            self._profile = (self._profile + 1) % digests.PROFILES
        return self._profile

    def _due_frequencies(
        self, sequence: int
    ) -> list[call_frequency.Frequency] | None:
        frequencies = self._frequencies()[:MAX_FREQUENCIES_PER_REPORT]
        calls = {(each.caller, each.callee) for each in frequencies}
        if (
            sequence % REPORTS_PER_FREQUENCY_UPDATE != 1
            and calls <= self._reported_calls
        ):
            return None
        self._reported_calls = calls
        return frequencies
