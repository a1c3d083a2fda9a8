"""Queue that shares its output fairly between fleets, services and callers."""

from collections import abc
import typing

Item = typing.TypeVar("Item", bound=abc.Hashable)


class _Flow(typing.Generic[Item]):
    """A node of the tree of flows.

    Only leaves have items. Each item is stored with its cost, in the order of
    arrival.
    """

    __slots__ = ("children", "credit", "items", "size")

    def __init__(self) -> None:
        self.children: dict[str, _Flow[Item]] = {}
        self.items: dict[Item, float] = {}
        self.credit = 0.0
        self.size = 0


#: Limits of the cost of an item, relative to the mean. They ensure that a flow
#: gets at most `1 / MINIMUM_COST` items per turn and waits for at most
#: `MAXIMUM_COST` rounds.
MINIMUM_COST = 0.1
MAXIMUM_COST = 10.0


class FairQueue(typing.Generic[Item]):
    """Deficit round robin over a tree of flows.

    The cost of an item is charged to its flow when the item is removed. A flow
    with a negative balance waits until further rounds have compensated for
    it. A flow that becomes empty loses its balance.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._root: _Flow[Item] = _Flow()

    def __len__(self) -> int:
        return self._root.size

    def __iter__(self) -> abc.Iterator[Item]:
        return self._iterate_flow(self._root)

    def push(
        self, path: abc.Sequence[str], item: Item, cost: float = 1.0
    ) -> None:
        """Adds an item at the end of its flow.

        Args:
            path: Names of the flows from the root to the leaf. All paths of a
                queue have the same length.
            item: The item, unique in the queue.
            cost: Cost relative to that of a mean item.
        """
        flow = self._root
        flow.size += 1
        for name in path:
            child = flow.children.get(name)
            if child is None:
                child = flow.children[name] = _Flow()
                child.credit = 1.0
            child.size += 1
            flow = child
        flow.items[item] = min(max(cost, MINIMUM_COST), MAXIMUM_COST)

    def pop(
        self, accept: abc.Callable[[Item], bool] | None = None
    ) -> Item | None:
        """Removes and returns the next item in fair order.

        Args:
            accept: Returns whether an item may be removed; None for all items.

        Returns:
            The item, or None if no item is acceptable.
        """
        popped = self._pop(self._root, accept)
        return None if popped is None else popped[0]

    def remove(self, path: abc.Sequence[str], item: Item) -> None:
        """Removes an item that was added with this path."""
        flows = [self._root]
        for name in path:
            flows.append(flows[-1].children[name])
        del flows[-1].items[item]
        for flow in flows:
            flow.size -= 1
        for parent, name, flow in zip(flows, path, flows[1:], strict=False):
            if flow.size == 0:
                del parent.children[name]
                break

    def evict(self) -> Item | None:
        """Removes and returns the newest item of the longest flow, if any."""
        if not self._root.size:
            return None
        path: list[str] = []
        flow = self._root
        while flow.children:
            name, flow = max(
                flow.children.items(), key=lambda entry: entry[1].size
            )
            path.append(name)
        item = next(reversed(flow.items))
        self.remove(path, item)
        return item

    def count_ahead(self, path: abc.Sequence[str]) -> int:
        """Estimates how many items leave the queue before a new one would.

        Args:
            path: Path of the flow that the new item would be added to.
        """
        flow = self._root
        competitors = 0
        backlog = 0
        for name in path:
            child = flow.children.get(name)
            competitors += len(flow.children) - (child is not None)
            backlog = child.size if child is not None else 0
            if child is None:
                break
            flow = child
        return min(self._root.size, backlog + (backlog + 1) * competitors)

    def _iterate_flow(self, flow: _Flow[Item]) -> abc.Iterator[Item]:
        yield from flow.items
        for child in flow.children.values():
            yield from self._iterate_flow(child)

    def _pop(
        self, flow: _Flow[Item], accept: abc.Callable[[Item], bool] | None
    ) -> tuple[Item, float] | None:
        if not flow.children:
            return self._pop_leaf(flow, accept)
        unacceptable = 0
        while unacceptable < len(flow.children):
            name, child = next(iter(flow.children.items()))
            if child.credit <= 0:
                child.credit += 1.0
                self._move_to_end(flow, name, child)
                continue
            popped = self._pop(child, accept)
            if popped is None:
                unacceptable += 1
                self._move_to_end(flow, name, child)
                continue
            flow.size -= 1
            child.credit -= popped[1]
            if child.size == 0:
                del flow.children[name]
            elif child.credit <= 0:
                child.credit += 1.0
                self._move_to_end(flow, name, child)
            return popped
        return None

    def _pop_leaf(
        self, flow: _Flow[Item], accept: abc.Callable[[Item], bool] | None
    ) -> tuple[Item, float] | None:
        for item, cost in flow.items.items():
            if accept is None or accept(item):
                del flow.items[item]
                flow.size -= 1
                return item, cost
        return None

    def _move_to_end(
        self, flow: _Flow[Item], name: str, child: _Flow[Item]
    ) -> None:
        del flow.children[name]
        flow.children[name] = child
