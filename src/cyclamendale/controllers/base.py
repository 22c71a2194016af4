"""The interface that all controllers implement."""

from __future__ import annotations

import abc

from twisted.internet import defer


class Controller(abc.ABC):
    """Long-lived state of a node that can be started and stopped."""

    @abc.abstractmethod
    def start(self) -> None:
        """Starts periodic work; called once, on the reactor thread."""

    @abc.abstractmethod
    def stop(self) -> defer.Deferred[None]:
        """Stops the controller.

        Returns:
            Fires once the resources that the controller holds are released.
        """
