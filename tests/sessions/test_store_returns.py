"""A store that was down and is restored from an older copy.

The last records are lost, and their offsets are assigned again.
"""
import time
import unittest

from cluster import CONTINUE, STOP, wait_for
from fleet import CUSTOMERS, Fleet

IN_FORCE_S = 2  # until an acknowledged configuration must be in force
OUTAGE_S = 0.5  # long enough for a call of each router to fail
FIRST_ORDER_S = 4  # longer than from a router's start to its first order
LIST_READ_S = 0.5  # until a router has read the list that it requested
MISSING_S = 2  # longer than an entry may be missing after an outage
LOST_VERSIONS = 6  # lost by the restore; more than are written after it


class ReturnTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.store = self.fleet.store

    def write_configurations(self, times):
        for _ in range(times):
            self.fleet.config()

    def await_version(self, router, version, limit=IN_FORCE_S):
        wait_for(lambda: str(version) in [
            event["version"] for event in router.events("config_in_force")],
            "version %d in force" % version, limit)

    def come_back_older(self, copy):
        self.store.down = True
        time.sleep(OUTAGE_S)
        self.store.come_back_older(copy)

    def declare_weights(self, version):
        self.store.put("keyed.op", "version/m",
                       {"model": "m", "version": version})


class ConfigurationTest(ReturnTest):
    def test_a_change_after_the_return_is_in_force(self):
        """Routers skipped configurations written after a restore.

        The restored store lacked the last configurations. The operator wrote
        the newest again and then newer ones, which the store acknowledged;
        for seconds routers answered 404 for a route that the new ones had,
        and accepted a key that they had revoked. All three routers had listed
        the topic again ("topic_listed_anew next=7") and logged nothing of
        versions 25, 27 and 29 at offsets 3 to 5, though the first of them was
        acknowledged 2.7 s before version 31, at offset 7, was applied.
        """
        router = self.fleet.start()
        copy = self.store.copy()
        self.write_configurations(LOST_VERSIONS)
        self.await_version(router, self.fleet.version)
        self.come_back_older(copy)
        self.fleet.config(self.fleet.version)  # written again
        self.fleet.config(customers=CUSTOMERS[1:])  # key-a is revoked
        self.await_version(router, self.fleet.version)
        self.assertEqual(self.fleet.ask(router, "/read/x").status, 401)

    def test_a_change_that_a_later_read_does_not_show_is_in_force(self):
        """As above, but the store refuses no read.

        The log grows past the router's next offset before the router reads
        again. The change lies below that offset, where no call reads it.
        """
        router = self.fleet.start(config_wait="5s", reader_wait="5s")
        copy = self.store.copy()
        self.write_configurations(LOST_VERSIONS)
        self.await_version(router, self.fleet.version)
        router.signal(STOP)
        self.store.come_back_older(copy)
        self.fleet.config()
        for version in range(2, 2 + 2 * LOST_VERSIONS):
            self.declare_weights(version)
        router.signal(CONTINUE)
        self.await_version(router, self.fleet.version)


class BeforeTheRecordsAreBackTest(ReturnTest):
    """The operator has not yet rewritten the records that the store lost.

    Only routers know the newest configuration, which revokes a key.
    """

    def setUp(self):
        super().setUp()
        self.fleet.plain("p1")
        self.router = self.fleet.start()
        self.peers = {"seeds": self.router.peer_address}
        self.statuses = []

    def revoke(self):
        """Revokes key-a and waits until the router applies this."""
        self.fleet.config(customers=CUSTOMERS[1:])
        self.await_version(self.router, self.fleet.version)

    def ask(self, router):
        """Returns the status of a call with key-a, None if it fails."""
        try:
            status = self.fleet.ask(router, "/read/x").status
        except OSError:
            return None
        self.statuses.append(status)
        return status

    def test_a_router_that_starts_does_not_go_back(self):
        """A router that started accepted the revoked key with 200.

        It read the older configuration from the restored store and assumed
        that this was the newest one.
        """
        copy = self.store.copy()
        self.revoke()
        self.store.come_back_older(copy)
        other = self.fleet.router(name="r2", peers=self.peers)
        wait_for(lambda: self.ask(other) == 401, "refused", IN_FORCE_S)
        self.assertNotIn(200, self.statuses)
        self.assertTrue(self.fleet.is_ready(other))

    def test_without_peers_a_router_serves_by_what_the_store_has(self):
        """No peer has a newer one, and the router cannot wait forever."""
        copy = self.store.copy()
        self.revoke()
        self.store.come_back_older(copy)
        self.router.kill()
        other = self.fleet.router(name="r2", peers=self.peers)
        wait_for(lambda: self.fleet.is_ready(other), "ready", IN_FORCE_S)

    def test_engines_are_not_taken_back_to_older_weights(self):
        """Engines with the newest weights were ordered to load older ones.

        The order came from a router that did not know the newest version.
        """
        engine = self.fleet.engine("e1")
        self.declare_weights(2)
        wait_for(lambda: engine.version == 2, "loaded")
        copy = self.store.copy()
        self.declare_weights(3)
        wait_for(lambda: engine.version == 3, "loaded")
        self.store.come_back_older(copy)
        engine.list()
        self.router.kill()
        other = self.fleet.router(name="r2")
        wait_for(lambda: self.fleet.is_ready(other), "ready")
        time.sleep(FIRST_ORDER_S)
        self.assertEqual(engine.version, 3)
        self.assertEqual([order["version"] for order in engine.orders],
                         [2, 3])


class UpstreamTest(ReturnTest):
    def setUp(self):
        super().setUp()
        self.plain = self.fleet.plain("p1")
        self.other = self.fleet.plain("p2")
        self.router = self.fleet.start(listing_return="1500ms")

    def leave(self):
        self.plain.state = "draining"
        self.plain.list()
        self.router.wait_event("upstream_leaving")

    def has_read_list(self):
        """Whether the router has asked for the list since it knows that the
        store came back; where a read had failed before, by a retry."""
        events = self.router.events()
        names = [event["event"] for event in events]
        if "store_came_back_older" not in names:
            return False
        return any(event["event"] == "store_call" and
                   event["topic"] == "keyed.servers" and
                   event["cause"] in ("start", "retry") for event in
                   events[names.index("store_came_back_older"):])

    def come_back(self, copy):
        """Restores the store and waits until the router reads the list."""
        self.come_back_older(copy)
        wait_for(self.has_read_list, "listed")
        time.sleep(LIST_READ_S)

    def is_used(self, router):
        """Returns whether p1 receives a call that p2 refuses."""
        seen = len(self.plain.seen)
        self.other.shed = True
        self.fleet.ask(router, "/read/x")
        self.other.shed = False
        return len(self.plain.seen) > seen

    def test_one_that_left_gets_no_work_from_an_older_entry(self):
        """A departed upstream was sent work again.

        It had announced that it leaves and was removed from the list, but the
        restored list had it as ready.
        """
        copy = self.store.copy()
        self.leave()
        self.plain.unlist()
        self.router.wait_event("upstream_gone")
        self.come_back(copy)
        self.assertFalse(self.is_used(self.router))

    def test_one_that_is_leaving_goes_on_to_leave(self):
        copy = self.store.copy()
        self.leave()
        self.come_back(copy)
        self.assertFalse(self.is_used(self.router))

    def test_a_router_that_starts_hears_that_one_has_left(self):
        """As above, at a router that never saw the upstream leave."""
        copy = self.store.copy()
        self.leave()
        self.plain.unlist()
        self.router.wait_event("upstream_gone")
        self.come_back(copy)
        other = self.fleet.router(
            name="r2", peers={"seeds": self.router.peer_address})
        wait_for(lambda: self.fleet.is_ready(other), "ready")
        wait_for(lambda: not self.is_used(other), "left", IN_FORCE_S)

    def test_one_that_the_list_has_lost_serves_on_until_it_is_back(self):
        copy = self.store.copy()
        late = self.fleet.plain("p3")
        wait_for(lambda: len(self.router.events("upstream_listed")) == 3,
                 "listed")
        self.come_back_older(copy)
        self.router.wait_event("upstream_missing")
        late.list()
        time.sleep(MISSING_S)
        self.assertEqual(self.router.events("upstream_gone"), [])

    def test_one_that_lapsed_and_is_back_serves_again(self):
        """The upstream had not announced that it leaves.

        The entry that it writes itself after the restore counts; its entry in
        the copy does not.
        """
        copy = self.store.copy()
        self.plain.unlist()
        self.router.wait_event("upstream_gone")
        self.come_back(copy)
        self.assertFalse(self.is_used(self.router))
        self.plain.sequence += 1
        self.plain.list()
        wait_for(lambda: self.is_used(self.router), "serves again", IN_FORCE_S)


class OrderTest(ReturnTest):
    def start(self):
        engines = [self.fleet.engine("e%d" % n) for n in range(2)]
        first = self.fleet.start()
        other = self.fleet.router(name="r2",
                                  peers={"seeds": first.peer_address})
        wait_for(lambda: self.fleet.is_ready(other), "ready")
        return engines, {"r1": first, "r2": other}

    def come_back(self, copy, engines):
        """Restores the store, then writes versions 2 and 3.

        Version 2 is written again; the offsets of both are beyond the former
        ones.
        """
        self.come_back_older(copy)
        for engine in engines:
            engine.list()
        self.declare_weights(2)
        self.declare_weights(3)
        wait_for(lambda: all(e.version == 3 for e in engines), "loaded")

    def drain_orders(self, engines):
        """Returns fencing number and holder of each order since last call."""
        found = [(order["fence"], order["holder"])
                 for engine in engines for order in engine.orders]
        for engine in engines:
            engine.orders = []
        return found

    def test_no_fencing_number_is_given_twice(self):
        """Two routers gave orders under the same fencing number.

        Both used number 25, 11.8 s apart, one before the store was restored
        from an older copy and the other after. The number was the offset of a
        record in the log; the first record was lost and its offset assigned
        again. Engines that check the number accepted both, and could not have
        told a late order of the first router from those of the second.
        """
        engines, routers = self.start()
        copy = self.store.copy()
        self.declare_weights(2)
        wait_for(lambda: all(e.version == 2 for e in engines), "loaded")
        before = self.drain_orders(engines)
        routers[before[0][1]].kill()
        self.come_back(copy, engines)
        after = self.drain_orders(engines)
        message = "%s before, %s after" % (before, after)
        self.assertLess(max(number for number, _ in before),
                        min(number for number, _ in after), message)

    def test_a_paused_holder_that_wakes_gives_no_orders_under_its_number(self):
        engines, routers = self.start()
        copy = self.store.copy()
        self.declare_weights(2)
        wait_for(lambda: all(e.version == 2 for e in engines), "loaded")
        before = self.drain_orders(engines)
        paused = before[0][1]
        routers[paused].signal(STOP)
        self.come_back(copy, engines)
        routers[paused].signal(CONTINUE)
        self.declare_weights(4)
        wait_for(lambda: all(e.version == 4 for e in engines), "loaded")
        for engine in engines:
            numbers = [order["fence"] for order in engine.orders]
            self.assertEqual(numbers, sorted(numbers))
            self.assertGreater(numbers[0], max(before)[0])


if __name__ == "__main__":
    unittest.main()
