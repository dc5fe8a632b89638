"""Invalid input from upstreams, callers and operators.

The router refuses it or ends the attempt with a named reason, uses bounded
memory for it, and sends it to no one else.
"""
import http.client
import json
import signal
import unittest

import test_fleet
from cluster import HANG_LIMIT, HOST, Answer, Cluster, uuid7, wait_for
from fleet import Fleet, Server, Upstream

EVENT_MAX = 65536
BLOCK = b"x" * 65536
BLOCKS = 1024
# Limit in bytes on the growth of a router's memory, sanitizers and what they
# retain included; far below the 64 MiB of one endless event.
GROWTH_MAX = 16 << 20
WHOLE = b"".join(b"id: %d\ndata: piece-%d\n\n" % (n, n) for n in range(5))


def peak_memory(router):
    """Returns the peak resident memory of the process in bytes."""
    with open("/proc/%d/status" % router.process.pid) as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
    raise AssertionError("no VmHWM")


def send_endless_event(call, one_chunk):
    """Sends an event of 64 MiB, in one HTTP chunk or in many."""
    head = b"id: 1\ndata: "
    size = len(BLOCK) * BLOCKS
    if one_chunk:
        call.wfile.write(b"%x\r\n%s" % (size + len(head), head))
    else:
        call.wfile.write(b"%x\r\n%s\r\n" % (len(head), head))
    for _ in range(BLOCKS):
        if one_chunk:
            call.wfile.write(BLOCK)
        else:
            call.wfile.write(b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK))
    call.wfile.write(b"\r\n" if one_chunk else b"")
    call.wfile.write(b"0\r\n\r\n")


class EndlessUpstream(Upstream):
    """An engine whose streams have a second event that never ends."""

    endless = True
    one_chunk = False
    only_first_of = ()  # of these, the one asked first is endless

    def stream(self, call, headers):
        later = sum(len(e.seen) for e in self.only_first_of) > 1
        if later or not self.endless:
            super().stream(call, headers)
            return
        self.send(call, headers, self.one_chunk)

    def send(self, call, headers, one_chunk):
        call.send_response(200)
        for name, value in headers.items():
            call.send_header(name.replace("_", "-"), value)
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        if "Last-Event-Id" not in call.headers:
            piece = b"id: 0\ndata: piece-0\n\n"
            call.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        send_endless_event(call, one_chunk)


class FleetEndlessEventTest(unittest.TestCase):
    """The memory of a router grew without a bound.

    An engine began an event of a stream and never ended it. The router
    buffered an event until its end, whatever its size; evhttp buffers a chunk
    until it is complete in the same way. The size of an event is now limited;
    a larger one ends the attempt as "oversized".
    """

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    def engine(self, name):
        return self.fleet.add(EndlessUpstream(self.fleet.store, name,
                                              "engines", "m"))

    def read_truncated(self, response):
        """Returns the bytes received of a truncated answer."""
        with self.assertRaises(http.client.IncompleteRead) as caught:
            response.read()
        return caught.exception.partial

    def check_bounded(self, one_chunk):
        for name in ("e1", "e2"):
            self.engine(name).one_chunk = one_chunk
        router = self.fleet.start(event_max="%dB" % EVENT_MAX)
        before = peak_memory(router)
        response = self.fleet.request(router, "/ask/x")
        self.assertEqual(self.read_truncated(response),
                         b"id: 0\ndata: piece-0\n\n")
        self.assertLess(peak_memory(router) - before, GROWTH_MAX)
        failures = router.wait_event("attempt_failed", 2)
        self.assertEqual([f["reason"] for f in failures], ["oversized"] * 2)
        logged = router.wait_event("event_oversized", 2)
        self.assertEqual({line["upstream"] for line in logged}, {"e1", "e2"})
        self.assertEqual(logged[0]["event_max"], str(EVENT_MAX))

    def test_an_event_in_many_chunks(self):
        self.check_bounded(False)

    def test_an_event_in_one_chunk(self):
        self.check_bounded(True)

    def test_another_engine_goes_on_with_the_stream(self):
        engines = [self.engine("e1"), self.engine("e2")]
        for engine in engines:
            engine.only_first_of = engines
        router = self.fleet.start(event_max="%dB" % EVENT_MAX)
        self.assertEqual(self.fleet.ask(router, "/ask/x").body, WHOLE)
        self.assertEqual(len(router.wait_event("event_oversized")), 1)
        self.assertEqual(sum(len(engine.seen) for engine in engines), 2)

    def test_a_large_event_below_the_bound_passes(self):
        engine = self.engine("e1")
        engine.endless = False
        router = self.fleet.start(event_max="1KiB")
        self.assertEqual(self.fleet.ask(router, "/ask/x").status, 200)
        self.assertEqual(router.events("event_oversized"), [])


class LargeUpstream(Upstream):
    """A plain service whose answer has a large body or a large head.

    The body has a Content-Length, or comes in many chunks or in one.
    """

    form = "length"

    def run(self, call, body, request):
        call.send_response(200)
        call.send_header("X-Request-Id", request)
        call.send_header("X-Server-Seal", "seal-" + self.name)
        size = len(BLOCK) * BLOCKS
        if self.form == "length":
            call.send_header("Content-Length", str(size))
        elif self.form == "head":
            call.send_header("Content-Length", "0")
            for number in range(BLOCKS):
                call.send_header("X-Large-%d" % number, BLOCK.decode())
        else:
            call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        if self.form == "length":
            for _ in range(BLOCKS):
                call.wfile.write(BLOCK)
        elif self.form != "head":
            send_endless_event(call, self.form == "one chunk")


class LargeAnswerTest(unittest.TestCase):
    """The memory of a router grew by the size of an answer.

    A plain service's answer, or the head of any answer, was buffered
    completely, whatever its size: one of 64 MiB grew the router by that and
    more, while a router may use 88 MB in total.
    """

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    def check_bounded(self, form, reason):
        plain = self.fleet.add(LargeUpstream(self.fleet.store, "p1", "plain"))
        plain.form = form
        router = self.fleet.start(answer_max="64KiB")
        before = peak_memory(router)
        answer = self.fleet.ask(router, "/write/x")
        self.assertEqual(answer.status, 502)
        self.assertIn(b'"run":"may_have_run"', answer.body)
        self.assertLess(peak_memory(router) - before, GROWTH_MAX)
        failures = router.wait_event("attempt_failed")
        self.assertEqual([f["reason"] for f in failures], [reason])
        self.assertEqual(len(plain.seen), 1)

    def test_a_body_with_a_length(self):
        self.check_bounded("length", "oversized")

    def test_a_body_in_chunks(self):
        self.check_bounded("chunks", "oversized")

    def test_a_body_in_one_chunk(self):
        self.check_bounded("one chunk", "oversized")

    def test_a_head(self):
        self.check_bounded("head", "bad_answer")

    def test_an_answer_below_the_bound_passes(self):
        plain = self.fleet.plain("p1")
        router = self.fleet.start(answer_max="1KiB")
        self.assertEqual(self.fleet.ask(router, "/write/x").status, 200)
        self.assertEqual(len(plain.seen), 1)


class MoveToEndlessEventTest(test_fleet.StreamTest):
    """The engine that a stream is moved to never ends its first event."""

    def check_stays(self, one_chunk):
        self.start_stream("/ask/x", event_max="%dB" % EVENT_MAX)
        for engine in self.others:
            engine.stream = lambda call, headers: EndlessUpstream.send(
                engine, call, headers, one_chunk)
        before = peak_memory(self.router)
        self.fleet.store.put("keyed.op", "version/m",
                             {"model": "m", "version": 2})
        stay_event = self.router.wait_event("stream_stays")[0]
        self.assertEqual(stay_event["reason"], "oversized")
        logged = self.router.wait_event("event_oversized")[0]
        self.assertEqual(logged["upstream"], stay_event["to"])
        self.assertLess(peak_memory(self.router) - before, GROWTH_MAX)
        self.first.gate.open()
        self.assert_whole()

    def test_a_stream_stays_for_an_event_in_many_chunks(self):
        self.check_stays(False)

    def test_a_stream_stays_for_an_event_in_one_chunk(self):
        self.check_stays(True)


class EndlessEngine(Server):
    """An engine of the native interface with an event that never ends."""

    one_chunk = False

    def handle(self, call):
        call.body()
        if call.path != "/v1/completions":
            call.reply(404)
            return
        call.send_response(200)
        for name, value in (("X-Attempt-Id", call.headers["X-Attempt-Id"]),
                            ("X-Engine-Incarnation", "1"),
                            ("X-Stream-Id", "s1"),
                            ("X-Weights-Version", "v1"),
                            ("Transfer-Encoding", "chunked")):
            call.send_header(name, value)
        call.end_headers()
        send_endless_event(call, self.one_chunk)


class NativeEndlessEventTest(unittest.TestCase):
    """As FleetEndlessEventTest, on the native interface."""

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def check_bounded(self, one_chunk):
        engine = EndlessEngine()
        engine.one_chunk = one_chunk
        self.addCleanup(engine.close)
        self.cluster.declare_upstream("e1", engine.address, "m")
        router = self.cluster.start(event_max="%dB" % EVENT_MAX,
                                    max_attempts="2")
        before = peak_memory(router)
        answer = router.complete({"model": "m", "prompt": "x",
                                  "max_tokens": 2})
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.error()["code"], "upstream_failed")
        self.assertLess(peak_memory(router) - before, GROWTH_MAX)
        failures = router.wait_event("attempt_failed", 2)
        self.assertEqual([f["reason"] for f in failures], ["oversized"] * 2)
        self.assertEqual(router.count("events_oversized_total"), 2)

    def test_an_event_in_many_chunks(self):
        self.check_bounded(False)

    def test_an_event_in_one_chunk(self):
        self.check_bounded(True)


def change_settings(router, **values):
    """Gives keys of a router's settings file other values."""
    with open(router.path) as file:
        lines = file.read().splitlines()
    for key, value in values.items():
        wanted = [line for line in lines if not line.startswith(key + " =")]
        if len(wanted) == len(lines):
            raise AssertionError("not in the file: " + key)
        lines = ["%s = %s" % (key, value) if line.startswith(key + " =")
                 else line for line in lines]
    with open(router.path, "w") as file:
        file.write("\n".join(lines) + "\n")


class ReloadCase(unittest.TestCase):
    """SIGHUP left changed settings out of force, and no log line said so.

    The log said that the changed file was taken. Complete sections were
    copied, but some modules kept the values from their start, and other
    sections were not compared. Each key is now marked as changeable or not:
    modules are notified of changeable keys, and the log names the others.
    """

    def reload(self, router, **values):
        before = len(router.events("settings_reloaded"))
        change_settings(router, **values)
        router.signal(signal.SIGHUP)
        return router.wait_event("settings_reloaded", before + 1)[-1]

    def waiting(self, router):
        return [(line["section"], line["key"], line["until"])
                for line in router.events("setting_waits")]


class FleetReloadTest(ReloadCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    def start(self, **settings):
        self.plain = [self.fleet.plain("p1"), self.fleet.plain("p2")]
        return self.fleet.start(**settings)

    def test_keys_that_must_wait_are_named_and_the_others_taken(self):
        router = self.start(max_body="4KiB")
        body = b"x" * 3000
        self.assertEqual(self.fleet.ask(router, "/write/x", body).status, 200)
        logged = self.reload(router, hall="hall-b", lease="700ms",
                             max_body="2KiB")
        self.assertEqual((logged["outcome"], logged["waiting"]),
                         ("taken", "2"))
        self.assertEqual(self.waiting(router),
                         [("router", "hall", "restart"),
                          ("platform", "lease", "restart")])
        self.assertEqual(self.fleet.ask(router, "/write/x", body).status, 413)

    def test_a_broken_file_changes_nothing_and_says_where(self):
        router = self.start(max_body="4KiB", retry_allowance="100")
        logged = self.reload(router, max_body="1KiB", hall="hall-b",
                             retry_allowance="many")
        self.assertEqual((logged["outcome"], logged["problems"]),
                         ("refused", "1"))
        fault = router.wait_event("setting_at_fault")[0]
        self.assertEqual((fault["section"], fault["key"], fault["reason"]),
                         ("limits", "retry_allowance", "bad_value"))
        self.assertEqual(self.waiting(router), [])
        answer = self.fleet.ask(router, "/write/x", b"x" * 3000)
        self.assertEqual(answer.status, 200)

    def test_waits_for_the_configuration(self):
        router = self.start()
        waits = self.fleet.store.waits
        wait_for(lambda: ("keyed.op", 100) in waits, "a read")
        self.reload(router, reader_wait="130ms", config_wait="130ms")
        wait_for(lambda: ("keyed.op", 130) in waits, "a longer read")

    def test_share_of_retries(self):
        router = self.start(retry_percent="20")
        for plain in self.plain:
            plain.status = 500
        self.fleet.ask(router, "/read/x")
        first = router.wait_event("attempt_failed", 2)
        self.assertEqual([e["next"] for e in first], ["elsewhere", "give_up"])
        self.reload(router, retry_percent="0")
        self.fleet.ask(router, "/read/x")
        last = router.wait_event("attempt_failed", 3)[2:]
        self.assertEqual([(e["next"], e["budget"]) for e in last],
                         [("give_up", "0")])

    def test_kept_connections(self):
        router = self.start(idle_connections="8")
        for _ in range(8):
            self.fleet.ask(router, "/read/x")
        self.assertLess(self.connections(), 8)
        self.reload(router, idle_connections="0")
        before = self.connections()
        for _ in range(8):
            self.fleet.ask(router, "/read/x")
        self.assertGreaterEqual(self.connections() - before, 7)

    def connections(self):
        return sum(len(plain.callers) for plain in self.plain)


class NativeReloadTest(ReloadCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def test_an_open_connection_takes_the_new_bound_on_bodies(self):
        self.cluster.engine("e1")
        router = self.cluster.start(max_body="400KiB", log_poll="1s")
        body = json.dumps({"model": "m", "prompt": "x" * 300000,
                           "max_tokens": 2})
        connection = http.client.HTTPConnection(HOST, router.port,
                                                timeout=HANG_LIMIT)
        self.addCleanup(connection.close)

        def ask():
            connection.request("POST", "/v1/completions", body,
                               router.headers())
            response = connection.getresponse()
            response.read()
            return response.status

        self.assertEqual(ask(), 200)
        logged = self.reload(router, max_body="100KiB", log_poll="2s")
        self.assertEqual((logged["outcome"], logged["waiting"]),
                         ("taken", "1"))
        self.assertEqual(self.waiting(router),
                         [("platform", "log_poll", "restart")])
        # The open connection applies the new limit from its next request on.
        self.assertEqual(ask(), 200)
        self.assertEqual(ask(), 413)


def send_with(port, path, headers):
    """Sends a request with these headers, in order and with duplicates."""
    connection = http.client.HTTPConnection(HOST, port,
                                            timeout=HANG_LIMIT)
    connection.putrequest("POST", path, skip_host=True,
                          skip_accept_encoding=True)
    for name, value in headers:
        connection.putheader(name, value)
    connection.endheaders(b"{}")
    response = connection.getresponse()
    answer = Answer(response.status, dict(response.getheaders()),
                    response.read())
    connection.close()
    return answer


CONTROLS = ["a\x01b", "a\tb", "a\x1fb", "a\x7fb"]


class FleetHeadersTest(unittest.TestCase):
    """A request ran although its key was ambiguous.

    A header with the caller's key or the idempotency key came twice or held a
    control character. The router read the first one, the upstream perhaps the
    second, and logs and answers repeated the character. Only the first header
    of a name was checked, and its characters were not. The router now refuses
    such requests with a code before it sends anything.
    """

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.plain = self.fleet.plain("p1")
        self.router = self.fleet.start()

    def check(self, code, *more, request="good-id", key="key-a"):
        headers = [("Host", "shop.example"), ("Content-Length", "2"),
                   ("X-Request-Id", request), ("Api-Key", key), *more]
        answer = send_with(self.router.port, "/write/x", headers)
        self.assertEqual(answer.status, 400)
        self.assertEqual(answer.error()["code"], code)
        self.assertEqual(answer.error()["run"], "not_run")
        refused = self.router.wait_event("request_refused")[-1]
        self.assertEqual(refused["reason"], code)
        self.assertEqual(self.plain.seen, [])
        return answer

    def test_two_keys(self):
        self.check("header_twice", ("Api-Key", "key-b"))
        self.check("header_twice", ("api-KEY", "key-a"))

    def test_two_idempotency_keys(self):
        self.check("header_twice", ("Idempotency-Key", "k1"),
                   ("Idempotency-Key", "k2"))

    def test_control_characters(self):
        for text in CONTROLS:
            self.check("control_character", ("Idempotency-Key", text))
            answer = self.check("control_character", request=text)
            self.assertNotIn("X-Request-Id", answer.headers)
            answer = self.check("control_character", ("Api-Key", "key-b"),
                                request=text)
            self.assertNotIn("X-Request-Id", answer.headers)

    def test_one_of_each_passes(self):
        headers = [("Host", "shop.example"), ("Content-Length", "2"),
                   ("X-Request-Id", "id"), ("Api-Key", "key-a"),
                   ("Idempotency-Key", "key \u00e9 of a caller")]
        answer = send_with(self.router.port, "/write/x", headers)
        self.assertEqual(answer.status, 200)


class SecondAttemptTest(unittest.TestCase):
    """Most calls that fail at one instance of a service fail at another too.

    The test rules out the router as the cause: its attempts differ only in
    the name of the instance and in the remaining time.
    """

    def test_it_differs_in_its_instance_and_time_alone(self):
        fleet = Fleet()
        self.addCleanup(fleet.close)
        upstreams = [fleet.plain("p1"), fleet.plain("p2")]
        for upstream in upstreams:
            upstream.status = 500
            upstream.bodies = []
            upstream.run = lambda call, body, request, self=upstream: (
                self.bodies.append(body),
                Upstream.run(self, call, body, request))
        router = fleet.start()
        answer = fleet.ask(router, "/read/x?a=1", b"the body",
                           Idempotency_Key="k1", X_Other="kept")
        self.assertEqual(answer.status, 500)
        self.assertEqual([u.bodies for u in upstreams], [[b"the body"]] * 2)
        first, second = [u.seen[0] for u in upstreams]
        differences = {name for name in first.keys() | second.keys()
                       if first.get(name) != second.get(name)}
        self.assertLessEqual({"X-Expect-Instance"}, differences)
        self.assertLessEqual(differences, {"X-Expect-Instance",
                                           "X-Deadline-Ms"})
        self.assertEqual(first["Idempotency-Key"], "k1")


class NativeHeadersTest(unittest.TestCase):
    """As FleetHeadersTest, on the native interface."""

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.service = self.cluster.service("s1", "ledger")
        self.router = self.cluster.start()

    def check(self, code, *more):
        headers = [("Host", "x"), ("Content-Length", "2"),
                   ("Authorization", "Bearer acme-key"), *more]
        answer = send_with(self.router.port, "/v1/services/ledger/x", headers)
        self.assertEqual(answer.status, 400)
        self.assertEqual(answer.error()["code"], code)
        self.assertEqual(answer.error()["run"], "not_run")
        self.assertGreater(self.router.count(
            'refusals_total{reason="%s"' % code), 0)
        self.assertEqual(self.service.call("GET", "/records"), {})

    def test_two_keys(self):
        key = ("Idempotency-Key", uuid7())
        self.check("header_twice", key, ("Authorization", "Bearer other-key"))
        self.check("header_twice", key, ("authorization", "Bearer acme-key"))

    def test_two_idempotency_keys(self):
        self.check("header_twice", ("Idempotency-Key", uuid7()),
                   ("Idempotency-Key", uuid7()))

    def test_control_characters(self):
        for text in CONTROLS:
            self.check("control_character", ("Idempotency-Key", text))
            self.check("control_character", ("Idempotency-Key", uuid7()),
                       ("X-Request-Id", text))


if __name__ == "__main__":
    unittest.main()
