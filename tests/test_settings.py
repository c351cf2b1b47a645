"""Settings and the operators' language: every fault named with place and value."""

from __future__ import annotations

import copy
import json
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from fielddrift_core.commands import CreateTarget, Rejected, SetHold, apply
from fielddrift_core.errors import ERROR_RESPONSES, ErrorKind
from fielddrift_core.grammar import Condition, GeneratedSecrets, Query, parse
from fielddrift_core.model import Configuration
from fielddrift_node.metrics import METRICS, Metrics
from fielddrift_node.settings import SettingsError, load

ROOT = Path(__file__).parent.parent
GOOD: dict[str, Any] = {
    "node": {"http": "127.0.0.1:8001", "peer": "127.0.0.1:9001", "data_centre": "catania-a"},
    "platform": {"table": "127.0.0.1:1", "objects": "127.0.0.1:1", "hosts": "127.0.0.1:2"},
    "keys": {"operators": {"anna": "0" * 64}, "peer": "x" * 20},
}
SECRETS = GeneratedSecrets("key", "salt")


def changed(path: str, value: Any) -> dict[str, Any]:
    """Return good settings with one value changed; None takes it out."""
    settings = copy.deepcopy(GOOD)
    place = settings
    *steps, last = path.split(".")
    for step in steps:
        place = place.setdefault(step, {})
    if value is None:
        del place[last]
    else:
        place[last] = value
    return settings


class SettingsTest(unittest.TestCase):
    def _load(self, content: Any) -> Any:
        text = content if isinstance(content, str) else json.dumps(content)
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "node.json"
            file.write_text(text)
            return load(file)

    def test_comments_and_defaults(self) -> None:
        settings = self._load("// a node\n" + json.dumps(GOOD)[:-1] + ", /* more */ }")
        self.assertEqual(settings["policy"], "cost")
        self.assertEqual(settings["limits"]["threads"], 320)

    def test_each_fault_names_path_value_and_what_was_expected(self) -> None:
        table = [
            ("node.http", "localhost:80", "node.http", "'localhost:80'"),
            ("node.http", 80, "node.http", "80"),
            ("node.peer", None, "node", "'peer' is missing"),
            ("node.colour", "red", "node", "unknown 'colour'"),
            ("limits.threads", 0, "limits.threads", "0"),
            ("limits.threads", "many", "limits.threads", "'many'"),
            ("policy", "best", "policy", "'best'"),
            ("peers", ["here"], "peers.0", "'here'"),
            ("keys.peer", "short", "keys.peer", "(a secret)"),
            ("keys.operators", {"anna": "plain"}, "keys.operators.anna", "(a secret)"),
            ("wrong", 1, "(top)", "unknown 'wrong'"),
        ]
        for path, value, place, shown in table:
            with self.subTest(path=path, value=value):
                with self.assertRaises(SettingsError) as raised:
                    self._load(changed(path, value))
                fault = raised.exception.faults[0]
                self.assertEqual((fault.path, fault.value), (place, shown))
                self.assertTrue(fault.expected)

    def test_all_faults_come_at_once(self) -> None:
        settings = changed("node.http", "x")
        settings["policy"] = "best"
        with self.assertRaises(SettingsError) as raised:
            self._load(settings)
        self.assertEqual(len(raised.exception.faults), 2)

    def test_what_is_no_json_is_one_fault(self) -> None:
        for content in ("{", "", "[1]", "\x00"):
            with self.assertRaises(SettingsError):
                self._load(content)

    def test_check_exits_with_2_and_no_stack_trace(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "node.json"
            file.write_text(json.dumps(changed("policy", "best")))
            command = [sys.executable, "-m", "fielddrift_node", "check", str(file)]
            done = subprocess.run(command, capture_output=True, text=True)
        self.assertEqual(done.returncode, 2)
        self.assertIn("policy: 'best', expected", done.stderr)
        self.assertNotIn("Traceback", done.stderr)

    def test_the_settings_in_deploy_are_right(self) -> None:
        files = sorted((ROOT / "deploy").glob("*/*.json"))
        self.assertGreaterEqual(len(files), 2)
        for file in files:
            with self.subTest(file=file.name):
                load(file)


class LanguageTest(unittest.TestCase):
    def test_statements(self) -> None:
        self.assertEqual(
            parse(
                'show held where customer = "a b" and blocks = 3 by store, tier', secrets=SECRETS
            ),
            Query(
                "held", (Condition("customer", "a b"), Condition("blocks", 3.0)), ("store", "tier")
            ),
        )
        service = parse(
            "create service m at 127.0.0.1:1 in dc serving pay not repeatable POST, put unchecked",
            secrets=SECRETS,
        )
        assert isinstance(service, CreateTarget)
        self.assertEqual(service.target.not_repeatable, ("POST", "PUT"))
        self.assertFalse(service.target.checks)
        hold = parse("set hold for customer a seconds 60 chance 0.5 rush 100", secrets=SECRETS)
        assert isinstance(hold, SetHold)
        self.assertEqual(hold.rule.rush, 100.0)

    def test_the_statements_in_deploy_are_right(self) -> None:
        for file in sorted((ROOT / "deploy").glob("*/*.statements")):
            configuration = Configuration()
            for line in file.read_text().splitlines():
                if line.strip() and not line.startswith("#"):
                    command = parse(line, secrets=GeneratedSecrets(line, "s"))
                    assert not isinstance(command, Query)
                    configuration = apply(configuration, command)
            self.assertTrue(configuration.customers, file.name)

    def test_a_wrong_statement_names_place_and_expectation(self) -> None:
        table = [
            ("creat customer a", "line 1, column 1", "CREATE"),
            ("create customer", "customer", "WORD"),
            ("show", "show", "HELD"),
            ("show held where", "where", "WORD"),
            ("set hold for customer a seconds many", "many", "INT"),
            ("swap model m to version v1 now", "now", "expected"),
            ("", "", "CREATE"),
            ("x" * 5000, "5000 characters", "4096"),
        ]
        for statement, place, expected in table:
            with self.subTest(statement=statement[:40]):
                with self.assertRaises(Rejected) as raised:
                    parse(statement, secrets=SECRETS)
                detail = raised.exception.refusal.detail
                self.assertIn(place, detail)
                self.assertIn(expected, detail)

    def test_a_wrong_value_is_refused_with_the_value(self) -> None:
        for statement, value in (
            ("create customer a share 0", "0"),
            ('create customer "a b"', "a b"),
            ("create store s at example.com:1 in dc memory 1 disk 1 link 1", "example.com:1"),
            ("create engine e at 127.0.0.1:1 in dc serving nothing", "nothing"),
        ):
            command = parse(statement, secrets=SECRETS)
            assert not isinstance(command, Query)
            with self.assertRaisesRegex(Rejected, value):
                apply(Configuration(), command)


class TablesTest(unittest.TestCase):
    def test_every_error_kind_has_its_answer(self) -> None:
        self.assertEqual(set(ERROR_RESPONSES), set(ErrorKind))

    def test_every_metric_is_in_the_docs_and_none_besides(self) -> None:
        text = (ROOT / "docs" / "METRICS.md").read_text()
        listed = {line.split("`")[1] for line in text.splitlines() if line.startswith("| `")}
        self.assertEqual(listed, set(METRICS))

    def test_every_metric_is_used(self) -> None:
        sources = "".join(file.read_text() for file in (ROOT / "packages/node/src").rglob("*.py"))
        for name in METRICS:
            if not name.startswith(("refused.", "retried.")):
                self.assertGreaterEqual(sources.count(f'"{name}"'), 2, name)

    def test_statsd_gets_sums_once(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(5)
            metrics = Metrics(address=f"127.0.0.1:{server.getsockname()[1]}")
            self.addCleanup(metrics.close)
            for _ in range(3):
                metrics.add("answers.whole")
            metrics.gauge("requests.open", 2)
            metrics.flush()
            first = server.recv(1500).decode().splitlines()
            metrics.add("answers.whole")
            metrics.flush()
            second = server.recv(1500).decode().splitlines()
        self.assertIn("fielddrift.answers.whole:3|c", first)
        self.assertIn("fielddrift.requests.open:2|g", first)
        self.assertIn("fielddrift.answers.whole:1|c", second)

    def test_an_unlisted_metric_is_an_error(self) -> None:
        with self.assertRaisesRegex(ValueError, "'odd'"):
            Metrics(address="").add("odd")
