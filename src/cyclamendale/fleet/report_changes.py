"""Decides what a host tells the aggregators of its failure domain.

Most reports of a host differ from the one before only in figures. Of these just
the figures are sent, and where these changed little it is confirmed that the
last ones hold.
"""

from __future__ import annotations

from collections.abc import Mapping
import enum

from cyclamendale import ids
from cyclamendale.fleet import host_report
from cyclamendale.overload import retry_usage

MAX_CONFIRMATIONS = 3
"""Intervals in a row in which a report is only confirmed; the interval after
them repairs lost figures."""

WHOLE_REPORT_INTERVALS = 8
"""Intervals after which a report is sent whole again, in case the last whole
one was lost."""

MIN_AT_GATE_CHANGE = 3
"""Smallest change of the requests at a gate that is news."""

AT_GATE_CHANGE_SHARE = 0.125
"""The same as a share of the upstream's slots."""

PRESSURE_CHANGE = 0.05
REFUSED_SHARE_CHANGE = 0.03
SERVICE_TIME_CHANGE_SHARE = 0.2
REQUESTS_CHANGE_SHARE = 0.25


class Telling(enum.Enum):
    """How much of a report is told."""

    WHOLE = "whole"
    FIGURES = "figures"
    CONFIRMATION = "confirmation"


class ReportNews:
    """Remembers what the aggregators know of the own host.

    Attributes:
        whole: The last report that was sent whole.
        told: The last report of which the figures were sent.
    """

    def __init__(self) -> None:
        self.whole: host_report.HostReport | None = None
        self.told: host_report.HostReport | None = None
        self._intervals = 0
        self._confirmations = 0

    def record(self, report: host_report.HostReport) -> Telling:
        """Returns how much of a report to tell, and takes it as told."""
        told = self.told
        if (
            told is None
            or self._intervals >= WHOLE_REPORT_INTERVALS - 1
            or are_others_changed(told, report)
        ):
            self.whole = self.told = report
            self._intervals = self._confirmations = 0
            return Telling.WHOLE
        self._intervals += 1
        if (
            self._confirmations < MAX_CONFIRMATIONS
            and not is_door_changed(told, report)
            and not are_figures_changed(told, report)
        ):
            self._confirmations += 1
            return Telling.CONFIRMATION
        self.told, self._confirmations = report, 0
        return Telling.FIGURES

    def forget(self) -> None:
        """Forgets all, so that the next report is sent whole."""
        self.whole = self.told = None


def are_others_changed(
    old: host_report.HostReport, new: host_report.HostReport
) -> bool:
    """Returns whether anything but figures changed."""
    return (
        new.incarnation != old.incarnation
        or new.configuration_version != old.configuration_version
        or new.is_leaving != old.is_leaving
        or new.profile != old.profile
        or new.frequencies is not None
        or tuple(new.retries) != tuple(old.retries)
        or host_report.profile_key(new.upstream, new.departures)
        != host_report.profile_key(old.upstream, old.departures)
    )


def is_door_changed(
    old: host_report.HostReport, new: host_report.HostReport
) -> bool:
    """Returns whether the upstream opened, closed, or is no longer cold."""
    if old.upstream is None or new.upstream is None:
        return old.upstream is not new.upstream
    return new.upstream.is_open != old.upstream.is_open or (
        new.upstream.cold_left_s > 0
    ) != (old.upstream.cold_left_s > 0)


def are_figures_changed(
    old: host_report.HostReport, new: host_report.HostReport
) -> bool:
    """Returns whether the aggregators should learn new figures."""
    return _is_load_changed(old.upstream, new.upstream) or _are_retries_changed(
        old.retries, new.retries
    )


def _is_load_changed(
    old: host_report.UpstreamStatus | None,
    new: host_report.UpstreamStatus | None,
) -> bool:
    if old is None or new is None:
        return False
    return (
        abs(new.at_gate - old.at_gate)
        >= max(MIN_AT_GATE_CHANGE, AT_GATE_CHANGE_SHARE * new.slots)
        or abs(new.pressure - old.pressure) > PRESSURE_CHANGE
        or abs(new.refused_share - old.refused_share) > REFUSED_SHARE_CHANGE
        or abs(new.service_time_s - old.service_time_s)
        > SERVICE_TIME_CHANGE_SHARE * old.service_time_s
    )


def _are_retries_changed(
    old: Mapping[ids.ServiceName, retry_usage.RetryUsage],
    new: Mapping[ids.ServiceName, retry_usage.RetryUsage],
) -> bool:
    return any(
        usage.repeats != old[service].repeats
        or abs(usage.requests - old[service].requests)
        > REQUESTS_CHANGE_SHARE * old[service].requests
        for service, usage in new.items()
    )
