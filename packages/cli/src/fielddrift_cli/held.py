"""Show which requests nodes hold back, and let one go."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple
from urllib.parse import quote

from tabulate import tabulate

from .beliefs import Answer
from .exchange import NoAnswer, exchange

__all__ = ["Lifted", "lift", "table"]

_ANSWER_SECONDS = 5
_OK = 200


class Lifted(NamedTuple):
    """Whether the node at `address` let a request go; `fault` says why not."""

    address: str
    fault: str = ""


def lift(address: str, fingerprint: str) -> Lifted:
    """Ask the node whose metrics address is `address` to let a request go; it tells the others."""
    url = f"http://{address}/lift/{quote(fingerprint, safe='')}"
    try:
        status, body = exchange(url, seconds=_ANSWER_SECONDS, body=b"")
    except NoAnswer as error:
        return Lifted(address, str(error))
    if status != _OK:
        return Lifted(address, f"status {status}: {body.decode('utf-8', 'replace')}")
    return Lifted(address)


def table(answers: Iterable[Answer]) -> str:
    """Return what the nodes hold back, a line a request and node."""
    rows = [
        [each["fingerprint"], answer.beliefs["node"], each["seconds"], ", ".join(each["targets"])]
        for answer in answers
        if answer.beliefs is not None
        for each in answer.beliefs.get("held", [])
    ]
    headers = ["request", "node", "s left", "targets that ended under it"]
    return tabulate(sorted(rows), headers=headers)
