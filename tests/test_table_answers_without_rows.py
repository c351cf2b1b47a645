"""An answer of the platform's table without all rows counts as none, and ends one call alone."""

from __future__ import annotations

import unittest
from unittest import mock

import msgspec
from fielddrift_core.interfaces import ExternalSystemError, Row, Transaction, Write
from fielddrift_node.claims import Claim, ClaimManager
from fielddrift_node.http_client import Call, Reply
from fielddrift_node.metrics import Metrics
from fielddrift_node.outside import HttpTable

from .fakes import FakeTable

_TIMEOUT_SECONDS = 2.0


class TestAnswers(unittest.TestCase):
    def _table(self, answer: object) -> HttpTable:
        http = mock.Mock(request=mock.Mock(return_value=_reply(answer)))
        return HttpTable(address="127.0.0.1:1", http=http, metrics=Metrics(address=""))

    def test_an_answer_without_all_rows_is_none(self) -> None:
        """Failure: `IndexError` or `ValueError`; the thread that writes claims ended, and each
        later claim waited in vain."""
        rows = [Row("b", "", 1)]
        write = Write("a", "v")
        for answer in ({"rows": []}, {"rows": rows}, {"rows": rows * 2}):
            with self.subTest(answer=answer):
                with self.assertRaises(ExternalSystemError):
                    self._table(answer).read(["a"])
                with self.assertRaises(ExternalSystemError) as raised:
                    self._table({"ok": True, **answer}).commit(Transaction((write,)))
                self.assertFalse(raised.exception.not_executed)

    def test_an_answer_without_rows_does_not_end_the_writing_of_claims(self) -> None:
        """Failure: each later claim waited in vain, and was refused."""
        served = _Served()
        table = HttpTable(address="127.0.0.1:1", http=served, metrics=Metrics(address=""))  # type: ignore[arg-type]
        claims = ClaimManager(
            table=table,
            claimant="node-1-1",
            address="127.0.0.1:1",
            ask=lambda row: None,
            metrics=Metrics(address=""),
            timeout=_TIMEOUT_SECONDS,
        )
        self.addCleanup(claims.close)
        for key in ("k1", "k2"):
            self.assertIsInstance(claims.claim(customer="ana", key=key, digest="d"), Claim)


class _Served:
    """A table behind HTTP, whose first answer to a commit lacks its rows."""

    def __init__(self) -> None:
        self._table = FakeTable()
        self._cut = [True]

    def request(self, call: Call) -> Reply:
        assert call.body is not None
        asked = msgspec.json.decode(call.body)
        if call.url.endswith("/read"):
            return _reply({"rows": self._table.read(asked["keys"])})
        done = self._table.commit(Transaction(tuple(Write(**each) for each in asked["writes"])))
        rows = () if self._cut and self._cut.pop() else done.rows
        return _reply({"ok": done.ok, "rows": rows})


def _reply(answer: object) -> Reply:
    return Reply(200, {}, msgspec.json.encode(answer))
