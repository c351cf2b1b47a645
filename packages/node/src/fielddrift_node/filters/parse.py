"""Check what the caller sent, naming the place, the value and what was expected."""

from __future__ import annotations

import re
from typing import Any

import msgspec
from fielddrift_core.errors import ErrorKind, Refusal
from result import Err, Ok, Result
from werkzeug.exceptions import ClientDisconnected, RequestEntityTooLarge
from werkzeug.wrappers import Request

from .. import clock
from ..exchange import CompletionAsk, Exchange, ServiceAsk
from ..settle import KEY_HEADER

__all__ = ["parse_completion", "parse_service"]

DEADLINE_HEADER = "Fielddrift-Deadline"
NOT_REPEATABLE_HEADER = "Fielddrift-Not-Repeatable"

_KEY = re.compile(r"[\x21-\x7e]{1,128}")
_LONGEST_DEADLINE = 3600.0
_JSON_OVERHEAD = 65_536
_HIGHEST_PRIORITY = 9


class _Body(msgspec.Struct, forbid_unknown_fields=True):
    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    priority: int = 0


class _Malformed(Exception):
    def __init__(self, detail: str, kind: ErrorKind = ErrorKind.BAD_REQUEST) -> None:
        super().__init__(detail)
        self.refusal = Refusal(kind, detail)


def parse_completion(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Read and check a completion's body and headers."""
    limits = exchange.runtime.settings["limits"]
    try:
        raw = _read(exchange.request, limits["prompt_bytes"] + _JSON_OVERHEAD)
        body = _decode(raw)
        _check("model", body.model, bool(body.model), "the name of a model")
        _check("prompt", "(empty)", bool(body.prompt), "text")
        _check_range("max_tokens", body.max_tokens, 1, limits["max_tokens"])
        _check_range("priority", body.priority, 0, _HIGHEST_PRIORITY)
        size = len(body.prompt.encode())
        if size > limits["prompt_bytes"]:
            detail = f"prompt: {size} bytes, expected at most {limits['prompt_bytes']}"
            raise _Malformed(detail, ErrorKind.TOO_LARGE)
        _take_headers(exchange)
        alone = exchange.repeatable or not body.stream
        _check("stream", body.stream, alone, "false for a request that may not be repeated")
    except _Malformed as error:
        return Err(error.refusal)
    exchange.completion = CompletionAsk(*msgspec.structs.astuple(body))
    return Ok(exchange)


def parse_service(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Read and check a service call."""
    request = exchange.request
    try:
        body = _read(request, exchange.runtime.settings["limits"]["prompt_bytes"])
        _take_headers(exchange)
    except _Malformed as error:
        return Err(error.refusal)
    exchange.call = ServiceAsk(
        service=exchange.path["name"],
        method=request.method,
        path=exchange.path["path"],
        query=request.query_string.decode("latin-1"),
        body=body,
        content_type=request.headers.get("Content-Type", ""),
    )
    return Ok(exchange)


def _read(request: Request, limit: int) -> bytes:
    request.max_content_length = limit
    try:
        return request.get_data(cache=False)
    except RequestEntityTooLarge:
        detail = f"body: {request.content_length} bytes, expected at most {limit}"
        raise _Malformed(detail, ErrorKind.TOO_LARGE) from None
    except ClientDisconnected:
        raise _Malformed("body: shorter than its Content-Length") from None


def _decode(raw: bytes) -> _Body:
    try:
        return msgspec.json.decode(raw, type=_Body)
    except UnicodeDecodeError as error:
        raise _Malformed(f"body: {error}, expected UTF-8") from None
    except msgspec.DecodeError as error:
        raise _Malformed(f"body: {error}") from None


def _check(place: str, value: Any, right: bool, expected: str) -> None:
    if not right:
        raise _Malformed(f"{place}: {value!r}, expected {expected}")


def _check_range(place: str, value: float, low: float, high: float) -> None:
    _check(place, value, low <= value <= high, f"{low} to {high}")


def _take_headers(exchange: Exchange) -> None:
    headers = exchange.request.headers
    exchange.key = headers.get(KEY_HEADER, "")
    if exchange.key:
        right = _KEY.fullmatch(exchange.key) is not None
        _check(KEY_HEADER, exchange.key[:40], right, "1 to 128 visible ASCII characters")
    mark = headers.get(NOT_REPEATABLE_HEADER, "false").lower()
    _check(NOT_REPEATABLE_HEADER, mark, mark in ("true", "false"), "true or false")
    exchange.repeatable = mark == "false"
    exchange.deadline = clock.now() + _deadline(exchange)


def _deadline(exchange: Exchange) -> float:
    raw = exchange.request.headers.get(DEADLINE_HEADER)
    if raw is None:
        return exchange.runtime.settings["limits"]["deadline_seconds"]
    try:
        seconds = float(raw)
    except ValueError:
        seconds = float("nan")
    right = 0 < seconds <= _LONGEST_DEADLINE
    _check(DEADLINE_HEADER, raw, right, f"seconds above 0, at most {_LONGEST_DEADLINE:.0f}")
    return seconds
