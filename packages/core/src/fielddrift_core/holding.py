"""Decide which kept prefixes are worth their bytes.

The value of a byte is the chance of a return within the rule's time, times
the cost to rebuild, over the bytes held.  What is worth least goes first:
from memory to disk, from disk away.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .model import HoldRule

__all__ = ["StoredPrefix", "TierPlan", "plan_tiers", "should_export", "value"]

WEEK_SECONDS = 7 * 24 * 3600.0
RUSH_LEAD_SECONDS = 1800.0
DEFAULT_RULE = HoldRule(customer="", seconds=3600.0, chance=0.3)
_HIGH_WATERMARK = 0.9
_LOW_WATERMARK = 0.8


class StoredPrefix(NamedTuple):
    """A kept prefix as its store host lists it; `idle` is seconds since its last use."""

    path: str
    attempt: str
    customer: str
    blocks: int
    size: int
    idle: float
    tier: str


class TierPlan(NamedTuple):
    """What a store host should do: move to disk, move to memory, free."""

    demote: tuple[StoredPrefix, ...] = ()
    promote: tuple[StoredPrefix, ...] = ()
    free: tuple[StoredPrefix, ...] = ()


def value(held: StoredPrefix, rule: HoldRule, week_second: float) -> float:
    """Return the worth of one byte of `held`, in blocks saved a byte.

    The chance falls evenly to nothing over the rule's time; ahead of a known
    rush it is the rule's whole chance, however long the prefix was idle.
    """
    chance = rule.chance * max(0.0, 1.0 - held.idle / rule.seconds)
    if rush_is_near(rule, week_second):
        chance = rule.chance
    return chance * held.blocks / max(1, held.size)


def rush_is_near(rule: HoldRule, week_second: float) -> bool:
    """Return whether the rule's known rush starts soon."""
    if rule.rush is None:
        return False
    return (rule.rush - week_second) % WEEK_SECONDS <= RUSH_LEAD_SECONDS


def should_export(*, rule: HoldRule | None, blocks: int, kept: int) -> bool:
    """Return whether a prompt of `blocks`, `kept` of them kept, is worth an export."""
    if (rule or DEFAULT_RULE).chance <= 0 or blocks == 0:
        return False
    return kept < blocks * 0.8


def plan_tiers(
    held: Iterable[StoredPrefix],
    *,
    rules: Mapping[str, HoldRule],
    memory: int,
    disk: int,
    week_second: float,
) -> TierPlan:
    """Return what to move and free so that both tiers stay under their marks."""
    worth = {h.path: value(h, rules.get(h.customer, DEFAULT_RULE), week_second) for h in held}
    ranked = sorted(held, key=lambda h: (worth[h.path], h.path))
    free = [h for h in ranked if worth[h.path] <= 0]
    rest = [h for h in ranked if worth[h.path] > 0]
    demote = _overflow([h for h in rest if h.tier == "memory"], memory)
    on_disk = sorted(
        [h for h in rest if h.tier == "disk"] + demote, key=lambda h: (worth[h.path], h.path)
    )
    free += _overflow(on_disk, disk)
    promote = _with_rush([h for h in rest if h.tier == "disk"], rules, week_second)
    dropped = {h.path for h in free}
    return TierPlan(
        demote=tuple(h for h in demote if h.path not in dropped),
        promote=tuple(h for h in promote if h.path not in dropped),
        free=tuple(free),
    )


def _overflow(ranked: list[StoredPrefix], room: int) -> list[StoredPrefix]:
    """Return the least worthy of `ranked` whose going brings it to the low mark."""
    total = sum(h.size for h in ranked)
    if total <= room * _HIGH_WATERMARK:
        return []
    out = []
    for held in ranked:
        if total <= room * _LOW_WATERMARK:
            break
        out.append(held)
        total -= held.size
    return out


def _with_rush(
    held: list[StoredPrefix], rules: Mapping[str, HoldRule], week_second: float
) -> list[StoredPrefix]:
    return [h for h in held if rush_is_near(rules.get(h.customer, DEFAULT_RULE), week_second)]
