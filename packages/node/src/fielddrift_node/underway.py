"""Account for a run between its send and its first token, here and at the other nodes."""

from __future__ import annotations

from typing import NamedTuple

from fielddrift_core.model import StoreHost
from fielddrift_core.routing import Choice

from .board import HINT_DIGITS
from .exchange import Exchange
from .runtime import Runtime
from .sightings import Ended, Head, Sent, Sighting, short
from .targets import EngineHead, RunOrder

__all__ = ["UnderWay", "take"]


class UnderWay(NamedTuple):
    """A run that was sent and has not answered yet; `store` is where it imports from."""

    runtime: Runtime
    model: str
    target: str
    run: int
    digest: str
    blocks: int
    store: StoreHost | None

    @classmethod
    def begin(cls, exchange: Exchange, choice: Choice, order: RunOrder) -> UnderWay:
        """Count a run as sent, and tell the other nodes."""
        runtime, found = exchange.runtime, exchange.found
        store = found.store if found is not None and order.context is not None else None
        size = found.manifest.size if found is not None and store is not None else 0
        digest = exchange.digests[-1] if exchange.digests else ""
        under_way = cls(
            runtime=runtime,
            model=order.model,
            target=choice.target.name,
            run=short(order.run),
            digest=digest,
            blocks=len(exchange.digests),
            store=store,
        )
        if store is not None:
            runtime.links.begin_import(store, under_way.run, size)
        assert exchange.need is not None
        tokens = int(exchange.need.tokens * choice.recomputed)
        under_way._tell(
            Sent(
                target=under_way.target,
                run=under_way.run,
                tokens=tokens,
                prompt=under_way._prompt,
                blocks=under_way.blocks,
                store=store.name if store else "",
                size=size,
            )
        )
        return under_way

    @property
    def _prompt(self) -> int:
        return int(self.digest[:HINT_DIGITS] or "0", 16)

    def started(self, head: EngineHead) -> None:
        """Count the first token, and what the import took."""
        seconds = head.import_seconds if head.imported else None
        self._end_import(seconds)
        if self.digest:
            self.runtime.board.remember(self.target, self.digest, self.blocks, head.root)
        self._tell(
            Head(
                target=self.target,
                run=self.run,
                running=head.load.running,
                queued=head.load.queued,
                backlog=head.load.backlog,
                prompt=self._prompt,
                blocks=self.blocks,
                root=head.root,
                store=self.store.name if self.store else "",
                import_seconds=-1.0 if seconds is None else round(seconds, 3),
            )
        )

    def failed(self) -> None:
        """Count the run as come to nothing."""
        self._end_import(None)
        self._tell(Ended(self.target, self.run, self.store.name if self.store else ""))

    def _end_import(self, seconds: float | None) -> None:
        if self.store is not None:
            self.runtime.links.end_import(self.store, self.run, seconds)

    def _tell(self, sighting: Sighting) -> None:
        self.runtime.tell(self.model, sighting)


def take(runtime: Runtime, sighting: Sighting) -> None:
    """Take another node's sighting into the board and the links."""
    board, store = runtime.board, runtime.config.current.stores.get(sighting.store)
    run = str(sighting.run)
    match sighting:
        case Sent():
            board.record_remote_send(sighting.target, run, sighting.tokens)
            _remember(runtime, sighting, "")
            if store is not None:
                runtime.links.begin_import(store, sighting.run, sighting.size)
        case Head():
            board.record_relayed_load(
                sighting.target, sighting.running, sighting.queued, sighting.backlog
            )
            board.remove_remote_send(sighting.target, run)
            _remember(runtime, sighting, sighting.root)
            if store is not None:
                seconds = sighting.import_seconds if sighting.import_seconds >= 0 else None
                runtime.links.end_import(store, sighting.run, seconds)
        case Ended():
            board.remove_remote_send(sighting.target, run)
            if store is not None:
                runtime.links.end_import(store, sighting.run, None)


def _remember(runtime: Runtime, sighting: Sent | Head, root: str) -> None:
    if sighting.blocks:
        digest = f"{sighting.prompt:0{HINT_DIGITS}x}"
        runtime.board.remember(sighting.target, digest, sighting.blocks, root)
