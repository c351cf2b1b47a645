"""The process behind a connection is found out in whatever order entries and processes come.

Failure: a report of an earlier process, or an invalid start time, marked the process that the entry
tells of as replaced.  It got no requests until it started again.
"""

from __future__ import annotations

import json
from unittest import mock

from fielddrift_core.target_registry import Instance
from fielddrift_node.web.messages import Headers, Reply, ResponseHead
from fielddrift_node.web.process_check import ProcessAnswer
from fielddrift_platform.targets import PlatformTargets

from .platform_fleet import ask, prompt
from .test_targets_restarted_in_place import RestartCase

_SERVED = 200


class TestAnswers(RestartCase):
    def _judge(self, body: bytes) -> ProcessAnswer:
        targets = PlatformTargets(client=mock.Mock())
        check = targets.process_check(Instance("t#5", "s", "h:1", "a"))
        return check.judge(Reply(ResponseHead(200, Headers(), len(body), True), body))

    async def test_only_a_later_start_is_that_of_a_process_which_replaced_the_expected_one(
        self,
    ) -> None:
        self.assertIs(self._judge(b'{"born": 6}'), ProcessAnswer.OTHER)
        self.assertIs(self._judge(b'{"born": 5.0}'), ProcessAnswer.EXPECTED)
        self.assertIs(self._judge(b'{"born": 4}'), ProcessAnswer.FORMER)

    async def test_an_invalid_start_tells_nothing(self) -> None:
        for born in (-1, 5.5, "5", None, [], 1e300):
            answer = self._judge(json.dumps({"born": born}).encode())
            expected = ProcessAnswer.OTHER if born == 1e300 else ProcessAnswer.UNIDENTIFIED
            self.assertIs(answer, expected, born)


class TestEntryBeforeProcess(RestartCase):
    async def test_a_process_whose_entry_came_before_it_serves(self) -> None:
        await self.start(nodes=2, engines=1, versions=("v1",))
        engine = self.engines[0]
        assert engine.started is not None
        born = engine.started
        engine.started = born + 1
        self.fleet.enter(engine.name, "engines")
        await self.known()
        engine.started = born
        for number, node in enumerate(self.nodes):
            answer = await ask(node, "/chat/1", request_id=f"r{number}", **prompt())
            self.assertNotEqual(answer.status, _SERVED)
        self.assertEqual(engine.arrivals, [])
        again = await self.restart(engine, "v2")
        self.assertEqual(again.started, born + 1)
        for number, node in enumerate(self.nodes):
            answer = await ask(node, "/chat/1", request_id=f"s{number}", **prompt())
            self.assertEqual(answer.status, _SERVED)
