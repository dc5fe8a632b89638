"""Routers whose machine ends them above the memory of their settings, by what
is resident and what the kernel holds for their sockets."""
import os
import socket
import threading
import time
import unittest

os.environ["WT_BUILD"] = "build"  # sanitizers need more memory
from cluster import HOST
from fleet import Fleet  # noqa: E402
from memory import MemoryWatch  # noqa: E402

MEMORY_MB = 110
HEAD = (b"POST /write/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"X-Request-Id: paused%d\r\nApi-Key: key-a\r\n"
        b"X-Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n")


class PausedBodyTest(unittest.TestCase):
    """Callers that stop before the last byte of a body."""

    PAUSE_S = 4

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.plain("p1")
        self.router = self.fleet.start(memory="%dMiB" % MEMORY_MB,
                                       read_timeout="60s")
        self.watch = MemoryWatch(kills=True)
        self.addCleanup(self.watch.stop)
        self.watched = self.watch.add(self.router.process, MEMORY_MB << 20)

    def send(self, number, size):
        caller = socket.create_connection((HOST, self.router.port))
        with caller:
            caller.settimeout(20)
            try:
                caller.sendall(HEAD % (number, size) + b"x" * (size - 1))
                time.sleep(self.PAUSE_S)
                caller.sendall(b"x")
                return caller.recv(4096)[:12]
            except OSError:
                return b""

    def assert_within_memory(self, callers, size):
        answers = []

        def call(number):
            answers.append(self.send(number, size))
        threads = [threading.Thread(target=call, args=(number,))
                   for number in range(callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.watch.stop()
        self.assertFalse(self.watched.is_over, str(self.watched.peak))
        self.assertEqual(self.fleet.ask(self.router, "/write/x").status, 200)
        self.assertIn(b"HTTP/1.1 200", answers)

    # A body that paused gave its claim back, and its bytes stayed.
    def test_large_bodies(self):
        self.assert_within_memory(60, 2000000)

    def test_many_bodies(self):
        self.assert_within_memory(400, 1000000)


if __name__ == "__main__":
    unittest.main()
