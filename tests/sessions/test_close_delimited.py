"""Answers whose end only the end of their connection marks: a caller never
gets one that was broken off as if it were complete."""
import collections
import http.client
import signal
import socket
import threading
import unittest

from cluster import HOST, Cluster, uuid7, wait_for
from fleet import BREAKS, Fleet, is_framed, read_parts
from links import Links
from test_cut_off import CutOffTest

EVENTS = 5
EVENTS_SENT = 2
CALLS = 6
# The breaks that show that the last event is not complete.
SEEN_BREAKS = ("inside_event", "blank_line")

# framed: the answer has a length or chunks; ended: it ended in the way that
# its head promised, or with its connection in an orderly way
Received = collections.namedtuple("Received", "status framed ended body")


def receive(response):
    framed = is_framed(response)
    body, ended = read_parts(response)
    response.close()
    return Received(response.status, framed, ended, body)


def events(first=0, end=EVENTS):
    return b"".join(b"id: %d\ndata: piece-%d\n\n" % (n, n)
                    for n in range(first, end))


CALL_BODY = b"POST /read/x 1 bytes"


class Gate:
    """Lets a number of events pass, the others once it is open."""

    def __init__(self, count):
        self.free = threading.Semaphore(count)
        self.rest = threading.Event()

    def wait(self, limit):
        if not self.free.acquire(blocking=False):
            self.rest.wait(limit)


class CloseDelimitedTest(unittest.TestCase):
    ENGINES = 3

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.engines = [self.fleet.engine("e%d" % n, pieces=EVENTS)
                        for n in range(self.ENGINES)]
        self.services = [self.fleet.plain("p%d" % n)
                         for n in range(self.ENGINES)]
        self.upstreams = self.engines + self.services
        self.router = self.fleet.start()

    def set_all(self, **attributes):
        for upstream in self.upstreams:
            for name, value in attributes.items():
                setattr(upstream, name, value)

    def ask(self, path, **more):
        return receive(self.fleet.request(self.router, path, **more))

    def runs(self):
        return sum(len(upstream.seen) for upstream in self.upstreams)

    def assert_unknown_end(self, received, body):
        self.assertEqual(received, Received(200, False, True, body))

    def assert_broken(self, received):
        if received.status == 200:
            self.assertFalse(received.ended, received)
        else:
            self.assertEqual(received.status, 502)


class WholeTest(CloseDelimitedTest):
    def check_all(self):
        for _ in range(CALLS):
            self.assert_unknown_end(self.ask("/ask/x"), events())
            self.assert_unknown_end(self.ask("/ask/once/x"), events())
            self.assert_unknown_end(self.ask("/read/x"), CALL_BODY)
        self.assertEqual(self.runs(), 3 * CALLS)
        self.assertEqual(self.router.events("attempt_failed"), [])

    # Answers without a length arrive whole and promise no more.
    def test_answers_without_a_length(self):
        self.set_all(framed=False)
        self.check_all()

    # Those of upstreams that speak HTTP/1.0 as well.
    def test_answers_of_http_1_0(self):
        self.set_all(framed=False, http_version="HTTP/1.0")
        self.check_all()

    # A header about a kept connection does not make the body empty.
    def test_answers_that_claim_to_keep_the_connection(self):
        self.set_all(framed=False, more_headers={"Connection": "keep-alive"})
        self.check_all()

    def test_answers_that_are_framed_stay_framed(self):
        self.assertEqual(self.ask("/ask/x"),
                         Received(200, True, True, events()))
        self.assertEqual(self.ask("/read/x"),
                         Received(200, True, True, CALL_BODY))

    # An error of an upstream has a body, too.
    def test_errors_without_a_length(self):
        self.set_all(framed=False, status=500)
        received = self.ask("/write/x")
        self.assertEqual((received.status, received.framed, received.ended),
                         (500, False, True))
        self.assertEqual(received.body, b"POST /write/x 1 bytes")


class BrokenTest(CloseDelimitedTest):
    ENGINES = 10  # those that broke off are avoided for a while

    def break_first(self, how, framed=False):
        """Makes each stream break off at the first engine that gets it."""
        self.set_all(framed=framed, cut_after=EVENTS_SENT, break_off=how)

    # A stream that ends inside an event goes on at another engine.
    def test_resumable_streams_go_on(self):
        for how in SEEN_BREAKS:
            self.break_first(how)
            for pieces in (EVENTS_SENT + 1, 2 * EVENTS_SENT):
                for engine in self.engines:
                    engine.pieces = pieces
                before = self.runs()
                received = self.ask("/ask/x", body=b"%d" % before)
                self.assert_unknown_end(received, events(end=pieces))
                self.assertEqual(self.runs(), before + 2)

    # One that may not go on ends so that its caller can see it.
    def test_streams_that_may_not_run_again_are_broken_off(self):
        for how in SEEN_BREAKS:
            self.break_first(how)
            received = self.ask("/ask/once/x")
            self.assert_broken(received)
            self.assertEqual(received.body, events(end=EVENTS_SENT))

    # Without an event it is refused.
    def test_streams_without_an_event_are_refused(self):
        self.set_all(framed=False, cut_after=0, break_off="inside_event")
        self.assertEqual(self.ask("/ask/once/x").status, 502)
        self.assertEqual(self.ask("/ask/x").status, 502)

    # Nothing tells such an end from that of a whole answer, so that the
    # caller's answer does not promise to be whole.
    def test_ends_that_show_nothing_are_not_framed(self):
        self.set_all(framed=False, cut_after=EVENTS_SENT,
                     break_off="between_events")
        self.assert_unknown_end(self.ask("/ask/x"), events(end=EVENTS_SENT))
        half = CALL_BODY[:len(CALL_BODY) // 2]
        self.assert_unknown_end(self.ask("/read/x"), half)

    def ask_and_change(self, begins_framed, **changes):
        """Asks for a stream that its first engine breaks off;
        changes the engines where it goes on."""
        gate = Gate(1)
        self.set_all(framed=begins_framed, gate=gate, cut_after=EVENTS_SENT,
                     cut_pause_s=0.02,
                     break_off=None if begins_framed else "inside_event")
        response = self.fleet.request(self.router, "/ask/x")
        first, = [engine for engine in self.engines if engine.seen]
        for engine in self.engines:
            if engine is not first:
                engine.cut_after = None
                for name, value in changes.items():
                    setattr(engine, name, value)
        gate.rest.set()
        return receive(response)

    # A framed answer that goes on without a frame does not end as complete.
    def test_a_promised_end_is_proven(self):
        received = self.ask_and_change(True, framed=False)
        self.assertEqual(received, Received(200, True, False, events()))

    # A stream that began without a frame may go on with one.
    def test_a_framed_rest_ends_an_unframed_answer(self):
        self.assert_unknown_end(self.ask_and_change(False, framed=True),
                                events())

    # An upstream whose answer ended with its connection gets a new one.
    def test_no_connection_is_used_again(self):
        self.set_all(framed=False)
        for _ in range(CALLS):
            self.ask("/write/x")
        ports = [port for service in self.services for port in service.callers]
        self.assertEqual(len(ports), CALLS)
        self.assertEqual(self.router.events("attempt_failed"), [])

    # A head that states two lengths proves none of them.
    def test_contradictory_lengths(self):
        for more in ({"Content-Length": "3"}, {"Transfer-Encoding": "gzip"},
                     {"Content-Length": "x"}):
            self.set_all(more_headers=more)
            received = self.ask("/read/x")
            self.assertEqual(received.status, 502, (more, received))


class CallerTest(CloseDelimitedTest):
    """Callers of HTTP/1.0, to whom all streams are close-delimited."""

    def ask_1_0(self, path, *lines):
        raw = socket.create_connection((HOST, self.router.port))
        raw.settimeout(20)
        self.fleet.numbers += 1
        head = ["POST %s HTTP/1.0" % path, "Host: shop.example",
                "X-Request-Id: id%d" % self.fleet.numbers, "Api-Key: key-a",
                "X-Deadline-Ms: 9000", "X-Model: m", "Content-Length: 1",
                "X-Token-Usage: 300,10", "X-Prompt-Prefix: ab:300", *lines]
        raw.sendall("\r\n".join(head).encode() + b"\r\n\r\nx")
        response = http.client.HTTPResponse(raw)
        response.begin()
        received = receive(response)
        raw.close()
        return received

    def test_whole_streams(self):
        for lines in ((), ("Connection: keep-alive",)):
            self.assert_unknown_end(self.ask_1_0("/ask/x", *lines), events())

    # A stream that breaks off does not end in an orderly way.
    def test_broken_streams(self):
        self.set_all(cut_after=EVENTS_SENT, cut_pause_s=0.02)
        self.assert_broken(self.ask_1_0("/ask/once/x"))

    # A body that is known to be whole has a length.
    def test_calls_have_a_length(self):
        for lines in ((), ("Connection: keep-alive",)):
            self.assertEqual(self.ask_1_0("/read/x", *lines),
                             Received(200, True, True, CALL_BODY))


class KilledRouterTest(CloseDelimitedTest):
    # The end of a router's process does not end an answer in an orderly way.
    def test_answer_of_a_router_that_is_killed(self):
        self.set_all(framed=False, gate=Gate(EVENTS_SENT))
        response = self.fleet.request(self.router, "/ask/x")
        self.assertEqual(response.read(len(events(end=EVENTS_SENT))),
                         events(end=EVENTS_SENT))
        self.router.process.send_signal(signal.SIGKILL)
        received = receive(response)
        self.engines[0].gate.rest.set()
        self.assertFalse(received.framed)
        self.assertFalse(received.ended)

    # Nor does a stop that reaches its limit.
    def test_answer_of_a_router_whose_stop_ends(self):
        self.set_all(framed=False, gate=Gate(EVENTS_SENT))
        router = self.fleet.launch("r2", stop_limit="500ms")
        self.router = self.fleet.await_start(router)
        wait_for(lambda: self.fleet.is_ready(router), "ready")
        response = self.fleet.request(router, "/ask/x")
        router.signal(signal.SIGTERM)
        received = receive(response)
        self.engines[0].gate.rest.set()
        self.assertEqual(received, Received(200, False, False,
                                            events(end=EVENTS_SENT)))

    # A stop waits for it.
    def test_answer_of_a_router_that_is_stopped(self):
        gate = Gate(EVENTS_SENT)
        self.set_all(framed=False, gate=gate)
        response = self.fleet.request(self.router, "/ask/x")
        self.router.signal(signal.SIGTERM)
        self.router.wait_event("router_stopping")
        gate.rest.set()
        self.assert_unknown_end(receive(response), events())


class ForwardedTest(CutOffTest):
    """Answers that pass through a router without a path to upstreams."""

    ROUTERS = 3

    def start_router(self, name, **more):
        super().start_router(name, connect_timeout="400ms",
                             first_token_timeout="1500ms", **more)

    def setUp(self):
        super().setUp()
        for router in self.routers.values():
            wait_for(lambda r=router: len(r.events("member_joined"))
                     >= self.ROUTERS - 1, "peers")
        Links.cut_with_resets(self.links["r0"])
        router = self.routers["r0"]
        wait_for(lambda: router.events("upstream_path_lost")
                 or self.ask("/read/x", wait_ms=500) and False, "lost path")
        for upstream in self.upstreams:
            upstream.framed = False

    def ask(self, path, **more):
        return receive(self.fleet.request(self.routers["r0"], path, **more))

    def test_whole_answers(self):
        for _ in range(CALLS):
            self.assertEqual(self.ask("/ask/x"),
                             Received(200, False, True, events()))
            self.assertEqual(self.ask("/read/x"),
                             Received(200, False, True, CALL_BODY))
        self.assertTrue(self.routers["r0"].events("forward_done"))

    def test_streams_that_break_off(self):
        for how in BREAKS:
            for engine in self.engines:
                engine.cut_after, engine.break_off = EVENTS_SENT, how
            received = self.ask("/ask/once/x")
            self.assertFalse(received.framed and received.ended, how)
            self.assertEqual(received.ended, how == "between_events", how)

    # The other router is killed in the middle of the answer.
    def test_other_router_is_killed(self):
        gate = Gate(EVENTS_SENT)
        for engine in self.engines:
            engine.gate = gate
        response = self.fleet.request(self.routers["r0"], "/ask/once/x")
        response.read(len(events(end=EVENTS_SENT)))
        name = self.routers["r0"].events("request_forwarded")[-1]["router"]
        self.routers[name.strip('"')].process.kill()
        received = receive(response)
        gate.rest.set()
        self.assertFalse(received.ended)


class NativeTest(unittest.TestCase):
    """Calls of plain services on the project's own interface."""

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.service = self.cluster.service("l1", "ledger")
        self.cluster.engine("e1")
        self.router = self.cluster.start()

    def call(self):
        connection = http.client.HTTPConnection(HOST, self.router.port)
        connection.request("POST", "/v1/services/ledger/renew", b"{}",
                           {"Authorization": "Bearer acme-key",
                            "Idempotency-Key": uuid7()})
        return receive(connection.getresponse())

    def test_answers_without_a_length(self):
        whole = self.call()
        self.service.control(close_delimited=1)
        received = self.call()
        self.assertEqual((whole.status, whole.framed, whole.ended),
                         (200, True, True))
        self.assertEqual((received.status, received.framed, received.ended),
                         (200, False, True))
        self.assertEqual(len(received.body), len(whole.body))

    # Half an answer does not get a length of its own.
    def test_half_an_answer(self):
        self.service.control(close_delimited=1, half=1)
        received = self.call()
        self.assertEqual((received.status, received.framed), (200, False))
        self.assertEqual(sum(self.service.call("GET", "/records").values()), 1)


if __name__ == "__main__":
    unittest.main()
