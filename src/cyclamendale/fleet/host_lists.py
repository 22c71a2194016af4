"""Asks other nodes for the hosts they know while the store is away.

A process that starts again knows no host, and the store may not answer. Any
node that contacts it can tell it of the others. Each datagram of a list has a
part of the hosts; a lost one is made up for by asking again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
import math
import random as random_module
from typing import Any

import msgspec

from cyclamendale import addresses
from cyclamendale import clocks
from cyclamendale import decoding
from cyclamendale import ids
from cyclamendale.fleet import host_report
from cyclamendale.fleet import hosts
from cyclamendale.fleet import known_host
from cyclamendale.fleet import report_codec

HOSTS_PER_PART = 60
"""Hosts of one datagram, which then is below the maximum size."""

FIRST_RETRY_DELAY_S = 0.3
RETRY_DELAY_FACTOR = 2.0
MAX_RETRY_DELAY_S = 5.0
"""Delay until another node is asked; it grows with each list that was not
complete."""

_NONCE_BITS = 31


class ListedHost(msgspec.Struct, frozen=True):
    """A host as another node knows it.

    Attributes:
        address: Address on which its node listens for other nodes.
        failure_domain: Failure domain of the host.
        silent_s: Time since it was last heard of.
        departures: The last departures of its upstreams.
    """

    address: ids.PeerAddress
    failure_domain: ids.FailureDomainName
    silent_s: float = 0.0
    departures: tuple[host_report.Departure, ...] = ()


class _PackedHost(msgspec.Struct, frozen=True, array_like=True):
    """`ListedHost` with the index of its failure domain and whole seconds."""

    address: ids.PeerAddress
    domain: int
    silent_s: int
    departures: tuple[host_report.Departure, ...] = ()


class HostsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for all hosts that the receiver knows.

    Attributes:
        sender: Address for the answer.
        nonce: Random number that the answer repeats.
    """

    sender: ids.PeerAddress
    nonce: int


class HostsPart(msgspec.Struct, frozen=True, array_like=True):
    """One datagram of the hosts that a node knows.

    Attributes:
        sender: The node.
        nonce: Nonce of the request.
        part: Number of this part, from 0.
        part_count: Number of parts.
        is_complete: Whether the node has read the rows of the store, or has a
            complete list from another node.
        domains: Failure domains of the hosts.
        hosts: The hosts.
    """

    sender: ids.PeerAddress
    nonce: int
    part: int
    part_count: int
    is_complete: bool
    domains: tuple[ids.FailureDomainName, ...]
    hosts: tuple[_PackedHost, ...]

    def listed(self) -> Iterator[ListedHost]:
        """Yields the hosts, without those that make no sense."""
        for host in self.hosts:
            if (
                addresses.is_valid(host.address)
                and 0 <= host.domain < len(self.domains)
                and 0 <= host.silent_s <= hosts.HOST_EXPIRY_S
            ):
                yield ListedHost(
                    host.address,
                    self.domains[host.domain],
                    float(host.silent_s),
                    host.departures[-host_report.MAX_DEPARTURES :],
                )


def pack_part(
    request: HostsRequest,
    sender: ids.PeerAddress,
    number: int,
    part_count: int,
    is_complete: bool,
    listed: Sequence[ListedHost],
) -> HostsPart:
    """Returns a part of the answer to a request; see `HostsPart`."""
    domains = sorted({host.failure_domain for host in listed})
    return HostsPart(
        sender,
        request.nonce,
        number,
        part_count,
        is_complete,
        tuple(domains),
        tuple(
            _PackedHost(
                host.address,
                domains.index(host.failure_domain),
                int(host.silent_s),
                host.departures,
            )
            for host in listed
        ),
    )


_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(HostsRequest)
_part_decoder = msgspec.msgpack.Decoder(HostsPart)


def encode_request(request: HostsRequest) -> bytes:
    """Encodes a request as a datagram."""
    kind = bytes((report_codec.DatagramKind.HOSTS_REQUEST,))
    return kind + _encoder.encode(request)


def decode_request(datagram: bytes) -> HostsRequest | None:
    """Decodes a request; returns None if the datagram is not valid."""
    try:
        return _request_decoder.decode(datagram[1:])
    except decoding.ERRORS:
        return None


def encode_part(part: HostsPart) -> bytes:
    """Encodes a part of a list as a datagram."""
    kind = bytes((report_codec.DatagramKind.HOSTS,))
    return kind + _encoder.encode(part)


def decode_part(datagram: bytes) -> HostsPart | None:
    """Decodes a part of a list; None if the datagram is not valid."""
    try:
        return _part_decoder.decode(datagram[1:])
    except decoding.ERRORS:
        return None


class HostLists:
    """Lists of hosts that one node asks for and answers with.

    Attributes:
        on_hosts: Takes the hosts of each part that arrives.
        on_departures: Takes the departures of the own host's upstreams.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        view: hosts.HostView,
        own_address: ids.PeerAddress,
        own_domain: ids.FailureDomainName,
        transmit: Callable[[ids.PeerAddress, bytes], None],
        log: Any,
    ) -> None:
        self._clock = clock
        self._random = random
        self._view = view
        self._own_address = own_address
        self._own_domain = own_domain
        self._transmit = transmit
        self._log = log
        self._is_complete = False
        self._is_asking = False
        self._nonce = 0
        self._parts: set[int] = set()
        self._next_ask_s = -math.inf
        self._retry_delay_s = FIRST_RETRY_DELAY_S
        self._departures: dict[
            ids.PeerAddress, tuple[host_report.Departure, ...]
        ] = {}
        self.on_hosts: Callable[[Sequence[ListedHost]], None] = lambda _: None
        self.on_departures: Callable[
            [Sequence[host_report.Departure]], None
        ] = lambda _: None

    def need(self) -> None:
        """Asks other nodes from now on, unless a list was complete."""
        if not self._is_complete:
            self._is_asking = True
            self.ask()

    def conclude(self) -> None:
        """Asks no more: the hosts are known."""
        self._is_complete = True
        self._is_asking = False

    def ask(self) -> None:
        """Asks a node if a list is needed; called whenever one is heard."""
        now_s = self._clock.now_s()
        if not self._is_asking or now_s < self._next_ask_s:
            return
        live = [
            host.address
            for host in self._view.others()
            if host.report is not None and not host.candidate.is_suspect
        ]
        if not live:
            return
        self._next_ask_s = now_s + self._retry_delay_s
        self._nonce = self._random.getrandbits(_NONCE_BITS)
        self._parts.clear()
        self._transmit(
            self._random.choice(live),
            encode_request(HostsRequest(self._own_address, self._nonce)),
        )

    def handle_request(self, data: bytes) -> None:
        """Answers another node."""
        request = decode_request(data)
        if request is None:
            self._log_malformed(data)
            return
        known = self._known()
        starts = range(0, len(known), HOSTS_PER_PART)
        for number, start in enumerate(starts):
            part = pack_part(
                request,
                self._own_address,
                number,
                len(starts),
                self._is_complete,
                known[start : start + HOSTS_PER_PART],
            )
            self._transmit(request.sender, encode_part(part))

    def handle_part(self, data: bytes) -> None:
        """Takes a part of an answer."""
        part = decode_part(data)
        if part is None:
            self._log_malformed(data)
            return
        if not self._is_asking or part.nonce != self._nonce:
            return
        if not 0 <= part.part < part.part_count:
            self._log_malformed(data)
            return
        listed = list(part.listed())
        self._log.belief(
            "hosts-listed",
            peer=part.sender,
            count=len(listed),
            is_complete=part.is_complete,
        )
        if not self._parts:
            self._retry_delay_s = min(
                MAX_RETRY_DELAY_S, self._retry_delay_s * RETRY_DELAY_FACTOR
            )
        self._parts.add(part.part)
        if part.is_complete and len(self._parts) == part.part_count:
            self.conclude()
        self.on_hosts(listed)
        for host in listed:
            if host.departures:
                self._record_departures(host)

    def departures_of(
        self, host: known_host.KnownHost
    ) -> tuple[host_report.Departure, ...]:
        """Returns the last departures of a host, as reports and lists tell."""
        return host_report.merge_departures(
            self._departures.get(host.address, ()), host.departures
        )

    def _known(self) -> list[ListedHost]:
        """Returns the known hosts, by failure domain and address."""
        now_s = self._clock.now_s()
        known = [
            ListedHost(self._own_address, self._own_domain),
            *(
                ListedHost(
                    host.address,
                    host.failure_domain,
                    min(hosts.HOST_EXPIRY_S, now_s - host.last_heard_s),
                    self.departures_of(host),
                )
                for host in self._view.others()
            ),
        ]
        return sorted(
            known, key=lambda host: (host.failure_domain, host.address)
        )

    def _record_departures(self, host: ListedHost) -> None:
        if host.address == self._own_address:
            self.on_departures(host.departures)
        else:
            # Its next process may ask here.
            self._departures[host.address] = host_report.merge_departures(
                self._departures.get(host.address, ()), host.departures
            )

    def _log_malformed(self, data: bytes) -> None:
        self._log.belief(
            "report-malformed", kind=data[:1].hex(), size_bytes=len(data)
        )
