"""Run operators' statements: append changes to the change log, and answer queries."""

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

_MAX_WAIT_SECONDS = 60.0
_POLL_SECONDS = 0.1
_KEY_BYTES = 32


class _Statement(msgspec.Struct, forbid_unknown_fields=True):
    statement: str
    change_id: str = ""
    since: int | None = None
    wait: float = 0.0


class Operators:
    """Run the statements of operators, each authorised by the key that is sent with it.

    `keys` maps the name of an operator to the SHA-256 digest of its key in hexadecimal.
    """

    def __init__(self, *, runtime: Runtime, nodes: Nodes, keys: Mapping[str, str]) -> None:
        self._runtime = runtime
        self._nodes = nodes
        self._keys = keys

    def run(self, authorization: str, raw: bytes) -> dict[str, Any] | Refusal:
        """Return the result of the statement in the JSON body `raw`, or a refusal.

        `authorization` is the value of the Authorization header.
        """
        operator = self._operator(bearer_key(authorization))
        if operator is None:
            return Refusal(ErrorKind.UNAUTHORIZED, "Authorization: not an operator's key")
        try:
            submitted = msgspec.json.decode(raw, type=_Statement)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Refusal(ErrorKind.BAD_REQUEST, f"body: {error}")
        if not 0 <= submitted.wait <= _MAX_WAIT_SECONDS:
            detail = f"wait: {submitted.wait}, expected 0 to {_MAX_WAIT_SECONDS:.0f} seconds"
            return Refusal(ErrorKind.BAD_REQUEST, detail)
        generated = GeneratedSecrets(
            secrets.token_urlsafe(_KEY_BYTES), secrets.token_hex(_KEY_BYTES)
        )
        try:
            parsed = parse(submitted.statement, secrets=generated)
        except Rejected as rejected:
            return rejected.refusal
        if isinstance(parsed, Lift):
            if not self._runtime.crashes.lift(parsed.fingerprint):
                detail = f"request: {parsed.fingerprint!r}: no recorded crash of a target"
                return Refusal(ErrorKind.NOT_FOUND, detail)
            return {"let_go": parsed.fingerprint}
        if isinstance(parsed, Query):
            shown = answer(parsed, self._runtime, self._nodes)
            return shown if isinstance(shown, Refusal) else dict(shown)
        return self._change(parsed, submitted, operator, generated)

    def _operator(self, key: str) -> str | None:
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = [n for n, kept in self._keys.items() if hmac.compare_digest(digest, kept)]
        return found[0] if found else None

    def _change(
        self, command: Command, submitted: _Statement, operator: str, generated: GeneratedSecrets
    ) -> dict[str, Any] | Refusal:
        change_id = submitted.change_id or uuid.uuid4().hex
        outcome = self._runtime.config.submit(
            command, change_id=change_id, operator=operator, since=submitted.since
        )
        if isinstance(outcome, Refusal):
            return outcome
        done: dict[str, Any] = {
            "accepted": outcome.revision,
            "change_id": change_id,
            "repeated": outcome.repeated,
        }
        if isinstance(command, CreateCustomer | RotateKey) and not outcome.repeated:
            done["key"] = generated.key
        if submitted.wait:
            done.update(self._wait_until_applied(outcome, submitted.wait))
        return done

    def _wait_until_applied(self, accepted: Accepted, wait: float) -> dict[str, Any]:
        """Wait at most `wait` seconds until every live node has applied the change.

        Return whether all have, the names of those that have not, and the seconds waited.
        """
        until = clock.now() + wait
        started_at = clock.now()
        pending = self._pending(accepted.revision)
        while pending and clock.now() < until:
            time.sleep(_POLL_SECONDS)
            pending = self._pending(accepted.revision)
        seconds = round(clock.now() - started_at, 3)
        return {"in_force": not pending, "pending": pending, "seconds": seconds}

    def _pending(self, revision: int) -> list[str]:
        membership = self._nodes.membership
        others = [m.name for m in membership.members if m.name != membership.me.name]
        alive = {m.name for m in membership.members if m.status is not Status.DEAD}
        live = [name for name in others if name in alive]
        found = self._runtime.pool.map(self._nodes.peers.revision, live)
        return [n for n, seen in zip(live, found, strict=True) if seen is None or seen < revision]
