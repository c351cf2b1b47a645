"""An odd row of a claim ends that one claim alone."""

from __future__ import annotations

import unittest
from typing import Any

from fielddrift_core.claims import claim_key
from fielddrift_core.errors import Refusal
from fielddrift_core.interfaces import ExternalSystemError, Transaction, Write
from fielddrift_node.claims import Claim, ClaimManager
from fielddrift_node.metrics import Metrics

from .fakes import FakeTable

_ODD_VALUES = ("", "[]", "no JSON", '{"customer": 7}', "[" * 65_000 + "]" * 65_000)


class TestRows(unittest.TestCase):
    def setUp(self) -> None:
        self.table = FakeTable()
        self.claims = ClaimManager(
            table=self.table,
            claimant="node-1-1",
            address="127.0.0.1:1",
            ask=lambda row: None,
            metrics=Metrics(address=""),
            timeout=2.0,
        )
        self.addCleanup(self.claims.close)

    def _claim(self, key: str) -> Any:
        return self.claims.claim(customer="ana", key=key, digest="d")

    def _write(self, key: str, value: str) -> None:
        write = Write(claim_key("ana", key), value)
        self.table.apply(Transaction((write,)))

    def test_a_request_with_an_odd_row_is_refused_and_others_are_not(self) -> None:
        """Failure: the request failed by an uncaught `DecodeError` or `RecursionError`."""
        for number, value in enumerate(_ODD_VALUES):
            with self.subTest(value=value[:20]):
                self._write(f"odd-{number}", value)
                self.assertIsInstance(self._claim(f"odd-{number}"), Refusal)
                with self.assertRaises(ExternalSystemError):
                    self.claims.find("ana", f"odd-{number}")
                self.assertIsInstance(self._claim(f"good-{number}"), Claim)

    def test_an_odd_row_does_not_end_the_settling_of_claims(self) -> None:
        """Failure: the thread that settles claims ended, and no claim was settled any more."""
        first, second = self._claim("k1"), self._claim("k2")
        self.table.down = True
        for claim in (first, second):
            self.claims.not_run(claim)
        self._write("k1", "[]")
        self.table.down = False
        self.claims._settle_older_than(age=0.0)
        self.assertEqual(self.claims._unsettled, {})
