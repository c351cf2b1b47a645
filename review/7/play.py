"""Workers carry orders out late, beside a report that is lost; weights are named twice."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from case import KEY, LIMITS, TROUBLE, Record, route, run_case
from fleet import Fleet, ask
from worker import Worker

_MODEL = "daka510000"
_WORKERS = 4
_DISTURBED = ("i-0", "i-1")
_ZONE = "zb"
"""The zone whose links to the others lose packets."""
_LATE_SECONDS = 10.0
_BETWEEN_VERSIONS_SECONDS = 5.0
_VERSION_MS = 10_000
_CALM_SECONDS = 1.5 * _VERSION_MS / 1000 + 2.0
_PAUSE_SECONDS = 0.15
_MOST_OLD = 1


async def _send_prompts(fleet: Fleet, record: Record, until: list[float]) -> None:
    count = 0
    while time.monotonic() < until[0]:
        count += 1
        name, machine = f"r{count:04d}", fleet.machines[count % len(fleet.machines)]
        fields = {
            "Host": "pule25.example",
            "X-Request-Id": name,
            "X-Model": _MODEL,
            "X-Token-Usage": "400,9",
            "X-Prompt-Prefix": f"aaaa0001:320,{count:08x}:80",
            "X-Deadline-Ms": "4000",
            "X-Credential": KEY,
        }
        answer = await ask(machine.front, "POST", "/puxa400/2f", fields, b"q" * 800)
        if answer.status != 200:
            record.write(f"{name} to {machine.name}: status {answer.status} {answer.error}")
        await asyncio.sleep(_PAUSE_SECONDS)


async def _play(fleet: Fleet, record: Record) -> bool:
    await fleet.open_store()
    for number in range(_WORKERS):
        worker = Worker(
            name=f"i-{number}",
            address=fleet.free_address(),
            slots=64,
            model=_MODEL,
            events=9,
            gap_seconds=0.01,
        )
        worker.load_seconds = 0.76
        await fleet.add_worker(worker, "huvo11a", _ZONE if worker.name in _DISTURBED else "za")
    engine = {
        "slots": 64,
        "kv-capacity": 41564,
        "kv-token-bytes": 18432,
        "link-mbps": 130000.0,
        "managed": True,
        "max-inflight": 12,
        "models": [{"name": _MODEL}],
    }
    workers = {"name": "huvo11a", "health-path": "/healthz", "max-conns": 360, "engine": engine}
    fleet.configure(
        {
            "routes": [route("puxa400", "huvo11a", "streaming")],
            "services": [workers],
            "limits": LIMITS,
            "tenants": [{"name": "jeye930", "api-keys": [KEY]}],
        }
    )
    for zone in ("za", "zb"):
        fleet.add_machine(zone)
    fleet.start_machines()
    await fleet.wait_ready()
    await asyncio.sleep(3.0)
    until = [float("inf")]
    sending = asyncio.ensure_future(_send_prompts(fleet, record, until))
    if TROUBLE:
        for name in _DISTURBED:
            fleet.workers[name].unanswered_reports = 1
            fleet.workers[name].late_orders = [_LATE_SECONDS]
    for version in (2, 3):
        fleet.store.put("op", f"version/{_MODEL}", {"model": _MODEL, "version": version})
        record.write(f"version {version} is named")
        await asyncio.sleep(_BETWEEN_VERSIONS_SECONDS)
    disturbed_until = time.monotonic() + (_LATE_SECONDS if TROUBLE else 0.0)
    until[0] = disturbed_until + _CALM_SECONDS
    await sending
    ended = time.monotonic()
    holders = {str(order.body["holder"]) for w in fleet.workers.values() for order in w.orders}
    near = [m.name for m in fleet.machines if m.zone == _ZONE]
    if any(holder.partition("@")[0] in near for holder in holders):
        raise RuntimeError(f"orders were given within the zone: {sorted(holders)}")
    for worker in fleet.workers.values():
        for order in worker.orders:
            body = {key: order.body.get(key) for key in ("version", "expected", "fence", "holder")}
            what = {0: "no answer"}.get(order.status, f"status {order.status}")
            record.write(f"{worker.name} order {body}: {what}", order.at)
        for at, version in worker.versions:
            record.write(f"{worker.name} has version {version}", at)
        refused = sum(not arrival.ran for arrival in worker.arrivals)
        record.write(f"{worker.name}: {len(worker.arrivals)} requests came, {refused} not run")
    old = [worker.name for worker in fleet.workers.values() if worker.version < 3]
    since = [at for worker in fleet.workers.values() for at, _ in worker.versions[-1:]]
    record.write(f"at the end, {ended - max(since):.1f} s after the last load, older: {old}")
    return len(old) <= max(_MOST_OLD, _WORKERS / 10)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, _play)
