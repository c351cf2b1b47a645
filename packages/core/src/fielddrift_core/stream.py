"""Check the numbered server-sent events of a target while they are forwarded.

Events that arrive in order are forwarded unchanged after one check of their
numbers.  Late, duplicate and reordered events are put in order or dropped; a
stream is complete only when the count in its end event was reached.
"""

from __future__ import annotations

import re
from array import array
from bisect import bisect_left
from collections.abc import Iterable
from typing import NamedTuple

from .outside_values import Range

__all__ = ["EventFramer", "EventSequencer", "StreamError", "first_event_id"]

_NUMBER = re.compile(rb"^id: ?(\d+)$", re.MULTILINE)
_NUMBER_OR_BLANK_LINE = re.compile(rb"^id: ?(\d+)$|\n\n", re.MULTILINE)
"""An event's number, or, with an empty group, the blank line after the event."""
_END = re.compile(rb'^event: ?end$.*?^data: ?\{"count": ?(\d+)', re.MULTILINE | re.DOTALL)
_MAX_HELD_EVENT_COUNT = 10_000
_MAX_HELD_BYTES = 16 * 1024 * 1024
_NUMBERS = Range(0, 2**63 - 1)
"""Numbers of events, which may be times in ns."""
_MAX_DIGITS = _NUMBERS.max_digits
_BEFORE_FIRST = -1
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
            number = _event_number(found[0]) if len(found) == 1 else None
            if not number:
                raise StreamError(f"event {event[:60]!r}: expected one id line with a number")
            if number < self._next:
                # A repeat: events are consecutive, so that one by this number was forwarded.
                continue
            known, self._held[number] = self._held.get(number), event + b"\n\n"
            if known is None:
                self._held_bytes += len(self._held[number])
            elif known != self._held[number]:
                raise StreamError(f"event {number}: received twice, with different data")
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
        if count is not None and (last := max(self._held, default=0)) >= following:
            raise StreamError(f"event {last}: received beside the end event")
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
    count = _event_number(found.group(1))
    if count is None or last != count + 1:
        raise StreamError(f"end event: number {last}, expected its count and 1")
    return count


_ID_LINE = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)
_ID_OR_END = re.compile(rb"^id: ?([^\r\n]*)|\n\n", re.MULTILINE)
"""An event's id, or, with an empty group, the end of the event."""


def first_event_id(events: bytes) -> str:
    """Return the id of the first of `events` that has one, or an empty string."""
    found = _ID_LINE.search(events)
    return "" if found is None else found.group(1).decode("latin-1")


class _Progress(NamedTuple):
    """Whether the last events of a run were repeats.

    `is_at_start` tells that all events of a resumed run were, of those up to the one after which it
    resumes, and `repeated` is the number of the last of them; `is_repeating` tells that the last
    event was a repeat of one of the run itself.
    """

    is_at_start: bool = False
    repeated: int = _BEFORE_FIRST
    is_repeating: bool = False


_AT_START = _Progress(is_at_start=True)
_IN_ORDER = _Progress()


class _SeenEvents:
    """The numbers of a run's events, which rise, and the hashes of their bytes.

    The hashes tell repeats from other events with the same id.
    """

    def __init__(self) -> None:
        self._numbers = array("q")
        self._digests = array("q")

    def extend(self, numbers: Iterable[int], digests: Iterable[int]) -> None:
        """Add events behind all others."""
        self._numbers.extend(numbers)
        self._digests.extend(digests)

    def has(self, number: int, digest: int) -> bool:
        """Return whether an event with this number and these bytes was added."""
        at = bisect_left(self._numbers, number)
        is_there = at < len(self._numbers) and self._numbers[at] == number
        return is_there and self._digests[at] == digest


class EventFramer:
    """Split the bytes of one run into complete events, and leave out those sent before.

    Ids increase but need not be consecutive.  A run that resumes after the event `after` may first
    repeat events up to that one, and any run may repeat events of its own; these are left out.
    Every other event is forwarded in its place, also one whose id does not increase or is not a
    whole number of 63 bits: then the run's position is unknown, and it cannot be resumed.
    """

    # Each run needs its own framer: an event that is incomplete when a run is interrupted
    # must be discarded with it, or it would be joined to the first event of the next run.

    def __init__(self, *, after: str = "") -> None:
        self._buffer = b""
        self._partial_bytes = 0
        self._last = after
        self._after = _event_number(after.encode("latin-1"))
        """The number of the event after which this run resumes, None for none."""
        self._highest = _BEFORE_FIRST if self._after is None else self._after
        """The highest number of an event, in this run or earlier."""
        self._progress = _IN_ORDER if self._after is None else _AT_START
        self._events = 0
        self._odd = 0
        self._repeats = 0
        self._is_after_known = not after or self._after is not None
        self._seen = _SeenEvents()
        self._misplaced = 0
        self._misplaced_digests: set[int] = set()
        """The hashes of events without an id, or with one that did not increase."""

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
    def misplaced(self) -> int:
        """Return how many events were forwarded that have no id, or one that does not increase."""
        return self._misplaced

    @property
    def repeats(self) -> int:
        """Return how many events were left out, since they were sent before."""
        return self._repeats

    @property
    def resumable(self) -> bool:
        """Return whether another run can resume after the last event: all ids increase."""
        return self._is_after_known and not self._misplaced

    @property
    def may_end(self) -> bool:
        """Return whether a run that ends here may be complete.

        A run ends neither inside an event nor among repeats, and where nothing was forwarded, its
        first event must be known to follow one that was.
        """
        if self._partial_bytes > 0:
            return False
        if self._progress.is_at_start:
            return self._progress.repeated in (_BEFORE_FIRST, self._after)
        return self._events > 0

    @property
    def partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return self._partial_bytes > 0

    @property
    def partial_bytes(self) -> int:
        """Return the size in bytes of the incomplete event, also once it was discarded."""
        return self._partial_bytes

    def discard(self) -> None:
        """Free the buffers, at the end of the run: errors may keep the framer for long."""
        self._buffer = b""
        self._seen = _SeenEvents()
        self._misplaced_digests = set()

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes, without those forwarded before.

        Raise `StreamError` for an event that does not end, and for a resumed run of which it is
        not known where it goes on.  In that case no part of `data` counts as forwarded.
        """
        ready, self._buffer = _split_complete(self._buffer + data)
        self._partial_bytes = len(self._buffer)
        _check_size(self._partial_bytes, "event")
        if not ready:
            return b""
        marks = _ID_OR_END.findall(ready)
        if self._progress is not _IN_ORDER or (numbers := self._rising_numbers(marks)) is None:
            return self._sort_out(ready)
        ids = marks[::2]
        events = [ready] if len(ids) == 1 else _split_events(ready)
        self._seen.extend(numbers, map(hash, events))
        self._highest = numbers[-1]
        self._last = ids[-1].decode("latin-1")
        self._events += len(ids)
        self._odd += abs(_count_data_lines(ready) - len(ids))
        return ready

    def _rising_numbers(self, marks: list[bytes]) -> list[int] | None:
        """Return the numbers if each event has one id, all above those before, else None.

        `marks` are the ids and, as empty bytes, the ends of the events.
        """
        if len(marks) % 2:
            return None
        last, numbers = self._highest, []
        for each, end in zip(marks[::2], marks[1::2], strict=True):
            number = None if end else _event_number(each)
            if number is None or number <= last:
                return None
            numbers.append(last := number)
        return numbers

    def _sort_out(self, ready: bytes) -> bytes:
        """Return the events of `ready` that are not repeats."""
        state, highest = self._progress, self._highest
        kept: list[bytes] = []
        new: dict[int, int] = {}
        misplaced: list[int] = []
        for event in _split_events(ready):
            ids, digest = _ID_LINE.findall(event), hash(event)
            number = _event_number(ids[0]) if len(ids) == 1 else None
            is_known = number is not None and (
                new.get(number) == digest or self._seen.has(number, digest)
            )
            if state.is_at_start and number is not None and number <= highest:
                if number > state.repeated:
                    state = state._replace(repeated=number)
                    new[number] = digest
                elif not is_known:
                    raise StreamError(f"event {number}: not known whether it was sent before")
                continue
            if state.is_at_start and state.repeated not in (_BEFORE_FIRST, self._after):
                raise StreamError(f"event {self._last}: not among the events repeated before it")
            if number is not None and number > highest:
                state, highest = _IN_ORDER, number
                new[number] = digest
            elif number is not None and is_known:
                state = _Progress(is_repeating=True)
                continue
            else:
                # It may be a repeat that this run or an earlier one has sent with such an id.
                is_second = bool(ids) and (digest in misplaced or digest in self._misplaced_digests)
                is_old = number is not None and self._after is not None and number <= self._after
                if is_second or is_old or state.is_repeating:
                    raise StreamError(f"event {number}: not known whether it was sent before")
                state = _IN_ORDER
                misplaced.append(digest)
            kept.append(event)
        forwarded = b"".join(kept)
        self._progress, self._highest = state, highest
        self._seen.extend(new.keys(), new.values())
        self._misplaced += len(misplaced)
        self._misplaced_digests.update(misplaced)
        self._repeats += ready.count(b"\n\n") - len(kept)
        self._count_forwarded(forwarded, len(kept))
        return forwarded

    def _count_forwarded(self, ready: bytes, events: int) -> None:
        ids = _ID_LINE.findall(ready)
        self._events += events
        unnumbered = sum(not number.isdigit() for number in ids)
        lines = _count_data_lines(ready)
        self._odd += max(abs(len(ids) - events), abs(lines - events), unnumbered)
        if ids:
            # When every event was a repeat, no id is left and the last id stays.
            self._last = ids[-1].decode("latin-1")


def _count_data_lines(ready: bytes) -> int:
    return ready.count(b"\ndata:") + ready.startswith(b"data:")


def _event_number(text: bytes) -> int | None:
    """Return the number that an id spells in ASCII digits, None if it is not one in `COUNT`."""
    if not text.isdigit():
        return None
    if len(text) < _MAX_DIGITS:
        return int(text)
    # A long number is not parsed: `int` rejects over 4,300 digits.
    digits = text.lstrip(b"0") or b"0"
    number = int(digits) if len(digits) <= _MAX_DIGITS else _NUMBERS.maximum + 1
    return number if number <= _NUMBERS.maximum else None


def _split_events(ready: bytes) -> list[bytes]:
    """Return the complete events of `ready`, each with the blank line that ends it."""
    return [event + b"\n\n" for event in ready.split(b"\n\n")[:-1]]


def _split_complete(data: bytes) -> tuple[bytes, bytes]:
    """Return the complete events at the start of `data`, and the remaining bytes."""
    end = data.rfind(b"\n\n")
    cut = 0 if end < 0 else end + 2
    if end > 0 and data[end - 1 : end] == b"\n":
        # Three line ends in a row: the last of them belongs to what follows.
        cut = len(data) - len(data.split(b"\n\n")[-1])
    return data[:cut], data[cut:]


def _check_size(size: int, name: str) -> None:
    """Raise `StreamError` if `size`, that of the part of an event that has come, is too large."""
    if size > _MAX_EVENT_BYTES:
        detail = f"{size} bytes without its end, at most {_MAX_EVENT_BYTES}"
        raise StreamError(f"{name}: {detail}")
