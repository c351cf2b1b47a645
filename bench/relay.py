"""Measure what a node adds to an engine's streams, and what it costs.

The same streams are asked of the engine stand-in directly and through a node,
in turn, in one run; figures are ratios, with the node's processor time an
event and its memory.  Writes docs/data/relay.json.
"""

from __future__ import annotations

import json
import statistics
import time
from pathlib import Path
from threading import Thread
from typing import NamedTuple

from fielddrift_node.http_client import Call, HttpClient, Stream
from fielddrift_standins.check import customer_salt
from fielddrift_standins.demo import small_fleet
from fielddrift_standins.fetch import fetch_json
from fielddrift_standins.fleet import Fleet

from .processes import processor_seconds, resident

__all__ = ["main"]

OUT = Path(__file__).parent.parent / "docs" / "data" / "relay.json"
EVENTS = 60
STEP = 0.069
STREAMS = (1, 50, 200)
ROUNDS = 3


class Timed(NamedTuple):
    """One round of streams: seconds to the first events, seconds a token, how many whole."""

    first: list[float]
    token: list[float]
    whole: int


def _calls(fleet: Fleet, count: int, *, direct: bool) -> list[Call]:
    calls = []
    for number in range(count):
        prompt = f"domanda {number}"
        if direct:
            url = f"http://{fleet.addresses['engine-0']}/v1/runs"
            body = {
                "run": f"direct-{number}-{time.monotonic()}",
                "customer": "lega-etna",
                "model": "oracolo",
                "version": "v1",
                "salt": customer_salt(fleet, "lega-etna") if number == 0 else "s",
                "prompt": prompt,
                "max_tokens": EVENTS,
            }
        else:
            url = fleet.nodes[0].url("/v1/completions")
            body = {"model": "oracolo", "prompt": prompt, "max_tokens": EVENTS, "stream": True}
        headers = {
            "Content-Type": "application/json",
            "Authorization": f"Bearer {fleet.keys['lega-etna']}",
        }
        calls.append(Call("POST", url, json.dumps(body).encode(), headers, timeout=60.0))
    return calls


def _time(client: HttpClient, calls: list[Call]) -> Timed:
    """Start all calls at once and read them to their ends."""
    first = [0.0] * len(calls)
    token = [0.0] * len(calls)
    whole = [False] * len(calls)

    def read(number: int, stream: Stream, began: float) -> None:
        data = b""
        for chunk in stream:
            if not data:
                first[number] = time.monotonic() - began
            data += chunk
        token[number] = (time.monotonic() - began - first[number]) / EVENTS
        whole[number] = b"event: end\n" in data

    threads = []
    for number, call in enumerate(calls):
        began = time.monotonic()
        thread = Thread(target=read, args=(number, client.stream(call), began))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    return Timed(first, token, sum(whole))


def measure() -> list[dict[str, float]]:
    """Return the figures at each number of streams."""
    found = []
    client = HttpClient()
    with Fleet() as fleet:
        small_fleet(fleet, nodes=1, engines=1)
        fleet.say("drop target engine-0")
        options = ("--model", "oracolo", "--slots", "250", "--step", str(STEP))
        weights = ("--weights", fleet.addresses["weights"])
        address = fleet.stand_in("engine-0", "engine", *options, *weights)
        fleet.say(f"create engine engine-0 at {address} in catania-a serving oracolo slots 250")
        while fetch_json("GET", f"http://{address}/orders")["versions"] != ["v1"]:
            time.sleep(0.1)
        node = fleet.nodes[0]
        for count in STREAMS:
            direct, through = [], []
            used = 0.0
            for _ in range(ROUNDS):
                direct.append(_time(client, _calls(fleet, count, direct=True)))
                before = processor_seconds(node.pid)
                through.append(_time(client, _calls(fleet, count, direct=False)))
                used += processor_seconds(node.pid) - before
            found.append(_summary(count, direct, through, used, resident(node.pid)))
            print(found[-1], flush=True)
    client.close()
    return found


def _summary(
    count: int, direct: list[Timed], through: list[Timed], used: float, memory: int
) -> dict[str, float]:
    def middle(rounds: list[Timed], field: int) -> float:
        return statistics.median(value for timed in rounds for value in timed[field])  # type: ignore[union-attr]

    events = count * EVENTS * ROUNDS
    return {
        "streams": count,
        "whole": sum(timed.whole for timed in through) / (count * ROUNDS),
        "first_direct_ms": 1000 * middle(direct, 0),
        "first_through_ms": 1000 * middle(through, 0),
        "first_added_ms": 1000 * (middle(through, 0) - middle(direct, 0)),
        "token_ratio": middle(through, 1) / middle(direct, 1),
        "node_us_an_event": 1e6 * used / events,
        "node_core_share": used / (ROUNDS * EVENTS * STEP),
        "node_resident_mb": memory / 1e6,
    }


def main() -> None:
    """Measure, and write the figures down."""
    found = {"loop": measure()}
    OUT.parent.mkdir(parents=True, exist_ok=True)
    OUT.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
