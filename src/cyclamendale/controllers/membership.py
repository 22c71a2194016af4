"""Controller of the node's membership in the cluster.

It runs the gossip protocol over UDP, synchronises state over peer connections
and finds first contacts through rows in the platform's table.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Any

from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale.controllers import base
from cyclamendale.membership import contact_rows
from cyclamendale.membership import datagram_auth
from cyclamendale.membership import directory
from cyclamendale.membership import link
from cyclamendale.membership import protocol as protocols
from cyclamendale.membership import state_sync
from cyclamendale.membership import udp
from cyclamendale.peer import network as networks
from cyclamendale.store import table as tables

LEAVE_SPREAD_S = 1.0
"""How long a leaving node keeps spreading that it left."""


class MembershipController(base.Controller):
    """Runs the membership protocol of one node.

    Attributes:
        directory: The known members, for the other controllers.
        counters: Counters of the datagram link.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        protocol: protocols.Protocol,
        datagrams: link.AuthenticatedLink,
        port: udp.DatagramPort,
        sync: state_sync.StateSync,
        rows: contact_rows.ContactRows,
        event_log: events.EventLog,
    ) -> None:
        self._clock = clock
        self._protocol = protocol
        self._datagrams = datagrams
        self._port = port
        self._sync = sync
        self._rows = rows
        self._event_log = event_log
        self._recorded_states: dict[
            ids.PeerAddress, tuple[ids.NodeId, directory.MemberState]
        ] = {}
        self._tick_call: clocks.DelayedCall | None = None
        self.directory: directory.Directory = protocol.members
        self.counters = datagrams.counters

    def start(self) -> None:
        """See base class."""
        self._protocol.members.subscribe(self._record_change)
        self._sync.serve()
        self._port.open(self._handle_datagram)
        self._tick()
        self._rows.start()

    @defer.inlineCallbacks
    def stop(self) -> Any:
        """Spreads that the node left, then closes the port."""
        self._protocol.leave()
        row_removed = self._rows.stop()
        spread_done: defer.Deferred[None] = defer.Deferred()
        self._clock.call_later(LEAVE_SPREAD_S, spread_done.callback, None)
        yield spread_done
        clocks.cancel(self._tick_call)
        yield self._port.close()
        if not row_removed.called:
            # The table is slow or down; other nodes delete the stale row.
            row_removed.addErrback(
                lambda failure: failure.trap(defer.CancelledError)
            )
            row_removed.cancel()

    def set_upstream(self, upstream: directory.Announcement | None) -> None:
        """Spreads the announcement of the node's own upstream."""
        self._protocol.set_upstream(upstream)

    def set_leaving(self) -> None:
        """Spreads that the node accepts no new work."""
        self._protocol.set_leaving()

    def _tick(self) -> None:
        self._tick_call = self._clock.call_later(protocols.TICK_S, self._tick)
        self._protocol.tick()

    def _handle_datagram(self, data: bytes) -> None:
        datagram = self._datagrams.open(data)
        if datagram is not None:
            self._protocol.receive(datagram)

    def _record_change(self, member: directory.Member) -> None:
        state = (member.node, member.state)
        if member.address == self._protocol.members.own().address:
            return
        if self._recorded_states.get(member.address) != state:
            self._recorded_states[member.address] = state
            self._event_log.record(
                events.MemberChanged(
                    member=member.node, state=member.state.value
                )
            )


def make_membership_controller(
    clock: clocks.Clock,
    rng: random.Random,
    own: directory.Member,
    table: tables.Table,
    network: networks.PeerNetwork,
    event_log: events.EventLog,
    secret: bytes,
    port: udp.DatagramPort,
    make_nonce: Callable[[], int] = datagram_auth.random_nonce,
) -> MembershipController:
    """Returns the membership controller of a node.

    Args:
        clock: Time source and scheduler.
        rng: Random source.
        own: The node's own member entry.
        table: The platform's table, for first contact.
        network: Sends requests to other nodes, to join the cluster.
        event_log: Where membership changes are recorded.
        secret: The fleet secret; may be empty on loopback only.
        port: Sends and receives datagrams, e.g.
            `udp.UdpPort(reactor, interface, port)`.
        make_nonce: Returns a new nonce of this process for its datagrams.
    """
    authenticator = datagram_auth.Authenticator(secret, own.address, make_nonce)
    datagrams = link.AuthenticatedLink(own.node, authenticator, port.transmit)

    def start_sync(peer: ids.PeerAddress) -> None:
        sync.schedule(peer)

    protocol = protocols.Protocol(clock, rng, own, datagrams, start_sync)
    sync = state_sync.StateSync(protocol, network)
    rows = contact_rows.ContactRows(
        clock, rng, protocol.members, table, start_sync
    )
    return MembershipController(
        clock, protocol, datagrams, port, sync, rows, event_log
    )
