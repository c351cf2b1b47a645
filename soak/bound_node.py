"""Run a node whose connections come from its own address, so that links can tell nodes apart."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any
from unittest import mock

from fielddrift_node.clock import SuspendAwareLoop
from fielddrift_platform.main import main


class _BoundLoop(SuspendAwareLoop):
    """An event loop whose connections come from the address of the node's settings."""

    async def create_connection(self, *args: Any, **options: Any) -> Any:
        settings = tomllib.loads(Path(os.environ["FIELDDRIFT_SETTINGS"]).read_text())
        address = (settings["ip"], 0)
        return await super().create_connection(*args, local_addr=address, **options)


if __name__ == "__main__":
    with mock.patch("fielddrift_platform.main.SuspendAwareLoop", _BoundLoop):
        main()
