"""A value out of range in a head ends that one exchange, with its reason, or is left out.

Failure: a whole response was given up for a Keep-Alive timeout in digits of another script, a
request to an address that no look-up takes ended by an error that nothing caught, and a response
whose length is too large for libcurl was whole wherever it ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import unittest
from typing import Any

from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_node import http_client
from fielddrift_node.http_client import HttpClient
from fielddrift_node.web.client import Client, Timeouts
from fielddrift_node.web.errors import (
    CONNECT_REASON,
    GARBLED_REASON,
    RESET_REASON,
    TUNNEL_REASON,
    ExchangeError,
)
from fielddrift_node.web.messages import Headers, Reply
from fielddrift_node.web.server import Limits, Request, Responder, Server, plain_text_fault
from fielddrift_node.web.tunnel import TunnelServer, TunnelStatus
from fielddrift_standins.fleet import HOST, free_port
from hypothesis import given, settings
from hypothesis import strategies as st

_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
_WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_TIMEOUTS = Timeouts(connect=5.0, whole=10.0)
_ODD = (
    b"", b"0", b"-0", b"-1", b"+2", b" 2 ", b"2 2", b"2, 2", b"2,3", b"2.0", b"2e0", b"0x2", b"1_0",
    b"\xb2", "\u0662".encode(), b"9" * 19, b"9" * 20, b"9" * 400, b"9" * 5000, b"0" * 5000 + b"2",
    b"nan", b"inf", b"null", b"\x00", b"f" * 17, b";", b"chunked", b"\xff",
)  # fmt: skip
"""Values that are no plain number in range, or barely one."""
_ODD_ADDRESSES = (
    "", ":", "x", ":80:", "x:", "x:0", "x:-1", "x:70000", "x:abc", "x:\xb2", "x:" + "9" * 5000,
    "127.0.0.1:65536", "a" * 64 + ":80", "a." * 200 + "a:80", "a..b:80", ".:80", "a\x00b:80",
    "\ud800:80", "\xe9" * 64 + ":80", "x\r\nA: b:80",
)  # fmt: skip
_values = st.one_of(st.sampled_from(_ODD), st.binary(max_size=12).map(lambda b: b.strip(b"\r\n")))
_REASONS = {GARBLED_REASON, RESET_REASON, "timeout", "mismatch"}


class LoopCase(unittest.TestCase):
    """Runs coroutines on one loop, and fails if a callback or task of it ended by an error."""

    def setUp(self) -> None:
        runner = asyncio.Runner()
        self.addCleanup(runner.close)
        self.run_loop = runner.run
        self.uncaught: list[dict[str, Any]] = []
        runner.get_loop().set_exception_handler(lambda loop, context: self.uncaught.append(context))

    async def serve(self, answer: bytes) -> tuple[asyncio.Server, str]:
        """Listen; send `answer` to each request and close.  Return the server and its address."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
            writer.close()

        server = await asyncio.start_server(handle, HOST, 0)
        return server, f"{HOST}:{server.sockets[0].getsockname()[1]}"


class TestAnswers(LoopCase):
    def setUp(self) -> None:
        super().setUp()
        self.client = Client()

    async def _answered(self, answer: bytes) -> Reply | ExchangeError:
        server, address = await self.serve(answer)
        other, other_address = await self.serve(_WHOLE)
        async with server, other:
            exchange = await self.client.begin(other_address, _REQUEST, connect_seconds=5.0)
            result: Reply | ExchangeError
            try:
                result = await self.client.call(address, _REQUEST, timeouts=_TIMEOUTS)
            except ExchangeError as error:
                result = error
            self.assertEqual(await exchange.body(), b"ok")
            self.client.close()
        return result

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        field=st.sampled_from((b"Content-Length", b"Transfer-Encoding", b"Keep-Alive", b"X-Any")),
        values=st.lists(_values, min_size=1, max_size=2),
        status=st.one_of(st.just(b"200"), _values),
        size=st.one_of(st.just(b"2"), _values),
    )
    def test_any_value_ends_its_own_exchange_only(
        self, field: bytes, values: list[bytes], status: bytes, size: bytes
    ) -> None:
        head = b"HTTP/1.1 " + status + b" OK\r\n"
        head += b"".join(field + b": timeout=" * (field[:1] == b"K") + v + b"\r\n" for v in values)
        if field != b"Content-Length":
            head += b"Transfer-Encoding: chunked\r\n"
        answer = head + b"\r\n" + size + b"\r\nok\r\n0\r\n\r\n"
        result = self.run_loop(self._answered(answer))
        if isinstance(result, ExchangeError):
            self.assertTrue(result.sent)
            self.assertIn(result.reason, _REASONS)
        self.assertEqual(self.uncaught, [])

    def test_a_keep_alive_timeout_out_of_range_loses_no_response(self) -> None:
        for value in _ODD:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=" + value
            result = self.run_loop(self._answered(head + b"\r\n\r\nok"))
            if value == b"\x00":
                # No field may contain it, whatever the field tells.
                assert isinstance(result, ExchangeError), result
                self.assertEqual(result.reason, GARBLED_REASON)
                continue
            assert isinstance(result, Reply), (value[:20], result)
            self.assertEqual(result.body, b"ok")

    def test_a_status_out_of_range_is_garbled_at_once(self) -> None:
        """Below 100 it was an interim response, behind which the caller waited for another."""
        for status in (b"000", b"099", b"600", b"999"):
            answer = b"HTTP/1.1 " + status + b" OK\r\nContent-Length: 2\r\n\r\nok"
            result = self.run_loop(self._answered(answer))
            assert isinstance(result, ExchangeError), (status, result)
            self.assertEqual((result.sent, result.reason), (True, GARBLED_REASON))

    def test_an_address_that_no_look_up_takes_is_not_connected_to(self) -> None:
        async def begun(address: str, through: str) -> ExchangeError:
            with self.assertRaises(ExchangeError) as raised:
                await self.client.begin(address, _REQUEST, connect_seconds=5.0, through=through)
            return raised.exception

        for address in _ODD_ADDRESSES:
            error = self.run_loop(begun(address, ""))
            self.assertEqual((error.sent, error.reason), (False, CONNECT_REASON), address[:20])
            self.assertFalse(error.refused)
            error = self.run_loop(begun(f"{HOST}:1", address)) if address else error
            self.assertFalse(error.sent)
        self.assertEqual(self.client._open_counts, {})
        self.assertEqual(self.uncaught, [])


class TestTunnels(LoopCase):
    def setUp(self) -> None:
        super().setUp()
        self.client = Client()
        self.tunnels = TunnelServer(
            admit=lambda address: TunnelStatus.OPEN, on_connect=lambda address, status: status
        )
        port = free_port()
        self.carrier = f"{HOST}:{port}"
        self.run_loop(self.tunnels.start(HOST, port))
        self.addCleanup(self.tunnels.stop_accepting)

    async def _tunnelled(self, address: str, carrier: str) -> Reply:
        exchange = await self.client.begin(address, _REQUEST, connect_seconds=5.0, through=carrier)
        try:
            return Reply(await exchange.head(), await exchange.body())
        finally:
            exchange.cancel()

    async def _works(self) -> None:
        """Check that the carrier still carries a tunnel."""
        server, address = await self.serve(_WHOLE)
        async with server:
            self.assertEqual((await self._tunnelled(address, self.carrier)).body, b"ok")
        self.client.close()

    async def _refused(self, address: str, carrier: str) -> ExchangeError:
        with self.assertRaises(ExchangeError) as raised:
            await self._tunnelled(address, carrier)
        return raised.exception

    def test_an_address_that_no_look_up_takes_opens_no_tunnel(self) -> None:
        """Its task ended by an error, and whoever asked for the tunnel waited for its time-out."""
        for address in _ODD_ADDRESSES:
            error = self.run_loop(self._refused(address, self.carrier))
            self.assertEqual((error.sent, error.refused), (False, False), address[:20])
            self.assertFalse(error.connect_timed_out)
            self.assertIn(error.reason, (CONNECT_REASON, TUNNEL_REASON))
        self.run_loop(self._works())
        self.assertEqual(self.uncaught, [])

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(status=_values, name=_values, rest=_values)
    def test_any_response_to_a_handshake_ends_it(
        self, status: bytes, name: bytes, rest: bytes
    ) -> None:
        async def answered() -> None:
            answer = b"HTTP/1.1 " + status + b" Any\r\nNode-Process: " + name + b"\r\n\r\n" + rest
            server, carrier = await self.serve(answer)
            async with server:
                self.assertFalse((await self._refused(f"{HOST}:1", carrier)).sent)

        self.run_loop(answered())
        self.assertEqual(self.uncaught, [])

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(address=_values, end=st.sampled_from((b"\r\n\r\n", b"\r\n", b"")))
    def test_any_request_for_a_tunnel_ends_its_own_connection(
        self, address: bytes, end: bytes
    ) -> None:
        async def asked() -> None:
            host, _, port = self.carrier.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"CONNECT x:" + address + b" HTTP/1.1\r\nHost: x" + end)
            writer.write_eof()
            async with asyncio.timeout(10.0):
                with contextlib.suppress(ConnectionError):
                    self.assertFalse((await reader.read()).startswith(b"HTTP/1.1 200"))
            writer.close()

        self.run_loop(asked())
        self.assertEqual(self.uncaught, [])
        self.run_loop(self._works())


class TestRequests(LoopCase):
    def setUp(self) -> None:
        super().setUp()
        port = free_port()
        self.port = port
        limits = Limits(body_bytes=1000, header_bytes=16_384, idle_seconds=10.0)
        self.server = Server(
            handler=self._handle, limits=lambda: limits, format_fault=plain_text_fault
        )
        self.run_loop(self.server.start(HOST, port))
        self.addCleanup(self.server.stop_accepting)

    async def _handle(self, request: Request, responder: Responder) -> None:
        responder.start(200, Headers(), len(request.body))
        responder.write(request.body)
        responder.end()

    async def _status(self, request: bytes) -> bytes:
        """Return the status of the last response, empty if the connection was just closed."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(request)
        async with asyncio.timeout(10.0):
            try:
                line = await reader.readline()
            except ConnectionError:
                line = b""
        writer.close()
        return line[9:12]

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        field=st.sampled_from((b"Content-Length", b"Transfer-Encoding", b"Expect", b"Host")),
        values=st.lists(_values, min_size=1, max_size=2),
        size=st.one_of(st.just(b"2"), _values),
    )
    def test_any_value_gets_an_answer_of_its_own(
        self, field: bytes, values: list[bytes], size: bytes
    ) -> None:
        head = b"POST / HTTP/1.1\r\nConnection: close\r\n"
        head += b"".join(field + b": " + value + b"\r\n" for value in values)
        if field in (b"Expect", b"Host"):
            head += b"Transfer-Encoding: chunked\r\n"
        body = size + b"\r\nok\r\n0\r\n\r\n"

        async def asked() -> bytes:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(head + b"\r\n" + body)
            writer.write_eof()
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(10.0):
                    return (await reader.readline())[9:12]
            return b""

        self.assertIn(self.run_loop(asked()), (b"200", b"400", b"413", b"431", b"100", b""))
        self.assertEqual(self.run_loop(self._status(_REQUEST)), b"200")
        self.assertEqual(self.uncaught, [])

    def test_lengths_are_refused_by_their_reason(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
        for value, status in ((b"+2", b"400"), (b"9" * 19, b"413"), (b"0" * 5000 + b"2", b"200")):
            got = self.run_loop(self._status(head + value + b"\r\n\r\nok"))
            self.assertEqual(got, status, value[:20])


class TestOwnInterface(unittest.TestCase):
    def _asked(self, answer: bytes) -> http_client.Reply | ExternalSystemError:
        """Return what becomes of a call whose response is `answer`, behind which comes the end."""
        http = HttpClient()
        self.addCleanup(http.close)
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(answer)

        threading.Thread(target=serve, daemon=True).start()
        url = f"http://{HOST}:{listener.getsockname()[1]}/"
        try:
            return http.request(http_client.Call("GET", url, timeout=10.0, connect_timeout=5.0))
        except ExternalSystemError as error:
            return error

    def test_a_length_too_large_to_be_counted_makes_no_response_whole(self) -> None:
        for value in (b"9" * 19, b"9" * 20, b"9" * 5000):
            head = b"HTTP/1.1 200 OK\r\nContent-Length: " + value
            result = self._asked(head + b"\r\n\r\nok")
            assert isinstance(result, ExternalSystemError), (value[:20], result)
            self.assertFalse(result.not_executed)

    def test_a_status_out_of_range_is_an_error(self) -> None:
        for status in (b"000", b"099", b"600", b"2000", b"20", b"2", b"", b"9" * 5000):
            result = self._asked(b"HTTP/1.1 " + status + b" OK\r\nContent-Length: 2\r\n\r\nok")
            assert isinstance(result, ExternalSystemError), (status[:20], result)
            self.assertFalse(result.not_executed)

    def test_a_call_that_cannot_be_sent_ends_alone(self) -> None:
        """It ended the thread that makes all calls of the node, and never returned."""
        http = HttpClient()
        self.addCleanup(http.close)
        here = f"http://{HOST}:1/"
        # Without a port a URL is a valid one.
        calls = [http_client.Call("GET", f"http://{a}/") for a in _ODD_ADDRESSES if a != "x"]
        calls += [
            http_client.Call("GET", here, headers={"X-Any": value})
            for value in ("\u0662", "\ud800", "a\x00b", "a\r\nX-Other: b")
        ]
        calls += [http_client.Call("GET", here, timeout=t) for t in (1e300, float("nan"))]
        for call in calls:
            stream = http.stream(call)
            error = stream.head.exception(timeout=10.0)
            assert isinstance(error, ExternalSystemError), (call, error)
            self.assertTrue(error.not_executed, (call.url[:40], error))
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)
        threading.Thread(target=_answer_one, args=(listener,), daemon=True).start()
        url = f"http://{HOST}:{listener.getsockname()[1]}/"
        self.assertEqual(http.request(http_client.Call("GET", url)).body, b"ok")


def _answer_one(listener: socket.socket) -> None:
    connection, _ = listener.accept()
    with connection:
        connection.recv(65536)
        connection.sendall(_WHOLE)
