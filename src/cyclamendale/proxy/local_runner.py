"""Runs requests at the gate of this host."""

from __future__ import annotations

from collections.abc import Callable

from cyclamendale import ids
from cyclamendale.overload import gate_queue
from cyclamendale.proxy import links
from cyclamendale.proxy import messages


class LocalRunner(messages.Runner):
    """Runs requests at this host's gate and reports its load as links do."""

    def __init__(
        self,
        own: ids.PeerAddress,
        gate: messages.Runner,
        load: Callable[[], gate_queue.GateLoad],
        on_load: links.LoadListener,
    ) -> None:
        self._own = own
        self._gate = gate
        self._load = load
        self._on_load = on_load

    def run(
        self,
        request: messages.UpstreamRequest,
        receiver: messages.OutcomeReceiver,
    ) -> messages.Handle | None:
        """See base class."""

        def on_outcome(outcome: messages.Outcome) -> None:
            self._on_load(self._own, self._load().at_gate)
            receiver(outcome)

        return self._gate.run(request, on_outcome)
