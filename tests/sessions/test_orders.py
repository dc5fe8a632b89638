"""Orders to engines under a lease, and stop plans."""
import datetime
import unittest

from cluster import (BASE_DECLARATIONS, CONTINUE, Cluster, STOP, places,
                     wait_for)

SHORT_TIMES = {"lease": "1s", "order_timeout": "200ms"}
REQUEST = {"model": "m", "prompt": "new weights " * 20, "max_tokens": 3}


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def declare_weights(self, routers, version):
        text = BASE_DECLARATIONS.replace("weights = v1",
                                         "weights = " + version)
        done = self.cluster.apply(routers, text + self.cluster.upstreams)
        self.assertEqual(done.returncode, 0, done.stderr)

    def wait_weights(self, engines, version):
        for engine in engines:
            wait_for(lambda: engine.state()["weights"] == version, version)

    def lease_holder(self, routers):
        """Returns the router whose lease has the highest number."""
        def find():
            taken = [(int(event["number"]), router) for router in routers
                     for event in router.events("lease_taken")]
            return max(taken, key=lambda pair: pair[0])[1] if taken else None
        return wait_for(find, "a lease holder")

    def order_state(self, engine):
        return engine.call("GET", "/v1/engine")

    def test_declared_weights_are_loaded_a_few_at_a_time(self):
        engines = [self.cluster.engine("e%d" % n, load_ms=100)
                   for n in range(4)]
        routers = self.cluster.start("r1", "r2", **SHORT_TIMES)
        self.declare_weights(routers, "v2")
        self.wait_weights(engines, "v2")
        for engine in engines:
            self.assertEqual([order["weights"] for order
                              in self.order_state(engine)["list"]], ["v2"])
        for router in routers:
            wait_for(lambda: router.complete(REQUEST).status == 200, "v2")
        self.assertEqual(sum(e.state()["violations"] for e in engines), 0)

    def test_only_one_router_gives_orders(self):
        engine = self.cluster.engine("e1")
        routers = self.cluster.start("r1", "r2", "r3", **SHORT_TIMES)
        for version in ("v2", "v3", "v4"):
            self.declare_weights(routers, version)
            self.wait_weights([engine], version)
        senders = [r for r in routers if r.events("order_sent")]
        self.assertEqual(senders, [self.lease_holder(routers)])
        self.assertEqual([order["weights"] for order
                          in self.order_state(engine)["list"]],
                         ["v2", "v3", "v4"])

    def assert_holder_change_is_safe(self, engine, change):
        routers = self.cluster.start("r1", "r2", **SHORT_TIMES)
        self.declare_weights(routers, "v2")
        self.wait_weights([engine], "v2")
        old = self.lease_holder(routers)
        other = next(r for r in routers if r is not old)
        change(old)
        other.wait_event("lease_taken")
        self.declare_weights([other], "v3")
        self.wait_weights([engine], "v3")
        return old, other

    def assert_fencing_rises(self, engine):
        numbers = [order["fencing"] for order
                   in self.order_state(engine)["list"]]
        self.assertEqual(numbers, sorted(numbers))

    def test_killed_holder_is_replaced(self):
        engine = self.cluster.engine("e1")
        self.assert_holder_change_is_safe(engine, lambda old: old.kill())
        self.assert_fencing_rises(engine)

    def assert_paused_holder_is_harmless(self, ignores_fencing):
        engine = self.cluster.engine("e1", ignore_fencing=ignores_fencing)
        old, other = self.assert_holder_change_is_safe(
            engine, lambda old: old.signal(STOP))
        old.signal(CONTINUE)
        old.wait_event("lease_lost")
        self.declare_weights([other], "v4")
        self.wait_weights([engine], "v4")
        self.assert_fencing_rises(engine)
        state = self.order_state(engine)
        self.assertEqual(state["list"][-1]["weights"], "v4")
        self.assertEqual(state["stale_orders"], 0)

    def test_paused_holder_and_an_engine_that_obeys_the_number(self):
        self.assert_paused_holder_is_harmless(0)

    def test_paused_holder_and_an_engine_that_ignores_the_number(self):
        self.assert_paused_holder_is_harmless(1)

    def move_lease(self, routers, other):
        """Pauses the other routers until `other` holds the lease."""
        paused = [router for router in routers if router is not other]
        for router in paused:
            router.signal(STOP)
        wait_for(lambda: self.lease_holder(routers) is other,
                 "the change of the lease holder")
        for router in paused:
            router.signal(CONTINUE)

    # An engine received no more orders from any router. One router orders a
    # version, another takes the lease and orders the next, and the first
    # takes the lease again. A router ignored an engine's state as older than
    # an order while the state counted fewer orders than were sent. Engines
    # of this platform form count no orders, so every state after an order
    # was ignored, and a new lease holder sends no order before it has a
    # state. Only states that count orders may be compared.
    def test_router_that_takes_the_lease_again_gives_orders(self):
        engine = self.cluster.engine("e1")
        routers = self.cluster.start("r1", "r2", **SHORT_TIMES)
        self.declare_weights(routers, "v2")
        self.wait_weights([engine], "v2")
        first = self.lease_holder(routers)
        second = next(r for r in routers if r is not first)
        self.move_lease(routers, second)
        self.declare_weights([second], "v3")
        self.wait_weights([engine], "v3")
        self.move_lease(routers, first)
        self.declare_weights([second], "v4")
        self.wait_weights([engine], "v4")
        self.assert_fencing_rises(engine)

    # With one router and one engine, the engine loaded the weights that it
    # already had again every 6 s: as above, its states were ignored, so the
    # order was treated as lost after the time allowed for a load. The router
    # must read the end of the load and note it.
    def test_engine_that_has_loaded_gets_no_second_order(self):
        engine = self.cluster.engine("e1")
        router = self.cluster.start("r1", **SHORT_TIMES)
        for version in ("v2", "v3"):
            self.declare_weights([router], version)
            self.wait_weights([engine], version)
            wait_for(lambda: version in [event["weights"] for event in
                                         router.events("weights_loaded")],
                     "the end of the load of " + version)
        self.assertEqual([order["weights"] for order
                          in self.order_state(engine)["list"]], ["v2", "v3"])

    def test_lost_answer_of_an_order_is_read_back(self):
        engine = self.cluster.engine("e1", lose_orders=1, load_ms=50)
        routers = self.cluster.start("r1", "r2", **SHORT_TIMES)
        self.declare_weights(routers, "v2")
        self.wait_weights([engine], "v2")
        self.assertEqual(len(self.order_state(engine)["list"]), 1)

    def test_router_that_starts_after_lease_records_expired_takes_over(self):
        engine = self.cluster.engine("e1")
        routers = self.cluster.start("r1", "r2", **SHORT_TIMES)
        self.declare_weights(routers, "v2")
        self.wait_weights([engine], "v2")
        self.cluster.log.control(retention=3)
        for router in routers:
            router.kill()
        self.cluster.peers.clear()
        restarted = self.cluster.start("r3", **SHORT_TIMES)
        self.declare_weights([restarted], "v3")
        self.wait_weights([engine], "v3")
        self.assert_fencing_rises(engine)

    def test_holder_without_the_log_gives_up_in_time(self):
        engine = self.cluster.engine("e1")
        router = self.cluster.start("r1", **SHORT_TIMES)
        self.declare_weights([router], "v2")
        self.wait_weights([engine], "v2")
        self.cluster.log.control(down=1)
        engine.control(weights="v0")
        order_count = len(self.order_state(engine)["list"])
        wait_for(lambda: self.order_state(engine)["weights"] == "v2"
                 or not self.reaches_log(router), "the lease's end")
        self.cluster.log.control(down=0)
        self.wait_weights([engine], "v2")
        self.assertLessEqual(len(self.order_state(engine)["list"]),
                             order_count + 2)
        self.assert_fencing_rises(engine)

    def reaches_log(self, router):
        return not router.events("log_unreachable")

    def stop_plan(self, upstream, seconds):
        by = (datetime.datetime.now(datetime.timezone.utc)
              + datetime.timedelta(seconds=seconds))
        return ("[stop-plan stop]\nupstream = %s\nby = %s\nlead = 1h\n"
                % (upstream, by.strftime("%Y-%m-%dT%H:%M:%SZ")))

    def test_stop_plan_drains_without_cutting_off(self):
        first = self.cluster.engine("e1", decode_ms=20)
        second = self.cluster.engine("e2", decode_ms=20)
        routers = self.cluster.start("r1", "r2")
        streams = [routers[n % 2].stream(dict(
            REQUEST, prompt="plan %d " % n * 30, max_tokens=60)).read(1)
            for n in range(6)]
        text = BASE_DECLARATIONS + self.cluster.upstreams
        done = self.cluster.apply(routers, text + self.stop_plan("e1", 3000))
        self.assertEqual(done.returncode, 0, done.stderr)
        for router in routers:
            leaving = router.wait_event("upstream_leaving")[0]
            self.assertEqual(leaving["upstream"], "e1")
        runs = first.state()["runs"]
        for number in range(8):
            answer = routers[number % 2].complete(
                dict(REQUEST, prompt="after %d " % number * 30))
            self.assertEqual(answer.status, 200)
        self.assertEqual(first.state()["runs"], runs)
        for stream in streams:
            stream.read()
            self.assertTrue(stream.whole)
            self.assertEqual(places(stream.tokens()), list(range(60)))
        self.assertEqual(first.state()["resumed"]
                         + second.state()["resumed"], 0)

    def test_expired_stop_plan_excludes_no_upstream(self):
        self.cluster.engine("e1")
        router = self.cluster.start()
        text = BASE_DECLARATIONS + self.cluster.upstreams
        done = self.cluster.apply([router], text + self.stop_plan("e1", -60))
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertEqual(router.complete(REQUEST).status, 200)


if __name__ == "__main__":
    unittest.main()
