"""Names of cached blocks by customer and version, and placement by rendezvous hash."""

from __future__ import annotations

import unittest

from fielddrift_core.names import BLOCK_BYTES, chained_digests, prefix_name, rank

TEXT = b"x" * (3 * BLOCK_BYTES + 5)


class NamesTest(unittest.TestCase):
    def test_the_same_text_in_two_customers_has_two_names(self) -> None:
        one, two = chained_digests(TEXT, salt="a"), chained_digests(TEXT, salt="b")
        self.assertFalse(set(one) & set(two))

    def test_versions_have_names_of_their_own(self) -> None:
        digests = chained_digests(TEXT, salt="a")
        names = [
            prefix_name(customer="c", model="m", version=v, digests=digests, blocks=3)
            for v in ("v1", "v2")
        ]
        self.assertNotEqual(names[0].path, names[1].path)
        self.assertNotEqual(names[0].folder, names[1].folder)

    def test_a_digest_covers_all_text_before_it(self) -> None:
        changed = b"y" + TEXT[1:]
        self.assertNotEqual(
            chained_digests(TEXT, salt="a")[2], chained_digests(changed, salt="a")[2]
        )

    def test_a_block_that_is_not_full_has_no_name(self) -> None:
        self.assertEqual(len(chained_digests(TEXT, salt="a")), 3)
        self.assertEqual(chained_digests(b"short", salt="a"), [])

    def test_more_blocks_than_the_prompt_has_are_refused(self) -> None:
        with self.assertRaisesRegex(ValueError, "4, expected 1 to 3"):
            prefix_name(
                customer="c",
                model="m",
                version="v",
                digests=chained_digests(TEXT, salt="a"),
                blocks=4,
            )

    def test_a_lost_store_host_moves_only_its_own_prefixes(self) -> None:
        stores = [(f"s{n}", 1.0) for n in range(6)]
        before = {f"p{n}": rank(f"p{n}", stores)[0] for n in range(500)}
        after = {p: rank(p, stores[1:])[0] for p in before}
        moved = [p for p in before if before[p] != after[p]]
        self.assertTrue(all(before[p] == "s0" for p in moved))

    def test_weights_share_prefixes_out(self) -> None:
        stores = [("small", 1.0), ("large", 3.0)]
        large = sum(rank(f"p{n}", stores)[0] == "large" for n in range(2000))
        self.assertAlmostEqual(large / 2000, 0.75, delta=0.04)
