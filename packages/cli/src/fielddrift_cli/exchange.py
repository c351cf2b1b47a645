"""Make one HTTP request to a node."""

from __future__ import annotations

import io
from collections.abc import Sequence

import pycurl

__all__ = ["NoAnswer", "exchange"]

_CONNECT_SECONDS = 2


class NoAnswer(Exception):
    """The node did not answer, or not in time."""


def exchange(
    url: str, *, seconds: int, body: bytes | None = None, headers: Sequence[str] = ()
) -> tuple[int, bytes]:
    """Return the status and the body of an answer; with `body` the request is a POST."""
    out = io.BytesIO()
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.CONNECTTIMEOUT, _CONNECT_SECONDS)
    curl.setopt(pycurl.TIMEOUT, seconds)
    curl.setopt(pycurl.HTTPHEADER, list(headers))
    curl.setopt(pycurl.WRITEDATA, out)
    if body is not None:
        curl.setopt(pycurl.POSTFIELDS, body)
    try:
        curl.perform()
        return int(curl.getinfo(pycurl.RESPONSE_CODE)), out.getvalue()
    except pycurl.error as error:
        raise NoAnswer(str(error)) from None
    finally:
        curl.close()
