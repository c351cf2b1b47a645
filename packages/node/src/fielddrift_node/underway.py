"""Account for runs in flight, from send to first token, on this node and its peers."""

from __future__ import annotations

from typing import NamedTuple

from fielddrift_core.model import StoreHost
from fielddrift_core.routing import Choice

from .board import HINT_DIGITS
from .exchange import Exchange
from .runtime import Runtime
from .sightings import Ended, Head, Sent, Sighting, short_hash
from .targets import EngineHead, RunOrder

__all__ = ["RunInFlight", "apply_sighting"]


class RunInFlight(NamedTuple):
    """A run that was sent and has no response yet; `store` is the host it imports from."""

    runtime: Runtime
    model: str
    target: str
    run: int
    digest: str
    blocks: int
    store: StoreHost | None

    @classmethod
    def begin(cls, exchange: Exchange, choice: Choice, order: RunOrder) -> RunInFlight:
        """Record a run as sent and report it to the other nodes."""
        runtime, found = exchange.runtime, exchange.found
        store = found.store if found is not None and order.context is not None else None
        size = found.manifest.size if found is not None and store is not None else 0
        digest = exchange.digests[-1] if exchange.digests else ""
        in_flight = cls(
            runtime=runtime,
            model=order.model,
            target=choice.target.name,
            run=short_hash(order.run),
            digest=digest,
            blocks=len(exchange.digests),
            store=store,
        )
        if store is not None:
            runtime.links.begin_import(store, in_flight.run, size)
        assert exchange.need is not None
        tokens = int(exchange.need.tokens * choice.recomputed)
        in_flight._publish(
            Sent(
                target=in_flight.target,
                run=in_flight.run,
                tokens=tokens,
                prompt=in_flight._prompt_hint,
                blocks=in_flight.blocks,
                store=store.name if store else "",
                size=size,
            )
        )
        return in_flight

    @property
    def _prompt_hint(self) -> int:
        return int(self.digest[:HINT_DIGITS] or "0", 16)

    def started(self, head: EngineHead) -> None:
        """Record the first token and the duration of the import, and report them."""
        seconds = head.import_seconds if head.imported else None
        self._end_import(seconds)
        if self.digest:
            self.runtime.board.remember(self.target, self.digest, self.blocks, head.root)
        self._publish(
            Head(
                target=self.target,
                run=self.run,
                running=head.load.running,
                queued=head.load.queued,
                backlog=head.load.backlog,
                prompt=self._prompt_hint,
                blocks=self.blocks,
                root=head.root,
                store=self.store.name if self.store else "",
                import_seconds=-1.0 if seconds is None else round(seconds, 3),
            )
        )

    def failed(self) -> None:
        """Record that the run failed before its first token, and report it."""
        self._end_import(None)
        self._publish(Ended(self.target, self.run, self.store.name if self.store else ""))

    def _end_import(self, seconds: float | None) -> None:
        if self.store is not None:
            self.runtime.links.end_import(self.store, self.run, seconds)

    def _publish(self, sighting: Sighting) -> None:
        self.runtime.send_sighting(self.model, sighting)


def apply_sighting(runtime: Runtime, sighting: Sighting) -> None:
    """Apply another node's sighting to the board and the links."""
    board, store = runtime.board, runtime.config.current.stores.get(sighting.store)
    run = str(sighting.run)
    match sighting:
        case Sent():
            board.record_remote_send(sighting.target, run, sighting.tokens)
            _record_prefix(runtime, sighting, "")
            if store is not None:
                runtime.links.begin_import(store, sighting.run, sighting.size)
        case Head():
            board.record_relayed_load(
                sighting.target, sighting.running, sighting.queued, sighting.backlog
            )
            board.remove_remote_send(sighting.target, run)
            _record_prefix(runtime, sighting, sighting.root)
            if store is not None:
                seconds = sighting.import_seconds if sighting.import_seconds >= 0 else None
                runtime.links.end_import(store, sighting.run, seconds)
        case Ended():
            board.remove_remote_send(sighting.target, run)
            if store is not None:
                runtime.links.end_import(store, sighting.run, None)


def _record_prefix(runtime: Runtime, sighting: Sent | Head, root: str) -> None:
    if sighting.blocks:
        digest = f"{sighting.prompt:0{HINT_DIGITS}x}"
        runtime.board.remember(sighting.target, digest, sighting.blocks, root)
