"""Decide whether a request is taken, and when a refused caller should return.

While there is room everyone is taken.  When the estimated wait grows, the
customers above their weighted share are refused first; a request whose
deadline the estimate passes is refused at once.  Come-back times are handed
out one after the other, at the rate at which room appears, so that those who
were refused together do not return together.
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
    """A customer's recent use: tokens, fading with time."""

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
    """Admit by deadline and by weighted fair share.  Not safe for threads."""

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
        """Return None to admit, or the refusal.

        `patience` is the seconds in which the first token must come, `ttft`
        and `wait` the estimates, `room_rate` the tokens a second for which
        room appears.  Whoever is `returning` at the time it was told goes
        before newcomers: more of the patience may be used up for it.
        """
        use = self._usages.setdefault(customer, _Usage())
        use.share = share
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
        use.add(tokens, now)
        return None

    def usage_fractions(self, customer: str, now: float) -> tuple[float, float]:
        """Return a customer's part of recent use, and its fair part of it."""
        self._drop_idle(now)
        total = sum(use.decayed(now) for use in self._usages.values())
        shares = sum(use.share for use in self._usages.values())
        use = self._usages.get(customer)
        if use is None or total <= 0:
            return 0.0, 1.0
        return use.decayed(now) / total, use.share / shares

    def _over_share(self, customer: str, now: float) -> bool:
        used, fair = self.usage_fractions(customer, now)
        return used > _OVER_SHARE_FACTOR * fair and fair < 1.0

    def _drop_idle(self, now: float) -> None:
        idle = [c for c, use in self._usages.items() if use.decayed(now) < 1 and use.at < now]
        for customer in idle:
            del self._usages[customer]

    def _retry_after(self, wait: float, tokens: int, capacity_rate: float, now: float) -> float:
        # The next return is booked behind the ones already handed out.
        first = now + max(wait, _MIN_RETRY_AFTER_SECONDS)
        self._next_retry_at = max(self._next_retry_at, first) + tokens / max(capacity_rate, 1.0)
        return min(self._next_retry_at - now, _MAX_RETRY_AFTER_SECONDS)
