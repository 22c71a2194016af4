"""Base class of controllers."""

from __future__ import annotations

import abc

from twisted.internet import defer


class Controller(abc.ABC):
    """Long-lived state of a node with a start and a graceful stop."""

    @abc.abstractmethod
    def start(self) -> None:
        """Begins periodic work; called once, on the reactor thread."""

    @abc.abstractmethod
    def stop(self) -> defer.Deferred[None]:
        """Gives back what the controller holds, then fires."""
