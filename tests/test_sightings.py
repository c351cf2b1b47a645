"""Sightings: what nodes tell each other of their sends."""

from __future__ import annotations

import threading
import unittest
from unittest import mock

from fielddrift_node.metrics import Metrics
from fielddrift_node.sightings import Ended, Head, Sent, Sighting, Sightings, short_hash
from fielddrift_standins.fleet import free_port

from .fleets import CUSTOMER, FleetTest

SENT = Sent("engine-0", short_hash("run"), 8000, 2**63 + 5, 32, "archivio-rose", 120_000)
HEAD = Head(
    "engine-0", short_hash("run"), 3, 1, 9000, 2**63 + 5, 32, "ab" * 8, "archivio-rose", 0.25
)
ENDED = Ended("engine-0", short_hash("run"))


class SightingsTest(unittest.TestCase):
    def _start(
        self, key: str = "k" * 16, peers: list[str] | None = None, **options: float
    ) -> Sightings:
        self.taken: list[Sighting] = []
        self.heard = threading.Event()
        self.address = f"127.0.0.1:{free_port()}"
        sightings = Sightings(
            address=self.address,
            key=key,
            audience=lambda model: peers or [],
            on_receive=lambda sighting: self._take(sighting),
            metrics=Metrics(address=""),
            **options,
        )
        self.addCleanup(sightings.close)
        return sightings

    def _take(self, sighting: Sighting) -> None:
        self.taken.append(sighting)
        self.heard.set()

    def test_what_is_told_arrives(self) -> None:
        self._start()
        teller = self._start_teller([self.address])
        teller.send("m", SENT)
        self.assertTrue(self.heard.wait(5))
        self.assertEqual(self.taken[0], SENT)

    def _start_teller(self, peers: list[str], **options: float) -> Sightings:
        taken, heard, address = self.taken, self.heard, self.address
        teller = self._start(peers=peers, **options)
        self.taken, self.heard, self.address = taken, heard, address
        return teller

    def test_one_that_cannot_be_taken_does_not_end_the_hearing(self) -> None:
        """Found by reading: a node hears sightings while it is still starting."""
        self._start()
        teller = self._start_teller([self.address])
        with mock.patch.object(self, "_take", side_effect=AttributeError):
            teller.send("m", SENT)
            threading.Event().wait(0.2)
        teller.send("m", HEAD)
        self.assertTrue(self.heard.wait(5))
        self.assertEqual(self.taken, [HEAD])

    def test_every_kind_comes_out_as_it_went_in(self) -> None:
        one = self._start()
        for data in one.pack([SENT, HEAD, ENDED]):
            self.assertEqual(one.unpack(data), [SENT, HEAD, ENDED])

    def test_many_are_split_into_packets(self) -> None:
        one = self._start()
        packed = one.pack([HEAD] * 60)
        self.assertGreater(len(packed), 1)
        self.assertTrue(all(len(data) <= 1400 for data in packed))
        self.assertEqual(sum(len(one.unpack(data)) for data in packed), 60)

    def test_another_key_and_altered_bytes_are_refused(self) -> None:
        one, other = self._start(), self._start(key="o" * 16)
        data = one.pack([SENT])[0]
        altered = data[:-1] + bytes([data[-1] ^ 1])
        for bad in (other.pack([SENT])[0], altered, b"", b"x" * 50):
            with self.assertRaisesRegex(ValueError, "keyed digest"):
                one.unpack(bad)

    def test_beyond_its_bytes_per_second_nothing_is_sent(self) -> None:
        self._start()
        teller = self._start_teller([self.address], bytes_per_second=20.0)
        teller.send("m", HEAD)
        self.assertFalse(self.heard.wait(0.3))

    def test_old_ones_are_left_out(self) -> None:
        one = self._start()
        data = one.pack([SENT])[0]
        with mock.patch("time.time", return_value=4e9):
            self.assertEqual(one.unpack(data), [])


class SharedSightingsTest(FleetTest):
    def test_a_node_knows_what_another_one_had_computed(self) -> None:
        """Without sightings the second node would compute the prompt.

        Nothing is kept meanwhile: a quick import elsewhere may rightly win.
        """
        for store in ("archivio-rose", "archivio-storico"):
            self.fleet.faults(store, full=True)
        prompt = self.prompt(6)
        first = self.fleet.complete(CUSTOMER, prompt, node=self.fleet.nodes[0])
        second = self.fleet.complete(CUSTOMER, prompt, node=self.fleet.nodes[1])
        self.assert_right(second, prompt)
        self.assertEqual(second.headers["fielddrift-source"], "memory")
        self.assertEqual(second.headers["fielddrift-target"], first.headers["fielddrift-target"])
