"""Free ports on the loopback address."""

import contextlib
import os
import socket

# Below the ephemeral port range: an outgoing connection once took a port
# between its choice and its use.
FIRST_PORT = 10_000
LAST_PORT = 32_000


def free_ports(count: int) -> list[int]:
    """Returns distinct ports that nothing listens on at the moment.

    Raises:
        OSError: There are not enough free ports.
    """
    span = LAST_PORT - FIRST_PORT
    # Concurrent processes begin their search at different ports.
    start = int.from_bytes(os.urandom(4)) % span
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        for offset in range(span):
            if len(ports) == count:
                break
            port = FIRST_PORT + (start + offset) % span
            if _reserve(stack, port):
                ports.append(port)
    if len(ports) < count:
        raise OSError(f"only {len(ports)} of {count} ports are free")
    return ports


def _reserve(stack: contextlib.ExitStack, port: int) -> bool:
    item = stack.enter_context(socket.socket())
    try:
        item.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True
