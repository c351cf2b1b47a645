"""Show one returning prompt from end to end, on real processes.

Starts a platform, three nodes, three engines, a plain service and two store
hosts; prints what happens at each step; exits 0 only when all of it held.
"""

from __future__ import annotations

import json
import sys
import time
from typing import Any

from .check import expected_text, is_whole, text_of
from .fetch import fetch_json
from .fleet import Fleet, wait_until

__all__ = ["main", "small_fleet"]

_BYTES_A_TOKEN = 4
_PROMPT_LINES = 600
_WORDS = 12

_failures: list[str] = []


def small_fleet(fleet: Fleet, *, nodes: int = 3, engines: int = 3, cache_blocks: int = 80) -> None:
    """Start and configure the fleet that the demo and many tests use."""
    fleet.platform()
    for number in range(nodes):
        fleet.node(data_centre=("catania-a", "messina-b", "siracusa-c")[number % 3])
    fleet.say("create model oracolo version v1")
    for number in range(engines):
        name = f"engine-{number}"
        options = ("--model", "oracolo", "--cache-blocks", str(cache_blocks))
        address = fleet.stand_in(name, "engine", *options, "--weights", fleet.addresses["weights"])
        fleet.say(f"create engine {name} at {address} in catania-a serving oracolo", wait=0)
    for name in ("archivio-rose", "archivio-storico"):
        address = fleet.stand_in(name, "store")
        fleet.say(
            f"create store {name} at {address} in catania-a "
            "memory 64000000 disk 256000000 link 20000000",
            wait=0,
        )
    address = fleet.stand_in("mercato", "service")
    fleet.say(
        f"create service mercato at {address} in catania-a serving mercato not repeatable POST",
        wait=0,
    )
    fleet.say("create customer lega-etna", wait=0)
    fleet.say("set hold for customer lega-etna seconds 86400 chance 0.8")
    wait_until(lambda: _loaded(fleet, engines), "the engines have loaded v1")


def _loaded(fleet: Fleet, engines: int) -> bool:
    states = [
        fetch_json("GET", f"http://{fleet.addresses[f'engine-{n}']}/orders") for n in range(engines)
    ]
    return all(state["versions"] == ["v1"] for state in states)


def main() -> None:
    """Run the demo."""
    began = time.monotonic()
    with Fleet() as fleet:
        _say("starting a platform, 3 nodes, 3 engines, 2 store hosts and a plain service")
        small_fleet(fleet)
        _say(f"up after {time.monotonic() - began:.1f} s")
        _entry(fleet)
        prompt = "".join(
            f"giornata {n}: {n * 7 % 90} punti, rosa {n * 13 % 25}\n" for n in range(_PROMPT_LINES)
        )
        first = _ask(fleet, prompt, "first time")
        _check(first["recomputed"] > 0, "the first time all context is computed")
        wait_until(lambda: fleet.rows("show held"), "the prefix is kept")
        _say("kept: " + json.dumps(fleet.rows("show held by customer, store, tier")))
        for number in range(3):
            fetch_json("POST", f"http://{fleet.addresses[f'engine-{number}']}/kv/clear", {})
        _say("a long gap: the engines' memory has gone to other prompts")
        again = _ask(fleet, prompt + "Chi schiero domani?\n", "after the gap")
        _check(again["imported"] > 0, "the kept context was imported")
        _check(again["recomputed"] <= 2, "next to nothing was recomputed")
        _transfer(fleet)
        codes = fleet.stop()
        _check(all(code == 0 for code in codes.values()), f"every process ended with 0: {codes}")
    _say("all of it held" if not _failures else f"FAILED: {_failures}")
    sys.exit(1 if _failures else 0)


def _entry(fleet: Fleet) -> None:
    entry = fetch_json("GET", fleet.nodes[1].url("/v1/entry?model=oracolo"))
    _say(f"entry answer: {entry['addresses']}, to be kept {entry['keep_seconds']} s")
    _check(len(entry["addresses"]) == 3, "the entry answer names all 3 nodes")


def _ask(fleet: Fleet, prompt: str, what: str) -> dict[str, Any]:
    before = {n: fleet.stats(n)["link_bytes"] for n in ("archivio-rose", "archivio-storico")}
    counted = _counters(fleet)
    began = time.monotonic()
    got = fleet.complete("lega-etna", prompt, max_tokens=_WORDS, stream=True, node=fleet.nodes[1])
    taken = time.monotonic() - began
    after = {n: fleet.stats(n)["link_bytes"] for n in before}
    used = {n: value - counted.get(n, 0) for n, value in _counters(fleet).items()}
    link = sum(after.values()) - sum(before.values())
    told = {name: got.headers.get(f"fielddrift-{name}") for name in ("target", "source", "ttft")}
    _say(
        f"{what}: {len(prompt) // _BYTES_A_TOKEN} tokens, status {got.status}, "
        f"target {told['target']}, source {told['source']}, "
        f"first token after {told['ttft']} s, whole after {taken:.2f} s, "
        f"blocks from memory {used['memory']}, imported {used['imported']}, "
        f"recomputed {used['recomputed']}, link bytes {link}"
    )
    _check(
        text_of(got) == expected_text(fleet, "lega-etna", prompt, "v1", _WORDS),
        "the answer equals that of a fresh run",
    )
    _check(is_whole(got), "the answer is marked whole")
    return used


def _transfer(fleet: Fleet) -> None:
    bodies = [
        fleet.call("lega-etna", "transfers", b'{"player": 10}', key="transfer-1", node=node)
        for node in fleet.nodes
    ]
    _say(f"one transfer sent to 3 nodes: {[got.status for got in bodies]}")
    ran = [entry["key"] for entry in fleet.journal("mercato")]
    _check(ran == ["transfer-1"], f"the transfer ran once: {ran}")


def _counters(fleet: Fleet) -> dict[str, int]:
    rows = {
        row["counter"]: row["value"] for row in fleet.rows("show counters", node=fleet.nodes[1])
    }
    return {n: int(rows.get(f"blocks.{n}", 0)) for n in ("memory", "imported", "recomputed")}


def _say(text: str) -> None:
    print(text, flush=True)


def _check(held: bool, what: str) -> None:
    print(f"  {'held' if held else 'FAILED'}: {what}", flush=True)
    if not held:
        _failures.append(what)


if __name__ == "__main__":
    main()
