"""Settings that no node can run with are refused before it starts."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from fielddrift_node.serving.settings import SettingsError
from fielddrift_platform.settings import load

from .test_platform_adapter import SETTINGS


class TestSettings(unittest.TestCase):
    def _load(self, text: str) -> object:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "settings.toml"
            file.write_text(text)
            return load(str(file))

    def test_numbers_and_addresses_out_of_range_are_refused_with_their_name(self) -> None:
        """Failure: NaN as a bound, or an uncaught error as the node listened."""
        self._load(SETTINGS)
        for former, odd, word in (
            ("drain-ms = 1500", "drain-ms = nan", "drain-ms"),
            ("drain-ms = 1500", "drain-ms = inf", "drain-ms"),
            ("drain-ms = 1500", "drain-ms = -1", "drain-ms"),
            ("[7000, 7010]", "[70000, 70010]", "port-range"),
            ("10.1.0.1:80", "10.1.0.1:99999", "entry"),
            ("10.1.0.1:81", f"{'e' * 64}.a:1", "ready"),
            ("10.1.0.1:83", "10.1.0.1", "peer"),
        ):
            with self.subTest(odd=odd), self.assertRaisesRegex(SettingsError, word):
                self._load(SETTINGS.replace(former, odd, 1))
