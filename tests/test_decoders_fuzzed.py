"""Each decoder of bytes from outside raises its own errors only, and keeps what stands beside."""

from __future__ import annotations

import json
import random
import unittest
from typing import Any

import msgspec
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from .decoders import DECODERS, Decoder

EXAMPLES = 250
DEPTH = 65_000
NO_JSON = (
    "[" * DEPTH + "]" * DEPTH,
    '{"x":' * 2000 + "1" + "}" * 2000,
    "[" * DEPTH,
    "",
    "\x00",
    "NaN",
    "Infinity",
)
"""Texts for which a decoder of JSON rejects the whole message."""
ODD_JSON = (
    "null",
    "true",
    "-1",
    "0",
    "1.5",
    "1e300",
    "1e400",
    "-1e400",
    "9" * 400,
    "9" * 5000,
    "-" + "9" * 5000,
    str(2**53 + 1),
    str(2**63),
    str(2**64),
    '""',
    '"x"',
    '"\\ud800"',
    '"\\u0664"',
    '"\\r\\nX-Hold: 1"',
    '"\\u0435"',
    f'"{"9" * 5000}"',
    f'"{"e" * 64}.example:80"',
    '"10.0.0.1:65536"',
    '"10.0.0.1:\\u0664"',
    "[]",
    "{}",
    "[[]]",
    '{"x": 1}',
    *NO_JSON,
)
ODD_ELEMENTS = [text for text in ODD_JSON if text not in NO_JSON]
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    1.5,
    1e300,
    float("inf"),
    float("-inf"),
    float("nan"),
    2**53 + 1,
    2**62,
    2**63,
    2**64 - 1,
    -(2**63),
    "",
    "x",
    "\u0664",
    "e" * 64 + ".example:80",
    "10.0.0.1:65536",
    [],
    {},
    [[]],
    b"\x00",
    msgspec.Raw(b"\x91" * DEPTH + b"\x90"),
    msgspec.Raw(b"\x91" * DEPTH),
    msgspec.Raw(b"\xc1"),
)
ODD_TEXTS = (
    b"",
    b"-1",
    b"1e300",
    b"1e400",
    b"inf",
    b"nan",
    b"9" * 400,
    b"9" * 5000,
    b"\xb2",
    "\u0664".encode(),
    b"1_0",
    b"0x1",
    b" 1 ",
    b"1,2",
    b"p:" + b"9" * 5000,
    b"9" * 400 + b"," + b"9" * 400,
    b"\x00",
    b"\xff" * 300,
)


def plain(message: Any) -> Any:
    """Return `message` as maps, lists and scalars."""
    return msgspec.json.decode(msgspec.json.encode(message))


def places(value: Any) -> list[tuple[Any, Any]]:
    """Return all places in `value`, as containers and keys."""
    if isinstance(value, dict):
        found = [(value, name) for name in value]
    elif isinstance(value, list):
        found = [(value, number) for number in range(len(value))]
    else:
        return []
    return found + [place for owner, key in found for place in places(owner[key])]


def varied(message: Any, rng: random.Random, odd: tuple[Any, ...]) -> Any:
    """Return a copy of `message` with one or two of its parts replaced by odd ones."""
    whole = [plain(message)]
    for owner, key in rng.sample(places(whole), rng.randint(1, 2)):
        owner[key] = rng.choice(odd)
    return whole[0]


def drawn(decoder: Decoder, rng: random.Random) -> bytes:
    """Return the bytes of a variant of the decoder's message."""
    if decoder.form == "text":
        return rng.choice(ODD_TEXTS)
    if decoder.form == "json":
        odd: tuple[Any, ...] = tuple(msgspec.Raw(text.encode()) for text in ODD_JSON)
        data = msgspec.json.encode(varied(decoder.message, rng, odd))
    else:
        data = msgspec.msgpack.encode(varied(decoder.message, rng, ODD_VALUES))
    kind = rng.random()
    if kind < 0.1:
        return data[: rng.randrange(len(data) + 1)]
    if kind < 0.2 and data:
        place = rng.randrange(len(data))
        return data[:place] + rng.randbytes(1) + data[place + 1 :]
    return data


class TestDecoders(unittest.TestCase):
    def _explore(self, decoder: Decoder) -> None:
        @settings(
            max_examples=EXAMPLES,
            derandomize=True,
            database=None,
            deadline=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        )
        @given(seed=st.integers(0, 2**32))
        def run(seed: int) -> None:
            data = drawn(decoder, random.Random(seed))
            try:
                kept = decoder.run(data)
            except decoder.errors:
                return
            # What is kept can be told to other nodes.
            msgspec.msgpack.encode(kept)

        run()

    def test_a_decoder_raises_its_own_errors_only_and_keeps_what_a_message_can_hold(self) -> None:
        """Failure: an uncaught error ended what read the value, or what told it to other nodes."""
        for decoder in DECODERS.values():
            with self.subTest(decoder=decoder.name):
                self._explore(decoder)

    def test_the_valid_message_is_decoded(self) -> None:
        """Failure: the variants were those of a message that the decoder rejects anyway."""
        for decoder in DECODERS.values():
            with self.subTest(decoder=decoder.name):
                message = plain(decoder.message)
                data = message.encode() if decoder.form == "text" else b""
                if decoder.form == "json":
                    data = json.dumps(message).encode()
                elif decoder.form == "msgpack":
                    data = msgspec.msgpack.encode(message)
                self.assertTrue(decoder.run(data) is not None)

    def test_the_elements_beside_an_odd_one_are_kept(self) -> None:
        """Failure: a whole list was lost for one of its elements."""
        for decoder in DECODERS.values():
            if not decoder.elements:
                continue
            message = plain(decoder.message)
            good = json.dumps(message.pop(decoder.elements)[0])
            rest = json.dumps(message).removesuffix("}")
            for odd in ODD_ELEMENTS:
                data = f'{rest}, "{decoder.elements}": [{odd}, {good}]}}'
                with self.subTest(decoder=decoder.name, odd=odd[:40]):
                    self.assertIn("good", decoder.run(data.encode()))
