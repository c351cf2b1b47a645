"""Run soaks from the command line: `python -m soak --seeds 50`."""

from __future__ import annotations

import asyncio
import secrets
import shutil
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from .faults import FAULTS, SERIES
from .scene import Outcome, Size, run
from .seeds import FAILED_ONCE

_SEED_BITS = 32


def _one(seed: int, size: Size) -> tuple[Outcome, str]:
    """Run one seed; keep its logs only where something was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"fielddrift-soak-{seed}-"))
    outcome = asyncio.run(run(seed, size, folder))
    if not outcome.broken:
        shutil.rmtree(folder)
    return outcome, str(folder)


@click.command()
@click.option("--seed", type=int, multiple=True, help="Seeds to run, in place of fresh ones.")
@click.option("--seeds", default=4, show_default=True, help="How many fresh seeds.")
@click.option("--kept", is_flag=True, help="The seeds that failed once.")
@click.option("--fault", type=click.Choice(list(FAULTS)), multiple=True, help="Only these kinds.")
@click.option(
    "--first-kinds",
    type=click.IntRange(1, len(FAULTS)),
    default=len(FAULTS),
    show_default=True,
    help="Only so many kinds: those that there were when a seed failed.",
)
@click.option("--nodes", default=Size().nodes, show_default=True)
@click.option("--callers", default=Size().callers, show_default=True)
@click.option("--resting", default=Size().resting, show_default=True, help="Callers that rest.")
@click.option("--series", is_flag=True, help="Only planned work in series and silent targets.")
@click.option("--seconds", default=Size().seconds, show_default=True, help="Time of faults.")
@click.option("--jobs", default=1, show_default=True, help="Soaks side by side.")
def main(
    seed: tuple[int, ...],
    seeds: int,
    kept: bool,
    fault: tuple[str, ...],
    first_kinds: int,
    nodes: int,
    callers: int,
    resting: int,
    series: bool,
    seconds: float,
    jobs: int,
) -> None:
    """Soak fielddrift in faults; exit 1 where a promise was broken."""
    kinds = fault or (SERIES if series else tuple(FAULTS)[:first_kinds])
    size = Size(nodes, callers, seconds, kinds, resting)
    if kept:
        wanted = [failed.seed for failed in FAILED_ONCE]
        sizes = [size._replace(kinds=f.kinds, seconds=f.seconds) for f in FAILED_ONCE]
    else:
        wanted = list(seed) or [secrets.randbits(_SEED_BITS) for _ in range(seeds)]
        sizes = [size] * len(wanted)
    bad = 0
    with ProcessPoolExecutor(jobs) as pool:
        for played, (outcome, folder) in zip(sizes, pool.map(_one, wanted, sizes), strict=True):
            fresh, resumed = outcome.followed
            verdict = f"BROKEN, logs in {folder}" if outcome.broken else "held"
            click.echo(
                f"seed {outcome.seed}, {len(played.kinds)} kinds: {verdict}; "
                f"{outcome.answered}/{outcome.attempts}, "
                f"followed when cut in a first event: {fresh} fresh, {resumed} resumed"
            )
            click.echo(f"  {outcome.ends}; the soak's own process late by {outcome.late:.2f} s")
            if outcome.broken:
                for line in [*outcome.broken[:20], *outcome.told[:60], *outcome.faults]:
                    click.echo(f"  {line}")
            bad += bool(outcome.broken)
    click.echo(f"{len(wanted)} seeds, {bad} with something broken")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
