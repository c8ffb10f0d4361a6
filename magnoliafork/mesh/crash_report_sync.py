"""Spreads records of suspected requests over the control links.

A node passes each record that is new to it to all of its neighbours, so that
records reach the fleet within a few round trips. A new neighbour gets all that
is known. The rate of records is limited: in a storm of crashes, the records of
those requests go first that have crashed the most upstreams.
"""

import asyncio
from collections.abc import Callable

from magnoliafork.mesh.crash_suspects import (
    Crash,
    CrashRecord,
    CrashSuspects,
)
from magnoliafork.wire import messages
from magnoliafork.wire.api import ControlLinks

# Records sent to each neighbour in a second, and at once after a pause. One
# takes about 70 bytes.
RECORDS_PER_S = 8.0
BURST_RECORDS = 64.0
# Most records that wait to be sent. Those of the fewest crashes are dropped
# first.
MAX_WAITING_RECORDS = 256
# Most records that a new neighbour gets, those of the most crashes first.
MAX_SYNC_RECORDS = 256
# Longest age that a message can carry; older records have expired.
MAX_AGE_MS = 2**31 - 1


class CrashReportSync:
    """Exchanges the records of a table with neighbours.

    Attributes:
        sent_records: Records sent, over all neighbours.
    """

    def __init__(
        self,
        suspects: CrashSuspects,
        links: ControlLinks,
        clock: Callable[[], float],
    ) -> None:
        """Creates an instance that follows a table."""
        self._suspects = suspects
        self._links = links
        self._clock = clock
        # Neighbours of an earlier release do not know the message.
        self._peers: set[str] = set()
        self._waiting: dict[CrashRecord, str] = {}
        self._tokens = BURST_RECORDS
        self._filled_at_s = clock()
        self._is_flush_due = False
        self._source = ""
        self.sent_records = 0
        suspects.on_record = self._on_record

    def on_link_up(self, hello: messages.Hello) -> None:
        """Handles a new neighbour; its announcement tells what it accepts."""

    def on_link_down(self, instance_id: str) -> None:
        """Forgets a neighbour."""
        self._peers.discard(instance_id)

    def on_control(
        self, instance_id: str, message: messages.ControlMessage
    ) -> None:
        """Handles one message of a neighbour."""
        if isinstance(message, messages.ViewAnnounce):
            if message.accepts_crash_reports and (
                instance_id not in self._peers
            ):
                self._peers.add(instance_id)
                known = sorted(
                    self._suspects.records(), key=self._priority, reverse=True
                )
                self._send(instance_id, tuple(known[:MAX_SYNC_RECORDS]))
        elif isinstance(message, messages.CrashReports):
            self._source = instance_id
            now_s = self._clock()
            for report in message.reports:
                self._suspects.merge(_to_record(report, now_s))
            self._source = ""

    def tick(self) -> None:
        """Sends records that had to wait."""
        if self._waiting:
            self._flush()

    def _on_record(self, record: CrashRecord) -> None:
        self._waiting[record] = self._source
        if len(self._waiting) > MAX_WAITING_RECORDS:
            del self._waiting[min(self._waiting, key=self._priority)]
        if not self._is_flush_due:
            self._is_flush_due = True
            # The other records of the same crash follow in this turn.
            asyncio.get_running_loop().call_soon(self._flush)

    def _priority(self, record: CrashRecord) -> tuple[int, float]:
        suspicion = self._suspects.suspicion_of(record.fingerprint)
        crashes = len(suspicion.crashed_ids) if suspicion is not None else 0
        return crashes, record.at_s

    def _flush(self) -> None:
        self._is_flush_due = False
        now_s = self._clock()
        elapsed_s = now_s - self._filled_at_s
        self._filled_at_s = now_s
        self._tokens = min(
            self._tokens + elapsed_s * RECORDS_PER_S, BURST_RECORDS
        )
        ranked = sorted(self._waiting, key=self._priority, reverse=True)
        chosen = ranked[: int(self._tokens)]
        if not chosen:
            return
        self._tokens -= len(chosen)
        for peer in self._peers:
            records = tuple(r for r in chosen if self._waiting[r] != peer)
            self._send(peer, records)
        for record in chosen:
            del self._waiting[record]

    def _send(self, peer: str, records: tuple[CrashRecord, ...]) -> None:
        if not records:
            return
        now_s = self._clock()
        reports = tuple([_to_report(record, now_s) for record in records])
        if self._links.send(peer, messages.CrashReports(reports)):
            self.sent_records += len(reports)


def _to_report(record: CrashRecord, now_s: float) -> messages.CrashReport:
    crash = record.crash or Crash("", 0)
    return messages.CrashReport(
        record.fingerprint,
        crash.upstream_id,
        crash.started_unix_ms,
        min(int((now_s - record.at_s) * 1000), MAX_AGE_MS),
        record.crash is None,
    )


def _to_record(report: messages.CrashReport, now_s: float) -> CrashRecord:
    crash = Crash(report.upstream_id, report.upstream_started_ms)
    return CrashRecord(
        report.fingerprint,
        None if report.is_answered else crash,
        now_s - max(0, report.age_ms) / 1000,
    )
