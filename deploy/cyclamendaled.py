"""Starts the node on the users' platform, from a checkout."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from cyclamendale.platform import daemon  # noqa: E402

if __name__ == "__main__":
    sys.exit(daemon.main())
