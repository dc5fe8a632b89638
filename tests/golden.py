"""Transcripts of sessions, compared with the files in tests/golden/.

Ids, keys, tokens and incarnations are replaced by names numbered in the order
of their first occurrence, and times by T. WT_GOLDEN=write rewrites the files.
"""
import json
import os
import re

FOLDER = os.path.join(os.path.dirname(os.path.abspath(__file__)), "golden")
PATTERNS = [
    ("token", re.compile(r"[A-Za-z0-9_-]{120,}")),
    ("key", re.compile(r"\b[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f-]{21}")),
    ("id", re.compile(r"\b[0-9a-f]{32}\b")),
    ("incarnation", re.compile(r"\b1\d{12}\b")),
]
COMPARED_HEADERS = ("Content-Type", "Retry-After", "X-Request-Id")


class Transcript:
    def __init__(self, name):
        self.name = name
        self.lines = []
        self.names = {}
        self.equal = []  # (pattern, replacement) for texts that a race decides

    def add(self, line):
        line = re.sub(r'"created":\d+', '"created":T', line)
        line = re.sub(r'\b(us|left_ms|sent_age_ms)=-?\d+', r'\1=T', line)
        for pattern, text in self.equal:
            line = re.sub(pattern, text, line)
        for kind, pattern in PATTERNS:
            line = pattern.sub(lambda found, kind=kind:
                               self._name(kind, found[0]), line)
        self.lines.append(line)

    def _name(self, kind, text):
        if text not in self.names:
            number = sum(n.startswith(kind) for n in self.names.values()) + 1
            self.names[text] = "%s%d" % (kind, number)
        return "<%s>" % self.names[text]

    def ask(self, request):
        self.add("> " + request)

    def answer(self, answer):
        self.add("< %d" % answer.status)
        for name in COMPARED_HEADERS:
            if name in answer.headers:
                self.add("< %s: %s" % (name, answer.headers[name]))
        self.add("< " + answer.body.decode())

    def stream(self, stream, first=0):
        if first == 0:
            self.add("< %d" % stream.status)
            for name in COMPARED_HEADERS:
                if name in stream.headers:
                    self.add("< %s: %s" % (name, stream.headers[name]))
        for event in stream.events[first:]:
            for name, value in event.items():
                if not isinstance(value, str):
                    value = json.dumps(value, separators=(",", ":"))
                self.add("< %s: %s" % (name, value))
        if stream.broken:
            self.add("< (transfer broken off)")

    def logs(self, router, *events):
        """Adds the router's log lines of these events."""
        for pairs in router.events():
            if pairs["event"] in events:
                self.add("log %s %s" % (router.name, " ".join(
                    "%s=%s" % pair for pair in pairs.items())))

    def check(self, case):
        path = os.path.join(FOLDER, self.name + ".txt")
        text = "\n".join(self.lines) + "\n"
        if os.environ.get("WT_GOLDEN") == "write":
            os.makedirs(FOLDER, exist_ok=True)
            with open(path, "w") as file:
                file.write(text)
        with open(path) as file:
            case.maxDiff = None
            case.assertEqual(text, file.read())
