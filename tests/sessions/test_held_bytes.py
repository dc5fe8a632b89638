"""Bytes that a router keeps for many connections at the same time: each one is
within its own limit, and all together stay within the router's memory."""
import socket
import threading
import time
import unittest

from cluster import BUILD, HOST, wait_for
from fleet import ROUTES, Fleet, route
from test_bad_input import peak_memory

GROWTH_MAX = 24 << 20
FIELDS = 15000  # in a head of at most 16 KiB


def measures_memory():
    """Sanitizers need more memory than the router does."""
    return "asan" not in BUILD


def begin_request(router, head):
    caller = socket.create_connection((HOST, router.port))
    caller.settimeout(5)
    caller.sendall(head)
    return caller


def is_closed(caller, wait_s=5):
    caller.settimeout(wait_s)
    try:
        while caller.recv(65536):
            pass
    except socket.timeout:
        return False
    except OSError:
        pass
    return True


class HeadTest(unittest.TestCase):
    """Heads of many short fields."""

    CALLERS = 100
    REQUEST = (b"POST /write/x HTTP/1.1\r\nHost: shop.example\r\n"
               b"X-Request-Id: short%d\r\nApi-Key: key-a\r\n"
               b"X-Deadline-Ms: 3000\r\n")

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.plain = self.fleet.plain("p1")
        self.router = self.fleet.start(eject_failures="1000")
        self.assertEqual(self.fleet.ask(self.router, "/write/x").status, 200)
        self.before = peak_memory(self.router)

    def assert_flat(self):
        grown = peak_memory(self.router) - self.before
        if measures_memory():
            self.assertLess(grown, GROWTH_MAX)
        self.assertEqual(self.fleet.ask(self.router, "/write/x").status, 200)

    # A field of a byte cost a hundred.
    def test_callers_with_many_short_fields(self):
        callers = [begin_request(self.router, self.REQUEST % number
                                 + b"A:\r\n" * FIELDS)
                   for number in range(self.CALLERS)]
        time.sleep(0.5)
        self.assert_flat()
        for caller in callers:
            answer = caller.recv(4096)
            self.assertIn(b"HTTP/1.1 431", answer)
            self.assertIn(b"too_many_fields", answer)
            self.assertTrue(is_closed(caller))
            caller.close()

    def test_other_listeners(self):
        for port in (self.router.ready_port, self.router.operator_port):
            callers = []
            for _ in range(self.CALLERS):
                caller = socket.create_connection((HOST, port))
                caller.settimeout(5)
                caller.sendall(b"GET / HTTP/1.1\r\n" + b"A:\r\n" * FIELDS)
                callers.append(caller)
            for caller in callers:
                self.assertIn(b"HTTP/1.1 431", caller.recv(4096))
                caller.close()
        self.assert_flat()

    def test_callers_with_many_short_trailers(self):
        callers = [begin_request(self.router, self.REQUEST % number
                                 + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
                                 + b"A:\r\n" * FIELDS)
                   for number in range(self.CALLERS)]
        time.sleep(0.5)
        self.assert_flat()
        for caller in callers:
            caller.close()

    def ask_many(self, send):
        def serve(call, body):
            send(call, call.headers["X-Request-Id"].encode())
            time.sleep(0.5)
        served, self.plain.serve = self.plain.serve, serve
        answers = []
        threads = [threading.Thread(target=lambda: answers.append(
            self.fleet.ask(self.router, "/write/x", wait_ms=2000)))
            for _ in range(self.CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.plain.serve = served
        self.assert_flat()
        return {answer.status for answer in answers}

    def test_answers_with_many_short_fields(self):
        statuses = self.ask_many(lambda call, request_id: call.wfile.write(
            b"HTTP/1.1 200 x\r\nX-Request-Id: %s\r\nX-Server-Seal: s\r\n"
            % request_id + b"A:\r\n" * FIELDS))
        self.assertLessEqual(statuses, {502})


class StoreTest(unittest.TestCase):
    """Answers of the store with many short fields."""

    def check(self, prelude):
        fleet = Fleet()
        self.addCleanup(fleet.close)
        fleet.plain("p1")
        router = fleet.start()
        self.assertEqual(fleet.ask(router, "/write/x").status, 200)
        before = peak_memory(router)
        handle, arrivals = fleet.store.handle, []

        def send_fields(call):
            call.body()
            arrivals.append(time.monotonic())
            call.wfile.write(b"HTTP/1.1 200 x\r\n" + prelude)
            for _ in range(1 << 10):
                call.wfile.write(b"A:\r\n" * 4096)

        fleet.store.handle = send_fields
        end = time.monotonic() + 2
        while time.monotonic() < end:
            self.assertEqual(fleet.ask(router, "/write/x").status, 200)
        fleet.store.handle = handle
        if measures_memory():
            self.assertLess(peak_memory(router) - before, GROWTH_MAX)
        self.assertGreater(len(arrivals), 0)
        self.assertLess(len(arrivals), 100)
        fleet.config(routes=ROUTES + [route("new", "/new/", "idempotent",
                                            "plain")])
        wait_for(lambda: fleet.ask(router, "/new/x").status == 200, "a change")

    # Short answers ended their calls only after 16 MiB, 900 MB in memory.
    def test_a_head(self):
        self.check(b"")

    def test_trailers(self):
        self.check(b"Transfer-Encoding: chunked\r\n\r\n0\r\n")


class SlowCallerTest(unittest.TestCase):
    """Callers that send a byte from time to time."""

    CALLERS = 20
    HEAD = (b"POST /write/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Request-Id: slow\r\nApi-Key: key-a\r\n"
            b"X-Deadline-Ms: 3000\r\n")

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.plain("p1")
        self.router = self.fleet.start(read_timeout="1s")

    def drip(self, head, piece=b"x"):
        callers = [begin_request(self.router, head)
                   for _ in range(self.CALLERS)]
        began = time.monotonic()
        answers = {}
        while len(answers) < len(callers) and time.monotonic() - began < 6:
            for caller in set(callers) - set(answers):
                caller.sendall(piece)
                caller.setblocking(False)
                try:
                    answers[caller] = caller.recv(4096)
                except BlockingIOError:
                    pass
                caller.setblocking(True)
            time.sleep(0.1)
        self.assertLess(time.monotonic() - began, 4)
        for caller, answer in answers.items():
            self.assertIn(b"HTTP/1.1 408", answer)
            self.assertIn(b"request_too_slow", answer)
            self.assertTrue(is_closed(caller))
            caller.close()
        self.assertEqual(self.fleet.ask(self.router, "/write/x").status, 200)
        self.router.wait_event("request_excessive", self.CALLERS)

    # It kept its connection without end.
    def test_a_head(self):
        self.drip(self.HEAD + b"A: ")

    def test_a_body_with_a_length(self):
        self.drip(self.HEAD + b"Content-Length: 1000\r\n\r\n")

    def test_a_body_in_chunks(self):
        self.drip(self.HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
                  b"1\r\nx\r\n")

    def test_a_sound_slow_body(self):
        body = b"x" * 20000
        caller = begin_request(self.router, self.HEAD
                               + b"Content-Length: %d\r\n\r\n" % len(body))
        for at in range(0, len(body), 1000):
            caller.sendall(body[at:at + 1000])
            time.sleep(0.15)
        self.assertIn(b"HTTP/1.1 200", caller.recv(4096))
        caller.close()


class EventTest(unittest.TestCase):
    """Streams that stop within an event, each below the largest size."""

    STREAMS = 300
    ENGINES = 8
    ROUND = b"2710\r\n" + b"x" * 10000 + b"\r\n"

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.released = threading.Event()
        self.addCleanup(self.released.set)
        for number in range(self.ENGINES):
            engine = self.fleet.engine("e%d" % number)
            engine.stream = self.stream_of(engine)
        self.router = self.fleet.start(
            event_max="256KiB", answers_max="4MiB", token_timeout="20s",
            first_token_timeout="20s", eject_failures="1000")

    def stream_of(self, engine):
        stream = engine.stream

        def serve(call, headers):
            if "X-Stops" not in call.headers:
                stream(call, headers)
                return
            call.head(200, {"Transfer_Encoding": "chunked"}, **headers)
            for _ in range(20):
                call.wfile.write(self.ROUND)
            self.released.wait(20)
        return serve

    def ask(self, **more):
        return self.fleet.ask(self.router, "/ask/once/x", **more)

    # Together they took the memory of the machine.
    def test_events_that_stop(self):
        self.assertEqual(self.ask().status, 200)
        before = peak_memory(self.router)
        statuses = []
        threads = [threading.Thread(target=lambda: statuses.append(
            self.ask(X_Stops="1", wait_ms=6000).status))
            for _ in range(self.STREAMS)]
        for thread in threads:
            thread.start()
        time.sleep(3)
        for _ in range(20):
            answer = self.ask()
            self.assertEqual(answer.status, 200)
            self.assertIn(b"piece-4", answer.body)
        self.released.set()
        for thread in threads:
            thread.join()
        if measures_memory():
            self.assertLess(peak_memory(self.router) - before, GROWTH_MAX)
        self.assertGreater(len(self.router.events("event_oversized")), 0)


class UnreadTest(unittest.TestCase):
    """Streams whose callers don't read."""

    STREAMS = 280
    ENGINES = 8
    SECONDS = 14
    REQUEST = (b"POST /ask/once/x HTTP/1.1\r\nHost: shop.example\r\n"
               b"X-Request-Id: unread%d\r\nApi-Key: key-a\r\nX-Model: m\r\n"
               b"X-Deadline-Ms: 20000\r\nX-Token-Usage: 300,10\r\n"
               b"X-Prompt-Prefix: ab:100,cd:100,%x:100\r\n"
               b"Content-Length: 0\r\n\r\n")

    def begin(self, router, number):
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        caller.connect((HOST, router.port))
        caller.sendall(self.REQUEST % (number, number))

    # Each had a buffer, and all buffers more than the machine's memory.
    def test_streams(self):
        fleet = Fleet()
        self.addCleanup(fleet.close)
        fleet.plain("p1")
        for number in range(self.ENGINES):
            engine = fleet.engine("e%d" % number)
            engine.piece, engine.pieces = b"p" * 30000, 1000
        router = fleet.start(answers_max="4MiB", first_token_timeout="20s",
                             token_timeout="20s", eject_failures="1000")
        self.assertEqual(fleet.ask(router, "/write/x").status, 200)
        before = peak_memory(router)
        for number in range(self.STREAMS):
            self.begin(router, number)
        end = time.monotonic() + self.SECONDS
        while time.monotonic() < end:
            self.assertEqual(fleet.ask(router, "/write/x").status, 200)
            time.sleep(0.1)
        if measures_memory():
            self.assertLess(peak_memory(router) - before, 2 * GROWTH_MAX)


if __name__ == "__main__":
    unittest.main()
