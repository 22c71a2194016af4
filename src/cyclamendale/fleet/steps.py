"""Runs the steps of a stop, of which none keeps the others from running."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python import failure

from cyclamendale.fleet import journal


class Steps:
    """Runs steps; one that fails is logged, once however often it fails."""

    def __init__(self, log: journal.Journal, name: str) -> None:
        self._log = log
        self._name = name
        self._failed: set[Any] = set()

    def run(
        self,
        step: Callable[..., Any],
        *arguments: Any,
        otherwise: Any = None,
    ) -> Any:
        """Runs a step.

        Args:
            step: What to call.
            *arguments: Arguments of the call.
            otherwise: What to return if the step fails.

        Returns:
            What the step returned.
        """
        try:
            return step(*arguments)
        except Exception:
            if step not in self._failed:
                self._failed.add(step)
                self._log.defect(self._name, failure.Failure())
            return otherwise

    def run_all(self, *steps: Callable[[], Any]) -> defer.Deferred[Any]:
        """Runs steps in order.

        Returns:
            A Deferred that fires once those that take time have ended.
        """
        results = [self.run(step) for step in steps]
        ended = defer.gatherResults(
            [each for each in results if isinstance(each, defer.Deferred)],
            consumeErrors=True,
        )
        ended.addErrback(lambda reason: self._log.defect(self._name, reason))
        return ended
