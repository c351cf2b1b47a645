"""Entries that no target wrote: the list is followed, and no request is refused for them."""

from __future__ import annotations

import unittest

import msgspec
from fielddrift_node.serving.sharing import TargetCopy
from fielddrift_platform.wire import decode_instance
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask, eventually, get
from .test_target_lives import entry

LONG_LABEL = "e" * 64
DEEP = "[" * 65_000 + "]" * 65_000
ODD_ADDRESSES = (
    f"{LONG_LABEL}.example:80",
    f"{'e.' * 130}example:80",
    "\u0435ngine.example:80",
    "..example:80",
    "engine example:80",
    "10.0.0.1:\u0664\u0662",
    f"10.0.0.1:{'9' * 5000}",
    "10.0.0.1:65536",
)


class TestAddresses(unittest.TestCase):
    def test_a_host_name_that_no_look_up_accepts_is_no_target(self) -> None:
        """Failure: each request sent there failed by an uncaught `UnicodeError`."""
        for address in ODD_ADDRESSES:
            with self.subTest(address=address[:80]), self.assertRaises(ValueError):
                decode_instance("e", entry(address=address))
        self.assertEqual(decode_instance("e", entry(address="e-1.a:80")).address, "e-1.a:80")


class TestNumbers(unittest.TestCase):
    def test_a_number_that_no_message_between_nodes_can_hold_is_no_entry(self) -> None:
        """Failure: `OverflowError: can't serialize ints` for the view of all targets."""
        for number in (-1, 2**64, 10**400):
            for fields in ({"slots": number}, {"models": [{"name": "m", "version": number}]}):
                with self.subTest(fields=str(fields)[:40]), self.assertRaises(ValueError):
                    decode_instance("e", entry(**fields))

    def test_a_key_that_no_head_can_hold_is_no_target(self) -> None:
        """Failure: requests to such a target failed by an uncaught `UnicodeEncodeError`."""
        for key in ("\u0435", "e\r\nX-Hold: 1", "e ", "e" * 2000):
            with self.subTest(key=key[:20]), self.assertRaises(ValueError):
                decode_instance(key, entry())


class TestOddEntriesBesideLiveOnes(FleetCase):
    """Each odd entry beside a live target's, then in place of one; then a new target alone."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in ("w1", "w2"):
            await self.fleet.worker(Worker(name=name), "plain")
        self.node = await self.fleet.node()

    def _write(self, key: str, **fields: object) -> None:
        if "text" in fields:
            self.fleet.store.put_text("servers", key, str(fields["text"]))
            return
        fields = {"address": "127.0.0.1:9", "slots": 4, "zone": "a", "state": "ready"} | fields
        self.fleet.store.put("servers", key, {"service": "plain", **fields})

    async def _follows(self, name: str) -> None:
        registry = self.node.node._views.registry

        async def listed() -> bool:
            return any(each.target == name for each in registry.serving("plain"))

        await eventually(listed)

    async def _statuses(self, number: int) -> list[int]:
        return [(await ask(self.node, "/safe/x", request_id=f"r{n}")).status for n in range(number)]

    async def _play(self, odd: list[dict[str, object]]) -> None:
        for number, fields in enumerate(odd):
            self._write(f"odd-{number}", **fields)
        await self.fleet.worker(Worker(name="w3"), "plain")
        await self._follows("w3")
        self.assertEqual(await self._statuses(24), [200] * 24)
        self._write("w2", **odd[0])
        self._write("w3", **odd[-1])
        await self.fleet.worker(Worker(name="w4"), "plain")
        await self._follows("w4")
        self.assertEqual(await self._statuses(24), [200] * 24)
        await self.fleet.worker(Worker(name="w5"), "plain")
        for name in ("w1", "w4"):
            self.fleet.store.drop("servers", name)
            self.fleet.workers[name].close()
        await self._follows("w5")
        self.assertEqual(await self._statuses(8), [200] * 8)
        self.assertTrue(self.fleet.workers["w5"].ran)

    async def test_the_list_is_followed_beside_entries_that_no_decoder_takes(self) -> None:
        """Failure: nodes that ended, or stopped following the list, for another writer's entry."""
        texts = (DEEP, f'{{"x": {DEEP}}}', "9" * 5000, "NaN", '"\\ud800"', "[]", "", "\x00")
        await self._play([{"text": text} for text in texts])

    async def test_other_nodes_get_the_list_beside_numbers_too_large(self) -> None:
        """Failure: the answer with a node's list failed, as long as such an entry stood."""
        await self._play([{"slots": 10**400}, {"models": [{"name": "m", "version": 2**64}]}])
        path = "/views/targets?marks=era&software=all"
        answer = await get(self.node.settings.peer, path)
        self.assertEqual(answer.status, 200)
        listed = msgspec.msgpack.decode(answer.body, type=TargetCopy).entries
        self.assertEqual([each.target for each in listed], ["w5"])

    async def test_no_request_is_refused_for_a_host_name_that_cannot_be_one(self) -> None:
        """Failure: requests sent to such a target were refused, as long as its entry stood."""
        await self._play([{"address": address} for address in ODD_ADDRESSES])
