#!/usr/bin/env python3
"""A seeded soak test of requests under way while routers are stopped in
series, killed, frozen and changed, also in their settings, and upstreams send
heads that are cut and bytes without end. Checks that each request which an upstream ran, at a router
that nobody killed, gets an answer; that no answer is another one's or looks
whole without being so; that what may run once does, and what is refused as
not run did not run; and that no router ends by itself or uses much memory.

    stop_soak.py SEED SECONDS
"""
import collections
import os
import random
import re
import signal
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [os.path.join(ROOT, "tests"),
                os.path.join(ROOT, "tests", "sessions")]
SANITIZED = "asan" in os.environ.get("WT_BUILD", "")
from answers import Caller, FaultyUpstream, Runs  # noqa: E402
from cluster import wait_for  # noqa: E402
from fleet import Fleet, assert_sound  # noqa: E402
from test_bad_input import peak_memory  # noqa: E402
from test_endless import BLOCK, ENDLESS_BYTES, FORMS, WHOLE_FORMS  # noqa: E402

ROUTERS = 4
CALLERS = 16
SLOW_CALLERS = 4
SLOW_BYTES_PER_S = 40000
OLD_CALLERS = 2  # of HTTP/1.0, whose answers may end with their connection
PIECEMEAL_CALLERS = 2  # whose requests arrive in parts
PARTS = 5
PART_PAUSE_S = 0.4  # at most, between two of them
READ_TIMEOUTS = ("1s", "30s")  # the shorter one is less than HANG_S
STOP_LIMIT = "3s"
# Weights of what an upstream does in place of an ordinary or faulty answer.
STRANGE = (("ordinary", 20), ("cut_head", 2), ("endless", 1))
MEMORY_MAX = 110 << 20  # of a router; not checked for sanitizer builds
# Statuses that promise that a request did not run.
PROMISES = (408, 421, 429, 503)
END_S = 30
# A caller whose connection is closed learns so within this time.
HELD_S = 0.2


class StrangeUpstream(FaultyUpstream):
    """Cuts some heads short and sends bytes without end instead of others."""

    def write(self, call, rng, head, parts, framing, fault):
        weights = [weight for _, weight in STRANGE]
        what = rng.choices([name for name, _ in STRANGE], weights)[0]
        if what == "cut_head" and self.runs.has_faults:
            self.cut_head(call, rng, head)
        elif what == "endless" and self.runs.has_faults:
            self.send_endless(call, rng, head)
        else:
            super().write(call, rng, head, parts, framing, fault)

    @staticmethod
    def cut_head(call, rng, head):
        call.close_connection = True
        call.wfile.write(head[:rng.randrange(len(head) - 2)])
        if rng.random() < 0.5:
            call.cut()

    @staticmethod
    def send_endless(call, rng, head):
        call.close_connection = True
        prelude, block = FORMS[rng.choice(sorted(set(FORMS) - WHOLE_FORMS))]
        lines = head.split(b"\r\n")
        kept = [line for line in lines if line and not line.startswith(
            (b"Content-Length", b"Transfer-Encoding"))]
        call.wfile.write(prelude(b"\r\n".join(kept) + b"\r\n"))
        for _ in range(ENDLESS_BYTES // len(BLOCK)):
            call.wfile.write(block)


class SoakCaller(Caller):
    """Notes which requests ended without an answer, and at which router."""

    def __init__(self, soak, seed, end, is_piecemeal=False, **more):
        super().__init__(seed, soak.runs, soak.pick_port, end, **more)
        self.soak = soak
        self.is_piecemeal = is_piecemeal
        self.unanswered = []  # (request id, router, seconds since it was sent)
        self.not_run = set()

    def send(self, data):
        """A router may answer, and close, before it has read the rest."""
        step = len(data) // PARTS + 1 if self.is_piecemeal else len(data)
        for at in range(0, len(data), step):
            self.connection.socket.sendall(data[at:at + step])
            if self.is_piecemeal:
                time.sleep(self.rng.uniform(0, PART_PAUSE_S))

    def ask(self):
        router = self.soak.by_port[self.connection.socket.getpeername()[1]]
        asked = self.Watched(self)
        try:
            super().ask()
        finally:
            self.unanswered += [(name, router, age)
                                for name, age in asked.missing()]

    class Watched:
        """Finds out of which requests of one turn no answer came."""

        def __init__(self, caller):
            self.connection = caller.connection
            self.read = caller.connection.read_answer
            self.found = []
            self.began = time.monotonic()
            caller.connection.read_answer = self.read_answer

        def read_answer(self, request_id, method):
            answer = self.read(request_id, method)
            if answer is None:
                self.found.append((request_id,
                                   time.monotonic() - self.began))
            return answer

        def missing(self):
            self.connection.read_answer = self.read
            return self.found

    def check(self, answer, path):
        super().check(answer, path)
        if answer.status in PROMISES and answer.is_whole and \
                "x-server-seal" not in answer.headers:
            self.not_run.add(answer.request_id)


class Soak:
    def __init__(self, seed):
        self.seed = seed
        self.rng = random.Random(seed)
        self.runs = Runs(seed)
        self.fleet = Fleet()
        store = self.fleet.store
        self.upstreams = [self.fleet.add(StrangeUpstream(
            self.runs, store, "p%d" % n, "plain")) for n in range(3)] + [
            self.fleet.add(StrangeUpstream(
                self.runs, store, "e%d" % n, "engines", "m"))
            for n in range(4)]
        self.fleet.config()
        self.lock = threading.Lock()
        self.routers = []  # that take connections
        self.by_port = {}
        self.killed = set()
        self.violations = []
        self.counts = collections.Counter()
        self.peak = 0
        self.threads = []  # ends of routers under way
        for number in range(ROUTERS):
            self.start("r%d" % number)

    def start(self, name):
        with self.lock:
            seeds = ",".join(r.peer_address for r in self.routers)
        router = self.fleet.router(
            name, peers={"seeds": seeds} if seeds else {},
            eject_failures="1000", first_token_timeout="400ms",
            token_timeout="200ms", probe_silent="yes", backoff="2ms",
            stop_limit=STOP_LIMIT)
        router.name = name
        wait_for(lambda: self.fleet.is_ready(router), "a ready router")
        with self.lock:
            self.by_port[router.port] = router
            self.routers.append(router)

    def pick_port(self, rng):
        with self.lock:
            return rng.choice(self.routers).port

    def violate(self, text):
        self.violations.append(text)
        print("violation: " + text, flush=True)

    # Faults.

    def end(self, router, how):
        """Ends a router and starts another one in its place."""
        with self.lock:
            self.routers.remove(router)
        self.peak = max(self.peak, peak_memory(router))
        if how == signal.SIGKILL:
            self.killed.add(router)
        router.signal(how)
        code = router.process.wait(60)
        if code != (0 if how == signal.SIGTERM else -how):
            self.violate("%s ended with %d" % (router.name, code))
        self.start(router.name)

    def end_in_background(self, how):
        with self.lock:
            if len(self.routers) < 2:
                return
            router = self.rng.choice(self.routers)
        thread = threading.Thread(target=self.end, args=(router, how))
        thread.start()
        self.threads.append(thread)
        time.sleep(self.rng.uniform(0, 0.1))  # it is removed from the list

    def stop_in_series(self):
        for _ in range(ROUTERS):
            self.end_in_background(signal.SIGTERM)
            time.sleep(self.rng.uniform(0, 0.6))

    def signal_one(self, number):
        """To a router that may be ending."""
        router = self.rng.choice(list(self.by_port.values()))
        if router.process.poll() is None:
            router.signal(number)
        return router

    def change_settings(self):
        """The shorter limit holds for connections that begin afterwards."""
        router = self.rng.choice(list(self.by_port.values()))
        with open(router.path) as file:
            text = re.sub(r"(?m)^read_timeout = .*\n", "", file.read())
        with open(router.path + ".new", "w") as file:
            file.write(text.replace("[limits]\n", "[limits]\nread_timeout = %s\n"
                                    % self.rng.choice(READ_TIMEOUTS)))
        os.replace(router.path + ".new", router.path)
        if router.process.poll() is None:
            router.signal(signal.SIGHUP)

    def freeze(self):
        router = self.signal_one(signal.SIGSTOP)
        time.sleep(self.rng.uniform(0.05, 0.8))
        if router.process.poll() is None:
            router.signal(signal.SIGCONT)

    def replace_upstream(self):
        upstream = self.rng.choice(self.upstreams)
        upstream.state = "draining"
        upstream.list()
        time.sleep(self.rng.uniform(0.2, 1))
        upstream.state = "ready"
        upstream.list()

    def fault(self):
        kinds = {
            "stops": self.stop_in_series,
            "stop": lambda: self.end_in_background(signal.SIGTERM),
            "kill": lambda: self.end_in_background(signal.SIGKILL),
            "hup": lambda: self.signal_one(signal.SIGHUP),
            "settings": self.change_settings,
            "freeze": self.freeze,
            "config": self.fleet.config,
            "release": self.replace_upstream,
        }
        kind = self.rng.choice(sorted(kinds))
        self.counts["fault " + kind] += 1
        kinds[kind]()
        time.sleep(self.rng.uniform(0, 0.5))

    # Checks.

    def check_runs(self, callers):
        """What an upstream answers with 503 is marked as not run."""
        ran = collections.Counter(
            run.request_id for run in list(self.runs.by_seal.values())
            if run and run.status != 503)
        once = {seen["X-Request-Id"] for upstream in self.upstreams
                for seen in upstream.seen
                if seen[":path"].startswith(("/write/", "/ask/once/"))}
        for name in once:
            if ran[name] > 1:
                self.violate("%s ran %d times: %s" % (name, ran[name],
                                                      self.lines_of(name)))
        for caller in callers:
            for name in caller.not_run & set(ran):
                self.violate("%s was refused as not run, but ran: %s" % (
                    name, self.lines_of(name)))
            for name, router, age in caller.unanswered:
                self.check_unanswered(name, router, age, ran[name] > 0)

    def check_unanswered(self, name, router, age, has_run):
        """A request that meets the close of its connection may be lost if it
        was not passed on and its caller learns so at once."""
        kind = "killed" if router in self.killed else \
            "ran" if has_run else "held" if age > HELD_S else "not run"
        self.counts["unanswered, " + kind] += 1
        if kind in ("ran", "held"):
            self.violate("%s %s, and %s gave no answer, after %.2f s: %s" % (
                name, kind, router.name, age, self.lines_of(name)))

    def lines_of(self, name):
        return [line for router in self.fleet.routers
                for line in router.lines if name in line][-8:]

    def check_routers(self):
        for router in self.routers:
            self.peak = max(self.peak, peak_memory(router))
            if router.process.poll() is not None:
                self.violate("%s ended by itself" % router.name)
        if self.peak > MEMORY_MAX and not SANITIZED:
            self.violate("%d MB in a router" % (self.peak >> 20))
        assert_sound(self.fleet.routers)

    def run(self, seconds):
        end = time.monotonic() + seconds
        callers = [SoakCaller(self, self.seed * 1000 + n, end)
                   for n in range(CALLERS)]
        callers += [SoakCaller(self, self.seed * 1000 + CALLERS + n, end,
                               rate=SLOW_BYTES_PER_S)
                    for n in range(SLOW_CALLERS)]
        others = self.seed * 1000 + CALLERS + SLOW_CALLERS
        callers += [SoakCaller(self, others + n, end, version="1.0")
                    for n in range(OLD_CALLERS)]
        callers += [SoakCaller(self, others + OLD_CALLERS + n, end,
                               is_piecemeal=True)
                    for n in range(PIECEMEAL_CALLERS)]
        for caller in callers:
            caller.start()
        while time.monotonic() < end:
            self.fault()
        for thread in self.threads + callers:
            thread.join(seconds + END_S)
        self.finish(callers)
        return not self.violations

    def finish(self, callers):
        for caller in callers:
            self.counts.update(caller.counts)
            for fault in caller.faults:
                self.violate(fault)
            if caller.is_alive():
                self.violate("a caller hangs")
        self.check_runs(callers)
        self.check_routers()
        self.fleet.close()
        for what in sorted(self.counts):
            print("%-28s %d" % (what, self.counts[what]))
        print("most memory of a router: %d MB" % (self.peak >> 20))
        print("violations: %d" % len(self.violations))


def main():
    seed, seconds = int(sys.argv[1]), float(sys.argv[2])
    print("seed %d, %d s" % (seed, seconds), flush=True)
    return 0 if Soak(seed).run(seconds) else 1


if __name__ == "__main__":
    sys.exit(main())
