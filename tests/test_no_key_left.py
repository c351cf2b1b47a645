"""A request needs a key where the configuration has customers, however many keys are left.

Failure: a key was asked for only while some customer held one, so that requests with dropped keys,
with unknown ones and without any ran once the last key was taken away.
"""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import msgspec
from fielddrift_core.catalog import Catalog
from fielddrift_node.serving.sharing import OperatorCopy, PeerClient, PeerHandler
from fielddrift_node.serving.views import Views
from fielddrift_node.web.messages import Headers, Reply, RequestHead
from fielddrift_node.web.server import Request
from fielddrift_platform.wire import decode_catalog
from fielddrift_standins.worker import Worker

from .platform_fleet import KEY, FleetCase, ask, eventually

_OTHER_KEY = "zzzzzzzzzzzz"


class TestNode(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.worker = await self.fleet.worker(Worker(name="w"), "plain")
        self.node = await self.fleet.node()

    async def configure(self, tenants: object) -> None:
        """Write a configuration with `tenants` in place of the usual ones; None leaves them out."""
        put = self.fleet.store.put

        def change(table: str, key: str, value: Any) -> int:
            value = dict(value)
            del value["tenants"]
            if tenants is not None:
                value["tenants"] = tenants
            return put(table, key, value)

        with mock.patch.object(self.fleet.store, "put", change):
            self.fleet.configure()
        await eventually(lambda: self.node.node.views.catalog.version == self.fleet.version)

    async def statuses(self) -> list[int]:
        """Return the statuses for a dropped key, an unknown one, and none."""
        return [
            (await ask(self.node, "/safe/x", X_Credential=key)).status
            for key in (KEY, _OTHER_KEY, "")
        ]

    async def test_requests_are_refused_when_the_last_key_was_taken_away(self) -> None:
        await self.configure([{"name": "ana", "api-keys": []}])
        ran = len(self.worker.ran)
        self.assertEqual(await self.statuses(), [401] * 3)
        self.assertEqual(len(self.worker.ran), ran)

    async def test_requests_are_refused_when_the_last_customer_was_taken_away(self) -> None:
        await self.configure([])
        self.assertEqual(await self.statuses(), [401] * 3)

    async def test_requests_are_refused_by_a_node_that_starts_without_any_key(self) -> None:
        await self.configure([{"name": "ana"}, {"name": "ben", "api-keys": []}])
        await self.node.stop()
        self.node = await self.fleet.node("node-2")
        self.assertEqual(await self.statuses(), [401] * 3)

    async def test_requests_are_refused_by_a_node_that_copies_the_configuration(self) -> None:
        other = await self.fleet.node("node-2")
        await self.configure([{"name": "ana", "api-keys": []}])
        views = other.node.views
        await eventually(lambda: views.catalog.version == self.fleet.version)
        self.node = other
        self.assertEqual(await self.statuses(), [401] * 3)

    async def test_a_key_that_is_given_again_is_served(self) -> None:
        await self.configure([{"name": "ana", "api-keys": []}])
        await self.configure([{"name": "ana", "api-keys": [KEY]}])
        self.assertEqual(await self.statuses(), [200, 401, 401])

    async def test_anonymous_routes_need_no_key(self) -> None:
        await self.configure([{"name": "ana", "api-keys": []}])
        answer = await ask(self.node, "/open/x", X_Credential="")
        self.assertEqual(answer.status, 200)

    async def test_no_key_is_needed_where_the_configuration_has_no_customers(self) -> None:
        await self.configure(None)
        self.assertEqual(await self.statuses(), [200] * 3)


class TestDecoding(unittest.TestCase):
    def decode(self, **fields: object) -> Catalog:
        return decode_catalog(
            msgspec.json.encode({"version": 1, "routes": [], "services": [], **fields})
        )

    def test_the_form_of_the_configuration_decides_not_the_number_of_keys(self) -> None:
        self.assertFalse(self.decode().needs_key)
        self.assertTrue(self.decode(tenants=[]).needs_key)
        self.assertTrue(self.decode(tenants=[{"name": "a"}]).needs_key)
        self.assertTrue(self.decode(tenants=[{"name": "a", "api-keys": ["k"]}]).needs_key)


class TestPreviousRelease(unittest.IsolatedAsyncioTestCase):
    """Nodes of the previous release do not tell whether a key is needed."""

    async def copy(self, body: bytes) -> OperatorCopy:
        client = mock.Mock()
        reply = Reply(mock.Mock(status=200, headers=Headers()), body)
        client.call = mock.AsyncMock(return_value=reply)
        return await PeerClient(client=client).operators(mock.Mock(peer="h:1", name="n"))

    async def test_a_copy_for_the_previous_release_has_the_fields_that_it_knows(self) -> None:
        catalog = TestDecoding().decode(tenants=[{"name": "a"}])
        views = Views()
        views.catalog = catalog
        body = await _answer_of(views, b"/views/operators?marks=era&evacuations=all")
        former = msgspec.msgpack.decode(body)[0]
        self.assertEqual(len(former), 8)
        # It asks for a key where there is any customer.
        self.assertTrue(former[3])

    async def test_a_copy_of_the_previous_release_without_customers_is_not_known(self) -> None:
        """Failure if a missing answer counts as no."""
        views = Views()
        views.catalog = TestDecoding().decode()
        body = await _answer_of(views, b"/views/operators?marks=era&evacuations=all")
        copied = (await self.copy(body)).catalog
        assert copied is not None
        self.assertIsNone(copied.needs_key)

    async def test_a_copy_of_this_release_tells_it(self) -> None:
        for fields, needed in ({"tenants": []}, True), ({}, False):
            views = Views()
            views.catalog = TestDecoding().decode(**fields)
            path = b"/views/operators?marks=era&evacuations=all&keys=all"
            copied = (await self.copy(await _answer_of(views, path))).catalog
            assert copied is not None
            self.assertIs(copied.needs_key, needed)


async def _answer_of(views: Views, path: bytes) -> bytes:
    """Return the body of a node's response to a request of another node for `path`."""
    responder = mock.Mock()
    request = Request(RequestHead(b"GET", path, Headers(), True), b"", 0.0)
    await PeerHandler(views=views).handle(request, responder)
    (_, _, body), _ = responder.send.call_args
    return body
