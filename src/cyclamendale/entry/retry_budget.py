"""Retry budget of one request, conserved over its whole call tree."""

from __future__ import annotations


class RetryBudget:
    """Retries and hedges that may still be spent.

    Budget is moved, never copied: what is lent to a child call leaves
    this budget until the child's answer brings the unused part back. A
    child whose answer is lost keeps its loan.
    """

    __slots__ = ("_remaining",)

    def __init__(self, remaining: int) -> None:
        self._remaining = remaining

    @property
    def remaining(self) -> int:
        """Returns the retries that may be spent or lent now."""
        return self._remaining

    def spend(self) -> bool:
        """Takes one retry; False when none is left."""
        if self._remaining <= 0:
            return False
        self._remaining -= 1
        return True

    def lend(self, amount: int) -> int:
        """Moves up to `amount` retries out; returns how many."""
        lent = max(0, min(amount, self._remaining))
        self._remaining -= lent
        return lent

    def take_back(self, lent: int, unused: int) -> None:
        """Returns the unused part of one loan.

        Args:
            lent: What `lend` returned for it.
            unused: What the borrower says is left; never trusted to be
                more than was lent.
        """
        self._remaining += max(0, min(unused, lent))

    def drain(self) -> int:
        """Takes out everything that is left; returns how much it was."""
        remaining, self._remaining = self._remaining, 0
        return remaining
