"""Each caller gets the whole answer to its own request, or sees that it was cut."""

from __future__ import annotations

import signal
import threading
import time

from fielddrift_standins.check import expected_text, is_whole, problem, text_of
from fielddrift_standins.fetch import Fetched
from fielddrift_standins.fleet import NodeProcess, wait_until

from .fleets import CUSTOMER, FleetTest, together


class StreamFaultsTest(FleetTest):
    engines = 3

    def _engines(self, **values: object) -> None:
        for number in range(self.engines):
            self.fleet.faults(f"engine-{number}", **values)

    def _stream(self, prompt: str, node: NodeProcess | None = None) -> Fetched:
        return self.fleet.complete(CUSTOMER, prompt, stream=True, node=node)

    def assert_whole(self, got: Fetched, prompt: str) -> None:
        self.assertTrue(is_whole(got), got.body)
        self.assert_right(got, prompt)

    def test_doubled_and_reordered_events_are_put_right(self) -> None:
        self._engines(double=True, reorder=True)
        self.addCleanup(self._engines, double=False, reorder=False)
        prompt = self.prompt(2)
        self.assert_whole(self._stream(prompt), prompt)
        self.assert_right(self.fleet.complete(CUSTOMER, prompt), prompt)

    def test_a_cut_run_is_resumed_on_other_targets(self) -> None:
        prompt = self.prompt(2)
        self._engines(cut_after=3)
        self.addCleanup(self._engines, cut_after=None)
        before = self.counter("retried.resume")
        self.assert_whole(self._stream(prompt), prompt)
        self.assertEqual(self.counter("retried.resume"), before + 2)

    def test_a_run_cut_inside_an_event_leaves_nothing_to_the_next(self) -> None:
        """The first run is cut inside its first event, and so are those that resume."""
        for events in (0, 3):
            prompt = self.prompt(2)
            self._engines(cut_inside=events)
            self.addCleanup(self._engines, cut_inside=None)
            got = self._stream(prompt)
            for event in got.body.split(b"\n\n"):
                self.assertLessEqual(event.count(b"id: "), 1, got.body)
            if events:
                self.assert_whole(got, prompt)
            else:
                self.assertFalse(is_whole(got), got.body)
                self.assertIn(b"event: error", got.body)

    def test_an_end_mark_too_early_never_passes_for_the_end(self) -> None:
        """An engine's end mark told of fewer events than it had sent.

        The run was given up for that, but the count of its end mark stayed with the
        answer and fitted the events handed on: the answer passed for whole after
        three of eight events, and nothing was resumed.
        """
        self._engines(early_end=3)
        self.addCleanup(self._engines, early_end=None)
        before = self.counter("retried.resume")
        prompt = self.prompt(2)
        self.assert_whole(self._stream(prompt), prompt)
        self.assertEqual(self.counter("retried.resume"), before + 2)
        self.assert_right(self.fleet.complete(CUSTOMER, prompt), prompt)

    def test_a_run_cut_after_its_deadline_is_resumed_all_the_same(self) -> None:
        """Found by reading: the deadline for the first token once ended the resuming."""
        prompt = self.prompt(1)
        self._engines(cut_after=120)
        self.addCleanup(self._engines, cut_after=None)
        got = self.fleet.complete(
            CUSTOMER, prompt, stream=True, max_tokens=150, headers={"Fielddrift-Deadline": "1"}
        )
        self.assertTrue(is_whole(got), got.body[-300:])
        self.assertEqual(text_of(got), expected_text(self.fleet, CUSTOMER, prompt, "v1", 150))

    def test_an_end_without_its_mark_never_passes_for_whole(self) -> None:
        self._engines(short=True)
        self.addCleanup(self._engines, short=False)
        prompt = self.prompt(2)
        got = self._stream(prompt)
        self.assertFalse(is_whole(got))
        self.assertIn(b"event: error", got.body)
        refused = self.fleet.complete(CUSTOMER, prompt)
        self.assertEqual((refused.status, problem(refused)["ran"]), (502, "unknown"))

    def test_an_answer_of_another_version_is_not_relayed(self) -> None:
        self._engines(wrong_version=True)
        self.addCleanup(self._engines, wrong_version=False)
        got = self.fleet.complete(CUSTOMER, self.prompt(2))
        self.assertEqual(got.status, 502)
        self.assertIn("another", problem(got)["detail"])

    def test_many_callers_at_once_get_each_their_own(self) -> None:
        prompts = [self.prompt(2) for _ in range(24)]
        asks = [
            lambda prompt=prompt, node=self.fleet.nodes[n % 2]: self._stream(prompt, node)
            for n, prompt in enumerate(prompts)
        ]
        for got, prompt in zip(together(asks), prompts, strict=True):
            self.assert_whole(got, prompt)


class FrozenEngineTest(FleetTest):
    def test_a_frozen_engines_stream_goes_on_elsewhere(self) -> None:
        """Found by reading: a stream that stalls, unlike one that breaks, was waited for."""
        prompt = self.prompt(1)
        first = self.fleet.complete(CUSTOMER, prompt).headers["fielddrift-target"]
        results: list[Fetched] = []

        def ask() -> None:
            results.append(self.fleet.complete(CUSTOMER, prompt, stream=True, max_tokens=200))

        thread = threading.Thread(target=ask)
        thread.start()
        time.sleep(0.8)
        frozen = self.fleet.processes[first]
        frozen.signal(signal.SIGSTOP)
        self.addCleanup(frozen.signal, signal.SIGCONT)
        thread.join()
        self.assertTrue(is_whole(results[0]), results[0].body[-300:])
        expected = expected_text(self.fleet, CUSTOMER, prompt, "v1", 200)
        self.assertEqual(text_of(results[0]), expected)


class OnlyEngineTest(FleetTest):
    engines = 1

    def test_a_slow_only_target_is_waited_for_until_the_deadline(self) -> None:
        """Found by the relay bench: 200 streams at one engine, 14% given up after 2 s."""
        self.fleet.faults("engine-0", hang=2.6)
        self.addCleanup(self.fleet.faults, "engine-0", hang=0)
        prompt = self.prompt(1)
        self.assert_right(self.fleet.complete(CUSTOMER, prompt), prompt)


class KilledTest(FleetTest):
    engines = 3

    def test_an_engine_killed_in_its_streams_loses_no_answer(self) -> None:
        prompts = [self.prompt(2) for _ in range(12)]
        results: list[Fetched | None] = [None] * len(prompts)

        def ask(number: int) -> None:
            results[number] = self.fleet.complete(
                CUSTOMER, prompts[number], stream=True, max_tokens=80
            )

        threads = [threading.Thread(target=ask, args=(n,)) for n in range(len(prompts))]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        self.fleet.processes["engine-0"].kill()
        for thread in threads:
            thread.join()
        for got, prompt in zip(results, prompts, strict=True):
            assert got is not None
            self.assertTrue(is_whole(got), got.body[-300:])
            expected = expected_text(self.fleet, CUSTOMER, prompt, "v1", 80)
            self.assertEqual(text_of(got), expected)

    def test_a_killed_nodes_stream_is_not_marked_whole(self) -> None:
        node = self.fleet.nodes[1]
        results: list[Fetched] = []

        def ask() -> None:
            results.append(
                self.fleet.complete(
                    CUSTOMER, self.prompt(1), stream=True, max_tokens=300, node=node
                )
            )

        thread = threading.Thread(target=ask)
        thread.start()
        wait_until(lambda: self.counter("blocks.recomputed", node) > 0, "the run has started")
        node.signal(signal.SIGKILL)
        thread.join()
        self.assertFalse(is_whole(results[0]))
