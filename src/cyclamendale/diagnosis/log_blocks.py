"""Chooses lines in blocks of a log, most of which are not decoded."""

from __future__ import annotations

import collections
from collections.abc import Collection, Iterator
import re

import msgspec

from cyclamendale import ids
from cyclamendale.diagnosis import log_lines

_EVENT_KEY = b'"event":"'
_SOUGHT_KEY = b'vent":"'
"""End of the key: a search is slower if it begins with a frequent letter."""

_START = _SOUGHT_KEY + log_lines.Event.START.encode() + b'"'
_ODD_LINE = re.compile(rb"\n[^{]")
_TIME = re.compile(rb'\{"time":([0-9.]{1,32}),')


class Selection:
    """Chooses lines by their bytes."""

    def __init__(
        self, events: Collection[str], request: ids.RequestId | None = None
    ) -> None:
        """Initializes the selection.

        Args:
            events: Names of the events that are chosen.
            request: Request whose lines are chosen too, if any.
        """
        self._events = re.compile(_SOUGHT_KEY + _any_of(events) + b'"')
        self._request = msgspec.json.encode(request) if request else None

    def positions(self, block: bytes) -> Iterator[int]:
        """Yields positions in the lines that may be chosen, in any order."""
        for match in self._events.finditer(block):
            yield match.start()
        if self._request is not None:
            position = block.find(self._request)
            while position >= 0:
                yield position
                position = block.find(self._request, position + 1)


def select_lines(block: bytes, selection: Selection) -> Iterator[bytes]:
    """Yields the lines of a block that are selected, or that look damaged.

    The last line of a block and the one before each start are yielded too,
    since they tell how long a process was alive.

    Args:
        block: Whole lines.
        selection: Chooses the lines.
    """
    if _is_as_written(block):
        begins = {_begin_of_line(block, len(block) - 1)}
        for position in selection.positions(block):
            begin = _begin_of_line(block, position)
            begins.add(begin)
            if begin and block.startswith(_START, position):
                begins.add(_begin_of_line(block, begin - 1))
        for begin in sorted(begins):
            yield block[begin : block.find(b"\n", begin)]
        return
    previous = b""
    for line in block.splitlines():
        is_selected = next(selection.positions(line), None) is not None
        if is_selected or not _is_as_written(line + b"\n"):
            if previous and _START in line:
                yield previous
            yield line
            previous = b""
        else:
            previous = line
    if previous:
        yield previous


def time_span(block: bytes) -> tuple[float, float] | None:
    """Returns the times of the first and last line; None if not known."""
    first = _TIME.match(block)
    last = _TIME.match(block, _begin_of_line(block, len(block) - 1))
    if first is None or last is None:
        return None
    try:
        span = float(first.group(1)), float(last.group(1))
    except ValueError:
        return None
    return span if span[0] <= span[1] else None


def _any_of(names: Collection[str]) -> bytes:
    """Returns a pattern of names, grouped since each branch takes time."""
    groups: dict[str, list[str]] = collections.defaultdict(list)
    for name in names:
        groups[name[:1]].append(re.escape(name[1:]))
    branches = (
        f"{first}(?:{'|'.join(rests)})" for first, rests in groups.items()
    )
    return f"(?:{'|'.join(branches)})".encode()


def _is_as_written(block: bytes) -> bool:
    """Returns whether a block looks as nodes write it, whole lines only."""
    if not block.endswith(b"}\n") or _ODD_LINE.search(block):
        return False
    return _EVENT_KEY in block[: block.find(b"\n")]


def _begin_of_line(block: bytes, position: int) -> int:
    return block.rfind(b"\n", 0, max(0, position)) + 1
