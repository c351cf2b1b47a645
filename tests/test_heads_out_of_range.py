"""Headers of targets and of the platform's store with values that no number can be."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from fielddrift_core.target_notices import TargetNotice
from fielddrift_core.target_registry import Instance
from fielddrift_node.serving.left_out import LeftOutValues
from fielddrift_node.serving.ports import OutgoingRequest, ParsedRequest, RemoteCallError
from fielddrift_node.web.client import Reply
from fielddrift_node.web.messages import Headers, RequestHead, ResponseHead
from fielddrift_node.web.server import Request
from fielddrift_platform.store import PlatformStore
from fielddrift_platform.targets import PlatformTargets

ODD_NUMBERS = (
    b"\xb2",
    b"9" * 400,
    b"9" * 5000,
    b"-1",
    b"1_0",
    b"inf",
    b"nan",
    b"1e999",
    b"0x10",
    "\u0664".encode(),
)
_HEAD = RequestHead(b"GET", b"/x", Headers([(b"X-Request-Id", b"r")]), True)
_SEND = OutgoingRequest(
    ParsedRequest("r", "h", "/x", "", None, None, "", Request(_HEAD, b"", 0.0)),
    Instance("i-1", "s", "10.0.0.1:1", "a"),
    1.0,
    "",
)


class TestTargets(unittest.TestCase):
    def _info(self, name: bytes, text: bytes, status: int) -> object:
        head = ResponseHead(status, Headers([(b"X-Instance-Id", b"i-1"), (name, text)]), 0, True)
        return PlatformTargets(client=mock.Mock()).response_info(_SEND, head)

    def test_a_weight_version_that_is_no_number_fails_no_response(self) -> None:
        """Failure: 500 for the caller, by an uncaught `ValueError`."""
        for text in ODD_NUMBERS:
            with self.subTest(text=text[:20]):
                self.assertIsNone(self._info(b"X-Weight-Versions", text, 200).weights)

    def test_numbers_that_no_message_between_nodes_can_hold_are_left_out(self) -> None:
        """Failure: a tolerance of 1e300 was kept as an integer, which no heartbeat can hold."""
        for name in (b"Server-Brittle", b"Server-Limit", b"Retry-After"):
            for text in (*ODD_NUMBERS, b"1e300"):
                with self.subTest(name=name, text=text[:20]):
                    notice = self._info(name, text, 503).notice
                    self.assertEqual(notice, TargetNotice())


class TestStore(unittest.TestCase):
    def test_an_era_that_is_no_number_ends_that_call_alone(self) -> None:
        """Failure: `ValueError` in the loop that follows the list, where nothing expects it."""
        client = mock.Mock()
        store = PlatformStore(address="10.0.0.9:1", client=client)
        for text in (*ODD_NUMBERS, b"%d" % 2**18):
            head = ResponseHead(200, Headers([(b"Store-Era", text)]), 2, True)
            client.call = mock.AsyncMock(return_value=Reply(head, b"{}"))
            with self.subTest(text=text[:20]), self.assertRaises(RemoteCallError):
                asyncio.run(store.target_changes(None))
        self.assertEqual(store.era, 0)


class TestLeftOutValues(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.values = LeftOutValues(clock=lambda: self.now)

    def _note(self, count: int, **fields: object) -> int:
        """Note values of as many senders; return how many lines were logged."""
        with mock.patch("fielddrift_node.serving.left_out._log") as log:
            for number in range(count):
                name = f"{fields.get('name', number)}"
                error = ValueError(f"{fields.get('error', 'odd')}")
                self.values.note("place", name, error, version=fields.get("version"))
            return int(log.error.call_count)

    def test_a_value_is_counted_and_logged_once_a_version(self) -> None:
        self.assertEqual(self._note(5, name="e", version=1), 1)
        self.assertEqual(self._note(5, name="e", version=2), 1)
        self.assertEqual(dict(self.values.counts), {"place": 2})

    def test_a_flood_of_odd_messages_is_counted_and_does_not_flood_the_log(self) -> None:
        self.assertEqual(self._note(5000), 20)
        self.assertEqual(dict(self.values.counts), {"place": 5000})
        self.now += 11.0
        self.assertEqual(self._note(5000), 20)
        self.assertLessEqual(len(self.values._known._versions), 1000)
