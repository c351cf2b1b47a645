"""Know which parts of prompts the store hosts keep whole, and choose where to keep more.

Only what a store itself told counts as kept; a gap in what it tells, or a new
life, makes everything unknown until it is listed again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from .catalog import StoreTraits
from .names import rank
from .neighbours import StorePosition
from .prompt import Part

__all__ = ["KeptChange", "StoreIndex", "StoreView"]

_BLOCK_TOKENS = 16
"""Tokens that a store gives out at once."""
_MAX_FILL_FRACTION = 0.92
"""Part of a store that is filled; the rest is for saves that other nodes began."""
_MAX_PART_FRACTION = 0.02
"""Part of a store that one part of a prompt may take: the quick, small stores keep
many small parts, for which the wait before a move counts most."""
_LATE_SECONDS = 0.05
"""Lateness of a store from which saves go elsewhere: twice what a large part's move takes."""
_LOCAL_WEIGHT_FACTOR = 4.0
"""Preference for a store in the engine's data centre: moves there take half the time."""
_MAX_CHANGES = 200
"""Changes that are remembered: some minutes' worth, at one in a second or so."""
_SAVE_TIMEOUT_SECONDS = 3.0
"""A save that was not told of after so long is taken for lost."""


_KeptAt = dict[tuple[str, str], dict[str, int]]


def allocated_tokens(tokens: int) -> int:
    """Return the tokens of room that a part of `tokens` takes."""
    return -(-tokens // _BLOCK_TOKENS) * _BLOCK_TOKENS


class KeptChange(NamedTuple):
    """What changed at a store between two numbers of its events.

    `added` holds (salt, part, tokens) of parts that are whole now, `dropped`
    (salt, part) of those that are gone.
    """

    since: int
    following: int
    added: tuple[tuple[str, str, int], ...]
    dropped: tuple[tuple[str, str], ...]


class StoreView:
    """What is known of one store host, and the latest changes for nodes that copy it.

    `kept_at` is shared by all views of an index: by (salt, part) the tokens kept, by store.
    """

    def __init__(self, *, traits: StoreTraits, kept_at: _KeptAt | None = None) -> None:
        self.traits = traits
        self._kept_at: _KeptAt = {} if kept_at is None else kept_at
        self.life: int | None = None
        self.following = 0
        self.held: dict[tuple[str, str], int] = {}
        self.used = 0
        self.received_at = float("-inf")
        """When this node itself last heard the store; -inf when others do."""
        self._changes: deque[KeptChange] = deque(maxlen=_MAX_CHANGES)

    @property
    def is_known(self) -> bool:
        """Return whether what the store keeps is known."""
        return self.life is not None

    def unknown(self) -> None:
        """Forget everything: it must be listed again."""
        self.life = None
        self._clear()
        self._changes.clear()

    def listed(self, life: int, following: int, held: Iterable[tuple[str, str, int]]) -> None:
        """Take a whole list of (salt, part, tokens)."""
        self._changes.clear()
        self.life, self.following = life, following
        self._clear()
        for salt, part, tokens in held:
            self.add(salt, part, tokens)

    def is_behind(self, life: int, following: int) -> bool:
        """Return whether a view as of event `following` of `life` tells more than this one.

        Nodes hear a store one after the other: a copy from one that is behind would
        bring back what is gone.
        """
        return self.life != life or self.following < following

    def apply(self, change: KeptChange) -> bool:
        """Take a change; False, and nothing is taken, when one before it is missing."""
        if change.since != self.following:
            return False
        for salt, part, tokens in change.added:
            self.add(salt, part, tokens)
        for salt, part in change.dropped:
            self.drop(salt, part)
        self.following = change.following
        if change.following != change.since:
            self._changes.append(change)
        return True

    def changes_since(self, since: int) -> tuple[KeptChange, ...] | None:
        """Return the changes after event number `since`, None when some are not known."""
        if since == self.following:
            return ()
        found = [change for change in self._changes if change.since >= since]
        if not found or found[0].since != since:
            return None
        return tuple(found)

    def add(self, salt: str, part: str, tokens: int) -> None:
        """Note a part that is whole."""
        if (salt, part) not in self.held:
            self.used += allocated_tokens(tokens)
        self.held[(salt, part)] = tokens
        self._kept_at.setdefault((salt, part), {})[self.traits.address] = tokens

    def drop(self, salt: str, part: str) -> None:
        """Note a part that is gone."""
        tokens = self.held.pop((salt, part), None)
        if tokens is not None:
            self.used -= allocated_tokens(tokens)
            self._forget((salt, part))

    def _clear(self) -> None:
        for key in self.held:
            self._forget(key)
        self.held.clear()
        self.used = 0

    def _forget(self, key: tuple[str, str]) -> None:
        stores = self._kept_at.get(key, {})
        stores.pop(self.traits.address, None)
        if not stores:
            self._kept_at.pop(key, None)


class _PendingSave(NamedTuple):
    store: str
    until: float


class StoreIndex:
    """All store hosts.  Not safe for threads."""

    def __init__(self) -> None:
        self._views: dict[str, StoreView] = {}
        self._kept_at: _KeptAt = {}
        self._saving: dict[tuple[str, str], _PendingSave] = {}

    def configure(self, stores: Iterable[StoreTraits]) -> None:
        """Follow exactly `stores`."""
        wanted = {store.address: store for store in stores}
        for address in [a for a in self._views if a not in wanted]:
            self._views.pop(address).unknown()
        for address, traits in wanted.items():
            if address in self._views:
                self._views[address].traits = traits
            else:
                self._views[address] = StoreView(traits=traits, kept_at=self._kept_at)

    @property
    def views(self) -> list[StoreView]:
        """Return all stores."""
        return list(self._views.values())

    def view(self, address: str) -> StoreView | None:
        """Return one store."""
        return self._views.get(address)

    def marks(self, now: float) -> dict[str, StorePosition]:
        """Return how far this node itself has heard each store."""
        return {
            address: StorePosition(view.life, view.following, now - view.received_at)
            for address, view in self._views.items()
            if view.life is not None and view.received_at > float("-inf")
        }

    def holders(self, salt: str, part: Part) -> list[StoreTraits]:
        """Return the stores that keep `part` whole."""
        kept = self._kept_at.get((salt, part.id), {})
        return [self._views[store].traits for store, held in kept.items() if held >= part.tokens]

    def is_saving(self, salt: str, part: Part, now: float) -> bool:
        """Return whether a save of `part` is under way."""
        saving = self._saving.get((salt, part.id))
        return saving is not None and now < saving.until

    def save(
        self,
        salt: str,
        part: Part,
        now: float,
        *,
        data_centre: str = "",
        late: Callable[[str], float] = lambda _: 0.0,
    ) -> StoreTraits | None:
        """Choose a store for `part` and note the save; None when there is no room.

        Of the stores for which the part is not too large the quick ones are
        preferred, and those in `data_centre`, where the engine is; `late`
        tells by how many seconds a store is late now.
        """
        fitting = [view for view in self._views.values() if self._takes(view, part)]
        suited = [v for v in fitting if part.tokens <= _MAX_PART_FRACTION * v.traits.capacity]
        prompt_ones = [v for v in suited or fitting if late(v.traits.address) < _LATE_SECONDS]
        fitting = prompt_ones or suited or fitting
        if not fitting:
            return None
        weights = [
            (v.traits.address, v.traits.link_rate * self._nearness(v, data_centre)) for v in fitting
        ]
        address = rank(part.id, weights)[0]
        self._saving[(salt, part.id)] = _PendingSave(address, now + _SAVE_TIMEOUT_SECONDS)
        return self._views[address].traits

    def cancel_save(self, salt: str, part: str) -> None:
        """Forget the save of a part, by id: the engine that was to make it turned it away."""
        self._saving.pop((salt, part), None)

    def _nearness(self, view: StoreView, data_centre: str) -> float:
        return _LOCAL_WEIGHT_FACTOR if view.traits.data_centre == data_centre else 1.0

    def _takes(self, view: StoreView, part: Part) -> bool:
        return (
            view.is_known
            and view.used + allocated_tokens(part.tokens)
            <= _MAX_FILL_FRACTION * view.traits.capacity
        )

    def expire(self, now: float) -> None:
        """Forget saves that were told of, or are lost."""
        for key in [k for k, s in self._saving.items() if now >= s.until]:
            del self._saving[key]

    def salts(self) -> set[str]:
        """Return the salts under which any store keeps parts."""
        return {salt for view in self._views.values() for salt, _ in view.held}

    def keys_under(self, salts: Collection[str]) -> dict[str, list[tuple[str, str]]]:
        """Return, by store, the (salt, part) that are kept under one of `salts`."""
        found: dict[str, list[tuple[str, str]]] = {}
        for address, view in self._views.items():
            keys = [key for key in view.held if key[0] in salts]
            if keys:
                found[address] = keys
        return found
