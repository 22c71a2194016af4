"""Exchanges host reports and digests between nodes as datagrams."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import aggregator
from cyclamendale.fleet import bulletin_codec
from cyclamendale.fleet import departure_reminders
from cyclamendale.fleet import digests
from cyclamendale.fleet import host_lists as host_lists_module
from cyclamendale.fleet import host_report
from cyclamendale.fleet import hosts
from cyclamendale.fleet import report_builder
from cyclamendale.fleet import report_changes
from cyclamendale.fleet import report_codec
from cyclamendale.fleet import silent_hosts as silent_hosts_module
from cyclamendale.membership import udp

MAX_URGENT_RECEIVERS = 48
"""Hosts of the own failure domain that get an urgent report directly; those of
a larger domain learn it from the next digest."""


class Reporter:
    """Sends and receives reports and digests, and updates the view.

    Each interval a report goes to the aggregators of the failure domain, which
    tell the own domain and the others.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        port: udp.DatagramPort,
        view: hosts.HostView,
        report_aggregator: aggregator.Aggregator,
        builder: report_builder.ReportBuilder,
        silent_hosts: silent_hosts_module.SilentHosts,
        host_lists: host_lists_module.HostLists,
        reminders: departure_reminders.DepartureReminders,
        on_interval: Callable[[], None],
        on_report: Callable[[host_report.HostReport], None],
        on_digest: Callable[[digests.Digest], None],
        on_permit_datagram: Callable[[bytes], None],
        log: Any,
    ) -> None:
        self._clock = clock
        self._port = port
        self._view = view
        self._aggregator = report_aggregator
        self._builder = builder
        self._silent_hosts = silent_hosts
        self._host_lists = host_lists
        self._reminders = reminders
        self._on_interval = on_interval
        self._on_report = on_report
        self._on_digest = on_digest
        self._log = log
        self._news = report_changes.ReportNews()
        self._reported_to: set[ids.PeerAddress] = set()
        self._timer: clocks.DelayedCall | None = None
        self._unknown_kinds: set[bytes] = set()
        kinds = report_codec.DatagramKind
        self._handlers: dict[
            report_codec.DatagramKind, Callable[[bytes], None]
        ] = {
            kinds.PERMIT: on_permit_datagram,
            kinds.REPORT: self._handle_report,
            kinds.FIGURES: self._handle_figures,
            kinds.CONFIRMATION: self._handle_confirmation,
            kinds.BULLETIN: self._handle_bulletin,
            kinds.PROFILE_REQUEST: self._handle_profile_request,
            kinds.HOSTS_REQUEST: host_lists.handle_request,
            kinds.HOSTS: host_lists.handle_part,
            kinds.DEPARTURES: reminders.handle_datagram,
        }

    def start(self) -> None:
        """Opens the port and starts to report."""
        self._port.open(self._handle_datagram)
        self._tick()

    def stop(self) -> Any:
        """Sends a last report to all hosts, then closes the port."""
        clocks.cancel(self._timer)
        try:
            self.send_now()
        finally:
            closed = self._port.close()
        return closed

    def send_now(self) -> None:
        """Sends an urgent report, which other domains pass on at once."""
        report = self._build_report()
        data = report_codec.encode_report(report)
        receivers = sorted(
            host.address for host in self._view.others_in_domain()
        )
        for address in receivers[:MAX_URGENT_RECEIVERS]:
            self._port.transmit(address, data)
        self._transmit(self._aggregator.urgent(report))

    def introduce(self, address: ids.PeerAddress) -> None:
        """Sends a report to one host and requests a report in return."""
        report = self._builder.build(
            is_introduction=True, is_first_contact=True
        )
        self._port.transmit(address, report_codec.encode_report(report))

    def _build_report(self) -> host_report.HostReport:
        report = self._builder.build()
        self._view.apply_report(report)
        self._aggregator.collect(report)
        self._on_report(report)
        return report

    def _tick(self) -> None:
        self._timer = self._clock.call_later(
            self._view.report_interval_s(), self._tick
        )
        self._view.refresh()
        self._on_interval()
        report = self._build_report()
        self._transmit(self._own_news(report))
        self._transmit(self._contacts(report))
        for address, data in self._aggregator.outgoing():
            self._port.transmit(address, data)
        self._reminders.tell_due()
        self._host_lists.ask()

    def _contacts(
        self, report: host_report.HostReport
    ) -> Iterator[aggregator.Datagram]:
        """Yields introductions to silent hosts, which may start again."""
        due = list(self._silent_hosts.take_due())
        if due:
            data = bulletin_codec.encode_introduction(report)
            for address in due:
                yield address, data

    def _own_news(
        self, report: host_report.HostReport
    ) -> Iterator[aggregator.Datagram]:
        """Yields what this host reports to its aggregators."""
        receivers = set(self._view.aggregators())
        if not receivers <= self._reported_to:
            self._news.forget()
        self._reported_to = receivers
        data = self._encode_news(report)
        for address in receivers:
            yield address, data

    def _encode_news(self, report: host_report.HostReport) -> bytes:
        telling = self._news.record(report)
        whole, told = self._news.whole, self._news.told
        if (
            telling is report_changes.Telling.WHOLE
            or report.upstream is None
            or whole is None
            or told is None
        ):
            return report_codec.encode_report(report)
        if telling is report_changes.Telling.CONFIRMATION:
            return report_codec.encode_confirmation(
                report_codec.Confirmation(report.incarnation, told.sequence)
            )
        return report_codec.encode_figures(
            report_codec.make_figures(report, report.upstream, whole.sequence)
        )

    def _transmit(self, datagrams: Iterable[aggregator.Datagram]) -> None:
        for address, data in datagrams:
            self._port.transmit(address, data)

    # Received datagrams.

    def _handle_datagram(self, data: bytes) -> None:
        kind = report_codec.kind_of(data)
        if kind is None:
            self._log_unknown_kind(data)
        else:
            self._handlers[kind](data)

    def _handle_report(self, data: bytes) -> None:
        report = report_codec.decode_report(data)
        if report is None:
            self._log_malformed(data)
            return
        if report.address == self._builder.address:
            return
        is_new = self._view.add_host(report.address, report.failure_domain)
        if not self._view.apply_report(report):
            return
        self._view.record_contact(report.incarnation)
        self._aggregator.collect(report)
        if report.is_introduction:
            self._reminders.handle_introduction(report.address)
        is_new &= self._view.is_in_own_domain(report.failure_domain)
        if is_new or report.is_introduction:
            self._log.belief("host-met", host=report.address, is_new=is_new)
            answer = self._builder.build(is_first_contact=True)
            self._port.transmit(
                report.address, report_codec.encode_report(answer)
            )
        self._on_report(report)
        self._host_lists.ask()

    def _handle_figures(self, data: bytes) -> None:
        figures = report_codec.decode_figures(data)
        if figures is None:
            self._log_malformed(data)
            return
        known = self._view.last_report(figures.incarnation)
        if known is None:
            return
        report = report_codec.complete_figures(figures, known)
        if report is None:
            self._request_profiles(known.address, [figures.incarnation])
        elif self._view.apply_report(report):
            self._view.record_contact(report.incarnation)
            self._aggregator.collect(report)
            self._on_report(report)

    def _handle_confirmation(self, data: bytes) -> None:
        confirmation = report_codec.decode_confirmation(data)
        if confirmation is None:
            self._log_malformed(data)
            return
        known = self._view.last_report(confirmation.incarnation)
        if known is None:
            return
        if known.sequence < confirmation.sequence:
            self._request_profiles(known.address, [confirmation.incarnation])
        self._view.record_contact(confirmation.incarnation)

    def _handle_bulletin(self, data: bytes) -> None:
        received = bulletin_codec.decode(data)
        if received is None:
            self._log_malformed(data)
            return
        for address in received.forward_to:
            self._port.transmit(address, received.forwarded)
        bulletin = received.bulletin
        for profile in bulletin.profiles:
            report = report_codec.decode_report(profile)
            if report is None:
                self._log_malformed(profile)
            elif report.address != self._builder.address:
                # Of the own host, others may still know an earlier process.
                self._view.apply_report(report)
        newer = list(self._newer_digests(bulletin))
        if not self._view.is_in_own_domain(bulletin.failure_domain):
            self._transmit(self._aggregator.handle_remote(bulletin, newer))
        self._host_lists.ask()

    def _newer_digests(
        self, bulletin: bulletin_codec.Bulletin
    ) -> Iterator[digests.Digest]:
        missing: list[int] = []
        for digest in bulletin.digests:
            unknown = self._view.apply_digest(digest)
            if unknown is not None:
                missing.extend(unknown)
                self._on_digest(digest)
                yield digest
        if missing:
            self._request_profiles(bulletin.origin, missing)

    def _request_profiles(
        self, address: ids.PeerAddress, incarnations: list[int]
    ) -> None:
        request = bulletin_codec.ProfileRequest(
            self._builder.address, tuple(incarnations)
        )
        self._port.transmit(address, bulletin_codec.encode_request(request))

    def _handle_profile_request(self, data: bytes) -> None:
        request = bulletin_codec.decode_request(data)
        if request is None:
            self._log_malformed(data)
            return
        if self._builder.incarnation in request.incarnations:
            # An aggregator lacks the report that figures were based on.
            self._news.forget()
        self._transmit(self._aggregator.answer(request))

    def _log_unknown_kind(self, data: bytes) -> None:
        """Logs each unknown kind once: a build that differs sends many."""
        kind = data[:1]
        if kind not in self._unknown_kinds:
            self._unknown_kinds.add(kind)
            self._log_malformed(data)

    def _log_malformed(self, data: bytes) -> None:
        self._log.belief(
            "report-malformed", kind=data[:1].hex(), size_bytes=len(data)
        )
