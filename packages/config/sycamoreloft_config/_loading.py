"""Reads process settings from a file and the environment."""

from collections import abc
import tomllib
import typing
from urllib import parse

from returns import result

from sycamoreloft_config import _addresses, _fields, _problems, _settings

#: Minimum length of a shared key or token, in characters. A signature is only
#: as strong as its key.
MINIMUM_SECRET_CHARACTERS = 16

#: Maximum number each of keys, tokens, seeds and fleets in the settings.
MAXIMUM_ITEMS = 64

#: Prefix of the environment variables that set fields.
ENVIRONMENT_PREFIX = "SYCAMORELOFT_"

#: Valid log levels; the first one is the default.
LOG_LEVELS = ("info", "debug", "warning", "error")

#: Fields whose environment variable holds the plain text. The variables of all
#: other fields hold a TOML value.
_TEXT_FIELDS = (
    "host",
    "peer_address",
    "caller_address",
    "admin_address",
    "table_url",
    "object_store_url",
    "host_list_url",
    "log_level",
)

_TLS_REMEDY = "write both paths, or remove the table to run without TLS"

Problems: typing.TypeAlias = abc.Sequence[_problems.FileProblem]


def load_settings(
    path: str, environment: abc.Mapping[str, str]
) -> result.Result[_settings.Settings, Problems]:
    """Reads process settings from a TOML file and the environment.

    Variables SYCAMORELOFT_<FIELD> take precedence over the file. For numbers,
    arrays and tables, their value is a TOML value, such as
    SYCAMORELOFT_SEEDS='["10.1.2.3:7401"]'.

    Args:
        path: Path of the TOML file; empty to use only the environment.
        environment: Environment variables.

    Returns:
        The settings, or all problems.
    """
    file_name = path or "environment"
    return _load_file(path).bind(
        lambda table: _read_settings(table, environment, file_name)
    )


def _load_file(path: str) -> result.Result[_fields.Table, Problems]:
    if not path:
        return result.Success({})
    try:
        with open(path, "rb") as file:
            content = file.read(_fields.MAXIMUM_FILE_BYTES + 1)
        text = content.decode()
    except (OSError, ValueError) as error:
        # A wrong encoding, or a null byte in the path, raises ValueError.
        problem = _problems.FileProblem(
            path,
            "",
            f"the file cannot be read: {error}",
            "check its path, permissions and encoding (UTF-8)",
        )
        return result.Failure((problem,))
    return _fields.load_toml(text, path)


def _read_settings(
    table: _fields.Table,
    environment: abc.Mapping[str, str],
    file_name: str,
) -> result.Result[_settings.Settings, Problems]:
    problems = _fields.ProblemList(file_name)
    merged = {**table, **_read_variables(environment, problems)}
    reader = _fields.TableReader(merged, "", problems)
    settings = _settings.Settings(
        host=reader.read_name("host"),
        peer_address=reader.read_address("peer_address"),
        caller_address=reader.read_address("caller_address"),
        admin_address=reader.read_address("admin_address"),
        failure_domains=_read_domains(reader),
        table_url=_read_url(reader, "table_url"),
        object_store_url=_read_url(reader, "object_store_url"),
        host_list_url=_read_url(reader, "host_list_url", default=""),
        peer_keys=_read_peer_keys(reader),
        grant_key=_read_secret(reader.read_table("grant_key")),
        admin_tokens=_read_tokens(reader),
        caller_tls=_read_tls(reader, "caller_tls"),
        peer_tls=_read_tls(reader, "peer_tls"),
        admin_tls=_read_tls(reader, "admin_tls"),
        stop_announce_s=reader.read_number("stop_announce_s", 0, 300, 2.0),
        stop_bound_s=reader.read_number("stop_bound_s", 1, 3600, 30.0),
        seeds=_read_seeds(reader),
        log_level=reader.read_choice("log_level", LOG_LEVELS, "info"),
    )
    reader.report_unknown_fields()
    _check_consistency(reader, settings)
    all_problems = problems.list_all()
    return (
        result.Failure(all_problems)
        if all_problems
        else result.Success(settings)
    )


def _read_variables(
    environment: abc.Mapping[str, str], problems: _fields.ProblemList
) -> dict[str, typing.Any]:
    """Reads the fields that environment variables set.

    Problems do not quote the values, because they may be secrets.
    """
    fields: dict[str, typing.Any] = {}
    for variable, text in sorted(environment.items()):
        if not variable.startswith(ENVIRONMENT_PREFIX):
            continue
        name = variable.removeprefix(ENVIRONMENT_PREFIX).lower()
        if name in _TEXT_FIELDS:
            fields[name] = text
            continue
        try:
            parsed = tomllib.loads(f"value = {text}")
        except (ValueError, RecursionError):
            parsed = {}
        if list(parsed) == ["value"]:
            fields[name] = parsed["value"]
        else:
            problems.add(
                variable,
                "the variable does not hold one TOML value",
                'write it as in a TOML file, such as ["10.1.2.3:7401"]',
            )
    return fields


def _read_domains(reader: _fields.TableReader) -> abc.Mapping[str, str]:
    domains = reader.read_name_map("failure_domains", MAXIMUM_ITEMS)
    if not domains:
        reader.report_problem(
            "failure_domains",
            "the host is in no failure domain",
            'name one for each fleet, such as sledworks = "fernrun-east"',
        )
    return domains


def _read_url(
    reader: _fields.TableReader, name: str, default: str | None = None
) -> str:
    """Reads a base URL whose host is an IP address."""
    text = reader.read_text(name, default).rstrip("/")
    if not text:
        return ""
    try:
        parts = parse.urlsplit(text)
        port = parts.port or 80
    except ValueError:
        parts, port = parse.SplitResult("", "", "", "", ""), 80
    host = parts.hostname or ""
    host = f"[{host}]" if ":" in host else host
    if (
        parts.scheme not in ("http", "https")
        or not _addresses.normalize_address(f"{host}:{port}")
        or parts.query
        or parts.fragment
        or parts.username is not None
    ):
        reader.report_problem(
            name,
            f"{text[:120]!r} is not an HTTP URL with an IP address",
            'write it as "http://10.1.2.3:8080"; host names are not resolved',
        )
        return ""
    return text


def _read_peer_keys(
    reader: _fields.TableReader,
) -> abc.Sequence[_settings.Secret]:
    keys = tuple(
        _read_secret(item)
        for item in reader.read_tables("peer_keys", MAXIMUM_ITEMS)
    )
    if not keys:
        reader.report_problem(
            "peer_keys",
            "the list is empty, but messages between hosts need a key",
            "add a [[peer_keys]] table with id and secret",
        )
    if len({key.id for key in keys}) != len(keys):
        reader.report_problem(
            "peer_keys",
            "two keys have the same id",
            "give every key its own id, so that both sides mean the same key",
        )
    return keys


def _read_secret(reader: _fields.TableReader) -> _settings.Secret:
    secret = _settings.Secret(
        reader.read_name("id"), reader.read_text("secret")
    )
    reader.report_unknown_fields()
    if (
        reader.has_field("secret")
        and len(secret.secret) < MINIMUM_SECRET_CHARACTERS
    ):
        reader.report_problem(
            "secret",
            f"the secret has fewer than {MINIMUM_SECRET_CHARACTERS} characters",
            "generate a random one, for example with `openssl rand -hex 32`",
        )
    return secret


def _read_tokens(reader: _fields.TableReader) -> abc.Sequence[str]:
    tokens = reader.read_texts("admin_tokens", MAXIMUM_ITEMS, required=True)
    for index, token in enumerate(tokens):
        # A token is sent in a header, which cannot carry other characters.
        is_valid = token.isascii() and token.isprintable() and " " not in token
        if not is_valid or len(token) < MINIMUM_SECRET_CHARACTERS:
            reader.report_problem(
                f"admin_tokens[{index}]",
                f"the token has fewer than {MINIMUM_SECRET_CHARACTERS}"
                " characters, or contains spaces or characters outside ASCII",
                "generate a random one, for example with `openssl rand -hex"
                " 32`",
            )
    if not tokens and reader.has_field("admin_tokens"):
        reader.report_problem(
            "admin_tokens",
            "the list is empty, so no operator could use the admin port",
            "add at least one token",
        )
    return tokens


def _read_tls(
    reader: _fields.TableReader, name: str
) -> _settings.TlsFiles | None:
    if not reader.has_field(name):
        reader.read_table(name)
        return None
    table = reader.read_table(name)
    files = _settings.TlsFiles(
        certificate=table.read_text("certificate"),
        key=table.read_text("key"),
        ca=table.read_text("ca", ""),
    )
    table.report_unknown_fields()
    if not files.certificate or not files.key:
        reader.report_problem(
            name, "a certificate or key is missing", _TLS_REMEDY
        )
    return files


def _read_seeds(reader: _fields.TableReader) -> abc.Sequence[str]:
    seeds = []
    for index, text in enumerate(reader.read_texts("seeds", MAXIMUM_ITEMS)):
        address = _addresses.normalize_address(text)
        if address:
            seeds.append(address)
            continue
        reader.report_problem(
            f"seeds[{index}]",
            f"{text[:80]!r} is not an IP address with a port",
            'write the peer address of a host, such as "10.1.2.3:7401"',
        )
    return tuple(seeds)


def _check_consistency(
    reader: _fields.TableReader, settings: _settings.Settings
) -> None:
    addresses = [
        settings.peer_address,
        settings.caller_address,
        settings.admin_address,
    ]
    if all(addresses) and len(set(addresses)) != len(addresses):
        reader.report_problem(
            "admin_address",
            "two of the peer, caller and admin addresses are equal",
            "give each its own port",
        )
    if settings.stop_announce_s >= settings.stop_bound_s:
        reader.report_problem(
            "stop_announce_s",
            "the announcement takes the whole time allowed for a planned stop",
            "make stop_announce_s less than stop_bound_s",
        )
