"""A run whose text cannot be read ends in a refusal, and no text is left out in silence."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

from fielddrift_core.routing import Source
from fielddrift_node.relay import Relay, RunInterruptedError, buffered_answer

from .test_endless_answers_own_interface import _Run

_GOOD = '{"choices": [{"index": 0, "text": "a "}]}'
_ODD = (
    '{"choices": []}',
    '{"choices": [{"index": 0}]}',
    '{"choices": [{"text": 7}]}',
    '{"choices": 7}',
    '{"choices"}',
    f'{{"choices": {"[" * 65_000}{"]" * 65_000}}}',
)
_SPELLINGS = (
    '{"index": 0, "choices": [{"text": "b "}]}',
    '{ "choices" : [{"text": "b "}]}',
)


def _events(*texts: str) -> Iterator[bytes]:
    for number, text in enumerate(texts, 1):
        yield b"id: %d\ndata: %s\n\n" % (number, text.encode())
    end = b'event: end\nid: %d\ndata: {"count": %d}\n\n'
    yield end % (len(texts) + 1, len(texts))


def _exchange() -> Any:
    exchange = mock.MagicMock()
    exchange.began_at = exchange.deadline = 0.0
    exchange.request_id, exchange.completion.model = "r1", "m"
    return exchange


def _answer(*texts: str, exchange: Any = None) -> bytes:
    exchange = exchange or _exchange()
    run: Any = _Run(_events(*texts))
    run.choice.source, run.head.version = Source.RECOMPUTE, "v1"
    relay = Relay(exchange=exchange, started=run, resume=lambda *_: None)
    return buffered_answer(exchange, relay).body


class TestTexts(unittest.TestCase):
    def test_an_event_whose_text_cannot_be_read_ends_in_a_refusal(self) -> None:
        """Failure: the request failed by an uncaught error after its run."""
        for odd in _ODD:
            with self.subTest(odd=odd[:40]):
                exchange = _exchange()
                with self.assertRaises(RunInterruptedError):
                    _answer(_GOOD, odd, _GOOD, exchange=exchange)
                exchange.runtime.claims.unknown.assert_called_once_with(exchange.claim)

    def test_a_text_is_found_however_its_event_is_spelled(self) -> None:
        """Failure: the text was left out, and the answer counted as whole."""
        for spelled in _SPELLINGS:
            with self.subTest(spelled=spelled):
                self.assertIn(b"a b a ", _answer(_GOOD, spelled, _GOOD))
