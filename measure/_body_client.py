"""Client that transfers one large body in constant memory and checks it.

Usage: python -m measure._body_client ADDRESS KEY CASE BYTES

CASE is `answer`, `upload` or `slow-reader`. Requests that a gate refuses as
not run are retried. Prints one JSON line.
"""

from __future__ import annotations

import hashlib
import http.client
import json
import sys
import time

from measure import _body_content

READ_SIZE_BYTES = 256 * 1024
SLOW_READ_DELAY_S = 0.01
MAX_REFUSALS = 20
RETRY_DELAY_S = 0.2


def main(arguments: list[str]) -> None:
    """Transfers one body; prints whether it arrived unchanged."""
    address, api_key, case, length = arguments
    body_bytes = int(length)
    expected = _body_content.compute_digest(body_bytes)
    connection = http.client.HTTPConnection(address, timeout=120)
    started_s = time.monotonic()
    refusals = -1
    received = None
    while received is None and refusals < MAX_REFUSALS:
        refusals += 1
        time.sleep(RETRY_DELAY_S if refusals else 0.0)
        if case == "upload":
            received = _upload(connection, api_key, body_bytes)
        else:
            read_delay_s = SLOW_READ_DELAY_S if case == "slow-reader" else 0.0
            received = _download(connection, api_key, body_bytes, read_delay_s)
    is_intact = received == {"bytes": body_bytes, "sha256": expected}
    duration_s = time.monotonic() - started_s
    print(
        json.dumps({"whole": is_intact, "refused": refusals, "s": duration_s})
    )


def _drain_if_refused(response: http.client.HTTPResponse) -> bool:
    """Returns whether a request was refused as not run.

    The body of such a refusal is read, so that the connection can be reused
    for the retry. All other responses are left to the caller.
    """
    if response.headers["X-Cyclamendale-Outcome"] != "not-run":
        return False
    response.read()
    return True


def _upload(
    connection: http.client.HTTPConnection, api_key: str, body_bytes: int
) -> dict | None:
    connection.request(
        "POST",
        "/price/upload",
        _body_content.generate_blocks(body_bytes),
        {"X-Api-Key": api_key, "Content-Length": str(body_bytes)},
    )
    response = connection.getresponse()
    return None if _drain_if_refused(response) else json.loads(response.read())


def _download(
    connection: http.client.HTTPConnection,
    api_key: str,
    body_bytes: int,
    read_delay_s: float,
) -> dict | None:
    connection.request(
        "GET", f"/price/{body_bytes}", None, {"X-Api-Key": api_key}
    )
    response = connection.getresponse()
    if _drain_if_refused(response):
        return None
    digest = hashlib.sha256()
    received_bytes = 0
    while data := response.read(READ_SIZE_BYTES):
        digest.update(data)
        received_bytes += len(data)
        time.sleep(read_delay_s)
    return {"bytes": received_bytes, "sha256": digest.hexdigest()}


if __name__ == "__main__":
    main(sys.argv[1:])
