"""Peers must present a certificate that the fleet's authority has signed."""

import asyncio
import pathlib
import random
import ssl

import pytest
import trustme

from magnoliafork.model.result import Err, Ok
from magnoliafork.model.version import NO_VERSION
from magnoliafork.tests import virtual_time
from magnoliafork.tests.wire.test_pool import REQUEST
from magnoliafork.wire import api, messages
from magnoliafork.wire.connector import Connector
from magnoliafork.wire.control_links import ControlLinkManager
from magnoliafork.wire.identity import NodeIdentity
from magnoliafork.wire.link import LinkTraffic
from magnoliafork.wire.pool import PeerPool
from magnoliafork.wire.server import PeerServer
from magnoliafork.wire.tls import TlsContexts, TlsFiles


class _OkHandler:
    async def on_call(
        self, sender_id: str, request: messages.CallRequest
    ) -> messages.CallReply:
        return messages.CallAnswer(0, 200, (), (), b"ok", 0, 1)

    async def on_fence(
        self, sender_id: str, fence: messages.CallFence
    ) -> messages.StreamReply:
        return messages.CallFenceReply(0, messages.FenceState.NEVER_RAN)


class _Addresses:
    def __init__(self, port: int) -> None:
        self.port = port

    def address(self, instance_id: str) -> tuple[str, int] | None:
        return ("127.0.0.1", self.port)


def _write(folder: pathlib.Path, authority: trustme.CA) -> TlsFiles:
    files = TlsFiles(
        str(folder / "node.crt"),
        str(folder / "node.key"),
        str(folder / "ca.crt"),
    )
    issued = authority.issue_cert("127.0.0.1")
    issued.cert_chain_pems[0].write_to_path(files.cert_file)
    issued.private_key_pem.write_to_path(files.key_file)
    authority.cert_pem.write_to_path(files.ca_file)
    return files


def _contexts(folder: pathlib.Path, authority: trustme.CA) -> TlsContexts:
    contexts = TlsContexts(_write(folder, authority))
    assert contexts.reload() == Ok(None)
    return contexts


def _identity(name: str) -> NodeIdentity:
    return NodeIdentity(name, 1, lambda: 1, lambda: NO_VERSION, lambda: (0, 1))


def _call(
    server_context: ssl.SSLContext, client_context: ssl.SSLContext | None
) -> messages.CallReply | api.LinkFailure:
    async def main() -> messages.CallReply | api.LinkFailure:
        traffic = LinkTraffic()
        rng = random.Random(1)
        identity = _identity("b")
        control = ControlLinkManager(
            Connector(identity, _Addresses(0), traffic, None), rng
        )
        server = PeerServer(
            identity, _OkHandler(), control, traffic, server_context
        )
        port = await server.start("127.0.0.1", 0)
        connector = Connector(
            _identity("a"), _Addresses(port), traffic, client_context
        )
        pool = PeerPool(connector, rng)
        reply = await pool.call("b", REQUEST, 3.0)
        await pool.close()
        await server.stop()
        await asyncio.sleep(0.1)
        return reply

    return virtual_time.run(main())


def test_nodes_of_one_fleet_can_call_each_other(tmp_path: pathlib.Path) -> None:
    """Guards against TLS contexts with which no two nodes can connect."""
    contexts = _contexts(tmp_path, trustme.CA())
    reply = _call(contexts.server, contexts.client)
    assert isinstance(reply, messages.CallAnswer)


@pytest.mark.parametrize("has_certificate", [True, False])
def test_peers_without_a_fleet_certificate_are_refused(
    tmp_path: pathlib.Path, has_certificate: bool
) -> None:
    """Guards against calls from outside of the fleet."""
    contexts = _contexts(tmp_path, trustme.CA())
    foreign_client = None
    if has_certificate:
        folder = tmp_path / "stranger"
        folder.mkdir()
        foreign_client = _contexts(folder, trustme.CA()).client
        foreign_client.verify_mode = ssl.CERT_NONE
    reply = _call(contexts.server, foreign_client)
    assert isinstance(reply, api.LinkFailure)
    assert not reply.was_sent


def test_certificates_are_replaced_while_running(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a restart or an outage when certificate files change."""
    contexts = _contexts(tmp_path, trustme.CA())
    _write(tmp_path, trustme.CA())
    assert contexts.reload() == Ok(None)
    reply = _call(contexts.server, contexts.client)
    assert isinstance(reply, messages.CallAnswer)
    (tmp_path / "node.key").write_text("damaged")
    assert isinstance(contexts.reload(), Err)
    reply = _call(contexts.server, contexts.client)
    assert isinstance(reply, messages.CallAnswer)
