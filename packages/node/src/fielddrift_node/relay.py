"""Relay a run's events to its caller, whole or visibly cut.

What arrives is passed through as it is while its numbers are in order.  A run
that breaks off is resumed at the next event on another target; when that
cannot be, the stream ends with an error event, never with the end mark.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

import msgspec
from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.stream import EventSequencer, StreamError

from . import clock
from .exchange import Answer, Exchange
from .keeping import keep_prefix
from .log import get
from .settle import settle_refused
from .started import Started

__all__ = ["Broken", "Relay", "whole_answer"]

STALL_SECONDS = 3.0
"""A stream on which nothing comes for so long is taken for broken."""

RESUME_SECONDS = 10.0
"""How long a broken run may take to go on elsewhere."""

_MOST_RESUMES = 3
_TEXT = re.compile(rb'^data: (\{"choices".*\})$', re.MULTILINE)


Resume = Callable[[Exchange, int], Started | None]


class Broken(Exception):
    """A run that could not be brought to its end."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class Relay:
    """Iterate over the bytes for the caller of one run."""

    def __init__(self, *, exchange: Exchange, started: Started, resume: Resume) -> None:
        self._exchange = exchange
        self._started = started
        self._resume = resume
        self._sequencer = EventSequencer()
        self._reordered = False
        self._resumes = 0
        self._ended = False
        self._ttft = clock.now() - exchange.began_at
        self._note_start(self._ttft)

    @property
    def headers(self) -> dict[str, str]:
        """Return what the caller is told of the run at its head."""
        return {
            "Fielddrift-Target": self._started.choice.target.name,
            "Fielddrift-Source": self._started.choice.source.value,
            "Fielddrift-Version": self._started.head.version,
            "Fielddrift-Ttft": f"{self._ttft:.3f}",
        }

    def __iter__(self) -> Iterator[bytes]:
        """Yield events; a broken run ends in an error event."""
        try:
            yield from self.events()
        except Broken as broken:
            self._exchange.runtime.metrics.refused(broken.refusal)
            problem = broken.refusal.problem(request_id=self._exchange.request_id)
            yield b"event: error\ndata: " + json.dumps(problem).encode() + b"\n\n"

    def events(self) -> Iterator[bytes]:
        """Yield events in order, each once; raise `Broken` when the run breaks off."""
        try:
            while not self._sequencer.whole:
                yield from self._pass_on()
                if not self._sequencer.whole:
                    self._take_up_again()
        finally:
            self.close()

    def close(self) -> None:
        """End the run, also when its caller went away before the first event."""
        if not self._ended:
            self._ended = True
            self._end(self._sequencer.whole)

    def _pass_on(self) -> Iterator[bytes]:
        """Yield what the present stream gives until it ends or breaks."""
        self._started.stream.stall_seconds = STALL_SECONDS
        try:
            for data in self._started.stream:
                ready = self._sequencer.feed(data)
                if ready:
                    yield ready
                if self._sequencer.whole:
                    return
        except (ExternalSystemError, StreamError) as error:
            self._fault = str(error)
            # The detail of wrong events names their text, which stays out of the log.
            self._reason = "cut" if isinstance(error, ExternalSystemError) else "wrong-events"
            if isinstance(error, ExternalSystemError):
                self._exchange.broke_off(self._started.choice.target, error)
        else:
            self._fault = "the stream ended without its end mark"
            self._reason = "no-end-mark"

    def _take_up_again(self) -> None:
        name = self._started.choice.target.name
        exchange = self._exchange
        self._stop_run()
        self._note_broken()
        exchange.runtime.board.failed(name)
        exchange.failed.add(name)
        self._resumes += 1
        self._reordered |= self._sequencer.reordered
        started = None
        if self._resumes <= _MOST_RESUMES:
            # The deadline was for the first token, which has come.
            exchange.deadline = max(exchange.deadline, clock.now() + RESUME_SECONDS)
            started = self._resume(exchange, self._sequencer.following)
        if started is None:
            get().warning("answer cut", reason=self._reason, **self._progress())
            raise Broken(self._cut())
        self._started = started
        self._sequencer = EventSequencer(following=self._sequencer.following)
        get().info("run resumed", **self._progress())

    def _cut(self) -> Refusal:
        detail = f"cut after event {self._sequencer.following - 1}: {self._fault}"
        return Refusal(ErrorKind.CUT, detail, Ran.UNKNOWN, 0.5)

    # --- telling ------------------------------------------------------------

    def _progress(self) -> dict[str, Any]:
        """Return what each line on this answer tells."""
        return {
            "request": self._exchange.request_id,
            "target": self._started.choice.target.name,
            "run": self._started.order.run,
            "after": self._sequencer.following - 1,
            "partial_bytes": self._sequencer.partial_bytes,
            "resumes": self._resumes,
        }

    def _note_broken(self) -> None:
        if self._sequencer.partial_bytes:
            self._exchange.runtime.metrics.add("streams.cut_events")
        get().info("run broke off", reason=self._reason, **self._progress())

    # --- accounting --------------------------------------------------------

    def _note_start(self, ttft: float) -> None:
        head = self._started.head
        metrics = self._exchange.runtime.metrics
        metrics.time("ttft", ttft)
        metrics.add("blocks.memory", head.memory)
        metrics.add("blocks.imported", head.imported)
        metrics.add("blocks.recomputed", head.recomputed)
        found = self._exchange.found
        if head.imported and found:
            metrics.add("link.imported", found.manifest.size)

    def _stop_run(self) -> None:
        self._started.stream.close()
        runtime = self._exchange.runtime
        runtime.board.ended(self._started.choice.target.name, self._started.order.run)

    def _end(self, whole: bool) -> None:
        exchange = self._exchange
        runtime = exchange.runtime
        self._stop_run()
        if not whole:
            runtime.targets.cancel(self._started.choice.target, self._started.order.run)
            settle_refused(exchange, self._cut_unknown())
            return
        runtime.requests.note(exchange.request_id, exchange.customer.name, "ran")
        runtime.metrics.add("answers.whole")
        exchange.answered()
        if self._reordered or self._sequencer.reordered:
            runtime.metrics.add("streams.reordered")
        export = partial(keep_prefix, exchange, self._started)
        if not runtime.exporter.submit(export, request_id=exchange.request_id):
            runtime.metrics.add("exports.skipped")

    def _cut_unknown(self) -> Refusal:
        return Refusal(ErrorKind.CUT, "the stream was not brought to its end", Ran.UNKNOWN)


def whole_answer(exchange: Exchange, relay: Relay) -> Answer:
    """Return the whole text as one answer; raise `Broken` when it was cut."""
    events = b"".join(relay.events())
    texts = [msgspec.json.decode(data)["choices"][0]["text"] for data in _TEXT.findall(events)]
    assert exchange.completion is not None
    body = json.dumps(
        {
            "id": exchange.request_id,
            "object": "text_completion",
            "model": exchange.completion.model,
            "choices": [{"index": 0, "text": "".join(texts), "finish_reason": "length"}],
            "usage": {"completion_tokens": len(texts)},
        }
    ).encode()
    if exchange.claim:
        exchange.runtime.claims.ran(
            exchange.claim, status=200, content_type="application/json", body=body
        )
    return Answer(200, "application/json", body, relay.headers)
