"""Seeded faults in overlapping series, the last of them at the end of the traffic."""
import asyncio
import signal

from standins import HttpServer
from workload import LAPSE_S


class FaultSchedule:
    """Applies faults to a system. `last_end_s` is the time at which the last fault so far has ended."""

    def __init__(self, system, rng):
        self.system, self.rng, self.record = system, rng, system.record
        self.last_end_s = 0.0
        self.busy_nodes = set()
        self.pending = []
        self.disturbed = set()  # Names of executors with a fault that has not ended.

    def plan(self, traffic_s, kinds=None):
        """Returns (time, name of the fault) for the whole run."""
        names = list(kinds or self.WEIGHTS)
        weights = [self.WEIGHTS[name] or (1 if kinds else 0) for name in names]
        entries = []
        starts = [self.rng.uniform(3, traffic_s - 5) for _ in range(self.rng.randint(1, 3))]
        for start in starts + [traffic_s - self.rng.uniform(0.5, 3.0)]:
            for _ in range(self.rng.randint(2, 4)):
                entries.append((start + self.rng.uniform(0, 2.5), self.rng.choices(names, weights)[0]))
        return sorted(entries)

    async def run(self, begin_s, plan):
        for due, name in plan:
            await asyncio.sleep(max(0.0, begin_s + due - self.record.seconds()))
            self.pending.append(asyncio.ensure_future(self._apply(name)))
        await asyncio.gather(*self.pending)

    async def _apply(self, name):
        self.record("fault", "begin " + name)
        await getattr(self, name)()
        self.last_end_s = max(self.last_end_s, self.record.seconds())
        self.record("fault", "end " + name)

    # --- Nodes

    def _choose_node(self):
        """The owner in two of three cases; None when too many nodes are disturbed already."""
        free = [node for node in self.system.nodes if node.name not in self.busy_nodes]
        if len(free) < 2:
            return None
        owner = self.system.owner_name()
        owners = [node for node in free if node.name == owner]
        node = owners[0] if owners and self.rng.random() < 0.67 else self.rng.choice(free)
        self.busy_nodes.add(node.name)
        self.record("fault", "chooses %s; the owner is %s" % (node.name, owner))
        return node

    async def _restart(self, node):
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        await node.start(self.system.folder)
        self.busy_nodes.discard(node.name)

    async def kill_node(self):
        node = self._choose_node()
        if node is not None:
            await node.end()
            await self._restart(node)

    async def kill_all_nodes(self):
        """Kills all nodes that no other fault has chosen, for longer than the longest lease."""
        nodes = [node for node in self.system.nodes if node.name not in self.busy_nodes]
        self.busy_nodes.update(node.name for node in nodes)
        await asyncio.gather(*[node.end() for node in nodes])
        await asyncio.sleep(self.rng.uniform(7.0, 9.5))
        await asyncio.gather(*[self._restart(node) for node in nodes])

    async def stop_node(self):
        node = self._choose_node()
        if node is None:
            return
        node.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.process.wait(), 6.0)
        except asyncio.TimeoutError:
            await node.end()
        await self._restart(node)

    async def pause_node(self):
        node = self._choose_node()
        if node is None:
            return
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        node.signal(signal.SIGCONT)
        self.busy_nodes.discard(node.name)

    # --- Store

    async def _store_fault(self, kind, seconds, nodes=None):
        fault = (kind, nodes)
        self.record("fault", "store %s for %.1f s at %s" % (kind, seconds, nodes or "all nodes"))
        self.system.store.faults.append(fault)
        await asyncio.sleep(seconds)
        self.system.store.faults.remove(fault)

    def _some_nodes(self):
        if self.rng.random() < 0.6:
            return None
        owner = self.system.owner_name()
        return [owner] if owner and self.rng.random() < 0.6 else [
            node.name for node in self.system.nodes if self.rng.random() < 0.5]

    async def store_silent(self):
        await self._store_fault("silent", self.rng.uniform(0.5, 4.0), self._some_nodes())

    async def store_refusing(self):
        await self._store_fault("refusing", self.rng.uniform(0.5, 4.0), self._some_nodes())

    async def store_slow(self):
        await self._store_fault("slow", self.rng.uniform(2.0, 5.0))

    async def store_late(self):
        await self._store_fault("late", self.rng.uniform(2.0, 4.5), self._some_nodes())

    async def store_lossy(self):
        await self._store_fault("lossy", self.rng.uniform(1.0, 4.0), self._some_nodes())

    async def store_history(self):
        self.system.store.forget_history()

    async def store_lapse(self):
        """An outage during which registrations lapse; they return within 2 s of its end."""
        store = self.system.store
        if store.is_closed_to_executors:
            return
        store.is_closed_to_executors = True
        lapsing = [e for e in self.system.executors if e.up and (self.rng.random() < 0.85)]
        outage = asyncio.ensure_future(
            self._store_fault(self.rng.choice(["silent", "refusing"]), self.rng.uniform(0.6, 5.0)))
        await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        for executor in lapsing:
            store.drop("servers", executor.name)
        await outage
        store.is_closed_to_executors = False
        spread = self.rng.choice([0.0, 0.5, 1.9])
        self.record("fault", "%d registrations return within %.1f s" % (len(lapsing), spread))
        returns = [self._return_registration(executor, self.rng.uniform(0.0, spread))
                   for executor in self.system.executors if executor.up]
        await asyncio.gather(*returns)

    async def brief_lapse(self):
        """Registrations lapse and return while the nodes read the store, at times without being able to write."""
        if self.system.store.is_closed_to_executors:
            return
        outage = asyncio.ensure_future(self._store_fault(
            self.rng.choice(["read_only", "lossy"]), self.rng.uniform(0.5, 3.0), self._some_nodes()))
        await asyncio.sleep(self.rng.uniform(0.0, 0.4))
        share = self.rng.choice([0.9, 1.0])
        lapsing = [e for e in self.system.executors if e.up and self.rng.random() < share]
        for executor in lapsing:
            self.system.store.drop("servers", executor.name)
        base, spread = self.rng.uniform(0.05, 0.9), self.rng.choice([0.0, 0.3, 1.0])
        self.record("fault", "%d registrations return after %.2f to %.2f s" % (len(lapsing), base, base + spread))
        await asyncio.gather(*[self._return_registration(executor, base + self.rng.uniform(0.0, spread))
                               for executor in lapsing])
        await outage

    async def _return_registration(self, executor, delay):
        await asyncio.sleep(delay)
        if executor.up and self.system.store.read("servers", "", executor.name) is None:
            executor.register()

    # --- Executors

    def _choose_executors(self, share):
        free = [e for e in self.system.executors if e.up and e.name not in self.disturbed]
        chosen = self.rng.sample(free, max(1, int(len(free) * share)))
        if len(free) - len(chosen) < len(self.system.executors) // 2:
            return []
        self.disturbed.update(e.name for e in chosen)
        self.record("fault", "executors " + " ".join(e.name for e in chosen))
        return chosen

    def _release(self, executors):
        self.disturbed.difference_update(e.name for e in executors)

    async def cut_executors(self):
        chosen = self._choose_executors(self.rng.choice([0.03, 0.1, 0.3]))
        for executor in chosen:
            executor.cut = True
        seconds = self.rng.uniform(1.0, 6.0)
        lapses = seconds > LAPSE_S and self.rng.random() < 0.5
        if lapses:
            await asyncio.sleep(LAPSE_S)
            for executor in chosen:
                self.system.store.drop("servers", executor.name)
            seconds -= LAPSE_S
        await asyncio.sleep(seconds)
        for executor in chosen:
            executor.heal()
            if lapses:
                executor.register()
        self._release(chosen)

    async def restart_executors(self):
        """Crashes; the executors start again under the same id and address."""
        chosen = self._choose_executors(self.rng.choice([0.02, 0.1]))
        for executor in chosen:
            executor.crash()
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        for executor in chosen:
            await executor.start()
        self._release(chosen)

    async def mute_restart_executors(self):
        """As restart_executors, with ports that accept connections and do not reply; most are cut off afterwards."""
        async def hang(*_):
            await asyncio.sleep(3600)

        chosen = self._choose_executors(self.rng.choice([0.05, 0.15]))
        for executor in chosen:
            executor.crash()
            executor.mute_port = HttpServer(hang)
            await executor.mute_port.start(executor.port)
        await asyncio.sleep(self.rng.uniform(0.6, 3.0))
        for executor in chosen:
            executor.mute_port.end()
            await executor.start()
        if self.rng.random() < 0.8:
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            for executor in chosen:
                executor.cut = True
            await asyncio.sleep(self.rng.uniform(5.0, 9.0))
            for executor in chosen:
                executor.heal()
        self._release(chosen)

    async def late_start_restart_executors(self):
        """Starts without a reply that are carried out 2 to 12 s later, also by the next incarnation."""
        chosen = self._choose_executors(self.rng.choice([0.1, 0.2]))
        for executor in chosen:
            executor.late_share, executor.late_delay_s = 0.4, (2.0, 12.0)
            executor.late_starts_outlast_process = True
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        for executor in chosen:
            executor.late_share = 0.0
            executor.crash()
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        for executor in chosen:
            await executor.start()
        self._release(chosen)

    async def replace_executors(self):
        """Crashes; new executors with new ids join. The old registrations lapse."""
        chosen = self._choose_executors(self.rng.choice([0.02, 0.1]))
        for executor in chosen:
            executor.crash()
            executor.is_gone = True
            self._lapse_later(executor)
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        for executor in chosen:
            await self.system.add_executor(executor.rack)

    async def drain_executors(self):
        """The executors give notice, leave 2 to 4 s later and are replaced."""
        chosen = self._choose_executors(0.04)
        for executor in chosen:
            executor.register("draining", remainingMs=2000)
        await asyncio.sleep(self.rng.uniform(2.1, 4.0))
        for executor in chosen:
            executor.crash()
            executor.is_gone = True
            self.system.store.drop("servers", executor.name)
            await self.system.add_executor(executor.rack)

    async def remove_executors(self):
        """The executors are taken away without notice, and do not come back."""
        chosen = self._choose_executors(0.04)
        for executor in chosen:
            if self.rng.random() < 0.5:
                executor.crash()
                executor.is_gone = True
            else:
                executor.vanish()
            self._lapse_later(executor)

    def _lapse_later(self, executor):
        asyncio.get_running_loop().call_later(
            self.rng.uniform(LAPSE_S - 1.5, LAPSE_S), self.system.store.drop, "servers", executor.name)

    async def refuse_starts(self):
        await self._disturb_starts("refuse_share")

    async def delay_starts(self):
        await self._disturb_starts("late_share")

    async def _disturb_starts(self, attribute):
        chosen = self._choose_executors(self.rng.choice([0.1, 0.3]))
        share = self.rng.choice([0.2, 1.0])
        for executor in chosen:
            setattr(executor, attribute, share)
        await asyncio.sleep(self.rng.uniform(1.0, 5.0))
        for executor in chosen:
            setattr(executor, attribute, 0.0)
        self._release(chosen)

    WEIGHTS = {
        "kill_node": 4, "stop_node": 3, "pause_node": 4, "store_silent": 2, "store_refusing": 2, "store_slow": 2,
        "store_lossy": 3, "store_history": 1, "store_lapse": 4, "brief_lapse": 3,
        "cut_executors": 3, "restart_executors": 2,
        "replace_executors": 2, "drain_executors": 1, "remove_executors": 2, "refuse_starts": 2,
        "delay_starts": 2,
        # Only with --faults: other weights would change the plans of the seeds of earlier findings.
        "mute_restart_executors": 0, "late_start_restart_executors": 0, "store_late": 0,
        "kill_all_nodes": 0,
    }
