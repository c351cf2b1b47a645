"""A node that carries connections to a worker is killed under streams without a length."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.fleet import Fleet, Node, ask_stream  # noqa: E402
from standins.link import is_connecting  # noqa: E402

_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_TOKENS = 60
_PACE_SECONDS = 0.1
_STREAMS = 24
_WORKERS = 5
_CONNECT_SECONDS = 0.37
"""Longer than a node waits for a connection, shorter than until the kernel asks again."""
_OPEN_SECONDS = 0.1
"""How long others may connect: shorter than a node's pause between its own attempts."""
_FOUND_SECONDS = 3.0
_LAPSE_SECONDS = 6.0
"""Longer than a node avoids a worker to which it could not connect."""
_TRIES = 4


async def _stream(fleet: Fleet, node: Node, path: str, request_id: str) -> str:
    """Ask for one stream; return what is wrong with the answer, empty for nothing."""
    fleet.note("client sends", id=request_id, node=node.name, path=path)
    answer = await ask_stream(node, path, request_id, tokens=_TOKENS)
    last = answer.events[-1] if answer.events else "none"
    fleet.note(
        "client received",
        id=request_id,
        status=answer.status,
        events=len(answer.events),
        last=repr(last),
        ended_as_complete=answer.whole,
        error=answer.error or "none",
    )
    expected = [f"token {number} of {_TOKENS}" for number in range(1, _TOKENS + 1)]
    if answer.status == 200 and answer.whole and answer.events != expected:
        return f"{request_id} ended as complete after {last!r}"
    return ""


async def _wait(check: object, seconds: float) -> bool:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if check():  # type: ignore[operator]
            return True
        await asyncio.sleep(0.003)
    return False


async def _cut(fleet: Fleet, node: Node, asks: list[asyncio.Task[str]]) -> bool:
    """Cut `node` off from i-0; return whether it found that other nodes reach that worker.

    The link knows no senders: it loses the packets of whoever connects, and passes them only while
    `node` itself does not try to connect.
    """
    link = fleet.links["i-0"]
    for attempt in range(_TRIES):
        link.cut()
        fleet.note("the path from the node to i-0 is cut", node=node.name, attempt=attempt)
        for number in range(_WORKERS + 1):
            name = f"p{attempt}-{number}"
            asks.append(asyncio.ensure_future(_stream(fleet, node, "/verdict/2f", name)))
        tried = await _wait(lambda: is_connecting(link.address), 1.0)
        await asyncio.sleep(_CONNECT_SECONDS)
        link.heal()
        found = lambda: node.log_lines("target reached through other nodes")  # noqa: E731
        if tried and await _wait(found, _FOUND_SECONDS):
            return True
        await asyncio.sleep(_LAPSE_SECONDS)
    return False


async def _play(fleet: Fleet) -> list[str] | None:
    fleet.configure()
    for number in range(_WORKERS):
        zone = ("catania-a", "messina-b", "siracusa-c")[number % 3]
        options = {"unframed": True, "pace_seconds": _PACE_SECONDS, "zone": zone}
        fleet.worker(f"i-{number}", linked=number == 0, **options)
    for number in range(3):
        fleet.node(number)
    await fleet.wait_ready()
    await asyncio.sleep(2.0)
    node, carrier, _ = fleet.nodes
    asks: list[asyncio.Task[str]] = []
    if _TROUBLE and not await _cut(fleet, node, asks):
        return None
    for number in range(_STREAMS):
        path = "/draft/2f" if number % 2 else "/verdict/2f"
        asks.append(asyncio.ensure_future(_stream(fleet, node, path, f"r{number}")))
    await asyncio.sleep(_OPEN_SECONDS)
    if _TROUBLE:
        fleet.links["i-0"].cut()
        await asyncio.sleep(1.5)
        carrier.kill()
        fleet.note("killed", node=carrier.name)
    found = [line for line in await asyncio.gather(*asks) if line]
    fleet.note_runs()
    for line in node.log_lines("target reached", '"through":"127', '"through": "127'):
        fleet.note("log of", node=node.name, line=line)
    return found


async def _main() -> int:
    record = Path(__file__).with_name("record.txt")
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(folder=Path(folder), record=record) as fleet:
            try:
                broken = await _play(fleet)
            except (OSError, TimeoutError) as error:
                fleet.note("could not run", error=repr(error))
                return 2
            finally:
                if logs := os.environ.get("KEEP_LOGS"):
                    for node in fleet.nodes:
                        Path(logs, f"{node.name}.log").write_text("\n".join(node.log_lines("")))
            if broken is None:
                fleet.note("could not run: no path was found to be cut")
                return 2
            for line in broken:
                fleet.note("ORDER broken:", stream=line)
            fleet.note("verdict", broken=len(broken))
            return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
