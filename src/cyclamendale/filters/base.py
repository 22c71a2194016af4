"""Base class of filters and the chain that runs them."""

from __future__ import annotations

import abc
from collections.abc import Callable, Sequence
import logging
from typing import TYPE_CHECKING, TypeAlias

from twisted.internet import defer
from twisted.python import failure

from cyclamendale import refusals

if TYPE_CHECKING:
    from cyclamendale.entry import call as calls

_LOGGER = logging.getLogger(__name__)

Verdict: TypeAlias = refusals.Refusal | None
"""Refusal of a request, or None to continue with the next filter."""


class Filter(abc.ABC):
    """One step in the handling of a request."""

    @abc.abstractmethod
    def apply(self, call: calls.Call) -> Verdict | defer.Deferred[Verdict]:
        """Checks a call and sets the attributes that the filter provides.

        Returns:
            The verdict, or a Deferred of it if the filter must wait.
        """


class FilterChain:
    """Runs the filters in order until one refuses the call."""

    def __init__(
        self,
        filters: Sequence[Filter],
        on_passed: Callable[[calls.Call], None],
        on_refused: Callable[[calls.Call, refusals.Refusal], None],
    ) -> None:
        self._filters = tuple(filters)
        self._on_passed = on_passed
        self._on_refused = on_refused

    def run(self, call: calls.Call, start: int = 0) -> None:
        """Runs the filters starting at index `start`."""
        for index in range(start, len(self._filters)):
            verdict = self._filters[index].apply(call)
            if verdict is None:
                continue
            if isinstance(verdict, defer.Deferred):
                verdict.addCallback(self._resume, call, index + 1)
                verdict.addErrback(self._filter_failed, call)
                return
            self._on_refused(call, verdict)
            return
        self._on_passed(call)

    def _resume(self, verdict: Verdict, call: calls.Call, start: int) -> None:
        if call.ended:
            return
        if verdict is None:
            self.run(call, start)
        else:
            self._on_refused(call, verdict)

    def _filter_failed(self, reason: failure.Failure, call: calls.Call) -> None:
        """Refuses a call whose filter raised; otherwise it would hang."""
        _LOGGER.error(
            "request filter raised an exception",
            exc_info=reason.value,
        )
        if not call.ended:
            self._on_refused(
                call, refusals.Refusal(refusals.RefusalReason.NOT_READY)
            )
