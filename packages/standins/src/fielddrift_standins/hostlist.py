"""Play the platform's lagging host list.

`PUT /hosts` sets the true list; `GET /hosts` shows it `lag` seconds late.
"""

from __future__ import annotations

import time
from typing import Any

import click
from werkzeug.wrappers import Request, Response

from .web import App, json_response, listen_options, run

__all__ = ["HostListStandIn", "main"]


class HostListStandIn:
    """Keep each list with the moment it was set."""

    def __init__(self, *, lag: float) -> None:
        self._lag = lag
        self._lists: list[tuple[float, list[Any]]] = [(float("-inf"), [])]
        self.app = App(rules=[("GET", "/hosts", self._get), ("PUT", "/hosts", self._put)])

    def _get(self, request: Request) -> Response:
        seen = time.monotonic() - self._lag
        current = [hosts for at, hosts in self._lists if at <= seen][-1]
        return json_response({"hosts": current})

    def _put(self, request: Request) -> Response:
        body = request.get_json()
        at = float("-inf") if body.get("at_once") else time.monotonic()
        self._lists.append((at, body["hosts"]))
        return json_response({})


@click.command()
@listen_options
@click.option("--lag", default=0.0, help="Seconds by which the list is late.")
def main(host: str, port: int, lag: float) -> None:
    """Serve the host list."""
    run(HostListStandIn(lag=lag).app, host, port)


if __name__ == "__main__":
    main()
