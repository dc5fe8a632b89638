"""What upstreams, callers and operators send that can't be right: it is
refused or ended by name, costs a bounded memory and reaches nobody else."""
import http.client
import json
import signal
import unittest

import test_fleet
from cluster import Answer, Cluster, HANG_LIMIT, uuid7, wait_for
from fleet import Fleet, Server, Upstream

EVENT_MAX = 65536
BLOCK = b"x" * 65536
BLOCKS = 1024
# What one router may grow by, sanitizers and their kept memory included;
# far below the 64 MiB of one endless event.
GROWTH_MAX = 16 << 20
WHOLE = b"".join(b"id: %d\ndata: piece-%d\n\n" % (n, n) for n in range(5))


def memory(router):
    """Most bytes that the process has held so far."""
    with open("/proc/%d/status" % router.process.pid) as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
    raise AssertionError("no VmHWM")


def send_endless_event(call, one_chunk):
    """An event of 64 MiB, in many pieces of the wire or in one."""
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
    """An engine whose streams go on, behind the first event, with an event
    that never ends."""

    endless = True
    one_chunk = False
    only_first_of = ()  # engines of which the one asked first is endless

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
    """Symptom: the memory of a router grew without a bound.
    Sequence: an engine began an event of a stream and never ended it.
    Cause: bytes of an event were kept until its end, however many; evhttp
    keeps a chunk until it is whole in the same way.
    Settled by: a bound on one event, which ends the attempt by name."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    def engine(self, name):
        return self.fleet.add(EndlessUpstream(self.fleet.store, name,
                                              "engines", "m"))

    def read_cut(self, response):
        """What came of an answer that broke off."""
        with self.assertRaises(http.client.IncompleteRead) as caught:
            response.read()
        return caught.exception.partial

    def check_bounded(self, one_chunk):
        for name in ("e1", "e2"):
            self.engine(name).one_chunk = one_chunk
        router = self.fleet.start(event_max="%dB" % EVENT_MAX)
        before = memory(router)
        response = self.fleet.request(router, "/ask/x")
        self.assertEqual(self.read_cut(response), b"id: 0\ndata: piece-0\n\n")
        self.assertLess(memory(router) - before, GROWTH_MAX)
        ends = router.wait_event("attempt_failed", 2)
        self.assertEqual([end["reason"] for end in ends], ["oversized"] * 2)
        told = router.wait_event("event_oversized", 2)
        self.assertEqual({line["upstream"] for line in told}, {"e1", "e2"})
        self.assertEqual(told[0]["event_max"], str(EVENT_MAX))

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
        self.assertEqual(len(router.events("event_oversized")), 1)
        self.assertEqual(sum(len(engine.seen) for engine in engines), 2)

    def test_a_large_event_below_the_bound_passes(self):
        engine = self.engine("e1")
        engine.endless = False
        router = self.fleet.start(event_max="1KiB")
        self.assertEqual(self.fleet.ask(router, "/ask/x").status, 200)
        self.assertEqual(router.events("event_oversized"), [])


class LargeUpstream(Upstream):
    """A plain service whose answer is large: in one piece of a length, in
    chunks, in one chunk, or by its head."""

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
    """A plain service's answer, or the head of any, was kept whole whatever
    its size: one of 64 MiB grew its router by as much and more, where all it
    may hold is 88 MB."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    def check_bounded(self, form, reason):
        plain = self.fleet.add(LargeUpstream(self.fleet.store, "p1", "plain"))
        plain.form = form
        router = self.fleet.start(answer_max="64KiB")
        before = memory(router)
        answer = self.fleet.ask(router, "/write/x")
        self.assertEqual(answer.status, 502)
        self.assertIn(b'"run":"may_have_run"', answer.body)
        self.assertLess(memory(router) - before, GROWTH_MAX)
        ends = router.wait_event("attempt_failed")
        self.assertEqual([end["reason"] for end in ends], [reason])
        self.assertEqual(len(plain.seen), 1)

    def test_a_body_with_a_length(self):
        self.check_bounded("length", "oversized")

    def test_a_body_in_chunks(self):
        self.check_bounded("chunks", "oversized")

    def test_a_body_in_one_chunk(self):
        self.check_bounded("one chunk", "oversized")

    def test_a_head(self):
        self.check_bounded("head", "cut")

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
        before = memory(self.router)
        self.fleet.store.put("keyed.op", "version/m",
                             {"model": "m", "version": 2})
        stays = self.router.wait_event("stream_stays")[0]
        self.assertEqual(stays["reason"], "oversized")
        told = self.router.wait_event("event_oversized")[0]
        self.assertEqual(told["upstream"], stays["to"])
        self.assertLess(memory(self.router) - before, GROWTH_MAX)
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
        before = memory(router)
        answer = router.complete({"model": "m", "prompt": "x",
                                  "max_tokens": 2})
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.error()["code"], "upstream_failed")
        self.assertLess(memory(router) - before, GROWTH_MAX)
        ends = router.wait_event("attempt_failed", 2)
        self.assertEqual([end["reason"] for end in ends], ["oversized"] * 2)
        self.assertEqual(router.count("events_oversized_total"), 2)

    def test_an_event_in_many_chunks(self):
        self.check_bounded(False)

    def test_an_event_in_one_chunk(self):
        self.check_bounded(True)


def rewrite(router, **values):
    """Give keys of a router's settings file other values."""
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
    """What a router that runs takes of a changed file of settings.

    Symptom: values that were changed in the file were not in force after
    SIGHUP, and no line said so.
    Sequence: the file is changed, SIGHUP; the line says that it was taken.
    Cause: whole sections were copied, but some parts had kept their values
    from the start, and other sections were not looked at.
    Settled by: each key is marked as one that may change or not; parts are
    told of those that may, the others are named."""

    def reload(self, router, **values):
        before = len(router.events("settings_reloaded"))
        rewrite(router, **values)
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
        told = self.reload(router, hall="hall-b", lease="700ms",
                           max_body="2KiB")
        self.assertEqual((told["outcome"], told["waiting"]), ("taken", "2"))
        self.assertEqual(self.waiting(router),
                         [("router", "hall", "restart"),
                          ("platform", "lease", "restart")])
        self.assertEqual(self.fleet.ask(router, "/write/x", body).status, 413)

    def test_a_broken_file_changes_nothing_and_says_where(self):
        router = self.start(max_body="4KiB", retry_allowance="100")
        told = self.reload(router, max_body="1KiB", hall="hall-b",
                           retry_allowance="many")
        self.assertEqual((told["outcome"], told["problems"]),
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
        self.assertEqual(router.events("attempt_failed")[0]["next"],
                         "elsewhere")
        self.reload(router, retry_percent="0")
        before = len(router.events("attempt_failed"))
        self.fleet.ask(router, "/read/x")
        last = router.events("attempt_failed")[before:]
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
        connection = http.client.HTTPConnection("127.0.0.1", router.port,
                                                timeout=HANG_LIMIT)
        self.addCleanup(connection.close)

        def ask():
            connection.request("POST", "/v1/completions", body,
                               router.headers())
            response = connection.getresponse()
            response.read()
            return response.status

        self.assertEqual(ask(), 200)
        told = self.reload(router, max_body="100KiB", log_poll="2s")
        self.assertEqual((told["outcome"], told["waiting"]), ("taken", "1"))
        self.assertEqual(self.waiting(router),
                         [("platform", "log_poll", "restart")])
        self.assertEqual(ask(), 200)  # it was open, and told at this request
        self.assertEqual(ask(), 413)


def send_with(port, path, headers):
    """A request with these headers, in their order, twice where they are."""
    connection = http.client.HTTPConnection("127.0.0.1", port,
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
    """Symptom: a request ran whose key nobody could name for sure.
    Sequence: a header that says who asks, or under which key, stands twice
    or holds a control character; the router reads the first, the upstream
    perhaps the second, and logs and answers repeat the character.
    Cause: only the first header of a name was looked at, and no character.
    Settled by: typed refusals before anything is sent."""

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
    """Symptom: of calls whose first attempt ends with an error of the service,
    most get an error from another instance as well.
    Settled here: nothing that the router sends differs but the name of the
    instance and what is left of the time."""

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
        differing = {name for name in first.keys() | second.keys()
                     if first.get(name) != second.get(name)}
        self.assertLessEqual({"X-Expect-Instance"}, differing)
        self.assertLessEqual(differing, {"X-Expect-Instance",
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
