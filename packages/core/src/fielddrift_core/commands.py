"""Apply operators' commands to the configuration.

Each command is a `NamedTuple`; the function that applies it is registered
with `applies`.  Applying is pure: it gives the next configuration, or raises
`Rejected` with the refusal that the operator sees.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

import msgspec

from .errors import ErrorKind, Refusal
from .model import (
    ENGINE_WORK,
    Configuration,
    CostWeights,
    Customer,
    Deployment,
    HoldRule,
    StoreHost,
    Target,
    TargetRole,
)

__all__ = [
    "Command",
    "CreateCustomer",
    "CreateModel",
    "CreateStore",
    "CreateTarget",
    "DropCustomer",
    "DropStore",
    "DropTarget",
    "PrepareVersion",
    "Rejected",
    "RotateKey",
    "SetAdapters",
    "SetDraining",
    "SetHold",
    "SetWork",
    "SwapVersion",
    "apply",
    "decode",
    "encode",
]

_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}")
_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")


class Rejected(Exception):
    """A command that does not fit the configuration; carries its refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class CreateCustomer(NamedTuple):
    """Add a customer; the key is drawn by the node that takes the command."""

    name: str
    share: float
    key_digest: str
    salt: str


class RotateKey(NamedTuple):
    """Give a customer a new key; the old ones end at once."""

    name: str
    key_digest: str


class DropCustomer(NamedTuple):
    """Remove a customer and its hold rule."""

    name: str


class CreateModel(NamedTuple):
    """Add a deployment with its first weight version."""

    name: str
    version: str
    weights: CostWeights


class PrepareVersion(NamedTuple):
    """Have engines load a version ahead of a swap."""

    name: str
    version: str


class SwapVersion(NamedTuple):
    """Put a prepared version in force for all new requests."""

    name: str
    version: str


class SetAdapters(NamedTuple):
    """Say which adapters a deployment's engines have loaded; none to unload all."""

    name: str
    adapters: tuple[str, ...]


class SetWork(NamedTuple):
    """Say what an engine does: prefill, decode or both."""

    name: str
    work: str


class CreateTarget(NamedTuple):
    """Add a model engine or a plain service."""

    target: Target


class SetDraining(NamedTuple):
    """Say whether a target is leaving."""

    name: str
    draining: bool


class DropTarget(NamedTuple):
    """Remove a target."""

    name: str


class CreateStore(NamedTuple):
    """Add a store host."""

    store: StoreHost


class DropStore(NamedTuple):
    """Remove a store host."""

    name: str


class SetHold(NamedTuple):
    """Say how long a customer's kept context is worth holding."""

    rule: HoldRule


Command = (
    CreateCustomer
    | RotateKey
    | DropCustomer
    | CreateModel
    | PrepareVersion
    | SwapVersion
    | CreateTarget
    | SetAdapters
    | SetWork
    | SetDraining
    | DropTarget
    | CreateStore
    | DropStore
    | SetHold
)

_C = TypeVar("_C")
_Apply = Callable[[Configuration, Any], Configuration]
_APPLY: dict[str, tuple[type, _Apply]] = {}


def applies(
    kind: type[_C],
) -> Callable[[Callable[[Configuration, _C], Configuration]], _Apply]:
    """Register the decorated function as the one that applies `kind`."""

    def register(function: Callable[[Configuration, _C], Configuration]) -> _Apply:
        _APPLY[kind.__name__] = (kind, function)
        return function

    return register


def apply(configuration: Configuration, command: Command) -> Configuration:
    """Return the next configuration; raise `Rejected` when it does not fit."""
    _, function = _APPLY[type(command).__name__]
    following = function(configuration, command)
    return following._replace(revision=configuration.revision + 1)


def encode(command: Command) -> bytes:
    """Return `command` as it is kept in the table."""
    return msgspec.json.encode([type(command).__name__, command])


def decode(raw: bytes) -> Command:
    """Return the command kept as `raw`; raise ValueError when it is not one."""
    name, fields = msgspec.json.decode(raw, type=tuple[str, list[Any]])
    if name not in _APPLY:
        raise ValueError(f"command: {name!r}, expected one of {sorted(_APPLY)}")
    return msgspec.convert(fields, _APPLY[name][0])


# --- helpers ---------------------------------------------------------------


def _reject(kind: ErrorKind, detail: str) -> Rejected:
    return Rejected(Refusal(kind, detail))


def _check_name(what: str, name: str) -> None:
    if not _NAME.fullmatch(name):
        raise _reject(ErrorKind.BAD_REQUEST, f"{what}: {name!r}, expected {_NAME.pattern}")


def _check_address(what: str, address: str) -> None:
    if not _ADDRESS.fullmatch(address):
        raise _reject(
            ErrorKind.BAD_REQUEST, f"{what}: {address!r}, expected an IP number and a port"
        )


def _check_positive(what: str, number: float) -> None:
    if not number > 0:
        raise _reject(ErrorKind.BAD_REQUEST, f"{what}: {number}, expected a number above 0")


def _check_new(what: str, name: str, known: Mapping[str, object]) -> None:
    if name in known:
        raise _reject(ErrorKind.CONFLICT, f"{what}: {name!r} is there already")


def _known(what: str, name: str, known: Mapping[str, _C]) -> _C:
    if name not in known:
        raise _reject(ErrorKind.NOT_FOUND, f"{what}: {name!r} is not known")
    return known[name]


def _without(known: Mapping[str, _C], name: str) -> dict[str, _C]:
    return {key: value for key, value in known.items() if key != name}


# --- customers -------------------------------------------------------------


@applies(CreateCustomer)
def _create_customer(configuration: Configuration, command: CreateCustomer) -> Configuration:
    _check_name("customer", command.name)
    _check_positive("share", command.share)
    _check_new("customer", command.name, configuration.customers)
    customer = Customer(command.name, (command.key_digest,), command.salt, command.share)
    return configuration._replace(
        customers={**configuration.customers, command.name: customer},
        keys={**configuration.keys, command.key_digest: command.name},
    )


@applies(RotateKey)
def _rotate_key(configuration: Configuration, command: RotateKey) -> Configuration:
    customer = _known("customer", command.name, configuration.customers)
    keys = {k: c for k, c in configuration.keys.items() if c != command.name}
    rotated = customer._replace(key_digests=(command.key_digest,))
    return configuration._replace(
        customers={**configuration.customers, command.name: rotated},
        keys={**keys, command.key_digest: command.name},
    )


@applies(DropCustomer)
def _drop_customer(configuration: Configuration, command: DropCustomer) -> Configuration:
    _known("customer", command.name, configuration.customers)
    return configuration._replace(
        customers=_without(configuration.customers, command.name),
        keys={k: c for k, c in configuration.keys.items() if c != command.name},
        holds=_without(configuration.holds, command.name),
    )


@applies(SetHold)
def _set_hold(configuration: Configuration, command: SetHold) -> Configuration:
    rule = command.rule
    _known("customer", rule.customer, configuration.customers)
    _check_positive("seconds", rule.seconds)
    if not 0 < rule.chance <= 1:
        raise _reject(
            ErrorKind.BAD_REQUEST, f"chance: {rule.chance}, expected above 0 and at most 1"
        )
    return configuration._replace(holds={**configuration.holds, rule.customer: rule})


# --- deployments -----------------------------------------------------------


@applies(CreateModel)
def _create_model(configuration: Configuration, command: CreateModel) -> Configuration:
    _check_name("model", command.name)
    _check_name("version", command.version)
    _check_new("model", command.name, configuration.deployments)
    deployment = Deployment(command.name, command.version, (), command.weights)
    return configuration._replace(
        deployments={**configuration.deployments, command.name: deployment}
    )


@applies(PrepareVersion)
def _prepare_version(configuration: Configuration, command: PrepareVersion) -> Configuration:
    deployment = _known("model", command.name, configuration.deployments)
    _check_name("version", command.version)
    if command.version in deployment.wanted:
        raise _reject(ErrorKind.CONFLICT, f"version: {command.version!r} is prepared already")
    prepared = deployment._replace(prepared=(*deployment.prepared, command.version))
    return configuration._replace(deployments={**configuration.deployments, command.name: prepared})


@applies(SwapVersion)
def _swap_version(configuration: Configuration, command: SwapVersion) -> Configuration:
    deployment = _known("model", command.name, configuration.deployments)
    if command.version not in deployment.prepared:
        detail = f"version: {command.version!r} of {command.name!r} is not prepared"
        raise _reject(ErrorKind.CONFLICT, detail)
    swapped = deployment._replace(version=command.version, prepared=(), previous=deployment.version)
    return configuration._replace(deployments={**configuration.deployments, command.name: swapped})


@applies(SetAdapters)
def _set_adapters(configuration: Configuration, command: SetAdapters) -> Configuration:
    deployment = _known("model", command.name, configuration.deployments)
    for adapter in command.adapters:
        _check_name("adapter", adapter)
    changed = deployment._replace(adapters=command.adapters)
    return configuration._replace(deployments={**configuration.deployments, command.name: changed})


# --- targets and store hosts -----------------------------------------------


@applies(CreateTarget)
def _create_target(configuration: Configuration, command: CreateTarget) -> Configuration:
    target = command.target
    _check_name("target", target.name)
    _check_address("at", target.address)
    _check_positive("slots", target.slots)
    _check_positive("prefill", target.prefill_rate)
    _check_new("target", target.name, configuration.targets)
    if target.role is TargetRole.ENGINE:
        _known("model", target.serves, configuration.deployments)
    return configuration._replace(targets={**configuration.targets, target.name: target})


@applies(SetDraining)
def _set_draining(configuration: Configuration, command: SetDraining) -> Configuration:
    target = _known("target", command.name, configuration.targets)
    changed = target._replace(draining=command.draining)
    return configuration._replace(targets={**configuration.targets, command.name: changed})


@applies(SetWork)
def _set_work(configuration: Configuration, command: SetWork) -> Configuration:
    target = _known("target", command.name, configuration.targets)
    if target.role is not TargetRole.ENGINE or command.work not in ENGINE_WORK:
        expected = f"an engine and one of {', '.join(ENGINE_WORK)}"
        raise _reject(
            ErrorKind.BAD_REQUEST,
            f"work of {command.name!r}: {command.work!r}, expected {expected}",
        )
    changed = target._replace(work=command.work)
    return configuration._replace(targets={**configuration.targets, command.name: changed})


@applies(DropTarget)
def _drop_target(configuration: Configuration, command: DropTarget) -> Configuration:
    _known("target", command.name, configuration.targets)
    return configuration._replace(targets=_without(configuration.targets, command.name))


@applies(CreateStore)
def _create_store(configuration: Configuration, command: CreateStore) -> Configuration:
    store = command.store
    _check_name("store", store.name)
    _check_address("at", store.address)
    _check_positive("link", store.link_rate)
    _check_new("store", store.name, configuration.stores)
    return configuration._replace(stores={**configuration.stores, store.name: store})


@applies(DropStore)
def _drop_store(configuration: Configuration, command: DropStore) -> Configuration:
    _known("store", command.name, configuration.stores)
    return configuration._replace(stores=_without(configuration.stores, command.name))
