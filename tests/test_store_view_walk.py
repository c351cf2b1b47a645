"""Random walks over views of a store host, with lost events, restarts and copies in any order.

Nodes receive a store's events or copy the view of another node.  Each view must match the
store's content at the event that it has reached, and must never go back.
"""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable
from unittest import mock

from fielddrift_core.catalog import StoreTraits
from fielddrift_core.store_index import KeptChange, StoreView
from fielddrift_node.serving.sharing import PeerHandler, StoreCopyRequest
from fielddrift_node.serving.store_tracker import StoreTracker
from fielddrift_node.serving.views import Views

from .machines import Walk, explore

STORE = StoreTraits("store:1", "a", 1_000_000, 1e9, 0.0, True, 12)
NODES = 3
SALT = "m.1."
EXAMPLES = 20
"""Examples, of twenty walks each."""
_PARTS = 6
_REMEMBERED = 8
"""Events that the store keeps; a node that is further behind gets a gap."""


class Node:
    """A node's views, with the handler that serves copies and the tracker that applies them."""

    def __init__(self) -> None:
        self.views = Views()
        self.views.store_index.configure([STORE])
        self.handler = PeerHandler(views=self.views)
        self.tracker = StoreTracker(
            views=self.views,
            targets=mock.Mock(),
            neighbours=mock.Mock(),
            peers=mock.Mock(),
            metrics=mock.Mock(),
            rng=random.Random(1),
        )

    @property
    def view(self) -> StoreView:
        """Return the view of the one store."""
        view = self.views.store_index.view(STORE.address)
        assert view is not None
        return view


class StoreViewWalk(Walk):
    """One store, nodes that receive its events, and nodes that copy from each other."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.life = 1
        self.held: dict[str, int] = {}
        self.events: list[tuple[str, str, int]] = []
        self.truth: dict[tuple[int, int], dict[str, int]] = {(1, 0): {}}
        self.nodes = [Node() for _ in range(NODES)]
        self.seen: list[tuple[int | None, int]] = [(None, 0)] * NODES

    def moves(self) -> list[Callable[[], None]]:
        return (
            [self.keep] * 4
            + [self.free] * 2
            + [self.receive] * 4
            + [self.copy] * 4
            + [self.restart]
        )

    # --- the store ------------------------------------------------------------------

    def keep(self) -> None:
        part, tokens = f"p{self.rng.randrange(_PARTS)}", self.rng.randrange(1, 100)
        self.held[part] = tokens
        self._event("+", part, tokens)

    def free(self) -> None:
        if self.held:
            part = self.rng.choice(sorted(self.held))
            del self.held[part]
            self._event("-", part, 0)

    def restart(self) -> None:
        """Restart the store, empty, as a new process instance."""
        self.life += 1
        self.held, self.events = {}, []
        self.truth[(self.life, 0)] = {}

    def _event(self, sign: str, part: str, tokens: int) -> None:
        self.events.append((sign, part, tokens))
        self.truth[(self.life, len(self.events))] = dict(self.held)

    # --- the nodes ------------------------------------------------------------------

    def receive(self) -> None:
        """Let a node list the store, or receive the events since its last one."""
        view = self.rng.choice(self.nodes).view
        if not view.is_known:
            held = [(SALT, part, tokens) for part, tokens in self.held.items()]
            view.listed(self.life, len(self.events), held)
        elif view.life != self.life or view.following < len(self.events) - _REMEMBERED:
            view.unknown()
        else:
            last = {part: (sign, n) for sign, part, n in self.events[view.following :]}
            added = tuple((SALT, part, n) for part, (sign, n) in last.items() if sign == "+")
            dropped = tuple((SALT, part) for part, (sign, _) in last.items() if sign == "-")
            view.apply(KeptChange(view.following, len(self.events), added, dropped))

    def copy(self) -> None:
        """Let a node copy from another, whose response may be outdated when it is applied."""
        source, copier = self.rng.sample(self.nodes, k=2)
        view = copier.view
        ask = StoreCopyRequest(STORE.address, view.life, view.following)
        copy = source.handler._store_copy(ask, None)
        if self.rng.random() < 0.3:
            self.rng.choice([self.keep, self.receive])()
            self.check()
        if copy is not None:
            with mock.patch("asyncio.get_running_loop"):
                copier.tracker._apply_copy(copy, "another node")

    def check(self) -> None:
        for number, node in enumerate(self.nodes):
            view = node.view
            life, following = self.seen[number]
            assert view.life != life or view.following >= following, "a view went back"
            self.seen[number] = (view.life, view.following)
            if view.life is not None:
                found = {part: tokens for (_, part), tokens in view.held.items()}
                true = self.truth[(view.life, view.following)]
                assert found == true, f"{view.life}/{view.following}: {found}, the store had {true}"


class StoreViewWalkTest(unittest.TestCase):
    def test_a_view_is_what_the_store_kept_at_that_moment_and_never_goes_back(self) -> None:
        explore(StoreViewWalk, examples=EXAMPLES)

    def test_copying_from_who_is_behind_is_found(self) -> None:
        with (
            mock.patch.object(StoreView, "is_behind", return_value=True),
            self.assertRaisesRegex(AssertionError, "a view went back"),
        ):
            explore(StoreViewWalk, examples=EXAMPLES)
