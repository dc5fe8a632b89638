"""A store that was away and comes back from an older copy: what was written
last is gone, and offsets are given out again."""
import time
import unittest

from cluster import CONTINUE, STOP, wait_for
from fleet import CUSTOMERS, Fleet

IN_FORCE_S = 2  # in which an acknowledged configuration must be in force
OUTAGE_S = 0.5  # in which each router has had a call fail
ORDERED_S = 4  # longer than a router takes from its start to its first order
LISTED_S = 0.5  # in which a list that was asked for has been read
LAPSED_S = 2  # longer than an entry may be missing after an outage
EARLIER = 6  # versions before the copy and after it, more than come after


class ReturnTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.store = self.fleet.store

    def configure(self, times):
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

    def name_weights(self, version):
        self.store.put("keyed.op", "version/m",
                       {"model": "m", "version": version})


class ConfigurationTest(ReturnTest):
    def test_a_change_after_the_return_is_in_force(self):
        """A store came back without the last configurations. The operator
        wrote the newest again and then newer ones, which the store
        acknowledged; for seconds routers answered 404 for a route that the
        new ones had, and let in a key that they had revoked. All three
        routers had listed the topic anew ("topic_listed_anew next=7") and
        told nothing of versions 25, 27 and 29, which had offsets 3 to 5,
        though the first of them was acknowledged 2.7 s before version 31, of
        offset 7, was taken."""
        router = self.fleet.start()
        copy = self.store.copy()
        self.configure(EARLIER)
        self.await_version(router, self.fleet.version)
        self.come_back_older(copy)
        self.fleet.config(self.fleet.version)  # written again
        self.fleet.config(customers=CUSTOMERS[1:])  # key-a is revoked
        self.await_version(router, self.fleet.version)
        self.assertEqual(self.fleet.ask(router, "/read/x").status, 401)

    def test_a_change_that_a_later_read_does_not_show_is_in_force(self):
        """As above, but the log has grown past the router's next offset
        before the router reads again, so that no read is refused: the change
        stands below that offset and was not read by any call."""
        router = self.fleet.start(config_wait="5s", reader_wait="5s")
        copy = self.store.copy()
        self.configure(EARLIER)
        self.await_version(router, self.fleet.version)
        router.signal(STOP)
        self.store.come_back_older(copy)
        self.fleet.config()
        for version in range(2, 2 + 2 * EARLIER):
            self.name_weights(version)
        router.signal(CONTINUE)
        self.await_version(router, self.fleet.version)


class BeforeTheRecordsAreBackTest(ReturnTest):
    """A store has come back older, and the operator has not written again
    what it lost: the newest configuration, which revokes a key, is known to
    routers alone."""

    def setUp(self):
        super().setUp()
        self.fleet.plain("p1")
        self.router = self.fleet.start()
        self.peers = {"seeds": self.router.peer_address}
        self.statuses = []

    def revoke(self):
        """Key-a is not valid any more."""
        self.fleet.config(customers=CUSTOMERS[1:])
        self.await_version(self.router, self.fleet.version)

    def ask(self, router):
        """What a caller with the revoked key gets."""
        try:
            status = self.fleet.ask(router, "/read/x").status
        except OSError:
            return None
        self.statuses.append(status)
        return status

    def test_a_router_that_starts_does_not_go_back(self):
        """A router that started then read the older configuration from the
        store, took it for the newest one, and answered 200 to the revoked
        key."""
        copy = self.store.copy()
        self.revoke()
        self.store.come_back_older(copy)
        other = self.fleet.router(name="r2", peers=self.peers)
        wait_for(lambda: self.ask(other) == 401, "refused", IN_FORCE_S)
        self.assertNotIn(200, self.statuses)
        self.assertTrue(self.fleet.is_ready(other))

    def test_without_peers_a_router_serves_by_what_the_store_has(self):
        """Nobody can tell it better, and it can not wait for ever."""
        copy = self.store.copy()
        self.revoke()
        self.store.come_back_older(copy)
        self.router.kill()
        other = self.fleet.router(name="r2", peers=self.peers)
        wait_for(lambda: self.fleet.is_ready(other), "ready", IN_FORCE_S)

    def test_engines_are_not_taken_back_to_older_weights(self):
        """A router that did not know the weights named last ordered the ones
        before to engines that had loaded the newer ones."""
        engine = self.fleet.engine("e1")
        self.name_weights(2)
        wait_for(lambda: engine.version == 2, "loaded")
        copy = self.store.copy()
        self.name_weights(3)
        wait_for(lambda: engine.version == 3, "loaded")
        self.store.come_back_older(copy)
        engine.list()
        self.router.kill()
        other = self.fleet.router(name="r2")
        wait_for(lambda: self.fleet.is_ready(other), "ready")
        time.sleep(ORDERED_S)
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

    def come_back(self, copy):
        """Returns once the router has read the list anew."""
        seen = len(self.router.events("store_call"))
        self.come_back_older(copy)
        wait_for(lambda: [call for call in
                          self.router.events("store_call")[seen:]
                          if call["topic"] == "keyed.servers"
                          and call["cause"] == "start"], "listed")
        time.sleep(LISTED_S)

    def is_used(self, router):
        """Whether p1 gets a call that the other one refuses."""
        seen = len(self.plain.seen)
        self.other.shed = True
        self.fleet.ask(router, "/read/x")
        self.other.shed = False
        return len(self.plain.seen) > seen

    def test_one_that_left_gets_no_work_from_an_older_entry(self):
        """An upstream had said that it leaves and was off the list; the list
        that came back had it as ready, and it was sent work again."""
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
        """As above, at a router that never knew it to leave."""
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
        time.sleep(LAPSED_S)
        self.assertEqual(self.router.events("upstream_gone"), [])

    def test_one_that_lapsed_and_is_back_serves_again(self):
        """It had not said that it leaves: what it writes itself after the
        return counts, what the copy has does not."""
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
        """Version 2 is written again; it and version 3 have outgrown their
        former offsets."""
        self.come_back_older(copy)
        for engine in engines:
            engine.list()
        self.name_weights(2)
        self.name_weights(3)
        wait_for(lambda: all(e.version == 3 for e in engines), "loaded")

    def take_orders(self, engines):
        """The number and the holder of each order since the last call."""
        found = [(order["fence"], order["holder"])
                 for engine in engines for order in engine.orders]
        for engine in engines:
            engine.orders = []
        return found

    def test_no_fencing_number_is_given_twice(self):
        """Two routers gave orders under fencing number 25, 11.8 s apart, the
        one before a store came back older and the other after: the number
        was that of a record in the log, the first record was gone and its
        offset was given out again. Engines that obey the number took both,
        and could not have told an order of the first that came late from
        those of the second."""
        engines, routers = self.start()
        copy = self.store.copy()
        self.name_weights(2)
        wait_for(lambda: all(e.version == 2 for e in engines), "loaded")
        before = self.take_orders(engines)
        routers[before[0][1]].kill()
        self.come_back(copy, engines)
        after = self.take_orders(engines)
        told = "%s before, %s after" % (before, after)
        self.assertLess(max(number for number, _ in before),
                        min(number for number, _ in after), told)

    def test_a_paused_holder_that_wakes_gives_no_orders_under_its_number(self):
        engines, routers = self.start()
        copy = self.store.copy()
        self.name_weights(2)
        wait_for(lambda: all(e.version == 2 for e in engines), "loaded")
        before = self.take_orders(engines)
        paused = before[0][1]
        routers[paused].signal(STOP)
        self.come_back(copy, engines)
        routers[paused].signal(CONTINUE)
        self.name_weights(4)
        wait_for(lambda: all(e.version == 4 for e in engines), "loaded")
        for engine in engines:
            numbers = [order["fence"] for order in engine.orders]
            self.assertEqual(numbers, sorted(numbers))
            self.assertGreater(numbers[0], max(before)[0])


if __name__ == "__main__":
    unittest.main()
