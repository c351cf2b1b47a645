"""Decide which stored prefixes are worth the space that they take.

The value of a byte is the probability of reuse within the rule's time, multiplied by the cost
of recomputing the prefix, divided by its size.  The prefixes of the lowest value are evicted
first, from memory to disk and from disk altogether.
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
    """A stored prefix as listed by its store host.

    `size` is in bytes, `idle` is the seconds since its last use, `tier` memory or disk.
    """

    path: str
    attempt: str
    customer: str
    blocks: int
    size: int
    idle: float
    tier: str


class TierPlan(NamedTuple):
    """What a store host should move to disk, move to memory, and free."""

    demote: tuple[StoredPrefix, ...] = ()
    promote: tuple[StoredPrefix, ...] = ()
    free: tuple[StoredPrefix, ...] = ()


def value(held: StoredPrefix, rule: HoldRule, week_second: float) -> float:
    """Return the value of one byte of `held`, in expected blocks saved per byte.

    The probability of reuse falls linearly to 0 over the rule's time.  Shortly before the
    rule's known rush it is the rule's full probability, however long the prefix was idle.
    """
    chance = rule.chance * max(0.0, 1.0 - held.idle / rule.seconds)
    if rush_is_near(rule, week_second):
        chance = rule.chance
    return chance * held.blocks / max(1, held.size)


def rush_is_near(rule: HoldRule, week_second: float) -> bool:
    """Return whether the known rush of `rule`, if any, starts soon.

    `week_second` is the current time in seconds since the start of the week.
    """
    if rule.rush is None:
        return False
    return (rule.rush - week_second) % WEEK_SECONDS <= RUSH_LEAD_SECONDS


def should_export(*, rule: HoldRule | None, blocks: int, kept: int) -> bool:
    """Return whether a prompt of `blocks`, of which `kept` are stored, is worth an export."""
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
    """Return what to move and free so that both tiers stay below their high watermarks.

    `memory` and `disk` are the capacities of the tiers in bytes, `rules` is by customer.
    """
    values = {h.path: value(h, rules.get(h.customer, DEFAULT_RULE), week_second) for h in held}
    ranked = sorted(held, key=lambda h: (values[h.path], h.path))
    free = [h for h in ranked if values[h.path] <= 0]
    rest = [h for h in ranked if values[h.path] > 0]
    demote = _overflow([h for h in rest if h.tier == "memory"], memory)
    on_disk = sorted(
        [h for h in rest if h.tier == "disk"] + demote, key=lambda h: (values[h.path], h.path)
    )
    free += _overflow(on_disk, disk)
    promote = _with_rush([h for h in rest if h.tier == "disk"], rules, week_second)
    dropped = {h.path for h in free}
    return TierPlan(
        demote=tuple(h for h in demote if h.path not in dropped),
        promote=tuple(h for h in promote if h.path not in dropped),
        free=tuple(free),
    )


def _overflow(ranked: list[StoredPrefix], capacity: int) -> list[StoredPrefix]:
    """Return the first of `ranked` whose removal brings the total to the low watermark.

    Return none while the total is below the high watermark of `capacity`, in bytes.
    """
    total = sum(h.size for h in ranked)
    if total <= capacity * _HIGH_WATERMARK:
        return []
    out = []
    for held in ranked:
        if total <= capacity * _LOW_WATERMARK:
            break
        out.append(held)
        total -= held.size
    return out


def _with_rush(
    held: list[StoredPrefix], rules: Mapping[str, HoldRule], week_second: float
) -> list[StoredPrefix]:
    return [h for h in held if rush_is_near(rules.get(h.customer, DEFAULT_RULE), week_second)]
