"""Retry budget of one request, shared by its whole call tree."""

from __future__ import annotations


class RetryBudget:
    """Number of retries and hedges that may still be sent.

    Budget is moved, never copied, so the total over the call tree cannot
    grow. Retries lent to a child call are subtracted from this budget until
    the answer of the child returns the unused part. If that answer is lost,
    the child keeps them.
    """

    __slots__ = ("_remaining",)

    def __init__(self, remaining: int) -> None:
        self._remaining = remaining

    @property
    def remaining(self) -> int:
        """Returns the number of retries that may be spent or lent."""
        return self._remaining

    def spend(self) -> bool:
        """Spends one retry; returns False if none is left."""
        if self._remaining <= 0:
            return False
        self._remaining -= 1
        return True

    def lend(self, amount: int) -> int:
        """Subtracts up to `amount` retries; returns the number lent."""
        lent = max(0, min(amount, self._remaining))
        self._remaining -= lent
        return lent

    def take_back(self, lent: int, unused: int) -> None:
        """Adds the unused part of one loan.

        Args:
            lent: Value that `lend` returned for this loan.
            unused: Unused retries as reported by the borrower; limited to
                `lent`, since the report is not trusted.
        """
        self._remaining += max(0, min(unused, lent))

    def drain(self) -> int:
        """Sets the budget to zero; returns the retries that were left."""
        remaining, self._remaining = self._remaining, 0
        return remaining
