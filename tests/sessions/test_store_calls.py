"""How often routers call the platform's store: what one of them does for all
must not be done by each."""
import time
import unittest

from cluster import wait_for
from fleet import Fleet

FEW = 6
MANY = 18
SEEDS = 3
SETTLE_S = 3  # until routers know each other and have left their start behind
IDLE_S = 4
KNOWN_S = 2  # in which all must know a change
LISTS = 2  # calls of a router that starts: the configuration and the upstreams
# Calls of routers that ask for all, whatever their count: three readers of the
# configuration and one of the list in each of so many seconds, and the reads
# of a lease that is followed.
READS_A_S = 3 / 0.5 + 1 / 0.6
OTHERS = 12


class StoreCallsTest(unittest.TestCase):
    """Symptom: of 295 routers each made 25 calls in its first seconds and one
    for each record that operators wrote; calls were the largest price of a
    fleet that had nothing to do.
    Sequence: all routers start at once; nothing happens; the configuration
    changes.
    Cause: until routers knew each other each took itself for the one that
    reads for all, and those that were read for held a read all the same.
    Settled by: calls by path and second in the lines of 43 routers."""

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
        time.sleep(SETTLE_S)
        return fleet

    def calls_of(self, count):
        """Calls at the start, while nothing happens, and for a change."""
        began = time.monotonic()
        fleet = self.start(count)
        store = fleet.store
        started, started_s = store.calls, time.monotonic() - began
        time.sleep(IDLE_S)
        idle = store.calls - started
        before = store.calls
        fleet.config()
        time.sleep(KNOWN_S)
        for router in fleet.routers:
            versions = [e["version"] for e in router.events("config_in_force")]
            self.assertIn(str(fleet.version), versions)
        return started - started_s * READS_A_S, idle, store.calls - before

    def check(self, count):
        start, idle, change = self.calls_of(count)
        told = "start %.0f, idle %d, change %d" % (start, idle, change)
        self.assertLessEqual(start, LISTS * count + OTHERS, told)
        self.assertLessEqual(idle, IDLE_S * READS_A_S + OTHERS, told)
        self.assertLessEqual(change, KNOWN_S * READS_A_S + OTHERS, told)

    def test_a_few_routers(self):
        self.check(FEW)

    def test_calls_do_not_grow_with_the_routers(self):
        self.check(MANY)


if __name__ == "__main__":
    unittest.main()
