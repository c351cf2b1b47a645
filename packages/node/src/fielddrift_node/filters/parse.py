"""Parse and validate requests; a refusal names the field, its value and what was expected."""

from __future__ import annotations

import re
from typing import Any

import msgspec
from fielddrift_core.errors import ErrorKind, Refusal
from result import Err, Ok, Result
from werkzeug.exceptions import ClientDisconnected, RequestEntityTooLarge
from werkzeug.wrappers import Request

from .. import clock
from ..exchange import CompletionRequest, Exchange, ServiceRequest
from ..settle import KEY_HEADER

__all__ = ["parse_completion", "parse_service"]

_DEADLINE_HEADER = "Fielddrift-Deadline"
_NOT_REPEATABLE_HEADER = "Fielddrift-Not-Repeatable"

_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
_MAX_DEADLINE_SECONDS = 3600.0
_JSON_OVERHEAD_BYTES = 65_536
"""Bytes that the body of a completion may have in addition to the limit of the prompt."""
_MAX_PRIORITY = 9


class _CompletionBody(msgspec.Struct, forbid_unknown_fields=True):
    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    priority: int = 0


class _InvalidRequest(Exception):
    def __init__(self, detail: str, kind: ErrorKind = ErrorKind.BAD_REQUEST) -> None:
        super().__init__(detail)
        self.refusal = Refusal(kind, detail)


def parse_completion(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Set the completion from the request's body and headers, or refuse invalid ones."""
    limits = exchange.runtime.settings["limits"]
    try:
        raw = _read_body(exchange.request, limits["prompt_bytes"] + _JSON_OVERHEAD_BYTES)
        body = _decode_body(raw)
        _require("model", body.model, bool(body.model), "the name of a model")
        _require("prompt", "(empty)", bool(body.prompt), "text")
        _require_range("max_tokens", body.max_tokens, 1, limits["max_tokens"])
        _require_range("priority", body.priority, 0, _MAX_PRIORITY)
        size = len(body.prompt.encode())
        if size > limits["prompt_bytes"]:
            detail = f"prompt: {size} bytes, expected at most {limits['prompt_bytes']}"
            raise _InvalidRequest(detail, ErrorKind.TOO_LARGE)
        _parse_headers(exchange)
        streaming_allowed = exchange.repeatable or not body.stream
        _require(
            "stream", body.stream, streaming_allowed, "false for a request that may not be repeated"
        )
    except _InvalidRequest as error:
        return Err(error.refusal)
    exchange.completion = CompletionRequest(*msgspec.structs.astuple(body))
    return Ok(exchange)


def parse_service(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Set the service call from the request, or refuse an invalid one."""
    request = exchange.request
    try:
        body = _read_body(request, exchange.runtime.settings["limits"]["prompt_bytes"])
        _parse_headers(exchange)
    except _InvalidRequest as error:
        return Err(error.refusal)
    exchange.call = ServiceRequest(
        service=exchange.path["name"],
        method=request.method,
        path=exchange.path["path"],
        query=request.query_string.decode("latin-1"),
        body=body,
        content_type=request.headers.get("Content-Type", ""),
    )
    return Ok(exchange)


def _read_body(request: Request, limit: int) -> bytes:
    request.max_content_length = limit
    try:
        return request.get_data(cache=False)
    except RequestEntityTooLarge:
        detail = f"body: {request.content_length} bytes, expected at most {limit}"
        raise _InvalidRequest(detail, ErrorKind.TOO_LARGE) from None
    except ClientDisconnected:
        raise _InvalidRequest("body: shorter than its Content-Length") from None


def _decode_body(raw: bytes) -> _CompletionBody:
    try:
        return msgspec.json.decode(raw, type=_CompletionBody)
    except UnicodeDecodeError as error:
        raise _InvalidRequest(f"body: {error}, expected UTF-8") from None
    except msgspec.DecodeError as error:
        raise _InvalidRequest(f"body: {error}") from None


def _require(field_name: str, value: Any, valid: bool, expected: str) -> None:
    if not valid:
        raise _InvalidRequest(f"{field_name}: {value!r}, expected {expected}")


def _require_range(field_name: str, value: float, low: float, high: float) -> None:
    _require(field_name, value, low <= value <= high, f"{low} to {high}")


def _parse_headers(exchange: Exchange) -> None:
    headers = exchange.request.headers
    exchange.key = headers.get(KEY_HEADER, "")
    if exchange.key:
        valid = _KEY_PATTERN.fullmatch(exchange.key) is not None
        _require(KEY_HEADER, exchange.key[:40], valid, "1 to 128 visible ASCII characters")
    flag_value = headers.get(_NOT_REPEATABLE_HEADER, "false").lower()
    _require(_NOT_REPEATABLE_HEADER, flag_value, flag_value in ("true", "false"), "true or false")
    exchange.repeatable = flag_value == "false"
    exchange.deadline = clock.now() + _parse_deadline(exchange)


def _parse_deadline(exchange: Exchange) -> float:
    raw = exchange.request.headers.get(_DEADLINE_HEADER)
    if raw is None:
        return exchange.runtime.settings["limits"]["deadline_seconds"]
    try:
        seconds = float(raw)
    except ValueError:
        seconds = float("nan")
    valid = 0 < seconds <= _MAX_DEADLINE_SECONDS
    _require(_DEADLINE_HEADER, raw, valid, f"seconds above 0, at most {_MAX_DEADLINE_SECONDS:.0f}")
    return seconds
