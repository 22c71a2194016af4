"""Demonstrates the main functions on a small fleet on loopback.

Starts a stand-in platform, five nodes in two failure domains and their
upstreams as separate processes. Then shows a request served through a chain
of three services, an upstream that leaves, a quota refusal with the deciding
file, a key withdrawn while its connection stays open, and the merged time
line. Exits with 0 only if every step succeeded.
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
"""Failure domain of each host; service and onward call of its upstream."""


def print_step(title: str, text: str = "") -> None:
    """Prints the title and the output of a step."""
    print(f"\n== {title}")
    if text:
        print(text.rstrip())
    sys.stdout.flush()


def show_served(fleet: fleets.Fleet) -> None:
    """Shows a request through three services, each behind its own node."""
    entry = fleet.hosts[0]
    answer = fleets.wait_until(
        "a request served through three services",
        lambda: _answer_if_full_chain(
            fleets.get(entry.http, "/shop/mats", "masons-key")
        ),
        fleets.START_TIMEOUT_S,
    )
    print_step("A request is served through three services", answer.body)


def _answer_if_full_chain(answer: fleets.Answer) -> fleets.Answer | None:
    services = []
    call_answer = json.loads(answer.body)
    while call_answer is not None:
        services.append(call_answer.get("service"))
        call_answer = call_answer.get("onward")
    is_full_chain = services == ["shop", "stock", "price"]
    return answer if answer.status == 200 and is_full_chain else None


def _answer_if_status(
    answer: fleets.Answer, status: int
) -> fleets.Answer | None:
    return answer if answer.status == status else None


def show_leaving(fleet: fleets.Fleet) -> None:
    """Shows that no call fails while an upstream drains and leaves."""
    leaving = fleet.hosts[2]
    assert leaving.upstream is not None
    leaving.upstream.send_signal(signal.SIGTERM)
    entry = fleet.hosts[0]
    deadline_s = time.monotonic() + 3.0
    statuses = []
    while time.monotonic() < deadline_s:
        statuses.append(
            fleets.get(entry.http, "/shop/mats", "masons-key").status
        )
        time.sleep(0.05)
    leaving.upstream.wait(STEP_TIMEOUT_S)
    if set(statuses) != {200}:
        raise fleets.StepFailedError(
            f"calls failed while an upstream left: {statuses}"
        )
    print_step(
        "An upstream of price left; another failure domain's serves",
        f"{len(statuses)} requests meanwhile, all answered 200",
    )


def show_quota(fleet: fleets.Fleet) -> fleets.Answer:
    """Shows that a customer over its quota is refused by its file."""
    entry = fleet.hosts[1]
    answers = [
        fleets.get(entry.http, "/shop/mats", "visitors-key") for _ in range(20)
    ]
    refused = [answer for answer in answers if answer.status == 429]
    served = [answer for answer in answers if answer.status == 200]
    if not refused or not served:
        statuses = [answer.status for answer in answers]
        raise fleets.StepFailedError(
            f"expected served and refused calls: {statuses}"
        )
    deciding_file = refused[0].headers["X-Cyclamendale-Decided-By"]
    if not deciding_file or "visitors" not in deciding_file:
        raise fleets.StepFailedError(
            f"refused by the wrong file: {deciding_file}"
        )
    print_step(
        f"{len(served)} of 20 requests served, then a quota refusal",
        f"429, decided by {deciding_file}\n{refused[0].body}",
    )
    return refused[0]


def show_withdrawal(fleet: fleets.Fleet) -> None:
    """Shows that a withdrawn key is refused on a connection still open."""
    entry = fleet.hosts[3]
    connection = http.client.HTTPConnection(entry.http, timeout=10)
    connection.connect()
    socket_before = connection.sock
    first = fleets.get(entry.http, "/shop/mats", "masons-key", connection)
    if first.status != 200:
        raise fleets.StepFailedError(
            f"not served before the withdrawal: {first.status}"
        )
    output = fleet.run_command(
        "withdraw",
        "--key=masons-key",
        f"--platform={fleet.platform_url}",
        f"--node={'http://' + entry.control}",
    )
    started_s = time.monotonic()
    refused = fleets.wait_until(
        "the withdrawn key is refused",
        lambda: _answer_if_status(
            fleets.get(entry.http, "/shop/mats", "masons-key", connection), 403
        ),
        STEP_TIMEOUT_S,
    )
    elapsed_s = time.monotonic() - started_s
    if connection.sock is not socket_before:
        raise fleets.StepFailedError(
            "connection did not stay open after the withdrawal"
        )
    deciding_file = refused.headers["X-Cyclamendale-Decided-By"]
    print_step(
        "A key is withdrawn while its connection stays open",
        f"{output}403 after {elapsed_s:.1f} s, decided by {deciding_file}",
    )


def show_timeline(fleet: fleets.Fleet, refused: fleets.Answer) -> None:
    """Shows the merged time line and why one request was refused."""
    node = f"--node=http://{fleet.hosts[0].control}"
    text = fleet.run_command("timeline", node)
    for kind in ("UpstreamChanged", "ConfigurationInForce", "LeaseChanged"):
        if kind not in text:
            raise fleets.StepFailedError(f"no {kind} event in the time line")
    lines = text.splitlines()
    print_step(
        f"The merged time line has {len(lines)} lines; the last of them",
        "\n".join(lines[-8:]),
    )
    request = refused.headers["X-Cyclamendale-Request"]
    explanation = fleet.run_command("explain", f"--request={request}", node)
    if "visitors" not in explanation:
        raise fleets.StepFailedError(
            f"deciding file not in the explanation: {explanation}"
        )
    print_step(f"Why request {request} was refused", explanation)


def run_steps(fleet: fleets.Fleet) -> None:
    """Runs all steps in order."""
    started_s = time.monotonic()
    fleet.start()
    put_output = fleet.run_command(
        "put",
        str(fleets.QUICKSTART),
        f"--platform={fleet.platform_url}",
    )
    print_step("A folder of intents is put in force", put_output)
    show_served(fleet)
    show_leaving(fleet)
    refused = show_quota(fleet)
    show_withdrawal(fleet)
    show_timeline(fleet, refused)
    exit_codes = list(fleet.stop_nodes())
    if any(exit_codes):
        raise fleets.StepFailedError(
            f"nodes did not stop cleanly: {exit_codes}"
        )
    print_step(
        f"All nodes stopped cleanly; {time.monotonic() - started_s:.0f} s"
    )


def main() -> int:
    """Runs the demo; returns the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(pathlib.Path(folder), LAYOUT)
        try:
            run_steps(fleet)
        except (
            fleets.StepFailedError,
            OSError,
            subprocess.SubprocessError,
        ) as error:
            print(
                f"\nFAILED: {error}\n{fleet.read_log_tails()}", file=sys.stderr
            )
            return 1
        finally:
            fleet.kill()
    return 0


if __name__ == "__main__":
    sys.exit(main())
