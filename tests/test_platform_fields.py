"""Every field and header that the platform defines is read by the adapter, or skipped on purpose.

Failure: the entry of a target told the version of its program, and callers named the stream that
they resumed.  The adapter decoded neither, and nothing showed that it did not.
"""

from __future__ import annotations

import unittest
from typing import Any, NamedTuple

import msgspec
from fielddrift_node.web.messages import Headers
from fielddrift_platform import entry, headers, settings, targets, wire


class Message(NamedTuple):
    """A message of the platform: the names of its fields, and those that are not used, with why.

    `struct` is what the adapter decodes or encodes it with.
    """

    struct: Any
    fields: str
    skipped: dict[str, str] = {}


_NO_MOVES = "runs are not moved between engines, nor backed up"
_NO_LEASES = "no memory of engines is pinned or held ahead"
_HTTP_1 = "targets are called by HTTP/1.1 without TLS"
_SINGLE_PART = "rows of the nodes have an empty part"
_NOT_NEEDED = "nothing is decided by it"
_STORE_FIGURES = (
    "form writes-per-s reads-per-s tx-ms part-writes-s row-bytes across history-s blob-bytes"
    " blob-ms blob-mb-s"
)
_CHECKED_BOUNDS = (
    "seed-lag-s addr-reuse-s contact-ms ack-ms catch-up-s loss-slack-ms rollback-slack-ms"
    " max-skew-ms strict-revoke revoke-ms recovery-s max-transit-ms retry-after-s require-fence"
    " thaw-slack-ms version-all-ms evacuate-ms exposure-share exposure-slack rollback-ms"
)

MESSAGES = {
    "entry of a target": Message(
        wire._Entry,
        "service address zone version slots state cold-left-ms stage models seq born",
        {"stage": "engines of all stages are alike", "seq": "the version of the row tells changes"},
    ),
    "model of an entry": Message(
        wire._Model, "name version adapters", {"adapters": "no route names an adapter"}
    ),
    "configuration": Message(wire._Config, "version routes services limits tenants"),
    "route": Message(
        wire._Route,
        "name host path-prefix kind timeout-ms target-latency-ms priority service traffic-split"
        " max-attempts allow-anonymous sticky-sessions allow-resume gap-aim-ms",
        {"sticky-sessions": "prompts are recognised by their headers"},
    ),
    "share of a route": Message(wire._Split, "service weight"),
    "service": Message(
        wire._Service,
        "name health-path max-conns protocol tls engine kv-store-addr zone kv-capacity link-mbps"
        " max-inflight managed first_ms cold-start-s cold-per-s",
        {"protocol": _HTTP_1, "tls": _HTTP_1},
    ),
    "engines of a service": Message(
        wire._Engine,
        "slots kv-capacity kv-token-bytes link-mbps moves backups managed stride max-inflight"
        " pin-ms hold-ms handle_s models",
        {
            "moves": _NO_MOVES,
            "backups": _NO_MOVES,
            "handle_s": _NO_MOVES,
            "managed": "the service of the store host tells it",
            "stride": "events may hold any number of tokens",
            "pin-ms": _NO_LEASES,
            "hold-ms": _NO_LEASES,
        },
    ),
    "limits of callers": Message(
        wire._Limits, "max-header-bytes max-body-bytes header-timeout-ms idle-timeout-ms"
    ),
    "customer": Message(wire._Tenant, "name api-keys isolate priority"),
    "named weights": Message(wire._Weights, "model version"),
    "row": Message(wire.WireRow, "table part key value ver tombstone"),
    "answer with rows": Message(
        wire.RowsAnswer, "rows more-pages ver now-ms era", {"era": "sent as a header"}
    ),
    "transaction": Message(
        wire.TxRequest, "expected set-keys remove across", {"across": _SINGLE_PART}
    ),
    "row of a transaction": Message(wire.TxRow, "table part key value ver"),
    "report of an engine": Message(
        targets._Report,
        "stage models busy seq waiting running kv-used kv-total handles pinned held state leaves_ms"
        " next-token runs clock_ms born",
        {
            "stage": "engines of all stages are alike",
            "kv-used": "nodes count what they send",
            "kv-total": "the configuration tells it",
            "handles": _NO_MOVES,
            "pinned": _NO_LEASES,
            "held": _NO_LEASES,
            "next-token": _NOT_NEEDED,
            "runs": _NO_MOVES,
        },
    ),
    "model of a report": Message(
        targets._Model, "name version adapters", {"adapters": "no route names an adapter"}
    ),
    "order": Message(targets._Order, "op model version mode holder fence expected"),
    "events of a store": Message(targets._Events, "boot-epoch next-token lost events clock_ms"),
    "contents of a store": Message(targets._List, "boot-epoch next-token held partial clock_ms"),
    "parts to free": Message(targets._Free, "parts boot-epoch until_ms"),
    "answer to an entry request": Message(entry._Answer, "addresses ttl-s"),
    "settings": Message(
        settings._Boot,
        "node-name role machine-class serves ip zone region port-range seeds bootstrap in-tolerance"
        " discovery entry heartbeat-ms contracts zones listen limits fault-tolerance bounds"
        " platform",
        {
            "role": "every host runs the same node",
            "machine-class": "every host runs the same node",
            "serves": "`listen` tells the addresses",
            "bootstrap": "nodes start alike at any time",
            "in-tolerance": _NOT_NEEDED,
            "discovery": "targets are found in the platform's store",
            "entry": "callers ask for entry addresses",
            "heartbeat-ms": _NOT_NEEDED,
            "contracts": "all are kept",
            "fault-tolerance": "any number of hosts may be lost",
        },
    ),
    "addresses of the settings": Message(settings._Listen, "front ready control directory"),
    "limits of the settings": Message(
        settings._Limits,
        "cpu-share cores memory-mb max-fds link-mbps disk-mb",
        {"max-fds": "connections are bounded by their targets", "disk-mb": "nodes use no disk"},
    ),
    "bounds of the settings": Message(
        settings._Bounds,
        f"drain-ms grace-s retry-budget-ratio budget-window-s budget-slack lease-ms version-ms"
        f" config-apply-ms cold-overage cold-slack ttl_max_s {_CHECKED_BOUNDS}",
        dict.fromkeys(_CHECKED_BOUNDS.split(), "checked from outside: nodes react at once"),
    ),
    "store of the settings": Message(
        settings._Store,
        f"address {_STORE_FIGURES}",
        dict.fromkeys(_STORE_FIGURES.split(), "far above what the nodes use"),
    ),
}
"""The platform's messages, and which of their fields the adapter leaves out."""

READ = (
    "X-Request-Id X-Deadline-Ms X-Credential X-Model X-Token-Usage X-Prompt-Prefix Last-Event-Id"
    " Resumes X-Not-Executed X-Instance-Id X-Weight-Versions Retry-After Server-Leaving"
    " Server-Limit Server-Brittle Store-Era X-Response-Seal Content-Encoding"
)
"""Headers that decide something."""
SET = (
    "X-Tenant X-Expect-Instance X-Expect-Version X-Cache-Salt X-Kv-Fetch X-Kv-Save X-Kv-Until"
    " X-Request-Priority Wait-Ms"
)
"""Headers that only the node sets."""
UNUSED = {
    "X-Length-Hint": "passed on; a guess that is often far off",
    "X-Pin-Ms": _NO_LEASES,
    "X-Hold": _NO_LEASES,
    "X-Kv-Backup": _NO_MOVES,
    "Kv-From": _NO_MOVES,
}
"""Headers that decide nothing, and why."""


OF_A_CONNECTION = "Connection Keep-Alive Transfer-Encoding TE Trailer Upgrade"
"""Headers of HTTP that apply to one connection, and are not passed on."""
PASSED_ON = "Content-Encoding Content-Type Accept-Encoding"
"""Headers of HTTP that say what a body is, or may be: bodies are passed on as they are.  A success
with the first one is not passed on."""


def _names(struct: Any) -> set[str]:
    return {field.encode_name for field in msgspec.structs.fields(struct)}


class TestFields(unittest.TestCase):
    def test_each_field_is_read_or_skipped_on_purpose(self) -> None:
        for name, message in MESSAGES.items():
            defined = set(message.fields.split())
            decoded = _names(message.struct)
            with self.subTest(name):
                self.assertEqual(defined - decoded - message.skipped.keys(), set(), "not read")
                self.assertEqual(decoded - defined, set(), "not defined by the platform")
                self.assertEqual(message.skipped.keys() - defined, set(), "not defined")

    def test_each_message_of_the_adapter_is_compared(self) -> None:
        compared = {message.struct for message in MESSAGES.values()}
        # The settings are compared as the file that they are loaded from.
        compared |= {settings.PlatformSettings}
        for module in (entry, settings, targets, wire):
            found = {
                each
                for each in vars(module).values()
                if isinstance(each, type)
                and issubclass(each, msgspec.Struct)
                and each.__module__ == module.__name__
            }
            self.assertEqual(found - compared, set(), module.__name__)

    def test_each_header_has_a_name_in_the_adapter(self) -> None:
        named = {
            value.decode()
            for name, value in vars(headers).items()
            if name.isupper() and isinstance(value, bytes)
        } | {each.decode() for each in headers.SYSTEM_ONLY}
        defined = {name.lower() for name in (*READ.split(), *SET.split(), *UNUSED)}
        self.assertEqual(defined, named)

    def test_headers_of_http_are_passed_on_unless_they_apply_to_one_connection(self) -> None:
        names = [name.encode() for name in (*OF_A_CONNECTION.split(), *PASSED_ON.split())]
        given = Headers([(name, b"x") for name in (b"Content-Length", *names)])
        kept = [name.decode() for name, _ in given.without_hop_by_hop()]
        self.assertEqual(kept, PASSED_ON.split())

    def test_no_caller_sets_a_header_of_the_system(self) -> None:
        system = {name.lower().encode() for name in SET.split()} - {headers.WAIT_MS}
        self.assertEqual(system - headers.SYSTEM_ONLY, set())
