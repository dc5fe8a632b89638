"""Urgent and less urgent requests while a dispatcher of partitioned groups of
engines is lost, stands still or ends, and while the store is away."""
import http.client
import re
import signal
import threading
import time
import unittest
import zlib

import fleet as stand_ins
from cluster import HOST, OPERATOR_KEY, wait_for
from fleet import Fleet, route

EVENTS = b"".join(b"id: %d\ndata: piece-%d\n\n" % (i, i) for i in range(5))
NOT_RUN = (408, 421, 429, 503)
CUT = (http.client.HTTPException, OSError)
ENGINES = 16  # minimum that is divided into groups
US_PER_TOKEN = 18
URGENT_TOKENS = 400
OTHER_TOKENS = 17000  # computed in 0.3 s, longer than the urgent objective
BURST_TOKENS = 10000  # of which an engine begins one in time
ROUTES = [route("urgent", "/ask/urgent/", "stream", "engines", priority=0,
                target_latency_ms=250),
          route("others", "/ask/others/", "stream", "engines", priority=2,
                target_latency_ms=1500)]


class PromptEngine(stand_ins.Upstream):
    """Computes prompts one after the other, in the time that their length
    takes; the body of a request is that length."""

    def __init__(self, store, name):
        self.ran = []  # ids of all requests that began
        self.computing = threading.Lock()
        super().__init__(store, name, "engines", "m")

    def run(self, call, body, request_id):
        self.ran.append(request_id)
        with self.computing:
            time.sleep(int(body) * US_PER_TOKEN / 1e6)
        super().run(call, body, request_id)


class Outcome:
    """What became of one request."""

    def __init__(self, request_id, is_urgent):
        self.id = request_id
        self.is_urgent = is_urgent
        self.status = None  # None if it was cut off
        self.body = b""
        self.sent_at = time.monotonic()
        self.took_s = None

    def __repr__(self):
        return "%s: status %s, %d bytes, %.3f s" % (
            self.id, self.status, len(self.body), self.took_s)


class Load:
    """Requests of both kinds to one router, until it is stopped."""

    CALLERS = (("urgent", 3, 0.05), ("others", 3, 0.15))

    def __init__(self, fleet, router, name, callers=CALLERS):
        self.fleet = fleet
        self.router = router
        self.name = name
        self.outcomes = []
        self.is_over = threading.Event()
        self.refuses = threading.Event()  # the router takes no connections
        self.threads = [
            threading.Thread(target=self.run, args=(kind, number, pause_s))
            for kind, count, pause_s in callers
            for number in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, kind, caller, pause_s):
        number = 0
        while not self.is_over.wait(pause_s):
            number += 1
            self.ask(kind, "%s-%s-%d-%d" % (self.name, kind, caller, number))

    def ask(self, kind, request_id, tokens=None, first=None):
        """Sends a request, whose prompt begins with the part `first`."""
        is_urgent = kind == "urgent"
        if tokens is None:
            tokens = URGENT_TOKENS if is_urgent else OTHER_TOKENS
        own = zlib.crc32(request_id.encode())
        if first is None:
            first = own % 64 if is_urgent else own
        outcome = Outcome(request_id, is_urgent)
        prefix = "%x:%d,%x:%d" % (first, tokens // 2, own, tokens // 2)
        try:
            answer = self.fleet.ask(
                self.router, "/ask/%s/x" % kind, b"%d" % tokens,
                wait_ms=5000, X_Request_Id=request_id,
                X_Token_Usage="%d,10" % tokens, X_Prompt_Prefix=prefix)
            outcome.status, outcome.body = answer.status, answer.body
        except ConnectionRefusedError:
            self.refuses.set()
            return
        except CUT:
            pass
        outcome.took_s = time.monotonic() - outcome.sent_at
        self.outcomes.append(outcome)

    def stop(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join()


class DispatcherTest(unittest.TestCase):
    """Two routers, each of which dispatches one of two groups."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.engines = [self.fleet.add(PromptEngine(self.fleet.store,
                                                    "e%d" % i))
                        for i in range(ENGINES)]
        self.fleet.config(routes=ROUTES)
        self.router = self.start("r1")
        self.dispatcher = self.start("r2", self.router.peer_address)
        for router in (self.router, self.dispatcher):
            wait_for(lambda: len(router.events("upstream_listed")) >= ENGINES,
                     "all engines listed")
            router.wait_event("member_joined")
        self.loads = []
        self.addCleanup(self.stop_loads)

    def start(self, name, *seeds):
        peers = {"mesh_routers": "1", "seeds": ",".join(seeds)}
        if not seeds:
            del peers["seeds"]
        router = self.fleet.router(name, peers=peers, refuse_late="yes",
                                   partition_engines="yes")
        wait_for(lambda: self.fleet.is_ready(router), "ready")
        return router

    def start_load(self, router, name):
        self.loads.append(Load(self.fleet, router, name))
        return self.loads[-1]

    def stop_loads(self):
        for load in self.loads:
            load.stop()

    def count(self, router, name):
        """Returns the sum of a router's counters of a name."""
        connection = http.client.HTTPConnection(
            HOST, router.operator_port, timeout=60)
        connection.request("GET", "/metrics", headers={
            "Authorization": "Bearer " + OPERATOR_KEY})
        text = connection.getresponse().read().decode()
        connection.close()
        return sum(int(number) for number in re.findall(
            r"^\w*%s(?:\{[^}]*\})? (\d+)$" % name, text, re.M))

    def await_partition(self):
        """Waits until the dispatcher decides by group for the other router."""
        wait_for(lambda: self.count(self.dispatcher, "group_decisions_total")
                 and self.count(self.dispatcher, "places_answered_total"),
                 "decisions of the dispatcher")
        time.sleep(1)  # the load goes on

    def assert_urgent_in_time(self, load, since):
        urgent = [o for o in load.outcomes
                  if o.is_urgent and o.sent_at >= since]
        self.assertGreater(len(urgent), 20)
        late = [o for o in urgent
                if o.status != 200 or o.body != EVENTS or o.took_s > 1]
        self.assertEqual(late, [])

    def assert_ran_at_most_once(self):
        ran = [request for engine in self.engines for request in engine.ran]
        self.assertEqual(len(ran), len(set(ran)))
        refused = {o.id for load in self.loads for o in load.outcomes
                   if o.status in NOT_RUN}
        self.assertEqual(refused & set(ran), set())

    def finish(self, load, since):
        time.sleep(2)  # the load goes on
        self.stop_loads()
        self.assert_urgent_in_time(load, since)
        self.assert_ran_at_most_once()

    def test_a_killed_dispatcher_delays_no_urgent_request(self):
        load = self.start_load(self.router, "a")
        lost = self.start_load(self.dispatcher, "b")
        self.await_partition()
        since = time.monotonic()
        self.dispatcher.signal(signal.SIGKILL)
        lost.refuses.wait(60)
        lost.stop()
        self.finish(load, since)

    def test_a_dispatcher_that_stands_still_delays_no_urgent_request(self):
        load = self.start_load(self.router, "a")
        self.await_partition()
        since = time.monotonic()
        self.dispatcher.signal(signal.SIGSTOP)
        time.sleep(2)  # the load goes on
        self.dispatcher.signal(signal.SIGCONT)
        self.finish(load, since)
        self.assertGreater(self.count(self.router, "places_unanswered_total"),
                           0)

    def test_a_dispatcher_that_is_told_to_end_cuts_nothing_off(self):
        load = self.start_load(self.router, "a")
        ending = self.start_load(self.dispatcher, "b")
        self.await_partition()
        since = time.monotonic()
        self.dispatcher.signal(signal.SIGTERM)
        ending.refuses.wait(60)
        ending.stop()
        self.assertEqual(self.dispatcher.process.wait(60), 0)
        self.finish(load, since)
        cut = [o for l in self.loads for o in l.outcomes
               if o.status is None or o.status == 200 and o.body != EVENTS]
        self.assertEqual(cut, [])

    def burst(self, prefix):
        """Sends at once more urgent requests of one home than the engines of
        a group can begin in time; returns the outcomes and the engines."""
        load = Load(self.fleet, self.router, "burst%d" % prefix, callers=())
        self.loads.append(load)
        threads = [threading.Thread(target=load.ask, args=(
            "urgent", "burst%d-%d" % (prefix, i), BURST_TOKENS, prefix))
            for i in range(48)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return {engine.name for engine in self.engines
                if any(request.startswith("burst%d-" % prefix)
                       for request in engine.ran)}

    def placements(self, prefix):
        """Returns how the requests of a burst were placed."""
        name = "burst%d-" % prefix
        return {event["reason"]
                for event in self.router.events("request_placed")
                if event["request"].startswith(name)}

    def ask_without_prefix(self, kind, number):
        is_urgent = kind == "urgent"
        tokens = URGENT_TOKENS if is_urgent else OTHER_TOKENS
        answer = self.fleet.ask(
            self.router, "/ask/%s/x" % kind, b"%d" % tokens, wait_ms=5000,
            X_Request_Id="%s-%d" % (kind, number),
            X_Token_Usage="%d,10" % tokens, X_Prompt_Prefix="")
        self.assertEqual(answer.status, 200)

    def test_requests_without_a_prefix_are_not_decided_by_group(self):
        """Every router partitioned groups of other dispatchers.

        A request without a prefix has no home, so that it is placed by the
        router that was asked, which took itself for the dispatcher.
        """
        for number in range(12):
            self.ask_without_prefix("others", number)
            self.ask_without_prefix("urgent", number)
        self.assertEqual(self.count(self.router, "group_decisions_total"), 0)

    def test_a_burst_on_one_group_uses_the_other_one(self):
        """Urgent requests were refused while engines of the second group were
        idle.

        The router that dispatches for the second group refused requests that
        the dispatcher of the first one had no room for, without a time to
        return, as it asked only other routers.
        """
        self.start_load(self.router, "a")
        self.await_partition()
        for prefix in range(100, 104):
            self.burst(prefix)
            placements = self.placements(prefix)
            self.assertIn("dispatched", placements)
            self.assertGreater(len(placements), 1, placements)
            self.assert_served_in_time(self.loads[-1])
            time.sleep(1)  # the load goes on
        self.stop_loads()
        self.assert_ran_at_most_once()

    def assert_served_in_time(self, load):
        served = [o for o in load.outcomes if o.status == 200]
        self.assertGreater(len(served), 0)
        self.assertEqual([o for o in served if o.took_s > 1], [])
        self.assertEqual([o for o in load.outcomes if o.status is None], [])

    def test_a_burst_is_spread_over_the_engines_of_its_group(self):
        """A dispatcher placed all requests of a burst that it received itself
        on one engine, where most waited for seconds.

        It counted the prompts that it had placed for other routers, but not
        those of its own requests.
        """
        self.start_load(self.router, "a")
        self.await_partition()
        for prefix in range(100, 104):
            used = self.burst(prefix)
            self.assertGreater(len(used), 1)
            self.assert_served_in_time(self.loads[-1])
            time.sleep(1)  # the load goes on
        self.stop_loads()
        self.assert_ran_at_most_once()

    def test_an_absent_store_delays_no_urgent_request(self):
        load = self.start_load(self.router, "a")
        self.await_partition()
        since = time.monotonic()
        self.fleet.store.down = True
        self.finish(load, since)


if __name__ == "__main__":
    unittest.main()
