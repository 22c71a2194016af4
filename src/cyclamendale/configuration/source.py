"""Where the other parts of a node read the configuration in force."""

from __future__ import annotations

import abc
from collections.abc import Callable

from cyclamendale.intents import model


class ConfigurationSource(abc.ABC):
    """The configuration in force on this node."""

    @property
    @abc.abstractmethod
    def current(self) -> model.Configuration:
        """Returns the configuration in force."""

    @abc.abstractmethod
    def confirmed_age_s(self) -> float:
        """Returns seconds since the version was last known to be latest.

        The platform confirms it, directly or through a peer that heard
        from the platform; infinity before the first time.
        """

    @abc.abstractmethod
    def subscribe(
        self, listener: Callable[[model.Configuration], None]
    ) -> None:
        """Calls `listener` after every change, with the new state."""


class FixedConfiguration(ConfigurationSource):
    """A configuration set by hand, for tests and tools."""

    def __init__(self, configuration: model.Configuration) -> None:
        self._current = configuration
        self._listeners: list[Callable[[model.Configuration], None]] = []
        self.age_s = 0.0

    @property
    def current(self) -> model.Configuration:
        """See base class."""
        return self._current

    def confirmed_age_s(self) -> float:
        """See base class."""
        return self.age_s

    def subscribe(
        self, listener: Callable[[model.Configuration], None]
    ) -> None:
        """See base class."""
        self._listeners.append(listener)

    def replace(self, configuration: model.Configuration) -> None:
        """Puts another configuration in force."""
        self._current = configuration
        for listener in self._listeners:
            listener(configuration)
