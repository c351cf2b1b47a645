"""Read and validate a node's settings file, which is JSON with comments.

All faults are reported at once, each with the file, the path inside it, the
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

_ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
_DIGEST_PATTERN = r"^[0-9a-f]{64}$"


class Node(TypedDict):
    """Addresses at which this node listens, and its data centre."""

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
    """Digests of the operators' keys by operator name, and the key shared by all nodes."""

    operators: dict[str, str]
    peer: str


class Limits(TypedDict):
    """Limits on requests and on the node's resources; sizes in bytes, times in seconds."""

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
    "node.http": _ADDRESS_PATTERN,
    "node.peer": _ADDRESS_PATTERN,
    "node.data_centre": r"^[a-z0-9][a-z0-9-]*$",
    "platform.table": _ADDRESS_PATTERN,
    "platform.objects": _ADDRESS_PATTERN,
    "platform.hosts": _ADDRESS_PATTERN,
    "statsd": r"^$|" + _ADDRESS_PATTERN,
    "policy": "^(cost|cost-all|random|least-loaded|sticky|always-recompute|always-import)$",
    "log_level": "^(debug|info|warning|error)$",
}

_POSITIVE_PATHS = (
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
    """One fault of a settings file: its path, the value found, and what was expected."""

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value}, expected {self.expected}"


class SettingsError(Exception):
    """Raised for a settings file that is not valid; `faults` lists all of its faults."""

    def __init__(self, file: str, faults: list[Fault]) -> None:
        super().__init__("\n".join(f"{file}: {fault}" for fault in faults))
        self.faults = faults


def load(file: str | Path) -> Settings:
    """Return the validated settings in `file`, with defaults for missing ones.

    Raises `SettingsError` if the file cannot be read or has faults.
    """
    try:
        raw = json5.loads(Path(file).read_text())
    except OSError as error:
        raise SettingsError(str(file), [_file_fault(error.strerror or "unreadable")]) from None
    except (ValueError, UnicodeDecodeError) as error:
        raise SettingsError(str(file), [_file_fault(str(error))]) from None
    faults = check(raw)
    if faults:
        raise SettingsError(str(file), faults)
    return _with_defaults(raw)


def check(raw: Any) -> list[Fault]:
    """Return all faults of the decoded settings, sorted by path."""
    validator = Draft202012Validator(_SCHEMA)
    return sorted(_to_fault(error) for error in validator.iter_errors(raw))


def _file_fault(problem: str) -> Fault:
    return Fault("(file)", problem, "a readable file of JSON with comments")


def _with_defaults(raw: dict[str, Any]) -> Settings:
    limits = {**_DEFAULTS["limits"], **raw.get("limits", {})}
    return cast(Settings, {**_DEFAULTS, **raw, "limits": limits})


# --- schema ----------------------------------------------------------------


def _schema() -> dict[str, Any]:
    schema = msgspec.json.schema(Settings)
    for name, definition in schema["$defs"].items():
        definition["additionalProperties"] = definition.get("additionalProperties", False)
        if name == "Limits":
            definition.pop("required")
    root = schema["$defs"]["Settings"]
    root["required"] = ["node", "platform", "keys"]
    for path, pattern in _PATTERNS.items():
        _find_property(schema, path)["pattern"] = pattern
    for path in _POSITIVE_PATHS:
        _find_property(schema, path)["exclusiveMinimum"] = 0
    root["properties"]["peers"]["items"]["pattern"] = _ADDRESS_PATTERN
    operators = _find_property(schema, "keys.operators")
    operators["additionalProperties"] = {"type": "string", "pattern": _DIGEST_PATTERN}
    operators["minProperties"] = 1
    _find_property(schema, "keys.peer")["minLength"] = 16
    return schema


def _find_property(schema: dict[str, Any], path: str) -> dict[str, Any]:
    definition = schema["$defs"]["Settings"]
    for name in path.split("."):
        definition = definition["properties"][name]
        if "$ref" in definition:
            definition = schema["$defs"][definition["$ref"].rsplit("/", 1)[1]]
    return definition


_SCHEMA = _schema()


def _to_fault(error: ValidationError) -> Fault:
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
            expected = f"text that matches {error.validator_value}"
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
