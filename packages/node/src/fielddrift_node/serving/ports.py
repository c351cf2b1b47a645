"""Describe what the serving node needs from the outside, as protocols and messages.

An adapter for a platform implements these; nothing else in the node knows a
platform's names.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from fielddrift_core.catalog import Catalog, StoreTraits
from fielddrift_core.evacuations import EvacuationChanges
from fielddrift_core.prompt import Part, Prompt
from fielddrift_core.target_notices import TargetNotice
from fielddrift_core.target_registry import Instance

from ..web.messages import Headers, ResponseHead
from ..web.server import Request

__all__ = [
    "ParsedRequest",
    "InvalidRequest",
    "CallerDialect",
    "EngineReport",
    "TransferPlan",
    "StoredPart",
    "HistoryTruncated",
    "StoreChanges",
    "StoreContents",
    "NamedWeights",
    "OperatorChanges",
    "OrderOutcome",
    "RemoteCallError",
    "WriteOutcome",
    "Platform",
    "RowWrite",
    "SavedRow",
    "OutgoingRequest",
    "ResponseInfo",
    "TargetDialect",
    "TargetChanges",
    "WeightsOrder",
]


_NO_NOTICE = TargetNotice()


class RemoteCallError(Exception):
    """The platform, or a target, gave no usable answer; `sure` when the call surely did nothing.

    `notice` is what the other side said of itself beside.
    """

    def __init__(
        self, detail: str, *, not_executed: bool = False, notice: TargetNotice = _NO_NOTICE
    ) -> None:
        super().__init__(detail)
        self.not_executed = not_executed
        self.notice = notice


class HistoryTruncated(Exception):
    """Changes after the version asked for are no longer kept; read the whole.

    `store_restored` says that the store has come back from a copy: that version is of an older era.
    """

    def __init__(self, table: str, *, store_restored: bool = False) -> None:
        super().__init__(table)
        self.store_restored = store_restored


# --- the platform ------------------------------------------------------------


class NamedWeights(NamedTuple):
    """The newest weight version that operators named for a model."""

    model: str
    version: int


class OperatorChanges(NamedTuple):
    """What operators wrote: a whole catalog if it changed, named weights, evacuations.

    `version` is where the next reading goes on.
    """

    catalog: Catalog | None
    weights: tuple[NamedWeights, ...]
    version: int
    evacuations: EvacuationChanges = EvacuationChanges()


class TargetChanges(NamedTuple):
    """Entries of targets that changed, and the names of those that ended.

    With `whole` the entries are all that there are.  `unreadable` are ids whose entries came
    from another writer: they name no target to use, now or while the store was away.
    """

    entries: tuple[Instance, ...]
    ended: tuple[str, ...]
    version: int
    whole: bool
    unreadable: tuple[str, ...] = ()


class SavedRow(NamedTuple):
    """A row of the node's own in the platform's table; `version` 0 when absent."""

    key: str
    value: bytes
    version: int


class RowWrite(NamedTuple):
    """A write that takes effect only while the row has version `expect`.

    `value` None removes the row; `expect` None writes whatever stands there.
    """

    key: str
    value: bytes | None
    expect: int | None = None


class WriteOutcome(NamedTuple):
    """Whether writes took effect; `clock` is the platform's steady clock in seconds."""

    done: bool
    version: int
    clock: float


class Platform(Protocol):
    """The platform's store, as far as the node uses it.  All may raise `RemoteCallError`.

    Versions are marks, see `fielddrift_core.eras`.  `calls` counts the calls made since the
    start, refused ones too, `unreadable` the versions of rows that were not understood; `era`
    is the newest era that an answer has told, 0 where none does.
    """

    calls: int
    unreadable: int
    era: int

    async def operator_changes(self, after: int | None, wait: float) -> OperatorChanges:
        """Return what operators wrote after `after`, waiting up to `wait` seconds."""

    async def target_changes(self, after: int | None) -> TargetChanges:
        """Return what changed among targets after `after`; all of it for None."""

    async def rows(self, table: str) -> tuple[list[SavedRow], float]:
        """Return the node's own rows in `table`, and the platform's clock."""

    async def write(self, table: str, writes: Sequence[RowWrite]) -> WriteOutcome:
        """Write rows, all or none."""


# --- callers -----------------------------------------------------------------


class ParsedRequest(NamedTuple):
    """A caller's request, as far as the node must understand it.

    `timeout_seconds` is how long the caller waits for the answer, None when not given.
    `resume_after` names the last event that the caller has.
    """

    request_id: str
    host: str
    path: str
    key: str
    timeout_seconds: float | None
    prompt: Prompt | None
    resume_after: str
    request: Request


class InvalidRequest(NamedTuple):
    """Why a request cannot be understood."""

    detail: str


class CallerDialect(Protocol):
    """How callers speak."""

    def read(self, request: Request) -> ParsedRequest | InvalidRequest:
        """Return what is asked."""

    def answer_headers(self, head: ResponseHead, request_id: str) -> Headers:
        """Return the headers of a target's answer that the caller gets."""

    def refusal_headers(self, request_id: str, retry_after: float | None) -> Headers:
        """Return the headers of an answer of the node's own."""


# --- targets -----------------------------------------------------------------


class TransferPlan(NamedTuple):
    """Kept parts that an engine should fetch, and those it should save.

    Each list has one entry a part of the prompt: a store's address, or empty.
    `until` ends the fetch, in ms on the engines' clock; None is without end.
    """

    sources: tuple[str, ...] = ()
    saves: tuple[str, ...] = ()
    until: int | None = None


class OutgoingRequest(NamedTuple):
    """One sending of a request to one target; `seconds` is the time it has left."""

    parsed: ParsedRequest
    instance: Instance
    seconds: float
    customer: str
    salt: str = ""
    weights: int | None = None
    fetch: TransferPlan = TransferPlan()
    resume_after: str = ""
    urgency: int | None = None


class ResponseInfo(NamedTuple):
    """What an answer's head tells beside its status.

    `not_started` is proof that the request has not run and will not.
    `misdirected` says that the target is not the instance, or has not the
    weights, that were expected; `instance` is who answered, where it said so.
    `notice` is what it says of itself.
    """

    not_started: bool
    misdirected: bool
    instance: str
    weights: int | None
    notice: TargetNotice = _NO_NOTICE


class WeightsOrder(NamedTuple):
    """An order to load weights, with the holder of the duty and its fence."""

    instance: Instance
    model: str
    version: int
    holder: str
    fence: int
    expected_orders: int | None


class OrderOutcome(NamedTuple):
    """How an engine took an order: `taken` or `holds` already; else why not.

    `notice` is what it says of itself beside.
    """

    taken: bool
    holds: bool
    busy: bool
    detail: str
    notice: TargetNotice = _NO_NOTICE


class EngineReport(NamedTuple):
    """What an engine says of itself; a view some hundred ms old.

    `orders` counts the orders it took, `clock` is the engines' clock in ms.
    `notice` has what both the report and its answer's head tell.
    """

    versions: Mapping[str, int]
    busy: bool
    orders: int
    waiting: int
    running: int
    clock: int | None
    notice: TargetNotice = _NO_NOTICE


class StoredPart(NamedTuple):
    """A part that a store keeps whole under a salt."""

    salt: str
    id: str
    tokens: int


class StoreChanges(NamedTuple):
    """What changed at a store since the last call.

    `life` numbers the store's lives; with `gap` some changes are unknown.
    `clock` is the engines' clock in ms, None when it was not told.
    """

    life: int
    following: int
    gap: bool
    added: tuple[StoredPart, ...]
    dropped: tuple[StoredPart, ...]
    clock: int | None


class StoreContents(NamedTuple):
    """Everything that a store keeps whole, and what broke off on its way there."""

    life: int
    following: int
    held: tuple[StoredPart, ...]
    broken: tuple[StoredPart, ...]
    clock: int | None


class TargetDialect(Protocol):
    """How targets speak.  Calls raise `RemoteCallError`."""

    def request(self, send: OutgoingRequest) -> bytes:
        """Return the whole request to send."""

    def answers(self, send: OutgoingRequest, head: ResponseHead) -> bool:
        """Return whether `head` answers `send`, not an earlier request."""

    def response_info(self, send: OutgoingRequest, head: ResponseHead) -> ResponseInfo:
        """Return what the head of an answer to `send` tells."""

    async def order(self, order: WeightsOrder) -> OrderOutcome:
        """Give an order."""

    async def report(self, instance: Instance) -> EngineReport:
        """Ask an engine for its state."""

    async def store_changes(self, store: StoreTraits, since: int, wait: float) -> StoreChanges:
        """Return what changed at a store after `since`."""

    async def store_contents(self, store: StoreTraits) -> StoreContents:
        """Return everything that a store keeps."""

    async def free(self, store: StoreTraits, parts: Sequence[tuple[str, Part]], life: int) -> bool:
        """Free parts of a store; False when it refused."""
