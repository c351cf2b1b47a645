"""Play the weight store: it hands out weights at a limited rate."""

from __future__ import annotations

import threading
import time

import click
from werkzeug.wrappers import Request, Response

from .web import App, listen_options, run

__all__ = ["WeightStoreStandIn", "main"]

_WEIGHT_BYTES = 1000


class WeightStoreStandIn:
    """Serve one load at a time."""

    def __init__(self, *, seconds: float) -> None:
        self._seconds = seconds
        self._turn = threading.Lock()
        self.app = App(rules=[("GET", "/weights/<model>/<version>", self._get)])

    def _get(self, request: Request, model: str, version: str) -> Response:
        with self._turn:
            time.sleep(self._seconds)
        return Response(f"{model}/{version}".encode().ljust(_WEIGHT_BYTES, b"."))


@click.command()
@listen_options
@click.option("--seconds", default=0.05, help="Seconds one load takes.")
def main(host: str, port: int, seconds: float) -> None:
    """Serve weights."""
    run(WeightStoreStandIn(seconds=seconds).app, host, port)


if __name__ == "__main__":
    main()
