"""Typed failures of the commands that read logs."""

from __future__ import annotations

from collections.abc import Iterator

from cyclamendale import ids
from cyclamendale.cli import exit_codes
from cyclamendale.cli import faults
from cyclamendale.cli import log_reports
from cyclamendale.diagnosis import log_files


class NoLogRead(faults.Fault, frozen=True, tag="no-log-read"):
    """None of the named files and folders contains a log."""

    unread: tuple[log_files.UnreadLog, ...]

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """See base class."""
        return exit_codes.ExitCode.USAGE

    def lines(self) -> Iterator[str]:
        """See base class."""
        yield "no log was read"
        yield from log_reports.unread_lines(self.unread)


class NotLogged(faults.Fault, frozen=True, tag="not-logged"):
    """No line is about the request.

    Attributes:
        request: The request.
        logs: Number of logs that were read.
        unread: Logs that could not be read.
        ended: Processes that ended by themselves, perhaps with the request.
    """

    request: ids.RequestId
    logs: int
    unread: tuple[log_files.UnreadLog, ...] = ()
    ended: tuple[log_reports.Process, ...] = ()

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """See base class."""
        return exit_codes.ExitCode.NOT_FOUND

    def lines(self) -> Iterator[str]:
        """See base class."""
        yield f"no line of {self.logs} logs is about request {self.request}"
        yield (
            "answered requests are not logged, nor those behind the last "
            "response of a connection"
        )
        yield ("a node leaves lines out above its limit (lines-left-out)")
        for process in self.ended:
            yield f"{process.describe()}, perhaps with this request"
        yield from log_reports.unread_lines(self.unread)


class UnwritablePath(faults.Fault, frozen=True, tag="unwritable-path"):
    """The output can't be written."""

    path: str
    error: str

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """See base class."""
        return exit_codes.ExitCode.USAGE

    def lines(self) -> Iterator[str]:
        """See base class."""
        yield f"{self.path}: {self.error}"
