"""Check answers against what a fresh run of the engine stand-in would give."""

from __future__ import annotations

import json
from typing import Any

from .answers import answer, kv_chain
from .fetch import Fetched, fetch_json
from .fleet import Fleet

__all__ = ["customer_salt", "expected_text", "is_whole", "problem", "text_of"]


def customer_salt(fleet: Fleet, customer: str) -> str:
    """Return a customer's salt, read from the log in the platform's table."""
    url = f"http://{fleet.addresses['table']}/scan"
    rows = fetch_json("POST", url, {"prefix": "config/log/", "after": "", "limit": 1000})["rows"]
    for _, value, _ in rows:
        name, fields = json.loads(json.loads(value)[3])
        if name == "CreateCustomer" and fields[0] == customer:
            return str(fields[3])
    raise LookupError(f"customer: {customer!r}, expected one in the log")


def expected_text(fleet: Fleet, customer: str, prompt: str, version: str, count: int) -> str:
    """Return the text of a run that computes all of its context."""
    salt = customer_salt(fleet, customer)
    raw = prompt.encode()
    words = answer(raw, kv_chain(raw, version, salt), version, salt, count)
    return "".join(f"{word} " for word in words)


def text_of(got: Fetched) -> str:
    """Return the text of a completion, streamed or not."""
    if got.headers.get("content-type") == "application/json":
        return str(json.loads(got.body)["choices"][0]["text"])
    lines = [line[6:] for line in got.body.split(b"\n") if line.startswith(b'data: {"choices"')]
    return "".join(json.loads(line)["choices"][0]["text"] for line in lines)


def is_whole(got: Fetched) -> bool:
    """Return whether a streamed answer carries the marked end."""
    return b"event: end\n" in got.body


def problem(got: Fetched) -> dict[str, Any]:
    """Return the problem document of a refusal."""
    found: dict[str, Any] = json.loads(got.body)
    return found
