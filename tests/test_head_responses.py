"""A response to HEAD ends behind its head, though the head describes a body.

Failure: the node waited for the body until the request's deadline, and would have taken the first
bytes of a late answer for it.
"""

from __future__ import annotations

from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask


class TestHeadResponses(FleetCase):
    async def test_a_response_to_head_does_not_wait_for_a_body(self) -> None:
        await self.fleet.worker(Worker(name="t0"), "plain")
        node = await self.fleet.node()
        answer = await ask(node, "/safe/x", method="HEAD", body=b"", deadline_ms=2000)
        self.assertEqual(answer.status, 200)
