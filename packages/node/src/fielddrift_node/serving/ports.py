"""Interfaces of the serving node to the platform, to callers and to targets.

An adapter for a platform implements these protocols; no other code of the node depends on a
platform's names.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

from fielddrift_core.catalog import Catalog, StoreTraits
from fielddrift_core.evacuations import EvacuationChanges
from fielddrift_core.prompt import Prompt
from fielddrift_core.target_notices import TargetNotice
from fielddrift_core.target_registry import Instance

from ..web.messages import Headers, RequestHead, ResponseHead
from ..web.process_check import ProcessCheck
from ..web.server import Request

__all__ = [
    "CallerDialect",
    "EngineReport",
    "FreeOrder",
    "HistoryTruncated",
    "InvalidRequest",
    "NamedWeights",
    "OperatorChanges",
    "OrderOutcome",
    "OutgoingRequest",
    "ParsedRequest",
    "Platform",
    "RemoteCallError",
    "ResponseInfo",
    "RowWrite",
    "SavedRow",
    "StoreChanges",
    "StoreContents",
    "StoredPart",
    "TargetChanges",
    "TargetDialect",
    "TransferPlan",
    "WeightsOrder",
    "WriteOutcome",
    "last_changes",
]


_NO_NOTICE = TargetNotice()


class RemoteCallError(Exception):
    """Raised when the platform or a target gave no usable response to a call.

    `not_executed` means that the call certainly had no effect.  `notice` is what a target
    reported about itself in the response.  `replaced` means that another process than the
    expected one is at the target's address, `refused` that nothing listens there.
    """

    def __init__(
        self,
        detail: str,
        *,
        not_executed: bool = False,
        notice: TargetNotice = _NO_NOTICE,
        replaced: bool = False,
        refused: bool = False,
    ) -> None:
        super().__init__(detail)
        self.not_executed = not_executed
        self.notice = notice
        self.replaced = replaced
        self.refused = refused


class HistoryTruncated(Exception):
    """Raised when changes after the requested version are no longer available: read all rows.

    `store_restored` means that the store was restored from a backup, so the requested version
    belongs to an older era.
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
    """What operators changed: the whole catalog if it changed, named weights, evacuations.

    `version` is the version from which the next read continues.
    """

    catalog: Catalog | None
    weights: tuple[NamedWeights, ...]
    version: int
    evacuations: EvacuationChanges = EvacuationChanges()


class TargetChanges(NamedTuple):
    """Changed entries of targets, and the names of targets that ended.

    With `whole` the entries are complete.  `unreadable` lists ids whose rows cannot be decoded,
    as another writer wrote them: they name no usable target, and get no grace period after an
    outage of the store.
    """

    entries: tuple[Instance, ...]
    ended: tuple[str, ...]
    version: int
    whole: bool
    unreadable: tuple[str, ...] = ()


class SavedRow(NamedTuple):
    """A row of the nodes' own in a table of the platform; `version` is 0 if it is absent."""

    key: str
    value: bytes
    version: int


class RowWrite(NamedTuple):
    """A conditional write, which takes effect only if the row has version `expect`.

    `value` None removes the row; `expect` None makes the write unconditional.
    """

    key: str
    value: bytes | None
    expect: int | None = None


class WriteOutcome(NamedTuple):
    """Whether writes took effect; `clock` is the platform's monotonic clock in seconds."""

    done: bool
    version: int
    clock: float


class Platform(Protocol):
    """The platform's store, as far as the node uses it.  All methods may raise `RemoteCallError`.

    Versions include the store's era, see `fielddrift_core.eras`.  `calls` counts all calls since
    the start, including refused ones, `unreadable` the versions of rows that could not be
    decoded.  `era` is the newest era seen in a response, 0 for none.
    """

    calls: int
    unreadable: int
    era: int

    async def operator_changes(self, after: int | None, wait: float) -> OperatorChanges:
        """Return what operators changed after version `after`, waiting up to `wait` seconds."""

    async def target_changes(self, after: int | None) -> TargetChanges:
        """Return the changes of targets after version `after`; all targets for None."""

    async def rows(self, table: str) -> tuple[list[SavedRow], float]:
        """Return the nodes' own rows in `table`, and the platform's clock in seconds."""

    async def write(self, table: str, writes: Sequence[RowWrite]) -> WriteOutcome:
        """Write rows atomically."""


# --- callers -----------------------------------------------------------------


class ParsedRequest(NamedTuple):
    """A caller's request, parsed as far as the node needs it.

    `timeout_seconds` is how long the caller waits for the response, None if not given.
    `resume_after` is the id of the last event that the caller received, empty for none; `resumes`
    is the id of the caller's request that received the first one, empty if not given.
    """

    request_id: str
    host: str
    path: str
    key: str
    timeout_seconds: float | None
    prompt: Prompt | None
    resume_after: str
    request: Request
    resumes: str = ""


class InvalidRequest(NamedTuple):
    """A request that cannot be parsed; `detail` is the reason."""

    detail: str


class CallerDialect(Protocol):
    """The wire protocol for callers."""

    def request_id(self, head: RequestHead) -> str:
        """Return the id that the caller gave to its request, empty for none."""

    def read(self, request: Request) -> ParsedRequest | InvalidRequest:
        """Parse a request."""

    def answer_headers(self, head: ResponseHead, request_id: str) -> Headers:
        """Return the response headers to the caller for a target's response `head`."""

    def refusal_headers(self, request_id: str, retry_after: float | None) -> Headers:
        """Return the response headers of a refusal by the node; `retry_after` is in seconds."""


# --- targets -----------------------------------------------------------------


class TransferPlan(NamedTuple):
    """The stored parts that an engine should fetch, and the parts that it should save.

    `sources` and `saves` have one entry for each part of the prompt: the address of a store
    host, or empty.  `until` is the deadline of the fetch in ms on the engines' clock, None for no
    deadline.
    """

    sources: tuple[str, ...] = ()
    saves: tuple[str, ...] = ()
    until: int | None = None


class OutgoingRequest(NamedTuple):
    """One send of a request to one target; `seconds` is the time left until its deadline."""

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
    """What the head of a target's response contains besides the status.

    `not_started` means that the request provably has not run and will not.  `misdirected` means
    that the target is not the expected instance, or does not have the expected weights.
    `instance` is the id of the responding instance, empty if not given.  `notice` is what the
    target reports about itself.  `rejected` means that it rejected the request for want of room,
    whether or not it states that the request has not run.
    """

    not_started: bool
    misdirected: bool
    instance: str
    weights: int | None
    notice: TargetNotice = _NO_NOTICE
    rejected: bool = False


class WeightsOrder(NamedTuple):
    """An order to load weights, with the duty's holder and its fencing token `fence`.

    The engine obeys only while it has taken `expected_orders` orders, so not after a newer one.
    """

    instance: Instance
    model: str
    version: int
    holder: str
    fence: int
    expected_orders: int


class FreeOrder(NamedTuple):
    """An order to free parts, given as (salt, part), at the store host at `address`.

    The host refuses it after `until`, in ms on the engines' clock, and as another process than
    `life`.
    """

    address: str
    parts: Sequence[tuple[str, str]]
    life: int
    until: int


class OrderOutcome(NamedTuple):
    """The response of an engine to an order.

    `taken` means that it accepted the order, `holds` that it already has the weights; otherwise
    `detail` is the reason.  `notice` is what the engine reports about itself.
    """

    taken: bool
    holds: bool
    busy: bool
    detail: str
    notice: TargetNotice = _NO_NOTICE


class EngineReport(NamedTuple):
    """An engine's report of its state, which may be some hundred ms old.

    `orders` counts the orders it accepted, `clock` is the engines' clock in ms.  `notice`
    combines what the report and the response head contain.
    """

    versions: Mapping[str, int]
    busy: bool
    orders: int
    waiting: int
    running: int
    clock: int | None
    notice: TargetNotice = _NO_NOTICE


class StoredPart(NamedTuple):
    """A part that a store host holds completely, under a salt."""

    salt: str
    id: str
    tokens: int


class StoreChanges(NamedTuple):
    """Changes of the contents of a store host since the last call.

    `life` numbers the processes of the store host; it changes with each restart.  With `gap` some
    changes are missing.  `clock` is the engines' clock in ms, None if not given.
    """

    life: int
    following: int
    gap: bool
    added: tuple[StoredPart, ...]
    dropped: tuple[StoredPart, ...]
    clock: int | None


def last_changes(
    events: Iterable[tuple[bool, StoredPart]],
) -> tuple[tuple[StoredPart, ...], tuple[StoredPart, ...]]:
    """Return the parts that were added and those that were dropped; each part's last event counts.

    `events` are pairs of whether a part was added, and the part.
    """
    last: dict[tuple[str, str], tuple[bool, StoredPart]] = {}
    for is_added, part in events:
        last.pop((part.salt, part.id), None)
        last[part.salt, part.id] = (is_added, part)
    return (
        tuple(part for is_added, part in last.values() if is_added),
        tuple(part for is_added, part in last.values() if not is_added),
    )


class StoreContents(NamedTuple):
    """All parts that a store host holds completely, and those whose transfer failed."""

    life: int
    following: int
    held: tuple[StoredPart, ...]
    broken: tuple[StoredPart, ...]
    clock: int | None


class TargetDialect(Protocol):
    """The wire protocol for targets.  Calls raise `RemoteCallError`."""

    def request(self, outgoing: OutgoingRequest) -> bytes:
        """Return the complete request as bytes."""

    def answers(self, outgoing: OutgoingRequest, head: ResponseHead) -> bool:
        """Return whether `head` is the response to `outgoing`, not to an earlier request."""

    def response_info(self, outgoing: OutgoingRequest, head: ResponseHead) -> ResponseInfo:
        """Return the content of the head of a response to `outgoing`."""

    def process_check(self, instance: Instance) -> ProcessCheck:
        """Return how to find out which process is at the address of `instance`."""

    def garbling(self, outgoing: OutgoingRequest, head: ResponseHead) -> str:
        """Return why a response cannot be passed on as the target's, empty if it can."""

    async def order(self, order: WeightsOrder) -> OrderOutcome:
        """Send an order to load weights to an engine."""

    async def report(self, instance: Instance) -> EngineReport:
        """Request the state of an engine."""

    async def store_changes(self, store: StoreTraits, since: int, wait: float) -> StoreChanges:
        """Return the changes of a store host after `since`, waiting up to `wait` seconds."""

    async def store_contents(self, store: StoreTraits) -> StoreContents:
        """Return all parts that a store host holds."""

    async def free(self, order: FreeOrder) -> bool:
        """Free parts at a store host; return False if it refused."""
