"""All nodes are killed during a release; clients take up streams that the old version began."""

from __future__ import annotations

import asyncio
import itertools
import random
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import TROUBLE, Case  # noqa: E402
from standins.fleet import Fleet, ask_stream  # noqa: E402

_TOKENS = 70
_PACE_SECONDS = 0.1
"""A stream takes 7 s of its 12."""
_STREAMS = 40
_DEADLINE_SECONDS = 12.0
_DRAIN_SECONDS = 2.3
"""`drain-ms` of 2,000, and a little longer."""
_RELEASE_GAP_SECONDS = 1.0
_RESTART_SECONDS = 0.7
_RETRY_SECONDS = 0.5
"""A client's pause after a broken connection."""
_RETRY_COUNT = 1
"""As on the site's sheet."""
_ALLOWED_COUNT = 2
"""Streams that may hold events from workers of two versions."""


async def _client(fleet: Fleet, name: str) -> list[str]:
    """Ask for a stream, take it up again where it breaks off; return all events."""
    began = time.monotonic()
    events: list[str] = []
    first = ""
    tries = 0
    for attempt in itertools.count():
        left = _DEADLINE_SECONDS - (time.monotonic() - began)
        if left <= 0 or tries > _RETRY_COUNT:
            break
        node = random.choice(fleet.nodes)
        request_id = f"{name}-{attempt}"
        resume = {"Last-Event-Id": str(len(events)), "Resumes": first} if events else {}
        fleet.note("client sends", id=request_id, node=node.name, **resume)
        answer = await ask_stream(
            node,
            "/draft/2f",
            request_id,
            tokens=_TOKENS,
            deadline_ms=int(left * 1000),
            resume=resume,
        )
        # A connection that does not come up is no try: the client takes another address.
        tries += answer.status != 0
        if answer.events and not first:
            first = request_id
        events += answer.events
        fleet.note(
            "client received",
            id=request_id,
            status=answer.status,
            events=len(answer.events),
            whole=answer.whole,
            error=answer.error or "none",
        )
        if answer.status == 200 and answer.whole:
            break
        # Clients honour `Retry-After` up to a third of the time they have left.
        left = _DEADLINE_SECONDS - (time.monotonic() - began)
        await asyncio.sleep(max(_RETRY_SECONDS, min(answer.retry_after, left / 3)))
    return events


async def _release(fleet: Fleet, old: dict[str, subprocess.Popen[bytes]]) -> None:
    """Replace the workers of the old version, one at a time, the new one first."""
    ends = []
    for number, (name, process) in enumerate(old.items()):
        await _start(fleet, f"i-new-{number}", "v2")
        await asyncio.sleep(0.2)
        fleet.drain(name)
        fleet.note("says draining", worker=name)
        ends.append(asyncio.ensure_future(_end(fleet, name, process)))
        await asyncio.sleep(_RELEASE_GAP_SECONDS - 0.3)
    await asyncio.gather(*ends)


async def _end(fleet: Fleet, name: str, process: subprocess.Popen[bytes]) -> None:
    await asyncio.sleep(_DRAIN_SECONDS)
    process.terminate()
    await asyncio.to_thread(process.wait)
    fleet.leave(name)
    fleet.note("has ended", worker=name)


async def _start(fleet: Fleet, name: str, software: str) -> subprocess.Popen[bytes]:
    zone = random.choice(("catania-a", "messina-b", "siracusa-c"))
    fleet.note("starts", worker=name, version=software)
    return await fleet.worker(name, zone=zone, software=software, pace_seconds=_PACE_SECONDS)


class KilledDuringRelease(Case):
    """All nodes are killed when the last workers of a version have ended."""

    rule = "ORDER"

    async def play(self, fleet: Fleet) -> list[str]:
        """Play the case; return a line for each breach of the rule."""
        fleet.configure()
        old = {
            f"i-old-{number}": await _start(fleet, f"i-old-{number}", "v1") for number in range(2)
        }
        for number in range(2, 5):
            await _start(fleet, f"i-new-{number}", "v2")
        for number in range(3):
            fleet.node(number)
        await fleet.wait_ready()
        await asyncio.sleep(2.0)
        clients = {
            f"c{number}": asyncio.ensure_future(_client(fleet, f"c{number}"))
            for number in range(_STREAMS)
        }
        await asyncio.sleep(0.7)
        await _release(fleet, old)
        if TROUBLE:
            for node in fleet.nodes:
                node.kill()
            fleet.note("all nodes are killed")
            await asyncio.sleep(_RESTART_SECONDS)
            for node in fleet.nodes:
                node.start()
            fleet.note("all nodes are started again")
        await asyncio.gather(*clients.values())
        mixed = []
        for name, client in clients.items():
            versions = sorted({event.rpartition(" ")[2] for event in client.result()})
            fleet.note("stream", client=name, events=len(client.result()), versions=versions)
            if len(versions) > 1:
                mixed.append(f"{name} holds events of {' and '.join(versions)}")
        return mixed if len(mixed) > _ALLOWED_COUNT else []


if __name__ == "__main__":
    sys.exit(KilledDuringRelease(folder=Path(__file__).parent).run())
