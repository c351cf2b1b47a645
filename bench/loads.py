"""Make the two loads of the decisions bench, seeded.

The sizes are assumptions, stated in docs/design/decisions.md with their
sources; nothing here was measured at a user's.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from fielddrift_core.model import CostWeights

__all__ = ["CIRCLE_DAY", "LOADS", "MATCHDAY", "Ask", "LoadShape", "make"]

CUSTOMER_PARTS = (0.35, 0.20, 0.10, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05)


class LoadShape(NamedTuple):
    """One fleet's rush: sizes in tokens and bytes, rates a second.

    `capacity` is the rate at which the best mix of computing and importing
    is full, worked out from the sizes.
    """

    name: str
    weights: CostWeights
    rate: float
    capacity: float
    seconds: float
    prompts: int
    shortest: int
    longest: int
    output: int
    deadline: float
    link_rate: float
    memory_tokens: int
    engines: int = 10
    slots: int = 8
    prefill_rate: float = 10_000.0
    step: float = 0.02
    kv_bytes: int = 40_000
    kept: float = 0.9


class Ask(NamedTuple):
    """One request of a load; `prompt` numbers the long material that returns."""

    at: float
    customer: str
    prompt: int
    tokens: int
    output: int
    node: int


MATCHDAY = LoadShape(
    name="matchday",
    weights=CostWeights(ttft=1.0, recompute=0.05, link=0.05),
    rate=12.0,
    capacity=20.0,
    seconds=120.0,
    prompts=900,
    shortest=3_000,
    longest=13_000,
    output=60,
    deadline=5.0,
    link_rate=1.25e9,
    memory_tokens=300_000,
)

CIRCLE_DAY = LoadShape(
    name="circle-day",
    weights=CostWeights(ttft=0.1, recompute=3.0, link=0.3),
    rate=2.0,
    capacity=5.0,
    seconds=400.0,
    prompts=260,
    shortest=10_000,
    longest=38_000,
    output=120,
    deadline=30.0,
    link_rate=0.6e9,
    memory_tokens=400_000,
)

LOADS = {shape.name: shape for shape in (MATCHDAY, CIRCLE_DAY)}


def make(shape: LoadShape, *, seed: int, factor: float, nodes: int) -> list[Ask]:
    """Return the requests of one rush, `factor` times as many as usual.

    The rate rises evenly to twice its mean at the lock, as callers hurry.
    """
    rng = random.Random(seed)
    sizes = [rng.randint(shape.shortest, shape.longest) for _ in range(shape.prompts)]
    owners = rng.choices(range(len(CUSTOMER_PARTS)), CUSTOMER_PARTS, k=shape.prompts)
    count = int(shape.rate * factor * shape.seconds)
    times = sorted(shape.seconds * rng.random() ** 0.5 for _ in range(count))
    asks = []
    for at in times:
        prompt = rng.randrange(shape.prompts)
        asks.append(
            Ask(
                at=at,
                customer=f"customer-{owners[prompt]}",
                prompt=prompt,
                tokens=sizes[prompt],
                output=rng.randint(shape.output // 2, 3 * shape.output // 2),
                node=rng.randrange(nodes),
            )
        )
    return asks
