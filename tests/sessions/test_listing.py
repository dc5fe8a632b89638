"""The list of upstreams: restarts, and entries that other programs write."""
import unittest

from cluster import wait_for
from fleet import Fleet

GOOD = {"service": "plain", "zone": "hall-a", "version": "v1", "slots": 64,
        "state": "ready", "cold_left_ms": 0, "call_seq": 0,
        "born": 1777568853587}


class ListingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)


class StartAgainTest(ListingTest):
    def test_an_engine_that_has_started_again_gets_orders(self):
        """An engine kept its old weights after a restart under its name.

        It accepts an order, restarts with its order count at 0, and newer
        weights are declared. Its replies were compared with the order count
        from before the restart. The start time in the entry and in the state
        of an engine distinguishes the two starts.
        """
        engine = self.fleet.engine("e1")
        self.fleet.start()
        for version in (2, 3, 4):
            self.fleet.store.put("keyed.op", "version/m",
                                 {"model": "m", "version": version})
            wait_for(lambda: engine.version == version, "loaded")
            engine.start_again()
        self.assertEqual([o["expected"] for o in engine.orders], [0, 0, 0])

    def test_an_engine_that_forgot_an_order_as_it_started_gets_it(self):
        engine = self.fleet.engine("e1")
        router = self.fleet.start()
        engine.forgets = True
        self.fleet.store.put("keyed.op", "version/m",
                             {"model": "m", "version": 2})
        wait_for(lambda: router.events("order_answered"), "ordered")
        engine.start_again()
        wait_for(lambda: engine.version == 2, "loaded", 3)
        self.assertEqual(len(engine.orders), 2)

    def test_connections_to_the_former_start_are_not_used(self):
        plain = self.fleet.plain("p1")
        router = self.fleet.start()
        for _ in range(3):
            self.assertEqual(self.fleet.ask(router, "/write/x").status, 200)
        callers_before = set(plain.callers)
        plain.start_again()
        router.wait_event("upstream_reborn")
        self.assertEqual(self.fleet.ask(router, "/write/x").status, 200)
        self.assertTrue(plain.callers - callers_before)

    def test_one_that_was_leaving_serves_again(self):
        plain = self.fleet.plain("p1")
        router = self.fleet.start()
        plain.state = "draining"
        plain.list()
        router.wait_event("upstream_leaving")
        wait_for(lambda: self.fleet.ask(router, "/read/x").status == 503,
                 "left")
        plain.state = "ready"
        plain.start_again()
        wait_for(lambda: self.fleet.ask(router, "/read/x").status == 200,
                 "served again")


class OtherWriterTest(ListingTest):
    def put(self, name, entry):
        self.fleet.store.put("keyed.servers", name, entry)

    def test_entries_of_others_get_no_requests(self):
        plain = self.fleet.plain("p1")
        decoy = self.fleet.plain("decoy")
        decoy.unlist()
        router = self.fleet.start()
        entry = dict(GOOD, address=decoy.address)
        odd = [dict(entry, state="retired"), dict(entry, state=1),
               dict(entry, slots="many"), dict(entry, born="today"),
               dict(entry, address="localhost:80"), {"x": 1}, [], "text", 5,
               {k: v for k, v in entry.items() if k != "zone"},
               dict(entry, service="unknown")]
        for number, value in enumerate(odd):
            self.put("odd%d" % number, value)
        wait_for(lambda: len(router.events("listing_entry_unreadable")) >=
                 len(odd) - 1, "read")
        for _ in range(30):
            self.assertEqual(self.fleet.ask(router, "/read/x").status, 200)
        self.assertEqual(len(plain.seen), 30)
        self.assertEqual(decoy.seen, [])

    def test_one_whose_entry_was_overwritten_comes_back(self):
        plain = self.fleet.plain("p1")
        other = self.fleet.plain("p2")
        router = self.fleet.start()
        self.put("p1", {"state": "gone"})
        wait_for(lambda: router.events("upstream_gone"), "dropped")
        plain.seen.clear()
        for _ in range(10):
            self.assertEqual(self.fleet.ask(router, "/read/x").status, 200)
        self.assertEqual(plain.seen, [])
        self.assertEqual(len(other.seen), 10)
        plain.list()
        wait_for(lambda: len(router.events("upstream_listed")) >= 3, "back")


if __name__ == "__main__":
    unittest.main()
