"""Answers that upstreams and other routers cut at each byte of their head, of
a head before it, of a chunk size, the last chunk and the trailers.
WT_ALL_CUTS=1 plays each way to cut at each byte on all paths."""
import collections
import http.client
import itertools
import os
import random
import re
import select
import socket
import struct
import threading
import time
import unittest
import uuid
from concurrent.futures import ThreadPoolExecutor

from cluster import HOST, wait_for
from fleet import Fleet, Upstream
from links import Links
from test_close_delimited import receive

BYTE_PAUSE_S = 0.0001
ALL_CUTS = os.environ.get("WT_ALL_CUTS") == "1"
EVENTS = 3
SENT_BEFORE = 1  # events of a stream that another engine takes over
WAYS = list(itertools.product(("fin", "rst"), ("one", "bytes")))
CRLF = b"\r\n"
SEEN_S = 0.01  # in which what was sent is read before a reset
NO_ID = "0" * 8
TRIES = 40
AGAIN_S = 0.005
WHOLE = 1000  # bytes, more than any answer has
ONCE = ("/write/", "/ask/once/")
STATUSES = {"empty_204": 204, "status_500": 500}
FAILURES = (502, 503, 504)
UNFRAMED = ("close", "close_1_0")
SHAPES = ("length", "chunks", "close", "length_1_0", "close_1_0",
          "after_100", "after_two_100", "empty_204", "status_500")

# shape: of the answer; at: number of its bytes that are sent; turn: the answer
# of a request that is cut, all others are whole, or "all".
Cut = collections.namedtuple("Cut", "shape at end pieces turn")


def events_of(request_id):
    return [b"id: %d\ndata: %s\n\n" % (n, request_id.encode())
            for n in range(EVENTS)]


def head_of(shape, name, request_id, length):
    version = b"1.0" if shape.endswith("_1_0") else b"1.1"
    status = STATUSES.get(shape, 200)
    lines = [b"HTTP/%s %d x" % (version, status),
             b"X-Request-Id: " + request_id.encode(),
             b"X-Server-Seal: " + name.encode(), b"X-Weight-Versions: 1"]
    if shape.startswith("chunks"):
        lines.append(b"Transfer-Encoding: chunked")
    elif shape not in UNFRAMED and shape != "empty_204":
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def before_head(shape):
    return {"after_100": b"HTTP/1.1 100 Continue\r\nX-I: 1\r\n\r\n",
            "after_two_100": 2 * b"HTTP/1.1 100 Continue\r\n\r\n",
            "after_103": b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
            }.get(shape, b"")


def answer_of(shape, name, request_id, parts, has_body=True):
    """Returns an answer's bytes; a cut at each of them, but for those of a
    body that only the connection's end ends, leaves an answer that can be
    told from a whole one."""
    body = b"".join(parts)
    start = before_head(shape) + head_of(shape, name, request_id, len(body))
    if not has_body or shape == "empty_204":
        return start
    if not shape.startswith("chunks"):
        return start + body
    chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
    return start + b"".join(chunks) + b"0\r\nX-T: 1\r\n\r\n"


def count_cuts(shape, parts, has_body=True):
    """Returns how many places an answer of this shape is cut at."""
    if shape in UNFRAMED:
        parts = []
    return len(answer_of(shape, "e0", NO_ID, parts, has_body))


class CuttingUpstream(Upstream):
    def __init__(self, *arguments, **more):
        self.turns = more.pop("turns")
        self.answered = []  # the connections that requests came on
        super().__init__(*arguments, **more)

    def run(self, call, body, request_id):
        fields = call.path.rpartition("/")[2].split(".")
        cut = Cut(fields[0], int(fields[1]), *fields[2:5])
        turn = next(self.turns[request_id])
        first = int(call.headers.get("Last-Event-Id", -1)) + 1
        parts = events_of(request_id)[first:]
        call.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.answered.append(call.client_address)
        if cut.turn == "later" and turn == 0:
            self.begin(call, request_id, parts)
            return
        whole = answer_of(cut.shape, self.name, request_id, parts,
                          call.command != "HEAD")
        is_cut = cut.at < len(whole) and turn == {
            "first": 0, "later": 1, "all": turn}.get(cut.turn)
        if cut.turn == "surplus":
            call.wfile.write(whole)
            self.write_pieces(call, whole[:cut.at], cut)
        elif is_cut:
            self.send(call, whole[:cut.at], cut)
        else:
            call.wfile.write(whole)
            call.close_connection = cut.shape in UNFRAMED

    def begin(self, call, request_id, parts):
        """Sends the first events of a stream and ends."""
        whole = answer_of("chunks", self.name, request_id, parts)
        last = parts[SENT_BEFORE - 1]
        call.wfile.write(whole[:whole.index(last) + len(last) + len(CRLF)])
        time.sleep(SEEN_S)
        call.cut()

    @staticmethod
    def write_pieces(call, data, cut):
        if cut.pieces == "one":
            call.wfile.write(data)
            return
        for at in range(len(data)):
            call.wfile.write(data[at:at + 1])
            time.sleep(BYTE_PAUSE_S)

    def send(self, call, data, cut):
        self.write_pieces(call, data, cut)
        call.close_connection = True
        if cut.end == "rst":
            call.cut()


class CutProxy:
    """Passes requests on to a router; cuts the answers at the byte, and in the
    way, that the last fields of their paths state."""

    def __init__(self, target):
        self.target = target
        self.cut = set()  # names of the requests whose answers were cut
        self.lengths = []  # of the parts of answers that were passed on
        self.listener = socket.create_server((HOST, 0))
        self.port = self.listener.getsockname()[1]
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
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with connection, socket.create_connection(
                    (HOST, self.target)) as other:
                while self.pass_request(connection, other):
                    pass
        except OSError:
            pass

    def pass_request(self, connection, other):
        request = b""
        while b"\r\n\r\n" not in request:
            part = connection.recv(65536)
            if not part:
                return False
            request += part
        head, _, body = request.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        while len(body) < (int(length[1]) if length else 0):
            body += connection.recv(65536)
        other.sendall(head + b"\r\n\r\n" + body)
        name = re.search(rb"(?i)x-request-id: (\w+)", head)[1].decode()
        fields = head.split(b" ", 2)[1].decode().split(".")
        if len(fields) == 8:
            at, end, pieces = int(fields[5]), fields[6], fields[7]
        else:
            at, end, pieces = 1 << 30, "fin", "one"
        return self.pass_answer(connection, other, name,
                                Cut("", at, end, pieces, ""))

    def pass_answer(self, connection, other, name, cut):
        """Ends with the connection that a cut closes, or with one without a
        byte for a while."""
        sent = 0
        while True:
            ready, _, _ = select.select([connection, other], [], [], 5)
            if other not in ready:
                return connection in ready
            part = other.recv(65536)
            is_cut = sent + len(part) > cut.at
            part = part[:cut.at - sent] if is_cut else part
            sent += len(part)
            # Before its caller can have it.
            self.lengths.append(sent)
            if is_cut:
                self.cut.add(name)
            for piece in [part] if cut.pieces == "one" else \
                    [part[at:at + 1] for at in range(len(part))]:
                connection.sendall(piece)
            if is_cut:
                if cut.end == "rst":
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                          struct.pack("ii", 1, 0))
            if is_cut or not part:
                return False


class CutTest(unittest.TestCase):
    SETTINGS = {"eject_failures": "1000", "backoff": "2ms"}
    UPSTREAMS = 10  # of each kind
    CALLERS = 10
    sound_every = 20  # a sound answer, so that no upstream is ejected

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.turns = collections.defaultdict(itertools.count)
        self.upstreams = [self.add("p%d" % n, "plain") for n in range(self.UPSTREAMS)] + [
            self.add("e%d" % n, "engines", "m") for n in range(self.UPSTREAMS)]
        self.fleet.config()
        self.start()

    def add(self, name, *more):
        return self.fleet.add(CuttingUpstream(self.fleet.store, name, *more,
                                              turns=self.turns))

    def start(self):
        self.router = self.fleet.start(**self.SETTINGS)
        wait_for(lambda: len(self.router.events("upstream_listed"))
                 >= len(self.upstreams), "the upstreams")

    def ask(self, path, cut, method="POST"):
        """Returns the request's id and what its caller received, or why it
        received no answer."""
        request_id = uuid.uuid4().hex[:len(NO_ID)]
        target = path + ".".join(str(field) for field in cut)
        try:
            received = receive(self.fleet.request(
                self.router, target, None if method == "HEAD" else
                request_id.encode(), method, X_Request_Id=request_id,
                wait_ms=8000, X_Prompt_Prefix="%s:300" % request_id))
        except (OSError, http.client.HTTPException) as error:
            return request_id, error
        return request_id, received

    def ask_until_run(self, path, cut, method):
        """Asks again while no upstream is tried, as those whose last answer
        was cut are asked for their health first."""
        for _ in range(TRIES):
            request_id, received = self.ask(path, cut, method)
            if getattr(received, "status", 0) != 503 or \
                    request_id in self.turns:
                break
            time.sleep(AGAIN_S)
        return request_id, received

    def find_fault(self, path, cut, request_id, received, has_body):
        body = b"".join(events_of(request_id)) if has_body else b""
        if isinstance(received, Exception):
            return "no answer"
        runs = next(self.turns[request_id])
        if received.status == 503 and runs == 0:
            return "never run"
        if path in ONCE and runs > 1:
            return "ran %d times" % runs
        if received.status == 503 and runs == 1 and path in ONCE:
            return "refused as not run"
        if received.status in FAILURES:
            return None if received.ended and received.framed \
                else "a failure that is not whole"
        expected = 200 if cut.turn == "later" else \
            STATUSES.get(cut.shape, 200)
        if received.status != expected:
            return "another status"
        if not body.startswith(received.body):
            return "another body"
        if received.ended and received.body != body:
            return "a part that looks whole"
        if received.ended and (cut.turn == "all" or (
                cut.turn == "first" and path in ONCE)):
            return "a success of a cut answer"
        return None

    def play(self, path, shapes, turn="all", method="POST", all_ways=False):
        parts = events_of(NO_ID)[SENT_BEFORE if turn == "later" else 0:]
        cuts = []
        for index, shape in enumerate(shapes):
            for at in range(count_cuts(shape, parts, method != "HEAD")):
                ways = WAYS if all_ways or ALL_CUTS else \
                    [WAYS[(at + index) % len(WAYS)]]
                cuts += [Cut(shape, at, *way, turn) for way in ways]
        random.Random(1).shuffle(cuts)
        counts = collections.Counter()
        faults = []
        numbers = itertools.count(1)

        def one(cut):
            if next(numbers) % self.sound_every == 0:
                self.ask_until_run(path, Cut("length", WHOLE, "fin", "one",
                                             "all"), "POST")
            has_body = method != "HEAD" and (cut.shape != "empty_204" or
                                             turn == "later")
            request_id, received = self.ask_until_run(path, cut, method)
            fault = self.find_fault(path, cut, request_id, received,
                                    has_body)
            counts[getattr(received, "status", "none"),
                   getattr(received, "ended", "")] += 1
            if fault:
                faults.append((fault, path, cut, request_id, received))
        with ThreadPoolExecutor(self.CALLERS) as callers:
            list(callers.map(one, cuts))
        print(self.id(), path, turn, method, len(cuts), dict(counts))
        self.assertEqual(faults[:5], [], len(faults))
        return counts


class DirectTest(CutTest):
    # Whole answers of these forms are passed on, so that a cut is what fails.
    def test_whole_answers(self):
        for shape in SHAPES:
            for path in ("/read/", "/write/", "/ask/", "/ask/once/"):
                if shape in ("empty_204", "status_500") and "ask" in path:
                    continue
                request_id, received = self.ask(
                    path, Cut(shape, WHOLE, "fin", "one", "all"))
                self.assert_whole(shape, path, request_id, received)
        request_id, received = self.ask(
            "/ask/", Cut("chunks", WHOLE, "fin", "one", "later"))
        self.assert_whole("chunks", "/ask/", request_id, received)
        self.assertEqual(next(self.turns[request_id]), 2)

    def assert_whole(self, shape, path, request_id, received):
        body = b"" if shape == "empty_204" else \
            b"".join(events_of(request_id))
        self.assertEqual((received.status, received.body),
                         (STATUSES.get(shape, 200), body), (shape, path))
        self.assertTrue(received.ended, (shape, path))

    def test_calls_that_run_once(self):
        counts = self.play("/write/", SHAPES)
        counts += self.play("/write/", ("chunks",), all_ways=True)
        self.assertEqual({status for status, _ in counts}, {502})

    def test_repeatable_calls(self):
        self.play("/read/", ("length", "close_1_0", "after_two_100"))

    def test_repeatable_calls_that_another_upstream_answers(self):
        counts = self.play("/read/", SHAPES, "first")
        self.assertGreater(counts[200, True], 0)

    def test_answers_to_head(self):
        self.play("/read/", SHAPES[:2], method="HEAD")
        self.play("/write/", SHAPES[2:], method="HEAD")

    def test_streams_that_run_once(self):
        self.play("/ask/once/", ("length", "chunks", "close", "after_100"))

    def test_streams_that_another_engine_begins(self):
        counts = self.play("/ask/", ("length_1_0", "chunks", "close_1_0"),
                           "first")
        self.assertGreater(counts[200, True], 0)

    def test_streams_that_another_engine_takes_over(self):
        counts = self.play("/ask/", ("length", "chunks", "close", "after_100",
                                     "empty_204", "status_500"), "later")
        self.assertEqual(set(counts), {(200, False)})


class KeptTest(CutTest):
    SETTINGS = dict(CutTest.SETTINGS, once_idle_time="10s")
    UPSTREAMS = 1
    CALLERS = 1

    # Cuts of the second answer on a connection, and later ones.
    def test_later_answers_of_a_connection(self):
        self.sound_every = 1
        self.play("/write/", ("chunks",))
        connections = collections.Counter(
            one for upstream in self.upstreams for one in upstream.answered)
        self.assertGreater(sum(count > 1 for count in connections.values()),
                           len(connections) // 2)

    # A part of a second answer that comes with the first one, or soon after,
    # is no part of any answer.
    def test_parts_of_answers_that_nobody_asked_for(self):
        for path in ("/write/", "/ask/once/"):
            counts = self.play(path, ("chunks",), "surplus")
            self.assertGreater(counts[200, True], counts[502, True])


class ForwardedTest(CutTest):
    """Requests of a router without a path to any upstream."""

    def start_router(self, name, **more):
        links = Links(self.upstreams)
        self.addCleanup(links.close)
        router = self.fleet.router(name, environment=links.environment,
                                   **self.SETTINGS, **more)
        wait_for(lambda: len(router.events("upstream_listed"))
                 >= len(self.upstreams), "the upstreams")
        return router, links

    def start(self):
        first, _ = self.start_router("r1")
        seeds = {"seeds": first.peer_address}
        second, _ = self.start_router("r2", peers=seeds)
        self.router, links = self.start_router("r0", peers=seeds)
        wait_for(lambda: len(self.router.events("member_joined")) >= 2,
                 "peers")
        self.proxies = [CutProxy(router.port) for router in (first, second)]
        for proxy in self.proxies:
            self.addCleanup(proxy.close)
        ports = {proxy.target: proxy.port for proxy in self.proxies}
        links.ports.update(ports)
        Links.cut_with_resets(links)
        links._redirect(lambda port: ports.get(port, links.dead.refusing))
        sound = Cut("length", WHOLE, "fin", "one", "all")
        wait_for(lambda: self.router.events("upstream_path_lost")
                 or self.ask("/read/", sound) and None, "a lost path")

    # Cuts between the other router and an upstream.
    def test_cuts_at_upstreams(self):
        self.play("/write/", ("length", "close", "after_100"))
        self.play("/ask/once/", ("chunks", "close"))
        counts = self.play("/ask/", ("chunks",), "first")
        self.assertGreater(counts[200, True], 0)
        self.play("/ask/", ("chunks",), "later")
        self.assertTrue(self.router.events("forward_done"))

    # Cuts between the routers.
    def test_cuts_between_routers(self):
        for path, shape in (("/write/", "length"), ("/ask/once/", "chunks"),
                            ("/write/", "close"), ("/ask/", "length")):
            for proxy in self.proxies:
                proxy.lengths.clear()
            _, received = self.ask_between(path, shape, 100000, WAYS[0])
            self.assertTrue(received.ended and received.status == 200)
            length = max(sum((p.lengths for p in self.proxies), []))
            cases = [(path, shape, at, WAYS[at % len(WAYS)])
                     for at in range(length)]
            with ThreadPoolExecutor(self.CALLERS) as callers:
                found = list(callers.map(
                    lambda case: self.check_between(*case), cases))
            print(self.id(), path, shape, length,
                  dict(collections.Counter(found)))
            self.assertLessEqual(set(found), {"failed", "broken", "whole"})
            self.assertGreater(found.count("failed"), length // 3)

    def ask_between(self, path, shape, at, way):
        cut = Cut(shape, WHOLE, "fin", "one", "all") + (at,) + way
        for _ in range(TRIES):
            request_id, received = self.ask(path, cut)
            if getattr(received, "status", 0) != 503 or \
                    request_id in self.turns:
                break
            time.sleep(AGAIN_S)
        return request_id, received

    def check_between(self, path, shape, at, way):
        request_id, received = self.ask_between(path, shape, at, way)
        cut = Cut(shape, WHOLE, *way, "none")
        fault = self.find_fault(path, cut, request_id, received, True)
        was_cut = any(request_id in proxy.cut for proxy in self.proxies)
        if fault:
            return fault, path, shape, at, way, received
        if received.status != 200:
            return "failed"
        if not received.ended:
            return "broken"
        is_known = shape == "close" or not was_cut
        return "whole" if is_known else ("a cut answer", at, way, received)


if __name__ == "__main__":
    unittest.main()
