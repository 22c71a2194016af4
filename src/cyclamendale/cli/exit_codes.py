"""Exit codes of the command-line tool, a stable public interface."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    """The command succeeded."""
    REFUSED = 1
    """The checks found faults in intent files; nothing was changed."""
    USAGE = 2
    """The command line or a path on it is wrong; nothing was changed."""
    CONFLICT = 3
    """Another operator's change came first; nothing was changed."""
    PLATFORM_UNAVAILABLE = 4
    """The platform did not answer; nothing was changed."""
    OUTCOME_UNKNOWN = 5
    """The change may have been accepted; retry it with its change id."""
    NODE_UNAVAILABLE = 6
    """The node did not answer or its answer could not be decoded."""
    NOT_FOUND = 7
    """The entry, request, key or file is not known."""
    NOT_YET_IN_FORCE = 8
    """The change was accepted, but is not known to be in force everywhere."""
    PLATFORM_UNREADABLE = 9
    """The configuration on the platform is damaged or in an unknown format."""
    DEFECT = 70
    """Internal error of this program."""
    INTERRUPTED = 130
    """The operator interrupted the command."""
