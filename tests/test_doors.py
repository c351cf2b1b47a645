"""Bad input at every public door: a clear error, no stack trace, nothing half done."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from fielddrift_node import peer_pb2 as pb
from fielddrift_node.peer_grpc import PeerStub
from fielddrift_standins.check import problem
from fielddrift_standins.fetch import Fetched, fetch
from fielddrift_standins.fleet import OPERATOR_KEY, PEER_KEY
from grpclib.client import Channel
from grpclib.exceptions import GRPCError

from .fleets import CUSTOMER, FleetTest

GOOD = {"model": "oracolo", "prompt": "ciao", "max_tokens": 2}


class DoorsTest(FleetTest):
    nodes = 1
    engines = 1
    limits = {"prompt_bytes": 100_000}

    def _post(self, path: str, body: Any, **headers: str) -> Fetched:
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        named = {
            "Authorization": f"Bearer {self.fleet.keys[CUSTOMER]}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        return fetch("POST", self.fleet.nodes[0].url(path), raw, named)

    def assert_refused(self, got: Fetched, status: int, *words: str) -> None:
        self.assertEqual(got.status, status, got.body)
        self.assertEqual(got.headers["content-type"], "application/problem+json")
        found = problem(got)
        self.assertNotIn("Traceback", got.body.decode())
        self.assertEqual(found["ran"], "no")
        for word in words:
            self.assertIn(word, found["detail"])

    def test_completions(self) -> None:
        table: list[tuple[Any, int, tuple[str, ...]]] = [
            (b"", 400, ("body",)),
            (b"{", 400, ("body",)),
            (b"\xff\xfe", 400, ("body",)),
            ([], 400, ("body",)),
            ({}, 400, ("model",)),
            ({**GOOD, "model": 7}, 400, ("model", "str")),
            ({**GOOD, "model": ""}, 400, ("model",)),
            ({**GOOD, "model": "nobody"}, 404, ("nobody",)),
            ({**GOOD, "prompt": ""}, 400, ("prompt",)),
            ({**GOOD, "prompt": [1]}, 400, ("prompt",)),
            ({**GOOD, "max_tokens": 0}, 400, ("max_tokens: 0",)),
            ({**GOOD, "max_tokens": 10**9}, 400, ("max_tokens: 1000000000",)),
            ({**GOOD, "max_tokens": "x"}, 400, ("max_tokens",)),
            ({**GOOD, "stream": "yes"}, 400, ("stream",)),
            ({**GOOD, "priority": 99}, 400, ("priority: 99",)),
            ({**GOOD, "temprature": 1}, 400, ("temprature",)),
            ({**GOOD, "prompt": "x" * 150_000}, 413, ("100000",)),
            (b"x" * 300_000, 413, ("body",)),
        ]
        for body, status, words in table:
            with self.subTest(body=str(body)[:60]):
                self.assert_refused(self._post("/v1/completions", body), status, *words)

    def test_headers(self) -> None:
        for headers, words in (
            ({"Fielddrift_Deadline": "soon"}, ("Fielddrift-Deadline", "soon")),
            ({"Fielddrift_Deadline": "-1"}, ("Fielddrift-Deadline", "-1")),
            ({"Fielddrift_Deadline": "nan"}, ("Fielddrift-Deadline", "nan")),
            ({"Fielddrift_Not_Repeatable": "perhaps"}, ("Fielddrift-Not-Repeatable", "perhaps")),
            ({"Idempotency_Key": "x" * 200}, ("Idempotency-Key",)),
            ({"Idempotency_Key": "a b"}, ("Idempotency-Key", "a b")),
            ({"Fielddrift_Not_Repeatable": "true"}, ("Idempotency-Key", "missing")),
        ):
            with self.subTest(headers=headers):
                self.assert_refused(self._post("/v1/completions", GOOD, **headers), 400, *words)

    def test_a_stream_that_may_not_be_repeated(self) -> None:
        headers = {"Fielddrift_Not_Repeatable": "true", "Idempotency_Key": "k"}
        got = self._post("/v1/completions", {**GOOD, "stream": True}, **headers)
        self.assert_refused(got, 400, "stream")

    def test_paths_methods_and_keys(self) -> None:
        node = self.fleet.nodes[0]
        self.assert_refused(fetch("GET", node.url("/nowhere")), 404, "/nowhere")
        self.assert_refused(fetch("DELETE", node.url("/v1/entry")), 400, "DELETE", "GET")
        self.assert_refused(fetch("POST", node.url("/v1/completions"), b"{}"), 401, "missing")
        for key in ("Basic x", "Bearer ", "x" * 5000):
            self.assert_refused(self._post("/v1/completions", GOOD, Authorization=key), 401)
        # A control character is no part of a header's value (RFC 9110, section 5.5).
        got = self._post("/v1/completions", GOOD, Authorization="Bearer \x7f")
        self.assert_refused(got, 400, "header value")
        self.assert_refused(self._post("/v1/services/none/x", b""), 404, "none")

    def test_statements(self) -> None:
        url = "/v1/operators/statements"
        operator = f"Bearer {OPERATOR_KEY}"
        self.assert_refused(self._post(url, {"statement": "show nodes"}), 401)
        for body, words in (
            (b"", ("body",)),
            ({}, ("statement",)),
            ({"statement": 3}, ("statement",)),
            ({"statement": "drop everything"}, ("everything",)),
            ({"statement": "show nodes where colour = red"}, ("colour", "status")),
            ({"statement": "show nodes", "wait": 10**6}, ("wait",)),
            ({"statement": "show nodes", "hurry": True}, ("hurry",)),
        ):
            with self.subTest(body=body):
                self.assert_refused(self._post(url, body, Authorization=operator), 400, *words)
        before = self.fleet.rows("show nodes")[0]["revision"]
        got = self._post(url, {"statement": "drop customer nobody"}, Authorization=operator)
        self.assert_refused(got, 404, "nobody")
        self.assertEqual(self.fleet.rows("show nodes")[0]["revision"], before)

    def test_peer_messages(self) -> None:
        wrong_member = pb.Gossip(members=[pb.Member(name="", http="")])
        wrong_status = pb.Gossip(members=[pb.Member(name="a", http="b", status=77)])
        many = pb.Gossip(members=[pb.Member(name=f"n{n}", http="h") for n in range(100)])
        for key, message, words in (
            ("wrong", pb.Gossip(), "peer key"),
            (PEER_KEY, wrong_member, "expected a name"),
            (PEER_KEY, wrong_status, "77"),
            (PEER_KEY, many, "at most 64"),
        ):
            with self.subTest(words=words), self.assertRaises(GRPCError) as raised:
                asyncio.run(self._ping(key, message))
            self.assertIn(words, str(raised.exception.message))
        self.assertEqual(len(self.fleet.rows("show nodes")), 1)

    async def _ping(self, key: str, message: pb.Gossip) -> None:
        host, _, port = self.fleet.nodes[0].peer.rpartition(":")
        channel = Channel(host, int(port))
        try:
            await PeerStub(channel).Ping(message, metadata={"fielddrift-key": key}, timeout=5)
        finally:
            channel.close()
