"""Clients of plain services: each keeps one connection and sends one request
after the other, each with an id of its own, and waits up to its deadline."""
import http.client
import random
import threading
import time

DEADLINE_MS = 3000
BLOCK_BYTES = 65536


class Link:
    """The way into a machine, which all its clients share."""

    def __init__(self, mbit_per_s):
        self.bytes_per_s = mbit_per_s * 1e6 / 8
        self.free_at = 0
        self.longest_wait_s = 0
        self.lock = threading.Lock()

    def take(self, size):
        with self.lock:
            now = time.monotonic()
            start = max(self.free_at, now)
            self.free_at = start + size / self.bytes_per_s
            self.longest_wait_s = max(self.longest_wait_s, start - now)
        time.sleep(max(start - time.monotonic(), 0))

    def blocks(self, body):
        for at in range(0, len(body), BLOCK_BYTES):
            block = body[at:at + BLOCK_BYTES]
            self.take(len(block))
            yield block


class Answer:
    def __init__(self, request_id, status=0, headers=None, body=b"",
                 is_whole=False, reason=""):
        self.request_id = request_id
        self.was_kept = False  # its connection had an answer before
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_whole = is_whole  # as its framing tells
        self.reason = reason


class Client(threading.Thread):
    """Sends pick(random) -> (method, path, body) about per_s times a second
    until `end` (of the steady clock)."""

    def __init__(self, number, port, per_s, end, pick, on_sent, on_answer,
                 way=None):
        super().__init__(daemon=True)
        self.number = number
        self.port = port
        self.per_s = per_s
        self.end = end
        self.pick = pick
        self.on_sent = on_sent
        self.on_answer = on_answer
        self.way = way  # Link, or None
        self.random = random.Random(number)
        self.count = 0
        self.link = None
        self.answered = 0  # on this connection

    def run(self):
        time.sleep(self.random.random() / self.per_s)
        while time.monotonic() < self.end:
            began = time.monotonic()
            self.count += 1
            request_id = "c%03dr%05d" % (self.number, self.count)
            method, path, body = self.pick(self.random)
            self.on_sent(request_id, method, path, body)
            kept = self.answered > 0
            answer = self.ask(request_id, method, path, body)
            answer.was_kept = kept
            self.on_answer(answer)
            pause = self.random.expovariate(self.per_s)
            time.sleep(max(pause - (time.monotonic() - began), 0))
        self.drop()

    def drop(self):
        if self.link:
            self.link.close()
            self.link = None
        self.answered = 0

    def ask(self, request_id, method, path, body):
        try:
            if not self.link:
                self.link = http.client.HTTPConnection(
                    "127.0.0.1", self.port, timeout=DEADLINE_MS / 1000)
            headers = {"Host": "jepu9.example", "X-Request-Id": request_id,
                       "X-Deadline-Ms": str(DEADLINE_MS), "Api-Key": "key-a"}
            if body:
                headers["Content-Length"] = str(len(body))
            self.link.request(
                method, path,
                self.way.blocks(body) if self.way and body else body, headers)
            response = self.link.getresponse()
        except (OSError, http.client.HTTPException) as error:
            self.drop()
            return Answer(request_id, reason=type(error).__name__)
        answer = Answer(request_id, response.status, response.headers)
        try:
            answer.body = response.read()
            answer.is_whole = True
        except http.client.IncompleteRead as error:
            answer.body = error.partial
            answer.reason = "IncompleteRead"
        except OSError as error:
            answer.reason = type(error).__name__
        self.answered += 1
        if not answer.is_whole or response.will_close:
            self.drop()
        return answer
