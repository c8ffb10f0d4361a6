"""Output for log lines that never blocks the process.

A collector that stops reading fills the pipe; a plain write would then stop
the node and every request on it.
"""

import collections
import os
import select

# A pipe that is reported as writable takes this much without blocking.
CHUNK_BYTES = select.PIPE_BUF
# Limit of the lines that wait while nothing reads the pipe; enough for a few
# minutes at the usual log volume.
MAX_PENDING_BYTES = 256 * 1024


class LineOutput:
    """Writes text to a file descriptor without blocking.

    Attributes:
        dropped_lines: Lines dropped because too many were waiting, or because
            nothing can read the pipe any more.
    """

    def __init__(self, descriptor: int) -> None:
        """Creates an output to an open descriptor."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._is_closed = False
        self.dropped_lines = 0

    def write(self, text: str) -> int:
        """Queues one line, or drops it if the queue is full or closed."""
        data = text.encode()
        is_full = self._pending_bytes + len(data) > MAX_PENDING_BYTES
        if is_full or self._is_closed:
            self.dropped_lines += 1
            return len(text)
        for start in range(0, len(data), CHUNK_BYTES):
            self._pending.append(data[start : start + CHUNK_BYTES])
        self._pending_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Writes what the descriptor takes without blocking.

        Once the pipe has no reader any more, all lines are dropped and
        counted.
        """
        while self._pending and self._is_writable():
            chunk = self._pending.popleft()
            try:
                written = os.write(self._descriptor, chunk)
            except OSError:
                self._is_closed = True
                self.dropped_lines += 1 + len(self._pending)
                self._pending.clear()
                return
            self._pending_bytes -= written
            if written < len(chunk):
                self._pending.appendleft(chunk[written:])

    def _is_writable(self) -> bool:
        # The poll also reports errors; the write then raises them.
        return bool(self._poll.poll(0))
