"""`python -m bench.lab`: play loads on several seeds, and print what came of them."""

from __future__ import annotations

import json
import logging
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import click
import structlog
from tabulate import tabulate

from .figures import Figures, Interval, intervals, measure
from .laboratory import play
from .loads import LOADS, make
from .sizes import Sizes, SizesFault, draw, read_sizes
from .switches import SWITCHES, switched_off

__all__ = ["main"]

_PROCESSES = 4
_BAD_INPUT = 2


class _Job(NamedTuple):
    load: str
    sizes: Sizes
    seed: int
    off: tuple[str, ...]


def _one(job: _Job) -> Figures:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    with switched_off(job.off):
        load = make(job.load, job.sizes, seed=job.seed)
        return measure(play(load, job.sizes, seed=job.seed), job.sizes)


def _table(found: dict[str, dict[str, Interval]]) -> str:
    rows = [
        [name, *(f"{i.mean:.3f} ±{i.error:.3f}" for i in figures.values())]
        for name, figures in found.items()
    ]
    return tabulate(rows, headers=["load", *Figures._fields])


def _plot(path: Path, found: dict[str, dict[str, Interval]]) -> None:
    import matplotlib as mpl

    mpl.use("svg")
    mpl.rcParams["svg.hashsalt"] = "fielddrift"
    from matplotlib import pyplot as plt

    figure, axis = plt.subplots(figsize=(9, 0.4 * len(found) + 1.5))
    names = list(found)
    for field in ("before", "during", "after"):
        means = [found[name][field].mean for name in names]
        errors = [found[name][field].error for name in names]
        axis.errorbar(means, range(len(names)), xerr=errors, fmt="o", label=field)
    axis.set_yticks(range(len(names)), names)
    axis.set_xlabel("part of the worth that is answered in time")
    axis.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


@click.command()
@click.option(
    "--load", "loads", multiple=True, type=click.Choice(sorted(LOADS)), help="all if none"
)
@click.option("--seeds", default=3, type=click.IntRange(1), help="plays of each load")
@click.option("--first-seed", default=1, type=int)
@click.option("--off", "off", multiple=True, type=click.Choice(sorted(SWITCHES)))
@click.option("--each-off", is_flag=True, help="each load with each mechanism switched off alone")
@click.option("--sizes", "sizes_file", type=click.Path(path_type=Path), help="JSON, see sizes.py")
@click.option("--drawn", is_flag=True, help="draw other sizes for each seed")
@click.option("--nodes", type=click.IntRange(1), help="in place of the sizes' own")
@click.option("--engines", type=click.IntRange(1), help="in place of the sizes' own")
@click.option("--seconds", type=click.FloatRange(5), help="length of a play")
@click.option("--part", type=click.FloatRange(0.01, 2), help="load as a part of the capacity")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write figures here")
@click.option("--plot", "plot_file", type=click.Path(path_type=Path), help="write an SVG here")
@click.option("--processes", default=_PROCESSES, type=click.IntRange(1))
def main(
    loads: tuple[str, ...],
    seeds: int,
    first_seed: int,
    off: tuple[str, ...],
    each_off: bool,
    sizes_file: Path | None,
    drawn: bool,
    nodes: int | None,
    engines: int | None,
    seconds: float | None,
    part: float | None,
    json_file: Path | None,
    plot_file: Path | None,
    processes: int,
) -> None:
    """Play loads in virtual time; the same arguments give the same figures."""
    try:
        sizes = Sizes() if sizes_file is None else read_sizes(sizes_file)
    except SizesFault as fault:
        click.echo(str(fault), err=True)
        sys.exit(_BAD_INPUT)
    given = {"nodes": nodes, "engines": engines, "seconds": seconds, "load": part}
    changed: dict[str, Any] = {n: value for n, value in given.items() if value is not None}
    sizes = sizes._replace(**changed)
    ways = [off]
    if each_off:
        ways = [off, *((*off, name) for name in sorted(SWITCHES) if name not in off)]
    jobs: dict[str, list[_Job]] = {}
    for name in loads or sorted(LOADS):
        for way in ways:
            label = " ".join([name, *(f"-{switch}" for switch in way)])
            jobs[label] = [
                _Job(name, draw(random.Random(seed), sizes) if drawn else sizes, seed, way)
                for seed in range(first_seed, first_seed + seeds)
            ]
    flat = [job for group in jobs.values() for job in group]
    with ProcessPoolExecutor(processes) as pool:
        played = iter(list(pool.map(_one, flat)))
    found = {name: intervals([next(played) for _ in group]) for name, group in jobs.items()}
    click.echo(_table(found))
    if json_file is not None:
        plain = {n: {k: i._asdict() for k, i in f.items()} for n, f in found.items()}
        json_file.write_text(json.dumps(plain, indent=1, sort_keys=True) + "\n")
    if plot_file is not None:
        _plot(plot_file, found)


if __name__ == "__main__":
    main()
