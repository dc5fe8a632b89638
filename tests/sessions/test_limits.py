"""Limits of customers, which hold over all routers together."""
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
        """So many routers that know each other."""
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

    def ask_all(self, routers, count, path="/read/x", **more):
        """Statuses of so many requests, one router after the other."""
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
        began = time.monotonic()
        statuses = self.ask_all(routers, 45)
        passed = time.monotonic() - began
        self.assertLessEqual(statuses.count(200), 4 + 2 * passed + 1)
        self.assertGreaterEqual(statuses.count(200), 1)
        self.assertEqual(set(statuses), {200, 429})
        self.assertEqual(len(plain.seen), statuses.count(200))
        self.assertEqual(self.ask_all(routers, 9, key="key-b"), [200] * 9)

    def test_who_is_refused_is_told_when_there_is_room(self):
        self.fleet.plain("p1")
        routers = self.start(2, customer("a", rate_per_s=2, burst=2))
        self.ask_all(routers, 6)
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
        first = self.ask_all(routers, 1, "/ask/x")
        second = self.ask_all(routers, 2, "/ask/x")
        self.assertEqual(first, [200])
        self.assertIn(429, second)
        line = (routers[0].events("request_limited") +
                routers[1].events("request_limited"))[0]
        self.assertEqual(line["units"], "310")
        wait_for(lambda: self.ask_all(routers, 1)[0] == 200,
                 "room for a plain call")

    def test_what_did_not_run_is_given_back(self):
        plain = self.fleet.plain("p1")
        plain.shed = True
        routers = self.start(1, customer("a", rate_per_s=0.001, burst=1))
        self.assertEqual(self.ask_all(routers, 3), [503] * 3)
        plain.shed = False
        self.assertEqual(self.ask_all(routers, 2), [200, 429])

    def test_the_others_go_on_without_the_router_that_counts(self):
        self.fleet.plain("p1")
        routers = self.start(3, customer("a", rate_per_s=20, burst=20))
        self.assertIn(200, self.ask_all(routers, 6))
        routers[0].kill()
        rest = routers[1:]
        wait_for(lambda: self.ask_all(rest, 1)[0] == 200, "served")
        began = time.monotonic()
        statuses = []
        while time.monotonic() - began < 2:
            statuses += self.ask_all(rest, 10)
        passed = time.monotonic() - began
        self.assertLessEqual(statuses.count(200), 20 + 20 * passed + 2)
        self.assertGreaterEqual(statuses.count(200), 20)


class ChangeTest(LimitsTest):
    def test_a_limit_is_lowered_raised_and_taken_off(self):
        self.fleet.plain("p1")
        routers = self.start(2, customer("a", rate_per_s=1000, burst=1000))
        self.assertEqual(self.ask_all(routers, 20), [200] * 20)
        self.fleet.config(customers=[customer("a", rate_per_s=1, burst=1)])
        self.wait_version(routers, 2)
        self.assertGreaterEqual(self.ask_all(routers, 20).count(429), 15)
        self.fleet.config(
            customers=[customer("a", rate_per_s=1000, burst=1000)])
        self.wait_version(routers, 3)
        time.sleep(0.5)
        self.assertEqual(self.ask_all(routers, 20), [200] * 20)
        self.fleet.config(customers=[customer("a", rate_per_s=0, burst=0)])
        self.wait_version(routers, 4)
        self.assertEqual(self.ask_all(routers, 20), [200] * 20)

    def test_odd_limits_stop_nobody(self):
        self.fleet.plain("p1")
        odd = [{"rate_per_s": "many"}, {"rate_per_s": -3}, {"rate_per_s": 0.5},
               {"rate_per_s": 1e300, "burst": 1e300}, {"rate_per_s": None},
               {"rate_per_s": 5, "burst": -1}, {"burst": 7}, {"unit": 4},
               {"unit": "tokens", "rate_per_s": 100, "plain_tokens": "x"}]
        names = ["o%d" % number for number in range(len(odd))]
        routers = self.start(1, customer("a"), *[
            customer(name, **limit) for name, limit in zip(names, odd)])
        for name in names:
            self.assertEqual(
                self.ask_all(routers, 1, key="key-" + name), [200], name)
        self.assertEqual(self.ask_all(routers, 5), [200] * 5)


if __name__ == "__main__":
    unittest.main()
