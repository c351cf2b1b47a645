"""Measure the policy against plain baselines and an oracle, in virtual time.

Every figure comes from seeded runs and is the same on every machine; a test
holds a few of them against docs/data/decisions.json, which this writes anew.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from .loads import CUSTOMER_PARTS, LOADS, LoadShape, make
from .world import Faults, Outcome, World

__all__ = ["DATA", "SCENARIOS", "check_figures", "figures", "main"]

DATA = Path(__file__).parent.parent / "docs" / "data" / "decisions.json"
PLOT = Path(__file__).parent.parent / "docs" / "data" / "decisions.svg"
SEEDS = (1, 2, 3)
_PROCESSES = 4
RIVALS = (
    "cost",
    "cost-all",
    "random",
    "least-loaded",
    "sticky",
    "always-recompute",
    "always-import",
    "oracle",
)

SCENARIOS: dict[str, tuple[float, Faults]] = {
    "fair weather": (1.0, Faults()),
    "1.5 x capacity": (1.5, Faults()),
    "3 x capacity": (3.0, Faults()),
    "loads 2 s late": (1.0, Faults(load_lag=2.0)),
    "30% of events lost": (1.0, Faults(lost_events=0.3)),
    "a store host dies": (1.0, Faults(store_dies=True)),
    "links at a tenth": (1.0, Faults(link_part=0.1)),
    "an engine hangs": (1.0, Faults(engine_hangs=True)),
    "a node is lost": (1.0, Faults(node_dies=True)),
    "late loads, slow links": (1.0, Faults(load_lag=2.0, link_part=0.1)),
}


def figures(
    shape: LoadShape, policy: str, scenario: str, seeds: tuple[int, ...] = SEEDS
) -> dict[str, float]:
    """Return the figures of one policy in one scenario, over all seeds."""
    factor, faults = SCENARIOS[scenario]
    if "capacity" in scenario:
        factor *= shape.capacity / shape.rate
    outcomes: list[Outcome] = []
    link = 0
    for seed in seeds:
        asks = make(shape, seed=seed, factor=factor, nodes=8)
        world = World(shape=shape, asks=asks, policy=policy, faults=faults, seed=seed)
        outcomes += world.run()
        link += world.link_bytes
    return _summary(shape, outcomes, link, len(seeds))


def _summary(shape: LoadShape, outcomes: list[Outcome], link: int, seeds: int) -> dict[str, float]:
    served = [o for o in outcomes if o.ttft is not None]
    # Times count from a caller's first asking, however often it was sent away.
    waits = sorted(o.ended_at - o.ask.at for o in served)
    in_time = [wait for wait in waits if wait <= shape.deadline]
    useful = [o for o in served if o.ttft is not None and o.ttft <= shape.deadline]
    tokens = sum(o.ask.tokens for o in served)
    returned = [o for o in outcomes if o.returns]
    refused = Counter(o.refusal.kind.value for o in outcomes if o.refusal)
    late = [o for o in served if o.ttft is not None and o.ttft > shape.deadline]
    cost = sum(
        shape.weights.ttft * (o.ttft or 0.0) + shape.weights.recompute * o.recomputed / o.ask.tokens
        for o in served
    )
    cost += shape.weights.link * link / shape.link_rate
    return {
        "p50": _quantile(waits, 0.50),
        "p95": _quantile(waits, 0.95),
        "p99": _quantile(waits, 0.99),
        "recomputed": sum(o.recomputed for o in served) / max(1, tokens),
        "link_gb": link / 1e9,
        "in_time": len(in_time) / len(outcomes),
        "refused": sum(refused.values()) / len(outcomes),
        "late": len(late) / len(outcomes),
        "came_back_served": _part(returned, lambda o: o.ttft is not None),
        "first_return_served": _first_return(outcomes),
        "retries": sum(o.retries for o in outcomes) / len(outcomes),
        "worst_customer": _worst_customer(outcomes),
        "served_a_second": len(useful) / (seeds * shape.seconds),
        "cost": cost / max(1, len(served)),
    }


def _quantile(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def _part(outcomes: list[Outcome], check: Any) -> float:
    return sum(map(check, outcomes)) / len(outcomes) if outcomes else 1.0


def _first_return(outcomes: list[Outcome]) -> float:
    """Return the part of those who came back that were served at their first return."""
    returned = [o for o in outcomes if o.returns]
    return _part(returned, lambda o: o.returns == 1 and o.ttft is not None)


def _worst_customer(outcomes: list[Outcome]) -> float:
    """Return the least tokens served to a customer over what it asked, or its fair share.

    1 means that every customer got all it asked for, or at least an equal
    part of all that was served.
    """
    asked: dict[str, int] = defaultdict(int)
    got: dict[str, int] = defaultdict(int)
    for outcome in outcomes:
        asked[outcome.ask.customer] += outcome.ask.tokens
        got[outcome.ask.customer] += outcome.ask.tokens if outcome.ttft is not None else 0
    fair = sum(got.values()) / len(CUSTOMER_PARTS)
    return min(got[c] / min(asked[c], fair) for c in asked) if fair else 0.0


def _table(name: str, rows: dict[str, dict[str, dict[str, float]]]) -> None:
    columns = (
        "p50",
        "p95",
        "p99",
        "recomputed",
        "link_gb",
        "in_time",
        "refused",
        "late",
        "first_return_served",
        "retries",
        "worst_customer",
        "served_a_second",
        "cost",
    )
    for scenario, by_policy in rows.items():
        print(f"\n{name}: {scenario}")
        print(f"{'':18}" + "".join(f"{c[:11]:>12}" for c in columns))
        for policy, found in by_policy.items():
            print(f"{policy:18}" + "".join(f"{found[c]:12.3f}" for c in columns))


def _one(job: tuple[str, str, str]) -> dict[str, float]:
    name, scenario, policy = job
    return {k: round(v, 4) for k, v in figures(LOADS[name], policy, scenario).items()}


def measure() -> dict[str, Any]:
    """Return all figures, rounded to what the committed file holds."""
    jobs = [
        (name, scenario, policy) for name in LOADS for scenario in SCENARIOS for policy in RIVALS
    ]
    found: dict[str, Any] = {name: {scenario: {} for scenario in SCENARIOS} for name in LOADS}
    with ProcessPoolExecutor(_PROCESSES) as pool:
        for (name, scenario, policy), figure in zip(jobs, pool.map(_one, jobs), strict=True):
            found[name][scenario][policy] = figure
    for name in LOADS:
        _table(name, found[name])
    return found


def check_figures() -> dict[str, dict[str, float]]:
    """Return the few figures that the tests hold against the committed file, exactly."""
    return {
        name: {
            k: round(v, 4) for k, v in figures(shape, "cost", "fair weather", seeds=(1,)).items()
        }
        for name, shape in LOADS.items()
    }


def _plot(found: dict[str, Any]) -> None:
    import matplotlib as mpl

    mpl.use("svg")
    mpl.rcParams["svg.hashsalt"] = "fielddrift"
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(1, 2, figsize=(13, 5))
    for axis, (name, measure_name) in zip(
        axes, (("matchday", "p95"), ("circle-day", "recomputed")), strict=True
    ):
        scenarios = list(found[name])
        for policy in RIVALS:
            values = [found[name][s][policy][measure_name] for s in scenarios]
            axis.plot(values, range(len(scenarios)), "o-", label=policy, linewidth=0.8)
        axis.set_yticks(range(len(scenarios)), scenarios)
        axis.set_title(f"{name}: {measure_name}")
    axes[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(PLOT, metadata={"Date": None})


def main() -> None:
    """Measure all, print the tables, and write the file and the plot."""
    found = measure()
    found["check"] = check_figures()
    DATA.parent.mkdir(parents=True, exist_ok=True)
    DATA.write_text(json.dumps(found, indent=1, sort_keys=True) + "\n")
    _plot(found)


if __name__ == "__main__":
    main()
