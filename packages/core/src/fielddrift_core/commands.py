"""Apply operators' commands to the configuration.

Each command is a `NamedTuple`; the function that applies it is registered
with `applier`.  Appliers are pure: they return the next configuration, or raise
`Rejected` with the refusal that is returned to the operator.
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
    """A command that is invalid for the configuration; carries its refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class CreateCustomer(NamedTuple):
    """Add a customer; the node that receives the command generates the key."""

    name: str
    share: float
    key_digest: str
    salt: str


class RotateKey(NamedTuple):
    """Replace a customer's keys by a new one; the old keys become invalid at once."""

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
    """Make engines load a version ahead of a swap."""

    name: str
    version: str


class SwapVersion(NamedTuple):
    """Make a prepared version the active one for all new requests."""

    name: str
    version: str


class SetAdapters(NamedTuple):
    """Set the adapters that a deployment's engines load; none unloads all."""

    name: str
    adapters: tuple[str, ...]


class SetWork(NamedTuple):
    """Set which work an engine does: prefill, decode or both."""

    name: str
    work: str


class CreateTarget(NamedTuple):
    """Add a model engine or a plain service."""

    target: Target


class SetDraining(NamedTuple):
    """Start or stop draining a target."""

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
    """Set a customer's rule for how long its cached context is held."""

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
_Applier = Callable[[Configuration, Any], Configuration]
_APPLIERS: dict[str, tuple[type, _Applier]] = {}


def applier(
    kind: type[_C],
) -> Callable[[Callable[[Configuration, _C], Configuration]], _Applier]:
    """Register the decorated function as the applier of commands of class `kind`."""

    def register(function: Callable[[Configuration, _C], Configuration]) -> _Applier:
        _APPLIERS[kind.__name__] = (kind, function)
        return function

    return register


def apply(configuration: Configuration, command: Command) -> Configuration:
    """Return the configuration after `command`; raise `Rejected` when it is invalid."""
    _, function = _APPLIERS[type(command).__name__]
    following = function(configuration, command)
    return following._replace(revision=configuration.revision + 1)


def encode(command: Command) -> bytes:
    """Return `command` in the encoding stored in the table."""
    return msgspec.json.encode([type(command).__name__, command])


def decode(raw: bytes) -> Command:
    """Return the command encoded in `raw`; raise ValueError when it is malformed."""
    name, fields = msgspec.json.decode(raw, type=tuple[str, list[Any]])
    if name not in _APPLIERS:
        raise ValueError(f"command: {name!r}, expected one of {sorted(_APPLIERS)}")
    return msgspec.convert(fields, _APPLIERS[name][0])


# --- helpers ---------------------------------------------------------------


def _reject(kind: ErrorKind, detail: str) -> Rejected:
    return Rejected(Refusal(kind, detail))


def _check_name(what: str, name: str) -> None:
    if not _NAME.fullmatch(name):
        raise _reject(ErrorKind.BAD_REQUEST, f"{what}: {name!r}, expected {_NAME.pattern}")


def _check_address(what: str, address: str) -> None:
    if not _ADDRESS.fullmatch(address):
        raise _reject(
            ErrorKind.BAD_REQUEST, f"{what}: {address!r}, expected an IPv4 address and port number"
        )


def _check_positive(what: str, number: float) -> None:
    if not number > 0:
        raise _reject(ErrorKind.BAD_REQUEST, f"{what}: {number}, expected a number above 0")


def _check_unused(what: str, name: str, existing: Mapping[str, object]) -> None:
    if name in existing:
        raise _reject(ErrorKind.CONFLICT, f"{what}: {name!r} is there already")


def _require(what: str, name: str, existing: Mapping[str, _C]) -> _C:
    if name not in existing:
        raise _reject(ErrorKind.NOT_FOUND, f"{what}: {name!r} is not known")
    return existing[name]


def _without(existing: Mapping[str, _C], name: str) -> dict[str, _C]:
    return {key: value for key, value in existing.items() if key != name}


# --- customers -------------------------------------------------------------


@applier(CreateCustomer)
def _create_customer(configuration: Configuration, command: CreateCustomer) -> Configuration:
    _check_name("customer", command.name)
    _check_positive("share", command.share)
    _check_unused("customer", command.name, configuration.customers)
    customer = Customer(command.name, (command.key_digest,), command.salt, command.share)
    return configuration._replace(
        customers={**configuration.customers, command.name: customer},
        keys={**configuration.keys, command.key_digest: command.name},
    )


@applier(RotateKey)
def _rotate_key(configuration: Configuration, command: RotateKey) -> Configuration:
    customer = _require("customer", command.name, configuration.customers)
    keys = {k: c for k, c in configuration.keys.items() if c != command.name}
    rotated = customer._replace(key_digests=(command.key_digest,))
    return configuration._replace(
        customers={**configuration.customers, command.name: rotated},
        keys={**keys, command.key_digest: command.name},
    )


@applier(DropCustomer)
def _drop_customer(configuration: Configuration, command: DropCustomer) -> Configuration:
    _require("customer", command.name, configuration.customers)
    return configuration._replace(
        customers=_without(configuration.customers, command.name),
        keys={k: c for k, c in configuration.keys.items() if c != command.name},
        holds=_without(configuration.holds, command.name),
    )


@applier(SetHold)
def _set_hold(configuration: Configuration, command: SetHold) -> Configuration:
    rule = command.rule
    _require("customer", rule.customer, configuration.customers)
    _check_positive("seconds", rule.seconds)
    if not 0 < rule.chance <= 1:
        raise _reject(
            ErrorKind.BAD_REQUEST, f"chance: {rule.chance}, expected above 0 and at most 1"
        )
    return configuration._replace(holds={**configuration.holds, rule.customer: rule})


# --- deployments -----------------------------------------------------------


@applier(CreateModel)
def _create_model(configuration: Configuration, command: CreateModel) -> Configuration:
    _check_name("model", command.name)
    _check_name("version", command.version)
    _check_unused("model", command.name, configuration.deployments)
    deployment = Deployment(command.name, command.version, (), command.weights)
    return configuration._replace(
        deployments={**configuration.deployments, command.name: deployment}
    )


@applier(PrepareVersion)
def _prepare_version(configuration: Configuration, command: PrepareVersion) -> Configuration:
    deployment = _require("model", command.name, configuration.deployments)
    _check_name("version", command.version)
    if command.version in deployment.wanted:
        raise _reject(ErrorKind.CONFLICT, f"version: {command.version!r} is prepared already")
    prepared = deployment._replace(prepared=(*deployment.prepared, command.version))
    return configuration._replace(deployments={**configuration.deployments, command.name: prepared})


@applier(SwapVersion)
def _swap_version(configuration: Configuration, command: SwapVersion) -> Configuration:
    deployment = _require("model", command.name, configuration.deployments)
    if command.version not in deployment.prepared:
        detail = f"version: {command.version!r} of {command.name!r} is not prepared"
        raise _reject(ErrorKind.CONFLICT, detail)
    swapped = deployment._replace(version=command.version, prepared=(), previous=deployment.version)
    return configuration._replace(deployments={**configuration.deployments, command.name: swapped})


@applier(SetAdapters)
def _set_adapters(configuration: Configuration, command: SetAdapters) -> Configuration:
    deployment = _require("model", command.name, configuration.deployments)
    for adapter in command.adapters:
        _check_name("adapter", adapter)
    changed = deployment._replace(adapters=command.adapters)
    return configuration._replace(deployments={**configuration.deployments, command.name: changed})


# --- targets and store hosts -----------------------------------------------


@applier(CreateTarget)
def _create_target(configuration: Configuration, command: CreateTarget) -> Configuration:
    target = command.target
    _check_name("target", target.name)
    _check_address("at", target.address)
    _check_positive("slots", target.slots)
    _check_positive("prefill", target.prefill_rate)
    _check_unused("target", target.name, configuration.targets)
    if target.role is TargetRole.ENGINE:
        _require("model", target.serves, configuration.deployments)
    return configuration._replace(targets={**configuration.targets, target.name: target})


@applier(SetDraining)
def _set_draining(configuration: Configuration, command: SetDraining) -> Configuration:
    target = _require("target", command.name, configuration.targets)
    changed = target._replace(draining=command.draining)
    return configuration._replace(targets={**configuration.targets, command.name: changed})


@applier(SetWork)
def _set_work(configuration: Configuration, command: SetWork) -> Configuration:
    target = _require("target", command.name, configuration.targets)
    if target.role is not TargetRole.ENGINE or command.work not in ENGINE_WORK:
        expected = f"an engine and one of {', '.join(ENGINE_WORK)}"
        raise _reject(
            ErrorKind.BAD_REQUEST,
            f"work of {command.name!r}: {command.work!r}, expected {expected}",
        )
    changed = target._replace(work=command.work)
    return configuration._replace(targets={**configuration.targets, command.name: changed})


@applier(DropTarget)
def _drop_target(configuration: Configuration, command: DropTarget) -> Configuration:
    _require("target", command.name, configuration.targets)
    return configuration._replace(targets=_without(configuration.targets, command.name))


@applier(CreateStore)
def _create_store(configuration: Configuration, command: CreateStore) -> Configuration:
    store = command.store
    _check_name("store", store.name)
    _check_address("at", store.address)
    _check_positive("link", store.link_rate)
    _check_unused("store", store.name, configuration.stores)
    return configuration._replace(stores={**configuration.stores, store.name: store})


@applier(DropStore)
def _drop_store(configuration: Configuration, command: DropStore) -> Configuration:
    _require("store", command.name, configuration.stores)
    return configuration._replace(stores=_without(configuration.stores, command.name))
