"""Callers that offer HTTP/2 keep a connection for many requests."""

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from deployment import Connection, Site, Worker, play, request

FOLDER = Path(__file__).resolve().parent
CLIENTS = 12
REQUESTS = 5
REST_SECONDS = 0.2
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2_Settings": "AAMAAABkAAQAAP__",
}


async def call_in_turn(site: Site, number: int, fields: dict[str, str]) -> list[str]:
    """Send requests one after the other; return what was wrong with their answers."""
    address = site.nodes[number % len(site.nodes)].front
    connection = await Connection.open(address)
    wrong = []
    for turn in range(REQUESTS):
        request_id = f"c{number}-{turn}"
        connection.send(request(f"/unsafe/{turn}", request_id, **fields))
        site.record.write(f"sent {request_id} on connection {number}")
        try:
            answer = await connection.answer()
        except EOFError:
            site.record.write(f"closed before an answer to {request_id}")
            connection = await Connection.open(address)
            continue
        site.record.write(
            f"answer to {request_id}: {answer.first}, {answer.fields} {answer.body!r}"
        )
        whose = answer.fields.get("x-request-id", "")
        if whose != request_id:
            wrong.append(f"{request_id} got an answer of {whose or 'no request'}: {answer.first}")
        if answer.fields.get("connection") == "close":
            connection.close()
            connection = await Connection.open(address)
            continue
        # Nothing is asked now, so nothing may come.
        await asyncio.sleep(REST_SECONDS)
    connection.close()
    return wrong


async def case(trouble: bool) -> bool:
    site = Site(FOLDER)
    try:
        await site.store.start()
        for number in range(3):
            await site.add_worker(Worker(f"app-{number}", "app", site.runs))
        for number in range(2):
            await site.add_worker(Worker(f"llm-{number}", "llm", site.runs, events=9))
        await site.start(3)
        calls = [call_in_turn(site, n, OFFER if trouble else {}) for n in range(CLIENTS)]
        wrong = [each for found in await asyncio.gather(*calls) for each in found]
        for work in site.runs:
            site.record.write(f"run {work.id} at {work.worker}")
        for each in wrong:
            site.record.write(f"MIXED {each}")
        site.record.write(f"{len(wrong)} answers that belong to another request")
        return not wrong
    finally:
        with contextlib.suppress(ProcessLookupError):
            await site.end()


play(case, FOLDER)
