#!/usr/bin/env python3
"""A router under large bodies: callers that send them, fast and slowly, that
read long answers slowly, and that send small ones.

    body_load.py MEMORY_MB CLIENTS SECONDS

Prints the peak of the router's memory beside what it may have, and how the
requests ended; exits with 1 if memory was exceeded or an accepted request got
no whole answer.
"""
import http.client
import os
import random
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))
from cluster import HOST  # noqa: E402
from fleet import Fleet, Upstream  # noqa: E402

BODY = b"x" * (4 << 20)
SMALL = b"x" * 600
LONG_ANSWER = b"y" * (1 << 20)
PIECE = 16 << 10
SLOW_PIECE_S = 0.1
PAUSE_S = 0.25
WAIT_MS = 20000
# Of ten clients, how many are of each kind; the others send BODY at once.
SLOW_SENDERS, SLOW_READERS, SMALL_SENDERS = 1, 1, 2


class LongAnswers(Upstream):
    def serve(self, call, body):
        if not call.path.startswith("/read/long"):
            super().serve(call, body)
            return
        call.wfile.write(
            b"HTTP/1.1 200 x\r\nX-Request-Id: %s\r\nX-Server-Seal: s\r\n"
            b"Content-Length: %d\r\n\r\n"
            % (call.headers["X-Request-Id"].encode(), len(LONG_ANSWER)))
        call.wfile.write(LONG_ANSWER)


def slowly(body):
    for at in range(0, len(body), PIECE):
        time.sleep(SLOW_PIECE_S)
        yield body[at:at + PIECE]


class Load:
    def __init__(self, memory_mb, clients, seconds):
        self.memory = memory_mb << 20
        self.clients = clients
        self.end = time.monotonic() + seconds
        self.lock = threading.Lock()
        self.counts = {}
        self.small_ms = []
        self.number = 0
        self.fleet = Fleet()
        self.fleet.add(LongAnswers(self.fleet.store, "p1", "plain"))
        self.fleet.add(LongAnswers(self.fleet.store, "p2", "plain"))
        self.router = self.fleet.start(
            memory="%dMiB" % memory_mb, event_max="256KiB",
            read_timeout="60s")

    def count(self, kind, outcome):
        with self.lock:
            key = "%s %s" % (kind, outcome)
            self.counts[key] = self.counts.get(key, 0) + 1

    def next_id(self):
        with self.lock:
            self.number += 1
            return "load%d" % self.number

    def exchange(self, link, path, body, length, is_slow_reader):
        link.request("POST", path, body, {
            "Host": "shop.example", "X-Request-Id": self.next_id(),
            "X-Deadline-Ms": str(WAIT_MS), "Api-Key": "key-a",
            "Content-Length": str(length)})
        response = link.getresponse()
        while is_slow_reader and response.read(PIECE):
            time.sleep(SLOW_PIECE_S / 2)
        response.read()
        return response.status

    def client(self, index):
        kind = index % 10
        rng = random.Random(index)
        link = http.client.HTTPConnection(HOST, self.router.port,
                                          timeout=60)
        while time.monotonic() < self.end:
            name, body, path = "large", BODY, "/write/x"
            is_reader = False
            if kind < SLOW_SENDERS:
                name, body = "slow sender", slowly(BODY)
            elif kind < SLOW_SENDERS + SLOW_READERS:
                name, body, path = "slow reader", SMALL, "/read/long"
                is_reader = True
            elif kind < SLOW_SENDERS + SLOW_READERS + SMALL_SENDERS:
                name, body = "small", SMALL
            length = len(SMALL) if body is SMALL else len(BODY)
            began = time.monotonic()
            try:
                outcome = self.exchange(link, path, body, length, is_reader)
            except (OSError, http.client.HTTPException) as error:
                outcome = type(error).__name__
                link.close()
            if name == "small":
                self.small_ms.append((time.monotonic() - began) * 1000)
            self.count(name, outcome)
            time.sleep(rng.uniform(0, 2 * PAUSE_S))
        link.close()

    def peak(self):
        with open("/proc/%d/status" % self.router.process.pid) as file:
            line, = [line for line in file if line.startswith("VmHWM")]
        return int(line.split()[1]) << 10

    def run(self):
        threads = [threading.Thread(target=self.client, args=(index,))
                   for index in range(self.clients)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        peak = self.peak()
        used = [int(event["used"]) for kind in ("body_waits", "body_admitted")
                for event in self.router.events(kind)]
        self.small_ms.sort()
        print("memory %d MiB, %d clients: peak %.1f MiB, budget %.1f MiB, "
              "of it used %.1f MiB at the most, %d bodies waited"
              % (self.memory >> 20, self.clients, peak / 2**20,
                 self.memory * 0.65 / 2**20, max(used, default=0) / 2**20,
                 len(self.router.events("body_waits"))))
        for key in sorted(self.counts):
            print("  %s: %d" % (key, self.counts[key]))
        if self.small_ms:
            print("  small requests: %.0f ms in the middle, %.0f at the most"
                  % (self.small_ms[len(self.small_ms) // 2],
                     self.small_ms[-1]))
        broken = sum(count for key, count in self.counts.items()
                     if not key.endswith(("200", "503")))
        self.fleet.close()
        return peak > self.memory or broken > 0


if __name__ == "__main__":
    sys.exit(Load(*map(int, sys.argv[1:4])).run())
