"""The operator takes away every key: requests with dropped and with unknown keys must not run."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import TROUBLE, Case  # noqa: E402
from standins.fleet import Fleet, ask_stream  # noqa: E402

_TENANTS = {
    "jeye930": ["nu6wsjnbanfqasnmgkcu"],
    "molo114": ["qp0vxtkd2rhaz81mceyb"],
    "sabe572": ["w7gjr5ufs93ondkl4hit"],
}
_UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz"
"""No configuration ever holds it."""
_GAP_SECONDS = 0.4
_APPLY_SECONDS = 2.0
"""`config-apply-ms`."""
_MARGIN_SECONDS = 2.0
_TOKENS = 3


async def _ask(fleet: Fleet, name: str, keys: Sequence[str]) -> dict[str, str]:
    """Ask each node once with each key; return the key that each request carried."""
    sent: dict[str, str] = {}
    for node in fleet.nodes:
        for key in keys:
            request_id = f"{name}-{len(sent)}"
            sent[request_id] = key
            fleet.note("client sends", id=request_id, node=node.name, key=key)
            answer = await ask_stream(node, "/draft/2f", request_id, tokens=_TOKENS, key=key)
            fleet.note("client received", id=request_id, status=answer.status, body=answer.error)
    return sent


class NoKeyLeft(Case):
    """The operator takes every key away."""

    rule = "CONFIG or ROUTE"

    async def play(self, fleet: Fleet) -> list[str]:
        """Play the case; return a line for each breach of the rule."""
        keys = [key for held in _TENANTS.values() for key in held]
        fleet.configure(version=3, tenants=_TENANTS)
        await fleet.worker("i-one", pace_seconds=0.02)
        await fleet.worker("i-two", pace_seconds=0.02, zone="messina-b")
        for number in range(3):
            fleet.node(number)
        await fleet.wait_ready()
        await asyncio.sleep(2.0)
        await _ask(fleet, "before", keys)
        held = {name: list(own) for name, own in _TENANTS.items()}
        for version, name in enumerate(_TENANTS, start=4):
            if TROUBLE:
                held[name] = []
                fleet.configure(version=version, tenants=held)
                fleet.note("operator takes the key away", tenant=name, version=version)
            await asyncio.sleep(_GAP_SECONDS)
        await asyncio.sleep(_APPLY_SECONDS + _MARGIN_SECONDS)
        valid = {key for own in held.values() for key in own}
        sent = await _ask(fleet, "after", [*keys, _UNKNOWN_KEY])
        ran = {line["id"] for line in fleet.runs() if line["what"] == "runs"}
        found = []
        for request_id, key in sent.items():
            if request_id in ran and key not in valid:
                what = "a key never held" if key == _UNKNOWN_KEY else "a dropped key"
                found.append(f"{request_id} ran with {what}")
        return found


if __name__ == "__main__":
    sys.exit(NoKeyLeft(folder=Path(__file__).parent).run())
