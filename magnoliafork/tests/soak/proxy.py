"""A loopback proxy in front of a node's peer listener."""

import asyncio
import dataclasses

READ_BYTES = 65536


@dataclasses.dataclass(eq=False)
class _Connection:
    """A peer's connection to the proxy and the proxy's to the node.

    Attributes:
        peer: Stream to the peer.
        node: Stream to the node.
        drops_to_node: Whether bytes from the peer are dropped.
        drops_to_peers: Whether bytes from the node are dropped.
    """

    peer: asyncio.StreamWriter
    node: asyncio.StreamWriter
    drops_to_node: bool = False
    drops_to_peers: bool = False


class LinkProxy:
    """Delays, drops or resets the traffic between peers and one node.

    Attributes:
        node_host: Address on which the node listens.
        delay_s: Time by which bytes are delayed.
    """

    def __init__(self, host: str, node_host: str, port: int) -> None:
        """Creates a proxy from one address to another with the same port."""
        self._host = host
        self.node_host = node_host
        self._port = port
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.delay_s = 0.0

    async def start(self) -> None:
        """Listens for peers."""
        self._server = await asyncio.start_server(
            self._accept, self._host, self._port
        )

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Resets all connections."""
        for connection in list(self._connections):
            connection.peer.transport.abort()
            connection.node.transport.abort()

    def silence(self, *, to_node: bool, to_peers: bool) -> None:
        """Drops all further bytes on the connections open now."""
        for connection in self._connections:
            connection.drops_to_node = connection.drops_to_node or to_node
            connection.drops_to_peers = connection.drops_to_peers or to_peers

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            node_reader, node_writer = await asyncio.open_connection(
                self.node_host, self._port
            )
        except OSError:
            # The node does not listen; its peer's connection fails, as it would
            # without a proxy.
            writer.transport.abort()
            return
        connection = _Connection(writer, node_writer)
        self._connections.add(connection)
        tasks = [
            asyncio.create_task(self._copy(connection, reader, to_node=True)),
            asyncio.create_task(
                self._copy(connection, node_reader, to_node=False)
            ),
        ]
        self._tasks.update(tasks)
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        self._connections.discard(connection)
        for task in tasks:
            task.cancel()
            self._tasks.discard(task)
        writer.transport.abort()
        node_writer.transport.abort()

    async def _copy(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        *,
        to_node: bool,
    ) -> None:
        writer = connection.node if to_node else connection.peer
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if (
                    connection.drops_to_node
                    if to_node
                    else connection.drops_to_peers
                ):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            # The other end has reset the connection; both are closed now.
            return
