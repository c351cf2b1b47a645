"""Read and check a node's settings file, JSON with comments.

All faults are found at once; each names the file, the path inside it, the
value and what was expected.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple, NotRequired, TypedDict, cast

import json5
import msgspec
from jsonschema import Draft202012Validator, ValidationError

__all__ = ["Fault", "Limits", "Settings", "SettingsError", "load"]

_ADDRESS = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
_DIGEST = r"^[0-9a-f]{64}$"


class Node(TypedDict):
    """Where this node listens, and its data centre."""

    http: str
    peer: str
    data_centre: str


class Platform(TypedDict):
    """Addresses of the platform's services."""

    table: str
    objects: str
    hosts: str
    timeout_seconds: NotRequired[float]


class Keys(TypedDict):
    """Digests of the operators' keys by name, and the key that peers share."""

    operators: dict[str, str]
    peer: str


class Limits(TypedDict):
    """Bounds on what callers may ask; sizes in bytes, times in seconds."""

    threads: int
    requests: int
    prompt_bytes: int
    max_tokens: int
    deadline_seconds: float
    claim_seconds: float
    stop_seconds: float
    entry_seconds: float
    sighting_bytes: float


class Settings(TypedDict):
    """All settings of one node."""

    node: Node
    platform: Platform
    keys: Keys
    peers: list[str]
    statsd: str
    limits: Limits
    policy: str
    log_level: str
    week_start: float


_DEFAULTS: Mapping[str, Any] = {
    "peers": [],
    "statsd": "",
    "policy": "cost",
    "log_level": "info",
    "week_start": 345_600.0,
    "limits": {
        "threads": 320,
        "requests": 300,
        "prompt_bytes": 4_000_000,
        "max_tokens": 4096,
        "deadline_seconds": 30.0,
        "claim_seconds": 1.0,
        "stop_seconds": 60.0,
        "entry_seconds": 10.0,
        "sighting_bytes": 8000.0,
    },
}

_PATTERNS: Mapping[str, str] = {
    "node.http": _ADDRESS,
    "node.peer": _ADDRESS,
    "node.data_centre": r"^[a-z0-9][a-z0-9-]*$",
    "platform.table": _ADDRESS,
    "platform.objects": _ADDRESS,
    "platform.hosts": _ADDRESS,
    "statsd": r"^$|" + _ADDRESS,
    "policy": "^(cost|cost-all|random|least-loaded|sticky|always-recompute|always-import)$",
    "log_level": "^(debug|info|warning|error)$",
}

_ABOVE_ZERO = (
    "limits.threads",
    "limits.requests",
    "limits.prompt_bytes",
    "limits.max_tokens",
    "limits.deadline_seconds",
    "limits.claim_seconds",
    "limits.stop_seconds",
    "limits.entry_seconds",
    "limits.sighting_bytes",
    "platform.timeout_seconds",
)


class Fault(NamedTuple):
    """One thing wrong: where, what was found, what was expected."""

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value}, expected {self.expected}"


class SettingsError(Exception):
    """A settings file that cannot be used; lists all of its faults."""

    def __init__(self, file: str, faults: list[Fault]) -> None:
        super().__init__("\n".join(f"{file}: {fault}" for fault in faults))
        self.faults = faults


def load(file: str | Path) -> Settings:
    """Return the checked settings in `file`, defaults filled in.

    Raise `SettingsError` when the file cannot be read or has faults.
    """
    try:
        raw = json5.loads(Path(file).read_text())
    except OSError as error:
        raise SettingsError(str(file), [_whole(error.strerror or "unreadable")]) from None
    except (ValueError, UnicodeDecodeError) as error:
        raise SettingsError(str(file), [_whole(str(error))]) from None
    faults = check(raw)
    if faults:
        raise SettingsError(str(file), faults)
    return _filled(raw)


def check(raw: Any) -> list[Fault]:
    """Return all faults of decoded settings, in the order of their paths."""
    validator = Draft202012Validator(_SCHEMA)
    return sorted(_fault(error) for error in validator.iter_errors(raw))


def _whole(problem: str) -> Fault:
    return Fault("(file)", problem, "a readable file of JSON with comments")


def _filled(raw: dict[str, Any]) -> Settings:
    limits = {**_DEFAULTS["limits"], **raw.get("limits", {})}
    return cast(Settings, {**_DEFAULTS, **raw, "limits": limits})


# --- the schema ------------------------------------------------------------


def _schema() -> dict[str, Any]:
    schema = msgspec.json.schema(Settings)
    for name, definition in schema["$defs"].items():
        definition["additionalProperties"] = definition.get("additionalProperties", False)
        if name == "Limits":
            definition.pop("required")
    root = schema["$defs"]["Settings"]
    root["required"] = ["node", "platform", "keys"]
    for path, pattern in _PATTERNS.items():
        _at(schema, path)["pattern"] = pattern
    for path in _ABOVE_ZERO:
        _at(schema, path)["exclusiveMinimum"] = 0
    root["properties"]["peers"]["items"]["pattern"] = _ADDRESS
    operators = _at(schema, "keys.operators")
    operators["additionalProperties"] = {"type": "string", "pattern": _DIGEST}
    operators["minProperties"] = 1
    _at(schema, "keys.peer")["minLength"] = 16
    return schema


def _at(schema: dict[str, Any], path: str) -> dict[str, Any]:
    place = schema["$defs"]["Settings"]
    for name in path.split("."):
        place = place["properties"][name]
        if "$ref" in place:
            place = schema["$defs"][place["$ref"].rsplit("/", 1)[1]]
    return place


_SCHEMA = _schema()


def _fault(error: ValidationError) -> Fault:
    path = ".".join(str(step) for step in error.absolute_path) or "(top)"
    match error.validator:
        case "required":
            missing = re.findall(r"'([^']+)' is a required", error.message)
            return Fault(path, f"{', '.join(missing)!r} is missing", "it to be set")
        case "additionalProperties":
            known = cast(dict[str, Any], error.schema).get("properties", {})
            unknown = sorted(set(cast(dict[str, Any], error.instance)) - set(known))
            found = f"unknown {', '.join(map(repr, unknown))}"
            return Fault(path, found, f"one of {', '.join(sorted(known))}")
        case "pattern":
            expected = f"text like {error.validator_value}"
        case "type":
            expected = f"a value of type {error.validator_value}"
        case "exclusiveMinimum":
            expected = f"a number above {error.validator_value}"
        case "minLength":
            expected = f"at least {error.validator_value} characters"
        case _:
            expected = error.message
    shown = "(a secret)" if path.startswith("keys.") else repr(error.instance)
    return Fault(path, shown, expected)
