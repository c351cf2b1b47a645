"""Take operators' statements: changes go to the log, queries are answered."""

from __future__ import annotations

import hashlib
import hmac
import secrets
import time
import uuid
from collections.abc import Mapping
from typing import Any

import msgspec
from fielddrift_core.commands import Command, CreateCustomer, Rejected, RotateKey
from fielddrift_core.errors import ErrorKind, Refusal
from fielddrift_core.grammar import GeneratedSecrets, Lift, Query, parse
from fielddrift_core.membership import Status

from . import clock
from .configuration import Accepted
from .filters.identify import bearer_key
from .queries import Nodes, answer
from .runtime import Runtime

__all__ = ["Operators"]

_LONGEST_WAIT = 60.0
_LOOK_SECONDS = 0.1
_KEY_BYTES = 32


class _Statement(msgspec.Struct, forbid_unknown_fields=True):
    statement: str
    change_id: str = ""
    since: int | None = None
    wait: float = 0.0


class Operators:
    """Run one statement for the operator whose key came with it."""

    def __init__(self, *, runtime: Runtime, nodes: Nodes, keys: Mapping[str, str]) -> None:
        self._runtime = runtime
        self._nodes = nodes
        self._keys = keys

    def run(self, authorization: str, raw: bytes) -> dict[str, Any] | Refusal:
        """Return the statement's answer, or why there is none."""
        operator = self._operator(bearer_key(authorization))
        if operator is None:
            return Refusal(ErrorKind.UNAUTHORIZED, "Authorization: not the key of an operator")
        try:
            asked = msgspec.json.decode(raw, type=_Statement)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Refusal(ErrorKind.BAD_REQUEST, f"body: {error}")
        if not 0 <= asked.wait <= _LONGEST_WAIT:
            detail = f"wait: {asked.wait}, expected 0 to {_LONGEST_WAIT:.0f} seconds"
            return Refusal(ErrorKind.BAD_REQUEST, detail)
        fresh = GeneratedSecrets(secrets.token_urlsafe(_KEY_BYTES), secrets.token_hex(_KEY_BYTES))
        try:
            parsed = parse(asked.statement, secrets=fresh)
        except Rejected as rejected:
            return rejected.refusal
        if isinstance(parsed, Lift):
            if not self._runtime.crashes.lift(parsed.fingerprint):
                detail = f"request: {parsed.fingerprint!r}: no target ended under it"
                return Refusal(ErrorKind.NOT_FOUND, detail)
            return {"let_go": parsed.fingerprint}
        if isinstance(parsed, Query):
            shown = answer(parsed, self._runtime, self._nodes)
            return shown if isinstance(shown, Refusal) else dict(shown)
        return self._change(parsed, asked, operator, fresh)

    def _operator(self, key: str) -> str | None:
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = [n for n, kept in self._keys.items() if hmac.compare_digest(digest, kept)]
        return found[0] if found else None

    def _change(
        self, command: Command, asked: _Statement, operator: str, fresh: GeneratedSecrets
    ) -> dict[str, Any] | Refusal:
        change_id = asked.change_id or uuid.uuid4().hex
        outcome = self._runtime.config.submit(
            command, change_id=change_id, operator=operator, since=asked.since
        )
        if isinstance(outcome, Refusal):
            return outcome
        done: dict[str, Any] = {
            "accepted": outcome.revision,
            "change_id": change_id,
            "repeated": outcome.repeated,
        }
        if isinstance(command, CreateCustomer | RotateKey) and not outcome.repeated:
            done["key"] = fresh.key
        if asked.wait:
            done.update(self._in_force(outcome, asked.wait))
        return done

    def _in_force(self, accepted: Accepted, wait: float) -> dict[str, Any]:
        """Wait until every node has confirmed; name those that have not."""
        until = clock.now() + wait
        began = clock.now()
        pending = self._pending(accepted.revision)
        while pending and clock.now() < until:
            time.sleep(_LOOK_SECONDS)
            pending = self._pending(accepted.revision)
        seconds = round(clock.now() - began, 3)
        return {"in_force": not pending, "pending": pending, "seconds": seconds}

    def _pending(self, revision: int) -> list[str]:
        membership = self._nodes.membership
        others = [m.name for m in membership.members if m.name != membership.me.name]
        alive = {m.name for m in membership.members if m.status is not Status.DEAD}
        asked = [name for name in others if name in alive]
        found = self._runtime.pool.map(self._nodes.peers.revision, asked)
        return [n for n, seen in zip(asked, found, strict=True) if seen is None or seen < revision]
