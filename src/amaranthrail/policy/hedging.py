"""Decide whether a call whose answer is slow is sent a second time.

Load pattern: upstreams of uneven speed, a few of which take many times as long
as the others for some calls, while others of the service have free slots. A
second send to one of those cuts the slowest answers. At a load peak it would
make all of them slower, so it is limited in number and never made then.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from enum import Enum

import msgspec

from ..types import GroupName
from .selection import FREE_LOAD_PER_SLOT, UpstreamView

#: Fewest answers from which a quantile of a route's times is estimated; a
#: quantile above 0.95 needs more.
MIN_SAMPLES = 20
#: Least time after which a call is sent a second time, in ms: two round trips
#: between failure domains, which the second send takes itself.
MIN_DELAY_MS = 6.0
#: Tokens up to which a call is in the smallest size class; each further class
#: reaches four times as far.
SMALLEST_CLASS_TOKENS = 256
_CLASS_FACTOR_BITS = 2
#: Highest size class, of calls above 65,536 tokens.
MAX_SIZE_CLASS = 5
#: Time after a refusal for want of capacity in which no call of the service is
#: sent a second time, in ms: a load peak's bursts are less than a second apart.
OVERLOAD_MS = 1000.0
#: Highest step time as a fraction of the target gap at which a group gets a
#: second send; admission refuses streams from 0.88 on.
MAX_STEP_SHARE = 0.85
#: Fraction of the retry budget that second sends may use, so that calls that
#: fail can still be retried.
BUDGET_SHARE = 0.5
#: Second sends that a service may save up while no answer is slow.
MAX_SAVED = 10.0
#: Slack for the rounding of sums and quotients of shares.
_ROUNDING = 1e-6


class Denial(Enum):
    """State why a call whose answer is slow is not sent a second time."""

    ATTEMPTS = 'attempts'
    UNSENDABLE = 'unsendable'
    OVERLOAD = 'overload'
    SHARE = 'share'
    NO_TARGET = 'no-target'
    RETRY_BUDGET = 'retry-budget'


class HedgeEnd(Enum):
    """State which send gave the response of a call that was sent twice.

    WON stands for the second send, LOST for the first, FAILED for neither.
    """

    WON = 'won'
    LOST = 'lost'
    FAILED = 'failed'


class SlowCall(msgspec.Struct, frozen=True):
    """Describe a call that has waited too long for its answer.

    ``attempts`` counts the upstreams that have received it or may have, and
    ``max_attempts`` bounds them. ``may_send_again`` says that
    an answer could still come by its deadline and that its prompt is not one
    that may crash upstreams. ``refused_ms`` is the time since the entry last
    refused a call of the service for want of capacity, ``has_share`` says
    whether the operators' share has room.
    """

    attempts: int
    max_attempts: int
    may_send_again: bool
    refused_ms: float
    has_share: bool


class HedgeTarget(msgspec.Struct, frozen=True):
    """Describe an upstream that a call could be sent to a second time.

    ``is_limited`` says that it has named how many calls it takes, ``is_cold``
    that it has just started. ``step_share`` is its group's step time as a
    fraction of the route's target gap, 0 where either is unknown.
    """

    view: UpstreamView
    is_limited: bool = False
    is_cold: bool = False
    step_share: float = 0


class HedgeShare:
    """Limit the second sends of a service to a share of its calls."""

    def __init__(self) -> None:
        """Start with nothing saved up, so that the share holds throughout."""
        self._balance = 0.0

    @property
    def has_room(self) -> bool:
        """Tell whether a call may be sent a second time now."""
        return self._balance >= 1 - _ROUNDING

    def record_call(self, share: float) -> None:
        """Add the share of a call that could be sent a second time."""
        self._balance = min(MAX_SAVED, self._balance + share)

    def withdraw(self) -> None:
        """Count a second send."""
        self._balance -= 1


def size_class(tokens: int) -> int:
    """Return the class of calls whose answers take about as long to begin."""
    excess = max(0, tokens - 1) // SMALLEST_CLASS_TOKENS
    bits = excess.bit_length()
    return min(MAX_SIZE_CLASS, math.ceil(bits / _CLASS_FACTOR_BITS))


def required_samples(quantile: float) -> int | None:
    """Return how many answers tell a quantile, None where none can."""
    if quantile >= 1:
        return None
    return max(MIN_SAMPLES, math.ceil(1 / (1 - quantile) - _ROUNDING))


def deny_hedge(call: SlowCall) -> Denial | None:
    """Return why a call is not sent a second time, None if it may be."""
    if call.attempts + 1 > call.max_attempts:
        return Denial.ATTEMPTS
    if not call.may_send_again:
        return Denial.UNSENDABLE
    if call.refused_ms < OVERLOAD_MS:
        return Denial.OVERLOAD
    if not call.has_share:
        return Denial.SHARE
    return None


def select_targets(
    targets: Iterable[HedgeTarget], tried_groups: Collection[GroupName | None]
) -> frozenset[str]:
    """Return the upstreams that may get a second send, by name.

    They answer at once as far as is known; those of groups that have not been
    tried are preferred.
    """
    open_views = [target.view for target in targets if _is_open(target)]
    others = [view for view in open_views if view.group not in tried_groups]
    return frozenset(view.name for view in others or open_views)


def _is_open(target: HedgeTarget) -> bool:
    view = target.view
    is_avoided = view.is_ejected or view.is_refusing or view.wait_ms
    if is_avoided or target.is_limited or target.is_cold:
        return False
    has_slot = view.load_per_slot <= FREE_LOAD_PER_SLOT
    return has_slot and target.step_share <= MAX_STEP_SHARE
