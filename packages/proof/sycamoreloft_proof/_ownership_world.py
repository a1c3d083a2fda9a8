"""Simulation of one group in virtual time: faults, requests and queries."""

from collections import abc
import functools

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_proof import _ownership_adapter, _ownership_oracle

Host = _ownership_adapter.Host


class OwnershipWorld(_ownership_adapter.OwnershipAdapter):
    """Simulated group whose faults and requests a test controls."""

    def crash_upstream(self, name: str) -> None:
        """Crashes an upstream."""
        self.upstreams[name].crash()

    def restart_upstream(self, name: str) -> None:
        """Restarts an upstream, which loses its grants."""
        self.upstreams[name].restart()

    def freeze_upstream(self, name: str, duration: float) -> None:
        """Freezes an upstream for `duration` seconds; its clock still runs."""
        self.upstreams[name].frozen_until = self.now + duration

    def kill_host(self, name: str) -> None:
        """Kills a host."""
        self.hosts[name].is_alive = False

    def restart_host(self, name: str) -> None:
        """Restarts a host, which loses its state."""
        self.hosts[name].is_alive = False
        self._start_host(name)

    def pause_host(self, name: str, duration: float) -> None:
        """Pauses a host for `duration` seconds; its commands are sent later."""
        self.hosts[name].paused_until = self.now + duration

    def cut_off_holder(
        self, upstreams: abc.Set[str], with_standby: bool
    ) -> None:
        """Partitions the holder from the other hosts and from the store.

        Args:
            upstreams: Upstreams that only the cut-off hosts can reach.
            with_standby: Whether the holder can still reach the standby.
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
        """Applies a generation on all hosts that can reach the store."""
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
        """Sets the generations that starting hosts apply.

        Args:
            generation: The accepted generation.
            pending: The pending generation, None for none.
        """
        self.generation = generation
        self.pending = pending
        self.fleet = generation.fleets[self.group.fleet]
        for upstream in sycamoreloft_config.list_group_upstreams(
            self.fleet, self.group
        ):
            self.add_upstream(upstream)

    def announce_generation(self, longest_delay_s: float) -> None:
        """Delivers the generations to each host after a random delay."""
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
        """Ends all faults except freezes and pauses."""
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
        """Ends all faults, including freezes, pauses and planned stops."""
        self.heal()
        for upstream in self.upstreams.values():
            upstream.frozen_until = self.now
        for host in list(self.hosts.values()):
            host.paused_until = self.now
            if host.is_stopping:
                self.restart_host(host.name)

    def send_request(self, name: str, service: str, key: str) -> None:
        """Routes a request from a host to the owner that its machine names."""
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
        """Delivers request counts by key to every running host."""
        event = sycamoreloft_decisions.KeysObserved(service, counts)
        for host in self.hosts.values():
            if host.is_alive and host.paused_until <= self.now:
                self.deliver(host, event)

    def find_owner(self, service: str, key: str) -> str:
        """Returns the owner of a key by the holder's state, "" for none."""
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
        """Returns the stored fences by unit."""
        return {
            unit: fence
            for unit, (_, fence) in self.store.list_records().items()
        }

    def list_unserved(self) -> list[tuple[str, int, str]]:
        """Returns partitions that no host can route to an accepting owner."""
        return [
            (service.name, partition, "")
            for service in self.fleet.services.values()
            if service.keyed
            for partition in range(service.partitions)
            if not self._is_served(service.name, partition)
        ]

    def _is_served(self, service: str, partition: int) -> bool:
        accepting = self.oracle.find_acceptance(
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
        """Returns the standby that the store names, "" for none."""
        row, _, _ = self.store.read(f"group/{self.group}", "-")
        return str(row["standby"]) if row else ""

    def find_holder(self) -> str:
        """Returns the live holder with the highest epoch, "" for none."""
        held = [
            (host.machine.get_epoch(), host.name)
            for host in self.hosts.values()
            if host.is_alive and host.machine.get_epoch()
        ]
        return max(held)[1] if held else ""
