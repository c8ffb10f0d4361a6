"""Slow start of an upstream: a limit that rises after a cold start."""

import collections

from magnoliafork.model.rules import ServiceRule

# An upstream takes at least this long to restart, so that a restart can go
# unnoticed only in a longer time without calls.
MIN_RESTART_S = 0.5
# Late answers of earlier processes must not be taken for another restart.
_MAX_KNOWN_BOOT_IDS = 16


class Ramp:
    """Limits the requests of an upstream after a cold start.

    The limit rises linearly from `ramp_start` to `slots` in `ramp_s`. The ramp
    starts over at the start of the node, at a boot id that was never seen, and
    at every refused connection. After a lost connection or an idle time a
    restart is only suspected; the ramp then applies until an answer carries the
    last known boot id. If the first request comes after an idle time, the ramp
    starts at that request, because the upstream may have started later than
    the node.
    """

    def __init__(self, now_s: float) -> None:
        """Starts the ramp at the start of the node."""
        self._cold_start_at_s = now_s
        self._last_contact_at_s = now_s
        self._suspected_restart_at_s: float | None = None
        self._has_never_answered = True
        self._boot_id = ""
        self._known_boot_ids: collections.deque[str] = collections.deque(
            maxlen=_MAX_KNOWN_BOOT_IDS
        )

    def allowed(self, rule: ServiceRule, now_s: float) -> int:
        """Returns how many requests may run at a time."""
        allowed = _ramp_limit(rule, now_s - self._cold_start_at_s)
        if self._suspected_restart_at_s is None:
            return allowed
        return min(
            allowed, _ramp_limit(rule, now_s - self._suspected_restart_at_s)
        )

    def on_send(self, active: int, now_s: float) -> None:
        """Records a request; `active` is the number of others in progress."""
        is_idle = (
            active == 0 and now_s - self._last_contact_at_s > MIN_RESTART_S
        )
        if is_idle and (self._boot_id or self._has_never_answered):
            self._suspected_restart_at_s = now_s

    def on_answer(self, boot_id: str, now_s: float) -> bool:
        """Records an answer; true when it shows a cold start."""
        self._last_contact_at_s = now_s
        self._has_never_answered = False
        if not boot_id or boot_id in self._known_boot_ids:
            if boot_id and boot_id == self._boot_id:
                self._suspected_restart_at_s = None
            return False
        is_first = not self._boot_id
        self._boot_id = boot_id
        self._known_boot_ids.append(boot_id)
        if is_first:
            # The upstream may have started right before the first request.
            self._cold_start_at_s = (
                self._suspected_restart_at_s or self._cold_start_at_s
            )
            self._suspected_restart_at_s = None
            return False
        self._suspected_restart_at_s = None
        self._cold_start_at_s = now_s
        return True

    def on_connection_refused(self, now_s: float) -> None:
        """Records a refused connection and starts the ramp over."""
        self._last_contact_at_s = now_s
        self._cold_start_at_s = now_s
        self._suspected_restart_at_s = None

    def on_connection_lost(self, now_s: float) -> None:
        """Records a lost connection, which a restart may have caused."""
        self._suspected_restart_at_s = now_s


def _ramp_limit(rule: ServiceRule, elapsed_s: float) -> int:
    if elapsed_s >= rule.ramp_s:
        return rule.slots
    start = max(1, min(rule.ramp_start, rule.slots))
    share = max(0.0, elapsed_s) / rule.ramp_s
    return start + int((rule.slots - start) * share)
