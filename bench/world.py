"""Play engines, links and store hosts in virtual time, behind the real decisions.

Queues are first come, first served, so every moment of a run is known when it
is sent.  The node's side is the real thing: the board of targets, admission,
links and policies, on a virtual clock.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any, NamedTuple

from fielddrift_core.admission import Admission
from fielddrift_core.errors import Refusal
from fielddrift_core.holding import should_export
from fielddrift_core.model import Configuration, StoreHost, Target, TargetRole
from fielddrift_core.names import rank
from fielddrift_core.routing import (
    POLICIES,
    Choice,
    KeptPrefix,
    Load,
    RequestNeeds,
    Source,
    TargetView,
    sample_targets,
)
from fielddrift_node.board import Board
from fielddrift_node.runtime import Links

from .loads import Ask, LoadShape

__all__ = ["Faults", "Outcome", "World"]

TOKENS_A_BLOCK = 256
SAMPLE_SECONDS = 0.1
POLL_SECONDS = 0.5
POLLS_A_ROUND = 5
PATIENCE_FACTOR = 4.0
PATIENCE_FLOOR = 2.0
MOST_RETURNS = 3
TRIES = 3
IMPORT_FLOOR = 0.2
IMPORT_FACTOR = 3.0
SHARE_SECONDS = 0.005


class Faults(NamedTuple):
    """What goes wrong, from the middle of the load on."""

    load_lag: float = 0.2
    lost_events: float = 0.0
    store_dies: bool = False
    link_part: float = 1.0
    engine_hangs: bool = False
    node_dies: bool = False


class Outcome(NamedTuple):
    """How one request ended; times in seconds of virtual time."""

    ask: Ask
    ttft: float | None
    recomputed: int = 0
    refusal: Refusal | None = None
    returns: int = 0
    retries: int = 0
    ended_at: float = 0.0


class _Link:
    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.free_at = 0.0
        self.carried = 0

    def seconds(self, now: float, size: int) -> float:
        return max(now, self.free_at) + size / self.rate - now

    def carry(self, now: float, size: int) -> float:
        self.free_at = max(now, self.free_at) + size / self.rate
        self.carried += size
        return self.free_at


class _Engine:
    """One engine: slots, one prefill at a time, a bounded memory of prompts."""

    def __init__(self, target: Target, shape: LoadShape) -> None:
        self.target = target
        self.hangs = False
        self._shape = shape
        self._prefill_free = 0.0
        self._slots = [0.0] * shape.slots
        self._starts: list[float] = []
        self._ends: list[float] = []
        self.memory: OrderedDict[int, int] = OrderedDict()
        self.samples: deque[tuple[float, Load]] = deque([(float("-inf"), Load())], maxlen=400)

    def run(self, now: float, ask: Ask, imported: int, ready: float) -> tuple[float, float, int]:
        """Take a run; return its first token's time, its end, and tokens computed."""
        slot = heapq.heappop(self._slots)
        have = max(self.memory.get(ask.prompt, 0), imported)
        computed = max(0, ask.tokens - have)
        start = max(now, slot, ready)
        if computed > 0.05 * ask.tokens:
            start = max(start, self._prefill_free)
            self._prefill_free = start + computed / self._shape.prefill_rate
        first = start + computed / self._shape.prefill_rate
        end = first + ask.output * self._shape.step
        heapq.heappush(self._slots, end)
        self._starts.append(max(now, slot))
        self._ends.append(end)
        self._remember(ask)
        return first, end, computed

    def load(self, now: float) -> Load:
        """Return the true load."""
        self._ends = [end for end in self._ends if end > now]
        self._starts = [start for start in self._starts if start > now]
        queued = len(self._starts)
        backlog = max(0.0, self._prefill_free - now) * self._shape.prefill_rate
        return Load(len(self._ends) - queued, queued, int(backlog), now)

    def lagged(self, now: float, lag: float) -> Load:
        """Return the load as it was `lag` seconds ago."""
        old = (load for at, load in reversed(self.samples) if at <= now - lag)
        return next(old, Load())._replace(received_at=now)

    def _remember(self, ask: Ask) -> None:
        self.memory[ask.prompt] = ask.tokens
        self.memory.move_to_end(ask.prompt)
        while sum(self.memory.values()) > self._shape.memory_tokens:
            self.memory.popitem(last=False)


class _Node:
    def __init__(self, number: int, clock: Callable[[], float], seed: int) -> None:
        self.name = f"node-{number}"
        self.alive = True
        self.board = Board(data_centre="dc", clock=clock)
        self.admission = Admission()
        self.links = Links(clock=clock)
        self.rng = random.Random(seed * 1000 + number)


class World:
    """Run one load under one policy and one set of faults."""

    def __init__(
        self,
        *,
        shape: LoadShape,
        asks: list[Ask],
        policy: str,
        faults: Faults,
        seed: int,
        nodes: int = 8,
        admits: bool = True,
        share: float | None = SHARE_SECONDS,
    ) -> None:
        self.now = 0.0
        self.outcomes: list[Outcome] = []
        self._shape = shape
        self._faults = faults
        self._oracle = policy == "oracle"
        self._policy = POLICIES["cost-all" if self._oracle else policy]
        self._admits = admits
        self._share = share
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = itertools.count()
        self._build(nodes, seed)
        self._keep_at_start(asks)
        for ask in asks:
            self._at(ask.at, self._arrive, ask, 0)
        self._at(shape.seconds / 2, self._break)
        self._at(0.0, self._sample)
        self._at(0.0, self._poll)

    @property
    def link_bytes(self) -> int:
        """Return the bytes that all links carried."""
        return sum(link.carried for link in self._link.values())

    def run(self) -> list[Outcome]:
        """Run to the end; return how each request ended."""
        while self._events:
            self.now, _, work, arguments = heapq.heappop(self._events)
            if self.now > 3 * self._shape.seconds:
                break
            work(*arguments)
        return self.outcomes

    # --- building ----------------------------------------------------------

    def _build(self, nodes: int, seed: int) -> None:
        shape = self._shape
        targets = [
            Target(
                f"engine-{n}",
                TargetRole.ENGINE,
                "127.0.0.1:1",
                "dc",
                "model",
                slots=shape.slots,
                prefill_rate=shape.prefill_rate,
            )
            for n in range(shape.engines)
        ]
        self._engines = {t.name: _Engine(t, shape) for t in targets}
        self._targets = targets
        self._configuration = Configuration(targets={t.name: t for t in targets})
        self._stores = {
            n: StoreHost(n, "127.0.0.1:1", "dc", 1, 1, shape.link_rate) for n in ("s0", "s1")
        }
        self._link = {n: _Link(shape.link_rate) for n in self._stores}
        self._kept: dict[str, dict[int, int]] = {n: {} for n in self._stores}
        self._dead_stores: set[str] = set()
        self._nodes = [_Node(n, lambda: self.now, seed) for n in range(nodes)]

    def _keep_at_start(self, asks: list[Ask]) -> None:
        for prompt, tokens in sorted({(ask.prompt, ask.tokens) for ask in asks}):
            if self._rng.random() < self._shape.kept:
                self._kept[self._placed(prompt)][prompt] = int(0.97 * tokens)

    def _placed(self, prompt: int) -> str:
        return rank(str(prompt), [(name, 1.0) for name in self._stores])[0]

    def _at(self, at: float, work: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), work, arguments))

    # --- what happens by itself --------------------------------------------

    def _sample(self) -> None:
        for engine in self._engines.values():
            engine.samples.append((self.now, engine.load(self.now)))
        if self.now < 2 * self._shape.seconds:
            self._at(self.now + SAMPLE_SECONDS, self._sample)

    def _poll(self) -> None:
        for node in self._nodes:
            node.board.touch("model")
            for target in node.board.stale(self._configuration, idle=60.0)[:POLLS_A_ROUND]:
                if not self._engines[target.name].hangs:
                    self._hear(node, target.name)
        if self.now < 2 * self._shape.seconds:
            self._at(self.now + POLL_SECONDS, self._poll)

    def _hear(self, node: _Node, name: str) -> None:
        load = self._engines[name].lagged(self.now, self._faults.load_lag)
        node.board.record_load(name, load, 1, ("v1",))

    def _break(self) -> None:
        faults = self._faults
        if faults.store_dies:
            self._dead_stores.add("s0")
        for link in self._link.values():
            link.rate *= faults.link_part
        self._engines["engine-0"].hangs = faults.engine_hangs
        self._nodes[0].alive = not faults.node_dies

    # --- a request ---------------------------------------------------------

    def _arrive(self, ask: Ask, returns: int) -> None:
        node = self._nodes[ask.node]
        if not node.alive:
            node = self._nodes[(ask.node + 1) % len(self._nodes)]
        deadline = self.now + self._shape.deadline
        need, store = self._need(node, ask)
        choice = self._choose(node, need, ask, set())
        if choice is None:
            self.outcomes.append(Outcome(ask, None, returns=returns, ended_at=self.now))
            return
        refusal = self._admit(node, ask, choice, returns > 0) if self._admits else None
        if refusal is not None:
            self._refuse(ask, refusal, returns)
            return
        self._send(node, ask, choice, need, store, returns, deadline, set())

    def _admit(self, node: _Node, ask: Ask, choice: Choice, returning: bool) -> Refusal | None:
        return node.admission.check(
            customer=ask.customer,
            share=1.0,
            tokens=ask.tokens,
            ttft=choice.ttft,
            wait=choice.wait,
            ttft_limit=self._shape.deadline,
            capacity_rate=self._shape.prefill_rate * len(self._targets) / len(self._nodes),
            now=self.now,
            is_retry=returning,
        )

    def _refuse(self, ask: Ask, refusal: Refusal, returns: int) -> None:
        if refusal.retry_after is None or returns >= MOST_RETURNS:
            self.outcomes.append(
                Outcome(ask, None, refusal=refusal, returns=returns, ended_at=self.now)
            )
            return
        self._at(self.now + refusal.retry_after, self._arrive, ask, returns + 1)

    def _need(self, node: _Node, ask: Ask) -> tuple[RequestNeeds, str]:
        name = self._placed(ask.prompt)
        tokens = 0 if name in self._dead_stores else self._kept[name].get(ask.prompt, 0)
        size = tokens * self._shape.kv_bytes
        seconds = node.links.import_seconds(self._stores[name], size)
        if self._oracle:
            seconds = max(0.0, self._link[name].free_at - self.now) + size / self._link[name].rate
        kept = KeptPrefix(
            blocks=tokens // TOKENS_A_BLOCK,
            size=size,
            seconds=seconds,
            link_seconds=size / self._stores[name].link_rate,
        )
        blocks = max(1, ask.tokens // TOKENS_A_BLOCK)
        return RequestNeeds(
            ask.tokens, blocks, self._shape.weights, kept, self._shape.deadline
        ), name

    def _choose(self, node: _Node, need: RequestNeeds, ask: Ask, failed: set[str]) -> Choice | None:
        if self._oracle:
            return self._policy.choose(need, self._true_views(ask, failed), node.rng)
        warm = node.board.warm([str(ask.prompt)])
        drawn = sample_targets(
            self._targets,
            warm=[self._engines[name].target for name in warm],
            allowed=lambda t: t.name not in failed and node.board.takes(t, "v1"),
            sample=self._policy.sample,
            rng=node.rng,
        )
        return self._policy.choose(need, node.board.views(drawn, warm), node.rng)

    def _true_views(self, ask: Ask, failed: set[str]) -> list[TargetView]:
        return [
            TargetView(
                engine.target,
                engine.load(self.now),
                memory_blocks=engine.memory.get(ask.prompt, 0) // TOKENS_A_BLOCK,
                slot_seconds=ask.output * self._shape.step,
            )
            for engine in self._engines.values()
            if not engine.hangs and engine.target.name not in failed
        ]

    def _send(
        self,
        node: _Node,
        ask: Ask,
        choice: Choice,
        need: RequestNeeds,
        store: str,
        returns: int,
        deadline: float,
        failed: set[str],
    ) -> None:
        name = choice.target.name
        engine = self._engines[name]
        run = f"{next(self._numbers)}"
        tokens = int(ask.tokens * choice.recomputed)
        node.board.sent(name, run, tokens)
        self._tell(node, lambda other: self._heard_sent(other, name, run, tokens, ask))
        if engine.hangs:
            patience = min(max(PATIENCE_FLOOR, PATIENCE_FACTOR * choice.ttft), deadline - self.now)
            again = (node, ask, need, store, returns, deadline, {*failed, name}, name, run)
            self._at(self.now + max(0.0, patience), self._retry, *again)
            return
        imported, ready = 0, self.now
        size = need.kept.size if choice.source is Source.IMPORT else 0
        if size and store not in self._dead_stores:
            imported, ready = self._import(node, int(run), need, store)
        first, end, computed = engine.run(self.now, ask, imported, ready)
        self._at(first, self._first_token, node, name, run, ask)
        self._at(end, self._end, node, name, run, ask)
        ttft = first - ask.at if returns == 0 else first - self.now
        self.outcomes.append(
            Outcome(ask, ttft, computed, None, returns, len(failed), ended_at=first)
        )

    def _import(self, node: _Node, run: int, need: RequestNeeds, store: str) -> tuple[int, float]:
        """Return the tokens imported and when; a late import is given up."""
        size, bound = need.kept.size, IMPORT_FLOOR + IMPORT_FACTOR * need.kept.seconds
        host, link = self._stores[store], self._link[store]
        node.links.begin_import(host, run, size)
        self._tell(node, lambda other: other.links.begin_import(host, run, size))
        taken: float | None = link.seconds(self.now, size)
        if taken is not None and taken > bound:
            self._at(self.now + bound, self._import_ended, node, host, run, bound)
            return 0, self.now + bound
        self._at(link.carry(self.now, size), self._import_ended, node, host, run, taken)
        return size // self._shape.kv_bytes, link.free_at

    def _import_ended(self, node: _Node, host: StoreHost, run: int, taken: float) -> None:
        node.links.end_import(host, run, taken)
        self._tell(node, lambda other: other.links.end_import(host, run, taken))

    def _retry(
        self,
        node: _Node,
        ask: Ask,
        need: RequestNeeds,
        store: str,
        returns: int,
        deadline: float,
        failed: set[str],
        name: str,
        run: str,
    ) -> None:
        node.board.failed(name)
        node.board.ended(name, run)
        choice = self._choose(node, need, ask, failed)
        late = self.now >= deadline or len(failed) >= TRIES
        if late or choice is None or not node.board.may_retry(name):
            self.outcomes.append(
                Outcome(ask, None, returns=returns, retries=len(failed), ended_at=self.now)
            )
            return
        self._send(node, ask, choice, need, store, returns, deadline, failed)

    def _first_token(self, node: _Node, name: str, run: str, ask: Ask) -> None:
        self._hear(node, name)
        node.board.succeeded(name)
        self._remember(node, name, ask)
        load = self._engines[name].lagged(self.now, self._faults.load_lag)
        self._tell(node, lambda other: self._heard_head(other, name, run, load))

    def _remember(self, node: _Node, name: str, ask: Ask) -> None:
        node.board.remember(name, str(ask.prompt), ask.tokens // TOKENS_A_BLOCK, str(ask.prompt))

    # --- what nodes tell each other ----------------------------------------

    def _tell(self, node: _Node, work: Callable[[_Node], None]) -> None:
        if self._share is None or self._oracle:
            return
        for other in self._nodes:
            if other is not node and other.alive:
                self._at(self.now + self._share, work, other)

    def _heard_sent(self, other: _Node, name: str, run: str, tokens: int, ask: Ask) -> None:
        other.board.record_remote_send(name, run, tokens)
        self._remember(other, name, ask)

    def _heard_head(self, other: _Node, name: str, run: str, load: Load) -> None:
        other.board.record_load(name, load._replace(received_at=self.now), 1, ("v1",))
        other.board.remove_remote_send(name, run)

    def _end(self, node: _Node, name: str, run: str, ask: Ask) -> None:
        node.board.ended(name, run)
        self._forget_evicted(node, name)
        store = self._placed(ask.prompt)
        kept = self._kept[store].get(ask.prompt, 0)
        size = (ask.tokens - kept) * self._shape.kv_bytes
        worth = should_export(rule=None, blocks=ask.tokens, kept=kept)
        if worth and store not in self._dead_stores:
            host = self._stores[store]
            if node.links.begin_export(host, size):
                done = self._link[store].carry(self.now, size)
                self._at(done, self._exported, node, store, ask, size)

    def _exported(self, node: _Node, store: str, ask: Ask, size: int) -> None:
        node.links.end_export(self._stores[store], size)
        self._kept[store][ask.prompt] = ask.tokens

    def _forget_evicted(self, node: _Node, name: str) -> None:
        """Let cache events reach this node, but for those that are lost."""
        if self._rng.random() < self._faults.lost_events:
            return
        engine = self._engines[name]
        hinted = [d for d, by_target in node.board._hints.items() if name in by_target]
        gone = {digest for digest in hinted if int(digest) not in engine.memory}
        node.board._drop_hints(name, gone)
