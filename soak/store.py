"""The platform's store, with its rates and what impairs it."""

from __future__ import annotations

import asyncio
import collections
import time
import urllib.parse

from review import standins

WRITES_PER_S = 400
READS_PER_S = 2000


class Store(standins.Store):
    """A store that refuses calls beyond its rates, and can be impaired.

    Attributes:
        refused: Number of calls beyond the rates.
        transaction_s: Time that each transaction takes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.refused = 0
        self.transaction_s = 0.0
        self._forgotten_version = -1
        self._calls_s: dict[str, collections.deque[float]] = {
            "GET": collections.deque(maxlen=READS_PER_S),
            "POST": collections.deque(maxlen=WRITES_PER_S),
        }

    def forget_history(self) -> None:
        """Forgets all changes up to now; feeds that need them get 410."""
        self._forgotten_version = self.version

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, dict]:
        if method == "POST":
            await asyncio.sleep(self.transaction_s)
        if self._is_over_rate(method):
            return 429, {}
        path, _, query = target.partition("?")
        if path == "/-/rows-feed":
            (after,) = urllib.parse.parse_qs(query)["after"]
            if int(after) < self._forgotten_version:
                return 410, {}
        return await super()._answer(method, target, body)

    def _is_over_rate(self, method: str) -> bool:
        calls_s = self._calls_s[method]
        now_s = time.monotonic()
        if len(calls_s) == calls_s.maxlen and now_s - calls_s[0] < 1.0:
            self.refused += 1
            return True
        calls_s.append(now_s)
        return False
