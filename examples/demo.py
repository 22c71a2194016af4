"""Runs a small fleet on loopback and shows what the system does.

Starts a stand-in platform, five nodes in two failure domains and their
upstreams as separate processes, and shows: a request served through a
chain of three services, an upstream that leaves, a quota refusal with the
file that decided it, a key withdrawn while its connection stays open, and
the merged time line. Exits 0 only if all of it happened.
"""

from __future__ import annotations

import http.client
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from examples import fleet as fleets

STEP_TIMEOUT_S = 15.0
LAYOUT = (
    ("north", "shop", "/stock/mats"),
    ("north", "stock", "/price/mats"),
    ("north", "price", None),
    ("south", "stock", "/price/mats"),
    ("south", "price", None),
)
"""Failure domain, service and onward call of each host's upstream."""


def show(title: str, text: str = "") -> None:
    """Prints one step."""
    print(f"\n== {title}")
    if text:
        print(text.rstrip())
    sys.stdout.flush()


def show_served(fleet: fleets.Fleet) -> None:
    """A request through three services, each behind its own node."""
    entry = fleet.hosts[0]
    answer = fleets.wait_until(
        "a request served through three services",
        lambda: _if_whole_chain(
            fleets.get(entry.http, "/shop/mats", "masons-key")
        ),
        fleets.START_TIMEOUT_S,
    )
    show("A request is served through three services", answer.body)


def _if_whole_chain(answer: fleets.Answer) -> fleets.Answer | None:
    services = []
    part = json.loads(answer.body)
    while part is not None:
        services.append(part.get("service"))
        part = part.get("onward")
    is_whole = services == ["shop", "stock", "price"]
    return answer if answer.status == 200 and is_whole else None


def _if_status(answer: fleets.Answer, status: int) -> fleets.Answer | None:
    return answer if answer.status == status else None


def show_leaving(fleet: fleets.Fleet) -> None:
    """An upstream drains; calls go on without a failure."""
    leaving = fleet.hosts[2]
    assert leaving.upstream is not None
    leaving.upstream.send_signal(signal.SIGTERM)
    entry = fleet.hosts[0]
    end_s = time.monotonic() + 3.0
    statuses = []
    while time.monotonic() < end_s:
        statuses.append(
            fleets.get(entry.http, "/shop/mats", "masons-key").status
        )
        time.sleep(0.05)
    leaving.upstream.wait(STEP_TIMEOUT_S)
    if set(statuses) != {200}:
        raise fleets.StepFailedError(f"calls failed while it left: {statuses}")
    show(
        "An upstream of price left; another failure domain's serves",
        f"{len(statuses)} requests meanwhile, all answered 200",
    )


def show_quota(fleet: fleets.Fleet) -> fleets.Answer:
    """A customer over its quota is refused, with the deciding file."""
    entry = fleet.hosts[1]
    answers = [
        fleets.get(entry.http, "/shop/mats", "visitors-key") for _ in range(20)
    ]
    refused = [answer for answer in answers if answer.status == 429]
    served = [answer for answer in answers if answer.status == 200]
    if not refused or not served:
        statuses = [answer.status for answer in answers]
        raise fleets.StepFailedError(f"no quota refusal: {statuses}")
    decided = refused[0].headers["X-Cyclamendale-Decided-By"]
    if not decided or "visitors" not in decided:
        raise fleets.StepFailedError(f"wrong file decided: {decided}")
    show(
        f"{len(served)} of 20 requests served, then a quota refusal",
        f"429, decided by {decided}\n{refused[0].body}",
    )
    return refused[0]


def show_withdrawal(fleet: fleets.Fleet) -> None:
    """A key stops working on a connection that stays open."""
    entry = fleet.hosts[3]
    connection = http.client.HTTPConnection(entry.http, timeout=10)
    connection.connect()
    socket_before = connection.sock
    first = fleets.get(entry.http, "/shop/mats", "masons-key", connection)
    if first.status != 200:
        raise fleets.StepFailedError(f"not served before: {first.status}")
    print_out = fleet.command(
        "withdraw",
        "--key=masons-key",
        f"--platform={fleet.platform_url}",
        f"--node={'http://' + entry.control}",
    )
    began_s = time.monotonic()
    refused = fleets.wait_until(
        "the withdrawn key is refused",
        lambda: _if_status(
            fleets.get(entry.http, "/shop/mats", "masons-key", connection), 403
        ),
        STEP_TIMEOUT_S,
    )
    took_s = time.monotonic() - began_s
    if connection.sock is not socket_before:
        raise fleets.StepFailedError("the connection did not stay open")
    decided = refused.headers["X-Cyclamendale-Decided-By"]
    show(
        "A key is withdrawn while its connection stays open",
        f"{print_out}403 after {took_s:.1f} s, decided by {decided}",
    )


def show_timeline(fleet: fleets.Fleet, refused: fleets.Answer) -> None:
    """The merged time line, and why one request was refused."""
    node = f"--node=http://{fleet.hosts[0].control}"
    text = fleet.command("timeline", node)
    for kind in ("UpstreamChanged", "ConfigurationInForce", "LeaseChanged"):
        if kind not in text:
            raise fleets.StepFailedError(f"no {kind} in the time line")
    lines = text.splitlines()
    show(
        f"The merged time line has {len(lines)} lines; the last of them",
        "\n".join(lines[-8:]),
    )
    request = refused.headers["X-Cyclamendale-Request"]
    explained = fleet.command("explain", f"--request={request}", node)
    if "visitors" not in explained:
        raise fleets.StepFailedError(f"not explained: {explained}")
    show(f"Why request {request} was refused", explained)


def run(fleet: fleets.Fleet) -> None:
    """All steps in order."""
    began_s = time.monotonic()
    fleet.start()
    put = fleet.command(
        "put",
        str(fleets.QUICKSTART),
        f"--platform={fleet.platform_url}",
    )
    show("A folder of intents is put in force", put)
    show_served(fleet)
    show_leaving(fleet)
    refused = show_quota(fleet)
    show_withdrawal(fleet)
    show_timeline(fleet, refused)
    codes = list(fleet.stop_nodes())
    if any(codes):
        raise fleets.StepFailedError(f"nodes did not stop cleanly: {codes}")
    show(f"All nodes stopped cleanly; {time.monotonic() - began_s:.0f} s")


def main() -> int:
    """Runs the demo; returns the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(pathlib.Path(folder), LAYOUT)
        try:
            run(fleet)
        except (
            fleets.StepFailedError,
            OSError,
            subprocess.SubprocessError,
        ) as error:
            print(f"\nFAILED: {error}\n{fleet.logs()}", file=sys.stderr)
            return 1
        finally:
            fleet.kill()
    return 0


if __name__ == "__main__":
    sys.exit(main())
