"""Starts the node on the users' platform, from a checkout."""

# The wrappers `signal` and `os` take longer to import, and a signal before its
# handler is set would end the process. The settings are read after this.
import _signal
import posix

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
# Nothing has been accepted until the daemon sets its own handlers.
for _number in (_signal.SIGTERM, _signal.SIGINT):
    _signal.signal(_number, lambda *_: posix._exit(0))

import pathlib  # noqa: E402
import sys  # noqa: E402

_root = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(_root / "src"))
# At the end: packages on the path from outside come first.
sys.path.append(str(_root / "target" / "deps"))

from cyclamendale.platform import daemon  # noqa: E402

if __name__ == "__main__":
    sys.exit(daemon.main())
