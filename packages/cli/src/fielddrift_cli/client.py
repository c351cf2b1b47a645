"""Send statements to a node, moving on to another when one does not answer."""

from __future__ import annotations

import io
import json
import uuid
from typing import Any, NamedTuple

import pycurl
from fielddrift_core.errors import Kind

__all__ = ["Client", "Outcome"]

_CONNECT_SECONDS = 2
_ANSWER_SECONDS = 90
_OK = 200


class Outcome(NamedTuple):
    """A statement's answer, or the problem document of its refusal."""

    answer: dict[str, Any] | None
    problem: dict[str, Any] | None


class Client:
    """Send statements to the first of some nodes that answers.

    A change carries an id of its own, so that sending it to another node
    after a lost answer does not make it twice.
    """

    def __init__(self, *, nodes: tuple[str, ...], key: str) -> None:
        self._nodes = nodes
        self._key = key

    def run(self, statement: str, *, wait: float, since: int | None) -> Outcome:
        """Run one statement."""
        asked: dict[str, Any] = {
            "statement": statement,
            "change_id": uuid.uuid4().hex,
            "wait": wait,
        }
        if since is not None:
            asked["since"] = since
        body = json.dumps(asked).encode()
        for node in self._nodes:
            status, raw = self._post(node, body)
            if status:
                return _outcome(status, raw)
        detail = f"none of {', '.join(self._nodes)} answers"
        return Outcome(None, {"type": f"urn:fielddrift:{Kind.NO_TARGET}", "detail": detail})

    def _post(self, node: str, body: bytes) -> tuple[int, bytes]:
        out = io.BytesIO()
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, f"http://{node}/v1/operators/statements")
        curl.setopt(pycurl.POSTFIELDS, body)
        curl.setopt(pycurl.CONNECTTIMEOUT, _CONNECT_SECONDS)
        curl.setopt(pycurl.TIMEOUT, _ANSWER_SECONDS)
        curl.setopt(
            pycurl.HTTPHEADER,
            [f"Authorization: Bearer {self._key}", "Content-Type: application/json"],
        )
        curl.setopt(pycurl.WRITEDATA, out)
        try:
            curl.perform()
            return int(curl.getinfo(pycurl.RESPONSE_CODE)), out.getvalue()
        except pycurl.error:
            return 0, b""
        finally:
            curl.close()


def _outcome(status: int, raw: bytes) -> Outcome:
    try:
        body = json.loads(raw)
    except ValueError:
        body = {"detail": raw.decode("utf-8", "replace")}
    return Outcome(body, None) if status == _OK else Outcome(None, body)
