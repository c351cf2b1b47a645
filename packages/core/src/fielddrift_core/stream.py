"""Check a target's numbered events while they pass through.

In the usual case what arrived is handed on as it is, after one look at the
numbers.  Late, doubled and reordered events are put right; an answer counts
as whole only when the end mark's count was reached.
"""

from __future__ import annotations

import re

__all__ = ["EventFramer", "EventSequencer", "StreamError", "first_event_id"]

_NUMBER = re.compile(rb"^id: ?(\d+)$", re.MULTILINE)
_NUMBER_OR_BREAK = re.compile(rb"^id: ?(\d+)$|\n\n", re.MULTILINE)
"""An event's number, or with an empty group the blank line behind the event."""
_END = re.compile(rb'^event: ?end$.*?^data: ?\{"count": ?(\d+)', re.MULTILINE | re.DOTALL)
_MOST_HELD = 10_000


class StreamError(Exception):
    """A stream that cannot be put right; the answer must not pass for whole."""


class EventSequencer:
    """Pass the server-sent events of one run on in order, each once, from `following` on.

    Events are numbered from 1; the end mark is `event: end` with the count of
    events in its data, and carries the number after the last one.
    """

    # One sequencer a run, and the next begins at `following`: what arrived of a run that
    # broke off and was not handed on must not decide over the next one's events, or its end.

    def __init__(self, *, following: int = 1) -> None:
        self._next = following
        self._rest = b""
        self._held: dict[int, bytes] = {}
        self._count: int | None = None
        self._reordered = False

    @property
    def reordered(self) -> bool:
        """Return whether any events had to be put right."""
        return self._reordered

    @property
    def following(self) -> int:
        """Return the number of the next event to hand on."""
        return self._next

    @property
    def partial_bytes(self) -> int:
        """Return how many bytes of an event that has not ended are held."""
        return len(self._rest)

    @property
    def whole(self) -> bool:
        """Return whether the marked end was handed on."""
        return self._count is not None and self._next == self._count + 2

    def feed(self, data: bytes) -> bytes:
        """Return what can be handed on now that `data` arrived.

        Raise `StreamError` for an event without a number or with two, an end mark
        that contradicts the events, or too many held out of order.  Nothing of
        `data` counts as handed on then.
        """
        ready, self._rest = _whole_events(self._rest + data)
        if not ready:
            return b""
        following = self._next + ready.count(b"\n\n")
        # Where events are held, one that comes in order may be what they wait for.
        if not self._held and _has_one_each(ready, range(self._next, following)):
            self._count = _checked_end(ready, following - 1, self._count)
            self._next = following
            return ready
        return self._put_right(ready)

    def _put_right(self, ready: bytes) -> bytes:
        self._reordered = True
        for event in ready.split(b"\n\n")[:-1]:
            found = _NUMBER.findall(event)
            if len(found) != 1:
                raise StreamError(f"event {event[:60]!r}: expected one id line with a number")
            number = int(found[0])
            if number >= self._next:
                self._held.setdefault(number, event + b"\n\n")
        if len(self._held) > _MOST_HELD:
            raise StreamError(f"event {self._next}: missing, {len(self._held)} later ones arrived")
        return self._release()

    def _release(self) -> bytes:
        out = []
        following, count = self._next, self._count
        while (event := self._held.get(following)) is not None:
            count = _checked_end(event, following, count)
            out.append(event)
            following += 1
        for number in range(self._next, following):
            del self._held[number]
        self._next, self._count = following, count
        return b"".join(out)


def _has_one_each(ready: bytes, numbers: range) -> bool:
    """Return whether the events of `ready` have one number each, and just these in turn."""
    found = _NUMBER_OR_BREAK.findall(ready)
    in_turn = [mark for number in numbers for mark in (b"%d" % number, b"")]
    return found == in_turn


def _checked_end(ready: bytes, last: int, before: int | None) -> int | None:
    """Return the count of the end mark in `ready`, None when there is none.

    `before` is the count of an end mark that came already.
    """
    if before is not None:
        raise StreamError(f"event {last}: comes after the end mark")
    found = _END.search(ready)
    if found is None:
        return None
    count = int(found.group(1))
    if last != count + 1:
        raise StreamError(f"end mark: count {count}, but its number is {last}")
    return count


_ID_LINE = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


def first_event_id(events: bytes) -> str:
    """Return the id of the first of `events` that has one, empty where none has."""
    found = _ID_LINE.search(events)
    return "" if found is None else found.group(1).decode("latin-1")


class EventFramer:
    """Cut the bytes of one run into whole events, each handed on once.

    Ids rise but need not follow on each other.  Events up to the id `after`,
    which an earlier run of the same answer gave, are left out.
    """

    # One cutter a run: what is not whole when a run breaks off must go with it,
    # or it would be joined to the first event of the next run.

    def __init__(self, *, after: str = "") -> None:
        self._rest = b""
        self._last = after
        self._events = 0
        self._odd = 0
        self._marked = True

    @property
    def last(self) -> str:
        """Return the id of the last event handed on, by this run or before; empty for none."""
        return self._last

    @property
    def events(self) -> int:
        """Return how many events of this run were handed on."""
        return self._events

    @property
    def odd(self) -> int:
        """Return how many events, at least, had not just one numbered id and one line of data.

        An event joined of the bytes of two is counted, unless the first one's end inside
        the name of its data field.
        """
        return self._odd

    @property
    def resumable(self) -> bool:
        """Return whether another run can go on behind what was handed on: each event had an id."""
        return self._marked

    @property
    def partial(self) -> bool:
        """Return whether an event has begun and not ended."""
        return bool(self._rest)

    @property
    def partial_bytes(self) -> int:
        """Return how many bytes of an event that has not ended are held."""
        return len(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that `data` completes, without any handed on before."""
        ready, self._rest = _whole_events(self._rest + data)
        if not ready:
            return b""
        ids = _ID_LINE.findall(ready)
        if ids and self._last.isdigit() and ids[0].isdigit() and int(ids[0]) <= int(self._last):
            ready = self._without_repeated(ready)
            ids = _ID_LINE.findall(ready)
        events = ready.count(b"\n\n")
        self._events += events
        lines = ready.count(b"\ndata:") + ready.startswith(b"data:")
        unnumbered = sum(not number.isdigit() for number in ids)
        self._odd += max(abs(len(ids) - events), abs(lines - events), unnumbered)
        self._marked = self._marked and len(ids) >= events
        if ids:
            # Where all were repeated none is left, and the last id stays.
            self._last = ids[-1].decode("latin-1")
        return ready

    def _without_repeated(self, ready: bytes) -> bytes:
        kept = []
        for event in ready.split(b"\n\n")[:-1]:
            found = _ID_LINE.search(event)
            number = found.group(1) if found is not None else b""
            if not number.isdigit() or int(number) > int(self._last):
                kept.append(event + b"\n\n")
        return b"".join(kept)


def _whole_events(data: bytes) -> tuple[bytes, bytes]:
    """Return the whole events at the beginning of `data`, and the rest."""
    cut = data.rfind(b"\n\n") + 2
    return (data[:cut], data[cut:]) if cut >= 2 else (b"", data)
