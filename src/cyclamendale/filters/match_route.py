"""Filter that finds the route and checks that the caller may use it."""

from __future__ import annotations

import re
import urllib.parse

from cyclamendale import refusals
from cyclamendale.entry import call as calls
from cyclamendale.filters import base
from cyclamendale.intents import model

_SLASHES = re.compile(rb"/{2,}")


class RouteIndex:
    """Routes of one configuration, ordered by descending prefix length."""

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self._routes = sorted(
            (
                (route.path_prefix.encode().rstrip(b"/"), route)
                for route in configuration.routes.values()
            ),
            key=lambda pair: len(pair[0]),
            reverse=True,
        )

    def find(self, method: bytes, path: bytes) -> model.Route | None:
        """Returns the route of a request, or None.

        A prefix matches only complete path segments.

        Args:
            method: HTTP method.
            path: Path without query.
        """
        for prefix, route in self._routes:
            if not path.startswith(prefix):
                continue
            at_boundary = path[len(prefix) : len(prefix) + 1] in (b"", b"/")
            if at_boundary and _allows_method(route, method):
                return route
        return None


class MatchRouteFilter(base.Filter):
    """Sets the route; refuses unknown routes, invalid keys, large bodies."""

    def __init__(self) -> None:
        self._index = RouteIndex(model.Configuration())

    def apply(self, call: calls.Call) -> base.Verdict:
        """See base class."""
        if self._index.configuration is not call.configuration:
            self._index = RouteIndex(call.configuration)
        path = _normalize_path(call.path.partition(b"?")[0])
        if _has_dot_segment(path):
            return refusals.Refusal(refusals.RefusalReason.BAD_REQUEST)
        route = self._index.find(call.method, path)
        if route is None:
            return refusals.Refusal(refusals.RefusalReason.ROUTE_UNKNOWN)
        call.route = route
        if call.parent is None and not route.open and call.key_refusal:
            return call.key_refusal
        if call.body_bytes > route.max_body_bytes:
            return make_too_large_refusal(call, route)
        return None


def make_too_large_refusal(
    call: calls.Call, route: model.Route
) -> refusals.Refusal:
    """Returns the refusal of a body that exceeds the limit of its route."""
    return refusals.Refusal(
        refusals.RefusalReason.TOO_LARGE,
        decider=call.configuration.decider(
            "route", route.name, "max_body_bytes"
        ),
    )


def _allows_method(route: model.Route, method: bytes) -> bool:
    return not route.methods or method.decode("latin-1") in route.methods


def _normalize_path(path: bytes) -> bytes:
    """Returns the path with percent-encoding and repeated slashes resolved.

    An upstream may treat different encodings of a path as the same path.
    Without normalisation, such an encoding could match a route that is open
    to all and so bypass the key.
    """
    if b"%" in path:
        path = urllib.parse.unquote_to_bytes(path)
    if b"//" in path:
        path = _SLASHES.sub(b"/", path)
    return path


def _has_dot_segment(path: bytes) -> bool:
    """Returns whether the path has a `.` or `..` segment.

    An upstream may resolve such a path to a different one.
    """
    if b"/." not in path:
        return False
    # Some upstreams strip path parameters, as in "..;a".
    return any(
        part.partition(b";")[0] in (b".", b"..") for part in path.split(b"/")
    )
