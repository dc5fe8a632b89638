"""A TCP proxy that injects faults, switched at run time by its attributes.

Each fault is counted in `injected`, so that a test can wait until the fault
really happened.
"""
import asyncio
import threading

BLOCK = 65536


class FaultProxy:
    """Stands before one server on loopback.

    refuse: close each new connection at once
    black_hole: take requests and pass nothing on
    cut_after_request: so many times: pass the request on, then cut both
        sides as soon as the answer begins
    cut_after_bytes: cut an answer behind so many bytes, `cuts` times
    delay: seconds before each block of an answer
    throttle: bytes a second of an answer
    duplicate: so many times: send the first block of an answer twice
    swap: so many times: give two waiting connections each other's answers
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.refuse = False
        self.black_hole = False
        self.cut_after_request = 0
        self.cut_after_bytes = 0
        self.cuts = 0
        self.delay = 0
        self.throttle = 0
        self.duplicate = 0
        self.swap = 0
        self.injected = 0
        self.connections = 0
        self._waiting = None
        self._sent = {}  # bytes of the answer under way, by writer
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait()
        self.address = "127.0.0.1:%d" % self.port

    def _run(self):
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._serve, "127.0.0.1", 0))
        self.port = server.sockets[0].getsockname()[1]
        self._started.set()
        self._loop.run_forever()
        server.close()
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        self._loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True))
        self._loop.close()

    def kill(self):
        """Named as a process's, so that a cluster can end it."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def cut_all(self):
        """Cut every open connection on both sides."""
        self._loop.call_soon_threadsafe(
            lambda: [writer.transport.abort() for writer in self._sent])

    def _spend(self, name):
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        self.injected += 1
        return True

    async def _serve(self, reader, writer):
        self.connections += 1
        if self.refuse:
            self.injected += 1
            writer.close()
            return
        if self.black_hole:
            self.injected += 1
            await reader.read()
            writer.close()
            return
        try:
            server = await asyncio.open_connection("127.0.0.1",
                                                   self.target_port)
        except OSError:
            writer.close()
            return
        self._sent[writer] = 0
        try:
            await asyncio.gather(self._requests(reader, writer, server[1]),
                                 self._answers(server[0], writer, server[1]))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            del self._sent[writer]
            writer.close()
            server[1].close()

    async def _requests(self, reader, writer, upstream):
        while True:
            block = await reader.read(BLOCK)
            if not block:
                break
            self._sent[writer] = 0
            upstream.write(block)
            await upstream.drain()
        upstream.close()

    async def _answers(self, upstream, writer, upstream_writer):
        mine = writer
        block = await upstream.read(BLOCK)
        if block and self._spend("cut_after_request"):
            writer.transport.abort()
            upstream_writer.transport.abort()
            return
        if block and self.swap > 0:
            writer = await self._swapped(writer)
        if block and self._spend("duplicate"):
            writer.write(block)
        while block:
            if self.delay:
                await asyncio.sleep(self.delay)
            if self.throttle:
                await asyncio.sleep(len(block) / self.throttle)
            room = self.cut_after_bytes - self._sent[mine]
            if self.cuts > 0 and len(block) > room:
                self._spend("cuts")
                writer.write(block[:max(room, 0)])
                await writer.drain()
                writer.close()
                upstream_writer.transport.abort()
                return
            writer.write(block)
            self._sent[mine] += len(block)
            await writer.drain()
            block = await upstream.read(BLOCK)
        writer.close()

    async def _swapped(self, writer):
        """The writer of the other connection that waits here."""
        mine = self._loop.create_future()
        if self._waiting is None:
            self._waiting = (writer, mine)
            return await mine
        other, future = self._waiting
        self._waiting = None
        self._spend("swap")
        future.set_result(writer)
        return other
