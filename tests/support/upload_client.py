"""Sends uploads over the node's connections to an upstream, as a process.

Usage: python -m tests.support.upload_client ADDRESS UPLOADS UPLOAD_BYTES

Prints how often each outcome came, as JSON: the failure, or status and length
of the body. The reactor is that of the nodes, in a process of its own, so that
the upstream answers and resets while the upload is being written.
"""

from __future__ import annotations

import collections
import json
import sys

from cyclamendale import buffer_budget
from cyclamendale import clocks
from cyclamendale import lean_reactor
from cyclamendale.platform import request_headers
from cyclamendale.proxy import upstream_connection
from cyclamendale.proxy import upstream_pool


class UploadClient:
    """Sends one upload after another and counts the outcomes."""

    def __init__(self, reactor, address, uploads, upload_bytes):
        self.outcomes = collections.Counter()
        self._reactor = reactor
        self._uploads_left = uploads
        self._body = b"u" * upload_bytes
        self._pool = upstream_pool.make_upstream_pool(
            reactor,
            clocks.SystemClock(reactor),
            request_headers.HEADER_NAMES,
            buffer_budget.BufferBudget(),
            address,
        )

    def send_next(self):
        if not self._uploads_left:
            self._reactor.stop()
            return
        self._uploads_left -= 1
        request_id = b"r%d" % self._uploads_left
        request = (
            b"POST / HTTP/1.1\r\nX-Cyclamendale-Attempt-Id: %s\r\n"
            b"Content-Length: %d\r\n\r\n" % (request_id, len(self._body))
        ) + self._body
        self._pool.send(lambda: request, request_id, False, False, self._count)

    def _count(self, result):
        if isinstance(result, upstream_connection.Failure):
            self.outcomes[result.value] += 1
        else:
            self.outcomes[f"{result.status} {len(result.body)}"] += 1
        self._reactor.callLater(0, self.send_next)


def main(address, uploads, upload_bytes):
    reactor = lean_reactor.install()
    client = UploadClient(reactor, address, int(uploads), int(upload_bytes))
    reactor.callWhenRunning(client.send_next)
    reactor.run()
    print(json.dumps(client.outcomes))


if __name__ == "__main__":
    main(*sys.argv[1:])
