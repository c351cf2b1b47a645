"""A store of kept parts returns empty; two nodes of a zone learn of it one after the other."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from case import KEY, LIMITS, TROUBLE, Record, route, run_case
from fleet import Answer, Fleet, Machine, ask
from kv_store import KvStore
from worker import Worker

_WORKERS = 6
_ROUNDS = 6
_SUBJECTS = 5
_DOWN_SECONDS = 2.0
_SYSTEM_PART = "aaaa0001:2520"
_SUBJECT_TOKENS = 5000
_OWN_TOKENS = 1670


class _Prompts:
    """Sends prompts of the kind that the deployment's sheet tells."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._count = 0

    async def send(self, machine: Machine, subject: str, after: float = 0.0) -> Answer:
        await asyncio.sleep(after)
        self._count += 1
        name = f"r{self._count:04d}"
        self._record.write(f"{name} sent to {machine.name}, about subject {subject}")
        fields = {
            "Host": "pule25.example",
            "X-Request-Id": name,
            "X-Model": "daka510000",
            "X-Token-Usage": "9190,9",
            "X-Prompt-Prefix": (
                f"{_SYSTEM_PART},{subject}:{_SUBJECT_TOKENS},{self._count:08x}:{_OWN_TOKENS}"
            ),
            "X-Deadline-Ms": "4000",
            "X-Credential": KEY,
        }
        answer = await ask(machine.front, "POST", "/puxa400/2f", fields, b"q" * 18000)
        seconds = answer.ended - answer.began
        self._record.write(f"{name} answered {answer.status} after {seconds:.3f} s {answer.error}")
        return answer


async def _open(fleet: Fleet) -> KvStore:
    await fleet.open_store()
    store = KvStore(address=fleet.free_address(), link_mbps=29000.0, first_ms=6.0)
    await store.start()
    for number in range(_WORKERS):
        worker = Worker(
            name=f"i-{number}",
            address=fleet.free_address(),
            slots=64,
            model="daka510000",
            events=9,
            gap_seconds=0.01,
        )
        worker.stores = {store.address: store}
        worker.move_factor = 2.0
        await fleet.add_worker(worker, "huvo11a", "za")
    fleet.store.put("op", "version/daka510000", {"model": "daka510000", "version": 1})
    engine = {
        "slots": 64,
        "kv-capacity": 41564,
        "kv-token-bytes": 18432,
        "link-mbps": 130000.0,
        "managed": True,
        "max-inflight": 12,
        "models": [{"name": "daka510000"}],
    }
    kept = {
        "name": "ficu72g",
        "kv-store-addr": store.address,
        "zone": "zb",
        "kv-capacity": 1887172,
        "link-mbps": 29000.0,
        "max-inflight": 12,
        "managed": True,
        "first_ms": 6.0,
    }
    workers = {"name": "huvo11a", "health-path": "/healthz", "max-conns": 360, "engine": engine}
    fleet.configure(
        {
            "routes": [route("puxa400", "huvo11a", "streaming")],
            "services": [workers, kept],
            "limits": LIMITS,
            "tenants": [{"name": "jeye930", "api-keys": [KEY]}],
        }
    )
    for _ in range(2):
        fleet.add_machine("za")
    fleet.start_machines()
    await fleet.wait_ready()
    await asyncio.sleep(3.0)
    return store


def _listings(machine: Machine) -> int:
    """Return how often a node has listed the store."""
    return machine.log.read_text().count('"store listed"')


async def _listed_after(store: KvStore, moment: float) -> None:
    while not any(at > moment and path == "/kv-list" for at, _, path in store.calls):
        await asyncio.sleep(0.002)


async def _play(fleet: Fleet, record: Record) -> bool:
    store = await _open(fleet)
    prompts = _Prompts(record)
    first, second = fleet.machines
    for turn in range(_ROUNDS):
        subjects = [f"bbbb{turn:02d}{number:02d}" for number in range(_SUBJECTS)]
        for subject in subjects:
            await prompts.send(first, subject)
        await asyncio.sleep(2.0)
        if TROUBLE:
            record.write("the store goes down")
            before = {machine.name: _listings(machine) for machine in fleet.machines}
            store.stop()
            await asyncio.sleep(_DOWN_SECONDS)
            back = time.monotonic()
            await store.start()
            record.write("the store is back, empty")
            await _listed_after(store, back)
            record.write("a node has listed the store")
        sends = []
        for number, subject in enumerate(subjects):
            sends.append(prompts.send(first, subject, 0.03 * number))
            sends.append(prompts.send(second, subject, 0.03 * number + 0.045))
        await asyncio.gather(*sends)
        await asyncio.sleep(3.0)
        if TROUBLE and _listings(second) > before[second.name]:
            # It follows the store, and the other one copies from it.
            first, second = second, first
            record.write(f"{first.name} follows the store, {second.name} copies from it")
    for worker in fleet.workers.values():
        for each in worker.arrivals:
            fetch, save = each.fields.get("x-kv-fetch", "-"), each.fields.get("x-kv-save", "-")
            text = f"{each.request_id} run by {worker.name}: X-Kv-Fetch {fetch}, X-Kv-Save {save}"
            record.write(text, each.at)
    for began, ended, name, salt, part in store.saves:
        record.write(f"{name} saves {salt} {part}, whole {ended - began:.3f} s later", began)
    for draw in store.draws:
        text = f"{draw.request_id} fetches {draw.salt} {draw.part}: {draw.state}"
        if draw.state == "not whole":
            text += f", its save began {draw.written_for:.3f} s before"
        record.write(text, draw.at)
    bad = [draw for draw in store.draws if draw.state == "not whole"]
    record.write(f"fetches of parts that were still being written: {len(bad)}")
    return not bad


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, _play)
