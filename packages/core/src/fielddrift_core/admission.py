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

USE_SECONDS = 5.0
BUSY_SHARE = 0.4
RETURN_PART = 0.7
_OVER = 1.1
_SHORTEST_RETURN = 0.2
_LONGEST_RETURN = 60.0


class _Use:
    """A customer's recent use: tokens, fading with time."""

    __slots__ = ("amount", "at", "share")

    def __init__(self) -> None:
        self.amount = 0.0
        self.at = 0.0
        self.share = 1.0

    def faded(self, now: float) -> float:
        return self.amount * math.exp((self.at - now) / USE_SECONDS)

    def add(self, tokens: float, now: float) -> None:
        self.amount = self.faded(now) + tokens
        self.at = now


class Admission:
    """Admit by deadline and by weighted fair share.  Not safe for threads."""

    def __init__(self) -> None:
        self._uses: dict[str, _Use] = {}
        self._return_at = 0.0

    def check(
        self,
        *,
        customer: str,
        share: float,
        tokens: int,
        ttft: float,
        wait: float,
        patience: float,
        room_rate: float,
        now: float,
        returning: bool = False,
    ) -> Refusal | None:
        """Return None to admit, or the refusal.

        `patience` is the seconds in which the first token must come, `ttft`
        and `wait` the estimates, `room_rate` the tokens a second for which
        room appears.  Whoever is `returning` at the time it was told goes
        before newcomers: more of the patience may be used up for it.
        """
        use = self._uses.setdefault(customer, _Use())
        use.share = share
        if ttft > (RETURN_PART if returning else TTFT_LIMIT_FRACTION) * patience:
            detail = f"first token estimated in {ttft:.2f} s, wanted within {patience:.2f} s"
            kind = ErrorKind.OVERLOADED if wait > 0 else ErrorKind.DEADLINE
            return Refusal(kind, detail, Ran.NO, self._come_back(wait, tokens, room_rate, now))
        if wait > BUSY_SHARE * patience and self._over_share(customer, now):
            detail = f"customer {customer!r}: over its share while targets are busy"
            after = self._come_back(wait, tokens, room_rate, now)
            return Refusal(ErrorKind.OVER_SHARE, detail, Ran.NO, after)
        use.add(tokens, now)
        return None

    def fraction(self, customer: str, now: float) -> tuple[float, float]:
        """Return a customer's part of recent use, and its fair part of it."""
        self._drop_idle(now)
        total = sum(use.faded(now) for use in self._uses.values())
        shares = sum(use.share for use in self._uses.values())
        use = self._uses.get(customer)
        if use is None or total <= 0:
            return 0.0, 1.0
        return use.faded(now) / total, use.share / shares

    def _over_share(self, customer: str, now: float) -> bool:
        used, fair = self.fraction(customer, now)
        return used > _OVER * fair and fair < 1.0

    def _drop_idle(self, now: float) -> None:
        idle = [c for c, use in self._uses.items() if use.faded(now) < 1 and use.at < now]
        for customer in idle:
            del self._uses[customer]

    def _come_back(self, wait: float, tokens: int, room_rate: float, now: float) -> float:
        # The next return is booked behind the ones already handed out.
        first = now + max(wait, _SHORTEST_RETURN)
        self._return_at = max(self._return_at, first) + tokens / max(room_rate, 1.0)
        return min(self._return_at - now, _LONGEST_RETURN)
