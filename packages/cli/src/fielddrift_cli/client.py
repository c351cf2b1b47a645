"""Send statements to a node, moving on to another when one does not answer."""

from __future__ import annotations

import json
import uuid
from typing import Any, NamedTuple

from fielddrift_core.errors import ErrorKind

from .exchange import NoAnswer, exchange

__all__ = ["Client", "Outcome"]

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
        return Outcome(None, {"type": f"urn:fielddrift:{ErrorKind.NO_TARGET}", "detail": detail})

    def _post(self, node: str, body: bytes) -> tuple[int, bytes]:
        headers = [f"Authorization: Bearer {self._key}", "Content-Type: application/json"]
        url = f"http://{node}/v1/operators/statements"
        try:
            return exchange(url, seconds=_ANSWER_SECONDS, body=body, headers=headers)
        except NoAnswer:
            return 0, b""


def _outcome(status: int, raw: bytes) -> Outcome:
    try:
        body = json.loads(raw)
    except ValueError:
        body = {"detail": raw.decode("utf-8", "replace")}
    return Outcome(body, None) if status == _OK else Outcome(None, body)
