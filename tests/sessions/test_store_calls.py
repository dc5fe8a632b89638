"""Number of calls that routers make to the platform's store.

One router reads the store for all; the others must not repeat its reads.
"""
import time
import unittest

from cluster import wait_for
from fleet import Fleet

FEW_ROUTERS = 6
MANY_ROUTERS = 18
SEEDS = 3
START_S = 3  # until routers know each other and have finished their start
IDLE_S = 4
CHANGE_S = 2  # in which all routers must know a changed configuration
START_CALLS = 2  # calls of a router that starts: configuration and upstreams
# Calls per second that do not depend on the number of routers: the readers of
# the configuration and of the list of upstreams make three calls per 0.5 s,
# and a followed lease is read once per 0.6 s.
READS_PER_S = 3 / 0.5 + 1 / 0.6
EXTRA_CALLS = 12


class StoreCallsTest(unittest.TestCase):
    """The number of store calls grew with the number of routers.

    Each of 295 routers made 25 calls in its first seconds and one for each
    record that operators wrote; these calls were the largest cost of an idle
    fleet. Until the routers knew each other, each one assumed that it was the
    reader for all, and routers with a reader still held a read open. The log
    lines of 43 routers, by path and second, showed it. The test starts all
    routers at once, leaves them idle, and changes the configuration.
    """

    def start(self, count):
        fleet = Fleet()
        self.addCleanup(fleet.close)
        fleet.config()
        fleet.engine("e1")
        settings = {"reader_wait": "500ms", "config_wait": "25s",
                    "leaving_limit": "4s", "verbose": False}
        peers = {"mesh_routers": "4"}
        for place in range(count):
            seeds = ",".join(r.peer_address for r in fleet.routers[:SEEDS]
                             if hasattr(r, "peer_address"))
            router = fleet.launch("r%d" % place,
                                  peers=dict(peers, seeds=seeds), **settings)
            if place < SEEDS:
                fleet.await_start(router)
        for router in fleet.routers[SEEDS:]:
            fleet.await_start(router)
        wait_for(lambda: all(fleet.is_ready(r) for r in fleet.routers),
                 "all ready")
        time.sleep(START_S)
        return fleet

    def count_calls(self, count):
        """Returns the calls at the start, while idle, and for a change."""
        begin_s = time.monotonic()
        fleet = self.start(count)
        store = fleet.store
        started, started_s = store.calls, time.monotonic() - begin_s
        time.sleep(IDLE_S)
        idle = store.calls - started
        before = store.calls
        fleet.config()
        time.sleep(CHANGE_S)
        for router in fleet.routers:
            versions = [e["version"] for e in router.events("config_in_force")]
            self.assertIn(str(fleet.version), versions)
        return started - started_s * READS_PER_S, idle, store.calls - before

    def check(self, count):
        start, idle, change = self.count_calls(count)
        counts = "start %.0f, idle %d, change %d" % (start, idle, change)
        self.assertLessEqual(start, START_CALLS * count + EXTRA_CALLS, counts)
        self.assertLessEqual(idle, IDLE_S * READS_PER_S + EXTRA_CALLS, counts)
        self.assertLessEqual(change, CHANGE_S * READS_PER_S + EXTRA_CALLS,
                             counts)

    def test_a_few_routers(self):
        self.check(FEW_ROUTERS)

    def test_calls_do_not_grow_with_the_routers(self):
        self.check(MANY_ROUTERS)


if __name__ == "__main__":
    unittest.main()
