"""Upstreams that refuse requests and ask for a backoff.

Three of nine engines refused all requests for nine seconds and asked for a
backoff of 3 s with each refusal, but got more requests than before:

    6.02 s  an engine refuses a request of a router and asks for 3 s
    6.68, 7.18, 8.04, 8.61 s  it refuses further requests of the same router
"""
import threading
import time
import unittest

from cluster import wait_for
from fleet import SuspendableClock
from pressing import PressingTest

IN_FLIGHT_S = 0.5
BACKOFF_S = 3


class RestTest(PressingTest):
    def request_backoff(self, upstream, routers, backoff=str(BACKOFF_S),
                        path="/ask/x"):
        """Sends requests until `upstream` asks each router to back off."""
        upstream.rest = backoff
        for router in routers:
            events_before = len(self.backoff_events(router, upstream))
            wait_for(lambda r=router, n=events_before:
                     self.press([r], 0.2, path) and
                     len(self.backoff_events(r, upstream)) > n,
                     "asked for rest")

    def backoff_events(self, router, upstream):
        return [line for line in router.events("upstream_rests")
                if line["upstream"] == upstream.name]

    def arrivals_between(self, upstream, since, until=None):
        return [t for t in upstream.arrivals
                if since < t and (until is None or t < until)]

    def check_no_arrivals(self, upstream, routers, path="/ask/x", seconds=1.5):
        time.sleep(IN_FLIGHT_S)
        since = time.monotonic()
        answers = self.press(routers, seconds, path)
        self.assertEqual(self.arrivals_between(upstream, since), [])
        return answers


class AskedTest(RestTest):
    def test_an_engine_that_asked_for_rest_gets_no_stream(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start()
        self.request_backoff(first, routers)
        answers = self.check_no_arrivals(first, routers)
        self.assertEqual({a.status for a in answers}, {200})

    def test_a_service_that_asked_for_rest_gets_no_call(self):
        first = self.fleet.plain("p1")
        second = self.fleet.plain("p2")
        second.pause_s = 0.05
        routers = self.start()
        self.request_backoff(first, routers, path="/write/x")
        answers = self.check_no_arrivals(first, routers, "/write/x")
        self.assertEqual({a.status for a in answers}, {200})

    def test_a_stream_that_ends_whole_does_not_end_the_backoff(self):
        first = self.fleet.engine("e1")
        second = self.fleet.engine("e2")
        router = self.start()[0]
        first.gate = threading.Event()
        streams = [threading.Thread(target=self.ask, args=(router,))
                   for _ in range(8)]
        for stream in streams:
            stream.start()
        wait_for(lambda: first.seen, "under way")
        second.gate = None
        self.request_backoff(first, [router], "4")
        first.gate.set()
        for stream in streams:
            stream.join()
        self.check_no_arrivals(first, [router])

    def test_other_routers_go_on(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start(2)
        self.request_backoff(first, routers[:1])
        first.rest = None
        since = time.monotonic()
        self.press(routers[1:], 1.5)
        self.assertGreater(len(self.arrivals_between(first, since)), 5)


class EndTest(RestTest):
    def test_few_requests_come_at_first_and_then_all(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start()
        self.request_backoff(first, routers, "1.5")
        asked_at = first.arrivals[-1]
        first.rest = None
        self.press(routers, asked_at + 4 - time.monotonic())
        self.assertEqual(
            self.arrivals_between(first, asked_at + 0.05, asked_at + 1.5), [])
        early = self.arrivals_between(first, asked_at + 1.5, asked_at + 2)
        self.assertGreaterEqual(len(early), 1)
        self.assertLessEqual(len(early), 4)
        self.assertGreaterEqual(
            len(self.arrivals_between(first, asked_at + 2.5, asked_at + 3.5)),
            5)

    def test_the_time_counts_for_which_the_machine_is_suspended(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        clock = SuspendableClock(self.fleet.folder.name)
        routers = self.start(environment=clock.environment)
        self.request_backoff(first, routers, "20")
        first.rest = None
        clock.suspend(21)
        wait_for(lambda: self.fleet.is_ready(routers[0]), "ready again")
        since = time.monotonic()
        self.press(routers, 2)
        self.assertGreater(len(self.arrivals_between(first, since)), 5)

    def test_a_new_start_ends_the_backoff(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start()
        self.request_backoff(first, routers, "60")
        first.start_again()
        routers[0].wait_event("upstream_reborn")
        since = time.monotonic()
        self.press(routers, 1)
        self.assertGreater(len(self.arrivals_between(first, since)), 5)

    def test_invalid_backoff_values_are_ignored(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start()
        for rest in ("soon", "-3", "inf", "9" * 400, "1e9",
                     "Fri, 31 Dec 1999 23:59:59 GMT"):
            first.rest = rest
            self.press(routers, 0.3)
        first.rest = None
        since = time.monotonic()
        self.press(routers, 1)
        self.assertGreater(len(self.arrivals_between(first, since)), 3)
        self.assertEqual(self.backoff_events(routers[0], first), [])
        routers[0].wait_event("upstream_notice_unreadable")


class AllRestTest(RestTest):
    def test_all_rest_and_requests_are_refused_at_once(self):
        engines = [self.fleet.engine("e1"), self.fleet.engine("e2")]
        routers = self.start()
        self.request_backoff(engines[0], routers, "30")
        self.request_backoff(engines[1], routers, "4")
        time.sleep(IN_FLIGHT_S)
        since = time.monotonic()
        answers = self.press(routers, 1)
        self.assertLess(time.monotonic() - since, 1.5)
        for engine in engines:
            self.assertEqual(self.arrivals_between(engine, since), [])
        self.assertEqual({a.status for a in answers}, {503})
        self.assertIn(b'"code":"upstreams_resting"', answers[0].body)
        self.assertIn(b'"run":"not_run"', answers[0].body)
        waits = [float(a.headers["Retry-After"]) for a in answers]
        self.assertGreater(min(waits), 1)
        self.assertLess(max(waits), 6)
        self.assertGreater(len(set(waits)), 5)


if __name__ == "__main__":
    unittest.main()
