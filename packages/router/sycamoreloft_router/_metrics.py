"""Metrics of the process; docs/metrics.md lists them with their units."""


class Metrics:
    """The metrics of one process, in a registry of its own."""

    def render(self) -> bytes:
        """Renders all metrics in the Prometheus text format."""
        raise NotImplementedError
