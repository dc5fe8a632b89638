"""Answers of native upstreams that are cut at each byte, and those to the
router's own questions, cut at some."""
import collections
import http.client
import itertools
import random
import re
import socket
import struct
import threading
import time
import unittest
import uuid
from concurrent.futures import ThreadPoolExecutor

from cluster import HOST, Cluster, places, uuid7, wait_for
from fleet import ROUTES, Fleet, Server, route
from test_close_delimited import receive

WAYS = list(itertools.product(("fin", "rst"), ("one", "bytes")))
SHAPES = ("length", "chunks", "close", "length_1_0", "after_100",
          "status_500")
CALLERS = 8
BYTE_PAUSE_S = 0.0001
TOKENS = 3


def answer_of(shape, attempt, body):
    """Returns the bytes of an answer and how many of them can be cut off so
    that the rest can be told from a whole answer."""
    status = 500 if shape == "status_500" else 200
    version = b"1.0" if shape == "length_1_0" else b"1.1"
    head = b"HTTP/%s %d x\r\nX-Attempt-Id: %s\r\n" % (version, status,
                                                     attempt.encode())
    if shape == "after_100":
        head = b"HTTP/1.1 100 Continue\r\n\r\n" + head
    if shape == "chunks":
        whole = head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" \
            b"0\r\nX-T: 1\r\n\r\n" % (len(body), body)
        return whole, len(whole)
    if shape == "close":
        return head + b"\r\n" + body, len(head) + 2
    whole = head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    return whole, len(whole)


def write_cut(call, data, end, pieces):
    for piece in [data] if pieces == "one" else \
            [data[at:at + 1] for at in range(len(data))]:
        call.connection.sendall(piece)
        if pieces == "bytes":
            time.sleep(BYTE_PAUSE_S)
    call.close_connection = end != "keep"
    if end == "rst":
        time.sleep(0.005)
        call.cut()


class CuttingService(Server):
    """The path of a call states how its answer is cut; its body names it."""

    def __init__(self, runs):
        self.runs = runs  # by body, at all services
        super().__init__()

    def handle(self, call):
        body = call.body()
        if call.path.count(".") != 4:
            call.reply(200)
            return
        shape, at, end, pieces, turn = call.path.lstrip("/").split(".")
        self.runs[body] += 1
        whole, _ = answer_of(shape, call.headers["X-Attempt-Id"], body)
        if turn == "all" or self.runs[body] == 1:
            write_cut(call, whole[:int(at)], end, pieces)
        else:
            call.connection.sendall(whole)
            call.close_connection = shape in ("close", "length_1_0")


class ServiceTest(unittest.TestCase):
    SERVERS = 4

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.runs = collections.Counter()
        for name in ("notes", "ledger"):
            for number in range(self.SERVERS):
                server = CuttingService(self.runs)
                self.addCleanup(server.close)
                self.cluster.declare_upstream(
                    "%s-%d" % (name, number), server.address, name, "service")
        self.router = self.cluster.start(eject_failures="1000",
                                         backoff="2ms", max_attempts="2",
                                         retry_allowance="100000")

    def ask(self, name, cut, body):
        connection = http.client.HTTPConnection(HOST, self.router.port,
                                                timeout=10)
        try:
            connection.request(
                "POST", "/v1/services/%s/%s" % (name, cut), body,
                self.router.headers(Idempotency_Key=uuid7()))
            return receive(connection.getresponse())
        finally:
            connection.close()

    def find_fault(self, name, cut, turn):
        body = uuid.uuid4().hex.encode()
        received = self.ask(name, cut, body)
        runs = self.runs[body]
        self.counts[received.status, received.ended] += 1
        if name == "ledger" and runs > 1:
            return "ran %d times" % runs
        if received.status == 200:
            if not received.ended or received.body != body:
                return "a part, or another body"
            if turn == "all" or name == "ledger":
                return "a success of a cut answer"
            return None
        if received.status not in (502, 503) or not received.ended:
            return "no true failure"
        if runs and b"not_run" in received.body:
            return "refused as not run"
        return None

    def play(self, name, turn):
        self.counts = collections.Counter()
        cases = []
        for index, shape in enumerate(SHAPES):
            _, cuts = answer_of(shape, "a" * 32, b"b" * 32)
            for at in range(cuts):
                end, pieces = WAYS[(at + index) % len(WAYS)]
                cases.append("%s.%d.%s.%s.%s" % (shape, at, end, pieces,
                                                 turn))
        random.Random(1).shuffle(cases)
        with ThreadPoolExecutor(CALLERS) as callers:
            found = list(callers.map(
                lambda cut: (self.find_fault(name, cut, turn), cut), cases))
        print(self.id(), len(cases), dict(self.counts))
        self.assertEqual([fault for fault in found if fault[0]][:5], [])

    def check_whole(self, shape, end, times):
        self.counts = collections.Counter()
        for _ in range(times):
            body = uuid.uuid4().hex.encode()
            received = self.ask(
                "notes", "%s.100000.%s.one.all" % (shape, end), body)
            self.counts[received.status, received.body == body] += 1
        self.assertEqual(self.counts, {(200, True): times}, shape)

    def test_whole_answers(self):
        for shape in SHAPES[:-1]:
            is_kept = shape not in ("close", "length_1_0")
            self.check_whole(shape, "keep" if is_kept else "fin", 5)

    def test_whole_answers_whose_connections_end(self):
        for shape in set(SHAPES) - {"after_100", "status_500"}:
            self.check_whole(shape, "fin", 30)

    # It was taken for cut, as the end of the connection came right behind it.
    def test_whole_answers_behind_an_interim_one(self):
        self.check_whole("after_100", "fin", 30)

    # No part of an answer passed for a whole one, and none ran twice.
    def test_calls_that_run_once(self):
        self.play("ledger", "all")

    def test_repeatable_calls(self):
        self.play("notes", "all")

    def test_repeatable_calls_that_another_upstream_answers(self):
        self.play("notes", "first")
        self.assertGreater(self.counts[200, True], 0)


class CutProxy:
    """Passes calls on to an engine; cuts the first answer to a prompt that
    states where."""

    def __init__(self, target, seen):
        self.target = target
        self.seen = seen  # prompts, by any proxy
        self.lengths = []
        self.cuts = 0
        self.listener = socket.create_server((HOST, 0))
        self.address = "%s:%d" % (HOST, self.listener.getsockname()[1])
        threading.Thread(target=self.accept, daemon=True).start()

    def close(self):
        self.listener.close()

    def accept(self):
        try:
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(target=self.serve, args=(connection,),
                                 daemon=True).start()
        except OSError:
            pass

    def serve(self, connection):
        try:
            with connection, socket.create_connection(
                    (HOST, self.target)) as other:
                self.pass_on(connection, other)
        except OSError:
            pass

    def pass_on(self, connection, other):
        state = {"cut": None, "sent": 0}

        def send_requests():
            try:
                while part := connection.recv(65536):
                    found = re.search(rb"cut-(\d+)-(fin|rst)-\w+", part)
                    if found and found[0] not in self.seen:
                        self.seen.add(found[0])
                        state["cut"] = int(found[1]), found[2]
                        state["sent"] = 0
                    other.sendall(part)
                other.shutdown(socket.SHUT_WR)
            except OSError:
                pass
        sender = threading.Thread(target=send_requests, daemon=True)
        sender.start()
        while part := other.recv(65536):
            cut = state["cut"]
            if cut and state["sent"] + len(part) > cut[0]:
                connection.sendall(part[:cut[0] - state["sent"]])
                self.cuts += 1
                if cut[1] == b"rst":
                    time.sleep(0.005)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                          struct.pack("ii", 1, 0))
                    connection.shutdown(socket.SHUT_RD)
                    sender.join()
                else:
                    connection.shutdown(socket.SHUT_RDWR)
                return
            connection.sendall(part)
            state["sent"] += len(part)
            if cut:
                self.lengths.append(state["sent"])


class StreamTest(unittest.TestCase):
    ENGINES = 2

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.proxies = []
        seen = set()
        for number in range(self.ENGINES):
            engine = self.cluster.engine("e%d" % number, address="none",
                                         decode_ms=1)
            proxy = CutProxy(engine.port, seen)
            self.addCleanup(proxy.close)
            self.proxies.append(proxy)
            self.cluster.upstreams = self.cluster.upstreams.replace(
                "address = none", "address = " + proxy.address)
        self.router = self.cluster.start(eject_failures="1000",
                                         backoff="2ms",
                                         retry_allowance="100000")

    def ask(self, at, end, is_stream):
        body = {"model": "m", "prompt": "cut-%d-%s-%s" % (
            at, end, uuid.uuid4().hex), "max_tokens": TOKENS}
        if not is_stream:
            return self.router.complete(body)
        return self.router.stream(body).read()

    def check(self, at, is_stream):
        end = ("fin", "rst")[at % 2]
        answer = self.ask(at, end, is_stream)
        self.counts[answer.status] += 1
        if answer.status != 200:
            return None if answer.status in (502, 503) else "another failure"
        if is_stream:
            found = places(answer.tokens())
            is_whole = answer.whole
        else:
            text = answer.json()["choices"][0]["text"]
            found = places(re.findall(r"\S+", text))
            is_whole = True
        if found != list(range(len(found))):
            return "tokens out of order", at, found
        if is_whole and len(found) != TOKENS:
            return "a part that looks whole", at, found
        if not is_whole:
            self.counts["broken"] += 1
        return None

    def play(self, is_stream):
        self.counts = collections.Counter()
        self.ask(1 << 30, "fin", is_stream)
        length = max(sum((proxy.lengths for proxy in self.proxies), []))
        cases = list(range(length))
        random.Random(1).shuffle(cases)
        with ThreadPoolExecutor(CALLERS) as callers:
            found = list(callers.map(lambda at: self.check(at, is_stream),
                                     cases))
        cuts = sum(proxy.cuts for proxy in self.proxies)
        print(self.id(), length, cuts, dict(self.counts))
        self.assertEqual([fault for fault in found if fault][:5], [])
        self.assertGreater(cuts, length // 2)
        self.assertGreater(self.counts[200], length // 2)

    # Each stream goes on where it was cut, or does not look whole.
    def test_streams(self):
        self.play(True)

    def test_answers_that_are_no_streams(self):
        self.play(False)


class CutWriter:
    """Passes on a number of bytes, then ends the connection."""

    def __init__(self, call, count, end):
        self.call = call
        self.wfile = call.wfile
        self.left = count
        self.end = end

    def write(self, data):
        self.wfile.write(data[:self.left])
        self.left -= len(data)
        if self.left < 0:
            if self.end == "rst":
                time.sleep(0.005)
                self.call.cut()
            raise BrokenPipeError

    def flush(self):
        self.wfile.flush()


class QuestionTest(unittest.TestCase):
    """Answers to what the router asks of its own, every second one cut at a
    byte drawn at random."""

    SECONDS = 12

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.plain = self.fleet.plain("p1")
        self.engine = self.fleet.engine("e1")
        self.router = self.fleet.start(probe_silent="yes",
                                       config_max_age="20s")
        self.calls = itertools.count()
        self.rng = random.Random(1)
        self.cuts = collections.Counter()  # by the path of the question
        self.is_cutting = True

    def cut_answers(self, server, paths, length):
        """Cuts answers up to a length, which may be longer than they are."""
        handle = server.handle

        def cut(call):
            number = next(self.calls)
            if call.path.startswith(paths) and self.is_cutting and \
                    number % 2 == 0:
                self.cuts[call.path.split("?")[0]] += 1
                writer = CutWriter(call, self.rng.randrange(length),
                                   self.rng.choice(("fin", "rst")))
                wfile, call.wfile = call.wfile, writer
                try:
                    handle(call)
                finally:
                    call.wfile = wfile
            else:
                handle(call)
        server.handle = cut

    # Callers are served, and the last configuration comes into force.
    def test_answers_of_the_store(self):
        self.cut_answers(self.fleet.store, "/v1/log", 400)
        end = time.monotonic() + self.SECONDS
        statuses = collections.Counter()
        number = 0
        while time.monotonic() < end:
            number += 1
            self.fleet.config(routes=ROUTES + [
                route("new-%d" % number, "/new-%d/" % number, "idempotent",
                      "plain")])
            for path in ("/write/x", "/ask/once/x"):
                statuses[self.fleet.ask(self.router, path).status] += 1
            time.sleep(0.01)
        self.is_cutting = False
        print(self.id(), number, dict(self.cuts), dict(statuses))
        self.assertEqual(set(statuses), {200})
        self.assertGreater(sum(self.cuts.values()), 40)
        wait_for(lambda: self.fleet.ask(
            self.router, "/new-%d/x" % number).status == 200, "the last one")
        self.assertEqual(
            self.fleet.ask(self.router, "/new-%d/x" % (number - 1)).status,
            404)

    # A part of a report or of an order's answer states nothing.
    def test_reports_and_orders(self):
        self.cut_answers(self.engine, ("/v1/report", "/v1/order", "/health"),
                         150)
        versions = itertools.count(2)
        end = time.monotonic() + self.SECONDS
        while time.monotonic() < end:
            version = next(versions)
            self.fleet.store.put("keyed.op", "version/m",
                                 {"model": "m", "version": version})
            wait_for(lambda v=version: self.engine.version == v, "an order")
            answer = wait_for(lambda: [
                answer for answer in [self.fleet.ask(self.router,
                                                     "/ask/once/x")]
                if answer.status == 200], "an answer")[0]
            self.assertEqual(answer.headers["X-Weight-Versions"],
                             str(version))
        self.is_cutting = False
        print(self.id(), version, dict(self.cuts))
        self.assertGreater(sum(self.cuts.values()), 10)
        sequences = [order["expected"] for order in self.engine.orders]
        self.assertEqual(sequences, sorted(sequences))


if __name__ == "__main__":
    unittest.main()
