"""Reads the logs of nodes from files and folders."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import enum
import os
import pathlib
from typing import BinaryIO

import msgspec

from cyclamendale.diagnosis import log_blocks
from cyclamendale.diagnosis import log_lines

BLOCK_BYTES = 512 << 10
"""Size of the parts of a file, any of which may be read again alone."""
MAX_LINE_BYTES = 1 << 20


class LogProblem(enum.Enum):
    """Why a log, or a part of it, could not be read."""

    NOT_FOUND = "not-found"
    NOT_READABLE = "not-readable"
    NOT_A_FILE = "not-a-file"
    EMPTY = "empty"
    NO_LINES = "no-lines"
    DAMAGED = "damaged"


_MESSAGES = {
    LogProblem.NOT_FOUND: "does not exist",
    LogProblem.NOT_READABLE: "cannot be read",
    LogProblem.NOT_A_FILE: "is not a regular file",
    LogProblem.EMPTY: "is empty: no process wrote a line to it",
    LogProblem.NO_LINES: "contains no line of a node's log",
    LogProblem.DAMAGED: "{lines} lines are damaged, the others were read",
}


class UnreadLog(msgspec.Struct, frozen=True):
    """A log that could not be read, or not as a whole.

    Attributes:
        path: The file or folder.
        problem: Why it was not read.
        lines: Number of lines that are damaged.
    """

    path: str
    problem: LogProblem
    lines: int = 0

    def __str__(self) -> str:
        message = _MESSAGES[self.problem].format(lines=self.lines)
        return f"{self.path}: {message}"


class _Block(msgspec.Struct, frozen=True):
    """A part of a file and the times of its lines, if they are known."""

    path: pathlib.Path
    offset: int
    span: tuple[float, float] | None

    def may_contain(self, begin_s: float, end_s: float) -> bool:
        """Returns whether lines of a period may be in the block."""
        if self.span is None:
            return True
        return self.span[0] <= end_s and self.span[1] >= begin_s


class LogFiles:
    """The logs of all nodes.

    Attributes:
        unread: Logs that could not be read; complete once all lines are read.
        read_count: Number of logs from which lines were read.
    """

    def __init__(self, paths: Iterable[pathlib.Path]) -> None:
        self._paths = tuple(paths)
        self._blocks: list[_Block] = []
        self.unread: list[UnreadLog] = []
        self.read_count = 0

    def lines(
        self, selection: log_blocks.Selection
    ) -> Iterator[log_lines.LogLine]:
        """Yields the selected lines and the last ones of each process."""
        for path in dict.fromkeys(self._expand()):
            try:
                with path.open("rb") as file:
                    yield from self._read(path, file, selection)
            except OSError:
                self._add_unread(path, LogProblem.NOT_READABLE)

    def lines_between(
        self, selection: log_blocks.Selection, begin_s: float, end_s: float
    ) -> Iterator[log_lines.LogLine]:
        """Yields the selected lines of a period.

        Reads only the blocks that may have them, as `lines` has found.
        """
        for block in self._blocks:
            if not block.may_contain(begin_s, end_s):
                continue
            try:
                with block.path.open("rb") as file:
                    file.seek(block.offset)
                    data = _read_block(file)
            except OSError:
                self._add_unread(block.path, LogProblem.NOT_READABLE)
                continue
            for raw in log_blocks.select_lines(data, selection):
                line = log_lines.decode(raw, str(block.path))
                if line is not None and begin_s <= line.time_s <= end_s:
                    yield line

    def _expand(self) -> Iterator[pathlib.Path]:
        for path in self._paths:
            if not path.exists():
                self._add_unread(path, LogProblem.NOT_FOUND)
            elif path.is_dir():
                yield from self._expand_folder(path)
            elif path.is_file():
                yield path
            else:
                self._add_unread(path, LogProblem.NOT_A_FILE)

    def _expand_folder(self, folder: pathlib.Path) -> Iterator[pathlib.Path]:
        def add_unread(error: OSError) -> None:
            path = pathlib.Path(error.filename)
            self._add_unread(path, LogProblem.NOT_READABLE)

        for parent, folders, names in os.walk(folder, onerror=add_unread):
            folders.sort()
            for name in sorted(names):
                path = pathlib.Path(parent, name)
                if name.startswith("."):
                    continue
                if path.is_file():
                    yield path
                else:
                    self._add_unread(path, LogProblem.NOT_A_FILE)

    def _read(
        self,
        path: pathlib.Path,
        file: BinaryIO,
        selection: log_blocks.Selection,
    ) -> Iterator[log_lines.LogLine]:
        log = str(path)
        read, damaged = 0, 0
        for offset, data in _read_blocks(file):
            span = log_blocks.time_span(data)
            self._blocks.append(_Block(path, offset, span))
            for raw in log_blocks.select_lines(data, selection):
                line = log_lines.decode(raw, log)
                if line is not None:
                    read += 1
                    yield line
                elif raw.strip():
                    damaged += 1
        if read:
            self.read_count += 1
            if damaged:
                self._add_unread(path, LogProblem.DAMAGED, damaged)
        else:
            problem = LogProblem.NO_LINES if damaged else LogProblem.EMPTY
            self._add_unread(path, problem)

    def _add_unread(
        self, path: pathlib.Path, problem: LogProblem, lines: int = 0
    ) -> None:
        unread = UnreadLog(str(path), problem, lines)
        if unread not in self.unread:
            self.unread.append(unread)


def _read_blocks(file: BinaryIO) -> Iterator[tuple[int, bytes]]:
    """Yields the blocks of a file with their offsets."""
    offset = 0
    while data := _read_block(file):
        yield offset, data
        offset += len(data)


def _read_block(file: BinaryIO) -> bytes:
    """Reads whole lines; only lines that are too long are cut."""
    data = file.read(BLOCK_BYTES)
    if data and not data.endswith(b"\n"):
        data += file.readline(MAX_LINE_BYTES)
    return data
