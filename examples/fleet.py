"""Fleet on loopback: platform, nodes and upstreams as child processes."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
import contextlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

EXAMPLES_DIR = pathlib.Path(__file__).resolve().parent
QUICKSTART = EXAMPLES_DIR / "quickstart"
LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 20.0
MAX_START_ATTEMPTS = 5
"""Starts per node; another process may have taken its port."""

STOP_TIMEOUT_S = 15.0
FLEET_SECRET = "demo-fleet-secret-0000"


class StepFailedError(Exception):
    """An expected condition of a script was not met."""


class Host:
    """A host with one node and, optionally, an upstream."""

    def __init__(
        self, failure_domain: str, service: str | None, onward_path: str | None
    ) -> None:
        self.failure_domain = failure_domain
        self.service = service
        self.onward_path = onward_path
        # The kernel chooses the ports; a restarted node reuses them.
        self.http = self.peer = self.control = f"{LOOPBACK}:0"
        self.node: subprocess.Popen | None = None
        self.upstream: subprocess.Popen | None = None


def _wait_for_addresses(
    node: subprocess.Popen, log: pathlib.Path, log_offset_bytes: int
) -> dict[str, str] | None:
    """Waits until the log of a node shows its listening addresses.

    Args:
        node: Process of the node.
        log: Log file of the node.
        log_offset_bytes: Size of the log before this start.

    Returns:
        The addresses, or None if the node exited first, for example because
        another process had taken its port.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        has_ended = node.poll() is not None
        text = log.read_bytes()[log_offset_bytes:].decode()
        for line in text.splitlines(keepends=True):
            if '"listening"' in line and line.endswith("\n"):
                return json.loads(line)
        if has_ended:
            return None
        time.sleep(0.02)
    raise StepFailedError(f"{log.name}: no listening addresses before time-out")


def wait_until(description: str, probe: Callable[[], object], timeout_s: float):
    """Repeats `probe` until its result is true; returns that result."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        with contextlib.suppress(OSError, http.client.HTTPException):
            result = probe()
            if result:
                return result
        time.sleep(0.1)
    raise StepFailedError(f"timed out after {timeout_s:.0f} s: {description}")


class Answer:
    """An HTTP answer with its complete body."""

    def __init__(self, response: http.client.HTTPResponse) -> None:
        self.status = response.status
        self.headers = response.headers
        self.body = response.read().decode()


def get(
    address: str,
    path: str,
    key: str,
    connection: http.client.HTTPConnection | None = None,
) -> Answer:
    """Sends one request with an API key, on `connection` if given."""
    used_connection = connection or http.client.HTTPConnection(
        address, timeout=10
    )
    used_connection.request("GET", path, headers={"X-Api-Key": key})
    answer = Answer(used_connection.getresponse())
    if connection is None:
        used_connection.close()
    return answer


class Fleet:
    """The processes of one fleet."""

    def __init__(
        self,
        folder: pathlib.Path,
        layout: Sequence[tuple[str, str | None, str | None]],
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Initialises the fleet without starting it.

        Args:
            folder: Folder for the logs of the processes.
            layout: Failure domain, service of the upstream (None for no
                upstream) and path of its onward call, for each host.
            environment: Additional environment variables of the processes.
        """
        self._folder = folder
        self._environment = environment or {}
        self._processes: list[subprocess.Popen] = []
        self.hosts = [Host(*row) for row in layout]
        self.platform: subprocess.Popen | None = None
        self.platform_url = ""

    def start(self, without_upstream: Collection[int] = ()) -> None:
        """Starts the platform, the nodes and the upstreams.

        Args:
            without_upstream: Indexes of hosts whose upstream is not started.
        """
        self._start_platform()
        for number, host in enumerate(self.hosts):
            self.start_node(number)
            if host.service is not None and number not in without_upstream:
                self.start_upstream(number)

    def _start_platform(self) -> None:
        platform = self._start_process(
            "platform",
            ["-m", "cyclamendale.store.stand_in"],
            stdout=subprocess.PIPE,
        )
        assert platform.stdout is not None
        port = json.loads(platform.stdout.readline())["port"]
        self.platform = platform
        self.platform_url = f"http://{LOOPBACK}:{port}"

    def start_node(self, number: int) -> None:
        """Starts or restarts the node of one host."""
        host = self.hosts[number]
        name = f"node-{number}"
        log = self._folder / f"{name}.log"
        for _ in range(MAX_START_ATTEMPTS):
            log_offset_bytes = log.stat().st_size if log.exists() else 0
            host.node = self._start_process(
                name, ["-m", "cyclamendale.daemon", *self.node_flags(host)]
            )
            addresses = _wait_for_addresses(host.node, log, log_offset_bytes)
            if addresses is not None:
                host.http = addresses["http_address"]
                host.peer = addresses["peer_address"]
                host.control = addresses["control_address"]
                return
        raise StepFailedError(f"{name}: exited at every start attempt")

    def start_upstream(self, number: int) -> None:
        """Starts the upstream of one host."""
        host = self.hosts[number]
        assert host.service is not None
        arguments = [host.service, host.http, host.control]
        if host.onward_path is not None:
            arguments.append(host.onward_path)
        host.upstream = self._start_process(
            f"upstream-{number}",
            [str(EXAMPLES_DIR / "upstream.py"), *arguments],
        )

    def set_faults(self, rules: list[dict]) -> None:
        """Replaces the injected faults of the stand-in platform."""
        address = self.platform_url.removeprefix("http://")
        connection = http.client.HTTPConnection(address, timeout=10)
        connection.request(
            "POST", "/control/faults", json.dumps({"rules": rules})
        )
        connection.getresponse().read()
        connection.close()

    def node_flags(self, host: Host) -> list[str]:
        """Returns the command-line flags of the node of a host."""
        return [
            f"--http-address={host.http}",
            f"--peer-address={host.peer}",
            f"--control-address={host.control}",
            f"--failure-domain={host.failure_domain}",
            f"--platform-url={self.platform_url}",
        ]

    def _start_process(
        self, name: str, arguments: list[str], stdout: int | None = None
    ) -> subprocess.Popen:
        log = (self._folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=stdout or log,
            stderr=log,
            env={
                **os.environ,
                "CYCLAMENDALE_FLEET_SECRET": FLEET_SECRET,
                **self._environment,
            },
        )
        self._processes.append(process)
        return process

    @staticmethod
    def tool_command_line(*arguments: str) -> list[str]:
        """Returns the command line that runs the command-line tool."""
        tool = "cyclamendale.cli.application"
        return [sys.executable, "-m", tool, *arguments]

    def run_command(self, *arguments: str, expect: int = 0) -> str:
        """Runs the command-line tool; returns its standard output."""
        completed = subprocess.run(
            self.tool_command_line(*arguments),
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        if completed.returncode != expect:
            raise StepFailedError(
                f"{arguments}: exit {completed.returncode}\n"
                f"{completed.stdout}{completed.stderr}"
            )
        return completed.stdout

    def stop_nodes(self) -> Iterator[int]:
        """Stops the nodes with SIGTERM; yields their exit codes."""
        nodes = [host.node for host in self.hosts if host.node]
        for node in nodes:
            node.send_signal(signal.SIGTERM)
        for node in nodes:
            yield node.wait(STOP_TIMEOUT_S)

    def kill(self) -> None:
        """Kills all processes that still run."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def read_log_tails(self) -> str:
        """Returns the end of the log of each process."""
        return "\n".join(
            f"--- {path.name}\n"
            + "\n".join(path.read_text()[-1500:].split("\n"))
            for path in sorted(self._folder.glob("*.log"))
        )
