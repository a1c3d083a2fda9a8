"""Settings of one router process."""

from collections import abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Secret:
    """A shared key with an identifier, so that keys can be rotated."""

    #: Identifier that is sent with each signature; unique in the settings.
    id: str
    #: The key; excluded from the string form.
    secret: str = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of the TLS files of one port."""

    #: Path of the certificate chain, PEM.
    certificate: str
    #: Path of the private key, PEM.
    key: str
    #: Path of the authorities for certificates of peers, PEM; empty for none.
    ca: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one router process."""

    #: Name of the host, unique among all hosts.
    host: str
    #: Address for other hosts, as "ip:port".
    peer_address: str
    #: Address for callers, as "ip:port".
    caller_address: str
    #: Address for operators, as "ip:port".
    admin_address: str
    #: Failure domain of the host by fleet name.
    failure_domains: abc.Mapping[str, str]
    #: URL of the table service, without a trailing slash.
    table_url: str
    #: URL of the object store, without a trailing slash.
    object_store_url: str
    #: URL of the host list, without a trailing slash; empty for none.
    host_list_url: str
    #: Keys for messages between hosts: the first one signs, all verify.
    peer_keys: abc.Sequence[Secret]
    #: Key that signs grants to upstreams.
    grant_key: Secret
    #: Bearer tokens of operators, all valid at once; excluded from the string
    #: form.
    admin_tokens: abc.Sequence[str] = dataclasses.field(repr=False)
    #: TLS files of the caller port; None for plain TCP.
    caller_tls: TlsFiles | None = None
    #: TLS files of the peer port; None for plain TCP.
    peer_tls: TlsFiles | None = None
    #: TLS files of the admin port; None for plain TCP.
    admin_tls: TlsFiles | None = None
    #: Time between reporting unhealthy and closing the caller port, in seconds.
    stop_announce_s: float = 2.0
    #: Maximum time of a planned stop, in seconds.
    stop_bound_s: float = 30.0
    #: Peer addresses of hosts to contact first, as "ip:port".
    seeds: abc.Sequence[str] = ()
    #: "debug", "info", "warning" or "error".
    log_level: str = "info"
