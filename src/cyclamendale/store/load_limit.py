"""Cap on the load that one process puts on the platform."""

from __future__ import annotations

import msgspec
from twisted.internet import defer

from cyclamendale import clocks

FLEET_READS_PER_S = 1600.0
"""Reads of all nodes together: four fifths of the two thousand a second
that the platform handles; the rest is left to operators."""

FLEET_WRITES_PER_S = 320.0
"""Writes of all nodes together: four fifths of the four hundred a second
that "several hundred" is taken for; the rest is left to operators."""

DEFAULT_FLEET_NODES = 1100
"""Nodes that share the platform when the settings do not say."""

NODE_READ_BURST = 32
"""Reads that a node may make at once, such as the files of a start."""

NODE_WRITE_BURST = 8
"""Writes that a node may make at once, such as the leases of a start."""

LEASE_READS_PER_S = 8.0
LEASE_WRITES_PER_S = 4.0
"""Lease operations of one node. Their sum over the fleet is bounded by
the number of leases, not of nodes: 8 shards in each of 7 failure domains,
renewed every 4 s, make 14 writes a second. A share by nodes would let
leases lapse on a node that holds several."""

OPERATOR_READS_PER_S = 100.0
OPERATOR_WRITES_PER_S = 20.0
OPERATOR_BURST = 200
"""Reads or writes that an operator's command may make at once."""

DEFAULT_MAX_IN_FLIGHT = 8
DEFAULT_MAX_WAIT_S = 2.0
"""Longest time an operation waits for its turn before it is given up."""


class LoadShare(msgspec.Struct, frozen=True):
    """What one process may ask of the platform.

    Attributes:
        reads_per_s: Sustained rate of reads.
        writes_per_s: Sustained rate of writes.
        read_burst: Reads allowed at once after a quiet time.
        write_burst: Writes allowed at once after a quiet time.
        max_in_flight: Requests sent and not yet answered.
        max_wait_s: Longest wait for a turn.
    """

    reads_per_s: float
    writes_per_s: float
    read_burst: int
    write_burst: int
    max_in_flight: int = DEFAULT_MAX_IN_FLIGHT
    max_wait_s: float = DEFAULT_MAX_WAIT_S


def make_node_share(fleet_nodes: int = DEFAULT_FLEET_NODES) -> LoadShare:
    """Returns the share of one node of a fleet of a given size.

    At 1,100 nodes this is 1.45 reads and 0.29 writes a second. The
    size is the planned one, not the number of members seen: nodes on
    both sides of a partition would each take the share of the others.

    Args:
        fleet_nodes: Most nodes that will run at the same time.
    """
    return LoadShare(
        reads_per_s=FLEET_READS_PER_S / fleet_nodes,
        writes_per_s=FLEET_WRITES_PER_S / fleet_nodes,
        read_burst=NODE_READ_BURST,
        write_burst=NODE_WRITE_BURST,
    )


def make_lease_share() -> LoadShare:
    """Returns the share of one node for its leases alone."""
    return LoadShare(
        reads_per_s=LEASE_READS_PER_S,
        writes_per_s=LEASE_WRITES_PER_S,
        read_burst=NODE_READ_BURST,
        write_burst=NODE_WRITE_BURST,
    )


def make_operator_share() -> LoadShare:
    """Returns the share of one operator's command."""
    return LoadShare(
        reads_per_s=OPERATOR_READS_PER_S,
        writes_per_s=OPERATOR_WRITES_PER_S,
        read_burst=OPERATOR_BURST,
        write_burst=OPERATOR_BURST,
    )


ROUNDING_TOLERANCE_S = 1e-6
"""Wait that is none: the sum of a burst's intervals is not exact."""


class TokenBucket:
    """Rate and burst as a virtual schedule (GCRA)."""

    __slots__ = ("_interval_s", "_theoretical_arrival_s", "_tolerance_s")

    def __init__(self, rate_per_s: float, burst: int) -> None:
        self._interval_s = 1.0 / rate_per_s
        self._tolerance_s = (burst - 1) * self._interval_s
        self._theoretical_arrival_s = float("-inf")

    def reserve(self, now_s: float, max_wait_s: float) -> float | None:
        """Returns the wait for the next turn, or None if it is too long."""
        arrival_s = max(self._theoretical_arrival_s, now_s)
        wait_s = max(0.0, arrival_s - self._tolerance_s - now_s)
        if wait_s > max_wait_s + ROUNDING_TOLERANCE_S:
            return None
        self._theoretical_arrival_s = arrival_s + self._interval_s
        return wait_s


class LoadLimiter:
    """Gives operations their turn within a `LoadShare`."""

    def __init__(self, clock: clocks.Clock, share: LoadShare) -> None:
        self._clock = clock
        self._share = share
        self._reads = TokenBucket(share.reads_per_s, share.read_burst)
        self._writes = TokenBucket(share.writes_per_s, share.write_burst)
        self._in_flight = defer.DeferredSemaphore(share.max_in_flight)

    async def acquire(self, *, is_write: bool) -> bool:
        """Waits for a turn; False when it would take too long.

        After True, `release` must be called when the operation ends.
        """
        bucket = self._writes if is_write else self._reads
        max_wait_s = self._share.max_wait_s
        wait_s = bucket.reserve(self._clock.now_s(), max_wait_s)
        if wait_s is None:
            return False
        if wait_s > 0:
            await sleep(self._clock, wait_s)
        await self._in_flight.acquire()
        return True

    def release(self) -> None:
        """Ends an operation that had its turn."""
        self._in_flight.release()


def sleep(clock: clocks.Clock, delay_s: float) -> defer.Deferred[None]:
    """Returns a Deferred that fires after a delay; may be cancelled."""
    elapsed: defer.Deferred[None] = defer.Deferred(lambda _: call.cancel())
    call = clock.call_later(delay_s, elapsed.callback, None)
    return elapsed
