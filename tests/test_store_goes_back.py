"""A store that comes back from an older copy is followed from there on.

What was written since the copy is gone, and its versions are given out again.  A node that
had read further asked for what came after a version of before: it got nothing until the
versions had passed that one, and then only what came later.  Ten seconds after the return
it still refused a new route, still named a target that was gone and did not know a new one.
The header `Store-Era` of each answer, which rises with each return, was not read.
"""

from __future__ import annotations

from fielddrift_standins.deployment import route
from fielddrift_standins.rowstore import StoreCopy
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, RunningNode, ask, eventually

_SECONDS = 4.0
"""What operators and targets write after the return must be in force within twice 2 s."""


class StoreGoesBackCase(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in range(2):
            await self.fleet.worker(Worker(name=f"w{number}"), "plain")

    def _return(self, copy: StoreCopy, *, later: int) -> None:
        """Come back from `copy`; operators and targets write again, `later` rows before that."""
        store = self.fleet.store
        store.go_back(copy)
        for number in range(later):
            store.put("status", f"row-{number}", {})

    async def _known(self, node: RunningNode, names: set[str]) -> None:
        await eventually(
            lambda: {target.name for target in node.node.views.registry.all()} == names, _SECONDS
        )

    async def _served(self, node: RunningNode, path: str) -> None:
        async def answered() -> bool:
            return (await ask(node, path)).status == 200

        await eventually(answered, _SECONDS)

    async def _go_back(self, node: RunningNode, *, later: int) -> None:
        """Let the store lose a write each of the operator and a target, and go on after that."""
        copy = self.fleet.store.copy()
        for _ in range(5):
            self.fleet.configure()
        await self.fleet.worker(Worker(name="lost"), "plain")
        await self._known(node, {"w0", "w1", "lost"})
        self.fleet.store.down = True
        self._return(copy, later=later)
        self.fleet.workers["lost"].close()
        self.fleet.store.down = False
        self.fleet.routes.append(route("new", "plain", "safe"))
        self.fleet.configure()
        await self.fleet.worker(Worker(name="new"), "plain")


class TestReturn(StoreGoesBackCase):
    async def test_where_versions_are_behind_those_that_were_read(self) -> None:
        node = await self.fleet.node()
        await self._go_back(node, later=0)
        await self._served(node, "/new/x")
        await self._known(node, {"w0", "w1", "new"})

    async def test_where_versions_were_given_out_again(self) -> None:
        node = await self.fleet.node()
        await self._go_back(node, later=30)
        await self._served(node, "/new/x")
        await self._known(node, {"w0", "w1", "new"})
