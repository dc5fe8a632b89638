"""Upstreams whose answers go wrong in random ways, callers that read what they
get byte by byte, and the check that an answer which looks whole is one."""
import collections
import random
import socket
import threading
import time
import uuid

from cluster import HOST
from fleet import Upstream

SIZES = (0, 1, 10, 3000, 70000, 300000)
PIECES = (1, 5, 20)
HANG_S = 1.2
# (fault, weight); an answer without a fault is the most frequent one.
FAULTS = (("none", 10), ("hang", 2), ("end", 2), ("reset", 2), ("drip", 2),
          ("more", 1), ("head_only", 1), ("broken_chunk", 1), ("late", 1))
# 204 and 304 have no body; 503 is marked as not run.
STATUSES = ((200, 24), (500, 4), (404, 1), (204, 1), (304, 1), (503, 1))
FRAMINGS = (("length", 3), ("chunks", 3), ("close", 1))
INTERIM = b"HTTP/1.1 100 Continue\r\nX-Interim: 1\r\n\r\n"
NO_BODY = (204, 304)

# What an upstream set out to answer. is_marked: the upstream marked the end of
# the whole answer; is_open: only the end of its connection marks one.
Run = collections.namedtuple(
    "Run", "request_id status body first_event is_open")


def draw(rng, weighted):
    values, weights = zip(*weighted)
    return rng.choices(values, weights)[0]


def event(seal, number, last):
    return b"id: %d\ndata: %s %d of %d\n\n" % (number, seal.encode(), number,
                                               last)


def body_of(seal, size):
    line = ("%s " % seal).encode()
    return (line * (size // len(line) + 1))[:size]


def pieces_of(request_id):
    """All runs of a request have as many events."""
    return random.Random(request_id.split("~")[0]).choice(PIECES)


class Runs:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.lock = threading.Lock()
        self.by_seal = {}
        self.has_faults = True

    def add(self, run):
        with self.lock:
            seal = "s%d" % len(self.by_seal)
            self.by_seal[seal] = run
        return seal


class FaultyUpstream(Upstream):
    def __init__(self, runs, *arguments, **more):
        self.runs = runs
        super().__init__(*arguments, **more)

    def run(self, call, body, request_id):
        runs = self.runs
        with runs.lock:
            rng = random.Random(runs.rng.random())
        status = draw(rng, STATUSES) if runs.has_faults else 200
        fault = draw(rng, FAULTS) if runs.has_faults else "none"
        framing = draw(rng, FRAMINGS)
        first = int(call.headers.get("Last-Event-Id", -1)) + 1
        is_stream = self.model is not None and status == 200
        seal = runs.add(None)
        last = pieces_of(request_id) - 1
        parts = [event(seal, number, last) for number in
                 range(first, last + 1)] if is_stream \
            else [body_of(seal, rng.choice(SIZES))]
        if status in NO_BODY or status == 503 or call.command == "HEAD":
            parts = [b""]
        whole = b"".join(parts)
        runs.by_seal[seal] = Run(request_id, status, whole, first,
                                 framing == "close")
        head = self.head(call, request_id, status, seal, framing, len(whole))
        if rng.random() < 0.05:
            call.wfile.write(INTERIM)
        if fault == "late":
            time.sleep(rng.choice((0.05, HANG_S)))
        try:
            self.write(call, rng, head, parts, framing, fault)
        except (BrokenPipeError, ConnectionResetError):
            call.close_connection = True

    def head(self, call, request_id, status, seal, framing, length):
        lines = ["HTTP/1.1 %d x" % status, "X-Request-Id: " + request_id,
                 "X-Server-Seal: " + seal,
                 "X-Weight-Versions: %d" % self.version]
        if status == 503:
            lines.append("X-Not-Executed: 1")
        if framing == "length":
            lines.append("Content-Length: %d" % length)
        elif framing == "chunks":
            lines.append("Transfer-Encoding: chunked")
        return "\r\n".join(lines + ["", ""]).encode()

    def write(self, call, rng, head, parts, framing, fault):
        has_body = call.command != "HEAD" and b" 204 " not in head[:14] and \
            b" 304 " not in head[:14]
        if framing == "chunks" and has_body:
            parts = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts
                     if part] + [b"0\r\n\r\n"]
        elif not has_body:
            parts = []
        data = b"".join(parts)
        if fault in ("none", "late", "drip", "more"):
            self.write_whole(call, rng, head, data, fault)
            call.close_connection = framing == "close" and has_body
            if fault == "more" and framing != "close":
                call.wfile.write(b"surplus")
                call.close_connection = True
            return
        call.close_connection = True
        if fault == "broken_chunk" and framing == "chunks" and has_body:
            call.wfile.write(
                head + b"".join(parts[:rng.randrange(len(parts))])
                + rng.choice((b" \r\n\r\n", b"-0\r\n\r\n")))
            return
        cut = 0 if fault == "head_only" else rng.randrange(len(data) + 1)
        call.wfile.write(head + data[:min(cut, max(len(data) - 1, 0))])
        if fault in ("hang", "head_only"):
            time.sleep(HANG_S)
        elif fault == "reset":
            call.cut()

    @staticmethod
    def write_whole(call, rng, head, data, fault):
        if fault != "drip":
            call.wfile.write(head + data)
            return
        call.wfile.write(head)
        step = max(len(data) // 6, 1)
        for at in range(0, len(data), step):
            time.sleep(rng.choice((0.02, 0.25)))
            call.wfile.write(data[at:at + step])


Answer = collections.namedtuple(
    "Answer", "request_id status headers body is_whole is_open")


class Connection:
    """A caller's connection, read strictly; `rate` in bytes a second."""

    def __init__(self, port, rate=None):
        self.socket = socket.socket()
        if rate:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.settimeout(15)
        self.socket.connect((HOST, port))
        self.rate = rate
        self.buffer = b""
        self.is_ended = False  # in an orderly way

    def close(self):
        self.socket.close()

    def receive(self):
        if self.rate:
            time.sleep(2000 / self.rate)
        part = self.socket.recv(2000 if self.rate else 65536)
        self.is_ended = not part
        self.buffer += part
        if not part:
            raise EOFError

    def take(self, size):
        while len(self.buffer) < size:
            self.receive()
        taken, self.buffer = self.buffer[:size], self.buffer[size:]
        return taken

    def line(self):
        while b"\r\n" not in self.buffer:
            self.receive()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def read_head(self):
        version, status, *_ = self.line().split(b" ")
        headers = {}
        while True:
            line = self.line()
            if not line:
                break
            name, value = line.split(b":", 1)
            headers[name.lower().decode()] = value.strip().decode()
        if version not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise ValueError("no status line: %r" % version)
        return int(status), headers

    def read_chunks(self, body):
        while True:
            size = int(self.line(), 16)
            body += self.take(size)
            if self.take(2) != b"\r\n":
                raise ValueError("a chunk without its end")
            if size == 0:
                return

    def read_rest(self, body):
        try:
            while True:
                body += self.buffer
                self.buffer = b""
                self.receive()
        except EOFError:
            pass

    def read_answer(self, request_id, method):
        """Returns the answer, or None if the connection ended before one."""
        try:
            status, headers = self.read_head()
        except (EOFError, OSError):
            return None
        body = bytearray()
        is_open = False
        try:
            if method == "HEAD" or status in NO_BODY:
                pass
            elif headers.get("transfer-encoding") == "chunked":
                self.read_chunks(body)
            elif "content-length" in headers:
                left = int(headers["content-length"])
                while len(body) < left:
                    body += self.take(min(left - len(body), 2000))
            else:
                is_open = True
                self.read_rest(body)
            is_whole = True
        except (EOFError, OSError):
            body += self.buffer
            self.buffer = b""
            is_whole = False
        return Answer(request_id, status, headers, bytes(body), is_whole,
                      is_open)


def request_bytes(method, path, request_id, body=b"", key="key-a",
                  wait_ms=900, version="1.1", last=None):
    lines = ["%s %s HTTP/%s" % (method, path, version), "Host: shop.example",
             "X-Request-Id: " + request_id, "X-Deadline-Ms: %d" % wait_ms,
             "Api-Key: " + key, "X-Model: m", "X-Token-Usage: 300,10",
             "X-Prompt-Prefix: ab:100,%s:100" % uuid.uuid4().hex[:8]]
    if last is not None:
        lines.append("Last-Event-Id: %d" % last)
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def check_events(answer, runs, may_go_on):
    """Returns what is wrong with the events of a stream, or None."""
    events = answer.body.split(b"\n\n")
    rest = events.pop()
    seals = []
    last = None
    first = runs[answer.headers["x-server-seal"]].first_event
    for number, text in enumerate(events, first):
        id_line, data = text.split(b"\ndata: ")
        seal, own, _, last = data.decode().split(" ")
        if id_line != b"id: %d" % number or int(own) != number:
            return "event %r in place of %d" % (text, number)
        if runs[seal].request_id != answer.request_id:
            return "an event of another request"
        seals.append(seal)
    if not may_go_on and len(set(seals)) > 1:
        return "events of two runs"
    is_open = answer.is_open and any(
        runs[seal].is_open
        for seal in [answer.headers["x-server-seal"], *seals])
    if not answer.is_whole or is_open:
        return None
    if rest:
        return "a part of an event"
    if last is None:
        return None if not runs[answer.headers["x-server-seal"]].body \
            else "no event"
    return None if int(last) == first + len(events) - 1 else \
        "%d events, the last is %s" % (len(events), last)


def find_fault(answer, runs, path):
    """Returns what is wrong with an answer, or None."""
    seal = answer.headers.get("x-server-seal")
    if answer.headers.get("x-request-id") != answer.request_id:
        return "an answer to another request"
    if seal is None:
        return "a success without a seal" if answer.status < 300 else None
    run = runs.get(seal)
    if run is None or run.request_id != answer.request_id:
        return "the seal of another request"
    if "content-type" in answer.headers:
        return "a header that the upstream did not send"
    if run.status != answer.status:
        return "status %d in place of %d" % (answer.status, run.status)
    if path.startswith("/ask") and answer.status == 200:
        return check_events(answer, runs, not path.startswith("/ask/once"))
    if not run.body.startswith(answer.body):
        return "another body: %r in place of %r" % (answer.body[:40], run)
    if answer.is_whole and not (run.is_open and answer.is_open) and \
            answer.body != run.body:
        return "%d of %d bytes" % (len(answer.body), len(run.body))
    return None


class Caller(threading.Thread):
    """Asks until `end`; keeps its connection where it may."""

    KINDS = (("GET", "/read/x"), ("POST", "/write/x"), ("POST", "/ask/x"),
             ("POST", "/ask/once/x"), ("HEAD", "/read/x"))

    def __init__(self, seed, runs, pick_port, end, rate=None, at_once=1,
                 version="1.1"):
        super().__init__(daemon=True)
        self.rng = random.Random(seed)
        self.runs = runs
        self.pick_port = pick_port
        self.end = end
        self.rate = rate
        self.at_once = at_once
        self.version = version
        self.faults = []
        self.counts = collections.Counter()
        self.connection = None

    def run(self):
        while time.monotonic() < self.end:
            try:
                if self.connection is None:
                    self.connection = Connection(self.pick_port(self.rng),
                                                 self.rate)
                self.ask()
            except ValueError as error:
                self.faults.append("bytes that are no answer: %s" % error)
                self.drop()
            except OSError:
                self.drop()
        self.drop()

    def drop(self):
        if self.connection:
            self.connection.close()
        self.connection = None

    def ask(self):
        asked = []
        data = b""
        for _ in range(self.rng.randint(1, self.at_once)):
            method, path = self.rng.choice(self.KINDS)
            request_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
            asked.append((request_id, method, path))
            body = b"x" * self.rng.choice((0, 10)) if method == "POST" else b""
            data += request_bytes(
                method, path, request_id, body, version=self.version,
                wait_ms=self.rng.choice((300, 900, 3000)))
        self.send(data)
        for request_id, method, path in asked:
            answer = self.connection.read_answer(request_id, method)
            if answer is None:
                self.drop()
                return
            self.check(answer, path)
            if not self.is_kept(answer):
                self.drop()
                return
        if self.connection.buffer:
            self.faults.append("bytes behind the last answer: %r"
                               % self.connection.buffer[:80])
            self.drop()

    def send(self, data):
        self.connection.socket.sendall(data)

    def is_kept(self, answer):
        return answer.is_whole and not answer.is_open and \
            self.version == "1.1" and \
            answer.headers.get("connection", "").lower() != "close"

    def check(self, answer, path):
        fault = find_fault(answer, self.runs.by_seal, path)
        kind = "2xx" if answer.status < 300 else str(answer.status)
        self.counts[kind if answer.is_whole else "broken"] += 1
        if fault:
            self.faults.append("%s %s: %s, ends with %r of %d bytes, %s" % (
                path, answer.request_id, fault, answer.body[-60:],
                len(answer.body), answer.headers))
