"""Start `fielddriftd`, or check its settings."""

from __future__ import annotations

import signal
import sys
import threading

import click

from .daemon import Daemon
from .log import configure
from .settings import Settings, SettingsError, load

__all__ = ["main"]

_BAD_SETTINGS = 2
_LAST_LINES_SECONDS = 0.5
"""How long the last log lines may take at the end."""
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@click.group()
@click.version_option(package_name="fielddrift-node")
def main() -> None:
    """Run a node of fielddrift."""


@main.command()
@click.argument("settings", type=click.Path())
def run(settings: str) -> None:
    """Run a node with the SETTINGS file until SIGTERM."""
    checked = _load(settings)
    sink = configure(level=checked["log_level"], node=checked["node"]["peer"])
    stop = threading.Event()
    for number in _STOP_SIGNALS:
        signal.signal(number, lambda *_: stop.set())
    daemon = Daemon(settings=checked)
    daemon.start()
    stop.wait()
    daemon.stop()
    # The interpreter gives its handlers up before it ends; a second signal
    # in that moment would turn a clean stop into a killed process.
    for number in _STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    sink.close(seconds=_LAST_LINES_SECONDS)
    sys.exit(0)


@main.command()
@click.argument("settings", type=click.Path())
def check(settings: str) -> None:
    """Say what is wrong in the SETTINGS file, and where."""
    _load(settings)
    click.echo(f"{settings}: right")


def _load(file: str) -> Settings:
    try:
        return load(file)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(_BAD_SETTINGS)
