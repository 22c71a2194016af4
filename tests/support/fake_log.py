"""A log that keeps its lines in memory."""

from __future__ import annotations


class FakeLog:
    """Log that records its lines.

    Attributes:
        lines: Pairs of an event name and its fields, in order.
    """

    def __init__(self):
        self.lines = []

    def decision(self, event, request_id, **fields):
        self.lines.append((event, {"request": request_id, **fields}))

    def belief(self, event, **fields):
        self.lines.append((event, fields))

    def defect(self, where, failure):
        self.lines.append(("defect", {"where": where, "failure": failure}))

    def events(self):
        """Returns the names of the logged events, in order."""
        return [event for event, _ in self.lines]
