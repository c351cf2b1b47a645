"""Start a small fleet of real processes on loopback, and end it.

For the demo, the tests and the benches.  Every process is ended by its own
id; ports are free ones, drawn anew for each.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any

from .fetch import Fetched, fetch, fetch_json

__all__ = ["HOST", "Fleet", "NodeProcess", "Process", "free_port", "wait_until"]

OPERATOR_KEY = "operator-key-of-the-demo"
PEER_KEY = "peer-key-of-the-demo-fleet"
HOST = "127.0.0.1"
_START_SECONDS = 30.0
_ABORT_SECONDS = 5.0
"""How long a process may take to write where its threads stand."""
_LOG_TAIL = 8000
"""Characters shown of a process that did not stop: some forty threads' stacks."""
_LOWEST_PORT = 10_000
"""Above the ports that well-known services use."""
_USUAL_EPHEMERAL_START = 32_768
"""Where the range of outgoing connections begins on most systems."""
_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")

_BLOCK_PORTS = 100
"""Ports claimed at once: a test module draws some dozens."""

_ports_left: list[int] = []
_held_locks: list[socket.socket] = []


def free_port() -> int:
    """Return a port that nobody listens on, and that nobody else will take.

    The system gives outgoing connections ports of a range of its own; one of those
    could be taken between this call and its use.  Other processes that draw ports
    here at the same time draw from other blocks.
    """
    while True:
        if not _ports_left:
            _ports_left.extend(_claim_block())
        port = _ports_left.pop()
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


def _claim_block() -> list[int]:
    """Claim a block of ports by holding its first one; return the others, mixed."""
    blocks = range(_LOWEST_PORT, _ephemeral_start() - _BLOCK_PORTS, _BLOCK_PORTS)
    while True:
        first = random.choice(blocks)
        lock = socket.socket()
        try:
            lock.bind((HOST, first))
        except OSError:
            lock.close()
            continue
        _held_locks.append(lock)
        ports = list(range(first + 1, first + _BLOCK_PORTS))
        random.shuffle(ports)
        return ports


def _ephemeral_start() -> int:
    """Return the lowest port that the system gives outgoing connections."""
    try:
        return int(_PORT_RANGE.read_text(encoding="ascii").split()[0])
    except (OSError, ValueError, IndexError):
        return _USUAL_EPHEMERAL_START


def wait_until(check: Callable[[], Any], what: str, seconds: float = 20.0) -> Any:
    """Return the first true result of `check`; raise TimeoutError after `seconds`."""
    until = time.monotonic() + seconds
    while True:
        with contextlib.suppress(ConnectionError):
            if found := check():
                return found
        if time.monotonic() > until:
            raise TimeoutError(f"not within {seconds} s: {what}")
        time.sleep(0.05)


class Process:
    """One process of ours, ended by its id."""

    def __init__(self, *, arguments: list[str], log: Path) -> None:
        self._log = log
        with log.open("ab") as out:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=subprocess.PIPE, stderr=out
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def log(self) -> str:
        """Return what the process wrote to standard error."""
        return self._log.read_text()

    @property
    def ended(self) -> bool:
        """Return whether the process has ended by itself."""
        return self._popen.poll() is not None

    def first_line(self) -> str:
        """Return the first line of output; raise RuntimeError when there is none."""
        assert self._popen.stdout is not None
        line = self._popen.stdout.readline().decode()
        if not line:
            raise RuntimeError(f"process ended at its start: {self.log[-2000:]}")
        return line

    def signal(self, number: int) -> None:
        """Send a signal."""
        self._popen.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        self._popen.kill()
        self._close()

    def stop(self, seconds: float = 30.0) -> int:
        """Ask it to end; return its exit code."""
        if self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.terminate()
        try:
            self._popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self._abort()
        return self._close()

    def _abort(self) -> None:
        """End a process that does not stop, and show where its threads stand."""
        self._popen.send_signal(signal.SIGABRT)
        try:
            self._popen.wait(_ABORT_SECONDS)
        except subprocess.TimeoutExpired:
            self._popen.kill()
        print(f"process {self.pid} did not stop:\n{self.log[-_LOG_TAIL:]}", flush=True)

    def _close(self) -> int:
        code = self._popen.wait()
        if self._popen.stdout:
            self._popen.stdout.close()
        return code


class NodeProcess(Process):
    """A node, with its addresses."""

    def __init__(self, *, settings: Path, http: str, peer: str, log: Path) -> None:
        super().__init__(arguments=["fielddrift_node", "run", str(settings)], log=log)
        self.settings = settings
        self.http = http
        self.peer = peer

    def url(self, path: str) -> str:
        """Return a URL on this node."""
        return f"http://{self.http}{path}"


class Fleet:
    """A platform, targets, store hosts and nodes; a context manager."""

    def __init__(self, *, limits: dict[str, float] | None = None, **settings: Any) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="fielddrift-")
        self._limits = {"entry_seconds": 0.5, "stop_seconds": 20.0, **(limits or {})}
        self._settings = settings
        self._hosts: list[list[Any]] = []
        self._epoch = time.time_ns() // 10**6
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, str] = {}
        self.nodes: list[NodeProcess] = []
        self.keys: dict[str, str] = {}

    def __enter__(self) -> Fleet:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    # --- starting and ending -----------------------------------------------

    def stand_in(self, name: str, module: str, *options: str) -> str:
        """Start a stand-in; return its address."""
        arguments = [f"fielddrift_standins.{module}", *options]
        process = Process(arguments=arguments, log=self._log(name))
        self.processes[name] = process
        self.addresses[name] = json.loads(process.first_line())["address"]
        return self.addresses[name]

    def platform(self, *, lag: float = 0.0) -> None:
        """Start the platform: table with objects, host list, weight store."""
        self.stand_in("table", "table")
        self.stand_in("hosts", "hostlist", "--lag", str(lag))
        self.stand_in("weights", "weights")

    def node(
        self,
        *,
        data_centre: str = "catania-a",
        peers: tuple[str, ...] = (),
        peer: str = "",
        settings: dict[str, Any] | None = None,
    ) -> NodeProcess:
        """Start a node, and wait until it serves; `settings` override the fleet's."""
        http = f"127.0.0.1:{free_port()}"
        peer = peer or f"127.0.0.1:{free_port()}"
        file = self._folder_path / f"node-{len(self.nodes)}.json"
        own = self._node_settings(http, peer, data_centre, peers)
        file.write_text(json.dumps({**own, **(settings or {})}))
        node = self._start_node(file, http, peer)
        self.nodes.append(node)
        self._hosts.append([http, "entry", data_centre, False, self._epoch, {"peer": peer}])
        self.set_hosts()
        self.wait_ready(node)
        return node

    def restart_node(self, node: NodeProcess) -> NodeProcess:
        """Start an ended node again with its settings."""
        again = self._start_node(node.settings, node.http, node.peer)
        self.nodes[self.nodes.index(node)] = again
        self.wait_ready(again)
        return again

    def wait_ready(self, node: NodeProcess) -> None:
        """Wait until a node answers."""
        wait_until(lambda: fetch("GET", node.url("/v1/entry")).status == 200, node.http)

    def stop(self) -> dict[str, int]:
        """End every process; return their exit codes."""
        codes = {}
        for node in self.nodes:
            with contextlib.suppress(ProcessLookupError):
                node.signal(signal.SIGCONT)
                node.signal(signal.SIGTERM)
        for node in self.nodes:
            codes[f"node {node.http}"] = node.stop()
        for name, process in self.processes.items():
            codes[name] = process.stop()
        self._folder.cleanup()
        return codes

    @property
    def _folder_path(self) -> Path:
        return Path(self._folder.name)

    def _log(self, name: str) -> Path:
        return self._folder_path / f"{name}.log"

    def _start_node(self, file: Path, http: str, peer: str) -> NodeProcess:
        return NodeProcess(settings=file, http=http, peer=peer, log=self._log(file.stem))

    def _node_settings(
        self, http: str, peer: str, data_centre: str, peers: tuple[str, ...]
    ) -> dict[str, Any]:
        digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        return {
            "node": {"http": http, "peer": peer, "data_centre": data_centre},
            "platform": {
                "table": self.addresses["table"],
                "objects": self.addresses["table"],
                "hosts": self.addresses["hosts"],
            },
            "keys": {"operators": {"demo": digest}, "peer": PEER_KEY},
            "peers": list(peers),
            "limits": self._limits,
            **self._settings,
        }

    # --- the platform's side -----------------------------------------------

    def set_hosts(self, leaving: tuple[str, ...] = (), *, at_once: bool = True) -> None:
        """Set the host list; hosts at the addresses in `leaving` are leaving."""
        known = {host[0] for host in self._hosts}
        others = [
            [address, "target", "catania-a", False, self._epoch, {}]
            for address in leaving
            if address not in known
        ]
        hosts = [[h[0], h[1], h[2], h[0] in leaving, h[4], h[5]] for h in [*self._hosts, *others]]
        body = {"hosts": hosts, "at_once": at_once}
        fetch_json("PUT", f"http://{self.addresses['hosts']}/hosts", body)

    def pad_hosts(self, count: int) -> None:
        """Add `count` hosts to the list that are there only to make it long."""
        for number in range(count):
            address = f"10.0.{number // 250}.{number % 250}:9000"
            self._hosts.append([address, "target", "catania-a", False, self._epoch, {}])

    def faults(self, name: str, **values: Any) -> None:
        """Set a stand-in's switches."""
        fetch_json("POST", f"http://{self.addresses[name]}/faults", values)

    def stats(self, name: str) -> Any:
        """Return a stand-in's statistics."""
        return fetch_json("GET", f"http://{self.addresses[name]}/stats")

    def turned_away(self, name: str) -> int:
        """Return how many calls a service has told to wait."""
        answer = fetch_json("GET", f"http://{self.addresses[name]}/journal")
        return int(answer["turned_away"])

    def journal(self, name: str) -> list[dict[str, str]]:
        """Return what ran on a plain service."""
        journal: list[dict[str, str]] = fetch_json("GET", f"http://{self.addresses[name]}/journal")[
            "journal"
        ]
        return journal

    # --- the operators' and callers' side ----------------------------------

    def say(
        self, statement: str, *, node: NodeProcess | None = None, wait: float = 10.0, **more: Any
    ) -> Any:
        """Run an operator's statement; raise ConnectionError when it is refused."""
        node = node or self.nodes[0]
        body = {"statement": statement, "wait": wait, **more}
        bearer = f"Bearer {OPERATOR_KEY}"
        url = node.url("/v1/operators/statements")
        answer = fetch_json("POST", url, body, Authorization=bearer)
        if statement.startswith(("create customer", "rotate key")) and "key" in answer:
            self.keys[statement.split()[-1 if "of" in statement else 2]] = answer["key"]
        return answer

    def rows(self, statement: str, *, node: NodeProcess | None = None) -> list[dict[str, Any]]:
        """Return the rows of a query."""
        shown = self.say(statement, node=node, wait=0.0)
        return [dict(zip(shown["columns"], row, strict=True)) for row in shown["rows"]]

    def complete(
        self,
        customer: str,
        prompt: str,
        *,
        model: str = "oracolo",
        node: NodeProcess | None = None,
        max_tokens: int = 8,
        stream: bool = False,
        headers: dict[str, str] | None = None,
        timeout: float = 60.0,
    ) -> Fetched:
        """Ask for a completion."""
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream}
        return self.post(
            "/v1/completions", customer, json.dumps(body).encode(), node, headers, timeout
        )

    def call(
        self,
        customer: str,
        path: str,
        body: bytes,
        *,
        key: str = "",
        node: NodeProcess | None = None,
        service: str = "mercato",
        headers: dict[str, str] | None = None,
        timeout: float = 60.0,
    ) -> Fetched:
        """Call the plain service."""
        named = {"Idempotency-Key": key} if key else {}
        url = f"/v1/services/{service}/{path}"
        return self.post(url, customer, body, node, {**named, **(headers or {})}, timeout)

    def post(
        self,
        path: str,
        customer: str,
        body: bytes,
        node: NodeProcess | None,
        headers: dict[str, str] | None,
        timeout: float,
    ) -> Fetched:
        """Post to a node with a customer's key."""
        node = node or self.nodes[0]
        named = {
            "Authorization": f"Bearer {self.keys[customer]}",
            "Content-Type": "application/json",
            **(headers or {}),
        }
        return fetch("POST", node.url(path), body, named, timeout)
