"""Routers whose machine ends them above the memory of their settings, and
upstreams that send without end, a few bytes at a time."""
import os
import socket
import threading
import time
import unittest
import uuid

os.environ["WT_BUILD"] = "build"  # sanitizers need more memory
from answers import request_bytes  # noqa: E402
from fleet import HOST, Fleet, Upstream  # noqa: E402
from memory import MemoryWatch, resident_bytes  # noqa: E402

MEMORY_MB = 48
CALLERS = 60
# The bytes of a test's pieces make 9 MB at the most, and the machine decides how
# many of them come.
GROWTH_MAX = 16 << 20
SECONDS = 3
PAUSE_S = 0.001
BODY_PIECE = b"xxxx"
ENDS = {  # what tells the end of a body
    "length": b"Content-Length: 10000000000\r\n\r\n",
    "connection": b"Connection: close\r\n\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n",
}
SMALL_CHUNKS = b"1\r\nx\r\n" * 50


EVENT_PIECES = {
    "chunks": b"4\r\nxxxx\r\n",
    "lines": b"4\r\nx:x\n\r\n",
}


class Trickle(threading.Thread):
    """Sends a piece to each of its connections, again and again."""

    def __init__(self):
        super().__init__(daemon=True)
        self.piece = BODY_PIECE
        self.connections = set()
        self.stopped = threading.Event()

    def send(self, connection):
        try:
            connection.send(self.piece, socket.MSG_DONTWAIT)
        except BlockingIOError:
            pass
        except OSError:
            self.connections.discard(connection)

    def serve(self, call):
        """Sends to a caller until it closes."""
        self.connections.add(call.connection)
        while call.connection in self.connections:
            time.sleep(0.05)
        call.close_connection = True

    def run(self):
        while not self.stopped.wait(PAUSE_S):
            for connection in list(self.connections):
                self.send(connection)


class TricklingUpstream(Upstream):
    end = "length"
    trickle = None

    def answer_call(self, call, body, headers):
        call.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        call.wfile.write(b"HTTP/1.1 200 x\r\n" + b"".join(
            b"%s: %s\r\n" % (name.replace("_", "-").encode(), value.encode())
            for name, value in headers.items()) + ENDS[self.end])
        self.trickle.serve(call)


class HintingUpstream(TricklingUpstream):
    def answer_call(self, call, body, headers):
        call.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        call.wfile.write(b"HTTP/1.1 103 x\r\nX-Filler: ")
        self.trickle.serve(call)


class TricklingEngine(Upstream):
    trickle = None

    def stream(self, call, headers):
        call.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        call.head(200, {"Transfer_Encoding": "chunked"}, **headers)
        self.trickle.serve(call)


class TrickleTest(unittest.TestCase):
    """Sound calls beside endless ones."""

    seconds = SECONDS

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.trickle = Trickle()
        self.trickle.start()
        self.addCleanup(self.trickle.stopped.set)
        self.add_upstreams()
        self.upstream.trickle = self.trickle
        self.router = self.fleet.start(
            memory="%dMiB" % MEMORY_MB, token_timeout="20s",
            first_token_timeout="20s", eject_failures="1000")
        self.watch = MemoryWatch(kills=True)
        self.addCleanup(self.watch.stop)
        self.watched = self.watch.add(self.router.process, MEMORY_MB << 20)

    def call(self):
        try:
            self.fleet.ask(self.router, self.PATH, wait_ms=1000 * self.seconds)
        except OSError:  # the router has ended
            pass

    def check(self, growth_max=GROWTH_MAX):
        before = resident_bytes(self.router.process.pid)
        callers = [threading.Thread(target=self.call, daemon=True)
                   for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        stop = time.monotonic() + self.seconds
        statuses = []
        while time.monotonic() < stop and not self.watched.is_over:
            statuses.append(self.fleet.ask(self.router,
                                           self.SOUND_PATH).status)
            time.sleep(0.05)
        self.watch.stop()
        self.assertFalse(self.watched.is_over, str(self.watched.peak))
        self.assertLess(self.watched.peak.total - before, growth_max,
                        str(self.watched.peak))
        self.assertEqual(set(statuses), {200})


class BodyTest(TrickleTest):
    """Bodies of a plain service."""

    PATH, SOUND_PATH = "/write/x", "/ask/once/x"

    def add_upstreams(self):
        self.upstream = self.fleet.add(TricklingUpstream(
            self.fleet.store, "p1", "plain"))
        self.fleet.engine("e1")

    # Each piece was held in a block of a kilobyte.
    def test_with_a_length(self):
        self.check()

    def test_up_to_the_end_of_the_connection(self):
        self.upstream.end = "connection"
        self.check()

    # Each chunk was held in a block of a kilobyte, however many came at once.
    def test_in_small_chunks(self):
        self.upstream.end = "chunks"
        self.trickle.piece = SMALL_CHUNKS
        self.check()


class HeadTest(TrickleTest):
    """Interim heads of a plain service."""

    PATH, SOUND_PATH = "/write/x", "/ask/once/x"

    def add_upstreams(self):
        self.upstream = self.fleet.add(HintingUpstream(
            self.fleet.store, "p1", "plain"))
        self.fleet.engine("e1")

    # Each piece was kept back in a block of a kilobyte.
    def test_interim(self):
        self.check()


class EventTest(TrickleTest):
    """One event of a stream."""

    PATH, SOUND_PATH = "/ask/once/x", "/read/x"

    def add_upstreams(self):
        self.upstream = self.fleet.add(TricklingEngine(
            self.fleet.store, "e1", "engines", "m"))
        self.fleet.plain("p1")

    def test_in_chunks(self):
        self.trickle.piece = EVENT_PIECES["chunks"]
        self.check()

    def test_of_lines(self):
        self.trickle.piece = EVENT_PIECES["lines"]
        self.check()


class UnreadEventsTest(TrickleTest):
    """Events of streams that their callers do not read."""

    PATH, SOUND_PATH = "/ask/once/x", "/read/x"
    seconds = 6

    def add_upstreams(self):
        self.upstream = self.fleet.add(TricklingEngine(
            self.fleet.store, "e1", "engines", "m"))
        self.fleet.plain("p1")
        self.trickle.piece = b"64\r\ndata: %s\n\n\r\n" % (b"x" * 92)

    def call(self):
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect((HOST, self.router.port))
        caller.sendall(request_bytes("POST", self.PATH, uuid.uuid4().hex,
                                     b"x", wait_ms=1000 * self.seconds))

    # Each event was held in a block of a kilobyte, and their callers were
    # given up for want of memory.
    def test_events_that_nobody_reads(self):
        self.check(growth_max=MEMORY_MB << 20)
        self.assertEqual(self.router.events("caller_given_up"), [])


class RequestTest(TrickleTest):
    """Bodies of callers."""

    PATH, SOUND_PATH = "/write/x", "/ask/once/x"
    HEAD = (b"POST /write/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Request-Id: %d\r\nApi-Key: key-b\r\nX-Deadline-Ms: 8000\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n1\r\nx")

    def add_upstreams(self):
        self.upstream = self.fleet.plain("p1")
        self.fleet.engine("e1")

    def call(self):
        connection = socket.create_connection((HOST, self.router.port))
        self.addCleanup(connection.close)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.sendall(self.HEAD % connection.fileno())
        self.trickle.connections.add(connection)

    # Each read was held in its block of a kilobyte.
    def test_reads_that_end_with_the_bytes_of_a_chunk(self):
        self.trickle.piece = b"\r\n1\r\nx"
        self.check()
        self.assertEqual(len(self.trickle.connections), CALLERS)


if __name__ == "__main__":
    unittest.main()
