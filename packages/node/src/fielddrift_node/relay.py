"""Relay a run's events to its caller, either complete or visibly truncated.

Events are forwarded unchanged while their numbers are in order.  An interrupted
run is resumed at the next event on another target; if that is impossible, the
stream ends with an error event, never with the end mark.
"""

from __future__ import annotations

import contextlib
import json
import re
from collections.abc import Callable, Generator, Iterator
from functools import partial
from typing import Any

import msgspec
from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.outside_values import decoded
from fielddrift_core.stream import EventSequencer, StreamError

from . import clock
from .exchange import Answer, Exchange
from .http_client import MAX_BODY_BYTES
from .keeping import export_prefix
from .log import get
from .settle import settle_refused
from .started import Started

__all__ = ["Relay", "RunInterruptedError", "buffered_answer"]

STALL_SECONDS = 3.0
"""A stream that delivers nothing for this long is treated as broken."""

RESUME_SECONDS = 10.0
"""How long resuming an interrupted run on another target may take."""

_MAX_RESUME_COUNT = 3
_DATA = re.compile(rb"^data: ?(.*)$", re.MULTILINE)
_KIND = re.compile(rb"^event:", re.MULTILINE)
"""Found in events of other kinds than text, such as the end event."""


class _Choice(msgspec.Struct):
    text: str


class _TextEvent(msgspec.Struct):
    choices: tuple[_Choice, ...] | None = None


_TEXT_EVENT = msgspec.json.Decoder(_TextEvent)


Resume = Callable[[Exchange, int], Started | None]


class RunInterruptedError(Exception):
    """An interrupted run that could not be completed; `refusal` gives the reason."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class Relay:
    """Iterate over the bytes of one run's response to its caller."""

    def __init__(self, *, exchange: Exchange, started: Started, resume: Resume) -> None:
        self._exchange = exchange
        self._started = started
        self._resume = resume
        self._sequencer = EventSequencer()
        self._reordered = False
        self._resumes = 0
        self._ended = False
        self._ttft = clock.now() - exchange.began_at
        self._record_start(self._ttft)

    @property
    def headers(self) -> dict[str, str]:
        """Return the response headers that describe the run; the TTFT is in seconds."""
        return {
            "Fielddrift-Target": self._started.choice.target.name,
            "Fielddrift-Source": self._started.choice.source.value,
            "Fielddrift-Version": self._started.head.version,
            "Fielddrift-Ttft": f"{self._ttft:.3f}",
        }

    def __iter__(self) -> Iterator[bytes]:
        """Yield the events; an incomplete run ends with an error event."""
        try:
            yield from self.events()
        except RunInterruptedError as broken:
            self._exchange.runtime.metrics.refused(broken.refusal)
            problem = broken.refusal.problem(request_id=self._exchange.request_id)
            yield b"event: error\ndata: " + json.dumps(problem).encode() + b"\n\n"

    def events(self) -> Generator[bytes, None, None]:
        """Yield events in order, each once; raise `RunInterruptedError` if incomplete."""
        try:
            while not self._sequencer.whole:
                yield from self._forward()
                if not self._sequencer.whole:
                    self._resume_elsewhere()
        finally:
            self.close()

    def close(self) -> None:
        """End the run; also needed when the caller disconnects before the first event."""
        if not self._ended:
            self._ended = True
            self._finish(self._sequencer.whole)

    def _forward(self) -> Iterator[bytes]:
        """Yield the events of the current stream until it ends or fails."""
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
            # The error for wrong events quotes their text, which must not be logged.
            self._reason = "cut" if isinstance(error, ExternalSystemError) else "wrong-events"
            if isinstance(error, ExternalSystemError):
                self._exchange.record_send_failure(self._started.choice.target, error)
        else:
            self._fault = "the stream ended without its end mark"
            self._reason = "no-end-mark"

    def _resume_elsewhere(self) -> None:
        name = self._started.choice.target.name
        exchange = self._exchange
        self._stop_run()
        self._record_interruption()
        exchange.runtime.board.failed(name)
        exchange.failed.add(name)
        self._resumes += 1
        self._reordered |= self._sequencer.reordered
        started = None
        if self._resumes <= _MAX_RESUME_COUNT:
            # The deadline applied to the first token, which has already arrived.
            exchange.deadline = max(exchange.deadline, clock.now() + RESUME_SECONDS)
            started = self._resume(exchange, self._sequencer.following)
        if started is None:
            get().warning("answer cut", reason=self._reason, **self._log_fields())
            raise RunInterruptedError(self._cut_refusal())
        self._started = started
        self._sequencer = EventSequencer(following=self._sequencer.following)
        get().info("run resumed", **self._log_fields())

    def _cut_refusal(self) -> Refusal:
        detail = f"cut after event {self._sequencer.following - 1}: {self._fault}"
        return Refusal(ErrorKind.CUT, detail, Ran.UNKNOWN, 0.5)

    # --- logging ------------------------------------------------------------

    def _log_fields(self) -> dict[str, Any]:
        """Return the fields common to the log events about this response."""
        return {
            "request": self._exchange.request_id,
            "target": self._started.choice.target.name,
            "run": self._started.order.run,
            "after": self._sequencer.following - 1,
            "partial_bytes": self._sequencer.partial_bytes,
            "resumes": self._resumes,
        }

    def _record_interruption(self) -> None:
        if self._sequencer.partial_bytes:
            self._exchange.runtime.metrics.add("streams.cut_events")
        get().info("run broke off", reason=self._reason, **self._log_fields())

    # --- accounting --------------------------------------------------------

    def _record_start(self, ttft: float) -> None:
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

    def _finish(self, whole: bool) -> None:
        exchange = self._exchange
        runtime = exchange.runtime
        self._stop_run()
        if not whole:
            runtime.targets.cancel(self._started.choice.target, self._started.order.run)
            settle_refused(exchange, self._incomplete_refusal())
            return
        runtime.requests.note(exchange.request_id, exchange.customer.name, "ran")
        runtime.metrics.add("answers.whole")
        exchange.answered()
        if self._reordered or self._sequencer.reordered:
            runtime.metrics.add("streams.reordered")
        export = partial(export_prefix, exchange, self._started)
        if not runtime.exporter.submit(export, request_id=exchange.request_id):
            runtime.metrics.add("exports.skipped")

    def _incomplete_refusal(self) -> Refusal:
        return Refusal(ErrorKind.CUT, "the stream was not brought to its end", Ran.UNKNOWN)


def buffered_answer(exchange: Exchange, relay: Relay) -> Answer:
    """Return the complete text as one response.

    Raise `RunInterruptedError` if it is truncated, or larger than `MAX_BODY_BYTES`, or if the text
    of an event cannot be read.
    """
    events = _collect(relay)
    try:
        texts = _texts(events)
    except RunInterruptedError as unreadable:
        settle_refused(exchange, unreadable.refusal)
        raise
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


def _texts(events: bytes) -> list[str]:
    """Return the text of each event that has one."""
    texts = []
    for event in events.split(b"\n\n"):
        if _KIND.search(event):
            continue
        for data in _DATA.findall(event):
            try:
                choices = decoded(_TEXT_EVENT, data).choices
            except msgspec.DecodeError as error:
                raise _unreadable(str(error)) from None
            if choices is not None:
                if not choices:
                    raise _unreadable("choices: none, expected one")
                texts.append(choices[0].text)
    return texts


def _unreadable(detail: str) -> RunInterruptedError:
    return RunInterruptedError(Refusal(ErrorKind.CUT, f"answer: {detail}", Ran.UNKNOWN, 0.5))


def _collect(relay: Relay) -> bytes:
    collected = []
    size = 0
    with contextlib.closing(relay.events()) as events:
        for data in events:
            collected.append(data)
            size += len(data)
            if size > MAX_BODY_BYTES:
                detail = f"answer: events of over {MAX_BODY_BYTES} bytes"
                raise RunInterruptedError(Refusal(ErrorKind.CUT, detail, Ran.UNKNOWN, 0.5))
    return b"".join(collected)
