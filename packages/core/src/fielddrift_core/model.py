"""Hold the configuration's nouns: customers, deployments, targets, hold rules.

All are plain data.  A `Configuration` is never changed in place; applying a
change gives a new one with the next revision number.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "ENGINE_WORK",
    "Configuration",
    "Customer",
    "Deployment",
    "HoldRule",
    "StoreHost",
    "Target",
    "TargetRole",
    "CostWeights",
]


class TargetRole(StrEnum):
    """What a target is for."""

    ENGINE = "engine"
    SERVICE = "service"


ENGINE_WORK = ("prefill", "decode", "both")


class CostWeights(NamedTuple):
    """What a deployment cares for, as factors of the routing cost.

    `ttft` weighs seconds to the first token, `recompute` a wholly recomputed
    prompt, `link` one second of a whole link's capacity.
    """

    ttft: float = 1.0
    recompute: float = 0.1
    link: float = 0.1


class Customer(NamedTuple):
    """A tenant; its data never reaches another.

    `key_digests` are SHA-256 digests of its bearer keys: a key is 256 random
    bits, so a plain digest gives nothing away.  `salt` keys its block names.
    """

    name: str
    key_digests: tuple[str, ...]
    salt: str
    share: float = 1.0


class Deployment(NamedTuple):
    """A model that callers ask for by name, and its weight versions.

    `version` is the one in force; `prepared` are versions that engines load
    ahead of a swap; `previous` was in force before, and is kept loaded until
    all nodes can have heard of the swap.  `adapters` are loaded beside them.
    """

    model: str
    version: str
    prepared: tuple[str, ...] = ()
    weights: CostWeights = CostWeights()
    previous: str = ""
    adapters: tuple[str, ...] = ()

    @property
    def wanted(self) -> tuple[str, ...]:
        """Return the versions that engines should have loaded."""
        return (self.version, *(v for v in self.prepared if v != self.version))


class Target(NamedTuple):
    """A model engine or a plain service behind the system.

    `serves` is the model of an engine, or the name of a service.  `checks`
    says whether the target refuses an order with an old fence.
    `not_repeatable` lists a service's methods that may run at most once;
    `work` is what an engine is ordered to do: prefill, decode or both.
    """

    name: str
    role: TargetRole
    address: str
    data_centre: str
    serves: str
    checks: bool = True
    slots: int = 8
    prefill_rate: float = 20_000.0
    not_repeatable: tuple[str, ...] = ()
    draining: bool = False
    work: str = "both"


class StoreHost(NamedTuple):
    """A host that keeps blocks in memory and on disk behind a limited link.

    `link_rate` is in bytes a second for everyone together.
    """

    name: str
    address: str
    data_centre: str
    memory: int
    disk: int
    link_rate: float


class HoldRule(NamedTuple):
    """How long kept context is worth holding for a customer.

    `seconds` is the span within which a return counts; `chance` the expected
    chance of a return within it; `rush` the seconds of the week at which a
    known rush starts, `None` when there is no calendar.
    """

    customer: str
    seconds: float
    chance: float = 0.5
    rush: float | None = None


class Configuration(NamedTuple):
    """Everything that operators set, at one revision of the log.

    `keys` maps the digest of each customer's key to the customer's name.
    """

    revision: int = 0
    customers: Mapping[str, Customer] = {}
    keys: Mapping[str, str] = {}
    deployments: Mapping[str, Deployment] = {}
    targets: Mapping[str, Target] = {}
    stores: Mapping[str, StoreHost] = {}
    holds: Mapping[str, HoldRule] = {}

    def serving(self, role: TargetRole, name: str) -> tuple[Target, ...]:
        """Return the targets of `role` that serve `name`, draining ones too."""
        return tuple(t for t in self.targets.values() if t.role is role and t.serves == name)
