"""Golden files of whole sessions, a caller's and an operator's.

`make golden` renews them; read the difference before committing it.
"""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

from fielddrift_standins.fetch import Fetched, fetch
from fielddrift_standins.fleet import OPERATOR_KEY, wait_until

from .fleets import CUSTOMER, FleetTest

FOLDER = Path(__file__).parent / "golden"
_CHANGING = (
    (re.compile(r"127\.0\.0\.1:\d+(-[0-9a-f]{8}-\d+)?"), "ADDRESS"),
    (re.compile(r"\b[0-9a-f]{32}\b"), "ID"),
    (re.compile(r"(key: |\"key\": \")[\w-]{43}"), r"\1KEY"),
    (re.compile(r"[0-9a-f]{6} (?=[0-9a-f\"])"), "WORD "),
    (re.compile(r"[0-9a-f]{6} \""), 'WORD "'),
    (re.compile(r"(seconds: |first token estimated in )[\d.]+"), r"\1N"),
    (re.compile(r"engine-\d"), "ENGINE"),
    (re.compile(r"-{5,}"), "-----"),
    (re.compile(r" {3,}"), "   "),
)


def steady(text: str) -> str:
    """Return `text` with what differs from run to run taken out."""
    for pattern, word in _CHANGING:
        text = pattern.sub(word, text)
    return "\n".join(line.rstrip() for line in text.splitlines()) + "\n"


class GoldenTest(FleetTest):
    nodes = 1
    engines = 2

    def _check(self, name: str, session: list[str]) -> None:
        file, found = FOLDER / name, steady("\n".join(session))
        if os.environ.get("FIELDDRIFT_RENEW_GOLDEN"):
            file.write_text(found)
        self.assertEqual(found, file.read_text(), "make golden renews the files")

    def test_a_callers_session(self) -> None:
        session: list[str] = []

        def note(what: str, got: Fetched) -> None:
            shown = {k: got.headers[k] for k in ("content-type", "retry-after") if k in got.headers}
            session.extend([f"> {what}", f"< {got.status} {json.dumps(shown)}"])
            session.append(got.body.decode().rstrip() + "\n")

        node = self.fleet.nodes[0]
        note("GET /v1/entry?model=oracolo", fetch("GET", node.url("/v1/entry?model=oracolo")))
        whole = self.fleet.complete(CUSTOMER, "Chi schiero?", max_tokens=2)
        note("POST /v1/completions", whole)
        note(
            "POST /v1/completions, streamed",
            self.fleet.complete(CUSTOMER, "Chi schiero?", max_tokens=2, stream=True),
        )
        call: dict[str, Any] = {"key": "transfer-7"}
        note("POST /v1/services/mercato/transfers", self.fleet.call(CUSTOMER, "t", b"{}", **call))
        wait_until(lambda: self._state("transfer-7") == "ran", "kept")
        note("the same again", self.fleet.call(CUSTOMER, "t", b"{}", **call))
        note("the key for another body", self.fleet.call(CUSTOMER, "t", b"[]", **call))
        note("without a key", self.fleet.call(CUSTOMER, "t", b"{}"))
        note("an unknown model", self.fleet.complete(CUSTOMER, "x", model="nobody"))
        note("GET /v1/requests/transfer-7", self._request("transfer-7"))
        note("GET /v1/requests/never-sent", self._request("never-sent"))
        self._check("caller.txt", session)

    def _request(self, name: str) -> Fetched:
        bearer = {"Authorization": f"Bearer {self.fleet.keys[CUSTOMER]}"}
        return fetch("GET", self.fleet.nodes[0].url(f"/v1/requests/{name}"), None, bearer)

    def _state(self, name: str) -> str:
        return str(json.loads(self._request(name).body)["state"])

    def test_an_operators_session(self) -> None:
        session: list[str] = []
        for statement in (
            "show models",
            "show targets by role",
            "create customer lega-nuova share 2",
            "create customer lega-nuova",
            "set hold for customer lega-nuova seconds 3600 chance 0.5",
            'show holds where customer = "lega-nuova"',
            "prepare model oracolo version v2",
            "swap model oracolo to version v3",
            "drain target mercato",
            "show targets where leaving",
            "show customers by share",
            "drop customer lega-nuova",
            "show nowhere",
        ):
            done = self._run(statement)
            session.extend([f"> {statement}", (done.stdout + done.stderr).rstrip()])
            session.append(f"exit {done.returncode}\n")
        self._check("operator.txt", session)

    def _run(self, statement: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "fielddrift_cli.main", statement, "--wait", "5"]
        command += ["--node", self.fleet.nodes[0].http, "--key", OPERATOR_KEY]
        return subprocess.run(command, capture_output=True, text=True)
