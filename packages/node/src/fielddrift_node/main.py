"""Command line of `fielddriftd`: run a node, or check its settings file."""

from __future__ import annotations

import faulthandler
import sys

import click

from .daemon import Daemon
from .log import configure, get
from .settings import Settings, SettingsError, load
from .stopping import StopSignals

__all__ = ["main"]

_BAD_SETTINGS_EXIT_CODE = 2
_LOG_FLUSH_SECONDS = 0.5
"""Maximum time to write the last log lines at exit."""


@click.group()
@click.version_option(package_name="fielddrift-node")
def main() -> None:
    """Run a node of fielddrift."""


@main.command()
@click.argument("settings", type=click.Path())
def run(settings: str) -> None:
    """Run a node with the SETTINGS file until SIGTERM."""
    # Dumps the stacks of all threads to standard error on SIGABRT.
    faulthandler.enable()
    signals = StopSignals()
    checked = _load(settings)
    sink = configure(level=checked["log_level"], node=checked["node"]["peer"])
    daemon = Daemon(settings=checked)
    daemon.start()
    received = signals.wait()
    get().info("stopping", signal=received.name)
    daemon.stop()
    sink.close(seconds=_LOG_FLUSH_SECONDS)
    sys.exit(0)


@main.command()
@click.argument("settings", type=click.Path())
def check(settings: str) -> None:
    """Check the SETTINGS file and list its faults with their paths."""
    _load(settings)
    click.echo(f"{settings}: valid")


def _load(file: str) -> Settings:
    try:
        return load(file)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(_BAD_SETTINGS_EXIT_CODE)
