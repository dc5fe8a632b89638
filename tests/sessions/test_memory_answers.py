"""Routers whose machine ends them above the memory of their settings: callers
that don't read streams and answers, and upstreams that don't read bodies."""
import os
import socket
import threading
import time
import unittest

os.environ["WT_BUILD"] = "build"  # sanitizers need more memory
from cluster import HOST
from fleet import ROUTES, Fleet, Upstream, route  # noqa: E402
from memory import MemoryWatch, Queues, Use  # noqa: E402

MEMORY_MB = 110
LONG_ANSWER = b"y" * (1 << 20)
HEAD = (b"POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: held%d\r\n"
        b"Api-Key: key-a\r\nX-Deadline-Ms: 20000\r\nX-Model: m\r\n"
        b"X-Token-Usage: 300,10\r\nX-Prompt-Prefix: ab:100,cd:100,%x:100\r\n"
        b"Content-Length: %d\r\n\r\n")
ENGINES = 4
STREAMS = 250
FEW_STREAMS = 60
UNREAD_MAX = 65535  # a window without scaling
SETTLE_S = 1.5
ANSWERS = 150
BODIES = 66
BODY_BYTES = 1000000
LONG_ROUTES = 8000
SECONDS = 3


class PausingUpstream(Upstream):
    """Reads a body, and answers, after a pause."""

    unread_s = 0
    answer_s = 0

    def handle(self, call):
        if call.path.startswith("/write/late"):
            time.sleep(self.unread_s)
        super().handle(call)

    def answer_call(self, call, body, headers):
        if call.path.startswith("/write/late"):
            time.sleep(self.answer_s)
        if not call.path.startswith("/read/long"):
            super().answer_call(call, body, headers)
            return
        call.head(200, {"Content_Length": str(len(LONG_ANSWER))}, **headers)
        call.wfile.write(LONG_ANSWER)


class HeldBytesTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        for number in range(ENGINES):
            engine = self.fleet.engine("e%d" % number)
            engine.piece, engine.pieces = b"p" * 30000, 1000
        self.plains = [self.fleet.add(PausingUpstream(
            self.fleet.store, "p%d" % number, "plain")) for number in range(2)]
        self.router = self.fleet.start(
            memory="%dMiB" % MEMORY_MB, read_timeout="60s",
            token_timeout="20s", first_token_timeout="20s",
            eject_failures="1000")
        self.watch = MemoryWatch(kills=True)
        self.addCleanup(self.watch.stop)
        self.watched = self.watch.add(self.router.process, MEMORY_MB << 20)

    def connect(self):
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        caller.connect((HOST, self.router.port))
        return caller

    def begin(self, path, count):
        for number in range(count):
            self.connect().sendall(HEAD % (path, number, number, 0))

    def send_body(self, number):
        caller = self.connect()
        try:
            caller.sendall(HEAD % (b"/write/late", number, number, BODY_BYTES)
                           + b"x" * BODY_BYTES)
        except OSError:  # refused
            pass

    def begin_bodies(self):
        for number in range(BODIES):
            threading.Thread(target=self.send_body, args=(number,),
                             daemon=True).start()

    def set_pauses(self, **seconds):
        for plain in self.plains:
            for name, value in seconds.items():
                setattr(plain, name, value)

    def assert_within_memory(self, others={200}):
        """Calls of other callers get these answers meanwhile."""
        answers = []
        end = time.monotonic() + SECONDS
        while time.monotonic() < end and not self.watched.is_over:
            answers.append(self.fleet.ask(self.router, "/read/x").status)
            time.sleep(0.05)
        self.watch.stop()
        self.assertFalse(self.watched.is_over, str(self.watched.peak))
        self.assertLessEqual(set(answers), others)

    # Each had buffers of megabytes in the kernel.
    def test_streams(self):
        self.begin(b"/ask/once/x", STREAMS)
        self.assert_within_memory()

    # The kernel held up to 117 KB unread for each.
    def test_what_upstreams_of_unread_streams_send(self):
        self.begin(b"/ask/once/x", FEW_STREAMS)
        time.sleep(SETTLE_S)
        use = Use.of(self.router.process.pid, Queues())
        self.assertLessEqual(use.unread, FEW_STREAMS * UNREAD_MAX, str(use))
        self.assert_within_memory()

    def test_answers(self):
        self.begin(b"/read/long", ANSWERS)
        self.assert_within_memory(others={200, 503})

    # The kernel held each body once more.
    def test_bodies_that_upstreams_do_not_read(self):
        self.set_pauses(unread_s=SECONDS)
        self.begin_bodies()
        self.assert_within_memory(others={200, 503})

    def test_streams_beside_bodies(self):
        self.set_pauses(answer_s=SECONDS)
        self.begin_bodies()
        self.begin(b"/ask/once/x", STREAMS)
        self.assert_within_memory()

    def test_long_configuration_beside_both(self):
        self.set_pauses(answer_s=SECONDS)
        self.begin_bodies()
        self.begin(b"/ask/once/x", STREAMS)
        self.fleet.config(routes=ROUTES + [
            route("r%d" % number, "/n%d/" % number, "idempotent", "plain")
            for number in range(LONG_ROUTES)])
        self.assert_within_memory()


if __name__ == "__main__":
    unittest.main()
