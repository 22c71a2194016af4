"""Client that moves one long body in constant memory and checks it.

Usage: python -m measure._body_client ADDRESS KEY CASE BYTES

CASE is `answer`, `upload` or `slow-reader`. What a gate sheds as not run
is repeated. Prints one JSON line.
"""

from __future__ import annotations

import hashlib
import http.client
import json
import sys
import time

from measure import _body_content

READ_BYTES = 256 * 1024
SLOW_READ_PAUSE_S = 0.01
MOST_REFUSED = 20
REFUSED_PAUSE_S = 0.2


def main(arguments: list[str]) -> None:
    """Moves one body; prints whether it arrived whole."""
    address, key, case, length = arguments
    body_bytes = int(length)
    expected = _body_content.digest_of(body_bytes)
    connection = http.client.HTTPConnection(address, timeout=120)
    started_s = time.monotonic()
    refused = -1
    found = None
    while found is None and refused < MOST_REFUSED:
        refused += 1
        time.sleep(REFUSED_PAUSE_S if refused else 0.0)
        if case == "upload":
            found = _upload(connection, key, body_bytes)
        else:
            pause_s = SLOW_READ_PAUSE_S if case == "slow-reader" else 0.0
            found = _read(connection, key, body_bytes, pause_s)
    whole = found == {"bytes": body_bytes, "sha256": expected}
    took_s = time.monotonic() - started_s
    print(json.dumps({"whole": whole, "refused": refused, "s": took_s}))


def _is_refused(response: http.client.HTTPResponse) -> bool:
    """Reads a refusal that says not run; others are answers."""
    if response.headers["X-Cyclamendale-Outcome"] != "not-run":
        return False
    response.read()
    return True


def _upload(
    connection: http.client.HTTPConnection, key: str, body_bytes: int
) -> dict | None:
    connection.request(
        "POST",
        "/price/upload",
        _body_content.blocks(body_bytes),
        {"X-Api-Key": key, "Content-Length": str(body_bytes)},
    )
    response = connection.getresponse()
    return None if _is_refused(response) else json.loads(response.read())


def _read(
    connection: http.client.HTTPConnection,
    key: str,
    body_bytes: int,
    pause_s: float,
) -> dict | None:
    connection.request("GET", f"/price/{body_bytes}", None, {"X-Api-Key": key})
    response = connection.getresponse()
    if _is_refused(response):
        return None
    digest = hashlib.sha256()
    received_bytes = 0
    while data := response.read(READ_BYTES):
        digest.update(data)
        received_bytes += len(data)
        time.sleep(pause_s)
    return {"bytes": received_bytes, "sha256": digest.hexdigest()}


if __name__ == "__main__":
    main(sys.argv[1:])
