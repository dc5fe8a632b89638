"""Many callers whose requests arrive in part take a router over its memory, by
what is resident and what the kernel holds for its sockets."""
import os
import resource
import signal
import socket
import time
import unittest

os.environ["WT_BUILD"] = "build"  # sanitizers need more memory
from cluster import HOST
from fleet import Fleet  # noqa: E402
from memory import MemoryWatch  # noqa: E402

MEMORY_MB = 110
DESCRIPTORS = 10000
HEAD = (b"POST /write/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"X-Request-Id: part%d\r\nApi-Key: key-b\r\n"
        b"X-Deadline-Ms: 20000\r\n")
LENGTH = b"Content-Length: %d\r\n\r\n"


class Sender:
    """A caller that sends as far as the router takes the bytes."""

    def __init__(self, port, data):
        self.socket = socket.create_connection((HOST, port))
        self.socket.setblocking(False)
        self.left = memoryview(data)

    def send(self):
        try:
            while self.left:
                self.left = self.left[self.socket.send(self.left):]
        except BlockingIOError:
            pass
        except OSError:  # refused
            self.left = memoryview(b"")


class ArrivalsTest(unittest.TestCase):
    HOLD_S = 2

    def setUp(self):
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, before[1]))
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, before)
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.plain("p1")
        self.router = self.fleet.start(memory="%dMiB" % MEMORY_MB,
                                       read_timeout="60s")
        self.watch = MemoryWatch(kills=True)
        self.addCleanup(self.watch.stop)
        self.watched = self.watch.add(self.router.process, MEMORY_MB << 20)
        self.senders = []

    def begin(self, number, rest):
        for index in range(number):
            sender = Sender(self.router.port, HEAD % index + rest)
            self.addCleanup(sender.socket.close)
            self.senders.append(sender)
            sender.send()

    def send_on(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for sender in self.senders:
                sender.send()
            time.sleep(0.05)

    def assert_within_memory(self):
        self.send_on(self.HOLD_S)
        self.assertIsNone(self.router.process.poll(), str(self.watched.peak))
        for _ in range(5):
            answer = self.fleet.ask(self.router, "/write/x", body=b"x" * 600)
            self.assertEqual(answer.status, 200, answer.body)
        self.watch.stop()
        self.assertFalse(self.watched.is_over, str(self.watched.peak))

    # Heads and their fields were bounded by nothing in sum.
    def test_heads_that_pause(self):
        self.begin(4000, b"X-F: y\r\n" * 245)
        self.assert_within_memory()

    # Bodies that need no claim, and long heads.
    def test_short_bodies_that_pause(self):
        self.begin(3700, (b"X-F: %s\r\n" % (b"y" * 1000)) * 14
                   + LENGTH % 16000 + b"x" * 15000)
        self.assert_within_memory()

    # The kernel held a part of each body that waited for room.
    def test_many_bodies_that_wait(self):
        self.begin(1200, LENGTH % 100000 + b"x" * 99999)
        self.assert_within_memory()

    # Nothing was read meanwhile, and the kernel took what came.
    def test_a_router_that_stood_still(self):
        body = b"x" * 3999999
        self.begin(400, LENGTH % 4000000)
        for sender in self.senders:
            sender.left = memoryview(body)
        self.router.process.send_signal(signal.SIGSTOP)
        self.send_on(1)
        self.router.process.send_signal(signal.SIGCONT)
        self.assert_within_memory()

    # Connections that were not accepted yet took as much each as accepted ones.
    def test_connections_that_wait_in_the_accept_queue(self):
        self.router.process.send_signal(signal.SIGSTOP)
        self.begin(3700, LENGTH % 100000 + b"x" * 30000)
        self.send_on(0.5)
        self.router.process.send_signal(signal.SIGCONT)
        self.assert_within_memory()


if __name__ == "__main__":
    unittest.main()
