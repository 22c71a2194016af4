"""Starts the node on the users' platform, from a checkout."""

# The wrapper `signal` takes longer to import, and a SIGHUP before its handler
# is set would end the process. The settings are read after this.
import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import pathlib  # noqa: E402
import sys  # noqa: E402

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from cyclamendale.platform import daemon  # noqa: E402

if __name__ == "__main__":
    sys.exit(daemon.main())
