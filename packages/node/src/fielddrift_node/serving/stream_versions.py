"""Decide where streams may be resumed, and let other nodes know which version began them.

A stream is resumed by this node after its run broke off or made no progress, or by its caller, who
may return to any node.  Where targets of several software versions serve, the origin of each
stream is sent to some other nodes before its first event is relayed, and saved on the platform.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable, Sequence
from typing import NamedTuple

import structlog
from fielddrift_core.eras import version_of
from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.neighbours import Neighbour, Neighbours
from fielddrift_core.stream_origins import (
    MAX_LIFETIME_SECONDS,
    MIN_LIFETIME_SECONDS,
    StreamOrigin,
    UnknownOrigin,
    rank_holders,
    stream_key,
)
from fielddrift_core.target_registry import Instance

from .call import Call, Refused, Send, short_id
from .metrics import Metrics
from .origin_rows import OriginRows
from .ports import RemoteCallError
from .sharing import PeerClient
from .version_rows import VersionRows
from .views import Views

__all__ = ["StreamVersions"]

_COPY_COUNT = 2
"""Nodes of this data centre, beside this one, that are sent an origin."""
_ASKED_COUNT = 3
"""Nodes of each data centre that are asked for an origin."""
_BATCH_SECONDS = 0.005
"""How long a query waits for others to the same node."""
_ASK_TIMEOUT_SECONDS = 0.8
"""How long answers of other nodes are waited for; one that knows the origin ends the wait."""
_MAX_UNANSWERED_COUNT = 1
"""Nodes of which no answer is needed to tell that none knows an origin, live or not: one of its
holders that has just ended leaves another one."""
_DEFAULT_LIFETIME_SECONDS = 30.0
"""How long an origin is kept if the caller gave no deadline."""
_RETURN_MARGIN_SECONDS = 1.0
"""How long an origin is kept after the caller's deadline, which its clock measures."""
_MAX_ENTRY_COUNT = 12
"""Origins per datagram; an entry takes about 40 bytes, and more with long names."""
_MAX_RECENT_COUNT = 1000
"""Origins, newest first, among which those for a newly discovered node are looked for."""
_WRITER_COUNT = 4
"""Nodes of each data centre that save origins, for all of its nodes."""
_HISTORY_WAIT_SECONDS = 0.8
"""How long a returning caller waits until a node that has just started knows former versions."""
_HISTORY_POLL_SECONDS = 0.02
_OBSERVE_SECONDS = 1.0
"""Interval at which the versions of unchanged targets are recorded."""
_READ_WAIT_SECONDS = 0.8
"""How long a returning caller waits until the list of targets is read, where too few nodes tell."""
_OUTDATED_SECONDS = 3.0
"""Age from which on the list of targets is outdated, and by how much it may be older than this node
believes: it may have stood still since the list, or word of it, was sent."""
_UNRESUMABLE_RETRY_SECONDS = 1.0
"""When a caller may return whose stream no target can resume now."""

_UNKNOWN_SOFTWARE = "?"
"""Recorded for a stream of which it is not known which process began it.  No target has this
version, so the stream is never resumed."""

_log = structlog.get_logger()


class _Resumption(NamedTuple):
    """What is known about a stream that a caller resumes, and the source of the knowledge."""

    service: str
    software: str
    source: str


class _Answer(NamedTuple):
    """The origin that one node knows of a stream, if any, and whether it answered at all.

    `is_ended` tells that the asked process has ended.
    """

    node: str
    origin: StreamOrigin | None
    is_given: bool
    is_ended: bool = False


class _SearchResult(NamedTuple):
    """The origin that other nodes know of a stream, if any, and whether enough of them answered to
    tell that none does.  `unanswered` are the live nodes that did not."""

    origin: StreamOrigin | None
    is_sufficient: bool
    unanswered: frozenset[str] = frozenset()


class _FurtherSearch(NamedTuple):
    """What was found of a stream that the asked nodes do not know, and whether the platform's rows
    were read and do not hold it."""

    found: _Resumption | None
    is_denied: bool


class _BatchAnswer(NamedTuple):
    """The origins by key that one node knows, and whether the node gave a valid answer.

    `is_ended` tells that the asked process has ended.
    """

    origins: dict[str, StreamOrigin]
    is_given: bool
    is_ended: bool = False


class _Batch(NamedTuple):
    """The keys, in order, that one node is asked for at a time, and its answer."""

    keys: dict[str, None]
    answer: asyncio.Future[_BatchAnswer]


class StreamVersions:
    """Restricts streams to the software version that began them.

    `read_targets` waits until the list of targets was read after a given time, for some seconds at
    most, and returns whether it was.  Without `version_rows` and `origin_rows` nothing is known of
    streams that began before all nodes ended.
    """

    def __init__(
        self,
        *,
        views: Views,
        neighbours: Neighbours,
        peers: PeerClient,
        metrics: Metrics,
        send: Callable[[Sequence[StreamOrigin], Neighbour], None],
        read_targets: Callable[[float, float], Awaitable[bool]],
        version_rows: VersionRows | None = None,
        origin_rows: OriginRows | None = None,
    ) -> None:
        self._views = views
        self._origins = views.origins
        self._versions = views.software_versions
        self._neighbours = neighbours
        self._peers = peers
        self._metrics = metrics
        self._send = send
        self._read_targets = read_targets
        self._version_rows = version_rows
        self._origin_rows = origin_rows
        self._batches: dict[str, _Batch] = {}
        """Queries that are about to be sent, by the name of the asked node."""
        self._split: tuple[int, frozenset[str]] = (0, frozenset())
        """The services that share a route with others, and the catalog of which that is true."""
        self._observed_serial = -1
        self._observed_at = float("-inf")

    # --- requests -------------------------------------------------------------------

    async def resolve(self, call: Call) -> Call:
        """Return `call` with the service of the stream that its caller resumes, if it does.

        Raise `Refused` if no target may resume the stream.
        """
        if not call.parsed.resume_after or not call.is_resumable_stream:
            return call
        try:
            found = await self._resumption(call)
        except Refused as refused:
            self._log_return(call, "stream turned away", detail=refused.refusal.detail)
            raise
        self._metrics.returned_streams.inc(label_value=found.source)
        self._log_return(
            call,
            "stream returned",
            service=found.service,
            software=found.software,
            origin=found.source,
        )
        service = call.catalog.services.get(found.service)
        if service is None or found.service not in {s.service for s in call.route.shares}:
            raise _refused(f"service {found.service!r} began the stream, and is not configured")
        call.trace.software = found.software
        call = call._replace(service=service)
        serving = self._views.registry.serving(service.name)
        if serving and not any(self.allows(call, instance) for instance in serving):
            raise _refused(f"no target of software version {found.software!r}, which began it")
        return call

    def _log_return(self, call: Call, event: str, **fields: object) -> None:
        """Log a caller's return, and how far this node is behind the others."""
        now = asyncio.get_running_loop().time()
        views, neighbours = self._views, self._neighbours
        readings = [
            *neighbours.read_states(now).values(),
            *neighbours.remote_read_states(now).values(),
        ]
        age = now - views.targets_read_at
        is_paused = views.stale.is_set()
        _log.info(
            event,
            request=call.parsed.request_id,
            resumes=short_id(call.parsed.resumes),
            **fields,
            targets_age=round(age, 3) if age != float("inf") else None,
            targets_row=version_of(views.targets_row),
            heard_row=version_of(max((each.targets for each in readings), default=0)),
            paused=is_paused,
            out_of_step=is_paused or age > _OUTDATED_SECONDS or self._is_isolated(now),
        )

    def allows(self, call: Call, instance: Instance) -> bool:
        """Return whether `instance` may run the request."""
        if call.trace.software:
            return call.trace.software == instance.software
        rows = self._version_rows
        if rows is None or not rows.has_unsaved or not call.is_resumable_stream:
            return True
        return not rows.is_gated(instance.service, instance.software)

    def is_restricted(self, call: Call) -> bool:
        """Return whether some targets of the service may not run the request."""
        return bool(call.trace.software) and self._versions.is_mixed(call.service.name)

    def begun(self, call: Call, send: Send) -> None:
        """Record that a send's target generates a stream, before its events are relayed."""
        instance = send.instance
        if not instance.software or not call.is_resumable_stream:
            return
        software = _UNKNOWN_SOFTWARE if send.is_process_unknown else instance.software
        call.trace.software = software
        now = asyncio.get_running_loop().time()
        request_id = call.parsed.resumes or call.parsed.request_id
        origin = StreamOrigin(
            stream_key(call.customer_name, request_id),
            instance.service,
            software,
            min(max(_returns_until(call), now + MIN_LIFETIME_SECONDS), now + MAX_LIFETIME_SECONDS),
        )
        self._origins.record(origin)
        if self._is_shared(instance.service):
            self._save([origin], now)
            self._publish([origin], now)

    async def _resumption(self, call: Call) -> _Resumption:
        """Return what is known about the stream that a caller resumes."""
        loop = asyncio.get_running_loop()
        key = stream_key(call.customer_name, call.parsed.resumes)
        if (known := self._origins.find(key, loop.time())) is not None:
            return _Resumption(known.service, known.software, "own")
        await self._wait_for_history()
        self._observe(loop.time())
        name = call.service.name
        is_split = len(call.route.shares) > 1
        answers: _SearchResult | None = None
        if call.parsed.resumes and (
            is_split or self._is_ambiguous(name) or not self._has_list_of(call)
        ):
            answers = await self._ask_others(key)
            if answers.origin is not None:
                self._origins.record(answers.origin)
                return _Resumption(answers.origin.service, answers.origin.software, "node")
        if not (is_split or self._has_list_of(call) or self._is_enough(answers, name)):
            await self._catch_up(call, answers)
        further = await self._search_further(call, key)
        if further.found is not None:
            return further.found
        if is_split:
            raise _refused("it is not known which service began the stream")
        if answers is not None and not answers.is_sufficient and self._is_ambiguous(name):
            raise _refused("too few nodes answered that may know which version began it")
        unanswered = frozenset[str]() if answers is None else answers.unanswered
        return self._presume(call, is_denied=further.is_denied, unanswered=unanswered)

    async def _search_further(self, call: Call, key: str) -> _FurtherSearch:
        """Search for an origin that has come meanwhile, on the platform, and at silent nodes.

        Raise `Refused` if a node may know it that is cut off.
        """
        if not call.parsed.resumes:
            return _FurtherSearch(None, is_denied=False)
        name, is_denied = call.service.name, False
        now = asyncio.get_running_loop().time()
        # As an answer of a node that gave none in time, or by itself.
        if (known := self._origins.find(key, now)) is not None:
            return _FurtherSearch(_Resumption(known.service, known.software, "own"), is_denied)
        is_saved = len(call.route.shares) > 1 or self._is_ambiguous(name)
        if self._origin_rows is not None and is_saved:
            saved = await self._origin_rows.find(key)
            if (known := saved.origin) is not None:
                self._origins.record(known)
                found = _Resumption(known.service, known.software, "platform")
                return _FurtherSearch(found, is_denied)
            is_denied = saved.is_given
        may_lack = self._versions.is_mixed(name) or not self._has_list_of(call)
        if may_lack and (known := await self._ask_silent(key)) is not None:
            self._origins.record(known)
            return _FurtherSearch(_Resumption(known.service, known.software, "node"), is_denied)
        return _FurtherSearch(None, is_denied)

    def _is_ambiguous(self, service: str) -> bool:
        """Return whether several versions may have begun a stream of `service`."""
        now = asyncio.get_running_loop().time()
        return not self._versions.knows_history(service, now) or self._versions.is_mixed(service)

    def _has_list_of(self, call: Call) -> bool:
        """Return whether the list of targets has every version that may have begun the stream."""
        return self._views.targets_asked_at >= call.arrived_at

    def _is_enough(self, answers: _SearchResult | None, service: str) -> bool:
        """Return whether enough nodes told that they do not know the origin of a stream.

        A node that begins one at a version which this node lacks sends the origin to some others.
        """
        now = asyncio.get_running_loop().time()
        if answers is None or not answers.is_sufficient or self._is_isolated(now):
            return False
        return not answers.unanswered and not self._missing_nodes(service, now)

    async def _catch_up(self, call: Call, answers: _SearchResult | None) -> None:
        """Read the list of targets, which may lack a version that began the stream.

        Raise `Refused` if it cannot be read, and other nodes may have used newer targets.
        """
        loop = asyncio.get_running_loop()
        is_read = await self._read_targets(call.arrived_at, _READ_WAIT_SECONDS)
        now = loop.time()
        self._observe(now)
        if is_read or not self._neighbours.known_nodes(now):
            return
        if answers is None or not answers.is_sufficient or self._is_isolated(now):
            raise _refused("too few nodes answered that may know of newer versions")
        heard_since = now - self._views.targets_read_at + _OUTDATED_SECONDS
        missing = answers.unanswered.union(
            self._missing_nodes(call.service.name, now, max_silent_seconds=heard_since)
        )
        if len(missing) > _MAX_UNANSWERED_COUNT:
            raise _refused(f"nodes have ended that may know of newer versions: {sorted(missing)}")

    def _presume(
        self, call: Call, *, is_denied: bool, unanswered: frozenset[str] = frozenset()
    ) -> _Resumption:
        """Return where a stream of unknown origin may go on; raise `Refused` if that is not known.

        `is_denied` tells that the platform does not know its origin, either; `unanswered` are the
        live nodes that did not tell whether they know it.
        """
        now = asyncio.get_running_loop().time()
        name = call.service.name
        missing = sorted(unanswered.union(self._missing_nodes(name, now)))
        if self._versions.is_mixed(name):
            if not call.parsed.resumes:
                raise _refused("its first attempt is not named, and several versions serve")
            if len(missing) > _MAX_UNANSWERED_COUNT or self._is_isolated(now):
                raise _refused(f"nodes have ended that may know which version began it: {missing}")
        try:
            software = self._versions.presumed(name, now, all_reached=is_denied and not missing)
        except UnknownOrigin as versions:
            detail = f"it is not known which software version began the stream: {versions}"
            raise _refused(detail) from None
        if software:
            return _Resumption(name, software, "presumed")
        # Another version may appear before the run begins, and has not begun the stream.
        return _Resumption(name, self._versions.only_version(name), "any")

    async def _wait_for_history(self) -> None:
        """Wait a short time until the versions that served before the start are known."""
        loop = asyncio.get_running_loop()
        until = loop.time() + _HISTORY_WAIT_SECONDS
        while not self._versions.is_history_known and loop.time() < until:
            await asyncio.sleep(_HISTORY_POLL_SECONDS)

    def _missing_nodes(
        self, service: str, now: float, *, max_silent_seconds: float = float("inf")
    ) -> list[str]:
        """Return the nodes of which a process has ended that this one has heard.

        They do not send heartbeats any more, or have started again since `service` had several
        versions or the list of targets was read: then they know nothing of the streams that their
        former processes began.  Nodes that have been silent for longer than `max_silent_seconds`
        are left out.
        """
        alive = {node.name for node in self._neighbours.alive(now)}
        read_at = self._views.targets_read_at - _OUTDATED_SECONDS
        since = max(now - MAX_LIFETIME_SECONDS, min(read_at, self._versions.mixed_since(service)))
        return [
            node.name
            for node in self._neighbours.known_nodes(now)
            if node.restarted_at >= since
            or (
                node.silent_seconds is not None
                and node.silent_seconds <= max_silent_seconds
                and node.name not in alive
            )
        ]

    def _is_isolated(self, now: float) -> bool:
        """Return whether there are other nodes, and none is heard from."""
        return bool(self._neighbours.known_nodes(now)) and not self._neighbours.alive(now)

    # --- other nodes ----------------------------------------------------------------

    async def _ask_others(self, key: str) -> _SearchResult:
        """Ask other nodes for the origin of the stream `key`, first those of this data centre."""
        near = self._neighbours.nearby(asyncio.get_running_loop().time())
        found = await self._ask(_first(key, near, _ASKED_COUNT), key)
        if found.origin is not None:
            return found
        remote = [
            node
            for nodes in self._neighbours.remote().values()
            for node in _first(key, nodes, _ASKED_COUNT)
        ]
        answers = await self._ask(remote, key)
        return answers._replace(
            is_sufficient=found.is_sufficient and answers.is_sufficient,
            unanswered=found.unanswered | answers.unanswered,
        )

    async def _ask_silent(self, key: str) -> StreamOrigin | None:
        """Ask nodes that have fallen silent for the origin of the stream `key`.

        One that has ended left its origins with others, unlike one that is cut off from them: raise
        `Refused` if one may live and does not answer.
        """
        silent = self._neighbours.silent(asyncio.get_running_loop().time())
        asked = (self._ask_one(node, key) for node in _first(key, silent, _ASKED_COUNT))
        answers = await asyncio.gather(*asked)
        for answer in answers:
            if answer.origin is not None:
                return answer.origin
        lost = sorted(each.node for each in answers if not (each.is_given or each.is_ended))
        if lost:
            raise _refused(f"nodes are cut off that may know which version began it: {lost}")
        return None

    async def _ask(self, nodes: Collection[Neighbour], key: str) -> _SearchResult:
        """Ask `nodes` for the origin of the stream `key`, until one of them knows it."""
        answered: set[str] = set()
        tasks = [asyncio.ensure_future(self._ask_one(node, key)) for node in nodes]
        try:
            for task in asyncio.as_completed(tasks, timeout=_ASK_TIMEOUT_SECONDS):
                answer = await task
                if answer.origin is not None:
                    return _SearchResult(answer.origin, is_sufficient=True)
                if answer.is_given:
                    answered.add(answer.node)
        except TimeoutError:
            pass
        finally:
            for each in tasks:
                each.cancel()
        alive = {node.name for node in self._neighbours.alive(asyncio.get_running_loop().time())}
        needed = alive & {node.name for node in nodes}
        unanswered = needed.difference(answered)
        is_sufficient = len(unanswered) <= _MAX_UNANSWERED_COUNT
        is_sufficient = is_sufficient and len(unanswered) < max(1, len(needed))
        return _SearchResult(None, is_sufficient, frozenset(unanswered))

    async def _ask_one(self, node: Neighbour, key: str) -> _Answer:
        batch = self._batches.get(node.name)
        if batch is None:
            batch = self._batches[node.name] = _Batch(
                {}, asyncio.ensure_future(self._ask_batch(node))
            )
        batch.keys[key] = None
        # Shielded: others may wait for the same answer.
        answer = await asyncio.shield(batch.answer)
        return _Answer(node.name, answer.origins.get(key), answer.is_given, answer.is_ended)

    async def _ask_batch(self, node: Neighbour) -> _BatchAnswer:
        """Return the origins that `node` knows of the streams that callers return with now.

        Queries are collected, as the callers of a node that has ended return within a short time.
        """
        await asyncio.sleep(_BATCH_SECONDS)
        keys = list(self._batches.pop(node.name).keys)
        try:
            found = await self._peers.origins(node, keys)
        except RemoteCallError as error:
            _log.info("node not reached", node=node.name, error=str(error))
            return _BatchAnswer({}, is_given=False, is_ended=error.refused)
        now = asyncio.get_running_loop().time()
        origins = {o.key: o._replace(until=now + o.until) for o in found.origins}
        return _BatchAnswer(origins, found.is_expected, is_ended=not found.is_expected)

    def heard(self, origins: Sequence[StreamOrigin]) -> None:
        """Record origins from another node, whose `until` are the seconds that are left."""
        now = asyncio.get_running_loop().time()
        received = [o._replace(until=now + min(o.until, MAX_LIFETIME_SECONDS)) for o in origins]
        for origin in received:
            self._origins.record(origin)
            # The sender may know targets of another version that this node does not know yet.
            if origin.software != _UNKNOWN_SOFTWARE:
                self._observe_versions(origin.service, {origin.software}, now)
        writers = self._writers(now)
        if len(writers) == _WRITER_COUNT:
            # Nodes that save no origins send theirs to those that do.
            self._save([o for o in received if self._is_writer_of(o.key, writers)], now)

    def send_recent(self, node: Neighbour) -> None:
        """Send the origins that a node which was just discovered or restarted should hold."""
        now = asyncio.get_running_loop().time()
        recent = self._shared(now)[-_MAX_RECENT_COUNT:]
        wanted = [o for o in recent if node.name in {n.name for n in self._holders(o.key, now)}]
        self._send_chunks(wanted, node, now)

    def hand_over(self) -> None:
        """Send all origins to other nodes, before this one stops."""
        now = asyncio.get_running_loop().time()
        self._publish(self._shared(now), now)

    def _shared(self, now: float) -> list[StreamOrigin]:
        """Return the origins that other nodes need, in the order of their recording."""
        return [o for o in self._origins.all(now) if self._is_shared(o.service)]

    def _is_shared(self, service: str) -> bool:
        """Return whether a stream of `service` may go on at some of the targets only."""
        return self._versions.is_mixed(service) or service in self._split[1]

    def _writers(self, now: float) -> list[str]:
        """Return the names of the nodes of this data centre that save origins."""
        names = [self._neighbours.me.name, *(n.name for n in self._neighbours.nearby(now))]
        return sorted(names)[:_WRITER_COUNT]

    def _is_writer_of(self, key: str, writers: Sequence[str]) -> bool:
        return rank_holders(key, writers)[0] == self._neighbours.me.name

    def _save(self, origins: Sequence[StreamOrigin], now: float) -> None:
        """Save origins on the platform if this node does so."""
        if self._origin_rows is not None and self._neighbours.me.name in self._writers(now):
            self._origin_rows.add(origins)

    def _publish(self, origins: Sequence[StreamOrigin], now: float) -> None:
        by_node: dict[str, tuple[Neighbour, list[StreamOrigin]]] = {}
        for origin in origins:
            for node in self._holders(origin.key, now):
                by_node.setdefault(node.name, (node, []))[1].append(origin)
        for node, wanted in by_node.values():
            self._send_chunks(wanted, node, now)

    def _holders(self, key: str, now: float) -> list[Neighbour]:
        """Return the nodes that should hold an origin: some nearby, one in another data centre.

        If this node does not save origins, one that does is among them.
        """
        nearby = self._neighbours.nearby(now)
        holders = _first(key, nearby, _COPY_COUNT)
        writers = self._writers(now)
        if self._origin_rows is not None and self._neighbours.me.name not in writers:
            writer = rank_holders(key, writers)[0]
            holders += [n for n in nearby if n.name == writer and n not in holders]
        remote = self._neighbours.remote()
        for data_centre in rank_holders(key, remote)[:1]:
            holders += _first(key, remote[data_centre], 1)
        return holders

    def _send_chunks(self, origins: Sequence[StreamOrigin], node: Neighbour, now: float) -> None:
        left = [origin._replace(until=round(origin.until - now, 1)) for origin in origins]
        for start in range(0, len(left), _MAX_ENTRY_COUNT):
            self._send(left[start : start + _MAX_ENTRY_COUNT], node)

    # --- periodic work ----------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Follow the versions of the targets, and remove origins that are not needed any more."""
        self._origins.expire(now)
        self._metrics.stream_origins.set(len(self._origins))
        if now - self._observed_at > _OBSERVE_SECONDS:
            self._observe(now)
        else:
            self.observe_targets()

    def observe_targets(self) -> None:
        """Record the versions of the targets if these have changed.

        Called with each list, so that nothing is decided by a list and by versions before it.
        """
        if self._views.registry.serial != self._observed_serial:
            self._observe(asyncio.get_running_loop().time())

    def _observe(self, now: float) -> None:
        self._observed_serial, self._observed_at = self._views.registry.serial, now
        self._observe_catalog(now)
        versions: dict[str, set[str]] = {}
        for instance in self._views.registry.all():
            versions.setdefault(instance.service, set()).add(instance.software)
        for service, found in versions.items():
            self._observe_versions(service, found, now)

    def _observe_catalog(self, now: float) -> None:
        catalog = self._views.catalog
        if catalog is None or catalog.version == self._split[0]:
            return
        self._versions.set_longest_timeout(catalog.longest_timeout)
        before, after = self._split[1], catalog.split_services
        self._split = (catalog.version, after)
        for service in after - before:
            self._share_begun(service, now)

    def _share_begun(self, service: str, now: float) -> None:
        """Save the origins of the streams that run, and send them to other nodes."""
        begun = [o for o in self._origins.all(now) if o.service == service]
        self._save(begun, now)
        self._publish(begun, now)

    def _observe_versions(self, service: str, versions: Iterable[str], now: float) -> None:
        if self._versions.observe(service, versions, now):
            # Streams that began before were not sent to other nodes.
            self._share_begun(service, now)


def _returns_until(call: Call) -> float:
    """Return until when the caller may return to resume its stream, as a loop time."""
    seconds = call.parsed.timeout_seconds
    lifetime = _DEFAULT_LIFETIME_SECONDS if seconds is None else seconds
    return call.arrived_at + lifetime + _RETURN_MARGIN_SECONDS


def _refused(detail: str) -> Refused:
    return Refused(
        Refusal(
            ErrorKind.NO_TARGET,
            f"the stream cannot be resumed: {detail}",
            Ran.NO,
            _UNRESUMABLE_RETRY_SECONDS,
            "stream-version",
        )
    )


def _first(key: str, nodes: Iterable[Neighbour], count: int) -> list[Neighbour]:
    """Return the first `count` of `nodes` in the order in which they should hold `key`."""
    by_name = {node.name: node for node in nodes}
    return [by_name[name] for name in rank_holders(key, by_name)[:count]]
