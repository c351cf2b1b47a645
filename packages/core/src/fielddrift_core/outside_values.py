"""Check values that come from outside: targets, callers, other nodes and the platform's rows.

Each value is checked once, where its bytes are decoded.  Whoever decodes it decides whether a value
out of range is left out or ends what contains it; code behind the decoders need not check again.
"""

from __future__ import annotations

import contextlib
import math
import re
from collections.abc import Callable, Iterable, Mapping
from functools import lru_cache
from typing import Annotated, Generic, NamedTuple, Protocol, TypeVar, get_args, get_origin

import msgspec

__all__ = [
    "COUNT",
    "ERA",
    "MAX_NAME_CHARACTERS",
    "MILLISECONDS",
    "PORT",
    "Age",
    "Amount",
    "Count",
    "Finite",
    "Name",
    "Number",
    "Port",
    "Range",
    "RowVersion",
    "StructDecoder",
    "ValueOutOfRange",
    "Whole",
    "address_of",
    "address_parts",
    "decoded",
    "head_text_of",
    "number_of",
    "text_of",
    "whole_number_of",
]

_MAX_SHOWN_CHARACTERS = 60
"""Characters of an invalid value that an error message contains."""
_MAX_HEAD_CHARACTERS = 1024
"""Characters of a name that is sent in a header: far more than names have."""
_ADDRESS_CACHE_SIZE = 4096
"""Addresses that were checked: those of a large fleet, read every two seconds."""
_LAST_HEAD_CHARACTER = "\xff"
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
ERA = Range(0, 2**18 - 1)
"""Eras of the platform's store: combined with a version, they are still a number of 62 bits."""

Port = Annotated[int, msgspec.Meta(ge=PORT.minimum, le=PORT.maximum)]
MAX_NAME_CHARACTERS = 200
"""Characters of the names and versions that targets tell, of which one datagram holds several."""

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Count = Annotated[int, msgspec.Meta(ge=COUNT.minimum, le=COUNT.maximum)]
Amount = Annotated[float, msgspec.Meta(ge=MILLISECONDS.minimum, le=MILLISECONDS.maximum)]
"""Durations, ages, sizes and rates; NaN is not in the range."""
RowVersion = Annotated[int, msgspec.Meta(ge=0, lt=2**44)]
"""Versions of the platform's rows, without an era."""
Finite = Annotated[float, msgspec.Meta(ge=-MILLISECONDS.maximum, le=MILLISECONDS.maximum)]
Age = Annotated[float, msgspec.Meta(ge=0)]
"""Ages; infinite for what was never heard."""
Whole = Annotated[int, msgspec.Meta(ge=-COUNT.maximum, le=COUNT.maximum)]
Number = Annotated[int, msgspec.Meta(ge=-(2**62), le=2**62)]
"""Whole numbers, of which a message can hold the sum of two."""

_T = TypeVar("_T")
_Decoded = TypeVar("_Decoded", covariant=True)


_Repair = Callable[[Mapping[str, msgspec.Raw]], Mapping[str, object]]


class _Decoder(Protocol[_Decoded]):
    def decode(self, data: bytes, /) -> _Decoded: ...


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


def head_text_of(field: str, value: object) -> str:
    """Return the text `value`, which can be sent in a header; else raise `ValueOutOfRange`."""
    text = text_of(field, value, max_characters=_MAX_HEAD_CHARACTERS)
    is_sendable = text.isascii() or max(text) <= _LAST_HEAD_CHARACTER
    if not is_sendable or text.strip() != text:
        raise ValueOutOfRange(field, value, "characters of ISO 8859-1, no space at the ends")
    return text


def decoded(decoder: _Decoder[_T], data: bytes | msgspec.Raw) -> _T:
    """Return what `decoder` reads in `data`; raise `msgspec.DecodeError` for anything else."""
    try:
        return decoder.decode(bytes(data))
    except RecursionError:
        raise msgspec.DecodeError("nested too deeply") from None


class StructDecoder(Generic[_T]):
    """Decodes a `msgspec.Struct` in JSON, and leaves out elements of its lists that are invalid.

    `repair` may return other fields for an element that is an object and invalid.
    """

    def __init__(self, kind: type[_T], *, repair: _Repair | None = None) -> None:
        self._repair = repair
        self._decoder = msgspec.json.Decoder(kind)
        self._elements: dict[str, msgspec.json.Decoder[object]] = {
            field.encode_name: msgspec.json.Decoder(get_args(field.type)[0])
            for field in msgspec.structs.fields(kind)  # type: ignore[arg-type]
            if get_origin(field.type) is list
        }

    def decode(self, data: bytes, left_out: Callable[[msgspec.DecodeError], None]) -> _T:
        """Return the decoded struct; raise `msgspec.DecodeError` unless all but elements is valid.

        `left_out` gets the error of each element that is left out or repaired.
        """
        try:
            return decoded(self._decoder, data)
        except msgspec.DecodeError:
            fields = decoded(_FIELDS, _without_lone_surrogates(data))
        for name, decoder in self._elements.items():
            if name in fields:
                elements = decoded(_LIST, fields[name])
                valid = self._valid(decoder, elements, left_out)
                fields[name] = msgspec.Raw(msgspec.json.encode(valid))
        return decoded(self._decoder, msgspec.json.encode(fields))

    def _valid(
        self,
        decoder: _Decoder[object],
        elements: Iterable[msgspec.Raw],
        left_out: Callable[[msgspec.DecodeError], None],
    ) -> list[msgspec.Raw]:
        """Return those of the `elements` that can be decoded, or repaired."""
        valid = []
        for element in elements:
            try:
                decoded(decoder, element)
                valid.append(element)
            except msgspec.DecodeError as error:
                left_out(error)
                with contextlib.suppress(msgspec.DecodeError):
                    if self._repair is not None:
                        fields = self._repair(decoded(_FIELDS, element))
                        repaired = msgspec.Raw(msgspec.json.encode(fields))
                        decoded(decoder, repaired)
                        valid.append(repaired)
        return valid


_SURROGATES = re.compile(
    rb"\\\\|\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}"
    rb"|(?P<lone>\\u[dD][89a-fA-F][0-9a-fA-F]{2})"
)
"""Backslashes, pairs of surrogates, and surrogates without the other half, in JSON."""
_FIELDS = msgspec.json.Decoder(dict[str, msgspec.Raw])
_LIST = msgspec.json.Decoder(list[msgspec.Raw])


def _without_lone_surrogates(data: bytes) -> bytes:
    """Return the JSON with U+FFFD for each lone surrogate, for which msgspec rejects all of it."""
    return _SURROGATES.sub(lambda found: rb"\ufffd" if found["lone"] else found[0], data)


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
    return _parts(field, value)


@lru_cache(maxsize=_ADDRESS_CACHE_SIZE)
def _parts(field: str, address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not _is_host(host) or port.strip() != port:
        raise ValueOutOfRange(field, address, "HOST:PORT with an IP address or a host name")
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
