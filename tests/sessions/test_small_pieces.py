"""Routers whose machine ends them above the memory of their settings, and
upstreams that send bodies without end, a few bytes at a time."""
import os
import socket
import threading
import time
import unittest

os.environ["WT_BUILD"] = "build"  # sanitizers need more memory
from fleet import Fleet, Upstream  # noqa: E402
from memory import MemoryWatch  # noqa: E402

MEMORY_MB = 48
CALLERS = 60
SECONDS = 3
WAIT_MS = 1000 * SECONDS
PIECE = b"xxxx"
PAUSE_S = 0.001
ENDS = {  # what tells the end of a body
    "length": b"Content-Length: 10000000000\r\n\r\n",
    "connection": b"Connection: close\r\n\r\n",
}


class Trickle(threading.Thread):
    """Sends a piece to each of its connections, again and again."""

    def __init__(self):
        super().__init__(daemon=True)
        self.connections = set()
        self.stopped = threading.Event()

    def send(self, connection):
        try:
            connection.send(PIECE, socket.MSG_DONTWAIT)
        except BlockingIOError:
            pass
        except OSError:
            self.connections.discard(connection)

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
        self.trickle.connections.add(call.connection)
        while call.connection in self.trickle.connections:
            time.sleep(0.05)
        call.close_connection = True


class EndlessBodyTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.trickle = Trickle()
        self.trickle.start()
        self.addCleanup(self.trickle.stopped.set)
        self.upstream = self.fleet.add(TricklingUpstream(
            self.fleet.store, "p1", "plain"))
        self.upstream.trickle = self.trickle
        self.fleet.engine("e1")
        self.router = self.fleet.start(
            memory="%dMiB" % MEMORY_MB, token_timeout="20s",
            first_token_timeout="20s", eject_failures="1000")
        self.watch = MemoryWatch(kills=True)
        self.addCleanup(self.watch.stop)
        self.watched = self.watch.add(self.router.process, MEMORY_MB << 20)

    def call(self):
        try:
            self.fleet.ask(self.router, "/write/x", wait_ms=WAIT_MS)
        except OSError:  # the router has ended
            pass

    def check(self, end):
        self.upstream.end = end
        callers = [threading.Thread(target=self.call, daemon=True)
                   for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        stop = time.monotonic() + SECONDS
        statuses = []
        while time.monotonic() < stop and not self.watched.is_over:
            statuses.append(self.fleet.ask(self.router, "/ask/once/x").status)
            time.sleep(0.05)
        self.watch.stop()
        self.assertFalse(self.watched.is_over, str(self.watched.peak))
        self.assertEqual(set(statuses), {200})

    # Each piece was held in a block of a kilobyte.
    def test_with_a_length(self):
        self.check("length")

    def test_up_to_the_end_of_the_connection(self):
        self.check("connection")


if __name__ == "__main__":
    unittest.main()
