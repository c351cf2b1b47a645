"""Describe what the serving node needs from the outside, as protocols and messages.

An adapter for a platform implements these; nothing else in the node knows a
platform's names.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from fielddrift_core.catalog import Catalog, StoreTraits
from fielddrift_core.evacuations import EvacuationNews
from fielddrift_core.prompt import Part, Prompt
from fielddrift_core.target_notices import TargetNotice
from fielddrift_core.target_registry import Instance

from ..web.messages import Headers, ResponseHead
from ..web.server import Request

__all__ = [
    "Ask",
    "BadAsk",
    "CallerDialect",
    "EngineReport",
    "Fetch",
    "HeldPart",
    "HistoryGone",
    "KeptEvents",
    "KeptList",
    "NamedWeights",
    "OperatorNews",
    "OrderOutcome",
    "OutOfReach",
    "Outcome",
    "Platform",
    "RowWrite",
    "SavedRow",
    "Send",
    "Signs",
    "TargetDialect",
    "TargetNews",
    "WeightsOrder",
]


_NO_NOTICE = TargetNotice()


class OutOfReach(Exception):
    """The platform, or a target, gave no usable answer; `sure` when the call surely did nothing.

    `notice` is what the other side said of itself beside.
    """

    def __init__(
        self, detail: str, *, sure: bool = False, notice: TargetNotice = _NO_NOTICE
    ) -> None:
        super().__init__(detail)
        self.sure = sure
        self.notice = notice


class HistoryGone(Exception):
    """Changes after the version asked for are no longer kept; read the whole.

    `went_back` says that the store has come back from a copy: that version is of an older era.
    """

    def __init__(self, table: str, *, went_back: bool = False) -> None:
        super().__init__(table)
        self.went_back = went_back


# --- the platform ------------------------------------------------------------


class NamedWeights(NamedTuple):
    """The newest weight version that operators named for a model."""

    model: str
    version: int


class OperatorNews(NamedTuple):
    """What operators wrote: a whole catalog if it changed, named weights, evacuations.

    `version` is where the next reading goes on.
    """

    catalog: Catalog | None
    weights: tuple[NamedWeights, ...]
    version: int
    evacuations: EvacuationNews = EvacuationNews()


class TargetNews(NamedTuple):
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


class Outcome(NamedTuple):
    """Whether writes took effect; `clock` is the platform's steady clock in seconds."""

    done: bool
    version: int
    clock: float


class Platform(Protocol):
    """The platform's store, as far as the node uses it.  All may raise `OutOfReach`.

    Versions are marks, see `fielddrift_core.eras`.  `calls` counts the calls made since the
    start, refused ones too, `unreadable` the versions of rows that were not understood; `era`
    is the newest era that an answer has told, 0 where none does.
    """

    calls: int
    unreadable: int
    era: int

    async def operator_news(self, after: int | None, wait: float) -> OperatorNews:
        """Return what operators wrote after `after`, waiting up to `wait` seconds."""

    async def target_news(self, after: int | None) -> TargetNews:
        """Return what changed among targets after `after`; all of it for None."""

    async def rows(self, table: str) -> tuple[list[SavedRow], float]:
        """Return the node's own rows in `table`, and the platform's clock."""

    async def write(self, table: str, writes: Sequence[RowWrite]) -> Outcome:
        """Write rows, all or none."""


# --- callers -----------------------------------------------------------------


class Ask(NamedTuple):
    """A caller's request, as far as the node must understand it.

    `patience` is the seconds that the caller waits, None when it did not say.
    `resume_after` names the last event that the caller has.
    """

    request_id: str
    host: str
    path: str
    key: str
    patience: float | None
    prompt: Prompt | None
    resume_after: str
    request: Request


class BadAsk(NamedTuple):
    """Why a request cannot be understood."""

    detail: str


class CallerDialect(Protocol):
    """How callers speak."""

    def read(self, request: Request) -> Ask | BadAsk:
        """Return what is asked."""

    def answer_headers(self, head: ResponseHead, request_id: str) -> Headers:
        """Return the headers of a target's answer that the caller gets."""

    def refusal_headers(self, request_id: str, retry_after: float | None) -> Headers:
        """Return the headers of an answer of the node's own."""


# --- targets -----------------------------------------------------------------


class Fetch(NamedTuple):
    """Kept parts that an engine should fetch, and those it should save.

    Each list has one entry a part of the prompt: a store's address, or empty.
    `until` ends the fetch, in ms on the engines' clock; None is without end.
    """

    sources: tuple[str, ...] = ()
    saves: tuple[str, ...] = ()
    until: int | None = None


class Send(NamedTuple):
    """One sending of a request to one target; `seconds` is the time it has left."""

    ask: Ask
    instance: Instance
    seconds: float
    customer: str
    salt: str = ""
    weights: int | None = None
    fetch: Fetch = Fetch()
    resume_after: str = ""
    urgency: int | None = None


class Signs(NamedTuple):
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


class HeldPart(NamedTuple):
    """A part that a store keeps whole under a salt."""

    salt: str
    id: str
    tokens: int


class KeptEvents(NamedTuple):
    """What changed at a store since the last call.

    `life` numbers the store's lives; with `gap` some changes are unknown.
    `clock` is the engines' clock in ms, None when it was not told.
    """

    life: int
    following: int
    gap: bool
    added: tuple[HeldPart, ...]
    dropped: tuple[HeldPart, ...]
    clock: int | None


class KeptList(NamedTuple):
    """Everything that a store keeps whole, and what broke off on its way there."""

    life: int
    following: int
    held: tuple[HeldPart, ...]
    broken: tuple[HeldPart, ...]
    clock: int | None


class TargetDialect(Protocol):
    """How targets speak.  Calls raise `OutOfReach`."""

    def request(self, send: Send) -> bytes:
        """Return the whole request to send."""

    def answers(self, send: Send, head: ResponseHead) -> bool:
        """Return whether `head` answers `send`, not an earlier request."""

    def signs(self, send: Send, head: ResponseHead) -> Signs:
        """Return what the head of an answer to `send` tells."""

    async def order(self, order: WeightsOrder) -> OrderOutcome:
        """Give an order."""

    async def report(self, instance: Instance) -> EngineReport:
        """Ask an engine for its state."""

    async def kept_events(self, store: StoreTraits, since: int, wait: float) -> KeptEvents:
        """Return what changed at a store after `since`."""

    async def kept_list(self, store: StoreTraits) -> KeptList:
        """Return everything that a store keeps."""

    async def free(self, store: StoreTraits, parts: Sequence[tuple[str, Part]], life: int) -> bool:
        """Free parts of a store; False when it refused."""
