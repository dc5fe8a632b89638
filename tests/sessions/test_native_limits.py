"""Rate limits that engines and services announce on the native interface."""
import time
import unittest

from cluster import Cluster
from pressing import press_in_turn

# The count of a limit varies by two requests between two times, the one that a
# limit saves up and the one that it may owe. The least that is expected after
# both spans allows for one of them and a tenth of the limit.
SPANS_S = (4, 6)
BODY = {"model": "m", "prompt": "What is open today?", "max_tokens": 3}


def complete(router, number):
    return router.complete(dict(BODY, prompt="%d %s" % (number, "word " * 80)))


class NativeLimitsTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def check_use(self, send, count):
        """Presses against a limit of two requests a second."""
        before = count()
        pressed_s = 0
        for span_s in SPANS_S:
            pressed_s += span_s
            self.assertEqual(set(press_in_turn(span_s, send)), {200})
            received = count() - before
            self.assertLessEqual(received, 2 * pressed_s + 3)
        self.assertGreaterEqual(received, 0.9 * 2 * pressed_s - 1)

    def test_engines_get_what_they_take(self):
        first = self.cluster.engine("e1")
        self.cluster.engine("e2")
        routers = self.cluster.start("r1", "r2")
        first.control(limit_milli=2000)
        press_in_turn(1, lambda n: complete(routers[n % 2], n))
        self.check_use(lambda n: complete(routers[n % 2], n),
                       lambda: first.state()["asked"])
        first.control(limit_milli=-1)
        press_in_turn(1.5, lambda n: complete(routers[n % 2], n))
        before = first.state()["asked"]
        press_in_turn(1, lambda n: complete(routers[n % 2], n))
        self.assertGreaterEqual(first.state()["asked"] - before, 8)

    def test_requests_beyond_all_limits_are_refused_at_once(self):
        first = self.cluster.engine("e1")
        router = self.cluster.start()
        first.control(limit_milli=1000)
        press_in_turn(0.5, lambda n: complete(router, n))
        before = first.state()["asked"]
        statuses = press_in_turn(3, lambda n: complete(router, n))
        received = first.state()["asked"] - before
        self.assertLessEqual(received, 3 + 2)
        self.assertEqual(set(statuses), {200, 503})
        refused = complete(router, 0)
        if refused.status == 503:
            self.assertEqual(refused.json()["error"]["code"],
                             "upstreams_limited")
            self.assertEqual(refused.json()["error"]["run"], "not_run")
        self.assertGreater(router.count("refusals_total{reason=\"upstreams_"
                                        "limited\""), 0)

    def test_services_get_what_they_take(self):
        first = self.cluster.service("s1", "notes")
        self.cluster.service("s2", "notes")
        routers = self.cluster.start("r1", "r2")

        def send(number):
            return routers[number % 2].complete(
                {}, path="/v1/services/notes/x")
        first.control(limit_milli=2000)
        press_in_turn(1, send)
        self.check_use(send, lambda: self.count_requests(first))

    def count_requests(self, service):
        return sum(service.call("GET", "/records").values())

    def test_a_resume_waits_for_room(self):
        first = self.cluster.engine("e1", decode_ms=5)
        router = self.cluster.start()
        first.control(limit_milli=1000)
        press_in_turn(0.3, lambda n: complete(router, n))
        time.sleep(1.2)
        first.control(cut_after=2, cuts=2)
        before = first.state()["asked"]
        start_s = time.monotonic()
        stream = router.stream(dict(BODY, max_tokens=8))
        self.assertEqual(len(stream.read().tokens()), 8)
        self.assertGreaterEqual(time.monotonic() - start_s, 1)
        self.assertEqual(first.state()["asked"] - before, 3)


if __name__ == "__main__":
    unittest.main()
