"""Limits the load that one process puts on the platform."""

from __future__ import annotations

import msgspec
from twisted.internet import defer

from cyclamendale import clocks

FLEET_READS_PER_S = 1600.0
"""Total reads of all nodes: 80% of the 2,000 reads a second that the
platform handles. The remainder is reserved for operators."""

FLEET_WRITES_PER_S = 320.0
"""Total writes of all nodes: 80% of 400 writes a second, the value
assumed for the platform's stated capacity of "several hundred". The
remainder is reserved for operators."""

DEFAULT_FLEET_NODES = 1100
"""Fleet size that is assumed if the settings do not state one."""

NODE_READ_BURST = 32
"""Burst of reads of one node, such as those of its files at start-up."""

NODE_WRITE_BURST = 8
"""Burst of writes of one node, such as those of its leases at start-up."""

LEASE_READS_PER_S = 8.0
LEASE_WRITES_PER_S = 4.0
"""Rate of lease operations of one node. The total of the fleet is bounded
by the number of leases, not of nodes: 8 shards in each of 7 failure
domains, renewed every 4 s, make 14 writes a second. A rate divided by the
number of nodes would let leases expire on a node that holds several."""

OPERATOR_READS_PER_S = 100.0
OPERATOR_WRITES_PER_S = 20.0
OPERATOR_BURST = 200
"""Burst of reads, and of writes, of one operator command."""

DEFAULT_MAX_IN_FLIGHT = 8
DEFAULT_MAX_WAIT_S = 2.0
"""Maximum delay of an operation; with a longer one it is rejected at once."""


class LoadShare(msgspec.Struct, frozen=True):
    """Rate limits of one process for operations on the platform.

    Attributes:
        reads_per_s: Sustained rate of reads.
        writes_per_s: Sustained rate of writes.
        read_burst: Maximum burst of reads.
        write_burst: Maximum burst of writes.
        max_in_flight: Maximum number of unanswered requests.
        max_wait_s: Maximum delay of an operation by all limits.
    """

    reads_per_s: float
    writes_per_s: float
    read_burst: int
    write_burst: int
    max_in_flight: int = DEFAULT_MAX_IN_FLIGHT
    max_wait_s: float = DEFAULT_MAX_WAIT_S


def make_node_share(fleet_nodes: int = DEFAULT_FLEET_NODES) -> LoadShare:
    """Returns the share of one node in a fleet of a given size.

    At 1,100 nodes this is 1.45 reads and 0.29 writes a second. The share
    depends on the planned fleet size rather than on the number of visible
    members: in a partition the nodes on each side would otherwise also
    use the share of the nodes on the other side.

    Args:
        fleet_nodes: Maximum number of nodes that run at the same time.
    """
    return LoadShare(
        reads_per_s=FLEET_READS_PER_S / fleet_nodes,
        writes_per_s=FLEET_WRITES_PER_S / fleet_nodes,
        read_burst=NODE_READ_BURST,
        write_burst=NODE_WRITE_BURST,
    )


def make_lease_share() -> LoadShare:
    """Returns the separate share of one node for lease operations."""
    return LoadShare(
        reads_per_s=LEASE_READS_PER_S,
        writes_per_s=LEASE_WRITES_PER_S,
        read_burst=NODE_READ_BURST,
        write_burst=NODE_WRITE_BURST,
    )


def make_operator_share() -> LoadShare:
    """Returns the share of one operator command."""
    return LoadShare(
        reads_per_s=OPERATOR_READS_PER_S,
        writes_per_s=OPERATOR_WRITES_PER_S,
        read_burst=OPERATOR_BURST,
        write_burst=OPERATOR_BURST,
    )


ROUNDING_TOLERANCE_S = 1e-6
"""Excess over the maximum wait that is ignored, since sums of intervals have
rounding errors."""


class TokenBucket:
    """Rate limiter based on the generic cell rate algorithm (GCRA)."""

    __slots__ = ("_interval_s", "_theoretical_arrival_s", "_tolerance_s")

    def __init__(self, rate_per_s: float, burst: int) -> None:
        self._interval_s = 1.0 / rate_per_s
        self._tolerance_s = (burst - 1) * self._interval_s
        self._theoretical_arrival_s = float("-inf")

    def reserve(self, now_s: float, max_wait_s: float) -> float | None:
        """Reserves an operation; returns its wait, or None if too long."""
        arrival_s = max(self._theoretical_arrival_s, now_s)
        wait_s = max(0.0, arrival_s - self._tolerance_s - now_s)
        if wait_s > max_wait_s + ROUNDING_TOLERANCE_S:
            return None
        self._theoretical_arrival_s = arrival_s + self._interval_s
        return wait_s


class LoadLimiter:
    """Delays or rejects operations to stay within a `LoadShare`."""

    def __init__(self, clock: clocks.Clock, share: LoadShare) -> None:
        self._clock = clock
        self._share = share
        self._reads = TokenBucket(share.reads_per_s, share.read_burst)
        self._writes = TokenBucket(share.writes_per_s, share.write_burst)
        self._in_flight = defer.DeferredSemaphore(share.max_in_flight)

    async def acquire(self, *, is_write: bool) -> bool:
        """Waits until an operation may be sent.

        Returns:
            True if it may be sent; the caller then calls `release` when
            the operation ends. False if the wait would be too long.
        """
        bucket = self._writes if is_write else self._reads
        max_wait_s = self._share.max_wait_s
        wait_s = bucket.reserve(self._clock.now_s(), max_wait_s)
        if wait_s is None:
            return False
        if wait_s > 0:
            await sleep(self._clock, wait_s)
        return await self._enter(max_wait_s - wait_s)

    async def _enter(self, max_wait_s: float) -> bool:
        """Waits for others to end; returns whether that was in time."""
        entering = self._in_flight.acquire()
        timer = self._clock.call_later(max(0.0, max_wait_s), entering.cancel)
        try:
            await entering
        except defer.CancelledError:
            if timer.active():
                # The operation itself was cancelled.
                timer.cancel()
                raise
            return False
        clocks.cancel(timer)
        return True

    def release(self) -> None:
        """Marks an operation that `acquire` allowed as ended."""
        self._in_flight.release()


def sleep(clock: clocks.Clock, delay_s: float) -> defer.Deferred[None]:
    """Returns a cancellable Deferred that fires after a delay."""
    elapsed: defer.Deferred[None] = defer.Deferred(lambda _: call.cancel())
    call = clock.call_later(delay_s, elapsed.callback, None)
    return elapsed
