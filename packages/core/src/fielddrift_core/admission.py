"""Decide whether a request is admitted, and when a refused caller should retry.

While there is capacity, every request is admitted.  When the estimated wait grows, customers
above their weighted share are refused first.  A request whose estimated first token is too
late for its limit is refused at once.  Retry times are assigned one after the other, at the
rate at which capacity becomes free, so that callers refused together do not retry together.
"""

from __future__ import annotations

import math

from .errors import ErrorKind, Ran, Refusal
from .routing import TTFT_LIMIT_FRACTION

__all__ = ["Admission"]

USAGE_DECAY_SECONDS = 5.0
BUSY_WAIT_FRACTION = 0.4
RETRY_TTFT_FRACTION = 0.7
_OVER_SHARE_FACTOR = 1.1
_MIN_RETRY_AFTER_SECONDS = 0.2
_MAX_RETRY_AFTER_SECONDS = 60.0


class _Usage:
    """A customer's recent usage in tokens, with exponential decay."""

    __slots__ = ("amount", "at", "share")

    def __init__(self) -> None:
        self.amount = 0.0
        self.at = 0.0
        self.share = 1.0

    def decayed(self, now: float) -> float:
        return self.amount * math.exp((self.at - now) / USAGE_DECAY_SECONDS)

    def add(self, tokens: float, now: float) -> None:
        self.amount = self.decayed(now) + tokens
        self.at = now


class Admission:
    """Admit requests by deadline and by weighted fair share.  Not thread-safe."""

    def __init__(self) -> None:
        self._usages: dict[str, _Usage] = {}
        self._next_retry_at = 0.0

    def check(
        self,
        *,
        customer: str,
        share: float,
        tokens: int,
        ttft: float,
        wait: float,
        ttft_limit: float,
        capacity_rate: float,
        now: float,
        is_retry: bool = False,
    ) -> Refusal | None:
        """Return None to admit the request, or the refusal.

        `ttft_limit` is the seconds within which the first token must arrive, `ttft` and
        `wait` are the estimates in seconds, and `capacity_rate` is the rate in tokens per
        second at which capacity becomes free.  `is_retry` says that the caller retries at
        the time it was given; it has priority over new callers, since its estimate may use
        a larger fraction of the limit.
        """
        usage = self._usages.setdefault(customer, _Usage())
        usage.share = share
        if ttft > (RETRY_TTFT_FRACTION if is_retry else TTFT_LIMIT_FRACTION) * ttft_limit:
            detail = f"first token estimated in {ttft:.2f} s, wanted within {ttft_limit:.2f} s"
            kind = ErrorKind.OVERLOADED if wait > 0 else ErrorKind.DEADLINE
            return Refusal(
                kind, detail, Ran.NO, self._retry_after(wait, tokens, capacity_rate, now)
            )
        if wait > BUSY_WAIT_FRACTION * ttft_limit and self._over_share(customer, now):
            detail = f"customer {customer!r}: over its share while targets are busy"
            after = self._retry_after(wait, tokens, capacity_rate, now)
            return Refusal(ErrorKind.OVER_SHARE, detail, Ran.NO, after)
        usage.add(tokens, now)
        return None

    def usage_fractions(self, customer: str, now: float) -> tuple[float, float]:
        """Return a customer's fraction of all recent usage, and its fair fraction of it."""
        self._drop_idle(now)
        total = sum(usage.decayed(now) for usage in self._usages.values())
        shares = sum(usage.share for usage in self._usages.values())
        usage = self._usages.get(customer)
        if usage is None or total <= 0:
            return 0.0, 1.0
        return usage.decayed(now) / total, usage.share / shares

    def _over_share(self, customer: str, now: float) -> bool:
        used, fair = self.usage_fractions(customer, now)
        return used > _OVER_SHARE_FACTOR * fair and fair < 1.0

    def _drop_idle(self, now: float) -> None:
        idle = [c for c, usage in self._usages.items() if usage.decayed(now) < 1 and usage.at < now]
        for customer in idle:
            del self._usages[customer]

    def _retry_after(self, wait: float, tokens: int, capacity_rate: float, now: float) -> float:
        # Each retry time follows those already assigned.
        earliest = now + max(wait, _MIN_RETRY_AFTER_SECONDS)
        self._next_retry_at = max(self._next_retry_at, earliest) + tokens / max(capacity_rate, 1.0)
        return min(self._next_retry_at - now, _MAX_RETRY_AFTER_SECONDS)
