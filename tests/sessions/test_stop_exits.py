"""Each way in which requests end while their router does after SIGTERM: runs
are counted at the upstreams, answers at the callers."""
import http.client
import signal
import socket
import threading
import time
import unittest

from cluster import wait_for
from fleet import CUSTOMERS, ROUTES, Fleet, PacedEngine, Upstream, read_parts
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


if __name__ == "__main__":
    unittest.main()
