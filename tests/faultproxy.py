"""A TCP proxy that injects faults; tests set them at run time as attributes.

`injected` counts the faults, so that a test can wait until one has happened.
"""
import asyncio
import threading

from cluster import HOST

BLOCK_BYTES = 65536


class FaultProxy:
    """Forwards connections to one server on loopback.

    The attributes cut_after_request, cuts, duplicate and swap are the number
    of times that the fault is still to happen.

    refuse: close each new connection at once
    black_hole: accept requests and forward nothing
    cut_after_request: forward the request, then cut both sides as soon as
        the answer begins
    cut_after_bytes, cuts: cut an answer after cut_after_bytes bytes
    delay: seconds before each block of an answer
    throttle: bytes per second of an answer
    duplicate: send the first block of an answer twice
    swap: exchange the answers of two connections
    status_line: bytes that take the place of the first line of each answer
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
        self.status_line = None
        self.injected = 0
        self.connections = 0
        self._waiting = None
        self._sent = {}  # bytes sent of the current answer, by writer
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait()
        self.address = "%s:%d" % (HOST, self.port)

    def _run(self):
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._serve, HOST, 0))
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
        """Stops the proxy. Cluster calls it as it calls Process.kill()."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def cut_all(self):
        """Cuts every open connection on both sides."""
        self._loop.call_soon_threadsafe(
            lambda: [writer.transport.abort() for writer in self._sent])

    def _use_fault(self, name):
        """Returns whether the fault is due, and counts it."""
        remaining = getattr(self, name)
        if remaining <= 0:
            return False
        setattr(self, name, remaining - 1)
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
            try:
                await reader.read()
            finally:
                writer.close()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                HOST, self.target_port)
        except OSError:
            writer.close()
            return
        self._sent[writer] = 0
        try:
            await asyncio.gather(
                self._forward_requests(reader, writer, upstream_writer),
                self._forward_answers(upstream_reader, writer,
                                      upstream_writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            del self._sent[writer]
            writer.close()
            upstream_writer.close()

    async def _forward_requests(self, reader, writer, upstream):
        while True:
            block = await reader.read(BLOCK_BYTES)
            if not block:
                break
            self._sent[writer] = 0
            upstream.write(block)
            await upstream.drain()
        upstream.close()

    async def _forward_answers(self, upstream, writer, upstream_writer):
        own_writer = writer  # a swap replaces `writer`
        block = await upstream.read(BLOCK_BYTES)
        if block and self._use_fault("cut_after_request"):
            writer.transport.abort()
            upstream_writer.transport.abort()
            return
        if block and self.swap > 0:
            writer = await self._swap_writers(writer)
        if block and self._use_fault("duplicate"):
            writer.write(block)
        while block:
            if self.delay:
                await asyncio.sleep(self.delay)
            if self.throttle:
                await asyncio.sleep(len(block) / self.throttle)
            remaining = self.cut_after_bytes - self._sent[own_writer]
            if self.cuts > 0 and len(block) > remaining:
                self._use_fault("cuts")
                writer.write(block[:max(remaining, 0)])
                await writer.drain()
                writer.close()
                upstream_writer.transport.abort()
                return
            block = self._replace_status_line(block)
            writer.write(block)
            self._sent[own_writer] += len(block)
            await writer.drain()
            block = await upstream.read(BLOCK_BYTES)
        writer.close()

    def _replace_status_line(self, block):
        if self.status_line is None or not block.startswith(b"HTTP/1.1 "):
            return block
        self.injected += 1
        return self.status_line + block[block.index(b"\r\n"):]

    async def _swap_writers(self, writer):
        """Returns the writer of the other connection, waiting until there is
        one."""
        future = self._loop.create_future()
        if self._waiting is None:
            self._waiting = (writer, future)
            return await future
        other_writer, other_future = self._waiting
        self._waiting = None
        self._use_fault("swap")
        other_future.set_result(writer)
        return other_writer
