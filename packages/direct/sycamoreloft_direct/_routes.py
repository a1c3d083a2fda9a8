"""Looks up the route of a request and chooses among its services."""

from collections import abc

from sycamoreloft_direct import _model


class RouteTable:
    """Looks up routes by host and longest path prefix.

    The cost of a lookup grows with the number of path segments, not with the
    number of routes.

    Args:
        routes: Routes of the desired state.
    """

    def __init__(self, routes: abc.Iterable[_model.Route]) -> None:
        self._routes = {(route.host, route.prefix): route for route in routes}
        self._hosts = {route.host for route in self._routes.values()}
        self._splits: dict[tuple[str, str], _WeightedCycle] = {}

    def find(self, host: str, path: str) -> _model.Route | None:
        """Returns the route of a request, or None if there is none.

        Args:
            host: Value of the Host header; a port is ignored.
            path: Path and query.
        """
        name = host.partition(":")[0].lower()
        if name not in self._hosts:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/") + 1
        while end > 0:
            route = self._routes.get((name, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def choose_target(self, route: _model.Route) -> str:
        """Returns the service that gets the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        cycle = self._splits.get((route.host, route.prefix))
        if cycle is None:
            cycle = _WeightedCycle(route.targets)
            self._splits[(route.host, route.prefix)] = cycle
        return cycle.advance()


class _WeightedCycle:
    """Smooth weighted round robin.

    Over a cycle as long as the sum of the weights, each target is returned
    exactly as often as its weight says.
    """

    def __init__(self, targets: abc.Sequence[_model.Target]) -> None:
        self._targets = [target for target in targets if target.weight > 0]
        self._total = sum(target.weight for target in self._targets)
        self._credits = [0] * len(self._targets)

    def advance(self) -> str:
        """Returns the service of the next target in the cycle."""
        best = 0
        for index, target in enumerate(self._targets):
            self._credits[index] += target.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self._targets[best].service
