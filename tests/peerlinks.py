"""The links of routers to each other and to the store, which a test slows
down.

Routers preload a library that redirects their connections (DOC of
redirected_links.c), so that each connection between two of them passes through
a proxy.
"""
import asyncio
import os
import socket
import tempfile
import threading
import time

from cluster import HOST, preloaded

BLOCK_BYTES = 8192
# For which a link makes up, so that it has its rate also where the proxies are
# held up by other processes.
CREDIT_S = 0.1
# So that what a slow link has not taken yet waits at its sender.
BUFFER_BYTES = 32768


class Direction:
    """One direction of a link, which all connections of a router share."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.free_at = 0
        self.bytes = 0

    async def carry(self, count):
        self.bytes += count
        if self.bytes_per_s:
            now = time.monotonic()
            self.free_at = max(self.free_at, now - CREDIT_S)
            self.free_at += count / self.bytes_per_s
            await asyncio.sleep(max(self.free_at - now, 0))


class Link:
    """The link of one router. `from_peers` counts what came from others."""

    def __init__(self, folder, name, bytes_per_s):
        self.path = os.path.join(folder, name)
        self.up = Direction(bytes_per_s)
        self.down = Direction(bytes_per_s)
        self.from_peers = 0
        self.ports = {}  # port that the router connects to -> of its proxy
        self.port = None  # of the router, for its peers

    def environment(self):
        return {"LD_PRELOAD": preloaded("libredirected_links.so"),
                "REDIRECTED_LINKS": self.path,
                "ASAN_OPTIONS": "detect_leaks=1:verify_asan_link_order=0"}

    def write(self):
        with open(self.path + ".new", "w") as file:
            for pair in self.ports.items():
                file.write("%d %d\n" % pair)
        os.replace(self.path + ".new", self.path)


class PeerLinks:
    """Each block between routers is delivered `hold_s` after it came. With
    `bytes_per_s`, each router has one link of that rate in each direction to
    its peers and the store."""

    def __init__(self, bytes_per_s=None):
        self.bytes_per_s = bytes_per_s
        self.hold_s = 0
        self.folder = tempfile.TemporaryDirectory()
        self.links = []
        self.servers = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.thread.start()

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def start(self, fleet, name, peers=None, **settings):
        """Starts a router of a fleet; the first one is the seed of the
        others."""
        link = Link(self.folder.name, name, self.bytes_per_s)
        store_port = int(fleet.store.address.rpartition(":")[2])
        self._add_proxy(link, store_port, None)
        for other in self.links:
            self._add_proxy(link, other.port, other)
        link.write()
        seeds = {"seeds": "%s:%d" % (HOST, other.port)
                 for other in self.links[:1]}
        router = fleet.start(name=name, environment=link.environment(),
                             peers={**(peers or {}), **seeds}, **settings)
        link.port = int(router.peer_address.rpartition(":")[2])
        for other in self.links:
            self._add_proxy(other, link.port, link)
            other.write()
        self.links.append(link)
        return router

    def _add_proxy(self, link, target, other):
        """Puts a proxy between a router and the router `other`, or the store
        if that is None."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        listener.bind((HOST, 0))
        link.ports[target] = listener.getsockname()[1]
        self.servers.append(self._call(asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, target, link,
                                               other),
            sock=listener, limit=BLOCK_BYTES)))

    async def _connect(self, target):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                              BUFFER_BYTES)
        connection.setblocking(False)
        await self.loop.sock_connect(connection, (HOST, target))
        return await asyncio.open_connection(sock=connection,
                                             limit=BLOCK_BYTES)

    async def _serve(self, reader, writer, target, link, other):
        to_writer = None
        try:
            to_reader, to_writer = await self._connect(target)
            await asyncio.gather(
                self._forward(reader, to_writer, link, other),
                self._forward(to_reader, writer, other, link))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for one in (writer, to_writer):
                if one:
                    one.transport.abort()

    async def _forward(self, reader, writer, sender, receiver):
        blocks = asyncio.Queue()
        deliver = asyncio.ensure_future(self._deliver(blocks, writer))
        try:
            while True:
                block = await reader.read(BLOCK_BYTES)
                if sender:
                    await sender.up.carry(len(block))
                if receiver:
                    await receiver.down.carry(len(block))
                if sender and receiver:
                    receiver.from_peers += len(block)
                hold_s = self.hold_s if sender and receiver else 0
                blocks.put_nowait((time.monotonic() + hold_s, block))
                if not block:
                    break
            await deliver
        finally:
            deliver.cancel()

    async def _deliver(self, blocks, writer):
        while True:
            due, block = await blocks.get()
            await asyncio.sleep(max(due - time.monotonic(), 0))
            if not block:
                break
            writer.write(block)
            await writer.drain()
        writer.write_eof()

    async def _cancel_all(self):
        for server in self.servers:
            server.close()
        tasks = [task for task in asyncio.all_tasks()
                 if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self):
        self._call(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()
        self.folder.cleanup()
