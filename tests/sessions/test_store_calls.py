"""Number of calls that routers make to the platform's store.

One router reads the store for all; the others must not repeat its reads.
"""
import struct
import time
import unittest
from unittest import mock

from cluster import wait_for
from fleet import Fleet, Store

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
# Answers to all calls: the end and the first offset of a topic, or its first
# offset as what was asked for is gone.
HASTY_ANSWERS = {"nothing": (200, struct.pack(">QQ", 0, 0)),
                 "withheld": (200, struct.pack(">QQ", 1 << 40, 0)),
                 "gone": (410, {"first": 0})}
SETTLE_S = 2  # until all readers pause
HASTY_S = 2
# A reader pauses for 100 ms or more, as after a call that failed; there are
# six: configuration, upstreams, leases, crashes, software and fleet.
HASTY_CALLS_PER_S = 6 * 10


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



class HastyStore(Store):
    """Answers each call at once, without a record, while `hasty` names a form
    of such an answer."""

    def __init__(self):
        self.hasty = None
        self.hasty_calls = 0
        super().__init__()

    def handle(self, call):
        if not self.hasty:
            super().handle(call)
            return
        call.body()
        self.hasty_calls += 1
        status, body = HASTY_ANSWERS[self.hasty]
        self.answer(call, status, body)


class HastyStoreTest(unittest.TestCase):
    """A router asked again as fast as the store answered: 300 times a second
    and topic, and told so in as many lines."""

    def check(self, form):
        with mock.patch("fleet.Store", HastyStore):
            fleet = Fleet()
        self.addCleanup(fleet.close)
        fleet.plain("p1")
        router = fleet.start(config_wait="8s")
        store = fleet.store
        store.hasty = form
        with store.lock:
            store.lock.notify_all()
        time.sleep(SETTLE_S)
        before, lines = store.hasty_calls, len(router.lines)
        time.sleep(HASTY_S)
        calls = store.hasty_calls - before
        self.assertGreater(calls, 0)
        self.assertLessEqual(calls, HASTY_S * HASTY_CALLS_PER_S)
        self.assertLessEqual(len(router.lines) - lines,
                             HASTY_S * 2 * HASTY_CALLS_PER_S)
        store.hasty = None
        fleet.config()
        wait_for(lambda: str(fleet.version) in [
            e["version"] for e in router.events("config_in_force")],
            "the configuration after it", CHANGE_S)

    def test_reads_that_are_not_held(self):
        self.check("nothing")

    def test_records_that_are_gone_again_and_again(self):
        self.check("gone")

    def test_records_that_are_withheld(self):
        self.check("withheld")


if __name__ == "__main__":
    unittest.main()
