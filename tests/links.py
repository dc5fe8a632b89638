"""The links from one router to all upstreams, which a test cuts and heals.

The router preloads a library that redirects its connections (DOC of
redirected_links.c). Open connections pass through a proxy.
"""
import asyncio
import os
import socket
import struct
import tempfile
import threading

from cluster import HOST, preloaded

BLOCK_BYTES = 65536
RESET = struct.pack("ii", 1, 0)  # makes a close reset the connection
FILLERS = 4  # connections that fill the backlog of a listener


class DeadPorts:
    """Two ports: connections to `hanging` are never established, those to
    `refusing` are refused."""

    def __init__(self):
        self.sockets = []
        listener = self._bind()
        listener.listen(0)
        self.hanging = listener.getsockname()[1]
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.hanging))
            self.sockets.append(filler)
        self.refusing = self._bind().getsockname()[1]

    def _bind(self):
        bound = socket.socket()
        bound.bind((HOST, 0))
        self.sockets.append(bound)
        return bound

    def close(self):
        for one in self.sockets:
            one.close()


class Links:
    """The links from one router to the given upstreams. `environment` is
    that of the router's process. One that has ended refuses connections until
    it is revived at its port."""

    def __init__(self, upstreams):
        self.folder = tempfile.TemporaryDirectory()
        self.path = os.path.join(self.folder.name, "links")
        self.environment = {
            "LD_PRELOAD": preloaded("libredirected_links.so"),
            "REDIRECTED_LINKS": self.path,
            "ASAN_OPTIONS": "detect_leaks=1:verify_asan_link_order=0"}
        self.dead = DeadPorts()
        self.marker = None
        self.writers = set()
        self.ended = set()  # ports of upstreams that have ended
        self.lock = threading.Lock()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.thread.start()
        self.ports = self._call(self._listen, [
            int(upstream.address.rpartition(":")[2])
            for upstream in upstreams])
        self._redirect(self._find_passing)
        for upstream in upstreams:
            upstream.links.append(self)

    def environment_with(self, other):
        """Returns the environment of a router that preloads the library of
        `other` as well."""
        both = [other["LD_PRELOAD"], self.environment["LD_PRELOAD"]]
        return {**other, **self.environment, "LD_PRELOAD": ":".join(both)}

    def _call(self, function, *arguments):
        return asyncio.run_coroutine_threadsafe(function(*arguments),
                                                self.loop).result()

    def _find_passing(self, port):
        return port if port in self.ended else self.ports[port]

    def _redirect(self, find=None):
        with self.lock:
            self.find = find or self.find
            with open(self.path + ".new", "w") as file:
                for port in self.ports:
                    file.write("%d %d\n" % (port, self.find(port)))
            os.replace(self.path + ".new", self.path)

    def set_ended(self, port, ended):
        (self.ended.add if ended else self.ended.discard)(port)
        self._redirect()

    async def _listen(self, targets):
        self.passing = asyncio.Event()
        self.passing.set()
        self.servers = []
        ports = {}
        for target in targets:
            server = await asyncio.start_server(
                lambda reader, writer, target=target:
                    self._serve(reader, writer, target), HOST, 0)
            self.servers.append(server)
            ports[target] = server.sockets[0].getsockname()[1]
        return ports

    async def _serve(self, reader, writer, target):
        writers = {writer}
        self.writers.add(writer)
        try:
            if not self.passing.is_set():
                await self.passing.wait()
                self._check_reset(writer)
            to_reader, to_writer = await asyncio.open_connection(
                HOST, target)
            self.writers.add(to_writer)
            writers.add(to_writer)
            await asyncio.gather(self._forward(reader, writer, to_writer),
                                 self._forward(to_reader, to_writer, writer))
        except OSError:
            self._reset(writers)
        except asyncio.CancelledError:
            pass
        finally:
            self.writers -= writers
            for one in writers:
                one.transport.abort()

    async def _forward(self, reader, source, writer):
        """Forwards what `source` sends. If it has reset its connection in
        silence, its kernel repeats nothing and nothing is delivered."""
        while True:
            block = await reader.read(BLOCK_BYTES)
            if self.marker and self.marker in block:
                self.marker = None
                self.passing.clear()
            if not self.passing.is_set():
                await self.passing.wait()
                self._check_reset(source)
            if not block:
                break
            writer.write(block)
            await writer.drain()
        writer.write_eof()

    def _check_reset(self, source):
        connection = source.get_extra_info("socket")
        if (source.transport.is_closing() or connection.getsockopt(
                socket.SOL_SOCKET, socket.SO_ERROR) != 0):
            raise ConnectionResetError

    async def _set_passing(self, passes):
        if passes:
            self.passing.set()
        else:
            self.passing.clear()

    @staticmethod
    def _reset(writers):
        for writer in writers:
            if not writer.transport.is_closing():
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    async def _reset_all(self):
        self._reset(self.writers)

    def cut_silently(self):
        """Open connections carry nothing, new ones are never established."""
        self._call(self._set_passing, False)
        self._redirect(lambda port: self.dead.hanging)

    def cut_at(self, marker):
        """No connection carries anything from the first bytes on that contain
        `marker`; new ones are established."""
        self.marker = marker

    def cut_with_resets(self):
        """Open connections are reset, new ones refused."""
        self.refuse_new()
        self._call(self._reset_all)

    def refuse_new(self):
        """Open connections live on, new ones are refused."""
        self._redirect(lambda port: self.dead.refusing)

    def heal(self):
        self._redirect(self._find_passing)
        self._call(self._set_passing, True)

    async def _cancel_all(self):
        for server in self.servers:
            server.close()
        tasks = [task for task in asyncio.all_tasks()
                 if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self):
        self._call(self._cancel_all)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()
        self.dead.close()
        self.folder.cleanup()
