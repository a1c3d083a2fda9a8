"""Tests of the process settings."""

import pytest

import sycamoreloft_config


def test_variables_take_precedence(router_settings_path):
    """Guards against a secret of the file that stays in force."""
    settings = sycamoreloft_config.load_settings(
        router_settings_path,
        {
            "SYCAMORELOFT_HOST": "entry-02",
            "SYCAMORELOFT_SEEDS": '["127.0.0.1:1", "[::1]:2"]',
            "SYCAMORELOFT_STOP_BOUND_S": "12.5",
            "SYCAMORELOFT_GRANT_KEY": (
                '{ id = "g2", secret = "0123456789abcdef" }'
            ),
            "SYCAMORELOFT_PEER_TLS": '{ certificate = "c", key = "k" }',
            "HOME": "/",
        },
    ).unwrap()
    assert settings.host == "entry-02"
    assert settings.seeds == ("127.0.0.1:1", "[::1]:2")
    assert settings.stop_bound_s == 12.5
    assert settings.grant_key.id == "g2"
    assert settings.peer_tls == sycamoreloft_config.TlsFiles("c", "k")
    assert settings.caller_tls is None
    assert settings.failure_domains["sledworks"] == "fernrun-east"


def test_secrets_are_not_printed(router_settings_path):
    """Guards against keys and tokens in log lines."""
    settings = sycamoreloft_config.load_settings(router_settings_path, {})
    assert "example-only" not in repr(settings.unwrap())


def test_settings_from_the_environment_alone():
    """Guards against a host without a disk that cannot start."""
    problems = sycamoreloft_config.load_settings("", {}).failure()
    assert {"host", "peer_keys", "admin_tokens", "table_url"} <= {
        problem.path for problem in problems
    }


@pytest.mark.parametrize(
    ("variable", "value", "path"),
    [
        ("PEER_ADDRESS", "localhost:7401", "peer_address"),
        ("CALLER_ADDRESS", "127.0.0.1:7401", "admin_address"),
        ("TABLE_URL", "http://store.example:80", "table_url"),
        ("TABLE_URL", "http://[::1", "table_url"),
        ("ADMIN_TOKENS", '["short"]', "admin_tokens[0]"),
        ("ADMIN_TOKENS", "[]", "admin_tokens"),
        ("GRANT_KEY", '{ id = "g", secret = "short" }', "grant_key.secret"),
        ("PEER_TLS", '{ key = "k" }', "peer_tls"),
        ("STOP_ANNOUNCE_S", "30", "stop_announce_s"),
        ("STOP_BOUND_S", "1" + "0" * 400, "stop_bound_s"),
        ("STOP_BOUND_S", "nan", "stop_bound_s"),
        ("HOST", "h/x", "host"),
        ("TABLE_URL", "http://127.0.0.1:x", "table_url"),
        ("PEER_KEYS", "{ id = 1 }", "peer_keys"),
        ("SEEDS", '["seed:1"]', "seeds[0]"),
        ("SEEDS", "127.0.0.1:1", "SYCAMORELOFT_SEEDS"),
        ("SEEDS", "[]\nhost = 1", "SYCAMORELOFT_SEEDS"),
        ("SED", "1", "sed"),
        ("FAILURE_DOMAINS", '{ a = "b c" }', "failure_domains.a"),
    ],
)
def test_wrong_settings_are_problems(
    router_settings_path, variable, value, path
):
    """Guards against a process that starts with unusable settings."""
    problems = sycamoreloft_config.load_settings(
        router_settings_path, {f"SYCAMORELOFT_{variable}": value}
    ).failure()
    assert path in [problem.path for problem in problems]
    assert not any("short" in str(problem) for problem in problems)


@pytest.mark.parametrize("name", ["none.toml", "", "a\0b", "latin.toml"])
def test_an_unreadable_file_is_a_problem(tmp_path, name):
    """Guards against a stack trace instead of a remedy."""
    (tmp_path / "latin.toml").write_bytes(b'host = "\xe9"')
    problems = sycamoreloft_config.load_settings(
        f"{tmp_path}/{name}", {}
    ).failure()
    assert "cannot be read" in problems[0].problem
