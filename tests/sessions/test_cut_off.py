"""Routers without a path to any upstream, which reach callers, the store and
the other routers all the while."""
import threading
import time
import unittest

from cluster import wait_for
from fleet import Fleet
from links import Links

# Within which engines have to have new weights, as routers refuse to place
# requests on the old ones from then on.
WEIGHTS_LIMIT_S = 10
# Requests that leave an idle connection to each upstream.
WARM_UPS = 12
GIVEN_UP_MS = 600
# Calls of the router with links: far enough apart that its own answers do not
# refute the suspicions of others.
HEALTHY_CALLS = 12
HEALTHY_PAUSE_S = 0.5
CUT_OFF_PAUSE_S = 0.1
# Time in which bytes that wait in kernels are delivered.
DELIVERY_S = 0.5


class CutOffTest(unittest.TestCase):
    ROUTERS = 4
    ENGINES = 3

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.engines = [self.fleet.engine("e%d" % n)
                        for n in range(self.ENGINES)]
        self.plain = self.fleet.plain("p1")
        self.upstreams = self.engines + [self.plain]
        self.fleet.config()
        self.routers = {}
        self.links = {}
        for n in range(self.ROUTERS):
            self.start_router("r%d" % n)

    def start_router(self, name):
        self.links[name] = Links(self.upstreams)
        self.addCleanup(self.links[name].close)
        seeds = {"seeds": self.fleet.routers[0].peer_address} \
            if self.fleet.routers else {}
        router = self.fleet.router(
            name, peers=seeds, environment=self.links[name].environment)
        wait_for(lambda: len(router.events("upstream_listed"))
                 >= len(self.upstreams), "the upstreams at " + name)
        self.routers[name] = router

    def declare_weights(self, version):
        self.fleet.store.put("keyed.op", "version/m",
                             {"model": "m", "version": version})

    def wait_weights(self, version, limit=WEIGHTS_LIMIT_S):
        wait_for(lambda: all(e.version == version for e in self.engines),
                 "the load of version %d" % version, limit)

    def find_holder(self):
        """Has weights loaded and returns the name of the router that ordered
        them."""
        self.declare_weights(2)
        self.wait_weights(2)
        return self.engines[0].orders[-1]["holder"]


class OrderTest(CutOffTest):
    # Engines kept old weights: the holder of the lease reached the store but
    # no engine, and renewed the lease until its links were back.
    def assert_other_router_orders(self, cut, count=1):
        holder = self.find_holder()
        others = [name for name in self.routers if name != holder]
        cut_off = [holder] + others[:count - 1]
        for name in cut_off:
            cut(self.links[name])
        self.declare_weights(3)
        self.wait_weights(3)
        for engine in self.engines:
            self.assertNotIn(engine.orders[-1]["holder"], cut_off)

    def test_holder_whose_links_are_silent_gives_up_its_lease(self):
        self.assert_other_router_orders(Links.cut_silently)

    def test_holder_whose_links_are_reset_gives_up_its_lease(self):
        self.assert_other_router_orders(Links.cut_with_resets)

    def test_holder_that_is_refused_new_connections_gives_up_its_lease(self):
        self.assert_other_router_orders(Links.refuse_new)

    def test_only_router_with_links_orders(self):
        self.assert_other_router_orders(Links.cut_silently, self.ROUTERS - 1)


class LateDeliveryTest(CutOffTest):
    """Bytes for which the sender's kernel has no acknowledgement yet are
    delivered as soon as a link is back."""
    ROUTERS = 1

    # A request that its router had given up ran as the link came back, on
    # weights that had been replaced meanwhile.
    def assert_not_delivered(self, path, upstreams):
        router, links = self.routers["r0"], self.links["r0"]
        for _ in range(WARM_UPS):
            self.assertEqual(self.fleet.ask(router, path).status, 200)
        seen = [len(upstream.seen) for upstream in upstreams]
        links.cut_silently()
        answer = self.fleet.ask(router, path, wait_ms=GIVEN_UP_MS)
        self.assertNotEqual(answer.status, 200)
        links.heal()
        time.sleep(DELIVERY_S)
        self.assertEqual([len(upstream.seen) for upstream in upstreams], seen)

    def test_call_that_was_given_up_does_not_run_later(self):
        self.assert_not_delivered("/read/x", [self.plain])

    def test_stream_that_was_given_up_does_not_run_later(self):
        self.assert_not_delivered("/ask/x", self.engines)

    # An order that its sender had given up was carried out after the link
    # came back, when another holder may have sent newer ones.
    def test_order_that_was_given_up_is_not_delivered_later(self):
        links, router = self.links["r0"], self.routers["r0"]
        links.cut_at(b"POST /v1/order")
        self.declare_weights(2)
        router.wait_event("order_unanswered")
        links.heal()
        self.wait_weights(2)
        time.sleep(DELIVERY_S)
        self.assertEqual(sum(len(e.orders) for e in self.engines),
                         len(router.events("order_answered")))


class SuspicionTest(CutOffTest):
    ROUTERS = 6

    # Callers of a router with links got refusals: it took the word of routers
    # that were cut off, and left upstreams out that it could reach.
    def test_routers_without_links_do_not_keep_others_from_upstreams(self):
        *cut_off, healthy = self.routers
        ends = threading.Event()
        callers = [threading.Thread(target=self.call_until, args=(name, ends))
                   for name in cut_off]
        for caller in callers:
            caller.start()
        for name in cut_off:
            self.links[name].cut_with_resets()
        statuses = []
        for _ in range(HEALTHY_CALLS):
            time.sleep(HEALTHY_PAUSE_S)
            statuses += [
                self.fleet.ask(self.routers[healthy], path).status
                for path in ("/ask/x", "/read/x")]
        ends.set()
        for caller in callers:
            caller.join()
        self.assertEqual(set(statuses), {200}, statuses)

    def call_until(self, name, ends):
        while not ends.wait(CUT_OFF_PAUSE_S):
            for path in ("/ask/x", "/read/x"):
                self.fleet.ask(self.routers[name], path, wait_ms=GIVEN_UP_MS)


if __name__ == "__main__":
    unittest.main()
