"""The soak's checks see what they should, its links do harm, and a short seeded soak holds."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import tempfile
import unittest
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from unittest import mock

from click.testing import CliRunner
from fielddrift_standins.brittle import BrittleWorker
from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.worker import Ran, Worker

from soak.__main__ import main
from soak.callers import EVENTS, KINDS, TALK, Attempt, Kind, RestingCaller
from soak.endings import Endings, Ends
from soak.faults import FAULTS, SERIES, SILENCE
from soak.links import Harm, Link
from soak.machines import Machine
from soak.outside import (
    Arrival,
    Brittle,
    Cold,
    CutOff,
    End,
    Evacuation,
    Hold,
    IdleTime,
    Limit,
    RouteTimeout,
)
from soak.promises import CUT_OFF, ENDING, PROMISES, Evidence, Followed, Probe, Span, Stop, broken
from soak.scene import Outcome, Size, run
from soak.seeds import FAILED_ONCE

SEED = 7
ENDS_WORKERS = Size(nodes=3, callers=6, seconds=3.0, kinds=(ENDING,))
SHORT = Size(nodes=3, callers=8, seconds=6.0, kinds=tuple(FAULTS)[:30])
"""Without the kinds registered last: `SEED` would draw other faults with them."""
CUT_RESUMED = SHORT._replace(
    callers=16, seconds=8.0, kinds=("engines that resume break off inside their first event",)
)
HOSTS_CUT_OFF = Size(nodes=3, callers=8, seconds=2.0, kinds=(CUT_OFF,))
MIXED_VERSIONS = Size(
    nodes=3,
    callers=32,
    seconds=4.0,
    kinds=(
        "one killed again and again",
        "engines of two software versions serve while runs break off",
    ),
)
KILLED_AFTER_RELEASE = Size(
    nodes=3, callers=32, seconds=4.0, kinds=("all killed when a release of engines has ended",)
)
RELEASED_IN_PLACE = KILLED_AFTER_RELEASE._replace(
    kinds=(
        "engines start again in place as another version",
        "engines end while they send answers without a length",
    )
)
ODD_ENTRIES = KILLED_AFTER_RELEASE._replace(
    callers=24, seconds=6.0, kinds=("another writer leaves odd entries among those of workers",)
)
ODD_ENTRIES_SEED = 13
"""One of the entries has more slots than a float can hold."""
SILENT_SEED = 16
"""All engines fall silent while chats are under way."""
SILENT = Size(nodes=3, callers=24, seconds=8.0, kinds=(SILENCE,))
PLANNED = Size(nodes=3, callers=8, seconds=6.0, kinds=SERIES, resting=16)
ENDS = "each whole request ends with an answer, a refusal or its caller's leaving"
CUT_OFF_SERVED = "hosts that reach no worker serve through others"
NOT_FALLEN = "brittle workers are not brought to fall over"
SAFE, UNSAFE, CHAT, VERDICT = KINDS
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes a close send a reset."""


def attempt(kind: Kind, worker: str = "plain-1", **changes: object) -> Attempt:
    """Return an attempt that was answered as it should be."""
    made = Attempt(kind=kind, now=10.0)
    made.ended_at, made.status, made.whole, made.sent = 10.1, 200, True, True
    made.handed_at = made.sent_at
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


def count_ends(found: Evidence) -> Ends:
    """Return how the requests of `found` ended."""
    return Endings(evidence=found).count()


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
        self.assertEqual(self.seen(evidence(gap)), {order, ENDS})
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
        self.assertEqual(self.seen(stopped), {planned, ENDS})
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
                expected = {order} if whole else {order, ENDS}
                with self.subTest(name, route=kind.route, whole=whole):
                    self.assertEqual(self.seen(evidence(made)), expected)

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

    async def test_events_of_two_software_versions_are_seen(self) -> None:
        made = stream([1, 2, 3], range(4, EVENTS + 1), kind=TALK)
        found = evidence(made)
        second = Worker(name="engines-2")
        second.ran.append(ran(made, **{"last-event-id": "3"}))
        found.workers.append(second)
        self.assertEqual(broken(found), [])
        second.software = "v2"
        self.assertEqual(self.seen(found), {list(PROMISES)[1]})

    async def test_a_stream_that_is_taken_up_at_another_software_version_is_seen(self) -> None:
        cut = stream([1, 2, 3], kind=TALK, whole=False)
        again = cut.take_up(now=11.0)
        self.assertEqual((again.first, cut.last_event, cut.broke_off), (cut, 3, True))
        self.assertIn(f"Resumes: {cut.id}\r\n".encode(), again.head(random.Random(1)))
        again.status, again.whole, again.sent, again.ended_at = 200, True, True, 11.5
        again.answer = events(again.id, "engines-2", range(4, EVENTS + 1))
        again.seal = f"engines-2.{again.id}"
        found = evidence(cut)
        second = Worker(name="engines-2", version=1)
        second.ran.append(ran(again, 11.2, **{"last-event-id": "3"}))
        found.workers.append(second)
        found = found._replace(attempts=[cut, again])
        self.assertEqual(self.seen(found), {ENDS}, "the first attempt was cut")
        second.software = "v2"
        self.assertEqual(self.seen(found), {ENDS, list(PROMISES)[1]})
        second.software = "v1"
        again.answer = events(again.id, "engines-2", range(5, EVENTS + 1))
        second.ran[0] = ran(again, 11.2, **{"last-event-id": "4"})
        self.assertEqual(self.seen(found), {ENDS, list(PROMISES)[1]})

    async def test_a_cut_answer_of_whole_events_is_lost_and_nothing_else(self) -> None:
        for kind in (CHAT, TALK):
            cut = evidence(stream([1, 2], kind=kind, whole=False))
            self.assertEqual(self.seen(cut), {ENDS})
            broke_off = cut._replace(gone_at={"engines-1": 10.07})
            self.assertEqual(broken(broke_off), [])

    async def test_a_request_without_an_end_is_seen(self) -> None:
        planned = [Span("the configuration changes", 9.0, 12.0, True)]
        held = [Hold("plain-1", 9.9, 11.0)]
        for kind in (SAFE, UNSAFE, CHAT, VERDICT):
            for end in ("closed", "reset", "silent", "malformed"):
                made = attempt(kind, status=0, whole=False, answer=b"", end=end, ended_at=10.1)
                found = evidence(made)
                with self.subTest(route=kind.route, end=end):
                    self.assertEqual(self.seen(found), {ENDS})
                    self.assertIn(ENDS, self.seen(found._replace(spans=planned, holds=held)))
                    lost = count_ends(found).lost
                    self.assertEqual(lost, {f"{end} before an answer": 1})
        for kind in (CHAT, VERDICT, TALK):
            cut = stream([1, 2], kind=kind, whole=False, end="reset")
            with self.subTest(cut=kind.route):
                self.assertEqual(self.seen(evidence(cut)), {ENDS})
        # Nobody passed it on, but the close came late.
        late = evidence(attempt(SAFE, status=0, whole=False, end="closed", ended_at=10.25))
        late.workers[0].ran.clear()
        self.assertEqual(self.seen(late), {ENDS})
        # It was no close.
        for end in ("silent", "malformed"):
            unread = evidence(attempt(SAFE, status=0, whole=False, end=end, ended_at=10.15))
            unread.workers[0].ran.clear()
            self.assertEqual(self.seen(unread), {ENDS})
        # It came to a worker, which has not begun it, or is gone.
        soon = evidence(attempt(SAFE, status=0, whole=False, end="closed", ended_at=10.15))
        soon.workers[0].ran.clear()
        self.assertEqual(self.seen(soon), set())
        soon.workers[0].arrivals.append((10.1, soon.attempts[0].id))
        self.assertEqual(self.seen(soon), {ENDS})
        soon.workers[0].arrivals.clear()
        soon.arrivals.append(Arrival("plain-9", soon.attempts[0].id, 10.1))
        self.assertEqual(self.seen(soon), {ENDS})

    async def test_ends_that_the_rules_excuse_are_not_seen(self) -> None:
        def cut(ended_at: float, **changes: object) -> Evidence:
            made = stream([1], whole=False, end="reset", ended_at=ended_at, address="n1")
            return evidence(made, **changes)

        def outcome(found: Evidence) -> str:
            ends = count_ends(found)
            self.assertEqual(self.seen(found), {ENDS} if ends.lost else set())
            return next(iter(ends.excused), "")

        by_route = "its route's time-out"
        self.assertEqual(outcome(cut(12.4)), "")
        self.assertEqual(outcome(cut(12.5)), "its deadline")
        for changes, expected in (
            ([RouteTimeout(5.0, "chat", 1.5)], by_route),
            ([RouteTimeout(5.0, "chat", 1.6)], ""),
            ([RouteTimeout(5.0, "safe", 1.5)], ""),
            # The older one may stay in force for some time, the newer one holds at once.
            ([RouteTimeout(5.0, "chat", 1.5), RouteTimeout(8.1, "chat", 4.0)], by_route),
            ([RouteTimeout(5.0, "chat", 1.5), RouteTimeout(7.9, "chat", 4.0)], ""),
            ([RouteTimeout(11.0, "chat", 1.5)], by_route),
            ([RouteTimeout(11.6, "chat", 1.5)], ""),
        ):
            with self.subTest(changes=changes):
                self.assertEqual(outcome(cut(11.5, timeouts=changes)), expected)
        # Neither does planned work beside it make such a cut a loss; a cut before it is one.
        planned = [Span("time-outs of routes change", 9.0, 12.0, True)]
        for seconds, seen in ((1.5, set()), (1.6, {ENDS, "planned work costs nobody an answer"})):
            changed = cut(11.5, spans=planned, timeouts=[RouteTimeout(5.0, "chat", seconds)])
            self.assertEqual(self.seen(changed), seen)
        self.assertIn(ENDS, self.seen(cut(11.5, spans=planned)))
        unchanged = self.seen(cut(12.97, spans=planned))
        self.assertEqual(unchanged, {"planned work costs nobody an answer"})
        for stop, sent_in_time in ((Stop("n1", 7.5), True), (Stop("n1", 6.9), False)):
            found = cut(11.3, stops=[stop])
            self.assertEqual(bool(outcome(found)), sent_in_time)
        # Before the last sixth of the grace period, and at another node.
        self.assertEqual(outcome(cut(10.5, stops=[Stop("n1", 7.5)])), "")
        self.assertEqual(outcome(cut(11.3, stops=[Stop("n2", 7.5)])), "")
        self.assertEqual(outcome(cut(11.0, gone_at={"engines-1": 10.9})), "its target ended")
        self.assertEqual(outcome(cut(11.0, gone_at={"engines-1": 9.9})), "")
        self.assertEqual(outcome(cut(11.0, gone_at={"engines-2": 10.9})), "")
        killed = Span("one killed", 7.5, 8.1, False, True)
        self.assertEqual(outcome(cut(11.0, spans=[killed])), "unplanned trouble")
        self.assertEqual(outcome(cut(11.0, spans=[killed._replace(ended=6.9)])), "")
        late = attempt(SAFE, status=0, whole=False, end="silent", ended_at=13.5, late=True)
        self.assertEqual(outcome(evidence(late)), "")
        unread = evidence(late)
        unread.workers[0].ran.clear()
        self.assertEqual(outcome(unread), "sent on a closed connection")
        left = attempt(SAFE, status=0, whole=False, left=True)
        self.assertEqual(self.seen(evidence(left)), set())
        self.assertEqual(count_ends(evidence(left)).left, 1)
        unsent = attempt(SAFE, status=0, whole=False, sent=False, handed_at=None)
        self.assertEqual(count_ends(evidence(unsent)).sent, 0)

    async def test_a_silence_beyond_the_deadline_is_seen(self) -> None:
        for end in ("silent", "malformed"):
            silent = attempt(SAFE, status=0, whole=False, end=end, ended_at=13.5)
            found = evidence(silent, timeouts=[RouteTimeout(5.0, "safe", 1.5)])
            self.assertEqual(self.seen(found), {ENDS})

    async def test_kept_connections_closed_under_sound_workers_are_seen(self) -> None:
        crash = Span("a worker crashes", 9.0, 12.0, False, workers=True)
        for number, broke in ((3, False), (4, True)):
            lost = [
                attempt(SAFE, status=0, whole=False, end="reset", earlier=1, address="n1")
                for _ in range(number)
            ]
            found = evidence(*lost, spans=[crash])
            self.assertEqual(self.seen(found), {ENDS} if broke else set())
        for excused in (
            found._replace(spans=[crash, Span("one killed", 9.0, 9.1, False, True)]),
            found._replace(unsound=frozenset({"plain-1"})),
            found._replace(gone_at={"plain-1": 20.0}),
        ):
            self.assertEqual(self.seen(excused), set())
        lost[0].address = "n2"
        self.assertEqual(self.seen(found), set())
        lost[0].address, lost[0].earlier = "n1", 0
        self.assertEqual(self.seen(found), set())

    async def test_ends_are_counted_by_cause(self) -> None:
        refusal = attempt(SAFE, status=503, seal="", answer=b"")
        failure = attempt(SAFE, status=500, answer=b"failed")
        cut = stream([1], whole=False, end="reset")
        found = evidence(attempt(SAFE), refusal, failure, cut, attempt(SAFE, ended_at=None))
        ends = count_ends(found)
        self.assertEqual(
            str(ends),
            "sent whole 5: answered 2, refused 1, left 0, pending 1, "
            "lost 1 (reset inside an answer 1), excused 0; closed early at rest 0",
        )

    async def test_resting_connections_closed_early_are_counted(self) -> None:
        found = evidence(attempt(SAFE, found_closed=("n1", 8.0)))
        self.assertEqual(count_ends(found).closed_early, 1)
        for at, counted in ((3.9, 1), (4.1, 0), (9.0, 0), (10.1, 1)):
            stopped = found._replace(stops=[Stop("n1", at)])
            self.assertEqual(count_ends(stopped).closed_early, counted)
        killed = found._replace(spans=[Span("one killed", 6.0, 6.1, False, True)])
        self.assertEqual(count_ends(killed).closed_early, 0)
        for times, counted in (
            ([IdleTime(5.9, 1.9), IdleTime(6.0, 2.1)], 1),
            ([IdleTime(5.9, 1.9), IdleTime(6.1, 2.1)], 0),
            ([IdleTime(9.0, 2.0)], 0),
            ([IdleTime(9.0, 2.1)], 1),
        ):
            changed = found._replace(idle_times=times)
            self.assertEqual(count_ends(changed).closed_early, counted, times)

    async def test_what_was_held_up_is_not_late(self) -> None:
        left, late = attempt(SAFE), attempt(SAFE)
        found = evidence(left, late, leaving_at={"plain-1": 7.0})
        self.assertEqual(len(broken(found)), 2)
        self.assertEqual(broken(found._replace(holds=[Hold("plain-1", 9.0, 9.9)])), [])
        self.assertEqual(len(broken(found._replace(holds=[Hold("plain-1", 9.0, 9.7)]))), 2)
        self.assertEqual(len(broken(found._replace(holds=[Hold("plain-2", 9.0, 9.9)]))), 2)

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

    async def test_a_held_link_goes_on_with_everything(self) -> None:
        reader, writer = await self._open()
        host, port = self.link.address.rsplit(":", 1)
        holds = [asyncio.ensure_future(self.link.hold(seconds)) for seconds in (0.2, 0.4)]
        await asyncio.sleep(0)
        writer.write(b"two")
        new_reader, new_writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(new_writer.close)
        new_writer.write(b"six")
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                await reader.read(3)
        self.assertEqual(await reader.readexactly(3), b"two")
        self.assertEqual(await new_reader.readexactly(3), b"six")
        await asyncio.gather(*holds)

    async def test_handshakes_hang_while_a_link_is_held(self) -> None:
        host, port = self.link.address.rsplit(":", 1)
        hold = asyncio.ensure_future(self.link.hold(0.3, [HOST]))
        await asyncio.sleep(0)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                await asyncio.open_connection(host, int(port))
        await hold
        await self._open()

    async def test_paths_are_cut_while_a_held_link_has_a_connection_that_was_reset(self) -> None:
        _, writer = await self._open()
        hold = asyncio.ensure_future(self.link.hold(0.3))
        await asyncio.sleep(0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        self.link.cut([HOST])
        self.link.cut([])
        await hold
        await self._open()

    async def test_a_reset_is_seen_as_one(self) -> None:
        reader, _ = await self._open()
        self.link.reset()
        with self.assertRaises(ConnectionResetError):
            await reader.read(3)


class MachineTest(unittest.TestCase):
    def test_lines_of_a_log_that_grows_are_each_told_once(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            machine = Machine(
                name="n1",
                ip=HOST,
                zone="a",
                folder=Path(folder),
                store=Link(target=f"{HOST}:1"),
            )
            machine.log.write_text('{"event": "started"}\n{"event": "ans')
            self.assertEqual(machine.logged("started"), ['{"event": "started"}'])
            self.assertEqual(machine.strays(), ['{"event": "ans'])
            with machine.log.open("a") as log:
                log.write('wered"}\nTraceback\n{"event": "started"}\n')
            self.assertEqual(machine.strays(), ["Traceback"])
            self.assertEqual(len(machine.logged("started")), 2)
            self.assertEqual(len(machine.logged("started", "answered")), 3)


class RestingCallerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.idle_seconds = 1.0
        self.opened = 0
        self.closing: set[asyncio.StreamWriter] = set()
        address = f"{HOST}:{free_port()}"
        server = await asyncio.start_server(self._serve, HOST, int(address.split(":")[1]))
        self.addCleanup(server.close)
        self.attempts: list[Attempt] = []
        self.caller = RestingCaller(
            directories=lambda: [address] * 3,
            rng=random.Random(3),
            attempts=self.attempts,
            idle_seconds=lambda: self.idle_seconds,
        )
        self.address = address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        body = f'{{"addresses": ["{self.address}"]}}'.encode()
        if head.startswith(b"POST"):
            self.opened += 1
            self.closing.add(writer)
        try:
            while True:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                if head.startswith(b"GET"):
                    break
                await reader.readexactly(int(head.split(b"Content-Length: ")[1].split()[0]))
                head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError):
            # The test ends, or the caller has; asyncio's own streams log what passes through here.
            pass
        writer.close()

    async def _ask(self) -> Attempt:
        made = Attempt(kind=SAFE, now=asyncio.get_running_loop().time())
        while not made.whole:
            made.left = False
            await self.caller.ask(made)
        return made

    async def test_a_connection_is_taken_up_within_the_newest_idle_time(self) -> None:
        await self._ask()
        opened = self.opened
        await asyncio.sleep(0.6)
        made = await self._ask()
        self.assertEqual((self.opened, made.earlier), (opened, 1))
        self.assertGreater(made.rested, 0.5)
        self.idle_seconds = 0.3
        await asyncio.sleep(0.4)
        made = await self._ask()
        self.assertEqual((made.earlier, made.found_closed), (0, None))

    async def test_a_connection_that_was_closed_carries_nothing(self) -> None:
        await self._ask()
        for writer in self.closing:
            writer.close()
        await asyncio.sleep(0.1)
        made = await self._ask()
        self.assertEqual(made.earlier, 0)
        self.assertIsNotNone(made.found_closed)


class CommandTest(unittest.TestCase):
    def test_a_seed_draws_among_the_kinds_that_there_were_when_it_is_told_how_many(self) -> None:
        sizes = []

        def play(seed: int, size: Size) -> tuple[Outcome, str]:
            sizes.append(size)
            return Outcome(seed, [], 1, 1, Followed(0, 0), count_ends(evidence()), 0.0, [], []), ""

        with (
            mock.patch("soak.__main__._one", play),
            mock.patch("soak.__main__.ProcessPoolExecutor", ThreadPoolExecutor),
        ):
            fewer = CliRunner().invoke(main, ["--seed", "7", "--first-kinds", "26"])
            every = CliRunner().invoke(main, ["--seed", "7"])
        self.assertEqual([size.kinds for size in sizes], [tuple(FAULTS)[:26], tuple(FAULTS)])
        self.assertIn("seed 7, 26 kinds: held", fewer.output)
        self.assertIn(f"seed 7, {len(FAULTS)} kinds: held", every.output)


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

    def test_a_short_soak_of_two_software_versions_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(run(SEED, MIXED_VERSIONS, Path(folder)))
        self.assertEqual(outcome.broken, [], [*outcome.told, *outcome.faults])
        self.assertGreater(outcome.answered, 0)

    def test_a_short_soak_of_nodes_killed_after_releases_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(run(SEED, KILLED_AFTER_RELEASE, Path(folder)))
        self.assertEqual(outcome.broken, [], [*outcome.told, *outcome.faults])
        self.assertGreater(outcome.answered, 0)

    def test_a_short_soak_of_engines_that_start_again_or_end_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(run(SEED, RELEASED_IN_PLACE, Path(folder)))
        self.assertEqual(outcome.broken, [], [*outcome.told, *outcome.faults])
        self.assertGreater(outcome.answered, 0)

    def test_a_short_soak_of_odd_entries_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(run(ODD_ENTRIES_SEED, ODD_ENTRIES, Path(folder)))
        self.assertEqual(outcome.broken, [])
        self.assertGreater(outcome.answered, 0)

    def test_a_short_soak_of_hosts_cut_off_from_all_workers_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(run(SEED, HOSTS_CUT_OFF, Path(folder)))
        self.assertEqual(outcome.broken, [], outcome.faults)
        self.assertGreater(outcome.answered, 0)

    def test_a_short_soak_of_planned_work_and_silent_targets_loses_no_request(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(run(SEED, PLANNED, Path(folder)))
        self.assertEqual(outcome.broken, [], [*outcome.told, *outcome.faults])
        self.assertGreater(outcome.ends.answered, 0)

    def test_a_short_soak_of_targets_silent_for_a_second_loses_no_request(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(run(SILENT_SEED, SILENT, Path(folder)))
        self.assertEqual(outcome.broken, [], [*outcome.told, *outcome.faults])
        self.assertGreater(outcome.ends.answered, 0)

    def test_failed_seeds_have_a_cause_and_faults_of_both_kinds_are_known(self) -> None:
        self.assertTrue(all(failed.cause for failed in FAILED_ONCE))
        self.assertEqual({fault.planned for fault in FAULTS.values()}, {True, False})
