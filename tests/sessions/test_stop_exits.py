"""Each way in which requests end while their router does after SIGTERM: runs
are counted at the upstreams, answers at the callers."""
import http.client
import math
import random
import signal
import socket
import threading
import time
import unittest

from cluster import HOST, wait_for
from fleet import ROUTES, Fleet, PacedEngine, Upstream, read_parts
from test_stop import is_whole, read_answer, request

GRACE_S = 2
LIMIT_S = 3
LAST_ANSWERS_S = 0.2  # before the limit
SLACK_S = 0.5  # for a busy machine
REFUSED = (429, 503)
LARGE = b"z" * 3000000  # more than the kernel's buffers hold


class Try:
    """One try of a caller: a call or stream, and how it ended."""

    def __init__(self, number, path):
        self.name = "try-%d" % number
        self.path = path
        self.status = None  # None without a whole head
        self.body = b""
        self.is_whole = False
        self.headers = {}
        self.began = time.monotonic()
        self.ended = None

    def read(self, response):
        self.status = response.status
        self.headers = dict(response.headers)
        self.body, self.is_whole = read_parts(response)
        self.ended = time.monotonic()

    def __repr__(self):
        return "%s %s: %s whole=%s %r" % (self.name, self.path, self.status,
                                          self.is_whole, self.body[:60])


class StopExitsTest(unittest.TestCase):
    SETTINGS = {"stop_grace": "%ds" % GRACE_S, "stop_limit": "%ds" % LIMIT_S}

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.service = self.fleet.plain("p1")
        self.engine = self.fleet.add(
            PacedEngine(self.fleet.store, "e1", "engines", "v1"))
        self.engine.model = "m"
        self.engine.list()
        self.tries = []
        self.callers = []
        self.stopping_at = None

    def start(self, **settings):
        self.router = self.fleet.start(**dict(self.SETTINGS, **settings))
        return self.router

    def stop(self, router=None):
        router = router or self.router
        router.signal(signal.SIGTERM)
        router.wait_event("router_stopping")
        self.stopping_at = time.monotonic()

    def sleep_until(self, seconds):
        """Waits until that time after the router was told to end."""
        time.sleep(max(0, self.stopping_at + seconds - time.monotonic()))

    def run_try(self, attempt, router, **more):
        try:
            attempt.read(self.fleet.request(router, attempt.path,
                                            X_Request_Id=attempt.name, **more))
        except (OSError, http.client.HTTPException):
            pass

    def begin(self, path, router=None, **more):
        """Begins a try in a thread of its own."""
        attempt = Try(len(self.tries), path)
        self.tries.append(attempt)
        caller = threading.Thread(target=self.run_try, daemon=True,
                                  args=(attempt, router or self.router),
                                  kwargs=more)
        self.callers.append(caller)
        caller.start()
        return attempt

    def call(self, path, router=None, **more):
        attempt = self.begin(path, router, **more)
        self.callers[-1].join(60)
        return attempt

    def join(self):
        for caller in self.callers:
            caller.join(60)

    def teach(self, path, pause_s=0, calls=5):
        """Lets the router learn how long requests of a route take."""
        self.service.pause_s = pause_s
        self.engine.pause_s = 0
        for _ in range(calls):
            self.begin(path)
        self.join()
        self.assertEqual([a for a in self.tries if a.status != 200], [])

    def runs(self, attempt):
        return sum(headers.get("X-Request-Id") == attempt.name
                   for part in self.fleet.parts[1:]
                   for headers in part.seen)

    def assert_kept(self, attempt):
        """A request that was run has an answer; one that may run once has run
        once at most, and none that was refused as not run has run."""
        runs = self.runs(attempt)
        if attempt.status is None or attempt.status in REFUSED:
            self.assertEqual(runs, 0, attempt)
        if not attempt.path.startswith("/read"):
            self.assertLessEqual(runs, 1, attempt)
        if attempt.status is not None:
            self.assertTrue(attempt.is_whole, attempt)

    def assert_all_kept(self):
        self.join()
        for attempt in self.tries:
            self.assert_kept(attempt)

    def assert_refused(self, attempt):
        self.assertEqual(attempt.status, 503, attempt)
        self.assertEqual(attempt.headers.get("Connection"), "close")
        self.assertIn("Retry-After", attempt.headers)
        self.assert_kept(attempt)

    def assert_end(self, router=None):
        router = router or self.router
        self.assertEqual(router.process.wait(60), 0)
        self.assertEqual(router.faults(), [])


class OutlastingTest(StopExitsTest):
    """Requests of routes that usually take longer than is left of the stop."""

    SECONDS = 1
    LATE_S = GRACE_S - 0.05  # less than SECONDS before the last answers

    def test_a_call_that_would_outlast_the_stop_is_refused_unsent(self):
        """It was sent, and answered 502 at the limit."""
        self.start()
        self.teach("/write/x", self.SECONDS)
        self.stop()
        self.sleep_until(self.LATE_S)
        self.assert_refused(self.call("/write/x"))
        self.assertTrue(self.router.events("request_outlasts_stop"))
        self.assert_end()

    def test_a_stream_that_would_outlast_the_stop_is_refused_unsent(self):
        """It was begun, and broken off at the limit."""
        self.start()
        self.engine.pieces = int(self.SECONDS / PacedEngine.EVENT_S)
        self.teach("/ask/once/x")
        self.stop()
        self.sleep_until(self.LATE_S)
        self.assert_refused(self.call("/ask/once/x"))
        self.assert_end()

    def test_a_call_that_waits_for_room_is_refused_once_it_would_outlast_it(
            self):
        """It was sent when there was room, and answered 502 at the limit."""
        self.start(backoff="100ms")
        self.teach("/write/x", self.SECONDS)
        self.stop()
        self.service.shed = True
        self.sleep_until(1.3)
        waiting = [self.begin("/write/x") for _ in range(8)]
        self.sleep_until(self.LATE_S)
        self.service.shed = False
        self.join()
        for attempt in waiting:
            self.assert_refused(attempt)
        self.assert_end()

    def test_a_short_call_is_served_until_the_grace_ends(self):
        self.start()
        self.teach("/write/x", 0.02)
        self.stop()
        self.sleep_until(self.LATE_S - SLACK_S)
        self.assertEqual(self.call("/write/x").status, 200)
        self.assert_end()

    def test_an_unknown_route_goes_by_the_grace_alone(self):
        self.start()
        self.teach("/write/x", self.SECONDS)
        self.service.pause_s = 0.1
        self.stop()
        self.sleep_until(self.LATE_S - SLACK_S)
        self.assertEqual(self.call("/read/x").status, 200)
        self.assert_end()

    def test_a_call_with_little_time_is_not_refused_for_the_stop(self):
        """Its deadline comes before the end of the stop."""
        self.start()
        self.teach("/write/x", self.SECONDS)
        self.service.pause_s = 0.1
        self.stop()
        self.sleep_until(self.LATE_S - SLACK_S)
        self.assertEqual(self.call("/write/x", wait_ms=600).status, 200)
        self.assert_end()

    def test_requests_under_way_are_not_cut_off(self):
        self.start()
        self.teach("/write/x", self.SECONDS)
        self.engine.pieces = 20
        self.begin("/write/x")
        self.begin("/ask/once/x")
        wait_for(lambda: self.engine.seen and len(self.service.seen) > 5,
                 "requests under way")
        self.stop()
        self.join()
        self.assertEqual([a for a in self.tries if a.status != 200], [])
        self.assert_all_kept()
        self.assert_end()



class TimedService(Upstream):
    """A plain service that works as long as the body of a request says."""

    def run(self, call, body, request_id):
        time.sleep(float(body))
        super().run(call, body, request_id)


class LoadedTest(StopExitsTest):
    """Calls and streams, some longer than the stop, are begun all the while
    at routers that stop."""

    PATHS = ("/write/x", "/read/x", "/ask/x", "/ask/once/x")
    RATE_PER_S = 40
    LONGEST_S = 3.5
    SEED = 1
    SERVED_FIRST = 10
    SERVED = 60

    def setUp(self):
        super().setUp()
        self.rng = random.Random(self.SEED)
        self.timed = self.fleet.add(
            TimedService(self.fleet.store, "p2", "plain"))
        self.service.unlist()
        self.engine.pieces = 30
        self.routers = []

    def start_routers(self, count):
        for number in range(count):
            seeds = {"seeds": self.routers[0].peer_address} \
                if self.routers else {}
            self.routers.append(self.fleet.start(
                name="r%d" % number, peers=seeds, **self.SETTINGS))
        self.router = self.routers[0]

    def load(self):
        """Begins tries until `load_end`, each at any router."""
        while time.monotonic() < self.load_end:
            body = b"%.2f" % (self.rng.random() ** 4 * self.LONGEST_S)
            self.begin(self.rng.choice(self.PATHS),
                       self.rng.choice(self.routers), body=body)
            time.sleep(1 / self.RATE_PER_S)

    def load_beside(self, seconds):
        """Begins tries for some time, of which the first second, or on a busy
        machine as long as it takes for some answers, has passed already. They
        are less than what each test asks for in the end."""
        self.load_end = math.inf
        loader = threading.Thread(target=self.load, daemon=True)
        loader.start()
        time.sleep(1)
        wait_for(lambda: self.count_served() > self.SERVED_FIRST, "answers")
        self.load_end = time.monotonic() + seconds - 1
        return loader

    def count_served(self):
        return sum(a.status == 200 and a.is_whole for a in self.tries)

    def is_excused(self, attempt):
        """Streams may be broken off at the limit, where the caller sees
        it."""
        return attempt.path.startswith("/ask") and not attempt.is_whole

    def assert_load_kept(self):
        self.join()
        for attempt in self.tries:
            if not self.is_excused(attempt):
                self.assert_kept(attempt)
        self.assertGreater(self.count_served(), self.SERVED)
        for router in self.routers:
            self.assert_end(router)

    def test_routers_that_stop_in_series(self):
        self.start_routers(3)
        loader = self.load_beside(4)
        for router in self.routers:
            self.stop(router)
            time.sleep(0.5)
        loader.join()
        self.assert_load_kept()

    def test_signals_during_the_stop_change_nothing(self):
        self.start_routers(1)
        loader = self.load_beside(4.5)
        self.stop()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT) * 3:
            time.sleep(0.2)
            self.router.signal(number)
        loader.join()
        self.assert_load_kept()

    def test_a_release_and_configurations_during_the_stop(self):
        self.start_routers(2)
        loader = self.load_beside(4.5)
        self.stop(self.routers[0])
        self.fleet.add(TimedService(self.fleet.store, "p3", "plain"))
        self.stop(self.routers[1])
        self.timed.leaving = True
        self.timed.state = "draining"
        self.timed.list()
        for number in range(4):
            time.sleep(0.3)
            self.fleet.config(routes=[
                dict(fields, timeout_ms=20000 - number)
                for fields in ROUTES])
        loader.join()
        self.assert_load_kept()


class LongAnswers(Upstream):
    """A plain service with answers that the kernel's buffers do not hold."""

    def answer_call(self, call, body, headers):
        call.head(200, {"Content_Length": str(len(LARGE))}, **headers)
        call.wfile.write(LARGE)


class TransferTest(StopExitsTest):
    """Bodies and answers that are on their way while a router stops."""

    def connect(self):
        connection = socket.create_connection(
            (HOST, self.router.port), timeout=60)
        self.addCleanup(connection.close)
        return connection

    def send_half(self):
        """Sends a head and half of a large body."""
        connection = self.connect()
        head = request("large").replace(
            b"Content-Length: 1\r\n", b"Content-Length: %d\r\n" % len(LARGE))
        connection.sendall(head[:-1] + LARGE[:len(LARGE) // 2])
        return connection

    def send_rest(self, connection):
        try:
            connection.sendall(LARGE[len(LARGE) // 2:])
        except OSError:
            pass
        return read_answer(connection)

    def test_a_body_half_sent_at_the_signal_is_served_in_the_grace(self):
        self.start(max_body="16MiB")
        connection = self.send_half()
        time.sleep(0.3)
        self.stop()
        self.sleep_until(GRACE_S - SLACK_S)
        answer = self.send_rest(connection)
        self.assertEqual(answer[:13], b"HTTP/1.1 200 ")
        self.assertTrue(is_whole(answer))
        self.assertEqual(len(self.service.seen), 1)
        self.assert_end()

    def test_a_body_that_is_whole_after_the_grace_has_not_run(self):
        """It is refused, or its connection ends before it is whole."""
        self.start(max_body="16MiB")
        self.engine.pieces = 48  # which take longer than the grace
        connection = self.send_half()
        stream = self.begin("/ask/x")
        wait_for(lambda: self.engine.seen, "the stream")
        self.stop()
        self.sleep_until(GRACE_S + 0.2)
        answer = self.send_rest(connection)
        self.assertEqual(answer[:13], b"HTTP/1.1 503 ")
        self.assertTrue(is_whole(answer))
        self.assertEqual(self.service.seen, [])
        self.join()
        self.assertTrue(stream.is_whole, stream)
        self.assert_end()

    def test_an_answer_that_is_read_slowly_is_whole(self):
        """Its request was no longer open when the grace ended."""
        self.fleet.add(LongAnswers(self.fleet.store, "p2", "plain"))
        self.service.unlist()
        self.start()
        connection = self.connect()
        connection.sendall(request("slow"))
        time.sleep(0.3)
        self.stop()
        self.sleep_until(GRACE_S + 0.3)
        self.assertIsNone(self.router.process.poll())
        answer = read_answer(connection)
        self.assertEqual(answer[:13], b"HTTP/1.1 200 ")
        self.assertTrue(is_whole(answer))
        self.assert_end()


class UnreadAtLimitTest(StopExitsTest):
    LENGTH = 200000  # more than the router's buffer, less than a system's

    # The end of an answer that its caller still read was dropped.
    def test_the_kernel_sends_the_rest_of_an_answer(self):
        self.start(stop_limit="3s")
        self.service.answer_call = self.answer_call
        connection = socket.socket()
        self.addCleanup(connection.close)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.connect((HOST, self.router.port))
        connection.sendall(request("slow"))
        self.router.wait_event("request_done")
        self.stop()
        self.assert_end()
        answer = read_answer(connection)
        self.assertEqual(answer[:13], b"HTTP/1.1 200 ")
        self.assertTrue(is_whole(answer), len(answer))
        self.assertEqual(self.router.events("answer_unsent"), [])

    def answer_call(self, call, _, headers):
        call.head(200, {"Content_Length": str(self.LENGTH)}, **headers)
        call.wfile.write(self.LENGTH * b"x")


class KillTest(StopExitsTest):
    """A router that its platform kills some time after SIGTERM."""

    KILL_S = 4  # so that a busy machine connects before the limit
    SETTINGS = {"stop_grace": "2800ms\nstop_kill = %ds" % KILL_S}

    def test_requests_end_before_the_kill(self):
        """They were cut off by it, as grace and limit were longer."""
        self.start()
        self.service.pause_s = 10
        long = self.begin("/write/x")
        wait_for(lambda: self.service.seen, "the call")
        self.stop()
        killer = threading.Timer(self.KILL_S, self.router.process.kill)
        killer.start()
        self.addCleanup(killer.cancel)
        self.sleep_until(self.KILL_S / 2)
        self.assert_refused(self.call("/write/x"))
        self.join()
        self.assertEqual(long.status, 502)
        self.assert_all_kept()
        self.assert_end()


class NoGraceTest(LoadedTest):
    """The same without a grace, with a limit that is nearly reached."""

    SETTINGS = {"stop_grace": "0s", "stop_limit": "1500ms"}
    SERVED = 20


if __name__ == "__main__":
    unittest.main()
