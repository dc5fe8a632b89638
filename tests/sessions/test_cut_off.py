"""Routers without a path to any upstream, which reach callers, the store and
the other routers all the while."""
import http.client
import threading
import time
import unittest
import uuid

from cluster import HANG_LIMIT, wait_for
from fleet import Fleet, MortalEngine
from links import Links

# Within which engines have to have new weights, as routers refuse to place
# requests on the old ones from then on.
WEIGHTS_LIMIT_S = 10
# Within which another router sends the first order: half of that time, as the
# engines load one after the other.
FIRST_ORDER_S = 5
LONG_CUT_S = 8
# Requests that leave an idle connection to each upstream.
WARM_UPS = 12
GIVEN_UP_MS = 600
# Calls of the router with links: far enough apart that its own answers do not
# refute the suspicions of others.
HEALTHY_CALLS = 12
HEALTHY_PAUSE_S = 0.5
CUT_OFF_PAUSE_S = 0.1
# Time in which routers tell each other of crashes.
CRASHES_KNOWN_S = 1.5
# Within which a router has to serve its callers again after it lost its links.
CONTACT_S = 3
MEASURED_S = 3
# Within which all routers use links that are back.
LINKS_USED_S = 1.5
ENOUGH_CALLS = 50
CALL_LIMIT_MS = 4000
# Time in which bytes that wait in kernels are delivered.
# The connection of an order is reset right after its line.
RESET_S = 0.1
DELIVERY_S = 0.5


class CutOffTest(unittest.TestCase):
    FLEET = Fleet
    ROUTERS = 4
    ENGINES = 3

    def setUp(self):
        self.fleet = self.FLEET()
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

    def start_router(self, name, **settings):
        self.links[name] = Links(self.upstreams)
        self.addCleanup(self.links[name].close)
        seeds = {"seeds": self.fleet.routers[0].peer_address} \
            if self.fleet.routers else {}
        router = self.fleet.router(
            name, peers=seeds, environment=self.links[name].environment,
            **settings)
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
        self.wait_weights(2, HANG_LIMIT)
        return self.engines[0].orders[-1]["holder"]


class OrderTest(CutOffTest):
    LOAD_LIMIT_S = WEIGHTS_LIMIT_S

    # Engines kept old weights: the holder of the lease reached the store but
    # no engine, and renewed the lease until its links were back.
    def assert_other_router_orders(self, cut, count=1):
        holder = self.find_holder()
        others = [name for name in self.routers if name != holder]
        cut_off = [holder] + others[:count - 1]
        for name in cut_off:
            cut(self.links[name])
        self.declare_weights(3)
        wait_for(lambda: any(e.version == 3 for e in self.engines),
                 "an order by another router", FIRST_ORDER_S)
        self.wait_weights(3, self.LOAD_LIMIT_S)
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


class ManyEnginesTest(OrderTest):
    # A holder that had read the states of all engines called only those whose
    # turn came, and kept the lease although none of them answered.
    ENGINES = 10
    LOAD_LIMIT_S = HANG_LIMIT

    def start_router(self, name):
        super().start_router(name, load_percent=10, fencing="true")

    def find_holder(self):
        holder = super().find_holder()
        time.sleep(1)
        return holder


class DeadEngineTest(CutOffTest):
    SILENT_S = 6

    # An engine that had ended was the only one without the new weights: each
    # router took the lease for it and gave it up again.
    def test_a_dead_engine_does_not_move_the_lease(self):
        dead = self.fleet.add(MortalEngine(self.fleet.store, "d0"))
        self.find_holder()
        wait_for(lambda: dead.version == 2, "the load of version 2")
        dead.kill()
        before = self.count_taken()
        self.declare_weights(3)
        self.wait_weights(3)
        time.sleep(self.SILENT_S)
        self.assertLessEqual(self.count_taken() - before, 1)

    def count_taken(self):
        return sum(len(router.events("lease_taken"))
                   for router in self.routers.values())


class OnlyRouterTest(CutOffTest):
    ROUTERS = 1

    # The only router probed engines that had ended, and no others.
    def test_dead_engines_do_not_hide_that_others_are_back(self):
        dead = [self.fleet.add(MortalEngine(self.fleet.store, "d%d" % n))
                for n in range(3)]
        for engine in dead:
            engine.kill()
        router, links = self.routers["r0"], self.links["r0"]
        wait_for(lambda: len(router.events("upstream_listed"))
                 >= len(self.upstreams) + len(dead), "the dead engines")
        self.find_holder()
        links.cut_silently()
        self.declare_weights(3)
        router.wait_event("orders_path_lost")
        time.sleep(LONG_CUT_S)
        links.heal()
        self.wait_weights(3)


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
        wait_for(lambda: 0 < len(router.events("order_sent"))
                 <= len(router.events("order_unanswered")), "orders given up")
        given_up = len(router.events("order_unanswered"))
        time.sleep(RESET_S)
        links.heal()
        self.wait_weights(2)
        time.sleep(DELIVERY_S)
        received = sum(len(e.orders) for e in self.engines)
        # A stand-in that is held up carries out an order that it answers late.
        self.assertLessEqual(received,
                             len(router.events("order_sent")) - given_up)
        self.assertGreaterEqual(received,
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


class CrashTest(CutOffTest):
    ROUTERS = 2
    BODY = b"the same for all"
    COPIES = 12

    # A router without links took them for the crashes of all engines, and all
    # routers held back the requests that ran there.
    def assert_served_elsewhere(self, cut):
        gate = self.start_copies()
        cut(self.links["r0"])
        time.sleep(CRASHES_KNOWN_S)
        gate.set()
        answer = self.fleet.ask(self.routers["r1"], "/ask/once/x", self.BODY)
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(self.routers["r1"].events("request_held"), [])

    def start_copies(self):
        """Has the same request run on each engine, sent by r0."""
        gate = threading.Event()
        self.addCleanup(gate.set)
        for engine in self.engines:
            engine.gate = gate
        for _ in range(self.COPIES):
            threading.Thread(target=self.send_copy, daemon=True).start()
        wait_for(lambda: all(e.seen for e in self.engines), "all run it")
        return gate

    def send_copy(self):
        try:
            self.fleet.ask(self.routers["r0"], "/ask/once/x", self.BODY)
        except (OSError, http.client.HTTPException):
            pass  # its stream was cut

    def test_reset_links_hold_no_request_back_elsewhere(self):
        self.assert_served_elsewhere(Links.cut_with_resets)

    def test_silent_links_hold_no_request_back_elsewhere(self):
        self.assert_served_elsewhere(Links.cut_silently)


class ForwardTest(CutOffTest):
    PATHS = ("/ask/x", "/read/x", "/write/x")

    def start_router(self, name):
        super().start_router(name, connect_timeout="400ms",
                             first_token_timeout="1500ms",
                             token_timeout="800ms", probe_silent="yes")

    # Callers of a router without links were refused while other routers
    # reached all upstreams.
    def assert_served(self, cut, count):
        names = list(self.routers)
        statuses = self.call_all(names[:count], cut)
        failed = [status for status in statuses if status != 200]
        self.assertGreater(len(statuses), ENOUGH_CALLS)
        self.assertLessEqual(len(failed), len(statuses) / 50, failed)
        for upstream in self.upstreams:
            ids = [seen["X-Request-Id"] for seen in upstream.seen
                   if seen[":path"].startswith("/write/")]
            self.assertEqual(len(ids), len(set(ids)), "ran twice")

    def call_all(self, names, cut):
        """Calls the named routers, which lose their links, and returns the
        statuses of the calls made in a while after that is known."""
        ends = threading.Event()
        calls = []
        callers = [threading.Thread(target=self.call_until,
                                    args=(name, path, calls, ends))
                   for name in names for path in self.PATHS]
        for caller in callers:
            caller.start()
        time.sleep(CUT_OFF_PAUSE_S * 5)
        for name in names:
            cut(self.links[name])
        known = time.monotonic() + CONTACT_S
        time.sleep(CONTACT_S + MEASURED_S)
        ends.set()
        for caller in callers:
            caller.join()
        return [status for start, status in calls if start > known]

    def call_until(self, name, path, calls, ends):
        while not ends.wait(CUT_OFF_PAUSE_S):
            start = time.monotonic()
            try:
                status = self.fleet.ask(
                    self.routers[name], path, wait_ms=CALL_LIMIT_MS,
                    X_Request_Id=uuid.uuid4().hex).status
            except (OSError, http.client.HTTPException):
                status = None
            calls.append((start, status))

    # Routers refused calls for seconds after all of them had their links back:
    # they probed upstreams less and less often.
    def test_links_are_used_soon_after_they_are_back(self):
        for links in self.links.values():
            links.cut_with_resets()
        end = time.monotonic() + LONG_CUT_S
        while time.monotonic() < end:
            for router in self.routers.values():
                self.fleet.ask(router, "/read/x", wait_ms=GIVEN_UP_MS)
            time.sleep(CUT_OFF_PAUSE_S)
        for links in self.links.values():
            links.heal()
        for router in self.routers.values():
            wait_for(lambda r=router:
                     self.fleet.ask(r, "/read/x").status == 200,
                     "an answer", LINKS_USED_S)

    def test_silent_links_leave_callers_served(self):
        self.assert_served(Links.cut_silently, 2)

    def test_reset_links_leave_callers_served(self):
        self.assert_served(Links.cut_with_resets, 3)

    def test_refused_links_leave_callers_served(self):
        self.assert_served(Links.refuse_new, 2)

    # Calls of a service whose connections had ended were refused for as long as
    # upstreams of another one answered on theirs.
    def test_refused_links_to_one_service_leave_callers_served(self):
        def cut(links):
            links.refuse_new()
            self.plain.more_headers = {"Connection": "close"}
        self.assert_served(cut, 2)


if __name__ == "__main__":
    unittest.main()
