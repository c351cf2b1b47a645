"""Measure how quickly the promises take hold on real processes; write docs/data/promises.json.

Seven nodes: changes in force, a target's last new work, a killed node off the
entry answers, the first answer after a table's outage, a restart of all.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fielddrift_standins.demo import small_fleet
from fielddrift_standins.fetch import fetch_json
from fielddrift_standins.fleet import Fleet, wait_until

__all__ = ["main"]

OUT = Path(__file__).parent.parent / "docs" / "data" / "promises.json"
NODES = 7
CUSTOMER = "lega-etna"


def _spread(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {
        "count": len(ordered),
        "p50": round(ordered[len(ordered) // 2], 3),
        "max": round(ordered[-1], 3),
    }


def in_force(fleet: Fleet) -> dict[str, float]:
    """Return the seconds until each of some changes is in force at every node."""
    taken = []
    for number in range(40):
        began = time.monotonic()
        node = fleet.nodes[number % NODES]
        done = fleet.say(f"create customer c{number}", node=node)
        assert done["in_force"], done
        taken.append(time.monotonic() - began)
    return _spread(taken)


def last_work(fleet: Fleet) -> dict[str, float]:
    """Return the seconds for which leaving targets still got new work."""
    taken = []
    for number in range(3):
        name = f"engine-{number}"
        sent: list[tuple[float, str]] = []
        stop = threading.Event()

        def ask(turn: int, sent: list[tuple[float, str]] = sent, stop: Any = stop) -> None:
            for step in range(10_000):
                if stop.is_set():
                    return
                at = time.monotonic()
                node = fleet.nodes[(turn + step) % NODES]
                got = fleet.complete(CUSTOMER, f"{turn} {step}", node=node, max_tokens=2)
                sent.append((at, got.headers.get("fielddrift-target", "")))

        threads = [threading.Thread(target=ask, args=(turn,)) for turn in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        left_at = time.monotonic()
        fleet.set_hosts(leaving=(fleet.addresses[name],))
        time.sleep(5.0)
        stop.set()
        for thread in threads:
            thread.join()
        taken.append(max([0.0, *(at - left_at for at, target in sent if target == name)]))
    return _spread(taken)


def killed_node(fleet: Fleet) -> dict[str, float]:
    """Return the seconds until a killed node is off every entry answer."""
    victim = fleet.nodes[-1]
    began = time.monotonic()
    victim.kill()
    others = fleet.nodes[:-1]

    def gone() -> bool:
        return all(
            victim.http not in fetch_json("GET", node.url("/v1/entry"))["addresses"]
            for node in others
        )

    wait_until(gone, "off the entry answers")
    taken = time.monotonic() - began
    fleet.restart_node(victim)
    return _spread([taken])


def outage(fleet: Fleet) -> dict[str, float]:
    """Return what a table's outage of 20 s costs, and the time to normal after it."""
    fleet.faults("table", down=True)
    until = time.monotonic() + 20.0
    answered, refused, slowest = 0, 0, 0.0
    number = 0
    while time.monotonic() < until:
        number += 1
        node = fleet.nodes[number % NODES]
        answered += fleet.complete(CUSTOMER, f"buio {number}", node=node).status == 200
        began = time.monotonic()
        got = fleet.call(CUSTOMER, "t", b"{}", key=f"buio-{number}", node=node)
        refused += got.status == 503
        slowest = max(slowest, time.monotonic() - began)
    fleet.faults("table", down=False)
    began = time.monotonic()
    wait_until(lambda: fleet.call(CUSTOMER, "t", b"{}", key="poi").status == 200, "normal")
    return {
        "asked": number,
        "answered": answered,
        "refused": refused,
        "slowest_refusal": round(slowest, 3),
        "seconds_to_normal": round(time.monotonic() - began, 3),
    }


def restart_storm(fleet: Fleet) -> dict[str, float]:
    """Return the table's reads and writes while all nodes are restarted at once."""
    before, began = fleet.stats("table"), time.monotonic()
    for node in fleet.nodes:
        node.kill()
    threads = [threading.Thread(target=fleet.restart_node, args=(n,)) for n in list(fleet.nodes)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    taken = time.monotonic() - began
    after = fleet.stats("table")
    return {
        "seconds": round(taken, 3),
        "reads_a_node": (after["reads"] - before["reads"]) / NODES,
        "writes_a_node": (after["writes"] - before["writes"]) / NODES,
    }


MEASURES: tuple[Callable[[Fleet], dict[str, float]], ...] = (
    in_force,
    last_work,
    killed_node,
    outage,
    restart_storm,
)


def main() -> None:
    """Measure all, and write the figures down."""
    found = {}
    with Fleet() as fleet:
        small_fleet(fleet, nodes=NODES, engines=5)
        for measure in MEASURES:
            found[measure.__name__] = measure(fleet)
            print(measure.__name__, found[measure.__name__], flush=True)
    OUT.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
