"""A router whose machine is suspended for some seconds.

During a suspension no process runs and timers stall, while keys are revoked
and callers reach their deadlines. A router that does not count this time
accepts revoked keys from its outdated configuration, and holds requests past
their deadlines by the length of the suspension. The tests only move the
router's clocks, since a suspension is visible to a router in these alone.
"""
import threading
import time
import unittest

from cluster import wait_for
from fleet import CUSTOMERS, Fleet, SuspendableClock

DEADLINE_MS = 8000
SUSPENDED_S = 30


class SuspensionTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.clock = SuspendableClock(self.fleet.folder.name)
        self.plain = self.fleet.plain("p1")
        self.engine = self.fleet.engine("e1")

    def start(self, **settings):
        router = self.fleet.start(environment=self.clock.environment,
                                  **settings)
        wait_for(lambda: len(router.events("upstream_listed")) == 2, "listed")
        return router

    def test_a_key_revoked_meanwhile_is_not_let_in(self):
        router = self.start(config_max_age="3s")
        self.assertEqual(self.fleet.ask(router, "/write/x").status, 200)
        self.fleet.store.down = True
        self.fleet.config(customers=CUSTOMERS[1:])
        self.clock.suspend(SUSPENDED_S)
        seen_before = len(self.plain.seen)
        self.assertEqual(self.fleet.ask(router, "/write/x").status, 503)
        self.assertEqual(len(self.plain.seen), seen_before)

    def test_a_caller_gets_its_answer_soon_after_its_deadline(self):
        router = self.start()
        self.plain.pause_s = 20
        answers = []
        thread = threading.Thread(target=lambda: answers.append(
            self.fleet.ask(router, "/read/x", wait_ms=DEADLINE_MS)))
        start_time = time.monotonic()
        thread.start()
        wait_for(lambda: self.plain.seen, "it runs")
        self.clock.suspend(SUSPENDED_S)
        thread.join()
        self.assertEqual(answers[0].status, 504)
        self.assertLess(time.monotonic() - start_time, DEADLINE_MS / 1000 / 2)


if __name__ == "__main__":
    unittest.main()
