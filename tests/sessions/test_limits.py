"""Rate limits of customers, which apply to all routers together."""
import time
import unittest

from cluster import wait_for
from fleet import Fleet


def customer(name, **limit):
    return dict({"name": name, "api_keys": ["key-" + name]}, **limit)


class LimitsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    def start(self, count, *customers):
        """Starts count routers and waits until they know each other."""
        self.fleet.config(customers=list(customers))
        routers = []
        for number in range(count):
            seeds = ", ".join(r.peer_address for r in routers)
            peers = {"seeds": seeds} if seeds else {}
            routers.append(self.fleet.router("r%d" % number, peers=peers))
        for router in routers:
            wait_for(lambda r=router: self.fleet.is_ready(r), "ready")
            wait_for(lambda r=router:
                     len(r.events("member_joined")) >= count - 1, "peers")
        return routers

    def send_requests(self, routers, count, path="/read/x", **more):
        """Sends count requests to the routers in turn, returns statuses."""
        return [self.fleet.ask(routers[n % len(routers)], path, **more).status
                for n in range(count)]

    def wait_version(self, routers, version):
        for router in routers:
            wait_for(lambda r=router: any(
                e["version"] == str(version)
                for e in r.events("config_in_force")), "version")


class SharedTest(LimitsTest):
    def test_a_limit_holds_over_all_routers(self):
        plain = self.fleet.plain("p1")
        routers = self.start(3, customer("a", rate_per_s=2, burst=4),
                             customer("b"))
        begin_s = time.monotonic()
        statuses = self.send_requests(routers, 45)
        elapsed_s = time.monotonic() - begin_s
        self.assertLessEqual(statuses.count(200), 4 + 2 * elapsed_s + 1)
        self.assertGreaterEqual(statuses.count(200), 1)
        self.assertEqual(set(statuses), {200, 429})
        self.assertEqual(len(plain.seen), statuses.count(200))
        self.assertEqual(self.send_requests(routers, 9, key="key-b"),
                         [200] * 9)

    def test_who_is_refused_is_told_when_there_is_room(self):
        self.fleet.plain("p1")
        routers = self.start(2, customer("a", rate_per_s=2, burst=2))
        self.send_requests(routers, 6)
        refused = self.fleet.ask(routers[0], "/read/x")
        self.assertEqual(refused.status, 429)
        self.assertIn(b'"code":"rate_limited"', refused.body)
        self.assertIn(b'"run":"not_run"', refused.body)
        wait_s = float(refused.headers["Retry-After"])
        self.assertTrue(0 < wait_s <= 10, wait_s)
        line = routers[0].wait_event("request_limited")[0]
        self.assertEqual((line["customer"], line["per_s"]), ("a", "2"))
        for key in ("left", "by", "age_ms", "units", "retry_after_ms"):
            self.assertIn(key, line)
        time.sleep(wait_s + 0.1)
        self.assertEqual(self.fleet.ask(routers[0], "/read/x").status, 200)

    def test_tokens_are_counted_of_prompt_and_answer(self):
        self.fleet.engine("e1")
        self.fleet.plain("p1")
        routers = self.start(2, customer("a", unit="tokens", rate_per_s=100,
                                         burst=1000, plain_tokens=1))
        first = self.send_requests(routers, 1, "/ask/x")
        second = self.send_requests(routers, 2, "/ask/x")
        self.assertEqual(first, [200])
        self.assertIn(429, second)
        line = (routers[0].events("request_limited") +
                routers[1].events("request_limited"))[0]
        self.assertEqual(line["units"], "310")
        wait_for(lambda: self.send_requests(routers, 1)[0] == 200,
                 "room for a plain call")

    def test_what_did_not_run_is_given_back(self):
        plain = self.fleet.plain("p1")
        plain.shed = True
        routers = self.start(1, customer("a", rate_per_s=0.001, burst=1))
        self.assertEqual(self.send_requests(routers, 3), [503] * 3)
        plain.shed = False
        self.assertEqual(self.send_requests(routers, 2), [200, 429])

    def test_the_others_go_on_without_the_router_that_counts(self):
        self.fleet.plain("p1")
        routers = self.start(3, customer("a", rate_per_s=20, burst=20))
        self.assertIn(200, self.send_requests(routers, 6))
        routers[0].kill()
        remaining = routers[1:]
        wait_for(lambda: self.send_requests(remaining, 1)[0] == 200, "served")
        begin_s = time.monotonic()
        statuses = []
        while time.monotonic() - begin_s < 2:
            statuses += self.send_requests(remaining, 10)
        elapsed_s = time.monotonic() - begin_s
        self.assertLessEqual(statuses.count(200), 20 + 20 * elapsed_s + 2)
        self.assertGreaterEqual(statuses.count(200), 20)


class ChangeTest(LimitsTest):
    def test_a_limit_is_lowered_raised_and_taken_off(self):
        self.fleet.plain("p1")
        routers = self.start(2, customer("a", rate_per_s=1000, burst=1000))
        self.assertEqual(self.send_requests(routers, 20), [200] * 20)
        self.fleet.config(customers=[customer("a", rate_per_s=1, burst=1)])
        self.wait_version(routers, 2)
        self.assertGreaterEqual(self.send_requests(routers, 20).count(429), 15)
        self.fleet.config(
            customers=[customer("a", rate_per_s=1000, burst=1000)])
        self.wait_version(routers, 3)
        time.sleep(0.5)
        self.assertEqual(self.send_requests(routers, 20), [200] * 20)
        self.fleet.config(customers=[customer("a", rate_per_s=0, burst=0)])
        self.wait_version(routers, 4)
        self.assertEqual(self.send_requests(routers, 20), [200] * 20)

    def test_odd_limits_stop_nobody(self):
        self.fleet.plain("p1")
        unusual = [
            {"rate_per_s": "many"}, {"rate_per_s": -3}, {"rate_per_s": 0.5},
            {"rate_per_s": 1e300, "burst": 1e300}, {"rate_per_s": None},
            {"rate_per_s": 5, "burst": -1}, {"burst": 7}, {"unit": 4},
            {"unit": "tokens", "rate_per_s": 100, "plain_tokens": "x"}]
        names = ["o%d" % number for number in range(len(unusual))]
        routers = self.start(1, customer("a"), *[
            customer(name, **limit) for name, limit in zip(names, unusual)])
        for name in names:
            self.assertEqual(
                self.send_requests(routers, 1, key="key-" + name), [200], name)
        self.assertEqual(self.send_requests(routers, 5), [200] * 5)


if __name__ == "__main__":
    unittest.main()
