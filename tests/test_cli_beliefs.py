"""The command line shows what real nodes believe, and which of them does not answer."""

from __future__ import annotations

import asyncio
import json

from click.testing import CliRunner, Result
from fielddrift_cli.main import main
from fielddrift_core.errors import ERROR_RESPONSES, ErrorKind
from fielddrift_standins.worker import Worker

from .platform_fleet import HOST, FleetCase, eventually, free_port


class BeliefsTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.fleet.worker(Worker(name="w1"), "plain")
        await self.fleet.worker(Worker(name="e1"), "engines")
        self.nodes = [await self.fleet.node(f"node-{n}") for n in (1, 2)]
        await eventually(lambda: all(len(n.node.views.registry) == 2 for n in self.nodes))

    async def _run(self, *arguments: str) -> Result:
        return await asyncio.to_thread(CliRunner().invoke, main, ["--beliefs", *arguments])

    async def test_all_nodes_stand_side_by_side_and_each_in_detail(self) -> None:
        options = [o for n in self.nodes for o in ("--node", n.settings.metrics)]
        result = await self._run(*options)
        self.assertEqual(result.exit_code, 0, result.output)
        for text in ("node-1 believes:", "node-2 believes:", "w1", "e1", self.fleet.kv_address):
            self.assertIn(text, result.output)

    async def test_json_is_a_line_a_node(self) -> None:
        result = await self._run("--json", "--node", self.nodes[0].settings.metrics)
        # The nodes of this process log to the same output.
        (line,) = (text for text in result.output.splitlines() if text.startswith("{"))
        self.assertEqual(json.loads(line)["beliefs"]["catalog"], self.fleet.version)

    async def test_a_node_that_does_not_answer_is_named_beside_those_that_do(self) -> None:
        gone = f"{HOST}:{free_port()}"
        result = await self._run("--node", gone, "--node", self.nodes[0].settings.metrics)
        self.assertEqual(result.exit_code, ERROR_RESPONSES[ErrorKind.NO_TARGET].exit_code)
        self.assertIn("node-1 believes:", result.output)
        self.assertIn(f"{gone}: ", result.output)

    async def test_another_page_is_no_answer(self) -> None:
        result = await self._run("--node", self.nodes[0].settings.ready)
        self.assertIn("status 404, expected 200", result.output)
