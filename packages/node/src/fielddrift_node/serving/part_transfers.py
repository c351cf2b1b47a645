"""Decide for each shared part of a prompt whether it is fetched, saved or computed."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping

from fielddrift_core.placement import EngineChoice, EngineState, Holder
from fielddrift_core.prompt import Part, Prompt

from .call import Call, Send
from .ports import TransferPlan
from .views import MAX_FETCH_SECONDS, Views

__all__ = ["PartTransferPlanner", "StoredPartLookup", "salt_of"]

_PREFILL_MARGIN_SECONDS = 0.06
"""Time reserved besides the prefill, within the latency goal, when a fetch is aborted."""
_MIN_FETCH_SECONDS = 0.08
"""Minimum time for a fetch; a fetch on an idle link takes half of it."""
_FETCH_TIMEOUT_FACTOR = 1.5


def salt_of(model: str, weights: int, isolated: str = "") -> str:
    """Return the cache salt of parts, which depends on model, weights and isolated customer."""
    return f"{model}.{weights}.{isolated}"


class StoredPartLookup:
    """Where parts are stored, as of one placement decision.

    A decision compares many engines that need the same parts, so the wait of each store and the
    holders of each part under one salt are computed once.
    """

    def __init__(self, *, views: Views, model: str, isolated: str, now: float) -> None:
        self._views = views
        self._model = model
        self._isolated = isolated
        self._now = now
        self._delays: Mapping[str, float] | None = None
        self._waits: dict[str, float] = {}
        self._clock = views.to_engine_clock(now)
        self._holders: dict[tuple[str, Part], list[Holder]] = {}
        self._salts: dict[int, str] = {}

    def salt(self, weights: int) -> str:
        """Return the salt of the prompt at engines that run `weights`."""
        if weights not in self._salts:
            self._salts[weights] = salt_of(self._model, weights, self._isolated)
        return self._salts[weights]

    def holders(self, sight: EngineState, part: Part) -> list[Holder]:
        """Return the stores that `part` may be fetched from, each with the wait for its link."""
        salt = self.salt(sight.weights)
        part_holders = self._holders.get((salt, part))
        if part_holders is None:
            stores = self._views.store_index.sources(salt, part, self._clock)
            part_holders = [Holder(store, self._store_wait(store.address)) for store in stores]
            self._holders[(salt, part)] = part_holders
        return part_holders

    def _store_wait(self, store: str) -> float:
        if store not in self._waits:
            if self._delays is None:
                self._delays = self._views.lateness.by_store(self._now)
            queue = self._views.links.wait(store, self._now)
            self._waits[store] = queue + self._delays.get(store, 0.0)
        return self._waits[store]


class PartTransferPlanner:
    """Plans which parts of prompts are fetched from stores and which are saved to them."""

    def __init__(self, *, views: Views) -> None:
        self._views = views

    def salt(self, call: Call, prompt: Prompt, instance: str) -> str:
        """Return the salt of `prompt` at an instance, according to the weights it runs."""
        weights = self._views.weights_of(instance, prompt.model) or 0
        isolated = call.customer_name if call.customer and call.customer.isolated else ""
        return salt_of(prompt.model, weights, isolated)

    def lookup(self, call: Call, prompt: Prompt, now: float) -> StoredPartLookup:
        """Return the lookup of stored parts for one placement decision."""
        isolated = call.customer_name if call.customer and call.customer.isolated else ""
        return StoredPartLookup(views=self._views, model=prompt.model, isolated=isolated, now=now)

    def fetch(self, call: Call, choice: EngineChoice, send: Send, salt: str) -> TransferPlan:
        """Return the stores to fetch from and to save to, for each part of the prompt.

        How each part is obtained is recorded in `send`.
        """
        prompt = call.parsed.prompt
        assert prompt is not None
        now = asyncio.get_running_loop().time()
        sources = self._usable_sources(prompt, choice, salt, now)
        saves = self._choose_saves(prompt, salt, sources, choice.instance.data_centre, now)
        memory = self._views.memory.parts(choice.instance.name, salt)
        send.parts = [
            f"{part.id}:{part.tokens}:{self._describe(part, source, save, salt, memory, now)}"
            for part, source, save in zip(prompt.shared, sources, saves, strict=False)
        ]
        return TransferPlan(sources, saves, self._fetch_deadline(call, choice, sources, now))

    def _usable_sources(
        self, prompt: Prompt, choice: EngineChoice, salt: str, now: float
    ) -> tuple[str, ...]:
        """Return the store to fetch each part from, empty for none.

        A store may have restarted since the engine was chosen.
        """
        clock, store_index = self._views.to_engine_clock(now), self._views.store_index
        return tuple(
            store.address
            if store is not None and store in store_index.sources(salt, part, clock)
            else ""
            for part, store in zip(prompt.parts, choice.fetch_plan.sources, strict=True)
        )

    def _describe(
        self, part: Part, source: str, save: str, salt: str, memory: Collection[str], now: float
    ) -> str:
        """Return how a part is obtained, for the log, with the reason if it is computed."""
        if source:
            return "fetch"
        if part.id in memory:
            return "memory+save" if save else "memory"
        if save:
            return "save"
        store_index = self._views.store_index
        clock = self._views.to_engine_clock(now)
        if store_index.sources(salt, part, clock):
            return "read-quicker"
        if store_index.holders(salt, part):
            return "read-unconfirmed"
        if store_index.is_saving(salt, part, now):
            return "read-saving"
        if any(view.may_save(clock) for view in store_index.views):
            return "read-full"
        return "read-new" if any(v.is_known for v in store_index.views) else "read-unknown"

    def _fetch_deadline(
        self, call: Call, choice: EngineChoice, sources: tuple[str, ...], now: float
    ) -> int | None:
        """Return when to abort a fetch, in ms on the engines' clock.

        The prefill can then still meet the latency goal, and the views of all sources hold.
        """
        prompt = call.parsed.prompt
        assert prompt is not None
        prefill_seconds = choice.prefill_seconds(prompt.tokens_in + choice.burden.unread)
        spare = (
            call.arrived_at
            + call.route.latency_goal
            - prefill_seconds
            - _PREFILL_MARGIN_SECONDS
            - now
        )
        timeout = max(
            spare, _MIN_FETCH_SECONDS, _FETCH_TIMEOUT_FACTOR * choice.fetch_plan.fetch_seconds
        )
        until = self._views.to_engine_clock(now + min(MAX_FETCH_SECONDS, timeout))
        leased = self._views.store_index.fetch_until({source for source in sources if source})
        return until if until is None or leased is None else min(until, leased)

    def _choose_saves(
        self,
        prompt: Prompt,
        salt: str,
        sources: tuple[str, ...],
        data_centre: str,
        now: float,
    ) -> tuple[str, ...]:
        """Return the store that should save each part, empty for none."""
        store_index = self._views.store_index
        lateness = self._views.lateness.by_store(now)
        saves = []
        for part, source in zip(prompt.parts, sources, strict=True):
            store = None
            is_shared = part in prompt.shared
            if is_shared and not source and not store_index.is_saving(salt, part, now):
                held = store_index.holders(salt, part)
                store = (
                    None
                    if held
                    else store_index.save(
                        salt,
                        part,
                        now,
                        clock=self._views.to_engine_clock(now),
                        data_centre=data_centre,
                        late=lambda store: lateness.get(store, 0.0),
                    )
                )
            saves.append("" if store is None else store.address)
        return tuple(saves)
