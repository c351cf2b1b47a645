"""A run that is cut off inside its first event leaves no bytes to the next run.

A caller received an event that no run had sent.  A first engine's response was cut off inside
its first event, and the request was sent to a second engine.  The partial bytes stayed with the
request and were prepended to the second engine's first event.  The same happened when a run
that resumed a response was cut off inside its first event.

The log lines of one such response; the relayed event has the ids of both engines' events in one
line:

    send failed       partial_bytes=6  events=0  answer_begun=false  reason=cut
    run resumed       after=38  first="39id: 39"
    request answered  status=200  events=1  last="39id: 39"
"""

from __future__ import annotations

from fielddrift_standins.deployment import route
from fielddrift_standins.worker import Worker

from .platform_fleet import Answer, FleetCase, ask, eventually, prompt, request, send_raw

_EVENTS = 5
_ALL_EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, _EVENTS + 1))


class RunsBrokenOffTest(FleetCase):
    """Three engines that share one list of faults: each run takes the next fault."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        more = {"allow-resume": True, "max-attempts": 4}
        self.fleet.routes.append(route("long", "engines", "streaming", **more))
        self.tolerate_pauses(1.0)
        self.faults: list[str] = []
        self.workers = [Worker(name=f"e{n}", events=_EVENTS) for n in range(1, 4)]
        for worker in self.workers:
            worker.faults = self.faults
            await self.fleet.worker(worker, "engines")
        self.node = await self.fleet.node()
        await eventually(lambda: len(self.node.node.views.registry) == len(self.workers))

    async def _ask(self, path: str, *faults: str) -> Answer:
        """Return the response to a request whose first runs fail with `faults`."""
        before = self._count_runs()
        self.faults[:] = faults
        answer = await ask(self.node, path, **prompt())
        self.assertEqual(self._count_runs() - before, len(faults) + 1)
        return answer

    def _count_runs(self) -> int:
        return sum(len(worker.ran) for worker in self.workers)

    def _assert_complete(self, answer: Answer) -> None:
        self.assertEqual(answer.body, _ALL_EVENTS)
        self.assertEqual(answer.headers["whole"], "yes")

    async def test_a_fresh_run_cut_inside_its_first_event_leaves_nothing(self) -> None:
        self._assert_complete(await self._ask("/chat/x", "cut-first"))

    async def test_a_resuming_run_cut_inside_its_first_event_leaves_nothing(self) -> None:
        self._assert_complete(await self._ask("/long/x", "cut-event", "cut-first"))

    async def test_a_run_silent_inside_its_first_event_leaves_nothing(self) -> None:
        self._assert_complete(await self._ask("/chat/x", "silent-first"))

    async def test_a_resuming_run_silent_inside_its_first_event_leaves_nothing(self) -> None:
        self._assert_complete(await self._ask("/long/x", "cut-event", "silent-first"))

    async def test_events_without_ids_are_not_gone_on_with(self) -> None:
        """A run that starts again after them would repeat events to the caller."""
        for number, after in enumerate(("", "2"), 1):
            self.faults[:] = ["no-ids"]
            asked = request("/long/x", Last_Event_Id=after, **prompt())
            raw = await send_raw(self.node.settings.entry, asked)
            self.assertEqual(raw.count(b"data: token 1"), 1)
            self.assertNotIn(b"0\r\n\r\n", raw)
            self.assertEqual(self._count_runs(), number)
