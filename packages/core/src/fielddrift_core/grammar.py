"""Parse the operators' language into commands and queries.

One statement is parsed at a time.  Values that a command needs and that are not
part of the statement (keys, salts) are arguments, so that parsing is deterministic.
"""

from __future__ import annotations

import hashlib
from importlib import resources
from typing import Any, NamedTuple

from lark import Lark, Transformer, UnexpectedInput, v_args

from .commands import (
    Command,
    CreateCustomer,
    CreateModel,
    CreateStore,
    CreateTarget,
    DropCustomer,
    DropStore,
    DropTarget,
    PrepareVersion,
    Rejected,
    RotateKey,
    SetAdapters,
    SetDraining,
    SetHold,
    SetWork,
    SwapVersion,
)
from .errors import ErrorKind, Refusal
from .model import CostWeights, HoldRule, StoreHost, Target, TargetRole

__all__ = ["Condition", "GeneratedSecrets", "Lift", "Query", "key_digest", "parse"]

_MAX_CHARACTERS = 4096


class GeneratedSecrets(NamedTuple):
    """Random secrets for one statement; used only when it creates a key."""

    key: str
    salt: str


class Condition(NamedTuple):
    """One condition of a query; a flag requires its field to be true."""

    field: str
    value: str | float | bool


class Query(NamedTuple):
    """A `show` statement."""

    noun: str
    conditions: tuple[Condition, ...] = ()
    by: tuple[str, ...] = ()


class Lift(NamedTuple):
    """A `lift` statement: requests with this fingerprint are no longer held back."""

    fingerprint: str


def key_digest(key: str) -> str:
    """Return the digest under which a bearer key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse(statement: str, *, secrets: GeneratedSecrets) -> Command | Lift | Query:
    """Return the command or query in `statement`.

    Raise `Rejected` with the line, the column and what was expected there.
    """
    if len(statement) > _MAX_CHARACTERS:
        detail = f"statement: {len(statement)} characters, expected at most {_MAX_CHARACTERS}"
        raise Rejected(Refusal(ErrorKind.TOO_LARGE, detail))
    try:
        tree = _PARSER.parse(statement.strip().rstrip(";"))
    except UnexpectedInput as error:
        raise Rejected(Refusal(ErrorKind.BAD_REQUEST, _explain(statement, error))) from None
    return _Builder(secrets=secrets).transform(tree)


def _explain(statement: str, error: UnexpectedInput) -> str:
    words = set(getattr(error, "accepts", None) or getattr(error, "expected", None) or ())
    words |= set(getattr(error, "allowed", None) or ())
    expected = ", ".join(sorted(words)) or "the end"
    if error.column is None or error.column < 1:
        return f"statement {statement!r}: ends too early, expected {expected}"
    found = statement.strip()[error.column - 1 :][:20] or "the end"
    return f"line {error.line}, column {error.column}: {found!r}, expected {expected}"


@v_args(inline=True)
class _Builder(Transformer[Any, Any]):
    """Turn a parse tree into a command or a query."""

    def __init__(self, *, secrets: GeneratedSecrets) -> None:
        super().__init__()
        self._secrets = secrets

    def start(self, statement: Command | Lift | Query) -> Command | Lift | Query:
        return statement

    def lift(self, fingerprint: str) -> Lift:
        return Lift(fingerprint)

    def name(self, token: str) -> str:
        return token[1:-1] if token.startswith('"') else str(token)

    def number(self, token: str) -> float:
        return float(token)

    # Options become (field, value) pairs.

    def share(self, number: float) -> float:
        return number

    def weights(self, ttft: float, recompute: float, link: float) -> CostWeights:
        return CostWeights(ttft, recompute, link)

    def chance(self, number: float) -> tuple[str, float]:
        return ("chance", number)

    def rush(self, number: float) -> tuple[str, float]:
        return ("rush", number)

    def slots(self, number: str) -> tuple[str, int]:
        return ("slots", int(number))

    def prefill(self, number: float) -> tuple[str, float]:
        return ("prefill_rate", number)

    def unchecked(self) -> tuple[str, bool]:
        return ("checks", False)

    def not_repeatable(self, *methods: str) -> tuple[str, tuple[str, ...]]:
        return ("not_repeatable", tuple(method.upper() for method in methods))

    # Commands.

    def create_customer(self, name: str, share: float = 1.0) -> Command:
        return CreateCustomer(name, share, key_digest(self._secrets.key), self._secrets.salt)

    def rotate_key(self, name: str) -> Command:
        return RotateKey(name, key_digest(self._secrets.key))

    def drop_customer(self, name: str) -> Command:
        return DropCustomer(name)

    def create_model(
        self,
        name: str,
        version: str,
        weights: CostWeights = CostWeights(),  # noqa: B008
    ) -> Command:
        return CreateModel(name, version, weights)

    def prepare_version(self, name: str, version: str) -> Command:
        return PrepareVersion(name, version)

    def swap_version(self, name: str, version: str) -> Command:
        return SwapVersion(name, version)

    def create_engine(
        self, name: str, address: str, data_centre: str, model: str, *options: Any
    ) -> Command:
        fields = dict(options)
        return CreateTarget(Target(name, TargetRole.ENGINE, address, data_centre, model, **fields))

    def create_service(
        self, name: str, address: str, data_centre: str, service: str, *options: Any
    ) -> Command:
        fields = dict(options)
        target = Target(name, TargetRole.SERVICE, address, data_centre, service, **fields)
        return CreateTarget(target)

    def create_store(
        self, name: str, address: str, data_centre: str, memory: str, disk: str, link: float
    ) -> Command:
        return CreateStore(StoreHost(name, address, data_centre, int(memory), int(disk), link))

    def drop_target(self, name: str) -> Command:
        return DropTarget(name)

    def drop_store(self, name: str) -> Command:
        return DropStore(name)

    def set_adapters(self, name: str, *adapters: str) -> Command:
        return SetAdapters(name, adapters)

    def set_work(self, name: str, work: str) -> Command:
        return SetWork(name, work)

    def drain_target(self, name: str) -> Command:
        return SetDraining(name, True)

    def undrain_target(self, name: str) -> Command:
        return SetDraining(name, False)

    def set_hold(self, name: str, seconds: float, *options: Any) -> Command:
        return SetHold(HoldRule(name, seconds, **dict(options)))

    # Queries.

    def noun(self, token: str) -> str:
        return str(token)

    def equals(self, field: str, value: str | float) -> Condition:
        return Condition(field, value)

    def flag(self, field: str) -> Condition:
        return Condition(field, True)

    def show(self, noun: str, *rest: Any) -> Query:
        conditions = tuple(item for item in rest if isinstance(item, Condition))
        by = tuple(item for item in rest if isinstance(item, str))
        return Query(noun, conditions, by)


_PARSER = Lark(
    resources.files(__package__).joinpath("grammar.lark").read_text(),
    parser="lalr",
    maybe_placeholders=False,
)
