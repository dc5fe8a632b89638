"""Callers whose streams break off and go on: they check what they get over
several requests, for tests and for the soak test."""
import http.client
import re
import threading
import time
from collections import Counter

from fleet import read_parts

RETRY_S = 0.15
RETRY_LIMIT_S = 6
# Counted only: a stream may go on at older weights than it had (KNOWN-RED.txt).
KNOWN_FAULTS = {"weights back"}
UNANSWERED = ("no router", "connection")
FINAL = ("resume_unknown", "software_gone")
CONNECTION_ERRORS = (OSError, http.client.HTTPException)


class Stream:
    """What a caller got of a stream, over all its requests."""

    def __init__(self, number, rng, length, leaves):
        self.name = "s%d" % number
        self.prompt = "%x" % (0x1000 + number)
        self.rng = rng
        self.length = length
        self.tries = 0
        self.names = []   # of the requests that it got events of
        self.events = []  # service and version of each
        self.faults = set()
        self.weights = 0
        self.leave_at = rng.randrange(1, length) if leaves else length + 1
        self.is_answered = False  # a try to go on got an answer

    def is_whole(self):
        return len(self.events) >= self.length

    def note_weights(self, text):
        if text and int(text) < self.weights:
            self.faults.add("weights back")
        self.weights = max(self.weights, int(text or 0))

    def add(self, lines):
        fields = dict(line.split(": ", 1) for line in lines if ": " in line)
        self.note_weights(fields.get("x-weight-versions"))
        if "data" not in fields:
            return
        piece, _, number = fields["data"].rpartition("-")
        if not fields.get("id") == number == str(len(self.events)):
            self.faults.add("disordered")
        if self.events and piece != self.events[0]:
            self.faults.add("mixed")
        self.events.append(piece)

    def read(self, response):
        """Reads events until the caller loses the connection or it ends."""
        lines = []
        self.note_weights(response.headers["X-Weight-Versions"])
        try:
            while len(self.events) < self.leave_at:
                line = response.readline().decode()
                if line == "\n":
                    self.add(lines)
                    lines = []
                elif line:
                    lines.append(line.rstrip("\n"))
                else:
                    if response.chunk_left is None and not self.is_whole():
                        self.faults.add("ended early")
                    break
        except CONNECTION_ERRORS:
            pass
        self.leave_at = self.length + 1
        response.close()


class Shares:
    """Of new requests and of those that go on, how many get events. A service
    that refuses far more of the latter loses what it began."""

    TAKEN_MIN = 12  # in a span; fewer are left to chance
    SPAN_S = 4

    def __init__(self):
        self.answers = []  # (time, whether it goes on, whether it got events)

    def add(self, goes_on, got_events):
        self.answers.append((time.monotonic(), goes_on, got_events))

    @staticmethod
    def count(answers, goes_on):
        """Returns how many got events, and how many there are."""
        found = [got for _, other, got in answers if other == goes_on]
        return sum(found), len(found)

    def find_lost(self):
        """Returns the spans with less than half of the share of new ones:
        their beginnings and the counts of both kinds."""
        spans, answers = [], sorted(self.answers)
        first = 0
        for last, answer in enumerate(answers):
            while answer[0] - answers[first][0] > self.SPAN_S:
                first += 1
            span = answers[first:last + 1]
            kept, taken = self.count(span, True)
            begun, new = self.count(span, False)
            if (taken >= self.TAKEN_MIN and new
                    and 2 * kept * new < begun * taken):
                spans.append((span[0][0], kept, taken, begun, new))
        return spans


class Callers:
    """`find_router` returns one that is up, or None; `may_go_on` tells whether
    engines of the version of a stream serve; `faulty` are the streams with
    faults."""

    def __init__(self, fleet, find_router, may_go_on=lambda piece: True):
        self.fleet = fleet
        self.find_router = find_router
        self.may_go_on = may_go_on
        self.shares = Shares()
        self.lock = threading.Lock()
        self.counts = Counter()
        self.faulty = []

    def count(self, what):
        with self.lock:
            self.counts[what] += 1

    def run_stream(self, stream):
        self.count("streams")
        code = self.send(stream)
        if not stream.events:
            self.count("not begun: %s" % code)
        elif not stream.is_whole():
            self.count("continued")
            self.continue_stream(stream)
        for fault in stream.faults:
            self.count(fault)
        if stream.faults - KNOWN_FAULTS:
            self.faulty.append(stream)

    def continue_stream(self, stream):
        code, end = None, time.monotonic() + RETRY_LIMIT_S
        while (time.monotonic() < end and not stream.is_whole()
               and code not in FINAL):
            time.sleep(RETRY_S)
            code = self.send(stream)
            if code == "got events":
                end = time.monotonic() + RETRY_LIMIT_S
        self.count("went on" if stream.is_whole() else "refused: %s" % code)

    def send(self, stream):
        """Returns the code of a refusal, or how the request ended."""
        goes_on = bool(stream.events)
        counts = not goes_on or self.may_go_on(stream.events[0])
        code = self.request(stream)
        if counts and not stream.is_answered and code not in UNANSWERED:
            stream.is_answered = goes_on
            with self.lock:
                self.shares.add(goes_on, code == "got events")
        return code

    def request(self, stream):
        stream.tries += 1
        name = "%s-%d" % (stream.name, stream.tries)
        headers = {"X_Request_Id": name,
                   "X_Prompt_Prefix": "%s:300" % stream.prompt}
        if stream.events:
            headers["Resumes"] = stream.rng.choice(stream.names)
            headers["Last_Event_Id"] = str(len(stream.events) - 1)
        router = self.find_router(stream.rng)
        if not router:
            return "no router"
        before = len(stream.events)
        try:
            response = self.fleet.request(
                router, "/ask/x", stream.prompt.encode(), wait_ms=15000,
                **headers)
            if response.status != 200:
                code = re.search(rb'"code":"(\w+)"', read_parts(response)[0])
                return code[1].decode() if code else str(response.status)
            stream.read(response)
        except CONNECTION_ERRORS:
            return "connection"
        if len(stream.events) == before:
            return "no event"
        stream.names.append(name)
        return "got events"
