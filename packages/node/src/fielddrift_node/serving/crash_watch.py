"""Track requests that crash the targets running them, reject those, and inform the other nodes.

A connection that breaks during a run does not prove a crash: the answer may be lost or the link
reset. The run counts as a crash only after the target is known to have ended: its port refuses
connections, another instance uses its address, or its entry disappears soon afterwards without the
target having reported that it is leaving.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Sequence

import structlog
from fielddrift_core.crashes import CrashUpdate, HeldRequest, part_suspect
from fielddrift_core.errors import Ran
from fielddrift_core.lost_runs import LostRun, LostRuns
from fielddrift_core.neighbours import Neighbour, Neighbours
from fielddrift_core.target_registry import Instance

from ..web.connection import LiveConnection
from ..web.errors import REPLACED_REASON, CarrierState, ExchangeError
from ..web.process_check import ProcessAnswer
from .attempts import CONNECTION_LOST_REASONS
from .call import Call, Refused, Send, TargetState
from .metrics import Metrics
from .target_paths import TargetPaths
from .views import Views

__all__ = ["CrashWatch"]

_PROBE_DELAY_SECONDS = 0.05
"""Delay before the target is probed: a crashing process closes its port within this time."""
_MAX_CONFIRM_SECONDS = 0.4
"""Time after which no more attempts are made to find out whether a target lives on."""
_MAX_ANSWER_SECONDS = 0.4
"""Time for a target to tell who it is."""
_SETTLING_SECONDS = 10.0
"""Time after its start in which a node may not know the others, and would probe beside them."""
_TICK_SECONDS = 0.25
_UPDATE_INTERVAL_SECONDS = 1.0
"""Interval between updates to one random node. They repeat, within 1 to 2 s, entries
that were lost or that a disconnected or paused node missed, at one packet per second and node."""
_MAX_ENTRY_COUNT = 20
"""Entries per datagram; an entry takes about 60 bytes."""
_MAX_UPDATE_AGE_SECONDS = 30.0
"""Maximum age of entries repeated every second on requests that are not held back."""
_FULL_UPDATE_INTERVAL_SECONDS = 10.0
"""Interval between updates without an age limit, for nodes that were disconnected for longer."""

_log = structlog.get_logger()


class CrashWatch:
    """Crash records of this node, and the checks based on them. Use on the event loop thread
    only."""

    def __init__(
        self,
        *,
        views: Views,
        paths: TargetPaths,
        neighbours: Neighbours,
        metrics: Metrics,
        rng: random.Random,
        send_update: Callable[[CrashUpdate, Sequence[Neighbour]], None],
        on_replaced: Callable[[Instance], None],
    ) -> None:
        self._views = views
        self._history = views.crashes
        self._paths = paths
        self._neighbours = neighbours
        self._metrics = metrics
        self._rng = rng
        self._send_update = send_update
        self._on_replaced = on_replaced
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._lost_runs = LostRuns()
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._confirming: set[asyncio.Task[None]] = set()
        self._logged_holds: dict[str, HeldRequest] = {}
        self._update_sent_at = float("-inf")
        self._full_update_sent_at = float("-inf")

    # --- requests -------------------------------------------------------------------

    def check(self, call: Call) -> None:
        """Raise `Refused` if the request is held back."""
        if self._history.has_holds:
            suspects = _suspects(call)
            if call.parsed.prompt is not None:
                self._history.count_prompt(suspects)
            held = self._history.first_held(
                suspects, self._loop.time(), probe_rank=self._probe_rank()
            )
            self._refuse(call, held)

    def record_send(self, call: Call) -> None:
        """Record that a request is about to be sent; raise `Refused` if it is held back."""
        if self._history.has_holds:
            held = self._history.admit_request(
                _suspects(call), self._loop.time(), probe_rank=self._probe_rank()
            )
            self._refuse(call, held)

    def _probe_rank(self) -> int:
        """Return this node's place among those that probe a part during or after its hold, from
        0."""
        now = self._loop.time()
        if now - self._started_at < _SETTLING_SECONDS:
            return 2
        if self._neighbours.is_coordinator(now):
            return 0
        return 1 if self._neighbours.is_local_coordinator(now) else 2

    def _refuse(self, call: Call, held: HeldRequest | None) -> None:
        if held is None:
            return
        ran = Ran.UNKNOWN if call.trace.unproved else Ran.NO
        raise Refused(held.refusal(self._loop.time(), ran))

    def failed(self, call: Call, instance: Instance, reason: str, sent_at: float) -> None:
        """Record a send that failed after the request had left this node."""
        name = instance.name
        if reason == REPLACED_REASON:
            self._target_ended(name, reason)
        registry = self._views.registry
        if (
            reason not in CONNECTION_LOST_REASONS
            or name in registry.leaving()
            or registry.get(name) is None
        ):
            # A target that is leaving, or whose entry was removed while it still served, ends as
            # planned.
            return
        now = self._loop.time()
        run = LostRun(call.parsed.request_id, call.fingerprint, name, now, now - sent_at)
        if (prompt := call.parsed.prompt) is not None:
            parts = tuple(part.id for part in prompt.shared)
            run = run._replace(model=prompt.model, parts=parts)
        if self._lost_runs.add(run):
            self._record_crashes([run], "ended before")
        elif registry.is_replaced(name):
            self._target_ended(name, REPLACED_REASON)
        elif name not in self._probes:
            self._probes[name] = self._loop.create_task(self._probe(instance))

    def refused(self, instance: Instance) -> None:
        """Record that a target refused a connection."""
        self._target_ended(instance.name, "connection refused")

    async def confirm_end(self, send: Send) -> TargetState:
        """Return the state of a target after a response that ended with its connection.

        Such a response looks the same if the target ended in it, or the node that carried it.
        """
        started_at = self._loop.time()
        open_before = self._paths.live_connections(send.instance, carrier=send.through)
        delay = _PROBE_DELAY_SECONDS
        while True:
            await asyncio.sleep(delay)
            state, detail = await self._probe_end(send, open_before)
            waited = self._loop.time() - started_at
            if state is not TargetState.UNKNOWN or waited > _MAX_CONFIRM_SECONDS:
                break
            delay *= 2
        self._metrics.confirmed_ends.inc(label_value=state.value)
        if state is not TargetState.LIVES:
            _log.info(
                "end of a response not confirmed",
                target=send.target,
                state=state,
                through=send.through,
                listed=self._views.registry.get(send.target) is not None,
                detail=detail,
                waited_ms=round(waited * 1000),
            )
        return state

    async def _probe_end(
        self, send: Send, open_before: Collection[LiveConnection]
    ) -> tuple[TargetState, str]:
        """Ask the process at the address of a target who it is; return the state of the target.

        Also return the reason if it is not known to live.  That something listens at the address
        would not tell: a process that started there since may have taken the place of the target.
        """
        instance = send.instance
        check = self._paths.process_check(instance)
        try:
            async with asyncio.timeout(_MAX_ANSWER_SECONDS):
                carried = await self._paths.ask(instance, check.request, carrier=send.through)
        except TimeoutError:
            # A target that is full or slow may answer late.
            state = TargetState.UNKNOWN if send.through else _state_of(open_before)
            return state, f"no answer in {_MAX_ANSWER_SECONDS} s"
        except ExchangeError as error:
            if send.through and error.carrier is CarrierState.REFUSED:
                return TargetState.ENDED, str(error)
            if not error.refused:
                # A target with as many connections as it accepts resets those beyond them.
                reset = error.sent and not send.through
                return _state_of(open_before) if reset else TargetState.UNKNOWN, str(error)
            # A target that accepts no more connections finishes what it has begun.
            lives = _state_of(open_before) is TargetState.LIVES
            return TargetState.LIVES if lives else TargetState.ENDED, str(error)
        if send.through and carried.carrier_process != send.carrier_process:
            return TargetState.ENDED, "the node that carried the connection has started again"
        if send.through and not send.carrier_process:
            return TargetState.UNKNOWN, "the process that carried the connection is not known"
        answer = check.judge(carried.reply)
        is_refusal = answer is ProcessAnswer.REFUSED and instance.tells_process
        if is_refusal or answer in (ProcessAnswer.UNKNOWN, ProcessAnswer.FORMER):
            # A full target may refuse the question as it does requests.
            state = TargetState.UNKNOWN if send.through else _state_of(open_before)
            return state, f"status {carried.reply.head.status}, sender {answer}"
        if answer is not ProcessAnswer.OTHER:
            return TargetState.LIVES, ""
        self._on_replaced(instance)
        return TargetState.ENDED, REPLACED_REASON

    def confirm_later(self, call: Call, send: Send) -> None:
        """Record a complete response that ended with its connection, once its target is known to
        live on."""
        if self._history.is_empty and call.parsed.prompt is None:
            return

        async def confirm() -> None:
            if await self.confirm_end(send) is TargetState.LIVES:
                self.answered(call, send)

        task = self._loop.create_task(confirm())
        self._confirming.add(task)
        task.add_done_callback(self._confirming.discard)

    def answered(self, call: Call, send: Send) -> None:
        """Record that a target answered a request in full."""
        now, target, sent_at = self._loop.time(), send.target, send.at
        names = _suspects(call) if send.generated else (call.fingerprint,)
        if cleared := self._history.record_answer(names, now):
            self._publish(CrashUpdate(cleared=tuple((name, 0.0) for name in cleared)))
        if self._history.is_empty:
            return
        # The request was sent after the recorded crash, so the target instance is still alive.
        if self._history.ended_before(target, sent_at):
            self._history.record_alive(target, sent_at)
            self._lost_runs.cancel_end(target)
            self._publish(CrashUpdate(living=((target, now - sent_at),)))

    def lift(self, fingerprint: str) -> bool:
        """Release a request on behalf of an operator; return whether it had any recorded
        crashes."""
        if not self._history.has_crashes(fingerprint):
            return False
        _log.info("request let go by an operator", fingerprint=fingerprint)
        self._history.clear(fingerprint, self._loop.time())
        self._publish(CrashUpdate(cleared=((fingerprint, 0.0),)))
        return True

    # --- targets --------------------------------------------------------------------

    async def _probe(self, instance: Instance) -> None:
        """Check whether the process of a target accepts connections at its address."""
        try:
            await asyncio.sleep(_PROBE_DELAY_SECONDS)
            if instance.name in self._lost_runs:
                # The connection is kept in the pool for a later request.
                await self._paths.connect(instance)
        except ExchangeError as error:
            if error.reason == REPLACED_REASON:
                self._on_replaced(instance)
                self._target_ended(instance.name, error.reason)
            elif error.refused:
                self.refused(instance)
        finally:
            self._probes.pop(instance.name, None)

    def _target_ended(self, name: str, evidence: str) -> None:
        if runs := self._lost_runs.ended(name, self._loop.time()):
            self._record_crashes(runs, evidence)

    def _record_crashes(self, runs: list[LostRun], evidence: str) -> None:
        """Record crashes for runs that were lost when a target ended, and inform the other
        nodes."""
        now = self._loop.time()
        crashes = []
        for run in runs:
            found = [c for c in (run.crash, *run.part_crashes) if self._history.record_crash(c)]
            crashes += [crash._replace(at=now - run.at) for crash in found]
            if run.crash not in found:
                continue
            self._metrics.crashes.inc()
            _log.info(
                "target ended under a request",
                request=run.request_id,
                fingerprint=run.fingerprint,
                target=run.target,
                evidence=evidence,
                ran_ms=round(run.ran * 1000),
                parts=list(run.parts),
                ended=len(self._history.crashes_of(run.fingerprint)),
            )
        self._publish(CrashUpdate(crashes=tuple(crashes)))

    # --- other nodes ----------------------------------------------------------------

    def heard(self, update: CrashUpdate) -> None:
        """Apply an update from another node, and forward the part that is new."""
        fresh = self._history.merge(update, self._loop.time())
        self._publish_answers(update)
        if not any((fresh.crashes, fresh.cleared, fresh.living)):
            return
        self._log_holds()
        now = self._loop.time()
        is_local = update.data_centre == self._neighbours.me.data_centre
        nodes = self._neighbours.remote_contacts(now) if is_local else self._neighbours.nearby(now)
        self._send_chunks(fresh, nodes)

    def _publish_answers(self, update: CrashUpdate) -> None:
        """Publish whole answers of this node that clear parts of crashes in another node's
        `update`."""
        now = self._loop.time()
        crashes = (crash._replace(at=now - crash.at) for crash in update.crashes)
        answered = self._history.answers_against(crashes).items()
        if cleared := [(name, now - at) for name, at in answered if self._history.clear(name, at)]:
            self._publish(CrashUpdate(cleared=tuple(cleared)))

    def recent_update(self) -> CrashUpdate:
        """Return entries that a node may have missed while it was unreachable."""
        now = self._loop.time()
        max_age_seconds = _MAX_UPDATE_AGE_SECONDS
        if now - self._full_update_sent_at > _FULL_UPDATE_INTERVAL_SECONDS:
            # For nodes that were disconnected for longer than _MAX_UPDATE_AGE_SECONDS.
            self._full_update_sent_at, max_age_seconds = now, float("inf")
        return self._history.update(now, limit=_MAX_ENTRY_COUNT, max_age=max_age_seconds)

    def send_recent(self, node: Neighbour) -> None:
        """Send the recent entries to a node that was just discovered or restarted."""
        self._send_chunks(self.recent_update(), [node])

    def _publish(self, update: CrashUpdate) -> None:
        self._log_holds()
        now = self._loop.time()
        nodes = [*self._neighbours.nearby(now), *self._neighbours.remote_contacts(now)]
        self._send_chunks(update, nodes)

    def _send_chunks(self, update: CrashUpdate, nodes: Sequence[Neighbour]) -> None:
        stamped = update._replace(data_centre=self._neighbours.me.data_centre)
        for start in range(0, len(update.crashes), _MAX_ENTRY_COUNT):
            crashes = update.crashes[start : start + _MAX_ENTRY_COUNT]
            self._send_update(stamped._replace(crashes=crashes, cleared=(), living=()), nodes)
        for start in range(0, max(len(update.cleared), len(update.living)), _MAX_ENTRY_COUNT):
            cleared = update.cleared[start : start + _MAX_ENTRY_COUNT]
            living = update.living[start : start + _MAX_ENTRY_COUNT]
            self._send_update(stamped._replace(crashes=(), cleared=cleared, living=living), nodes)

    # --- periodic work ----------------------------------------------------------------

    async def run(self) -> None:
        """Resolve lost runs from the target list and send periodic updates, until cancelled."""
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            now = self._loop.time()
            self._resolve_lost_runs(now)
            if self._history.has_updates:
                self._history.expire(now)
                self._log_holds()
                self._send_periodic_update(now)

    def _resolve_lost_runs(self, now: float) -> None:
        for name in self._lost_runs.targets:
            if self._views.registry.get(name) is None:
                self._target_ended(name, "entry ended")
        self._lost_runs.expire(now)

    def _send_periodic_update(self, now: float) -> None:
        if now - self._update_sent_at < _UPDATE_INTERVAL_SECONDS:
            return
        self._update_sent_at = now
        nodes = [*self._neighbours.nearby(now), *self._neighbours.remote_contacts(now)]
        if nodes:
            self._send_chunks(self.recent_update(), [self._rng.choice(nodes)])

    def _log_holds(self) -> None:
        """Log requests that become held back, are held back for longer, or are released."""
        now = self._loop.time()
        held = {each.fingerprint: each for each in self._history.all_held(now)}
        if held == self._logged_holds:
            return
        for name, each in held.items():
            if self._logged_holds.get(name) != each:
                _log.warning(
                    "request held back",
                    fingerprint=name,
                    targets=list(each.targets),
                    seconds=round(each.until - now, 1),
                )
        for name in self._logged_holds.keys() - held.keys():
            over = self._history.has_crashes(name)
            _log.info("request let go", fingerprint=name, reason="over" if over else "cleared")
        self._logged_holds = held
        self._metrics.held_back.set(len(held))


def _state_of(open_before: Collection[LiveConnection]) -> TargetState:
    """Return what earlier connections to a target tell: they end with its process."""
    is_open = any(connection.is_reading for connection in open_before)
    return TargetState.LIVES if is_open else TargetState.UNKNOWN


def _suspects(call: Call) -> tuple[str, ...]:
    """Return the names under which crashes are recorded for a request and the parts of its prompt.

    The last part belongs to the request or its session, and is no suspect by itself.
    """
    prompt = call.parsed.prompt
    if prompt is None:
        return (call.fingerprint,)
    parts = (part_suspect(prompt.model, part.id) for part in prompt.shared)
    return tuple(dict.fromkeys((call.fingerprint, *parts)))
