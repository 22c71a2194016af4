"""Sends requests to the upstream process that they were admitted for.

A request may wait in the queue of the gate, or for a connection, while its
upstream ends and another process, perhaps of another service, takes over the
address. The owner of a request is therefore checked when it is written.
"""

from __future__ import annotations

import functools
from typing import Any

from cyclamendale import buffer_budget
from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.proxy import gate_run
from cyclamendale.proxy import header_names
from cyclamendale.proxy import request_encoding
from cyclamendale.proxy import upstream_connection as connections
from cyclamendale.proxy import upstream_pool


class UpstreamSender:
    """Connections to the current upstream process, and its identity.

    Attributes:
        upstream_id: Id of the process; empty if unknown.
        service: Service that it runs.
    """

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        header_names: header_names.HeaderNames,
        budget: buffer_budget.BufferBudget,
    ) -> None:
        self._clock = clock
        self._header_names = header_names
        self._make_pool = functools.partial(
            upstream_pool.make_upstream_pool,
            reactor,
            clock,
            header_names,
            budget,
        )
        self._pool: upstream_pool.UpstreamPool | None = None
        self._address = ""
        self.upstream_id = ""
        self.service = ids.ServiceName("")

    def set_upstream(
        self, upstream_id: str, service: ids.ServiceName, address: str
    ) -> bool:
        """Sets the current process; returns whether it is another one.

        Args:
            upstream_id: Id of the process.
            service: Service that it runs.
            address: Address it listens on, `ip:port`.
        """
        known = self.upstream_id, self.service, self._address
        if known == (upstream_id, service, address):
            return False
        self.close()
        self._pool = self._make_pool(address)
        self.upstream_id, self.service = upstream_id, service
        self._address = address
        return True

    def close(self) -> None:
        """Closes idle connections now and the others after their request."""
        if self._pool is not None:
            self._pool.close()

    def is_owner(self, run: gate_run.GateRun) -> bool:
        """Returns whether a request was admitted for the current process."""
        return (
            run.upstream_id == self.upstream_id
            and run.ticket.request.service == self.service
        )

    def send(
        self,
        run: gate_run.GateRun,
        receiver: connections.ResultReceiver,
    ) -> None:
        """Sends a request, unless its process is replaced before.

        Args:
            run: The request; gets the lease of its connection.
            receiver: Called once unless the lease is cancelled.
        """
        assert self._pool is not None
        request = run.ticket.request
        method = request.head.partition(b" ")[0]
        run.lease = self._pool.send(
            lambda: self._encode(run),
            request.request_id.encode("latin-1"),
            method == b"HEAD",
            request.idempotent,
            receiver,
        )

    def _encode(self, run: gate_run.GateRun) -> bytes | None:
        """Returns the bytes to write now; None if they must not be written.

        Each write to an upstream passes here.
        """
        if not self.is_owner(run):
            return None
        return request_encoding.encode(
            run.ticket.request,
            self._header_names,
            run.upstream_id,
            self._clock.now_s(),
        )
