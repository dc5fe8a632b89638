"""The links between routers, which a test slows down.

Routers preload a library that redirects their connections (DOC of
redirected_links.c), so that each link between two of them passes through a
proxy.
"""
import asyncio
import os
import tempfile
import threading
import time

from cluster import BUILD

BLOCK_BYTES = 16384


class PeerLinks:
    """Each block is delivered `hold_s` after it came, in both directions."""

    def __init__(self):
        self.hold_s = 0
        self.folder = tempfile.TemporaryDirectory()
        self.path = os.path.join(self.folder.name, "links")
        self.environment = {
            "LD_PRELOAD": os.path.join(BUILD, "libredirected_links.so"),
            "REDIRECTED_LINKS": self.path,
            "ASAN_OPTIONS": "detect_leaks=1:verify_asan_link_order=0"}
        self.servers = []
        self.ports = {}  # port for peers of a router -> port of its proxy
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.thread.start()

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def add(self, router):
        """Puts a proxy before a router that no other one knows yet."""
        target = int(router.peer_address.rpartition(":")[2])
        server = self._call(asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, target),
            "127.0.0.1", 0))
        self.servers.append(server)
        self.ports[target] = server.sockets[0].getsockname()[1]
        with open(self.path + ".new", "w") as file:
            for pair in self.ports.items():
                file.write("%d %d\n" % pair)
        os.replace(self.path + ".new", self.path)

    async def _serve(self, reader, writer, target):
        to_writer = None
        try:
            to_reader, to_writer = await asyncio.open_connection(
                "127.0.0.1", target)
            await asyncio.gather(self._forward(reader, to_writer),
                                 self._forward(to_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for one in (writer, to_writer):
                if one:
                    one.transport.abort()

    async def _forward(self, reader, writer):
        blocks = asyncio.Queue()
        deliver = asyncio.ensure_future(self._deliver(blocks, writer))
        try:
            while True:
                block = await reader.read(BLOCK_BYTES)
                blocks.put_nowait((time.monotonic() + self.hold_s, block))
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
