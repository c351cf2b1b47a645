"""Fetch over HTTP from a stand-in or a test, one call at a time."""

from __future__ import annotations

import io
import json
from typing import Any, NamedTuple

import pycurl

__all__ = ["Fetched", "fetch", "fetch_json"]


class Fetched(NamedTuple):
    """An answer; `status` is 0 when there was none, or it was cut."""

    status: int
    body: bytes
    headers: dict[str, str]


def fetch(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> Fetched:
    """Return the answer to one call, on a connection of its own."""
    out = io.BytesIO()
    seen: dict[str, str] = {}

    def header(line: bytes) -> None:
        name, _, value = line.decode("latin-1").partition(":")
        if value:
            seen[name.strip().lower()] = value.strip()

    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout * 1000))
        sent = {"Expect": "", **(headers or {})}
        curl.setopt(pycurl.HTTPHEADER, [f"{name}: {value}" for name, value in sent.items()])
        if body is not None:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.CUSTOMREQUEST, method)
            curl.setopt(pycurl.POSTFIELDS, body)
        curl.setopt(pycurl.WRITEDATA, out)
        curl.setopt(pycurl.HEADERFUNCTION, header)
        curl.perform()
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
    except pycurl.error:
        status = 0
    finally:
        curl.close()
    return Fetched(status, out.getvalue(), seen)


def fetch_json(method: str, url: str, body: Any = None, **headers: str) -> Any:
    """Return the decoded JSON answer; raise ConnectionError for any failure."""
    raw = None if body is None else json.dumps(body).encode()
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    got = fetch(method, url, raw, {"Content-Type": "application/json", **named})
    if got.status not in range(200, 300):
        raise ConnectionError(f"{method} {url}: {got.status} {got.body[:200]!r}")
    return json.loads(got.body or b"null")
