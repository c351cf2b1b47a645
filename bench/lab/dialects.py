"""Stand between a serving node and the laboratory: what callers, targets and links say."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from fielddrift_core.catalog import StoreTraits
from fielddrift_core.request_ends import EndCause
from fielddrift_core.target_registry import Instance
from fielddrift_node.serving.ports import (
    EngineReport,
    FreeOrder,
    OrderOutcome,
    OutgoingRequest,
    ParsedRequest,
    RemoteCallError,
    ResponseInfo,
    StoreChanges,
    StoreContents,
    WeightsOrder,
)
from fielddrift_node.web.client import Client
from fielddrift_node.web.errors import ExchangeError
from fielddrift_node.web.exchange import Exchange
from fielddrift_node.web.messages import Headers, RequestHead, ResponseHead
from fielddrift_node.web.process_check import ProcessAnswer, ProcessCheck
from fielddrift_node.web.server import Request, Responder

if TYPE_CHECKING:
    from .engine import Engine

__all__ = ["Answer", "LabCallers", "LabClient", "LabTargets"]

_CONNECT_SECONDS = 0.002


class LabCallers:
    """Callers that hand their question over as it is."""

    def __init__(self) -> None:
        self.asks: dict[bytes, ParsedRequest] = {}

    def request_id(self, head: RequestHead) -> str:
        """Return the key of the question."""
        return head.target.decode()

    def read(self, request: Request) -> ParsedRequest:
        """Return what is asked."""
        return self.asks.pop(request.head.target)

    def answer_headers(self, head: ResponseHead, request_id: str) -> Headers:
        """Return no headers: nobody reads them."""
        return Headers()

    def refusal_headers(self, request_id: str, retry_after: float | None) -> Headers:
        """Return the time to come back."""
        if retry_after is None:
            return Headers()
        return Headers([(b"retry-after", str(retry_after).encode())])


class LabTargets:
    """Engines that take a send as it is."""

    def __init__(self) -> None:
        self.sends: dict[bytes, OutgoingRequest] = {}

    def request(self, send: OutgoingRequest) -> bytes:
        """Return a name under which the send is found."""
        name = f"{send.parsed.request_id}@{send.instance.name}".encode()
        self.sends[name] = send
        return name

    def answers(self, send: OutgoingRequest, head: ResponseHead) -> bool:
        """Return that every answer is the one that is due."""
        return True

    def response_info(self, send: OutgoingRequest, head: ResponseHead) -> ResponseInfo:
        """Return what a head tells: engines here refuse only what they have not run."""
        return ResponseInfo(head.status == 503, False, "", 1)

    def process_check(self, instance: Instance) -> ProcessCheck:
        """Return a question without an answer: engines here do not start again."""
        return ProcessCheck(
            instance.name, b"", lambda head: True, lambda reply: ProcessAnswer.UNKNOWN
        )

    def garbling(self, send: OutgoingRequest, head: ResponseHead) -> str:
        """Return that every answer can be passed on."""
        return ""

    async def order(self, order: WeightsOrder) -> OrderOutcome:
        """Refuse: no weights change here."""
        raise RemoteCallError("no orders in the laboratory", not_executed=True)

    async def report(self, instance: Instance) -> EngineReport:
        """Tell nothing."""
        raise RemoteCallError("no reports in the laboratory", not_executed=True)

    async def store_changes(self, store: StoreTraits, since: int, wait: float) -> StoreChanges:
        """Tell nothing: the laboratory writes the views of stores itself."""
        raise RemoteCallError("no events in the laboratory", not_executed=True)

    async def store_contents(self, store: StoreTraits) -> StoreContents:
        """Tell nothing, as `store_changes`."""
        raise RemoteCallError("no lists in the laboratory", not_executed=True)

    async def free(self, order: FreeOrder) -> bool:
        """Free nothing."""
        return False


class LabClient(Client):
    """Exchanges with modelled engines, by their addresses."""

    def __init__(self, *, engines: Mapping[str, Engine], targets: LabTargets) -> None:
        super().__init__()
        self._engines = engines
        self._targets = targets

    async def begin(
        self,
        address: str,
        data: bytes,
        *,
        connect_seconds: float,
        accepts: Callable[[ResponseHead], bool] = lambda head: True,
        on_bytes: Callable[[], None] = lambda: None,
        max_idle_seconds: float | None = None,
        max_connections: int | None = None,
        through: str = "",
        request_id: str = "",
        process: ProcessCheck | None = None,
        is_new: bool = False,
        compares: bool = True,
    ) -> Exchange:
        """Hand a send to its engine."""
        send = self._targets.sends.pop(data)
        await self.connect(address, seconds=connect_seconds, through=through)
        engine = self._engines[address]
        exchange = Exchange(accepts=accepts, on_bytes=on_bytes)
        engine.take(send, exchange)
        return exchange

    async def connect(
        self,
        address: str,
        *,
        seconds: float,
        through: str = "",
        process: ProcessCheck | None = None,
    ) -> None:
        """Find that an engine listens, or does not."""
        await asyncio.sleep(_CONNECT_SECONDS)
        if not self._engines[address].up:
            raise ExchangeError(f"{address}: refused", sent=False, reason="connect", refused=True)


class Answer(Responder):
    """Note what a caller gets, and when."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.retry_after: float | None = None
        self.first_at: float | None = None
        self.on_first: Callable[[], None] = lambda: None
        self.whole = False
        self._loop = asyncio.get_running_loop()

    @property
    def started(self) -> bool:
        """Return whether the head was written."""
        return self.status is not None

    @property
    def is_open(self) -> bool:
        """Return False: a question is cancelled only when its caller leaves."""
        return False

    @property
    def ended(self) -> bool:
        """Return whether the answer is whole."""
        return self.whole

    def start(
        self, status: int, headers: Headers, length: int | None, *, chunked: bool = True
    ) -> None:
        """Take the head."""
        self.status = status

    def write(self, data: bytes) -> None:
        """Take a piece."""
        if self.first_at is None:
            self.first_at = self._loop.time()
            self.on_first()

    async def drain(self) -> None:
        """Callers here read at once."""

    def end(self) -> None:
        """Take the end."""
        self.whole = True

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Take a whole answer of the node's own."""
        self.status, self.whole = status, True
        value = headers.get(b"retry-after")
        self.retry_after = None if value is None else float(value)

    def cut(self, cause: EndCause = EndCause.FAULT) -> None:
        """Take a break."""
        self.whole = False
