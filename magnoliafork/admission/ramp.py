"""Cold-start ramp of an upstream."""

import collections

from magnoliafork.model.rules import ServiceRule

# An upstream without calls for longer may have restarted unnoticed; a process
# takes at least this long to come back.
IDLE_SUSPICION_S = 0.5
# Late answers of an earlier process must not look like another restart.
_REMEMBERED_BOOT_IDS = 16


class Ramp:
    """Bounds the load of an upstream after a cold start.

    A fall starts the ramp: at node start, at a boot id that was never seen,
    and at every refused connection. After a broken connection or an idle time
    a restart is only suspected; the ramp then applies until an answer shows
    the known boot id. The first request after an idle start ramps as well,
    because the upstream may be younger than the node.
    """

    def __init__(self, now_s: float) -> None:
        """Starts the ramp at the start of the node."""
        self._fell_at_s = now_s
        self._heard_at_s = now_s
        self._suspected_at_s: float | None = None
        self._is_unheard = True
        self._boot_id = ""
        self._boot_ids: collections.deque[str] = collections.deque(
            maxlen=_REMEMBERED_BOOT_IDS
        )

    def allowed(self, rule: ServiceRule, now_s: float) -> int:
        """Returns how many requests the upstream may run at a time."""
        allowed = _on_ramp(rule, now_s - self._fell_at_s)
        if self._suspected_at_s is None:
            return allowed
        return min(allowed, _on_ramp(rule, now_s - self._suspected_at_s))

    def on_send(self, active: int, now_s: float) -> None:
        """Notes a request; `active` counts the others in progress."""
        is_idle = active == 0 and now_s - self._heard_at_s > IDLE_SUSPICION_S
        if is_idle and (self._boot_id or self._is_unheard):
            self._suspected_at_s = now_s

    def on_answer(self, boot_id: str, now_s: float) -> bool:
        """Notes an answer; true when it shows a cold start."""
        self._heard_at_s = now_s
        self._is_unheard = False
        if not boot_id or boot_id in self._boot_ids:
            if boot_id and boot_id == self._boot_id:
                self._suspected_at_s = None
            return False
        is_first = not self._boot_id
        self._boot_id = boot_id
        self._boot_ids.append(boot_id)
        if is_first:
            # Nothing tells how old this process of the upstream is.
            self._fell_at_s = self._suspected_at_s or self._fell_at_s
            self._suspected_at_s = None
            return False
        self._suspected_at_s = None
        self._fell_at_s = now_s
        return True

    def on_connection_refused(self, now_s: float) -> None:
        """Notes a refused connection; the ramp starts over."""
        self._heard_at_s = now_s
        self._fell_at_s = now_s
        self._suspected_at_s = None

    def on_connection_lost(self, now_s: float) -> None:
        """Notes a broken connection, which a restart may have caused."""
        self._suspected_at_s = now_s


def _on_ramp(rule: ServiceRule, elapsed_s: float) -> int:
    if elapsed_s >= rule.ramp_s:
        return rule.slots
    start = max(1, min(rule.ramp_start, rule.slots))
    share = max(0.0, elapsed_s) / rule.ramp_s
    return start + int((rule.slots - start) * share)
