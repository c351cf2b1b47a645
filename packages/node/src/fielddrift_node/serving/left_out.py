"""Count and log the values from outside that are left out, since they are out of range."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Mapping
from typing import TypeVar

import msgspec
import structlog
from fielddrift_core.outside_values import StructDecoder, ValueOutOfRange

from .. import clock

__all__ = ["KnownVersions", "LeftOutValues", "left_out_values"]

_MAX_KNOWN_COUNT = 1000
"""Values that are remembered, so that each one is logged once."""
_LOG_WINDOW_SECONDS = 10.0
_MAX_LINES_PER_WINDOW = 20
"""Lines for each place within a window; a flood of invalid messages is only counted beyond it."""

_MAX_NAME_CHARACTERS = 60
"""Characters of a name in a log line; names come from outside, too."""

_log = structlog.get_logger()
_T = TypeVar("_T")


class KnownVersions:
    """Remembers the version of each thing that was last met, of the latest 1,000 things."""

    def __init__(self) -> None:
        self._versions: dict[tuple[str, str], object] = {}

    def is_new(self, place: str, name: str, version: object) -> bool:
        """Record a version of the thing `name`; return whether another one was known, or none."""
        key = (place, name[:_MAX_NAME_CHARACTERS])
        known = self._versions.pop(key, None)
        self._versions[key] = version
        if len(self._versions) > _MAX_KNOWN_COUNT:
            self._versions.pop(next(iter(self._versions)))
        return known != version


class LeftOutValues:
    """Values that are left out, by the place where they were read.  Thread-safe."""

    def __init__(self, *, clock: Callable[[], float] = clock.now) -> None:
        self._clock = clock
        self._counts = Counter[str]()
        self._known = KnownVersions()
        self._lock = threading.Lock()
        self._windows: dict[str, tuple[float, int]] = {}

    @property
    def counts(self) -> Mapping[str, int]:
        """Return how many values were left out, by place."""
        return self._counts

    def read(
        self, place: str, name: str, field: str, value: object, check: Callable[[str, object], _T]
    ) -> _T | None:
        """Return what `check` reads in a field of the thing `name`, None if it is out of range.

        `check` gets the field and its value, and raises `ValueOutOfRange`.
        """
        try:
            return check(field, value)
        except ValueOutOfRange as error:
            self.note(place, name, error)
            return None

    def decode(
        self, place: str, name: str, decoder: StructDecoder[_T], data: bytes
    ) -> tuple[_T, bool]:
        """Return what `decoder` reads in `data`, and whether all elements of its lists are in it.

        Raise `msgspec.DecodeError` if more than elements of lists is invalid.
        """
        errors: list[msgspec.DecodeError] = []
        found = decoder.decode(data, errors.append)
        for error in errors:
            self.note(place, name, error)
        return found, not errors

    def note(self, place: str, name: str, error: Exception, *, version: object = None) -> None:
        """Record that a value of the thing `name` is left out for `error`.

        It is logged and counted once for each `version`; without one, each time it is counted, and
        logged when its error differs from the last one.
        """
        with self._lock:
            self._note(place, name, error, version)

    def _note(self, place: str, name: str, error: Exception, version: object) -> None:
        is_new = self._known.is_new(place, name, (version, str(error)))
        if not is_new and version is not None:
            return
        self._counts[place] += 1
        if is_new and self._may_log(place):
            _log.error(
                "value left out", place=place, name=name[:_MAX_NAME_CHARACTERS], error=str(error)
            )

    def _may_log(self, place: str) -> bool:
        now = self._clock()
        began, lines = self._windows.get(place, (now, 0))
        if now - began > _LOG_WINDOW_SECONDS:
            began, lines = now, 0
        self._windows[place] = (began, lines + 1)
        return lines < _MAX_LINES_PER_WINDOW


left_out_values = LeftOutValues()
"""Those of this process."""
