"""Routers without a path to any upstream, which reach callers, the store and
the other routers all the while."""
import unittest

from cluster import wait_for
from fleet import Fleet
from links import Links

# Within which engines have to have new weights, as routers refuse to place
# requests on the old ones from then on.
WEIGHTS_LIMIT_S = 10


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


if __name__ == "__main__":
    unittest.main()
