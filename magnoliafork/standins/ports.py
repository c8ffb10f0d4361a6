"""Free ports on the loopback address."""

import contextlib
import socket


def free_ports(count: int) -> list[int]:
    """Returns distinct ports that nothing listens on at the moment."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [int(item.getsockname()[1]) for item in sockets]
