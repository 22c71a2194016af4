"""A request that is queued at a gate or running on its upstream."""

from __future__ import annotations

from collections.abc import Callable

from cyclamendale.overload import gate_queue
from cyclamendale.proxy import messages
from cyclamendale.proxy import upstream_pool


class GateRun(messages.Handle):
    """Handle of a request that a gate has accepted.

    Attributes:
        ticket: Its place in the queue.
        receiver: Receives its outcome; None once it is cancelled.
        lease: Connection to the upstream, once it is forwarded.
        upstream_id: Upstream process that it was admitted for.
    """

    __slots__ = ("_on_cancel", "lease", "receiver", "ticket", "upstream_id")

    def __init__(
        self,
        on_cancel: Callable[[GateRun], None],
        ticket: gate_queue.Ticket,
        upstream_id: str,
        receiver: messages.OutcomeReceiver,
    ) -> None:
        self._on_cancel = on_cancel
        self.ticket = ticket
        self.receiver: messages.OutcomeReceiver | None = receiver
        self.lease: upstream_pool.Lease | None = None
        self.upstream_id = upstream_id

    @property
    def is_sent(self) -> bool:
        """Returns whether the request was written to the upstream."""
        return self.lease is not None and self.lease.is_sent

    def cancel(self) -> None:
        """See base class."""
        self.receiver = None
        self._on_cancel(self)
