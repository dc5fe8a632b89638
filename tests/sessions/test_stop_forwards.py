"""Stops of routers while one without a path to upstreams forwards requests."""
import http.client
import random
import signal
import threading
import time
import unittest

from fleet import read_parts
from test_forwarding import ForwardedTest

GRACE_S = 2
LIMIT_S = 3
SECONDS = 1  # that a call takes
LATE_S = GRACE_S - 0.05  # less than SECONDS before the last answers
LONGER = 1.5  # seconds that a call takes
# Less than LONGER before the last answers, with time for a busy machine to
# connect before the router closes its listener.
EARLY_S = GRACE_S - 0.5
REFUSED = (429, 503)
WARM_UPS = 6


class StopForwardTest(ForwardedTest):
    def start_router(self, name, **more):
        super().start_router(name, stop_grace="%ds" % GRACE_S,
                             stop_limit="%ds" % LIMIT_S, backoff="100ms",
                             **more)

    def setUp(self):
        super().setUp()
        self.lock = threading.Lock()
        self.answers = {}  # name -> (path, status, is whole)
        self.callers = []

    def run_call(self, router, path, name):
        status, is_whole = None, False
        try:
            response = self.fleet.request(router, path, X_Request_Id=name)
            status = response.status
            _, is_whole = read_parts(response)
        except (OSError, http.client.HTTPException):
            pass
        with self.lock:
            self.answers[name] = (path, status, is_whole)

    def begin(self, name, path):
        call = "stop-%d" % len(self.callers)
        caller = threading.Thread(target=self.run_call, daemon=True,
                                  args=(self.routers[name], path, call))
        self.callers.append(caller)
        caller.start()
        return call

    def join(self):
        for caller in self.callers:
            caller.join(60)

    def stop(self, name):
        self.routers[name].signal(signal.SIGTERM)
        self.routers[name].wait_event("router_stopping")
        return time.monotonic()

    def runs(self, call):
        return sum(headers.get("X-Request-Id") == call
                   for upstream in self.upstreams
                   for headers in upstream.seen)

    def assert_kept(self):
        """A request that was run has an answer, one that may run once has run
        once at most, and none that was refused as not run has run."""
        self.join()
        for call, (path, status, is_whole) in self.answers.items():
            runs = self.runs(call)
            if status is None or status in REFUSED:
                self.assertEqual(runs, 0, (call, path, status))
            if not path.startswith("/read"):
                self.assertLessEqual(runs, 1, (call, path, status))
            if status is not None:
                self.assertTrue(is_whole, (call, path, status))

    def assert_end(self, name):
        self.assertEqual(self.routers[name].process.wait(60), 0)
        self.assertEqual(self.routers[name].faults(), [])

    def count(self, status):
        return sum(answer[1] == status for answer in self.answers.values())

    def assert_served(self, begun):
        """The calls that were begun first are served."""
        self.assertGreater(begun, 0)
        for number in range(begun):
            self.assertEqual(self.answers["stop-%d" % number][1], 200)

    def load(self, seconds):
        """Begins calls that take up to SECONDS at the router without path."""
        rng = random.Random(1)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.plain.pause_s = rng.random() * SECONDS
            self.begin("r0", rng.choice(("/write/x", "/read/x", "/ask/x")))
            time.sleep(0.05)

    def test_the_router_that_a_request_was_forwarded_to_stops(self):
        self.lose("r0")
        loader = threading.Thread(target=self.load, args=(4,))
        loader.start()
        time.sleep(0.5)
        self.stop("r1")
        loader.join()
        self.assert_kept()
        self.assertEqual(self.count(200), len(self.answers))
        self.assert_end("r1")

    def test_both_routers_that_requests_were_forwarded_to_stop(self):
        self.lose("r0")
        loader = threading.Thread(target=self.load, args=(4,))
        loader.start()
        time.sleep(0.5)
        self.stop("r1")
        time.sleep(0.5)
        begun = len(self.callers)
        self.stop("r2")
        loader.join()
        self.assert_kept()
        self.assert_served(begun)
        for name in ("r1", "r2"):
            self.assert_end(name)

    def test_the_router_that_forwards_stops(self):
        self.lose("r0")
        loader = threading.Thread(target=self.load, args=(3.5,))
        loader.start()
        time.sleep(0.5)
        begun = len(self.callers)
        self.stop("r0")
        loader.join()
        self.assert_kept()
        self.assert_served(begun)
        self.assert_end("r0")

    def test_a_forwarded_call_that_would_outlast_a_stop_goes_elsewhere(self):
        """It was run at a router that was to end, and answered 502."""
        self.plain.pause_s = SECONDS
        for name in ("r1", "r2"):
            for _ in range(WARM_UPS):
                self.begin(name, "/write/x")
        self.join()
        self.lose("r0")
        stopped = self.stop("r1")
        time.sleep(max(0, stopped + LATE_S - time.monotonic()))
        for _ in range(4):
            self.begin("r0", "/write/x")
        self.assert_kept()
        self.assertEqual(self.count(200), len(self.answers))
        self.assert_end("r1")

    def test_a_forwarded_call_that_waits_for_room_at_a_stop_goes_elsewhere(
            self):
        """It was answered 503 although the other router could serve it."""
        self.plain.pause_s = SECONDS
        for name in ("r1", "r2"):
            for _ in range(WARM_UPS):
                self.begin(name, "/write/x")
        self.join()
        self.lose("r0")
        self.plain.shed = True
        for _ in range(8):
            self.begin("r0", "/write/x")
            time.sleep(0.02)
        stopped = self.stop("r1")
        time.sleep(max(0, stopped + LATE_S - time.monotonic()))
        self.plain.shed = False
        self.assert_kept()
        reasons = [event["reason"] for event
                   in self.routers["r1"].events("request_refused")]
        self.assertIn("stopping", reasons)
        self.assertEqual(self.count(200), len(self.answers))
        self.assert_end("r1")

    def test_a_call_that_would_outlast_the_forwarding_router_is_not_sent(
            self):
        """It was forwarded, run, and answered 502."""
        self.plain.pause_s = LONGER
        for _ in range(WARM_UPS):
            self.begin("r0", "/write/x")
        self.join()
        self.lose("r0")
        stopped = self.stop("r0")
        time.sleep(max(0, stopped + EARLY_S - time.monotonic()))
        late = self.begin("r0", "/write/x")
        self.assert_kept()
        self.assertEqual(self.answers[late][1], 503)
        self.assert_end("r0")


if __name__ == "__main__":
    unittest.main()
