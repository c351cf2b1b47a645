"""Nothing is sent again because the node's own event loop stood still.

Failure: a garbage collection or a host that did not run the node stopped its event loop for longer
than a first event may take. The response had arrived meanwhile, but the time-out ran out in the
same iteration in which it was read, and the request was sent to another target as well.
"""

from __future__ import annotations

import asyncio
import threading
import time

from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.worker import Worker

from .platform_fleet import WAIT_SECONDS, FleetCase, RunningNode, ask, eventually, prompt

_DELAY_SECONDS = 0.6
"""Three times what the routes allow a first event, and less than a pause of the node."""
_WORK_SECONDS = 0.1
_SERVICES = {"/chat/1": "engines", "/safe/1": "plain"}


class TestDelays(FleetCase):
    """The targets run in threads with event loops of their own, which go on meanwhile."""

    async def target(self, name: str, service: str) -> Worker:
        """Start a target in a thread, and write its entry."""
        worker = Worker(name=name, events=3, work_seconds=_WORK_SECONDS)
        if service == "plain":
            worker.events = 0
        port = free_port()
        loop = asyncio.new_event_loop()
        thread = threading.Thread(target=loop.run_forever)
        thread.start()
        self.addCleanup(thread.join, WAIT_SECONDS)
        self.addCleanup(loop.call_soon_threadsafe, loop.stop)
        self.addCleanup(loop.call_soon_threadsafe, worker.close)
        asyncio.run_coroutine_threadsafe(worker.start(HOST, port), loop).result(WAIT_SECONDS)
        self.fleet.store.put("servers", name, self.entry(name, service, port))
        return worker

    def entry(self, name: str, service: str, port: int) -> dict[str, object]:
        models = [{"name": "m", "version": 1}] if service == "engines" else []
        return {
            "service": service,
            "address": f"{HOST}:{port}",
            "slots": 4,
            "zone": "a",
            "cold-left-ms": 0,
            "state": "ready",
            "models": models,
            "seq": 1,
        }

    async def sends(self, node: RunningNode, path: str) -> list[str]:
        """Return the targets to which a request was sent that met a delay of the node."""
        targets = self.targets[path]
        extra = prompt() if path == "/chat/1" else {}
        # Connections are open from here on.
        for number in range(len(targets)):
            await ask(node, path, request_id=f"before{number}", **extra)
        asked = asyncio.ensure_future(ask(node, path, request_id="r1", **extra))

        def sent() -> list[str]:
            return [each.name for each in targets if any(r == "r1" for _, r in each.arrivals)]

        await eventually(sent)
        # Stops the event loop that the node runs in.
        time.sleep(_DELAY_SECONDS)
        self.assertEqual((await asked).status, 200)
        return sent()

    async def test_what_was_answered_meanwhile_is_not_sent_again(self) -> None:
        self.targets = {
            path: [await self.target(f"{service}-{number}", service) for number in range(2)]
            for path, service in _SERVICES.items()
        }
        node = await self.fleet.node()
        await eventually(lambda: len(node.node.views.registry) == 4)
        sends = {path: len(await self.sends(node, path)) for path in _SERVICES}
        self.assertEqual(sends, {"/chat/1": 1, "/safe/1": 1})
