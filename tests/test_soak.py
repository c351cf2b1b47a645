"""The soak's checks see what they should, its links do harm, and a short seeded soak holds."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from collections.abc import Iterable
from pathlib import Path

from fielddrift_standins.brittle import BrittleWorker
from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.worker import Ran, Worker

from soak.callers import EVENTS, KINDS, TALK, Attempt, Kind
from soak.faults import FAULTS
from soak.links import Harm, Link
from soak.outside import Arrival, Brittle, Cold, CutOff, End, Evacuation, Limit
from soak.promises import CUT_OFF, ENDING, PROMISES, Evidence, Followed, Probe, Span, broken
from soak.scene import Size, run
from soak.seeds import FAILED_ONCE

SEED = 7
ENDS_WORKERS = Size(nodes=3, callers=6, seconds=3.0, kinds=(ENDING,))
SHORT = Size(nodes=3, callers=8, seconds=6.0, kinds=tuple(FAULTS)[:30])
"""Without the kinds registered last: `SEED` would draw other faults with them."""
CUT_RESUMED = SHORT._replace(
    callers=16, seconds=8.0, kinds=("engines that resume break off inside their first event",)
)
HOSTS_CUT_OFF = Size(nodes=3, callers=8, seconds=2.0, kinds=(CUT_OFF,))
CUT_OFF_SERVED = "hosts that reach no worker serve through others"
NOT_FALLEN = "brittle workers are not brought to fall over"
SAFE, UNSAFE, CHAT, VERDICT = KINDS


def attempt(kind: Kind, worker: str = "plain-1", **changes: object) -> Attempt:
    """Return an attempt that was answered as it should be."""
    made = Attempt(kind=kind, now=10.0)
    made.ended_at, made.status, made.whole, made.sent = 10.1, 200, True, True
    made.seal = f"{worker}.{made.id}"
    made.answer = f"answer of {worker}".encode()
    if kind.streams:
        made.answer = events(made.id, worker, range(1, EVENTS + 1))
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def events(request_id: str, worker: str, numbers: Iterable[int]) -> bytes:
    """Return the bytes of events."""
    signed = Worker(name=worker)
    signed.signed = True
    return b"".join(signed.event(number, request_id) for number in numbers)


def stream(*runs: Iterable[int], kind: Kind = CHAT, **changes: object) -> Attempt:
    """Return an attempt whose events were made by `engines-1` and `engines-2` in turn."""
    made = attempt(kind, "engines-1", **changes)
    made.answer = b""
    for turn, numbers in enumerate(runs):
        made.answer += events(made.id, f"engines-{turn % 2 + 1}", numbers)
    return made


def ran(made: Attempt, at: float = 10.05, **changes: str) -> Ran:
    """Return the run of an attempt."""
    headers = {"x-tenant": "ana", **changes}
    return Ran(made.id, headers, made.body, made.path, at, 1)


def evidence(*attempts: Attempt, **changes: object) -> Evidence:
    """Return evidence in which each attempt ran once where its kind runs."""
    plain, engine = Worker(name="plain-1"), Worker(name="engines-1", version=1)
    for made in attempts:
        (engine if made.kind.streams else plain).ran.append(ran(made))
    return Evidence(
        list(attempts), [plain, engine], [], [], [], {}, {1: 0.0}, [], None, []
    )._replace(
        **changes  # type: ignore[arg-type]
    )


class PromisesTest(unittest.IsolatedAsyncioTestCase):
    def seen(self, found: Evidence) -> set[str]:
        """Return the promises that are broken."""
        return {line.partition(":")[0] for line in broken(found)}

    async def test_what_is_right_breaks_nothing(self) -> None:
        found = evidence(attempt(SAFE), attempt(UNSAFE), attempt(CHAT, "engines-1"))
        self.assertEqual(broken(found), [])

    async def test_each_check_sees_its_fault(self) -> None:
        own, order, once, refused, asked, allowed, planned, *later = PROMISES
        force, left, one, outdated, new, again, *_, ours = later
        foreign = evidence(attempt(SAFE, seal="plain-1.other"))
        self.assertEqual(self.seen(foreign), {own})
        self.assertEqual(self.seen(evidence(attempt(SAFE, answer=b"half"))), {own})
        gap = stream([1, 3], whole=False)
        self.assertEqual(self.seen(evidence(gap)), {order})
        short = stream(range(1, EVENTS))
        self.assertEqual(self.seen(evidence(short)), {order})
        twice = evidence(attempt(UNSAFE))
        twice.workers[0].ran.append(ran(twice.attempts[0]))
        self.assertEqual(self.seen(twice), {once})
        lie = attempt(VERDICT, "engines-1", status=503, seal="", answer=b"")
        self.assertEqual(self.seen(evidence(lie)), {refused})
        smuggled = evidence(attempt(SAFE))
        smuggled.workers[0].ran.append(Ran("x9", {}, b"", "/", 1.0))
        self.assertEqual(self.seen(smuggled), {asked})
        forged = evidence(attempt(SAFE))
        forged.workers[0].ran[0] = ran(forged.attempts[0], **{"x-tenant": "forged"})
        self.assertEqual(self.seen(forged), {asked})
        denied = evidence(attempt(SAFE, status=404, seal=""))
        self.assertEqual(self.seen(denied), {allowed})
        cut = evidence(attempt(SAFE, status=0, whole=False, ended_at=11.0))
        stopped = cut._replace(spans=[Span("all stopped in turn", 9.0, 12.0, True)])
        self.assertEqual(self.seen(stopped), {planned})
        troubled = [*stopped.spans, Span("one killed", 9.5, 9.8, False)]
        self.assertEqual(self.seen(stopped._replace(spans=troubled)), set())
        late = evidence(probes=[Probe(1.0, "n1", 200, 404, "/extra-1/")])
        self.assertEqual(self.seen(late), {force})
        leaving = evidence(attempt(SAFE), leaving_at={"plain-1": 5.0})
        self.assertEqual(self.seen(leaving), {left})
        gone = [Arrival("plain-1", "r1", 30.0)]
        staying = evidence(leaving_at={"plain-1": 5.0}, arrivals=gone)
        self.assertEqual(self.seen(staying), {left})
        cut_off = Span("one cut off from the store", 4.0, 24.0, False)
        self.assertEqual(self.seen(staying._replace(spans=[cut_off])), {left})
        cut_off = cut_off._replace(ended=25.0)
        self.assertEqual(self.seen(staying._replace(spans=[cut_off])), set())
        held = evidence()
        held.workers[1].orders += [{"fence": 4, "holder": "a"}, {"fence": 4, "holder": "b"}]
        self.assertEqual(self.seen(held), {one})
        held.workers[1].orders[:] = [{"fence": 4, "holder": "a"}, {"fence": 3, "holder": "b"}]
        self.assertEqual(self.seen(held), {one})
        since = {1: 0.0, 2: 3.0, 3: 9.0}
        behind = evidence(attempt(CHAT, "engines-1"), named_at=since)
        self.assertEqual(self.seen(behind), {outdated})
        killed = Span("all killed", 5.0, 6.9, False, True)
        self.assertEqual(self.seen(behind._replace(spans=[killed])), {outdated})
        just_killed = killed._replace(ended=7.1)
        self.assertEqual(self.seen(behind._replace(spans=[just_killed])), set())
        down = Span("store refuses", 0.5, 1.0, False)
        self.assertEqual(self.seen(behind._replace(spans=[down])), set())
        old = evidence(attempt(SAFE), named_at={1: 0.0, 2: 9.0}, calm_since=9.0)
        self.assertEqual(self.seen(old), {new})
        unserved = evidence(attempt(SAFE, status=502, seal=""), calm_since=9.0)
        self.assertEqual(self.seen(unserved), {again})
        self.assertEqual(self.seen(evidence(faults_of_ours=["n1 ended by itself"])), {ours})

    async def test_work_at_workers_that_spoke_for_themselves_is_seen(self) -> None:
        limited, left, paused = list(PROMISES)[-5:-2]
        made = attempt(SAFE)
        made.address = "node-1"
        found = evidence(made, limits=[Limit("plain-1", 1.0, 2.0, 60.0)])
        worker = found.workers[0]
        worker.arrivals = [(10.0 + number / 10, "r") for number in range(11)]
        self.assertEqual(self.seen(found), set())
        worker.arrivals.append((11.5, "r"))
        self.assertEqual(self.seen(found), {limited})
        # What comes within half a second of the limit's naming is on its way.
        named = [Limit("plain-1", 1.0, 9.9, 60.0)]
        self.assertEqual(self.seen(found._replace(limits=named)), set())
        worker.said_leaving_at = 9.0
        self.assertEqual(self.seen(found._replace(limits=[])), {left})
        worker.said_leaving_at = float("inf")
        worker.turned_away = [(9.0, made.id, 3.0)]
        self.assertEqual(self.seen(found._replace(limits=[])), set())
        worker.arrivals = [(at, made.id) for at in (9.2, 9.6, 10.0, 12.5)]
        self.assertEqual(self.seen(found._replace(limits=[])), set())
        worker.arrivals.append((11.9, made.id))
        self.assertEqual(self.seen(found._replace(limits=[])), {paused})

    async def test_hosts_cut_off_that_serve_less_are_seen(self) -> None:
        cut = CutOff(frozenset({"n1"}), 5.0, 20.0)
        made = [attempt(SAFE, address="n2") for _ in range(30)]
        for lost, broke in ((10, False), (12, True)):
            there = [attempt(SAFE, address="n1") for _ in range(30 - lost)]
            there += [attempt(SAFE, address="n1", status=503, seal="") for _ in range(lost)]
            found = evidence(*made, *there[:30], cuts=[cut])
            found.workers[0].ran = [ran(a) for a in [*made, *there] if a.status == 200]
            self.assertEqual(self.seen(found), {CUT_OFF_SERVED} if broke else set())
        # Within contact-ms of its begin a cut need not be known.
        self.assertEqual(self.seen(found._replace(cuts=[cut._replace(began=8.0)])), set())
        killed = [Span("one killed", 9.0, 9.5, False, True)]
        self.assertEqual(self.seen(found._replace(spans=killed)), set())

    async def test_falls_of_brittle_workers_are_seen(self) -> None:
        for falls, broke in ((2, False), (3, True)):
            found = evidence(brittle=[Brittle("plain", 5.0, 20.0)])
            worker = BrittleWorker(name="plain-2", room=1)
            worker.falls = [6.0 + number for number in range(falls)]
            found.workers.append(worker)
            self.assertEqual(self.seen(found), {NOT_FALLEN} if broke else set())

    async def test_work_at_evacuated_and_cold_workers_is_seen(self) -> None:
        evacuated, cold = list(PROMISES)[-7:-5]
        found = evidence(
            attempt(SAFE),
            evacuations=[Evacuation("b", 4.0, 20.0)],
            centres={"plain-1": "b"},
        )
        self.assertEqual(self.seen(found), {evacuated})
        for span, came in (
            (Evacuation("b", 5.1, 20.0), "soon"),
            (Evacuation("b", 1.0, 9.0), "back"),
        ):
            with self.subTest(came=came):
                self.assertEqual(self.seen(found._replace(evacuations=[span])), set())
        for number, broke in ((8, False), (9, True)):
            made = [attempt(CHAT, "engines-1") for _ in range(number)]
            found = evidence(*made, cold=[Cold("engines-1", 12.0)])
            self.assertEqual(cold in self.seen(found), broke)

    async def test_runs_of_a_request_that_has_ended_three_workers_are_seen(self) -> None:
        fatal = attempt(SAFE)
        ends = [End(fatal.body, f"plain-{n}", 10.0 + n) for n in range(3)]
        for late, broke in ((3, False), (4, True)):
            found = evidence(ends=ends)
            found.workers[0].ran += [ran(fatal, at=16.0 + n) for n in range(late)]
            self.assertEqual(list(PROMISES)[-2] in self.seen(found), broke)

    async def test_an_event_that_no_run_made_is_seen(self) -> None:
        order = list(PROMISES)[1]
        for kind, whole in ((CHAT, True), (CHAT, False), (TALK, True), (TALK, False)):
            made = attempt(kind, "engines-1", whole=whole)
            one, rest = events(made.id, "engines-1", [1]), made.answer
            wrong = {
                "joined": one[:15] + rest,
                "joined within the lines' ends": one[:-1] + rest,
                "joined behind whole ones": rest.replace(b"id: 3\n", b"id: 3\ndata: tokid: 3\n"),
                "a part at the end": rest + one[:15],
                "changed": rest.replace(b"token 5 ", b"token 6 "),
                "doubled": one + rest,
                "missing": rest.replace(one, b""),
                "out of order": events(made.id, "engines-1", [2, 1]),
                "of another request": rest.replace(one, events("r0", "engines-1", [1])),
                "made where it did not run": rest.replace(one, events(made.id, "engines-9", [1])),
            }
            for name, answer in wrong.items():
                made.answer = answer
                with self.subTest(name, route=kind.route, whole=whole):
                    self.assertEqual(self.seen(evidence(made)), {order})

    async def test_runs_must_go_on_behind_the_last_event(self) -> None:
        order = list(PROMISES)[1]
        rest = range(4, EVENTS + 1)
        for kind, runs, after, expected in (
            (CHAT, ([1, 2, 3], rest), "3", set()),
            (TALK, ([1, 2, 3], rest), "3", set()),
            (TALK, ([], range(1, EVENTS + 1)), "", set()),
            (CHAT, ([1, 2, 3], rest), "2", {order}),
            (TALK, ([1, 2, 3], rest), "", {order}),
            (TALK, ([1, 2, 3], [4], range(5, EVENTS + 1)), "3", {order}),
        ):
            made = stream(*runs, kind=kind)
            found = evidence(made)
            second = Worker(name="engines-2")
            second.ran.append(ran(made, **{"last-event-id": after}))
            found.workers.append(second)
            with self.subTest(route=kind.route, runs=runs, after=after):
                self.assertEqual(self.seen(found), expected)

    async def test_a_cut_answer_of_whole_events_breaks_nothing(self) -> None:
        for kind in (CHAT, TALK):
            self.assertEqual(broken(evidence(stream([1, 2], kind=kind, whole=False))), [])

    async def test_runs_that_were_followed_are_counted(self) -> None:
        fresh, resumed, last = attempt(CHAT), attempt(TALK), attempt(TALK)
        found = evidence(fresh, resumed, last)
        engine = found.workers[1]
        engine.begun += [ran(fresh, 10.01), ran(resumed, 10.02, **{"last-event-id": "2"})]
        engine.begun.append(ran(last, 10.06))
        self.assertEqual(found.followed(), Followed(fresh=1, resumed=1))


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        address = f"{HOST}:{free_port()}"
        self.server = await asyncio.start_server(self._echo, HOST, int(address.split(":")[1]))
        self.link = await Link(target=address).start()
        self.addCleanup(self.link.close)
        self.addCleanup(self.server.close)

    async def _echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(100):
                writer.write(data)
        except asyncio.CancelledError:
            # The test ends; asyncio's own streams log what passes through here.
            pass
        writer.close()

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(HOST, int(self.link.address.split(":")[1]))
        self.addCleanup(writer.close)
        writer.write(b"one")
        self.assertEqual(await reader.readexactly(3), b"one")
        return reader, writer

    async def test_a_silenced_connection_stays_silent_and_a_new_one_works(self) -> None:
        reader, writer = await self._open()
        self.link.silence()
        writer.write(b"two")
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(3)
        await self._open()

    async def test_bytes_are_lost_one_way_while_it_is_harmed(self) -> None:
        reader, writer = await self._open()
        self.link.harm = Harm(lose_to_client=True)
        writer.write(b"two")
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(3)
        self.link.harm = Harm()
        writer.write(b"six")
        self.assertEqual(await reader.readexactly(3), b"six")

    async def test_a_reset_is_seen_as_one(self) -> None:
        reader, _ = await self._open()
        self.link.reset()
        with self.assertRaises(ConnectionResetError):
            await reader.read(3)


class ShortSoakTest(unittest.TestCase):
    def test_a_short_seeded_soak_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(run(SEED, SHORT, Path(folder)))
        self.assertEqual(outcome.broken, [], outcome.faults)
        self.assertGreater(outcome.answered, 0)

    def test_a_short_soak_of_runs_cut_in_their_first_event_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(run(SEED, CUT_RESUMED, Path(folder)))
        self.assertEqual(outcome.broken, [], outcome.faults)
        self.assertGreater(sum(outcome.followed), 0)

    def test_a_short_soak_of_a_request_that_ends_workers_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(run(SEED, ENDS_WORKERS, Path(folder)))
        self.assertEqual(outcome.broken, [], outcome.faults)
        self.assertGreater(outcome.answered, 0)

    def test_a_short_soak_of_hosts_cut_off_from_all_workers_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(run(SEED, HOSTS_CUT_OFF, Path(folder)))
        self.assertEqual(outcome.broken, [], outcome.faults)
        self.assertGreater(outcome.answered, 0)

    def test_failed_seeds_have_a_cause_and_faults_of_both_kinds_are_known(self) -> None:
        self.assertTrue(all(failed.cause for failed in FAILED_ONCE))
        self.assertEqual({fault.planned for fault in FAULTS.values()}, {True, False})
