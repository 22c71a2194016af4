"""Tells nodes of departures that an earlier process of theirs confirmed.

The store may lack the row of a departure although it answers: it was away when
the row was to be written, and the process that would retry has ended. Nodes
remember the departures that a host reported. If the report of its next process
lacks one, they tell it, and again until a report has it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from cyclamendale import clocks
from cyclamendale import decoding
from cyclamendale import ids
from cyclamendale.fleet import host_lists
from cyclamendale.fleet import host_report
from cyclamendale.fleet import hosts
from cyclamendale.fleet import known_host
from cyclamendale.fleet import report_codec

FIRST_RETRY_DELAY_S = 1.0
RETRY_DELAY_FACTOR = 2.0
MAX_RETRY_DELAY_S = 60.0
"""Delay until a host whose reports still lack a departure is told again."""

MAX_REMINDERS_PER_INTERVAL = 4
"""Hosts that a node tells per report interval, besides those that introduce
themselves."""


class Reminder(msgspec.Struct, frozen=True, array_like=True):
    """Departures of the receiver's upstreams.

    Attributes:
        receiver: Address of the host.
        departures: Departures that its last report lacks.
    """

    receiver: ids.PeerAddress
    departures: tuple[host_report.Departure, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Reminder)


def encode(reminder: Reminder) -> bytes:
    """Encodes a reminder as a datagram."""
    kind = bytes((report_codec.DatagramKind.DEPARTURES,))
    return kind + _encoder.encode(reminder)


def decode(datagram: bytes) -> Reminder | None:
    """Decodes a reminder; returns None if the datagram is not valid."""
    try:
        return _decoder.decode(datagram[1:])
    except decoding.ERRORS:
        return None


class DepartureReminders:
    """Reminders that one node sends and receives."""

    def __init__(
        self,
        clock: clocks.Clock,
        view: hosts.HostView,
        lists: host_lists.HostLists,
        own_address: ids.PeerAddress,
        transmit: Callable[[ids.PeerAddress, bytes], None],
        log: Any,
    ) -> None:
        self._clock = clock
        self._view = view
        self._lists = lists
        self._own_address = own_address
        self._transmit = transmit
        self._log = log
        # Next clock time and retry delay, by host that lacks departures.
        self._told: dict[ids.PeerAddress, tuple[float, float]] = {}

    def handle_introduction(self, address: ids.PeerAddress) -> None:
        """Tells a host that has just introduced itself."""
        host = self._view.find(address)
        if host is not None:
            self._tell(host, self._missing(host))

    def tell_due(self) -> None:
        """Tells hosts that still lack departures; called each interval.

        The aggregators of all failure domains do it: they hear of each host.
        """
        if self._view.rank_in_domain() >= hosts.AGGREGATORS_PER_DOMAIN:
            self._told.clear()
            return
        now_s = self._clock.now_s()
        due, lacking = [], {}
        for host in self._view.others():
            missing = self._missing(host)
            if not missing:
                continue
            told = self._told.get(host.address, (now_s, FIRST_RETRY_DELAY_S))
            lacking[host.address] = told
            if told[0] <= now_s and not host.candidate.is_suspect:
                due.append((host, missing))
        self._told = lacking
        for host, missing in due[:MAX_REMINDERS_PER_INTERVAL]:
            self._tell(host, missing)

    def handle_datagram(self, data: bytes) -> None:
        """Takes departures that another node remembers."""
        reminder = decode(data)
        if reminder is None:
            self._log.belief(
                "report-malformed", kind=data[:1].hex(), size_bytes=len(data)
            )
        elif reminder.receiver == self._own_address:
            told = reminder.departures[-host_report.MAX_DEPARTURES :]
            self._log.belief("departures-told", count=len(told))
            self._lists.on_departures(told)

    def _missing(
        self, host: known_host.KnownHost
    ) -> tuple[host_report.Departure, ...]:
        """Returns the remembered departures that a host's report lacks."""
        known = self._lists.departures_of(host)
        if host.report is None or not known:
            return ()
        reported = {
            each.upstream_id: each.started_at_ms
            for each in host.report.departures
        }
        return tuple(
            each
            for each in known
            if reported.get(each.upstream_id, -1) < each.started_at_ms
        )

    def _tell(
        self,
        host: known_host.KnownHost,
        missing: tuple[host_report.Departure, ...],
    ) -> None:
        if not missing:
            return
        _, delay_s = self._told.get(host.address, (0.0, FIRST_RETRY_DELAY_S))
        self._told[host.address] = (
            self._clock.now_s() + delay_s,
            min(MAX_RETRY_DELAY_S, delay_s * RETRY_DELAY_FACTOR),
        )
        self._transmit(host.address, encode(Reminder(host.address, missing)))
