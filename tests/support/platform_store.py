"""HTTP stand-in for the platform's row store, with faults."""

from __future__ import annotations

import base64
import enum
import json

from twisted.web import resource
from twisted.web import server


class Fault(enum.Enum):
    """What the store does instead of answering."""

    BUSY = "busy"
    RATE_LIMITED = "many"
    RESET = "reset"
    SILENT = "silent"
    ANSWER_LOST = "lost"
    """Executes the call but does not answer."""
    COMPACTED = "compacted"
    GARBAGE = "garbage"
    REFUSED = "refused"


class PlatformStore(resource.Resource):
    """Rows in memory, served as the platform serves them.

    Attributes:
        fault: Fault of every call, or None.
        rows: Value and version by table and key.
        version: Version of the last change.
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.fault = None
        self.rows = {}
        self.version = 0
        self.channels = set()
        self.silent_channels = set()

    def silence_connections(self):
        """Lets all connections go silent without a reset; new ones work."""
        self.silent_channels |= self.channels

    def write(self, table, key, value):
        self.version += 1
        self.rows[table, key] = (value, self.version)

    def render(self, request):
        self.channels.add(request.channel)
        if request.channel in self.silent_channels:
            return server.NOT_DONE_YET
        if self.fault is not None:
            return self.fail(request)
        return self.answer(request)

    def fail(self, request):
        if self.fault is Fault.BUSY:
            request.setResponseCode(503)
        elif self.fault is Fault.RATE_LIMITED:
            request.setResponseCode(429)
        elif self.fault is Fault.COMPACTED:
            request.setResponseCode(410)
        elif self.fault is Fault.REFUSED:
            request.setResponseCode(403)
        elif self.fault is Fault.GARBAGE:
            return b"{"
        elif self.fault is Fault.RESET:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        else:
            if self.fault is Fault.ANSWER_LOST:
                self.answer(request)
            return server.NOT_DONE_YET
        return b"{}"

    def answer(self, request):
        call = request.path.rpartition(b"/")[2]
        if call == b"rows-tx":
            return self.transact(request)
        table = request.args[b"table"][0].decode()
        after = int(request.args.get(b"after", [b"0"])[0])
        first = request.args.get(b"range_start", [b""])[0].decode()
        limit = int(request.args.get(b"limit", [b"500"])[0])
        found = [
            {"table": table, "part": "", "key": key,
             "value": base64.b64encode(value).decode(),
             "record_version": version}
            for (name, key), (value, version) in sorted(self.rows.items())
            if name == table and version > after and key >= first
        ]  # fmt: skip
        return self.encode(
            {"rows": found[:limit], "has_more": len(found) > limit}
        )

    def transact(self, request):
        body = json.loads(request.content.read())
        for row in body["precondition"]:
            known = self.rows.get((row["table"], row["key"]), (b"", 0))
            if known[1] != row["record_version"]:
                request.setResponseCode(412)
                return self.encode({"rows": []})
        for row in body["upserts"]:
            value = base64.b64decode(row["value"])
            self.write(row["table"], row["key"], value)
        for row in body["remove"]:
            del self.rows[row["table"], row["key"]]
            self.version += 1
        return self.encode({})

    def encode(self, answer):
        return json.dumps(
            {"record_version": self.version, "now_s": 1.5, **answer}
        ).encode()


def make_site(store):
    """Returns a site that serves a store."""
    site = server.Site(store)
    site.noisy = False
    return site
