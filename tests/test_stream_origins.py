"""Origins of streams: what is kept, for how long, who holds it, and what is presumed without it."""

from __future__ import annotations

import unittest
from collections import Counter

from fielddrift_core.rollout import StoreClock
from fielddrift_core.stream_origins import (
    SavedVersion,
    ServiceVersions,
    StreamOrigin,
    StreamOrigins,
    UnknownOrigin,
    presumed_version,
    rank_holders,
    stream_key,
)


def _origin(number: int, *, until: float = 10.0) -> StreamOrigin:
    return StreamOrigin(stream_key("ana", f"r{number}"), "engines", "v1", until)


class TestStreamOrigins(unittest.TestCase):
    def test_an_origin_is_kept_until_its_stream_cannot_be_resumed(self) -> None:
        origins, origin = StreamOrigins(), _origin(1)
        origins.record(origin)
        self.assertEqual(origins.find(origin.key, 9.9), origin)
        self.assertIsNone(origins.find(origin.key, 10.0))
        origins.expire(10.0)
        self.assertEqual(len(origins), 0)

    def test_the_number_of_origins_is_bounded_and_the_oldest_go_first(self) -> None:
        origins = StreamOrigins()
        for number in range(10_500):
            origins.record(_origin(number))
        self.assertEqual(len(origins), 10_000)
        self.assertIsNone(origins.find(_origin(499).key, 0.0))
        self.assertIsNotNone(origins.find(_origin(500).key, 0.0))

    def test_customers_that_choose_the_same_request_id_have_streams_of_their_own(self) -> None:
        self.assertNotEqual(stream_key("ana", "r1"), stream_key("bo", "r1"))
        self.assertNotEqual(stream_key("ana", "r1"), stream_key("anar", "1"))


class TestHolders(unittest.TestCase):
    def test_all_nodes_rank_holders_alike_and_share_the_streams_evenly(self) -> None:
        names = [f"front-{zone}-{n}" for zone in "abc" for n in range(4)]
        first = Counter(rank_holders(_origin(n).key, names)[0] for n in range(6000))
        self.assertEqual(set(first), set(names))
        self.assertLess(max(first.values()), 2 * min(first.values()))
        key = _origin(1).key
        self.assertEqual(rank_holders(key, names), rank_holders(key, reversed(names)))

    def test_a_node_that_ends_changes_the_holders_of_its_streams_only(self) -> None:
        names = [f"n{n}" for n in range(8)]
        for number in range(100):
            key = _origin(number).key
            ranked = rank_holders(key, names)
            rest = rank_holders(key, [name for name in names if name != ranked[2]])
            self.assertEqual(rest[:2], ranked[:2])


class TestPresumedVersion(unittest.TestCase):
    def test_any_target_may_resume_a_stream_where_one_version_serves(self) -> None:
        self.assertEqual(presumed_version({}, 5.0), "")
        self.assertEqual(presumed_version({"v1": 1.0}, 5.0), "")

    def test_a_stream_is_of_the_former_version_while_the_second_one_is_new(self) -> None:
        self.assertEqual(presumed_version({"v2": 99.0, "v1": 1.0}, 100.0), "v1")
        self.assertEqual(presumed_version({"v2": 99.0, "v3": 99.5, "v1": 1.0}, 100.0), "v1")

    def test_nothing_is_presumed_where_several_versions_may_have_begun_a_stream(self) -> None:
        for seen in ({"v1": 1.0, "v2": 90.0}, {"v1": 99.0, "v2": 99.0}):
            with self.assertRaises(UnknownOrigin):
                presumed_version(seen, 100.0)
        with self.assertRaises(UnknownOrigin):
            presumed_version({"v1": 1.0, "v2": 50.0, "v3": 99.9}, 100.0)


class TestServiceVersions(unittest.TestCase):
    def test_a_version_counts_for_a_while_after_its_last_target_has_ended(self) -> None:
        versions = ServiceVersions()
        self.assertFalse(versions.observe("s", ["v1"], 0.0))
        self.assertTrue(versions.observe("s", ["v1", "v2"], 1.0))
        self.assertFalse(versions.observe("s", ["v2"], 2.0))
        self.assertTrue(versions.is_mixed("s"))
        versions.observe("s", ["v2"], 40.0)
        self.assertFalse(versions.is_mixed("s"))
        self.assertFalse(versions.is_mixed("other"))

    def test_a_version_counts_while_callers_of_long_routes_may_return(self) -> None:
        """Failure: a version was forgotten after 30 s however long its streams may last."""
        versions = ServiceVersions()
        versions.set_longest_timeout(25.0)
        versions.observe("s", ["v1", "v2"], 0.0)
        versions.observe("s", ["v2"], 49.0)
        self.assertTrue(versions.is_mixed("s"))
        versions.observe("s", ["v2"], 51.0)
        self.assertFalse(versions.is_mixed("s"))

    def test_a_version_counts_no_longer_than_origins_are_kept(self) -> None:
        versions = ServiceVersions()
        versions.set_longest_timeout(3600.0)
        versions.observe("s", ["v1", "v2"], 0.0)
        versions.observe("s", ["v2"], 61.0)
        self.assertFalse(versions.is_mixed("s"))

    def test_a_row_that_cannot_be_read_leaves_the_history_of_its_service_unknown(self) -> None:
        """Failure: an unreadable row counted as one without versions: any target would do."""
        versions = ServiceVersions()
        versions.expect_history()
        versions.observe("s", ["v2"], 0.0)
        with self.assertRaises(UnknownOrigin):
            versions.presumed("s", 0.0, all_reached=True)
        versions.restore({}, StoreClock(0.0, 0.0, 0.0), 1.0, unreadable=["s"])
        with self.assertRaises(UnknownOrigin):
            versions.presumed("s", 2.0, all_reached=True)
        self.assertEqual(versions.presumed("other", 2.0, all_reached=True), "")
        self.assertEqual(versions.presumed("s", 31.0, all_reached=True), "")

    def test_nothing_is_presumed_of_versions_that_served_before_the_start(self) -> None:
        """Failure: a version that appeared shortly before all nodes ended, and had begun streams,
        counted as one that had begun none."""
        versions = ServiceVersions()
        versions.expect_history()
        saved = {"v1": SavedVersion(1.0, None), "v2": SavedVersion(99.0, None)}
        versions.restore({"s": saved}, StoreClock(100.0, 100.0, 100.0), 100.0)
        for all_reached in (False, True):
            with self.assertRaises(UnknownOrigin):
                versions.presumed("s", 100.5, all_reached=all_reached)

    def test_a_stream_is_of_the_saved_version_while_one_that_appeared_since_is_new(self) -> None:
        versions = ServiceVersions()
        versions.expect_history()
        saved = {"v1": SavedVersion(1.0, None)}
        versions.restore({"s": saved}, StoreClock(100.0, 100.0, 100.0), 100.0)
        versions.observe("s", ["v1", "v2"], 101.0)
        self.assertEqual(versions.presumed("s", 102.0, all_reached=False), "v1")

    def test_a_target_of_unknown_version_makes_no_mixture(self) -> None:
        versions = ServiceVersions()
        versions.observe("s", ["v1", ""], 0.0)
        self.assertFalse(versions.is_mixed("s"))
