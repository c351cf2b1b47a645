"""A node process stops within the grace period that its settings file names by then."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
import tempfile
from pathlib import Path

from fielddrift_standins.fleet import free_port
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, eventually, get, parse, request, send_raw

_SHORT_GRACE_SECONDS = 1.4
_LONG_GRACE_SECONDS = 6.0
_WORK_SECONDS = 2.0
"""Longer than the short grace period."""
_SETTINGS = """\
node-name = "node-1"
ip = "{ip}"
zone = "a"
region = "r"
port-range = [{gossip}, {gossip}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[platform]
address = "{store}"
[bounds]
grace-s = {{grace}}
"""


class TestGracePeriod(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.fleet.worker(Worker(name="w1", work_seconds=_WORK_SECONDS), "plain")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "node.toml"
        # The port of the metrics is fixed, so the node needs an address of its own.
        rng = random.SystemRandom()
        ip = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}.{rng.randrange(1, 250)}"
        names = ("gossip", "front", "ready", "control", "directory")
        ports = {name: free_port() for name in names}
        self.entry, self.ready = f"{ip}:{ports['front']}", f"{ip}:{ports['ready']}"
        self.template = _SETTINGS.format(ip=ip, store=self.fleet.store_address, **ports)
        self.write(_SHORT_GRACE_SECONDS)
        self.node = await self._start()
        self.addAsyncCleanup(self._kill)
        await eventually(self._is_ready)

    async def _start(self) -> asyncio.subprocess.Process:
        """Start the node as the deploy file does."""
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fielddrift_platform",
            env={**os.environ, "FIELDDRIFT_SETTINGS": str(self.file)},
            stdout=asyncio.subprocess.DEVNULL,
        )

    async def _kill(self) -> None:
        if self.node.returncode is None:
            self.node.kill()
            await self.node.wait()

    def _reload(self) -> None:
        """Send SIGHUP, without the look at the process that `send_signal` takes: it would keep the
        event loop from the exit code."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.node.pid, signal.SIGHUP)

    def _ignores_reloads(self) -> bool:
        status = Path(f"/proc/{self.node.pid}/status").read_text()
        ignored = int(status.partition("SigIgn:")[2].split()[0], 16)
        return bool(ignored >> (signal.SIGHUP - 1) & 1)

    async def _is_ready(self) -> bool:
        try:
            return (await get(self.ready, "/readyz")).status == 200
        except OSError:
            return False

    def write(self, grace: float) -> None:
        """Write the settings file."""
        self.file.write_text(self.template.format(grace=grace))

    async def ask_beside_stop(self) -> int:
        """Send a request, stop the node, and return the status of the answer, 0 without one."""
        asking = asyncio.ensure_future(send_raw(self.entry, request("/unsafe/x")))
        await asyncio.sleep(0.2)
        self.node.send_signal(signal.SIGTERM)
        status = parse(await asking).status
        await asyncio.wait_for(self.node.wait(), 2 * _LONG_GRACE_SECONDS)
        self.assertEqual(self.node.returncode, 0)
        return status

    async def test_a_request_is_not_cut_by_a_grace_period_that_was_lengthened(self) -> None:
        self.write(_LONG_GRACE_SECONDS)
        self.node.send_signal(signal.SIGHUP)
        self.assertEqual(await self.ask_beside_stop(), 200)

    async def test_a_changed_file_counts_without_a_signal(self) -> None:
        self.write(_LONG_GRACE_SECONDS)
        self.assertEqual(await self.ask_beside_stop(), 200)

    async def test_a_file_that_cannot_be_read_leaves_the_last_grace_period(self) -> None:
        self.write(_LONG_GRACE_SECONDS)
        self.node.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.file.write_text("grace = [")
        self.assertEqual(await self.ask_beside_stop(), 200)

    async def test_reloads_are_ignored_before_the_modules_are_loaded(self) -> None:
        """Failure: a signal had its default action until then, which ends the process."""
        program = (
            "import signal, sys, types\n"
            "from fielddrift_platform.__main__ import start\n"
            "class Main(types.ModuleType):\n"
            "    def __getattr__(self, name):\n"
            "        if name != 'main': raise AttributeError(name)\n"
            "        print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)\n"
            "        return lambda: None\n"
            "sys.modules['fielddrift_platform.main'] = Main('main')\n"
            "start()\n"
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", program, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        self.assertEqual(output.split(), [b"True"])

    async def test_reloads_while_the_process_starts_do_not_end_it(self) -> None:
        """Failure: the handler named a node that did not exist yet."""
        await self._kill()
        self.node = await self._start()
        # The interpreter itself takes some ms, in which no program can handle a signal.
        await eventually(self._ignores_reloads)
        while not await self._is_ready():
            self.assertIsNone(self.node.returncode)
            self._reload()
            await asyncio.sleep(0.002)
        self.assertIsNone(self.node.returncode)

    async def test_reloads_in_the_last_moments_do_not_end_the_process(self) -> None:
        self.node.send_signal(signal.SIGTERM)
        while self.node.returncode is None:
            self._reload()
            await asyncio.sleep(0.002)
        self.assertEqual(self.node.returncode, 0)
