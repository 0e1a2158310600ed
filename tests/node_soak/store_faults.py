"""The store stand-in with faults that can be limited to some of the nodes."""
import asyncio
import collections
import functools

from standins import HttpServer, NoAnswer, Store


class FaultyStore(Store):
    """Each node reaches the store through a listener of its own, so that a fault can affect single nodes.

    Kinds of faults: `silent` (no reply), `refusing` (503), `read_only` (503 for transactions), `slow` (200 to
    400 ms a reply, one transaction at a time in each partition), `lossy` (some replies are lost, some transactions
    are applied late), `late` (most transactions have no reply and are applied 2 to 6 s later).
    """

    def __init__(self, record, rng):
        super().__init__(record)
        self.rng = rng
        self.faults = []  # (kind, names of the affected nodes, or None for all nodes)
        self.is_closed_to_executors = False
        self.oldest_version = 0  # Feeds that continue from an earlier version receive 410.
        self.partition_locks = collections.defaultdict(asyncio.Lock)
        self.listeners = []

    async def listen_for(self, node):
        """Returns the port at which `node` reaches the store."""
        listener = HttpServer(functools.partial(self._handle_from, node))
        await listener.start()
        self.listeners.append(listener)
        return listener.port

    def end(self):
        for listener in self.listeners:
            listener.end()

    def _has(self, kind, node):
        return any(k == kind and (nodes is None or node in nodes) for k, nodes in self.faults)

    async def _hang(self):
        await asyncio.sleep(60)
        raise NoAnswer

    async def _handle_from(self, node, method, target, headers, body):
        if self._has("silent", node):
            await self._hang()
        if self._has("refusing", node):
            return 503, {}
        is_write = target.startswith("/v1/rows-tx")
        if is_write and self._has("read_only", node):
            return 503, {}
        if is_write and self._has("lossy", node) and self.rng.random() < 0.3:
            if self.rng.random() < 0.5:
                await self.handle(method, target, headers, body)
            else:
                asyncio.get_running_loop().call_later(
                    self.rng.uniform(0.3, 2.5),
                    lambda: asyncio.ensure_future(self.handle(method, target, headers, body)))
            raise NoAnswer
        if is_write and self._has("late", node) and self.rng.random() < 0.8:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(2.0, 6.0),
                lambda: asyncio.ensure_future(self.handle(method, target, headers, body)))
            await self._hang()
        if self._has("slow", node):
            answer = await self._handle_slowly(is_write, method, target, headers, body)
        else:
            answer = await self.handle(method, target, headers, body)
        if self._has("silent", node):
            await self._hang()
        if not is_write and self._has("lossy", node) and self.rng.random() < 0.15:
            raise NoAnswer
        return answer

    async def _handle_slowly(self, is_write, method, target, headers, body):
        delay = self.rng.uniform(0.2, 0.4)
        if not is_write:
            await asyncio.sleep(delay)
            return await self.handle(method, target, headers, body)
        lock = self.partition_locks[self._partition_of(body)]
        async with lock:
            await asyncio.sleep(delay)
            return await self.handle(method, target, headers, body)

    @staticmethod
    def _partition_of(body):
        marker = body.find(b'"part"')
        return body[marker:marker + 24]

    async def _feed(self, args):
        if int(args.get("after", "0")) < self.oldest_version:
            return 410, {}
        return await super()._feed(args)

    def forget_history(self):
        self.oldest_version = self.version
