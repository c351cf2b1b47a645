"""Track which parts of prompts the store hosts keep completely, and choose stores for more.

Only what a store itself reported counts as kept.  After a gap in its events, or a restart,
its content is unknown until it has been listed again.

A store that has restarted is empty, and nodes learn of it at different times.  A node that still
has a view of the former process must not let an engine fetch a part that another node has saved
again meanwhile, as it may not be written completely.  So a view is leased: fetches by it end
`VIEW_LEASE_SECONDS` after the store last confirmed its process, by the engines' clock, which the
store tells with each answer.  And parts are saved only once all leases on views of former
processes have expired.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from .catalog import StoreTraits
from .names import rank
from .neighbours import StorePosition
from .prompt import Part

__all__ = ["VIEW_LEASE_SECONDS", "KeptChange", "StoreConfirmation", "StoreIndex", "StoreView"]

_BLOCK_TOKENS = 16
"""Allocation unit of a store, in tokens."""
_MAX_FILL_FRACTION = 0.92
"""Fraction of a store's capacity that is filled; the rest is for concurrent saves by other
nodes."""
_MAX_PART_FRACTION = 0.02
"""Fraction of a store's capacity that one part of a prompt may take.  The fast, small stores
should keep many small parts, for which the latency before a transfer matters most."""
_LATE_SECONDS = 0.05
"""Lateness of a store from which saves go elsewhere: twice the transfer time of a large part."""
_LOCAL_WEIGHT_FACTOR = 4.0
"""Weight of a store in the engine's data centre, relative to others: transfers within a data
centre take half the time."""
_MAX_CHANGES = 200
"""Changes that are kept per store for copying: some minutes' worth at about one per second."""
_SAVE_TIMEOUT_SECONDS = 3.0
"""Time after which a save that its store has not reported counts as lost."""
VIEW_LEASE_SECONDS = 1.5
"""Time after a store's last answer within which fetches by a view of it must have ended.  A store
without events is heard every 0.6 s, and nodes that copy its view learn of that 0.2 s later."""
_MIN_LEASE_LEFT_SECONDS = 0.2
"""Rest of a lease from which on a fetch is planned: less would rarely suffice for it."""
_MAX_LIVES = 8
"""Process instances of a store that are remembered, so that a late message about a former one is
recognized."""


_KeptAt = dict[tuple[str, str], dict[str, int]]


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)


def allocated_tokens(tokens: int) -> int:
    """Return the tokens that a store allocates for a part of `tokens`."""
    return -(-tokens // _BLOCK_TOKENS) * _BLOCK_TOKENS


class KeptChange(NamedTuple):
    """Changes at a store between two event numbers, from `since` to `following`.

    `added` holds (salt, part, tokens) of the parts that are now complete, `dropped`
    (salt, part) of those that were removed.
    """

    since: int
    following: int
    added: tuple[tuple[str, str, int], ...]
    dropped: tuple[tuple[str, str], ...]


class StoreConfirmation(NamedTuple):
    """What a store told of its process instance `life`, in ms on the engines' clock.

    `first` is the earliest answer of the process that is known, `last` the latest one.
    """

    life: int
    first: int
    last: int


class StoreView:
    """The known content of one store host, and its latest changes for nodes that copy it.

    `kept_at` is shared by all views of an index and maps (salt, part) to the tokens kept, by
    the address of the store.  `life` identifies the store's process instance, `following` is
    the number of its last applied event.
    """

    def __init__(self, *, traits: StoreTraits, kept_at: _KeptAt | None = None) -> None:
        self.traits = traits
        self._kept_at: _KeptAt = {} if kept_at is None else kept_at
        self.life: int | None = None
        self.following = 0
        self.held: dict[tuple[str, str], int] = {}
        self.used = 0
        self.received_at = float("-inf")
        """When this node itself last received from the store; -inf if other nodes do that."""
        self._changes: deque[KeptChange] = deque(maxlen=_MAX_CHANGES)
        self._confirmations: dict[int, StoreConfirmation] = {}
        """By process instance, the one heard of last at the end."""

    @property
    def is_known(self) -> bool:
        """Return whether the content of the store is known."""
        return self.life is not None

    @property
    def confirmation(self) -> StoreConfirmation | None:
        """Return what is known of the process whose content this is, None if nothing is."""
        return None if self.life is None else self._confirmations.get(self.life)

    @property
    def fetch_until(self) -> int | None:
        """Return when fetches by this view must have ended, in ms on the engines' clock.

        None means that nothing may be fetched by it.
        """
        found = self.confirmation
        return None if found is None else found.last + _milliseconds(VIEW_LEASE_SECONDS)

    def may_save(self, clock: int | None) -> bool:
        """Return whether parts may be saved at `clock`, the time in ms on the engines' clock.

        Until then another node may let engines fetch the same parts by a view of a former process.
        """
        found = self.confirmation
        if found is None or clock is None:
            return False
        return clock >= found.first + _milliseconds(VIEW_LEASE_SECONDS)

    def confirm(self, confirmation: StoreConfirmation) -> bool:
        """Record what the store told of its process, this node or another one.

        Return whether that ended the process whose content this view has, which is unknown then.
        """
        life, first, last = confirmation
        known = self._confirmations.pop(life, None)
        if known is not None:
            first, last = min(first, known.first), max(last, known.last)
        self._confirmations[life] = StoreConfirmation(life, first, last)
        if len(self._confirmations) > _MAX_LIVES:
            del self._confirmations[next(iter(self._confirmations))]
        if known is not None or self.life in (None, life):
            return False
        self.unknown()
        return True

    def unknown(self) -> None:
        """Discard the content; it is unknown until the next call of `listed`."""
        self.life = None
        self._clear()
        self._changes.clear()

    def listed(self, life: int, following: int, held: Iterable[tuple[str, str, int]]) -> None:
        """Replace the content by a complete list of (salt, part, tokens).

        The list is that of the process instance `life` after its event `following`.  A late list
        of a former process is ignored, and the content stays as it is.
        """
        if self._is_former(life):
            return
        self._changes.clear()
        self.life, self.following = life, following
        self._clear()
        for salt, part, tokens in held:
            self.add(salt, part, tokens)

    def _is_former(self, life: int) -> bool:
        """Return whether another process answered after the last answer of the process `life`."""
        known = self._confirmations.get(life)
        return known is not None and any(
            other.first > known.last for other in self._confirmations.values()
        )

    def is_behind(self, life: int, following: int) -> bool:
        """Return whether this view is behind event `following` of the process instance `life`.

        A view of another instance counts as behind.
        Nodes receive a store's events at different times.  A copy from a node that is behind
        would bring back parts that have been removed.
        """
        return self.life != life or self.following < following

    def apply(self, change: KeptChange) -> bool:
        """Apply `change`; return False, and apply nothing, if one before it is missing."""
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
        """Return the changes after event number `since`, or None if some are not available."""
        if since == self.following:
            return ()
        found = [change for change in self._changes if change.since >= since]
        if not found or found[0].since != since:
            return None
        return tuple(found)

    def add(self, salt: str, part: str, tokens: int) -> None:
        """Add a complete part."""
        if (salt, part) not in self.held:
            self.used += allocated_tokens(tokens)
        self.held[(salt, part)] = tokens
        self._kept_at.setdefault((salt, part), {})[self.traits.address] = tokens

    def drop(self, salt: str, part: str) -> None:
        """Remove a part; one that is not known is ignored."""
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
    """Index of the parts kept by all store hosts.  Not thread-safe."""

    def __init__(self) -> None:
        self._views: dict[str, StoreView] = {}
        self._kept_at: _KeptAt = {}
        self._saving: dict[tuple[str, str], _PendingSave] = {}

    def configure(self, stores: Iterable[StoreTraits]) -> None:
        """Set the stores to track to exactly `stores`."""
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
        """Return the views of all stores."""
        return list(self._views.values())

    def view(self, address: str) -> StoreView | None:
        """Return the view of the store at `address`, or None if it is not tracked."""
        return self._views.get(address)

    def marks(self, now: float) -> dict[str, StorePosition]:
        """Return the last event that this node itself received from each store."""
        return {
            address: StorePosition(view.life, view.following, now - view.received_at)
            for address, view in self._views.items()
            if view.life is not None and view.received_at > float("-inf")
        }

    def confirmations(self, *, own: bool) -> dict[str, StoreConfirmation]:
        """Return what is known of the processes whose content this index has, by store.

        With `own` only of the stores that this node itself reads.
        """
        return {
            address: found
            for address, view in self._views.items()
            if (found := view.confirmation) is not None
            and not (own and view.received_at == float("-inf"))
        }

    def holders(self, salt: str, part: Part) -> list[StoreTraits]:
        """Return the stores that keep `part` completely, as far as is known."""
        kept = self._kept_at.get((salt, part.id), {})
        return [self._views[store].traits for store, held in kept.items() if held >= part.tokens]

    def sources(self, salt: str, part: Part, clock: int | None) -> list[StoreTraits]:
        """Return the stores from which `part` may be fetched now.

        `clock` is the time in ms on the engines' clock; nothing is fetched while it is unknown.
        """
        if clock is None:
            return []
        needed = clock + _milliseconds(_MIN_LEASE_LEFT_SECONDS)
        return [
            store
            for store in self.holders(salt, part)
            if (until := self._views[store.address].fetch_until) is not None and until >= needed
        ]

    def fetch_until(self, stores: Iterable[str]) -> int | None:
        """Return when fetches from all of `stores` must have ended, in ms on the engines' clock.

        None means that nothing may be fetched from one of them.
        """
        ends = [
            self._views[store].fetch_until if store in self._views else None for store in stores
        ]
        known = [end for end in ends if end is not None]
        return min(known) if known and len(known) == len(ends) else None

    def is_saving(self, salt: str, part: Part, now: float) -> bool:
        """Return whether a save of `part` is in progress."""
        saving = self._saving.get((salt, part.id))
        return saving is not None and now < saving.until

    def save(
        self,
        salt: str,
        part: Part,
        now: float,
        *,
        clock: int | None,
        data_centre: str = "",
        late: Callable[[str], float] = lambda _: 0.0,
    ) -> StoreTraits | None:
        """Choose a store for `part` and record the save; return None if no store takes it.

        Of the stores for which the part is not too large, those with fast links and those in
        `data_centre`, the engine's own, are preferred.  `late` returns the current lateness of
        the store at an address, in seconds.  `clock` is the time in ms on the engines' clock.
        """
        fitting = [
            view
            for view in self._views.values()
            if view.may_save(clock) and self._has_room(view, part)
        ]
        suited = [v for v in fitting if part.tokens <= _MAX_PART_FRACTION * v.traits.capacity]
        punctual = [v for v in suited or fitting if late(v.traits.address) < _LATE_SECONDS]
        fitting = punctual or suited or fitting
        if not fitting:
            return None
        weights = [
            (v.traits.address, v.traits.link_rate * self._location_weight(v, data_centre))
            for v in fitting
        ]
        address = rank(part.id, weights)[0]
        self._saving[(salt, part.id)] = _PendingSave(address, now + _SAVE_TIMEOUT_SECONDS)
        return self._views[address].traits

    def cancel_save(self, salt: str, part: str) -> None:
        """Remove the pending save of the part with id `part`: the engine refused the request."""
        self._saving.pop((salt, part), None)

    def _location_weight(self, view: StoreView, data_centre: str) -> float:
        return _LOCAL_WEIGHT_FACTOR if view.traits.data_centre == data_centre else 1.0

    def _has_room(self, view: StoreView, part: Part) -> bool:
        return (
            view.is_known
            and view.used + allocated_tokens(part.tokens)
            <= _MAX_FILL_FRACTION * view.traits.capacity
        )

    def expire(self, now: float) -> None:
        """Remove the pending saves that have timed out."""
        for key in [k for k, s in self._saving.items() if now >= s.until]:
            del self._saving[key]

    def salts(self) -> set[str]:
        """Return the salts under which any store keeps parts."""
        return {salt for view in self._views.values() for salt, _ in view.held}

    def keys_under(self, salts: Collection[str]) -> dict[str, list[tuple[str, str]]]:
        """Return, by store address, the (salt, part) that are kept under one of `salts`."""
        found: dict[str, list[tuple[str, str]]] = {}
        for address, view in self._views.items():
            keys = [key for key in view.held if key[0] in salts]
            if keys:
                found[address] = keys
        return found
