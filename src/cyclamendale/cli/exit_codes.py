"""Exit codes of the command-line tool; they are stable and public."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """What a command's end means."""

    OK = 0
    """Done."""
    REFUSED = 1
    """The checks found faults in intent files; nothing was changed."""
    USAGE = 2
    """The command line or a path on it is wrong; nothing was changed."""
    CONFLICT = 3
    """Another operator's change came first; nothing was changed."""
    PLATFORM_UNAVAILABLE = 4
    """The platform did not answer; nothing was changed."""
    OUTCOME_UNKNOWN = 5
    """The change may have been accepted; repeat it with its change id."""
    NODE_UNAVAILABLE = 6
    """The node did not answer, or not in a way that can be read."""
    NOT_FOUND = 7
    """The entry, request, key or file is not known."""
    NOT_YET_IN_FORCE = 8
    """The change was accepted, but is not known to be in force everywhere."""
    PLATFORM_UNREADABLE = 9
    """What the platform holds is damaged or of an unknown format."""
    DEFECT = 70
    """A fault of this program."""
    INTERRUPTED = 130
    """The operator interrupted the command."""
