"""Interface through which a node's components read the configuration."""

from __future__ import annotations

import abc
from collections.abc import Callable

from cyclamendale.intents import model


class ConfigurationSource(abc.ABC):
    """Access to the configuration in force on this node."""

    @property
    @abc.abstractmethod
    def current(self) -> model.Configuration:
        """Returns the configuration in force."""

    @abc.abstractmethod
    def confirmed_age_s(self) -> float:
        """Returns the age of the last confirmation; infinity before the first.

        The platform confirms that the version in force is the latest,
        directly or through a peer that relays its own confirmation.
        """

    @abc.abstractmethod
    def subscribe(
        self, listener: Callable[[model.Configuration], None]
    ) -> None:
        """Calls `listener` with the new configuration after every change."""


class FixedConfiguration(ConfigurationSource):
    """A configuration that is set directly, for tests and tools."""

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
