"""Routers whose system lets them use less memory than their settings say. On
the plain build, as sanitizers need much address space."""
import os
import signal
import unittest
from concurrent.futures import ThreadPoolExecutor

os.environ["WT_BUILD"] = "build"
from fleet import Fleet  # noqa: E402

BODY = b"x" * (3 << 20)
CALLERS = 16
MEMORY_MB = 40
SETTING_MB = 110
HELD_S = 0.1  # time for which the upstream takes each request


class MemoryLimitTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.plain("p1").pause_s = HELD_S

    def send(self, _):
        return self.fleet.ask(self.router, "/read/x", body=BODY,
                              wait_ms=30000).status

    def assert_serves_large_bodies(self):
        with ThreadPoolExecutor(CALLERS) as pool:
            statuses = list(pool.map(self.send, range(CALLERS)))
        self.assertEqual(set(statuses), {200})
        self.assertIsNone(self.router.process.poll())

    def start(self, limit):
        self.router = self.fleet.start(
            memory="%dMiB" % SETTING_MB, max_body="16MiB",
            prefix=("prlimit", "--%s=%d" % (limit, MEMORY_MB << 20)))

    # A router ended when it could not allocate a body.
    def test_bodies_do_not_use_up_the_address_space(self):
        self.start("as")
        self.assert_serves_large_bodies()

    def test_bodies_do_not_use_up_the_data(self):
        self.start("data")
        self.assert_serves_large_bodies()

    def test_a_reload_keeps_to_what_the_system_allows(self):
        self.start("as")
        self.router.signal(signal.SIGHUP)
        self.router.wait_event("settings_reloaded")
        self.assert_serves_large_bodies()


if __name__ == "__main__":
    unittest.main()
