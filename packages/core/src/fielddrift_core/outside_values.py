"""Check values that come from outside: targets, callers, other nodes and the platform's rows.

Each value is checked once, where its bytes are decoded.  Whoever decodes it decides whether a value
out of range is left out or ends what contains it; code behind the decoders need not check again.
"""

from __future__ import annotations

import math
from typing import NamedTuple

__all__ = [
    "COUNT",
    "MILLISECONDS",
    "PORT",
    "Range",
    "ValueOutOfRange",
    "address_of",
    "address_parts",
    "number_of",
    "text_of",
    "whole_number_of",
]

_MAX_SHOWN_CHARACTERS = 60
"""Characters of an invalid value that an error message contains."""
_MAX_HOST_CHARACTERS = 253
_MAX_LABEL_CHARACTERS = 63
"""Limits of a host name and of its parts between dots (RFC 1035)."""


class ValueOutOfRange(ValueError):
    """Raised for a value from outside that is not in its range; names the field and the value."""

    def __init__(self, field: str, value: object, expected: str) -> None:
        shown = _shown(value)
        if len(shown) > _MAX_SHOWN_CHARACTERS:
            shown = shown[:_MAX_SHOWN_CHARACTERS] + "..."
        super().__init__(f"{field}: {shown}, expected {expected}")


class Range(NamedTuple):
    """The numbers from `minimum` to `maximum`, both included."""

    minimum: int
    maximum: int

    def __str__(self) -> str:
        return f"{self.minimum} to {self.maximum}"

    @property
    def max_digits(self) -> int:
        """Return the number of digits of the largest number."""
        return len(str(max(abs(self.minimum), abs(self.maximum))))


COUNT = Range(0, 2**53)
"""Counts, versions and sizes: a float holds each exactly, and so do messages between nodes."""
MILLISECONDS = Range(0, 10**15)
"""Durations, and times since 1970."""
PORT = Range(1, 65_535)


def whole_number_of(field: str, value: object, limits: Range = COUNT) -> int:
    """Return the whole number `value`, a number or the digits of one.

    Only ASCII digits count.  Raise `ValueOutOfRange` for anything else, or outside of `limits`.
    """
    number: object = value
    if isinstance(value, str):
        text = value.strip(" \t").removeprefix("-")
        # A long number is not parsed: `int` rejects over 4,300 digits by an error of its own.
        digits = text.lstrip("0") or text[:1]
        if not (text.isascii() and text.isdigit()) or len(digits) > limits.max_digits:
            raise ValueOutOfRange(field, value, f"a whole number, {limits}")
        number = -int(digits) if value.strip(" \t").startswith("-") else int(digits)
    if isinstance(number, float) and math.isfinite(number) and number == number // 1:
        number = int(number)
    if isinstance(number, bool) or not isinstance(number, int):
        raise ValueOutOfRange(field, value, f"a whole number, {limits}")
    if not limits.minimum <= number <= limits.maximum:
        raise ValueOutOfRange(field, value, f"a whole number, {limits}")
    return number


def number_of(field: str, value: object, limits: Range = MILLISECONDS) -> float:
    """Return the number `value`, or the one that it spells, as a float.

    Raise `ValueOutOfRange` if it is none, not finite, or outside of `limits`.
    """
    number = value
    if isinstance(value, str):
        try:
            # `float` accepts digits of other scripts, and underscores.
            is_plain = value.isascii() and "_" not in value
            number = float(value) if is_plain else None
        except ValueError:
            number = None
    if isinstance(number, bool) or not isinstance(number, int | float):
        raise ValueOutOfRange(field, value, f"a number, {limits}")
    # An int is compared before its conversion, which may overflow; NaN compares as False.
    if not limits.minimum <= number <= limits.maximum:
        raise ValueOutOfRange(field, value, f"a number, {limits}")
    return float(number)


def text_of(field: str, value: object, *, max_characters: int) -> str:
    """Return the text `value`; raise `ValueOutOfRange` for one that is too long or not printable.

    A text that is not printable cannot be sent in a header, nor encoded if it has lone surrogates.
    """
    if not isinstance(value, str) or not value.isprintable():
        raise ValueOutOfRange(field, value, "a printable text")
    if len(value) > max_characters:
        raise ValueOutOfRange(field, value, f"{max_characters} characters at most")
    return value


def address_of(field: str, value: object) -> str:
    """Return the address `value`, HOST:PORT; raise `ValueOutOfRange` if it cannot be one."""
    address_parts(field, value)
    assert isinstance(value, str)
    return value


def address_parts(field: str, value: object) -> tuple[str, int]:
    """Return host and port of an address; raise `ValueOutOfRange` if it cannot be one.

    A host is an IP address or an ASCII host name whose parts are as long as a look-up accepts.
    """
    if not isinstance(value, str):
        raise ValueOutOfRange(field, value, "HOST:PORT")
    host, _, port = value.rpartition(":")
    if not _is_host(host) or port.strip() != port:
        raise ValueOutOfRange(field, value, "HOST:PORT with an IP address or a host name")
    return host, whole_number_of(f"{field}: port", port, PORT)


def _is_host(host: str) -> bool:
    name = host.removesuffix(".")
    if not name or not name.isascii() or len(name) > _MAX_HOST_CHARACTERS:
        return False
    if name.startswith("[") and name.endswith("]"):
        name = name[1:-1].replace(":", "")
    labels = name.split(".")
    return all(
        0 < len(label) <= _MAX_LABEL_CHARACTERS
        and label.replace("-", "").replace("_", "").isalnum()
        for label in labels
    )


def _shown(value: object) -> str:
    if isinstance(value, int) and abs(value) > COUNT.maximum:
        # `repr` raises for a number of over 4,300 digits.
        return "a large number"
    if value is None or isinstance(value, str | bytes | int | float):
        return repr(value)
    return f"a value of type {type(value).__name__}"
