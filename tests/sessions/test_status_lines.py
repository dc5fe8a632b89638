"""Answers whose first line states no status: callers got them with a status
that no upstream may give, or as a sound 200."""
import json
import unittest

from cluster import Cluster, uuid7, wait_for
from faultproxy import FaultProxy
from fleet import Fleet, read_parts
from forms import NO_STATUS, SOUND, STATUS_LINES, FormedUpstream
from test_answer_forms import EVENTS, FormedFleet, FormedService, wait_until
from test_forwarding import ForwardedTest

FAULT = "status line"
STATUSES = (200, 226, 299, 418, 451, 500, 599)
PATHS = ("/read/x", "/write/x", "/ask/x", "/ask/once/x")


def run_of(body):
    return json.loads(body)["error"]["run"]


def line_of(status_line, status=200):
    return status_line.replace("%d", str(status)).encode("latin-1")


class UpstreamTest(unittest.TestCase):
    def setUp(self):
        self.fleet = FormedFleet()
        self.addCleanup(self.fleet.close)
        self.upstreams = [self.fleet.upstream(name, service, model)
                          for name, service, model in
                          (("e1", "engines", "m"), ("e2", "engines", "m"),
                           ("p1", "plain", None), ("p2", "plain", None))]
        for upstream in self.upstreams:
            upstream.received = []
        self.router = self.fleet.start(eject_failures="1000",
                                       retry_allowance="100000")

    def use(self, form):
        for upstream in self.upstreams:
            upstream.form = form

    def take_runs(self):
        runs = sum(len(upstream.received) for upstream in self.upstreams)
        for upstream in self.upstreams:
            upstream.received = []
        return runs

    def find_fault(self, path):
        answer = self.fleet.ask(self.router, path, wait_ms=5000)
        runs = self.take_runs()
        may_repeat = path in ("/read/x", "/ask/x")
        if answer.status != 502 or run_of(answer.body) == "not_run":
            return answer.status, answer.body[:80]
        return None if runs == (2 if may_repeat else 1) else (runs, "runs")

    def test_callers_get_502(self):
        faults = []
        for form in NO_STATUS:
            self.use(form)
            faults += [(form.name, path, fault) for path in PATHS
                       if (fault := self.find_fault(path))]
        self.assertEqual(faults, [])
        ends = self.router.events("attempt_ended")
        self.assertEqual({(end["end"], FAULT in end.get("reason", ""))
                          for end in ends}, {("bad_answer", True)})

    # A connection that carried one is not used again.
    def test_connections_end(self):
        faults = []
        for form in NO_STATUS:
            ports = []
            for upstream in self.upstreams:
                upstream.callers = set()
            for one in (form, SOUND[0]):
                self.use(one)
                self.fleet.ask(self.router, "/read/x", wait_ms=5000)
                ports.append(set().union(*(
                    upstream.callers for upstream in self.upstreams)))
            if len(ports[1]) == len(ports[0]):
                faults.append(form.name)
        self.assertEqual(faults, [])

    # Those that say what a refusal says with a status do not count as one.
    def test_refusals(self):
        faults = []
        for upstream in self.upstreams:
            upstream.shed = True
        for form in NO_STATUS:
            self.use(form)
            for path in PATHS:
                answer = self.fleet.ask(self.router, path, wait_ms=5000)
                if answer.status != 502 or run_of(answer.body) == "not_run":
                    faults.append((form.name, path, answer.status))
        self.assertEqual(faults, [])

    def test_statuses_of_three_digits(self):
        for status in STATUSES:
            for upstream in self.upstreams:
                upstream.status = status
            for path in ("/read/x", "/write/x"):
                answer = self.fleet.ask(self.router, path, wait_ms=5000)
                self.assertEqual((answer.status, path), (status, path))

    # The answer to a probe proves nothing, so that the doubt remains.
    def test_probes(self):
        self.use(NO_STATUS[STATUS_LINES.index("HTTP/1.1 0%d x")])
        for upstream in self.upstreams:
            upstream.cut_calls = True
        for path in PATHS:
            self.fleet.ask(self.router, path, wait_ms=5000)
        silent = self.router.wait_event("upstream_silent")
        self.assertEqual({FAULT in line["reason"] for line in silent}, {True})
        self.assertFalse(wait_until(
            lambda: self.router.events("upstream_reached"), 1.5))
        self.use(SOUND[0])
        self.router.wait_event("upstream_reached")


class OrdersTest(unittest.TestCase):
    """Engines whose answers to orders and whose reports have these lines."""

    def test_orders(self):
        fleet = FormedFleet()
        self.addCleanup(fleet.close)
        engines = [fleet.upstream("e%d" % number, "engines", "m")
                   for number in range(len(NO_STATUS))]
        router = fleet.start()
        for engine, form in zip(engines, NO_STATUS):
            engine.form = form
        fleet.store.put("keyed.op", "version/m", {"model": "m", "version": 2})

        def unread():
            return {line["upstream"] for event in
                    ("order_unanswered", "engine_state_unanswered")
                    for line in router.events(event) if FAULT in line["reason"]}
        wait_until(lambda: len(unread()) == len(engines), 10)
        self.assertEqual([engine.form.name for engine in engines
                          if engine.name not in unread()], [])
        self.assertEqual(router.events("order_answered"), [])


class NativeTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def test_services(self):
        service = FormedService()
        self.addCleanup(service.close)
        self.cluster.declare_upstream("s1", service.address, "ledger",
                                      "service")
        router = self.cluster.start(eject_failures="1000")
        statuses = []
        for form in NO_STATUS:
            service.form = form
            answer = router.complete(
                {}, path="/v1/services/ledger/x",
                **{"Idempotency-Key": uuid7(), "X-Request-Deadline-Ms": "2000"})
            statuses.append((form.name, answer.status))
        self.assertEqual([status for status in statuses if status[1] != 502],
                         [])

    def proxied_engine(self):
        engine = self.cluster.engine("e1")
        self.cluster.upstreams = ""
        proxy = self.cluster.add(FaultProxy(engine.port))
        self.cluster.declare_upstream("e1", proxy.address, "m")
        return proxy

    def test_engines(self):
        proxy = self.proxied_engine()
        router = self.cluster.start(eject_failures="1000")
        statuses = []
        for line in STATUS_LINES:
            proxy.status_line = line_of(line)
            answer = router.complete({"model": "m", "prompt": "a",
                                      "max_tokens": 2})
            statuses.append((line, answer.status))
        self.assertEqual([status for status in statuses if status[1] != 502],
                         [])
        failed = router.events("attempt_failed")
        self.assertEqual({end["reason"] for end in failed}, {"bad_answer"})

    def test_operators(self):
        self.cluster.engine("e1")
        router = self.cluster.start()
        proxy = self.cluster.add(FaultProxy(router.operator_port))

        class Proxied:
            operator_port = proxy.port
        self.assertEqual(self.cluster.command(
            "status", routers=[Proxied]).returncode, 0)
        ends = []
        for line in STATUS_LINES:
            proxy.status_line = line_of(line)
            done = self.cluster.command("status", routers=[Proxied])
            ends.append((line, done.returncode != 0 and FAULT in done.stderr))
        self.assertEqual([end for end in ends if not end[1]], [])


class FormedUpstreams(Fleet):
    def engine(self, name):
        return self.add(FormedUpstream(self.store, name, "engines", "m"))

    def plain(self, name):
        return self.add(FormedUpstream(self.store, name, "plain"))


class RelayedTest(ForwardedTest):
    """Another router, of another build, relays an answer with such a line."""

    FLEET = FormedUpstreams
    ROUTERS = 2
    ENGINES = 1

    def setUp(self):
        super().setUp()
        peer = self.routers["r1"].port
        self.proxy = FaultProxy(peer)
        self.addCleanup(self.proxy.kill)
        links = self.links["r0"]
        plain = links._redirect

        def redirect(find=None):
            plain(find and (lambda port: self.proxy.port if port == peer
                            else find(port)))
        links.ports[peer] = self.proxy.port
        links._redirect = redirect
        self.lose("r0")

    def test_relayed_answers(self):
        self.assertGreater(self.proxy.connections, 0)
        faults = []
        for line in STATUS_LINES:
            self.proxy.status_line = line_of(line)
            for path in PATHS:
                response = self.open("r0", path, wait_ms=5000)
                body, _ = read_parts(response)
                if response.status != 502 or run_of(body) == "not_run":
                    faults.append((line, path, response.status, body[:80]))
        self.assertEqual(faults, [])
        self.proxy.status_line = None
        response = self.open("r0", "/ask/x", wait_ms=5000)
        self.assertEqual(read_parts(response), (EVENTS, True))


if __name__ == "__main__":
    unittest.main()
