"""Check the numbered server-sent events of a target while they are forwarded.

Events that arrive in order are forwarded unchanged after one check of their
numbers.  Late, duplicate and reordered events are put in order or dropped; a
stream is complete only when the count in its end event was reached.
"""

from __future__ import annotations

import re

__all__ = ["EventFramer", "EventSequencer", "StreamError", "first_event_id"]

_NUMBER = re.compile(rb"^id: ?(\d+)$", re.MULTILINE)
_NUMBER_OR_BLANK_LINE = re.compile(rb"^id: ?(\d+)$|\n\n", re.MULTILINE)
"""An event's number, or, with an empty group, the blank line after the event."""
_END = re.compile(rb'^event: ?end$.*?^data: ?\{"count": ?(\d+)', re.MULTILINE | re.DOTALL)
_MAX_HELD_EVENT_COUNT = 10_000
_MAX_HELD_BYTES = 16 * 1024 * 1024
_MAX_EVENT_BYTES = 1024 * 1024
"""The size of an event that is still incomplete."""


class StreamError(Exception):
    """A stream that cannot be repaired; it must not be reported as complete."""


class EventSequencer:
    """Forward the server-sent events of one run in order, each once, from `following` on.

    Events are numbered from 1.  The end event is `event: end` with the count of
    events in its data; its own number is that count plus 1.
    """

    # Each run needs its own sequencer, and the next one starts at `following`: buffered events
    # of a run that was interrupted must not replace events or the end event of the next run.

    def __init__(self, *, following: int = 1) -> None:
        self._next = following
        self._buffer = b""
        self._held: dict[int, bytes] = {}
        self._held_bytes = 0
        self._count: int | None = None
        self._reordered = False

    @property
    def reordered(self) -> bool:
        """Return whether any events had to be reordered or dropped."""
        return self._reordered

    @property
    def following(self) -> int:
        """Return the number of the next event to forward."""
        return self._next

    @property
    def partial_bytes(self) -> int:
        """Return the size in bytes of the buffered, incomplete event."""
        return len(self._buffer)

    @property
    def whole(self) -> bool:
        """Return whether the end event was forwarded."""
        return self._count is not None and self._next == self._count + 2

    def feed(self, data: bytes) -> bytes:
        """Return the bytes that can be forwarded after `data` was received.

        Raise `StreamError` for an event without a number or with two, an end event
        whose count contradicts the events, an incomplete event that is too large, or too
        many events or bytes held out of order.  In that case no part of `data` counts as
        forwarded.
        """
        ready, self._buffer = _split_complete(self._buffer + data)
        following = self._next + ready.count(b"\n\n")
        _check_size(len(self._buffer), f"event {following}")
        if not ready:
            return b""
        # While events are held, an event in order may release them, so the fast path is skipped.
        if not self._held and _is_in_order(ready, range(self._next, following)):
            self._count = _end_count(ready, following - 1, self._count)
            self._next = following
            return ready
        return self._reorder(ready)

    def _reorder(self, ready: bytes) -> bytes:
        self._reordered = True
        for event in ready.split(b"\n\n")[:-1]:
            found = _NUMBER.findall(event)
            if len(found) != 1:
                raise StreamError(f"event {event[:60]!r}: expected one id line with a number")
            number = int(found[0])
            if number >= self._next and number not in self._held:
                self._held[number] = event + b"\n\n"
                self._held_bytes += len(self._held[number])
        if len(self._held) > _MAX_HELD_EVENT_COUNT:
            raise StreamError(
                f"event {self._next}: missing, {len(self._held)} later events received"
            )
        return self._release()

    def _release(self) -> bytes:
        out = []
        following, count = self._next, self._count
        while (event := self._held.get(following)) is not None:
            count = _end_count(event, following, count)
            out.append(event)
            following += 1
        held_bytes = self._held_bytes - sum(map(len, out))
        if held_bytes > _MAX_HELD_BYTES:
            raise StreamError(
                f"event {following}: missing, later events of over {_MAX_HELD_BYTES} bytes received"
            )
        for number in range(self._next, following):
            del self._held[number]
        self._held_bytes = held_bytes
        self._next, self._count = following, count
        return b"".join(out)


def _is_in_order(ready: bytes, numbers: range) -> bool:
    """Return whether the events of `ready` carry exactly `numbers`, one each, in order."""
    found = _NUMBER_OR_BLANK_LINE.findall(ready)
    expected_marks = [mark for number in numbers for mark in (b"%d" % number, b"")]
    return found == expected_marks


def _end_count(ready: bytes, last: int, before: int | None) -> int | None:
    """Return the count of the end event in `ready`, None when there is none.

    `last` is the number of the last event in `ready`, `before` the count of an end
    event that was received earlier.  Raise `StreamError` when they contradict.
    """
    if before is not None:
        raise StreamError(f"event {last}: received after the end event")
    found = _END.search(ready)
    if found is None:
        return None
    count = int(found.group(1))
    if last != count + 1:
        raise StreamError(f"end event: count {count}, but its number is {last}")
    return count


_ID_LINE = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


def first_event_id(events: bytes) -> str:
    """Return the id of the first of `events` that has one, or an empty string."""
    found = _ID_LINE.search(events)
    return "" if found is None else found.group(1).decode("latin-1")


class EventFramer:
    """Split the bytes of one run into complete events, each forwarded once.

    Ids increase but need not be consecutive.  Events up to and including the id
    `after`, which an earlier run of the same answer sent, are left out.
    """

    # Each run needs its own framer: an event that is incomplete when a run is interrupted
    # must be discarded with it, or it would be joined to the first event of the next run.

    def __init__(self, *, after: str = "") -> None:
        self._buffer = b""
        self._partial_bytes = 0
        self._last = after
        self._events = 0
        self._odd = 0
        self._marked = True

    @property
    def last(self) -> str:
        """Return the id of the last event forwarded, in this run or earlier; empty for none."""
        return self._last

    @property
    def events(self) -> int:
        """Return how many events of this run were forwarded."""
        return self._events

    @property
    def odd(self) -> int:
        """Return a lower bound on the events without exactly one numeric id and one data line.

        An event that was joined from parts of two events is counted, unless the first part
        ends within the name of its data field.
        """
        return self._odd

    @property
    def resumable(self) -> bool:
        """Return whether another run can resume after the last event: every event had an id."""
        return self._marked

    @property
    def partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return self._partial_bytes > 0

    @property
    def partial_bytes(self) -> int:
        """Return the size in bytes of the incomplete event, also once it was discarded."""
        return self._partial_bytes

    def discard(self) -> None:
        """Free the buffer, at the end of the run: errors may keep the framer for long."""
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes, without those forwarded before.

        Raise `StreamError` for an event that does not end.  In that case no part of `data`
        counts as forwarded.
        """
        ready, self._buffer = _split_complete(self._buffer + data)
        self._partial_bytes = len(self._buffer)
        _check_size(self._partial_bytes, "event")
        if not ready:
            return b""
        ids = _ID_LINE.findall(ready)
        if self._has_repeats(ids):
            ready = self._without_repeats(ready)
            ids = _ID_LINE.findall(ready)
        events = ready.count(b"\n\n")
        self._events += events
        lines = ready.count(b"\ndata:") + ready.startswith(b"data:")
        unnumbered = sum(not number.isdigit() for number in ids)
        self._odd += max(abs(len(ids) - events), abs(lines - events), unnumbered)
        self._marked = self._marked and len(ids) >= events
        if ids:
            # When every event was a repeat, no id is left and the last id stays.
            self._last = ids[-1].decode("latin-1")
        return ready

    def _has_repeats(self, ids: list[bytes]) -> bool:
        """Return whether the ids of new events do not increase, from the last one on."""
        last = _rank(self._last.encode("latin-1"))
        for number in ids:
            if number.isdigit():
                if _rank(number) <= last:
                    return True
                last = _rank(number)
        return False

    def _without_repeats(self, ready: bytes) -> bytes:
        kept, last = [], _rank(self._last.encode("latin-1"))
        for event in ready.split(b"\n\n")[:-1]:
            found = _ID_LINE.search(event)
            number = found.group(1) if found is not None else b""
            if not number.isdigit():
                kept.append(event + b"\n\n")
            elif _rank(number) > last:
                last = _rank(number)
                kept.append(event + b"\n\n")
        return b"".join(kept)


def _rank(number: bytes) -> tuple[int, bytes]:
    """Return a key that orders decimal numbers of any length, with anything else below them.

    A target may send ids that are longer than `int` accepts.
    """
    if not number.isdigit():
        return (-1, b"")
    digits = number.lstrip(b"0")
    return (len(digits), digits)


def _split_complete(data: bytes) -> tuple[bytes, bytes]:
    """Return the complete events at the start of `data`, and the remaining bytes."""
    end = data.rfind(b"\n\n")
    cut = 0 if end < 0 else end + 2
    return data[:cut], data[cut:]


def _check_size(size: int, name: str) -> None:
    """Raise `StreamError` if `size`, that of the part of an event that has come, is too large."""
    if size > _MAX_EVENT_BYTES:
        detail = f"{size} bytes without its end, at most {_MAX_EVENT_BYTES}"
        raise StreamError(f"{name}: {detail}")
