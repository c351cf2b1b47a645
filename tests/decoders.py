"""The decoders of bytes from outside, which `test_decoders_fuzzed` runs over drawn values.

A decoder is registered with a valid message; it gets variants of it.
"""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple
from unittest import mock

import msgspec
from fielddrift_core.catalog import StoreTraits
from fielddrift_core.crash_attribution import Crash
from fielddrift_core.crashes import CrashUpdate
from fielddrift_core.heartbeat import Heartbeat, Neighbour, StorePosition
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.neighbours import Neighbours
from fielddrift_core.readers import ReadState
from fielddrift_core.rollout import DutyRow, VersionAge
from fielddrift_core.stream_origins import SavedVersion, StreamOrigin
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import Burden
from fielddrift_node.http_client import Head
from fielddrift_node.http_client import Reply as OwnReply
from fielddrift_node.outside import HttpHostList
from fielddrift_node.serving.crash_rows import _CrashRow
from fielddrift_node.serving.duty import DutyLease
from fielddrift_node.serving.gossip import Gossip
from fielddrift_node.serving.heartbeats import HeartbeatTranslator
from fielddrift_node.serving.membership import _decode_nodes
from fielddrift_node.serving.named_rows import _NamedRow
from fielddrift_node.serving.origin_rows import _Segment
from fielddrift_node.serving.ports import (
    OutgoingRequest,
    RemoteCallError,
    SavedRow,
    WriteOutcome,
)
from fielddrift_node.serving.row_table import RowTable
from fielddrift_node.serving.sharing import OperatorCopy, PeerClient, StoreCopy, TargetCopy
from fielddrift_node.serving.version_rows import _VersionRow
from fielddrift_node.serving.views import Views
from fielddrift_node.targets import pause_seconds, read_head
from fielddrift_node.web.client import Reply
from fielddrift_node.web.messages import Headers, RequestHead, ResponseHead
from fielddrift_node.web.server import Request
from fielddrift_platform.callers import PlatformCallers
from fielddrift_platform.store import PlatformStore
from fielddrift_platform.targets import PlatformTargets
from fielddrift_platform.wire import decode_catalog, decode_instance, decode_weights
from fielddrift_standins.deployment import route

__all__ = ["DECODERS", "Decoder", "decoder"]

_TRAITS = StoreTraits("10.0.0.1:1", "a", 1, 1.0, 0.0, True, 1)
_INSTANCE = Instance("e#5", "s", "10.0.0.1:1", "a")
_NODE = Neighbour("n2", 5, "a", "10.0.0.2:1", "10.0.0.2:2", "10.0.0.2:3")
ENTRY: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold-left-ms": 0,
    "models": [{"name": "m", "version": 1}],
    "born": 1_790_000_000_000,
}


class Decoder(NamedTuple):
    """A decoder: `run` decodes the bytes of `form` and may raise `errors` only.

    `message` is a valid message.  `elements` is the field of its list of which elements beside an
    odd one are kept; `run` then returns the names of those that are, and `message` has one, `good`.
    """

    name: str
    form: str
    message: Any
    run: Callable[[bytes], Any]
    errors: tuple[type[Exception], ...] = ()
    elements: str = ""


DECODERS: dict[str, Decoder] = {}


def decoder(
    name: str,
    message: Any,
    *errors: type[Exception],
    form: str = "json",
    elements: str = "",
) -> Callable[[Callable[[bytes], Any]], Callable[[bytes], Any]]:
    """Register a decoder; the arguments are as in `Decoder`."""

    def register(run: Callable[[bytes], Any]) -> Callable[[bytes], Any]:
        DECODERS[name] = Decoder(name, form, message, run, errors, elements)
        return run

    return register


def _run(work: Coroutine[Any, Any, Any]) -> Any:
    return asyncio.run(work)


def _client(data: bytes, *headers: tuple[bytes, bytes]) -> Any:
    reply = Reply(ResponseHead(200, Headers(list(headers)), len(data), True), data)
    return mock.Mock(call=mock.AsyncMock(return_value=reply))


def _store(data: bytes) -> PlatformStore:
    return PlatformStore(address="10.0.0.9:1", client=_client(data))


def _row(key: str, value: object) -> dict[str, object]:
    data = base64.b64encode(json.dumps(value).encode()).decode()
    return {"key": key, "table": "servers", "ver": 3, "value": data}


def _request(instance: Instance) -> OutgoingRequest:
    head = RequestHead(b"GET", b"/x", Headers([(b"X-Request-Id", b"r")]), True)
    parsed = PlatformCallers().read(Request(head, b"", 0.0))
    return OutgoingRequest(parsed, instance, 1.0, "c")  # type: ignore[arg-type]


# --- rows of the platform's store ------------------------------------------------------


@decoder("entry of a target", ENTRY, ValueError)
def _entry(data: bytes) -> object:
    found = decode_instance("e", data)
    PlatformTargets(client=mock.Mock()).request(_request(found))
    return found


@decoder("rows of targets", {"rows": [_row("good", ENTRY)], "ver": 9}, RemoteCallError)
def _rows(data: bytes) -> object:
    return _run(_store(data).target_changes(None)).entries


@decoder("rows", {"rows": [_row("good", ENTRY)], "ver": 9}, RemoteCallError, elements="rows")
def _row_names(data: bytes) -> object:
    return [row.key for row in _run(_store(data).rows("t"))[0]]


@decoder(
    "operators' rows",
    {"rows": [_row("version/m", {"model": "m", "version": 4}), _row("evacuate/a", {})], "ver": 9},
    RemoteCallError,
)
def _operators(data: bytes) -> object:
    changes = _run(_store(data).operator_changes(None, 0.0))
    return [list(changes.weights), sorted(changes.evacuations.started)]


@decoder(
    "catalog",
    {
        "version": 3,
        "routes": [route("safe", "plain", "safe")],
        "services": [
            {"name": "plain", "health-path": "/h", "max-conns": 5, "cold-per-s": 1.0},
            {"name": "engines", "engine": {"slots": 8, "kv-capacity": 9, "link-mbps": 1.0}},
            {"name": "kept", "kv-store-addr": "10.0.0.1:9", "kv-capacity": 9, "first_ms": 1.0},
        ],
        "limits": {"max-header-bytes": 4096, "max-body-bytes": 65536},
        "tenants": [{"name": "ana", "api-keys": ["k"], "priority": 1}],
    },
    ValueError,
)
def _catalog(data: bytes) -> object:
    found = decode_catalog(data)
    for customer in found.customers.values():
        customer.name.encode("latin-1")
    return found


@decoder("named weights", {"model": "m", "version": 4}, ValueError)
def _weights(data: bytes) -> object:
    return decode_weights(data)


# --- the nodes' own rows ---------------------------------------------------------------


def _own_row(name: str, message: object, kind: Any) -> None:
    @decoder(name, message)
    def decode(data: bytes) -> object:
        table = RowTable(platform=mock.Mock(), name="t", what=name, rng=mock.Mock())
        return table.decode(SavedRow("k", data, 1), kind)


_own_row("named row", {"times": {"4": 5.0}}, _NamedRow)
_own_row("crash row", {"crashes": [["t", 5.0, 1.0]]}, _CrashRow)
_own_row("version row", {"versions": {"v": SavedVersion(1.0, None)}}, _VersionRow)
_own_row("origin row", {"origins": [StreamOrigin("k", "s", "v", 5.0)]}, _Segment)


@decoder("member row", [_NODE])
def _member(data: bytes) -> object:
    return _decode_nodes([SavedRow("n", data, 1)])


@decoder("duty row", DutyRow("n1", 5.0, 1), RemoteCallError)
def _duty(data: bytes) -> object:
    platform = mock.Mock(era=0)
    platform.rows = mock.AsyncMock(return_value=([SavedRow("d", data, 1)], 5.0))
    platform.write = mock.AsyncMock(return_value=WriteOutcome(False, 0, 0.0))
    lease = DutyLease(platform=platform, name="d", holder="n1", takeover_seconds=1.0)
    return _run(lease.acquire())


# --- targets and store hosts -----------------------------------------------------------


@decoder(
    "report",
    {"born": 5, "models": [{"name": "good", "version": 4}], "seq": 1, "clock_ms": 5.0},
    RemoteCallError,
    elements="models",
)
def _report(data: bytes) -> object:
    return list(_run(PlatformTargets(client=_client(data)).report(_INSTANCE)).versions)


@decoder("report of a process", {"born": 5})
def _process(data: bytes) -> object:
    check = PlatformTargets(client=mock.Mock()).process_check(_INSTANCE)
    return check.judge(Reply(ResponseHead(200, Headers(), len(data), True), data)).value


@decoder(
    "store events",
    {"boot-epoch": 1, "next-token": 3, "events": [[1, "+", "s", "good", 5, "m"]], "clock_ms": 5.0},
    RemoteCallError,
    elements="events",
)
def _events(data: bytes) -> object:
    found = _run(PlatformTargets(client=_client(data)).store_changes(_TRAITS, 0, 0.0))
    msgspec.msgpack.encode(found)
    return [part.id for part in found.added]


@decoder(
    "store list",
    {"boot-epoch": 1, "next-token": 3, "held": [["s", "good", 5, "m"]], "partial": []},
    RemoteCallError,
    elements="held",
)
def _held(data: bytes) -> object:
    found = _run(PlatformTargets(client=_client(data)).store_contents(_TRAITS))
    msgspec.msgpack.encode(found)
    return [part.id for part in found.held]


def _field(name: str) -> None:
    @decoder(f"field {name}", "1", form="text")
    def decode(data: bytes) -> object:
        fields = Headers([(b"X-Instance-Id", b"e"), (name.encode(), data)])
        head = ResponseHead(503, fields, 0, True)
        return PlatformTargets(client=mock.Mock()).response_info(_request(_INSTANCE), head)


for _name in ("X-Weight-Versions", "Retry-After", "Server-Limit", "Server-Brittle"):
    _field(_name)


@decoder("field Store-Era", "1", RemoteCallError, form="text")
def _era(data: bytes) -> object:
    store = PlatformStore(address="p:1", client=_client(b"{}", (b"Store-Era", data)))
    return _run(store.target_changes(None)).version


def _caller_field(name: str, good: str) -> None:
    @decoder(f"caller's {name}", good, form="text")
    def decode(data: bytes) -> object:
        fields = {b"X-Request-Id": b"r", b"X-Model": b"m", name.encode(): data}
        head = RequestHead(b"GET", b"/x", Headers(list(fields.items())), True)
        found = PlatformCallers().read(Request(head, b"", 0.0))
        return found[:-1] if len(found) == 1 else [found[4], found[5]]


for _name, _good in (
    ("X-Deadline-Ms", "700"),
    ("X-Token-Usage", "5,6"),
    ("X-Prompt-Prefix", "p:5"),
    ("X-Request-Id", "r"),
    ("Last-Event-Id", "4"),
):
    _caller_field(_name, _good)


# --- other nodes -----------------------------------------------------------------------


def _receive(data: bytes) -> object:
    async def receive() -> object:
        me = Neighbour("n1", 1, "a", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3")
        neighbours, views = Neighbours(me=me), Views()
        translator = HeartbeatTranslator(views=views, neighbours=neighbours)
        kept: list[object] = []
        listener = mock.Mock(heard=kept.append)
        gossip = Gossip(
            neighbours=neighbours,
            heartbeat=lambda relation: translator.heartbeat(relation, leaving=False),
            heard=translator.heard,
            crashes=listener,
            origins=listener,
        )
        gossip._transport = mock.Mock()
        gossip.datagram_received(data, ("10.0.0.2", 2))
        gossip.send_to_all()
        now = asyncio.get_running_loop().time()
        return [kept, views.workload.total(["n2"], now), views.links.total(["n2"], now)]

    return _run(receive())


@decoder(
    "heartbeat",
    Heartbeat(
        _NODE,
        True,
        False,
        1,
        {"m": 1},
        {"t": Burden(1, 2, 3), "limit:t": Burden(1, 2, 3), "silent:t": Burden(1, 2, 3)},
        ("t",),
        {"e": 1.0},
        (("e", "m", 1),),
        ReadState(1, 2, 3, 0.5),
        (VersionAge("m", 1, 2.0),),
        kept={"s": StorePosition(1, 2, 0.5)},
        moves={"s": 0.5},
        lateness={"s": 0.5},
    ),
    form="msgpack",
)
def _heartbeat(data: bytes) -> object:
    return _receive(data)


@decoder("crash update", CrashUpdate("a", (Crash("f", "t", 1.0, 1.0),)), form="msgpack")
def _crashes(data: bytes) -> object:
    return _receive(b"\xc1" + data)


@decoder("origins", [StreamOrigin("k", "s", "v", 1.0)], form="msgpack")
def _origins(data: bytes) -> object:
    return _receive(b"\xc0" + data)


def _copy(name: str, message: object, ask: Callable[[PeerClient], Any]) -> None:
    @decoder(name, message, RemoteCallError, form="msgpack")
    def decode(data: bytes) -> object:
        return _run(ask(PeerClient(client=_client(data))))


_copy("copy of targets", TargetCopy((_INSTANCE,), (), 1, 1), lambda p: p.targets(_NODE))
_copy("copy of operators", OperatorCopy(None, {"m": 1}, 1), lambda p: p.operators(_NODE))
_copy("copy of a store", [StoreCopy("s", 1, 2, 5)], lambda p: p.kept(_NODE, []))
_copy("copy of versions", {"s": {"v": (1.0, 0.5)}}, lambda p: p.software_versions(_NODE))


# --- the own interface -----------------------------------------------------------------


@decoder("host list", {"hosts": [["10.0.0.1:1", "engine", "a", False, 1]]}, ExternalSystemError)
def _hosts(data: bytes) -> object:
    http: Any = mock.Mock(request=mock.Mock(return_value=OwnReply(200, {}, data, True)))
    return HttpHostList(address="p:1", http=http).hosts()


@decoder("load report", {"running": 1, "queued": 0, "backlog": 0}, ExternalSystemError)
def _load(data: bytes) -> object:
    context = "memory=1 imported=0 recomputed=2"
    fields = {"x-context": context, "x-version": "v", "x-customer": "c"}
    found = read_head(Head(200, fields | {"x-load": data.decode("latin-1")}))
    return [found.memory, found.load.running]


@decoder("own Retry-After", "1", form="text")
def _pause(data: bytes) -> object:
    fields = {"x-started": "no", "retry-after": data.decode("latin-1")}
    return pause_seconds(Head(503, fields))
