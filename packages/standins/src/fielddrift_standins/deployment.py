"""Play the users' deployment: its store, its store host, its workers, and the operator's writes.

What runs against it, nodes in the same process or as processes of their own, is
up to whoever uses it.
"""

from __future__ import annotations

import asyncio

from .fleet import HOST, free_port
from .rowstore import RowStore
from .worker import KvHost, Worker

__all__ = ["KEY", "Deployment", "route"]

KEY = "key-of-ana"


def route(name: str, service: str, kind: str, **extra: object) -> dict[str, object]:
    """Return a route as the operators write it."""
    return {
        "name": name,
        "host": "fleet.example",
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 3000,
        "target-latency-ms": 100,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "allow-anonymous": False,
        "sticky-sessions": False,
        "gap-aim-ms": 100,
        **extra,
    }


class Deployment:
    """The store, a store host and the workers."""

    def __init__(self) -> None:
        self.store = RowStore()
        self.store_address = f"{HOST}:{free_port()}"
        self.kv = KvHost()
        self.kv_address = f"{HOST}:{free_port()}"
        self.addresses: dict[str, str] = {}
        self.crashes: list[tuple[float, str]] = []
        """When workers crashed, on the loop's clock, and their names."""
        self._reviving: set[asyncio.Task[None]] = set()
        self.workers: dict[str, Worker] = {}
        self._centres: dict[str, str] = {}
        """The data centre of each worker."""
        self.memory = 40000
        """Tokens that an engine has memory for."""
        self.slots = 4
        """Requests that a target works on at once."""
        self.cold_rate = 0.0
        """Requests a second that a cold engine bears, 0 for any number."""
        self.cold_seconds = 3.0
        self.version = 1
        self.keys = [KEY]
        self.limits = {"max-header-bytes": 4096, "max-body-bytes": 65536}
        self.routes = [
            route("safe", "plain", "safe"),
            route("unsafe", "plain", "unsafe"),
            route("open", "plain", "safe", **{"allow-anonymous": True}),
            route("chat", "engines", "streaming", **{"allow-resume": True}),
            route("verdict", "engines", "streaming", **{"max-attempts": 1}),
        ]

    async def start(self) -> None:
        """Start the store and the store host, and write the first configuration."""
        host, _, port = self.store_address.rpartition(":")
        await self.store.start(host, int(port))
        host, _, port = self.kv_address.rpartition(":")
        await self.kv.start(host, int(port))
        self.configure()

    def configure(self) -> None:
        """Write the configuration under the next version."""
        self.version += 1
        engine: dict[str, object] = {
            "slots": 8,
            "kv-capacity": self.memory,
            "kv-token-bytes": 10,
            "link-mbps": 1000.0,
        }
        engine |= {"max-inflight": 4, "models": [{"name": "m"}]}
        kept = {"kv-store-addr": self.kv_address, "zone": "a", "kv-capacity": 100000}
        services = [
            {"name": "plain", "health-path": "/healthz", "max-conns": 50},
            {
                "name": "engines",
                "health-path": "/healthz",
                "max-conns": 50,
                "cold-per-s": self.cold_rate,
                "cold-start-s": self.cold_seconds,
                "engine": engine,
            },
            {"name": "kept", **kept, "link-mbps": 10000.0, "max-inflight": 4, "managed": True},
        ]
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": services,
            "limits": self.limits,
            "tenants": [{"name": "ana", "api-keys": self.keys, "priority": 1}],
        }
        self.store.put("op", "config", config)

    def evacuate(self, data_centre: str) -> None:
        """Ask that the targets of a data centre get nothing."""
        self.store.put("op", f"evacuate/{data_centre}", {})

    def take_back(self, data_centre: str) -> None:
        """Take an evacuation back."""
        self.store.drop("op", f"evacuate/{data_centre}")

    async def worker(self, worker: Worker, service: str, *, data_centre: str = "a") -> Worker:
        """Start a worker and write its entry."""
        address = f"{HOST}:{free_port()}"
        host, _, port = address.rpartition(":")
        await worker.start(host, int(port))
        self.addresses[worker.name] = address
        self.workers[worker.name] = worker
        self._centres[worker.name] = data_centre
        self.enter(worker.name, service)
        return worker

    def enter(
        self, name: str, service: str, state: str = "ready", *, cold_seconds: float = 0.0
    ) -> None:
        """Write a worker's entry; it says to stay cold for `cold_seconds` more."""
        worker = self.workers[name]
        models = [{"name": worker.model, "version": worker.version}] if service == "engines" else []
        entry = {"service": service, "address": self.addresses[name], "slots": self.slots}
        entry |= {"zone": self._centres[name], "cold-left-ms": cold_seconds * 1000}
        entry["version"] = worker.software
        if worker.started is not None:
            entry["born"] = worker.started
        self.store.put("servers", name, {**entry, "state": state, "models": models, "seq": 1})

    async def restart(self, worker: Worker, *, software: str) -> Worker:
        """End a worker and start it again at its address and under its id, as `software`.

        Its entry stays as it is until `enter` is called.
        """
        again = worker.restarted(software=software)
        worker.crash()
        host, _, port = self.addresses[worker.name].rpartition(":")
        await again.start(host, int(port))
        self.workers[worker.name] = again
        return again

    def revive(
        self, worker: Worker, service: str, *, entry_seconds: float, back_seconds: float
    ) -> None:
        """Let `worker` come back under a new id when it has crashed.

        Its entry goes `entry_seconds` after the crash, the new one comes after `back_seconds`.
        """

        def crashed(worker: Worker) -> None:
            self.crashes.append((asyncio.get_running_loop().time(), worker.name))
            task = asyncio.ensure_future(come_back(worker))
            self._reviving.add(task)
            task.add_done_callback(self._reviving.discard)

        async def come_back(worker: Worker) -> None:
            await asyncio.sleep(min(entry_seconds, back_seconds))
            if entry_seconds <= back_seconds:
                self.store.drop("servers", worker.name)
            await asyncio.sleep(abs(back_seconds - entry_seconds))
            if entry_seconds > back_seconds:
                self.store.drop("servers", worker.name)
            again = worker.successor()
            await self.worker(again, service)
            self.revive(again, service, entry_seconds=entry_seconds, back_seconds=back_seconds)

        worker.crashed = crashed

    def close(self) -> None:
        """Stop everything."""
        for task in self._reviving:
            task.cancel()
        self.store.close()
        self.kv.close()
        for worker in self.workers.values():
            worker.close()
