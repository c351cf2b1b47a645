"""Decide what becomes of a prompt's shared parts: fetched, saved, or read."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping

from fielddrift_core.placement import EngineChoice, EngineState, Holder
from fielddrift_core.prompt import Part, Prompt

from .call import Call
from .ports import TransferPlan
from .views import FETCH_SECONDS, Views

__all__ = ["KeptLookup", "KeptParts", "salt_of"]

_READ_SPARE_SECONDS = 0.06
"""What is left of the aim beside reading, when a fetch is given up."""
_LEAST_FETCH_SECONDS = 0.08
"""The least time a fetch is given: an unhindered one takes half of it."""
_FETCH_ESTIMATES = 1.5


def salt_of(model: str, weights: int, isolated: str = "") -> str:
    """Return the text under which parts are shared: one a model, its weights and wall."""
    return f"{model}.{weights}.{isolated}"


class KeptLookup:
    """Where parts are kept, as of one choice.

    A choice weighs many engines, which ask for the same parts: each store's wait, and
    who keeps a part under one salt, are worked out once.
    """

    def __init__(self, *, views: Views, model: str, isolated: str, now: float) -> None:
        self._views = views
        self._model = model
        self._isolated = isolated
        self._now = now
        self._lateness: Mapping[str, float] | None = None
        self._waits: dict[str, float] = {}
        self._holders: dict[tuple[str, Part], list[Holder]] = {}
        self._salts: dict[int, str] = {}

    def salt(self, weights: int) -> str:
        """Return the salt of the prompt at engines that have `weights`."""
        if weights not in self._salts:
            self._salts[weights] = salt_of(self._model, weights, self._isolated)
        return self._salts[weights]

    def holders(self, sight: EngineState, part: Part) -> list[Holder]:
        """Return the stores that keep `part` for an engine, each with the wait for its link."""
        salt = self.salt(sight.weights)
        found = self._holders.get((salt, part))
        if found is None:
            stores = self._views.store_index.holders(salt, part)
            found = [Holder(store, self._wait(store.address)) for store in stores]
            self._holders[(salt, part)] = found
        return found

    def _wait(self, store: str) -> float:
        if store not in self._waits:
            if self._lateness is None:
                self._lateness = self._views.lateness.by_store(self._now)
            queue = self._views.links.wait(store, self._now)
            self._waits[store] = queue + self._lateness.get(store, 0.0)
        return self._waits[store]


class KeptParts:
    """What the stores keep of prompts, and what they should."""

    def __init__(self, *, views: Views) -> None:
        self._views = views

    def salt(self, call: Call, prompt: Prompt, instance: str) -> str:
        """Return the salt of `prompt` at an instance, by the weights that it has."""
        weights = self._views.weights_of(instance, prompt.model) or 0
        isolated = call.customer_name if call.customer and call.customer.isolated else ""
        return salt_of(prompt.model, weights, isolated)

    def lookup(self, call: Call, prompt: Prompt, now: float) -> KeptLookup:
        """Return what one choice asks about kept parts."""
        isolated = call.customer_name if call.customer and call.customer.isolated else ""
        return KeptLookup(views=self._views, model=prompt.model, isolated=isolated, now=now)

    def fetch(self, call: Call, choice: EngineChoice, salt: str) -> TransferPlan:
        """Return the stores to fetch from and to save to, for each part of the prompt."""
        prompt = call.parsed.prompt
        assert prompt is not None
        now = asyncio.get_running_loop().time()
        sources = tuple("" if s is None else s.address for s in choice.fetch_plan.sources)
        saves = self._saves(prompt, salt, sources, choice.instance.data_centre, now)
        memory = self._views.memory.parts(choice.instance.name, salt)
        call.trace.parts = [
            f"{part.id}:{part.tokens}:{self._way(part, source, save, salt, memory, now)}"
            for part, source, save in zip(prompt.shared, sources, saves, strict=False)
        ]
        return TransferPlan(sources, saves, self._until(call, choice, now))

    def _way(
        self, part: Part, source: str, save: str, salt: str, memory: Collection[str], now: float
    ) -> str:
        """Return for the log what becomes of a part, and if it is just read, why."""
        if source:
            return "fetch"
        if part.id in memory:
            return "memory+save" if save else "memory"
        if save:
            return "save"
        store_index = self._views.store_index
        if store_index.holders(salt, part):
            return "read-quicker"
        if store_index.is_saving(salt, part, now):
            return "read-saving"
        return "read-full" if any(view.is_known for view in store_index.views) else "read-unknown"

    def _until(self, call: Call, choice: EngineChoice, now: float) -> int | None:
        """Return when a fetch should be given up, so that reading can still be in time."""
        prompt = call.parsed.prompt
        assert prompt is not None
        reading = choice.prefill_seconds(prompt.tokens_in + choice.burden.unread)
        spare = call.arrived_at + call.route.latency_goal - reading - _READ_SPARE_SECONDS - now
        patience = max(
            spare, _LEAST_FETCH_SECONDS, _FETCH_ESTIMATES * choice.fetch_plan.fetch_seconds
        )
        return self._views.until(now + min(FETCH_SECONDS, patience))

    def _saves(
        self,
        prompt: Prompt,
        salt: str,
        sources: tuple[str, ...],
        data_centre: str,
        now: float,
    ) -> tuple[str, ...]:
        """Return, for each part, the store that should keep it, empty for none."""
        store_index = self._views.store_index
        lateness = self._views.lateness.by_store(now)
        saves = []
        for part, source in zip(prompt.parts, sources, strict=True):
            store = None
            shared = part in prompt.shared
            if shared and not source and not store_index.is_saving(salt, part, now):
                held = store_index.holders(salt, part)
                store = (
                    None
                    if held
                    else store_index.save(
                        salt,
                        part,
                        now,
                        data_centre=data_centre,
                        late=lambda store: lateness.get(store, 0.0),
                    )
                )
            saves.append("" if store is None else store.address)
        return tuple(saves)
