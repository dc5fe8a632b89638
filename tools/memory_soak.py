#!/usr/bin/env python3
"""A seeded soak test of callers that make a router hold bytes: they pause
within heads and bodies, don't read streams and answers, send further requests
behind one under way, or hold connections; many of each, one kind after the
other and several at a time, while configurations grow and routers are paused.
A router above the memory of its settings is ended, as its machine would do.
Checks that none is, and that every request of the callers beside them is
answered.

    memory_soak.py SEED SECONDS
"""
import collections
import http.client
import os
import random
import resource
import signal
import socket
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))
from cluster import HOST  # noqa: E402
from fleet import ROUTES, Fleet, Upstream, route  # noqa: E402

ROUTERS = 2
MEMORY_MB = 110
DESCRIPTORS = 4100  # of a router
CONNECTIONS = 20000  # of all waves together
SOUND_CALLERS = 6
SOUND_PAUSE_S = 0.05
WAIT_MS = 5000
SERVED_SHARE = 0.8  # of the sound callers' requests, at least
# Connections of one wave, the time that it lasts, and the pause before the
# next one begins.
WAVE = (50, 1500)
WAVE_S = (2.0, 9.0)
PAUSE_S = (0.5, 3.0)
BODY_BYTES = (1000, 16000, 60000, 300000, 1000000, 4000000)
# All waves together send so much at the most.
WAVE_BYTES = 600 << 20
LONG_ANSWER = b"y" * (1 << 20)
LONG_ROUTES = 1500
FREEZE_S = (0.3, 2.5)
HEAD = (b"POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\n"
        b"Api-Key: key-b\r\nX-Deadline-Ms: 20000\r\n")
STREAM_FIELDS = (b"X-Model: m\r\nX-Token-Usage: 300,10\r\n"
                 b"X-Prompt-Prefix: ab:100,cd:100,%x:100\r\n")


class LongAnswers(Upstream):
    def answer_call(self, call, body, headers):
        if call.path.startswith("/read/long"):
            call.head(200, {"Content_Length": str(len(LONG_ANSWER))},
                      **headers)
            call.wfile.write(LONG_ANSWER)
        else:
            super().answer_call(call, body, headers)


class Wave(threading.Thread):
    """Connections that all do the same at one router, and are closed at its
    end."""

    def __init__(self, soak, rng, kind, router):
        super().__init__(daemon=True)
        self.soak = soak
        self.rng = rng
        self.kind = kind
        self.port = router.port
        self.size = rng.choice(BODY_BYTES)
        self.number = rng.randrange(*WAVE)
        self.end = time.monotonic() + rng.uniform(*WAVE_S)
        self.callers = []

    def connect(self, reads=True):
        caller = socket.socket()
        if not reads:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        caller.connect((HOST, self.port))
        caller.setblocking(False)
        self.callers.append(caller)
        return caller

    def head(self, path, more=b""):
        return HEAD % (path, self.soak.next_id().encode()) + more

    def paused_body(self):
        number = min(self.number, WAVE_BYTES // self.size)
        data = self.head(b"/write/x", b"Content-Length: %d\r\n\r\n"
                         % self.size) + b"x" * (self.size - 1)
        self.send_all([(self.connect(), data) for _ in range(number)])

    def paused_chunks(self):
        data = self.head(b"/write/x", b"Transfer-Encoding: chunked\r\n\r\n"
                         + (b"3e8\r\n" + b"x" * 1000 + b"\r\n")
                         * (self.size // 1000))
        number = min(self.number, WAVE_BYTES // self.size)
        self.send_all([(self.connect(), data) for _ in range(number)])

    def paused_head(self):
        fields = self.rng.choice(((b"X-A: %s\r\n" % (b"y" * 1000)) * 14,
                                  b"X-A: y\r\n" * 240))
        self.send_all([(self.connect(), self.head(b"/write/x", fields))
                       for _ in range(self.number)])

    def unread_streams(self):
        self.send_all([(self.connect(reads=False), self.head(
            b"/ask/once/x", STREAM_FIELDS % self.rng.getrandbits(40)
            + b"Content-Length: 0\r\n\r\n")) for _ in range(self.number)])

    def unread_answers(self):
        self.send_all([(self.connect(reads=False), self.head(
            b"/read/long", b"Content-Length: 0\r\n\r\n"))
            for _ in range(self.number)])

    def pipelined(self):
        data = b"".join(self.head(b"/write/x",
                                  b"Content-Length: 1000\r\n\r\n")
                        + b"x" * 1000 for _ in range(300))
        self.send_all([(self.connect(reads=False), data)
                       for _ in range(self.number // 4)])

    def idle(self):
        self.send_all([(self.connect(), b"") for _ in range(self.number)])

    KINDS = ("paused_body", "paused_body", "paused_chunks", "paused_head",
             "unread_streams", "unread_answers", "pipelined", "idle")

    def send_all(self, pending):
        """Sends to each as far as it takes the bytes, until the wave ends."""
        while time.monotonic() < self.end:
            left = []
            for caller, data in pending:
                try:
                    sent = caller.send(data) if data else 0
                    data = data[sent:]
                except BlockingIOError:
                    pass
                except OSError:
                    continue
                if data:
                    left.append((caller, data))
            pending = left
            time.sleep(0.05)

    def run(self):
        try:
            getattr(self, self.kind)()
        except OSError as error:  # the listener's queue is full
            self.soak.count("wave " + type(error).__name__)
        for caller in self.callers:
            caller.close()


class SoundCaller(threading.Thread):
    """Sends small calls on a kept connection and reads each answer."""

    def __init__(self, soak, router):
        super().__init__(daemon=True)
        self.soak = soak
        self.port = router.port

    def ask(self, link):
        link.request("POST", "/write/x", b"x" * 600, {
            "Host": "shop.example", "X-Request-Id": self.soak.next_id(),
            "X-Deadline-Ms": str(WAIT_MS), "Api-Key": "key-a"})
        response = link.getresponse()
        response.read()
        return response.status

    def run(self):
        link = http.client.HTTPConnection(HOST, self.port,
                                          timeout=2 * WAIT_MS / 1000)
        while time.monotonic() < self.soak.end:
            try:
                self.soak.count("sound %d" % self.ask(link))
            except (OSError, http.client.HTTPException) as error:
                self.soak.count("sound " + type(error).__name__)
                self.soak.violate("no answer: %r" % error)
                link.close()
            time.sleep(SOUND_PAUSE_S)
        link.close()


class Soak:
    def __init__(self, seed, seconds):
        self.rng = random.Random(seed)
        self.end = time.monotonic() + seconds
        self.lock = threading.Lock()
        self.number = 0
        self.counts = collections.Counter()
        self.violations = []
        self.fleet = Fleet()
        for name in ("p1", "p2"):
            self.fleet.add(LongAnswers(self.fleet.store, name, "plain"))
        for number in range(4):
            engine = self.fleet.engine("e%d" % number)
            engine.piece, engine.pieces = b"p" * 20000, 300
        self.fleet.config()
        self.routers = [self.fleet.start(
            name="r%d" % number, memory="%dMiB" % MEMORY_MB,
            event_max="256KiB", read_timeout="60s",
            prefix=("prlimit", "--nofile=%d" % DESCRIPTORS))
            for number in range(ROUTERS)]
        self.fleet.memory.kills = True

    def next_id(self):
        with self.lock:
            self.number += 1
            return "memory%d" % self.number

    def count(self, what):
        with self.lock:
            self.counts[what] += 1

    def violate(self, text):
        with self.lock:
            self.violations.append(text)
        print("violation: " + text, flush=True)

    def grow_configuration(self):
        more = [route("r%d" % n, "/n%d/" % n, "idempotent", "plain")
                for n in range(self.rng.randrange(LONG_ROUTES))]
        self.fleet.config(routes=ROUTES + more)

    def freeze(self, router):
        router.process.send_signal(signal.SIGSTOP)
        time.sleep(self.rng.uniform(*FREEZE_S))
        router.process.send_signal(signal.SIGCONT)

    def disturb(self):
        router = self.rng.choice(self.routers)
        what = self.rng.choice(Wave.KINDS + ("config", "freeze"))
        self.count("wave " + what)
        if what == "config":
            self.grow_configuration()
        elif what == "freeze":
            self.freeze(router)
        else:
            Wave(self, random.Random(self.rng.getrandbits(32)), what,
                 router).start()

    def check(self):
        for excess in self.fleet.memory.excesses():
            self.violate("a router used " + excess)
        for router in self.routers:
            if router.process.poll() is not None:
                self.violate("a router ended: %d" % router.process.poll())
        asked = {name: count for name, count in self.counts.items()
                 if name.startswith("sound ")}
        served = asked.get("sound 200", 0) / max(sum(asked.values()), 1)
        if served < SERVED_SHARE:
            self.violate("%.2f of the sound calls served" % served)

    def end_routers(self):
        for router in self.routers:
            router.process.kill()

    def run(self):
        callers = [SoundCaller(self, self.routers[n % ROUTERS])
                   for n in range(SOUND_CALLERS)]
        for caller in callers:
            caller.start()
        while time.monotonic() < self.end:
            self.disturb()
            time.sleep(self.rng.uniform(*PAUSE_S))
        for caller in callers:
            caller.join()
        self.check()
        for name in sorted(self.counts):
            print("%-28s %d" % (name, self.counts[name]))
        print("most memory of a router: %s" % self.fleet.memory.most())
        print("violations: %d" % len(self.violations))
        return 1 if self.violations else 0


def allow_many_connections():
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = CONNECTIONS if most == resource.RLIM_INFINITY else min(
        CONNECTIONS, most)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, most))


def main():
    allow_many_connections()
    soak = Soak(int(sys.argv[1]), float(sys.argv[2]))
    status = soak.run()
    soak.end_routers()
    sys.stdout.flush()
    os._exit(status)


if __name__ == "__main__":
    main()
