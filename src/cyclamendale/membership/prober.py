"""Failure detection by direct and indirect probes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cyclamendale import ids
from cyclamendale.membership import local_health
from cyclamendale.membership import probe_targets
from cyclamendale.membership import wire

PROBE_PERIOD_S = 1.0
DIRECT_TIMEOUT_S = 0.4
"""Time without an answer after which helpers probe the target."""
RELAY_TIMEOUT_S = 0.2
"""Time without an answer after which a helper sends a NACK."""
HELPERS_PER_PROBE = 3
"""Maximum number of helpers asked for an indirect probe."""


class SendDatagram(Protocol):
    """Function that sends one datagram of a probe."""

    def __call__(
        self,
        kind: wire.DatagramKind,
        receiver: ids.PeerAddress,
        sequence: int,
        target: ids.PeerAddress | None = None,
    ) -> None:
        """Sends a datagram of `kind` with piggybacked updates."""


class _Probe:
    __slots__ = ("helpers", "nacks", "sequence", "started_s", "target")

    def __init__(
        self, target: ids.PeerAddress, sequence: int, started_s: float
    ) -> None:
        self.target = target
        self.sequence = sequence
        self.started_s = started_s
        self.helpers: frozenset[ids.PeerAddress] | None = None
        self.nacks: set[ids.PeerAddress] = set()


class _Relay:
    __slots__ = ("deadline_s", "requester", "sequence", "target")

    def __init__(
        self,
        requester: ids.PeerAddress,
        sequence: int,
        target: ids.PeerAddress,
        deadline_s: float,
    ) -> None:
        self.requester = requester
        self.sequence = sequence
        self.target = target
        self.deadline_s = deadline_s


class Prober:
    """Probes one member per period and relays probes of other nodes."""

    def __init__(
        self,
        targets: probe_targets.ProbeTargets,
        health: local_health.LocalHealth,
        send: SendDatagram,
        on_unreachable: Callable[[ids.PeerAddress], None],
        first_probe_s: float,
    ) -> None:
        """Creates a prober.

        Args:
            targets: Selects probe targets and helpers.
            health: Health of this node; extends periods and timeouts.
            send: Sends the datagrams.
            on_unreachable: Called with the address of a member whose probe
                failed.
            first_probe_s: Clock time of the first probe.
        """
        self._targets = targets
        self._health = health
        self._send = send
        self._on_unreachable = on_unreachable
        self._next_probe_s = first_probe_s
        self._sequence = 0
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}

    def tick(self, now_s: float) -> None:
        """Starts and advances the probes and relays that are due."""
        self._expire_relays(now_s)
        if self._probe is not None:
            self._advance_probe(self._probe, now_s)
        if self._probe is None and now_s >= self._next_probe_s:
            self._begin_probe(now_s)

    def extend_deadlines(self, pause_s: float) -> None:
        """Extends all deadlines by a pause of this process."""
        self._next_probe_s += pause_s
        if self._probe is not None:
            self._probe.started_s += pause_s
        for relay in self._relays.values():
            relay.deadline_s += pause_s

    def ping(self, target: ids.PeerAddress) -> None:
        """Sends a ping whose loss does not make `target` suspect."""
        self._send(wire.DatagramKind.PING, target, self._next_sequence())

    def handle_ack(self, sequence: int) -> None:
        """Handles the answer to a ping of this node or a relayed one."""
        probe = self._probe
        if probe is not None and probe.sequence == sequence:
            self._probe = None
            self._health.record_answered_probe()
            return
        relay = self._relays.pop(sequence, None)
        if relay is not None:
            self._send(
                wire.DatagramKind.ACK,
                relay.requester,
                relay.sequence,
                relay.target,
            )

    def handle_nack(self, sequence: int, helper: ids.PeerAddress) -> None:
        """Handles the report of a helper that got no answer either."""
        probe = self._probe
        if probe is not None and probe.sequence == sequence:
            probe.nacks.add(helper)

    def relay_probe(
        self,
        requester: ids.PeerAddress,
        sequence: int,
        target: ids.PeerAddress,
        now_s: float,
    ) -> None:
        """Probes `target` on behalf of another node."""
        own_sequence = self._next_sequence()
        self._relays[own_sequence] = _Relay(
            requester, sequence, target, now_s + RELAY_TIMEOUT_S
        )
        self._send(wire.DatagramKind.PING, target, own_sequence)

    def _begin_probe(self, now_s: float) -> None:
        self._next_probe_s = now_s + PROBE_PERIOD_S * self._health.multiplier
        target = self._targets.next()
        if target is None:
            return
        self._probe = _Probe(target, self._next_sequence(), now_s)
        self._send(wire.DatagramKind.PING, target, self._probe.sequence)

    def _advance_probe(self, probe: _Probe, now_s: float) -> None:
        scaled_wait_s = (now_s - probe.started_s) / self._health.multiplier
        if probe.helpers is None and scaled_wait_s >= DIRECT_TIMEOUT_S:
            probe.helpers = frozenset(
                self._targets.choose_helpers(probe.target, HELPERS_PER_PROBE)
            )
            for helper in probe.helpers:
                self._send(
                    wire.DatagramKind.PING_REQUEST,
                    helper,
                    probe.sequence,
                    probe.target,
                )
        if scaled_wait_s >= PROBE_PERIOD_S:
            self._probe = None
            if probe.helpers and not probe.helpers <= probe.nacks:
                # Some helpers did not respond either, so this node may be
                # the one that is impaired.
                self._health.record_degradation()
            self._on_unreachable(probe.target)

    def _expire_relays(self, now_s: float) -> None:
        if not self._relays:
            return
        expired = [
            sequence
            for sequence, relay in self._relays.items()
            if relay.deadline_s <= now_s
        ]
        for sequence in expired:
            relay = self._relays.pop(sequence)
            self._send(
                wire.DatagramKind.NACK,
                relay.requester,
                relay.sequence,
                relay.target,
            )

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) & 0x7FFFFFFF
        return self._sequence
