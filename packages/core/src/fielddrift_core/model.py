"""Define the configuration's entities: customers, deployments, targets, hold rules.

All are immutable data.  Applying a change to a `Configuration` returns a new one
with the next revision number.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "ENGINE_WORK",
    "Configuration",
    "CostWeights",
    "Customer",
    "Deployment",
    "HoldRule",
    "StoreHost",
    "Target",
    "TargetRole",
]


class TargetRole(StrEnum):
    """The type of a target."""

    ENGINE = "engine"
    SERVICE = "service"


ENGINE_WORK = ("prefill", "decode", "both")


class CostWeights(NamedTuple):
    """A deployment's weights of the terms of the routing cost.

    `ttft` is the cost of one second to the first token, `recompute` of recomputing
    a whole prompt, `link` of one second of a link's full capacity.
    """

    ttft: float = 1.0
    recompute: float = 0.1
    link: float = 0.1


class Customer(NamedTuple):
    """A customer; its data is never accessible to another customer.

    `key_digests` are SHA-256 digests of its bearer keys: a key is 256 random bits,
    so a plain digest reveals nothing about it.  `salt` is the key of the digests in
    its block names.
    """

    name: str
    key_digests: tuple[str, ...]
    salt: str
    share: float = 1.0


class Deployment(NamedTuple):
    """A model that callers ask for by name, and its weight versions.

    `version` is the one in force; `prepared` are versions that engines load
    ahead of a swap; `previous` was in force before, and stays loaded until the
    swap can have reached all nodes.  `adapters` are loaded in addition.
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

    `serves` is the model of an engine, or the name of a service.  `checks` is
    whether the target refuses an order with an outdated fencing token.  `slots` is
    the number of requests it runs at once, `prefill_rate` in tokens per second.
    `not_repeatable` lists a service's methods that may run at most once; `work` is
    the work that an engine is ordered to do: prefill, decode or both.
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
    """A host that stores blocks in memory and on disk behind a limited link.

    `link_rate` is in bytes per second, for all clients together.
    """

    name: str
    address: str
    data_centre: str
    memory: int
    disk: int
    link_rate: float


class HoldRule(NamedTuple):
    """How long a customer's cached context is held.

    `seconds` is the time within which the context is expected to be used again,
    `chance` the probability of that, `rush` the second of the week at which a
    known peak load starts, `None` when there is none.
    """

    customer: str
    seconds: float
    chance: float = 0.5
    rush: float | None = None


class Configuration(NamedTuple):
    """All settings of the operators at one revision of the log.

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
        """Return the targets of `role` that serve `name`, including draining ones."""
        return tuple(t for t in self.targets.values() if t.role is role and t.serves == name)
