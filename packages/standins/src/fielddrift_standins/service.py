"""Play a plain service, some of whose calls may not be repeated.

It keeps a journal of every call that ran.  Switches: `down`, `slow`,
`cut_before` (so many calls are cut before they run), `cut_after` (so many run
but go unanswered), `busy` (so many are refused unstarted), `pause` (all are refused
unstarted, with so many seconds to wait), `leaving`.
"""

from __future__ import annotations

import threading
import time

import click
from werkzeug.wrappers import Request, Response

from .web import App, json_response, listen_options, lost, run

__all__ = ["ServiceStandIn", "main"]


class ServiceStandIn:
    """Run calls by writing them in the journal."""

    def __init__(self, *, seconds: float) -> None:
        self._seconds = seconds
        self._journal: list[dict[str, str]] = []
        self._turned_away = 0
        """Calls that were told to wait."""
        self._lock = threading.Lock()
        self._epoch = int(time.time() * 1000)
        rules = [(m, "/call/<path:path>", self._call) for m in ("GET", "POST", "PUT", "DELETE")]
        self.app = App(
            rules=[*rules, ("GET", "/journal", self._get_journal), ("GET", "/load", self._load)]
        )

    def _call(self, request: Request, path: str) -> Response:
        if self.app.faults.get("leaving"):
            return json_response({}, 503, X_Started="no", X_Leaving=str(self._epoch))
        if pause := self.app.faults.get("pause"):
            with self._lock:
                self._turned_away += 1
            return json_response({}, 503, X_Started="no", Retry_After=str(pause))
        if self.app.faults.take("busy"):
            return json_response({}, 429, X_Started="no")
        if self.app.faults.take("cut_before"):
            return lost()
        time.sleep(self._seconds)
        self.app.end_if_fatal(request.get_data(as_text=True))
        entry = {
            "method": request.method,
            "path": path,
            "customer": request.headers.get("X-Customer", ""),
            "key": request.headers.get("Idempotency-Key", ""),
            "request": request.headers.get("X-Request-Id", ""),
            "body": request.get_data(as_text=True),
        }
        with self._lock:
            self._journal.append(entry)
            number = len(self._journal)
        if self.app.faults.take("cut_after"):
            return lost()
        return json_response({"ran": number, "body": entry["body"]}, X_Started="yes")

    def _get_journal(self, request: Request) -> Response:
        with self._lock:
            return json_response({"journal": self._journal, "turned_away": self._turned_away})

    def _load(self, request: Request) -> Response:
        leaving = bool(self.app.faults.get("leaving"))
        return json_response({"running": 0, "queued": 0, "backlog": 0, "leaving": leaving})


@click.command()
@listen_options
@click.option("--seconds", default=0.005, help="Seconds a call takes.")
def main(host: str, port: int, seconds: float) -> None:
    """Serve the plain service."""
    run(ServiceStandIn(seconds=seconds).app, host, port)


if __name__ == "__main__":
    main()
