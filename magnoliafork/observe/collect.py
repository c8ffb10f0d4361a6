"""Copies the counters of a node's parts into its metrics."""

from collections.abc import Mapping

from magnoliafork.cluster.control import ClusterControl
from magnoliafork.observe.metrics import CounterName, Metrics
from magnoliafork.proxy.receiver import Receiver
from magnoliafork.proxy.sender import Sender
from magnoliafork.snapshot.store import SnapshotStore
from magnoliafork.source.reader import SourceReader
from magnoliafork.wire.link import LinkTraffic
from magnoliafork.wire.pool import PeerPool


def collect(
    metrics: Metrics,
    *,
    sender: Sender,
    receiver: Receiver,
    control: ClusterControl,
    store: SnapshotStore,
    reader: SourceReader,
    traffic: LinkTraffic,
    pool: PeerPool,
) -> None:
    """Sets every counter to the total since the start."""
    served = receiver.counters
    totals = {
        CounterName.REQUESTS_ANSWERED: sender.counters.answered,
        CounterName.RETRIES: sender.counters.retries,
        CounterName.HEDGES: sender.counters.hedges,
        CounterName.EJECTIONS: sender.ejections,
        CounterName.CALLS_RECEIVED: served.answered + served.unknown,
        CounterName.CALLS_CUT: served.cut_by_stop,
        CounterName.FENCES: served.fences,
        CounterName.KEYS_MOVED: served.yielded,
        CounterName.RAMPS: served.ramp_restarts,
        CounterName.SOURCE_READS: reader.counters.reads,
        CounterName.SOURCE_FAILURES: reader.counters.failed_reads,
        CounterName.VERSIONS_APPLIED: store.counts.applied,
        CounterName.VERSIONS_REJECTED: store.counts.rejected,
        CounterName.VERSION_CONFLICTS: store.counts.conflicts,
        CounterName.CONTROL_BYTES_SENT: traffic.control_sent_bytes,
        CounterName.CONTROL_BYTES_RECEIVED: traffic.control_received_bytes,
        CounterName.FRAMES_MALFORMED: traffic.malformed_frames,
        CounterName.CLOCK_JUMPS: control.detector.clock_jumps,
    }
    for name, total in totals.items():
        _set(metrics, name, {"": total})
    _set(metrics, CounterName.CALLS_REFUSED, served.refused)
    _set(metrics, CounterName.REQUESTS_NOT_RUN, sender.counters.not_run_by)
    _set(metrics, CounterName.REQUESTS_UNKNOWN, sender.counters.unknown_by)
    _set(metrics, CounterName.LINKS_LOST, {"silent": pool.silent_links})
    _set(
        metrics,
        CounterName.VERSIONS_IGNORED,
        {"lower": store.counts.ignored_lower},
    )


def _set(
    metrics: Metrics, name: CounterName, values: Mapping[str, int]
) -> None:
    metrics.counters[name] = dict(values)
