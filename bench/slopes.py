"""Measure how a node's costs grow; write docs/data/slopes.json.

Named slopes are measured anew, without names all of them.

Each slope has at least four points, a straight line fitted to them, and the
largest distance of a point from that line.
"""

from __future__ import annotations

import json
import os
import random
import sys
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import Any

import numpy as np
from fielddrift_core.commands import CreateCustomer, apply
from fielddrift_core.configlog import decode_snapshot, encode_snapshot
from fielddrift_core.membership import Member, Membership
from fielddrift_core.model import Configuration, CostWeights, Customer, Target, TargetRole
from fielddrift_core.names import chained_digests, rank
from fielddrift_core.routing import POLICIES, KeptPrefix, Load, RequestNeeds, sample_targets
from fielddrift_node.board import Board
from fielddrift_node.metrics import Metrics
from fielddrift_node.sightings import IP_UDP_BYTES, Head, Sent, Sightings
from fielddrift_standins.demo import small_fleet
from fielddrift_standins.fleet import PEER_KEY, Fleet, Process, free_port

from .processes import measure, resident

__all__ = ["main"]

OUT = Path(__file__).parent.parent / "docs" / "data" / "slopes.json"
SPAN_SECONDS = 12.0
WARM_SECONDS = 4.0

Points = list[dict[str, float]]


def fit(points: Points, x: str, y: str) -> dict[str, Any]:
    """Return the line through the points and the largest distance from it."""
    xs = np.array([p[x] for p in points], dtype=float)
    ys = np.array([p[y] for p in points], dtype=float)
    slope, start = np.polyfit(xs, ys, 1)
    residual = float(np.max(np.abs(ys - (start + slope * xs))))
    return {"x": x, "y": y, "start": float(start), "slope": float(slope), "residual": residual}


# --- a node among many peers -----------------------------------------------


def peers() -> Points:
    """Measure an idle node among 10 to 400 peers."""
    points = []
    for count in (10, 50, 100, 200, 400):
        with Fleet() as fleet:
            fleet.platform()
            peer = f"127.0.0.1:{free_port()}"
            fakes = Process(
                arguments=["bench.fake_peers", str(count), peer, PEER_KEY],
                log=Path(fleet._folder.name) / "fakes.log",
            )
            try:
                first = json.loads(fakes.first_line())["address"]
                fleet.pad_hosts(3 * count)
                node = fleet.node(peers=(first,), peer=peer)
                time.sleep(WARM_SECONDS)
                before, began = _counters(fleet), time.monotonic()
                use = measure(node.pid, SPAN_SECONDS)
                after, span = _counters(fleet), time.monotonic() - began
                known = len(fleet.rows("show nodes where status = alive"))
            finally:
                fakes.kill()
        points.append(
            {
                "peers": count,
                "known": known,
                "core_percent": 100 * use.core,
                "resident_mb": use.resident / 1e6,
                "loopback_bytes_s": use.loopback,
                **{
                    f"{name.replace('.', '_')}_s": (after.get(name, 0) - before.get(name, 0)) / span
                    for name in ("peers.sent", "peers.received", "table.reads", "table.writes")
                },
            }
        )
        print(points[-1], flush=True)
    return points


def _counters(fleet: Fleet) -> dict[str, float]:
    return {row["counter"]: row["value"] for row in fleet.rows("show counters")}


# --- changes of configuration ----------------------------------------------


def changes() -> Points:
    """Measure a node of three while 0 to 1 changes a second are made at another."""
    points = []
    with Fleet() as fleet:
        small_fleet(fleet)
        number = 0
        for rate in (0.0, 0.25, 0.5, 1.0):
            stop = threading.Event()

            def change(rate: float = rate, stop: threading.Event = stop) -> None:
                nonlocal number
                while rate and not stop.wait(1.0 / rate):
                    number += 1
                    fleet.say(f"create customer c{number}", node=fleet.nodes[0], wait=0)

            thread = threading.Thread(target=change)
            thread.start()
            reads = fleet.stats("table")
            use = measure(fleet.nodes[1].pid, SPAN_SECONDS)
            after = fleet.stats("table")
            stop.set()
            thread.join()
            points.append(
                {
                    "changes_s": rate,
                    "core_percent": 100 * use.core,
                    "table_reads_s_fleet": (after["reads"] - reads["reads"]) / SPAN_SECONDS,
                    "table_writes_s_fleet": (after["writes"] - reads["writes"]) / SPAN_SECONDS,
                }
            )
            print(points[-1], flush=True)
    return points


# --- claims ----------------------------------------------------------------


def claims() -> Points:
    """Measure the table's commits for each request that may not be repeated."""
    points = []
    with Fleet() as fleet:
        small_fleet(fleet, nodes=1, engines=1)
        number = 0
        for rate in (1, 10, 50, 100):
            before = fleet.stats("table")
            total = min(rate * 8, 500)
            threads = []
            began = time.monotonic()
            for turn in range(total):
                number += 1
                key = f"k{number}"
                thread = threading.Thread(
                    target=fleet.call, args=("lega-etna", "t", b"{}"), kwargs={"key": key}
                )
                thread.start()
                threads.append(thread)
                time.sleep(max(0.0, began + (turn + 1) / rate - time.monotonic()))
            for thread in threads:
                thread.join()
            time.sleep(1.5)
            after = fleet.stats("table")
            span = time.monotonic() - began
            idle = 2.0  # lease renewals and polls a second, read off the idle node
            points.append(
                {
                    "requests_s": rate,
                    "commits_a_request": (after["commits"] - before["commits"] - idle * span / 2)
                    / total,
                    "rows_written_a_request": (after["writes"] - before["writes"]) / total,
                    "commits_s": (after["commits"] - before["commits"]) / span,
                }
            )
            print(points[-1], flush=True)
    return points


# --- state of a node, in one process ---------------------------------------


def customers() -> Points:
    """Measure the configuration's memory and the cost of a change."""
    points = []
    for count in (10, 1_000, 8_000, 32_000):
        names = [f"customer-{n}" for n in range(count)]
        raw = encode_snapshot(
            Configuration(
                count,
                {n: Customer(n, (f"{n:0>64}",), f"{n:0>64}") for n in names},
                {f"{n:0>64}": n for n in names},
            )
        )
        before = _resident()
        configuration = decode_snapshot(raw)
        grown = _resident() - before
        seconds = _best(partial(apply, configuration, CreateCustomer("new", 1.0, "d", "s")))
        points.append(
            {
                "customers": count,
                "snapshot_mb": len(raw) / 1e6,
                "memory_mb": grown / 1e6,
                "change_ms": 1000 * seconds,
            }
        )
        print(points[-1], flush=True)
    return points


def hints() -> Points:
    """Measure the memory of hints on prompts that targets may still have."""
    points = []
    for count in (1_000, 5_000, 10_000, 20_000):
        tracemalloc.start()
        board = Board(data_centre="dc")
        for number in range(count):
            board.remember(f"t{number % 22}", f"{number:016x}", 100, f"{number:016x}")
        points.append({"prompts": count, "memory_mb": tracemalloc.get_traced_memory()[0] / 1e6})
        tracemalloc.stop()
        print(points[-1], flush=True)
    return points


def decisions() -> Points:
    """Measure a whole decision among 13 to 800 targets."""
    points = []
    rng = random.Random(1)
    need = RequestNeeds(8000, 32, CostWeights(), KeptPrefix(30, 120_000, 0.1, 0.1))
    for count in (13, 50, 200, 400, 800):
        targets = [
            Target(f"t{n}", TargetRole.ENGINE, "127.0.0.1:1", "dc", "m") for n in range(count)
        ]
        board = Board(data_centre="dc")
        for target in targets:
            board.record_load(target.name, Load(rng.randrange(8), 0, rng.randrange(9000)), 1, ["v"])
        points.append(
            {"targets": count}
            | {
                f"{name.replace('-', '_')}_us": 1e6 * _decision(name, board, targets, need, rng)
                for name in ("cost", "cost-all", "least-loaded")
            }
        )
        print(points[-1], flush=True)
    return points


def _decision(
    name: str, board: Board, targets: list[Target], need: RequestNeeds, rng: random.Random
) -> float:
    """Return the time of one decision: hints, draw, views and choice."""
    digests = chained_digests(b"x" * 32 * 1024, salt="s")

    def decide() -> None:
        warm = board.warm(digests)
        drawn = sample_targets(
            targets,
            warm=(),
            allowed=lambda target: board.takes(target, "v"),
            sample=POLICIES[name].sample,
            rng=rng,
        )
        POLICIES[name].choose(need, board.views(drawn, warm), rng)

    return _best(decide)


def sightings() -> Points:
    """Measure the bytes of sightings that one request sends, by who hears of it."""
    points = []
    sent = Sent("oracolo-07", 2**31, 8000, 2**63, 32, "archivio-rose", 320_000_000)
    head = Head("oracolo-07", 2**31, 6, 1, 9000, 2**63, 32, "ab" * 8, "archivio-rose", 0.257)
    for count in (1, 4, 8, 11):
        teller = Sightings(
            address="127.0.0.1:0",
            key="k" * 16,
            audience=lambda model: (),
            on_receive=lambda sighting: None,
            metrics=Metrics(address=""),
        )
        size = sum(len(data) + IP_UDP_BYTES for one in (sent, head) for data in teller.pack([one]))
        teller.close()
        points.append({"hearers": float(count), "bytes_a_request": float(count * size)})
        print(points[-1], flush=True)
    return points


def members() -> Points:
    """Measure the membership's memory, and the cost of a message."""
    points = []
    for count in (10, 100, 200, 400):
        all_members = [
            Member(f"10.0.{n // 250}.{n % 250}:7000", f"10.0.{n // 250}.{n % 250}:80", "dc", 1)
            for n in range(count)
        ]
        tracemalloc.start()
        view = Membership(me=all_members[0], rng=random.Random(1))
        view.merge(all_members, (), 0.0)
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        ranked = _best(partial(rank, "model", [(x.name, 1.0) for x in all_members]))
        points.append(
            {
                "members": count,
                "memory_mb": memory / 1e6,
                "message_us": 1e6 * _best(view.next_updates),
                "entry_us": 1e6 * ranked,
            }
        )
        print(points[-1], flush=True)
    return points


def _resident() -> int:
    return resident(os.getpid())


def _best(work: Callable[[], object], rounds: int = 30) -> float:
    """Return the shortest of some runs of `work`, in seconds."""
    taken = []
    for _ in range(rounds):
        began = time.perf_counter()
        work()
        taken.append(time.perf_counter() - began)
    return min(taken)


# --- all -------------------------------------------------------------------

SLOPES: dict[str, tuple[Callable[[], Points], str, Iterable[str]]] = {
    "customers": (customers, "customers", ("snapshot_mb", "memory_mb", "change_ms")),
    "hints": (hints, "prompts", ("memory_mb",)),
    "decisions": (decisions, "targets", ("cost_us", "cost_all_us", "least_loaded_us")),
    "sightings": (sightings, "hearers", ("bytes_a_request",)),
    "members": (members, "members", ("memory_mb", "message_us", "entry_us")),
    "peers": (
        peers,
        "peers",
        ("core_percent", "resident_mb", "loopback_bytes_s", "table_reads_s"),
    ),
    "changes": (
        changes,
        "changes_s",
        ("core_percent", "table_reads_s_fleet", "table_writes_s_fleet"),
    ),
    "claims": (claims, "requests_s", ("commits_a_request", "commits_s")),
}


def main() -> None:
    """Measure all slopes and write them down."""
    found: dict[str, Any] = json.loads(OUT.read_text()) if OUT.exists() else {}
    for name in sys.argv[1:] or SLOPES:
        work, x, ys = SLOPES[name]
        print(f"== {name}", flush=True)
        points = work()
        found[name] = {"points": points, "fits": [fit(points, x, y) for y in ys]}
    OUT.parent.mkdir(parents=True, exist_ok=True)
    OUT.write_text(json.dumps(found, indent=1) + "\n")
    for name, slope in found.items():
        for line in slope["fits"]:
            print(
                f"{name}: {line['y']} = {line['start']:.4g} + {line['slope']:.4g} x {line['x']}"
                f" (off by at most {line['residual']:.3g})"
            )


if __name__ == "__main__":
    main()
