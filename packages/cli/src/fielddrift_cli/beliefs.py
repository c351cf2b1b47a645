"""Show what serving nodes believe, how old it is and from whom they have it."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any, NamedTuple

from tabulate import tabulate

from .exchange import NoAnswer, exchange

__all__ = ["Answer", "ask", "tables"]

_ANSWER_SECONDS = 5
_OK = 200
_UNKNOWN = "-"


class Answer(NamedTuple):
    """What the node at `address` answered, or why there is no answer."""

    address: str
    beliefs: dict[str, Any] | None
    fault: str = ""


def ask(address: str) -> Answer:
    """Ask the node whose metrics address is `address`."""
    try:
        status, body = exchange(f"http://{address}/beliefs", seconds=_ANSWER_SECONDS)
    except NoAnswer as error:
        return Answer(address, None, str(error))
    if status != _OK:
        return Answer(address, None, f"status {status}, expected {_OK}")
    try:
        return Answer(address, json.loads(body))
    except ValueError as error:
        return Answer(address, None, f"answer is no JSON: {error}")


def tables(answers: Iterable[Answer]) -> str:
    """Return the answers as tables: all nodes in one, then what each believes."""
    found = [answer.beliefs for answer in answers if answer.beliefs is not None]
    return "\n\n".join([_nodes(found), *(_details(beliefs) for beliefs in found)])


def _nodes(found: list[dict[str, Any]]) -> str:
    """Return one line a node: side by side, the one that fell behind is seen at once."""
    rows = [
        [
            beliefs["node"],
            "active" if beliefs["active"] else "standing by",
            "stale" if beliefs["stale"] else "",
            "none" if beliefs.get("disconnected") else "",
            beliefs["catalog"],
            beliefs.get("era"),
            beliefs["operators_row"],
            beliefs["operators_seconds"],
            beliefs["targets_row"],
            beliefs["targets_seconds"],
            beliefs["reader"] or "itself",
            _pairs(beliefs["named"]),
            ", ".join(beliefs.get("evacuated", [])),
            ", ".join(beliefs.get("brittle", [])),
        ]
        for beliefs in found
    ]
    headers = "node,role,view,targets reached,catalog,era,operators' row,age s,targets' row,age s"
    headers += ",reads from,weights,evacuated,brittle"
    return tabulate(rows, headers=headers.split(","), missingval=_UNKNOWN)


def _details(beliefs: dict[str, Any]) -> str:
    targets = [
        [
            target["name"],
            target["service"],
            "leaving" if target["leaving"] else "",
            _pairs(target["weights"]),
            target["burden"]["running"],
            target["burden"]["unread"],
            target["failures"],
            target["loading"],
            "cold" if target.get("cold") else "",
            target.get("limit"),
            target.get("paused") or "",
            target.get("silent"),
            target.get("path", ""),
            target.get("concurrency") or "",
            target.get("work_seconds") or "",
        ]
        for target in beliefs["targets"]
    ]
    stores = [
        [store[name] for name in ("address", "life", "parts", "tokens", "heard_seconds")]
        for store in beliefs["stores"]
    ]
    nodes = [
        [
            node["name"],
            node["data_centre"],
            node["silent_seconds"],
            "active" if node["active"] else "",
            "serves" if node["serves"] else "",
        ]
        for node in beliefs["nodes"]
    ]
    held = [
        [each["fingerprint"], each["seconds"], ", ".join(each["targets"])]
        for each in beliefs.get("held", [])
    ]
    parts = [
        ("held back request,s left,targets that ended under it", held),
        (
            "target,service,leaving,weights,runs,unread,failures,loading s,cold,limit,paused s,"
            "silent s,path,concurrency,work s",
            targets,
        ),
        ("store,life,parts,tokens,heard s ago", stores),
        ("neighbour,data centre,silent s,role,serves", nodes),
    ]
    text = [f"{beliefs['node']} believes:"]
    text += [
        tabulate(rows, headers=headers.split(","), missingval=_UNKNOWN)
        for headers, rows in parts
        if rows or rows is not held
    ]
    return "\n".join(text)


def _pairs(versions: dict[str, Any]) -> str:
    return ", ".join(f"{name} {version}" for name, version in sorted(versions.items()))
