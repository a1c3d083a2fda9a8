"""Tests of TLS on all ports, and of rotating peer keys and admin tokens."""

import asyncio
import contextlib
import ssl
import subprocess

import fake_sources
import pytest
import raw_peers
from returns import pipeline, result
from tornado import httpclient

import sycamoreloft_config
from sycamoreloft_router import _admin, _peer_links, _peer_server, _tls
import sycamoreloft_wire

OLD_KEY = sycamoreloft_wire.SharedKey("old", b"old-secret")
NEW_KEY = sycamoreloft_wire.SharedKey("new", b"new-secret")
TOKENS = {OLD_KEY: "old-token-of-operators", NEW_KEY: "new-token-of-operators"}


def make_files(folder, name):
    """Creates a self-signed certificate, which is its own authority."""
    certificate, key = folder / f"{name}.pem", folder / f"{name}-key.pem"
    subprocess.run(
        [
            *("openssl", "req", "-x509", "-nodes", "-days", "2"),
            *("-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1"),
            *("-subj", f"/CN={name}", "-addext", "subjectAltName=IP:127.0.0.1"),
            *("-keyout", str(key), "-out", str(certificate)),
        ],
        check=True,
        capture_output=True,
    )
    return sycamoreloft_config.TlsFiles(
        str(certificate), str(key), str(certificate)
    )


@pytest.fixture(scope="module")
def files(tmp_path_factory):
    """TLS files of the hosts."""
    return make_files(tmp_path_factory.mktemp("tls"), "host")


@pytest.fixture(scope="module")
def other_files(tmp_path_factory):
    """TLS files of an authority that the hosts do not trust."""
    return make_files(tmp_path_factory.mktemp("tls"), "other")


def make_caller_context(files):
    """Returns the context of a caller that trusts the host's authority."""
    context = ssl.create_default_context(cafile=files.ca)
    context.load_cert_chain(files.certificate, files.key)
    return context


class Backend:
    """Answers the one call of operators that these tests make."""

    async def read_generation(self):
        return result.Success(_admin.GenerationView(3, {}))


class KeyedHost:
    """Peer and admin ports of one host, which can restart with other keys."""

    def __init__(self, name, files, keys):
        self.name = name
        self.files = files
        self.ports = [0, 0]
        self.start(keys)

    def start(self, keys):
        """Starts listening, on the ports of the previous start if any."""
        identity = _peer_links.PeerIdentity(
            self.name, keys, _tls.make_client_context(self.files)
        )
        context = _tls.make_server_context(self.files)
        self.peers = _peer_server.PeerServer(identity, self, context)
        self.admin = _admin.make_admin_server(
            Backend(), [TOKENS[key] for key in keys], context
        )
        for number, server in enumerate((self.peers, self.admin)):
            server.listen(self.ports[number], "127.0.0.1")
            listener = next(iter(server._sockets.values()))
            self.ports[number] = listener.getsockname()[1]
        self.links = _peer_links.PeerLinks(identity)

    async def stop(self):
        """Stops listening and closes all connections."""
        self.links.close()
        for server in (self.peers, self.admin):
            server.stop()
        self.peers.close_connections()
        await self.admin.close_all_connections()

    def handle_message(self, sender, message, reply):
        """Answers a claim."""
        reply(sycamoreloft_wire.ClaimAnswer(sender))

    async def call(self, other):
        """Calls another host and returns its answer."""
        message = sycamoreloft_wire.ClaimRequest("g", 1, b"i", b"f", "a")
        return await self.links.call(
            f"127.0.0.1:{other.ports[0]}", message, 5.0
        )

    async def call_admin(self, token):
        """Makes a call of an operator and returns its status."""
        client = httpclient.AsyncHTTPClient(force_instance=True)
        answer = await client.fetch(
            f"https://127.0.0.1:{self.ports[1]}/v1/generation",
            headers={"Authorization": f"Bearer {token}"},
            ssl_options=make_caller_context(self.files),
            raise_error=False,
        )
        return answer.code


@contextlib.asynccontextmanager
async def open_hosts(files, other_files=None):
    """Starts two hosts with the old key."""
    hosts = [
        KeyedHost("h1", files, [OLD_KEY]),
        KeyedHost("h2", other_files or files, [OLD_KEY]),
    ]
    try:
        yield hosts
    finally:
        for host in hosts:
            await host.stop()


def test_bodies_pass_the_caller_port_over_tls(files):
    """Guards against a TLS port that alters or truncates large bodies."""
    body = bytes(range(256)) * 2_000

    async def scenario():
        script = raw_peers.echo(body)
        async with raw_peers.RawUpstream(script) as upstream:
            sources = fake_sources.FakeSources(upstream.address)
            server = fake_sources.open_server(
                sources, tls=_tls.make_server_context(files)
            )
            async with server as harness:
                ip, port = harness.address.split(":")
                caller = fake_sources.RawCaller(
                    *await asyncio.open_connection(
                        ip, int(port), ssl=make_caller_context(files)
                    )
                )
                head = fake_sources.build_head(
                    "PUT", Content_Length=str(len(body))
                )
                for _ in range(2):
                    answer = await caller.send(head, body)
                    assert answer.body == body
                    assert upstream.requests[-1].body == body
                caller.close()

    asyncio.run(scenario())


def test_plain_caller_on_a_tls_port_reaches_no_upstream(files):
    """Guards against a TLS port that accepts unencrypted requests."""

    async def scenario():
        async with raw_peers.RawUpstream(raw_peers.echo()) as upstream:
            sources = fake_sources.FakeSources(upstream.address)
            server = fake_sources.open_server(
                sources, tls=_tls.make_server_context(files)
            )
            async with server as harness:
                with pytest.raises(
                    (ConnectionError, asyncio.IncompleteReadError)
                ):
                    await harness.send()
                assert upstream.requests == []

    asyncio.run(scenario())


def test_peers_need_a_certificate_of_the_authority(files, other_files):
    """Guards against a peer port that trusts any certificate."""

    async def scenario():
        async with open_hosts(files) as (first, second):
            assert pipeline.is_successful(await first.call(second))
        async with open_hosts(files, other_files) as (first, second):
            assert not (await first.call(second)).failure().sent
            assert not (await second.call(first)).failure().sent

    asyncio.run(scenario())


def test_keys_and_tokens_rotate_without_a_refused_call(files):
    """Guards against refused calls while hosts have different settings.

    The hosts restart one after the other: first with the new key added, then
    with the new key first, then without the old key. Operators change their
    token once both hosts accept the new one.
    """

    async def check(hosts, token):
        first, second = hosts
        assert pipeline.is_successful(await first.call(second))
        assert pipeline.is_successful(await second.call(first))
        for host in hosts:
            assert await host.call_admin(token) == 200

    async def scenario():
        async with open_hosts(files) as hosts:
            token = TOKENS[OLD_KEY]
            await check(hosts, token)
            for keys in ([OLD_KEY, NEW_KEY], [NEW_KEY, OLD_KEY], [NEW_KEY]):
                for host in hosts:
                    await host.stop()
                    host.start(keys)
                    # The other host reads the end of its old connection.
                    await asyncio.sleep(0.05)
                    await check(hosts, token)
                token = TOKENS[NEW_KEY]
            assert await hosts[0].call_admin(TOKENS[OLD_KEY]) == 401
            stranger = KeyedHost("h3", files, [OLD_KEY])
            assert not (await stranger.call(hosts[0])).failure().sent
            await stranger.stop()

    asyncio.run(scenario())
