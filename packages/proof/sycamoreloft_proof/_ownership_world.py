"""One group in virtual time, with faults, requests and questions."""

from collections import abc
import functools

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_proof import _ownership_adapter, _ownership_oracle

Host = _ownership_adapter.Host


class OwnershipWorld(_ownership_adapter.OwnershipAdapter):
    """One group with several hosts, upstreams, a store and a network."""

    def crash_upstream(self, name: str) -> None:
        """Ends an upstream."""
        self.upstreams[name].crash()

    def restart_upstream(self, name: str) -> None:
        """Starts an upstream again, without memory of its grants."""
        self.upstreams[name].restart()

    def freeze_upstream(self, name: str, duration: float) -> None:
        """Freezes an upstream, whose clock goes on."""
        self.upstreams[name].frozen_until = self.now + duration

    def kill_host(self, name: str) -> None:
        """Ends a host."""
        self.hosts[name].is_alive = False

    def restart_host(self, name: str) -> None:
        """Starts a host again, without memory."""
        self.hosts[name].is_alive = False
        self._start_host(name)

    def pause_host(self, name: str, duration: float) -> None:
        """Pauses a host; its unsent commands are sent afterwards."""
        self.hosts[name].paused_until = self.now + duration

    def cut_off_holder(
        self, upstreams: abc.Set[str], with_standby: bool
    ) -> None:
        """Cuts the holder off from the other hosts and from the store.

        Args:
            upstreams: Upstreams that only the cut-off hosts can reach.
            with_standby: Whether the standby stays with the holder.
        """
        inside = {self.find_holder()}
        if with_standby:
            inside.add(self.find_standby())
        inside -= {""}
        if not inside:
            return
        for left in inside | upstreams:
            for right in {*self.hosts, "store"} - inside:
                self.cuts.add(frozenset((left, right)))

    def stop_host(self, name: str) -> None:
        """Stops a host as planned."""
        host = self.hosts[name]
        host.is_stopping = True
        event = sycamoreloft_decisions.StopRequested()
        self._when_running(host, lambda: self.deliver(host, event))

    def change_generation(
        self, generation: sycamoreloft_config.Generation
    ) -> None:
        """Brings a generation into force on hosts that reach the store."""
        self.adopt_generation(generation, None)
        event = sycamoreloft_decisions.GenerationChanged(generation)
        for host in self.hosts.values():
            if not self.is_cut(host.name, "store"):
                self._deliver_later(host, event)

    def adopt_generation(
        self,
        generation: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
    ) -> None:
        """Makes a generation the one that hosts start with."""
        self.generation = generation
        self.pending = pending
        self.fleet = generation.fleets[self.group.fleet]
        for upstream in sycamoreloft_config.list_group_upstreams(
            self.fleet, self.group
        ):
            self.add_upstream(upstream)

    def announce_generation(self, longest_delay_s: float) -> None:
        """Tells each host of the generations, at a time of its own."""
        event = sycamoreloft_decisions.GenerationChanged(
            self.generation, self.pending
        )
        for host in self.hosts.values():
            self.schedule(
                self.random.uniform(0, longest_delay_s),
                functools.partial(self._deliver_later, host, event),
            )

    def _deliver_later(
        self, host: Host, event: sycamoreloft_decisions.Event
    ) -> None:
        self._when_running(host, lambda: self.deliver(host, event))

    def heal(self) -> None:
        """Ends all faults, except that frozen and paused ones go on."""
        self.cuts.clear()
        self.link_delays.clear()
        self.drop_share = 0.0
        self.maximum_delay_s = 0.002
        self.send_delay_s = 0.001
        self.store.heal()
        for upstream in self.upstreams.values():
            if not upstream.is_alive:
                upstream.restart()
        for host in list(self.hosts.values()):
            if not host.is_alive:
                self.restart_host(host.name)

    def recover(self) -> None:
        """Ends all faults; every host and upstream runs and goes on."""
        self.heal()
        for upstream in self.upstreams.values():
            upstream.frozen_until = self.now
        for host in list(self.hosts.values()):
            host.paused_until = self.now
            if host.is_stopping:
                self.restart_host(host.name)

    def send_request(self, name: str, service: str, key: str) -> None:
        """Lets a host ask its machine for the owner and send a request."""
        host = self.hosts[name]
        if not host.is_alive or host.paused_until > self.now:
            return
        partition = self._find_partition(service, key)
        owner = host.machine.find_owner(
            service, key, partition, self.read_clock(host)
        )
        if not isinstance(owner, sycamoreloft_decisions.Owner):
            return
        upstream = self.upstreams[owner.upstream]

        def arrive() -> None:
            if upstream.frozen_until > self.now:
                self.schedule(upstream.frozen_until - self.now, arrive)
            elif upstream.is_alive:
                upstream.run(service, key, partition, owner.fence, self.now)

        self.transmit(name, owner.upstream, arrive)

    def _find_partition(self, service: str, key: str) -> int:
        return sycamoreloft_config.compute_partition(
            self.group.fleet,
            service,
            key,
            self.fleet.services[service].partitions,
        )

    def observe_keys(self, service: str, counts: abc.Mapping[str, int]) -> None:
        """Tells every running host of requests by key."""
        event = sycamoreloft_decisions.KeysObserved(service, counts)
        for host in self.hosts.values():
            if host.is_alive and host.paused_until <= self.now:
                self.deliver(host, event)

    def find_owner(self, service: str, key: str) -> str:
        """Returns the upstream that the holder names, empty for none."""
        host = self.hosts.get(self.find_holder())
        if host is None:
            return ""
        owner = host.machine.find_owner(
            service,
            key,
            self._find_partition(service, key),
            self.read_clock(host),
        )
        if isinstance(owner, sycamoreloft_decisions.Owner):
            return owner.upstream
        return ""

    def list_fences(self) -> dict[_ownership_oracle.UnitName, int]:
        """Lists the fences that the store records."""
        return {
            unit: fence
            for unit, (_, fence) in self.store.list_records().items()
        }

    def list_unserved(self) -> list[tuple[str, int, str]]:
        """Lists partitions that no host can route to an accepting owner."""
        return [
            (service.name, partition, "")
            for service in self.fleet.services.values()
            if service.keyed
            for partition in range(service.partitions)
            if not self._is_served(service.name, partition)
        ]

    def _is_served(self, service: str, partition: int) -> bool:
        accepting = self.oracle.find_accepting(
            (service, partition, ""), self.now
        )
        if accepting is None:
            return False
        upstream = self.upstreams.get(accepting.upstream)
        if upstream is None:
            return False
        if not upstream.is_alive or upstream.frozen_until > self.now:
            return False
        for host in self.hosts.values():
            if not host.is_alive or host.paused_until > self.now:
                continue
            owner = host.machine.find_owner(
                service, "", partition, self.read_clock(host)
            )
            if (
                isinstance(owner, sycamoreloft_decisions.Owner)
                and owner.upstream == accepting.upstream
                and owner.fence == accepting.fence
            ):
                return True
        return False

    def find_standby(self) -> str:
        """Returns the host that the store names as standby, or none."""
        row, _, _ = self.store.read(f"group/{self.group}", "-")
        return str(row["standby"]) if row else ""

    def find_holder(self) -> str:
        """Returns the live holder with the highest epoch, empty for none."""
        held = [
            (host.machine.get_epoch(), host.name)
            for host in self.hosts.values()
            if host.is_alive and host.machine.get_epoch()
        ]
        return max(held)[1] if held else ""
