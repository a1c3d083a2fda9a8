"""Stand-ins of the platform and of upstreams for tests."""
