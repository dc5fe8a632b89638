#!/usr/bin/env python3
"""A seeded soak of relayed requests: routers as processes on stand-ins of
the users' platform, with faults drawn at random, while callers check what
the project promises. Exits with 1 on any violation.

    fleet_soak.py SEED SECONDS
"""
import http.client
import os
import random
import signal
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))
from fleet import CUSTOMERS, Fleet, SuspendableClock  # noqa: E402

ROUTERS = 3
CALLERS = 8
PIECES = 12
EVENTS = b"".join(b"id: %d\ndata: piece-%d\n\n" % (i, i)
                  for i in range(PIECES))
REVOKED_S = 1.5  # config_max_age of these routers, and what is on its way
LEFT_S = 3.0  # several times their leaving_limit, for a busy machine
# Of every two seeds one plays routers that place for groups of engines, for
# which there must be so many of them.
GROUPED_ENGINES = 16
# A stream lasts for several ticks of what moves streams, so that changes of
# weights, of keys and of the configuration meet streams that have begun.
PIECE_S = 0.08
# An engine counts as silent after so long, once its state was asked for in
# vain; it stands still for longer, and streams last longer still.
SILENT_AFTER = "300ms"
SILENT_S = 1.5
# How long a caller waits after a refusal, so that most requests are served.
REFUSED_S = 0.1
# The only faults that may end a stream in the middle.
CUTTING = ("cut_stream", "kill", "deadly")
# A request that ends engines is sent so often, so long apart at the most; an
# engine that ended under it is back after so long.
DEADLY_SENDS = 12
DEADLY_PAUSE_S = 0.3
DEADLY_BACK_S = 0.5
# Routers hear of its third crash within so long; later it may be sent so often.
DEADLY_KNOWN_S = 3.0
DEADLY_LATE = 3
# The store may lose so much as it comes back from a copy; its writers write
# what was lost again so much later. Copies are taken so often.
LOST_S = 8.0
AGAIN_S = 1.5
COPY_S = 0.5
# Limits that upstreams name, each for a while; what is no rate names none. The
# bound holds from some seconds after the first answer that names it, in spans.
LIMITS = ("0", "0.7", "1.5", "4", "many", "-1")
LIMIT_S = (4.0, 9.0)
LIMIT_KNOWN_S = 3.0
LIMIT_SPAN_S = 4.0
# What upstreams say beside limits. Of one that leaves all routers know so long
# after the first answer that says so; one that rests is in need for so long,
# and a router that was asked sends it next to nothing in each rest.
WORDS = ("limit", "leaving", "rest")
RESTS = ("1", "2.5", "soon", "-1")
REST_SPAN_S = 5.0
GONE = (OSError, http.client.HTTPException)


class Pace:
    """The time that an engine takes to each piece."""

    @staticmethod
    def wait(seconds):
        time.sleep(min(PIECE_S, seconds))


class Soak:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = Fleet()
        self.over = False
        self.lock = threading.Lock()
        self.violations = []
        self.counts = {}
        self.not_run = set()   # ids that were refused as not run
        self.answered = {}     # id -> body of a whole write
        self.revoked_at = None
        self.stopping = None   # a router that was sent SIGTERM
        self.starts = 0        # of routers
        self.cutting = 0       # faults that may cut streams, begun and ended
        self.changes = threading.Lock()
        grouped = seed % 2 == 0
        self.mesh_routers = "1" if grouped else "16"
        self.engines = [self.fleet.crashing_engine("e%d" % i, pieces=PIECES)
                        for i in range(GROUPED_ENGINES if grouped else 4)]
        self.deadly = []  # bodies that end engines
        self.clocks = [SuspendableClock(self.fleet.folder.name, "clock%d" % i)
                       for i in range(ROUTERS)]
        for engine in self.engines:
            engine.gate = Pace
            engine.queued = 1  # so that its streams are moved before a load
        self.plains = [self.fleet.plain("p%d" % i) for i in range(3)]
        self.fleet.config()
        self.routers = []
        for i in range(ROUTERS):
            self.routers.append(self.start_router(i))
        self.weights = 1
        self.copies = [(time.monotonic(), self.fleet.store.copy())]
        self.limited = []  # upstream, rate, from when to when it was kept

    def start_router(self, index):
        self.starts += 1
        others = [r.peer_address for i, r in enumerate(self.routers)
                  if i != index]
        return self.fleet.router(
            "r%d" % index, config_max_age="1s", connect_timeout="300ms",
            refuse_late="yes", token_timeout=SILENT_AFTER,
            environment=self.clocks[index].environment,
            peers={"mesh_routers": self.mesh_routers,
                   "seeds": ",".join(others)})

    def count(self, what):
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    def violate(self, text, request=None):
        with self.lock:
            self.violations.append((text, request))
        print("violation: " + text, flush=True)

    # Callers.

    def one_request(self, rng, number):
        router = rng.choice(self.routers)
        path = rng.choice(["/ask/x", "/ask/once/x", "/write/x", "/read/x"])
        name = "s%d" % number
        key = rng.choice(["key-a", "key-b", "key-r"])
        status, body, whole = 0, b"", False
        cutting = self.cutting
        try:
            response = self.fleet.request(
                router, path, key=key, wait_ms=8000, X_Request_Id=name,
                method="POST")
            status = response.status
            body = response.read()
            whole = True
        except http.client.IncompleteRead as error:
            body = error.partial
        except GONE:
            pass
        if status == 200 and not whole and router is self.stopping:
            self.violate("%s was cut by a planned stop" % name, name)
        elif (status == 200 and not whole and cutting == self.cutting
              and cutting % 2 == 0):
            self.violate("%s was cut by nothing that breaks a stream" % name,
                         name)
        self.check(path, name, status, body, whole)

    def check(self, path, name, status, body, whole):
        self.count("%s %s" % (path, status if whole else "cut"))
        if status in (429, 503) and whole:
            with self.lock:
                self.not_run.add(name)
            time.sleep(REFUSED_S)
        if status != 200:
            return
        if path.startswith("/ask"):
            good = body == EVENTS if whole else EVENTS.startswith(body)
        else:
            good = not whole or body.startswith(b"POST " + path.encode())
        if not good:
            self.violate("%s of %s: %r" % (path, name, body[:200]), name)

    def call(self, number):
        rng = random.Random(self.rng.random())
        at = number * 10 ** 6
        while not self.over:
            at += 1
            self.one_request(rng, at)

    # Faults.

    def restart(self, index, how):
        router = self.routers[index]
        if how == signal.SIGTERM:
            self.stopping = router
        router.signal(how)
        router.process.wait()
        self.stopping = None
        router.kill()
        self.routers[index] = self.start_router(index)

    def fault(self):
        kind = self.rng.choice(["shed", "cut_stream", "cut_call", "slow",
                                "store", "kill", "term", "freeze", "hup",
                                "leave", "weights", "config", "revoke",
                                "lapse", "silence", "deadly", "suspend",
                                "older", "older twice"])
        self.count("fault " + kind)
        self.cutting += kind in CUTTING
        self.bring_about(kind)
        self.cutting += kind in CUTTING

    def bring_about(self, kind):
        rng = self.rng
        upstream = rng.choice(self.engines + self.plains)
        index = rng.randrange(ROUTERS)
        hold = rng.uniform(0.2, 1.2)
        if kind == "shed":
            self.switch(upstream, "shed", True, False, hold)
        elif kind == "cut_stream":
            self.switch(rng.choice(self.engines), "cut_after",
                        rng.randrange(PIECES), None, hold)
        elif kind == "cut_call":
            self.switch(upstream, "cut_calls", True, False, hold)
        elif kind == "slow":
            self.switch(upstream, "pause_s", 0.3, 0, hold)
        elif kind == "store":
            self.switch(self.fleet.store, "down", True, False, hold * 2)
        elif kind in ("kill", "term"):
            self.restart(index, signal.SIGKILL if kind == "kill"
                         else signal.SIGTERM)
        elif kind == "freeze":
            self.routers[index].signal(signal.SIGSTOP)
            time.sleep(hold)
            self.routers[index].signal(signal.SIGCONT)
        elif kind == "hup":
            self.routers[index].signal(signal.SIGHUP)
        elif kind == "silence":
            self.silence(rng.choice(self.engines), SILENT_S + hold)
        elif kind == "leave":
            self.switch_state(upstream, hold)
        elif kind == "weights":
            self.name_weights()
        elif kind == "config":
            self.configure()
        elif kind == "revoke":
            self.revoke()
        elif kind == "suspend":
            self.clocks[index].suspend(rng.randint(1, 5))
        elif kind == "deadly":
            self.send_deadly()
        elif kind.startswith("older"):
            self.come_back_older(rng, hold)
            if kind == "older twice":
                self.come_back_older(rng, hold / 4)
        elif kind == "lapse":
            self.fleet.store.down = True
            time.sleep(hold)
            upstream.unlist()
            self.fleet.store.down = False
            upstream.list()

    def change(self):
        """What comes beside the faults and spoils none of their checks."""
        rng = random.Random(self.rng.random())
        while not self.over:
            time.sleep(rng.uniform(0.2, 1.0))
            kind = rng.choice(["hup", "weights", "config", "older"])
            self.count("beside " + kind)
            if kind == "hup":
                router = rng.choice(self.routers)
                if router.process.poll() is None:
                    router.signal(signal.SIGHUP)
            elif kind == "weights":
                self.name_weights()
            elif kind == "older":
                self.come_back_older(rng, rng.uniform(0, 0.5))
            else:
                self.configure()

    def speak(self):
        """One upstream after the other says something of itself."""
        rng = random.Random(self.rng.random())
        say = {"limit": self.name_limit, "leaving": self.say_leaving,
               "rest": self.ask_for_rest}
        while not self.over:
            word = rng.choice(WORDS)
            self.count("says " + word)
            say[word](rng, rng.choice(self.engines + self.plains))
            time.sleep(rng.uniform(0, 1))

    def name_limit(self, rng, upstream):
        limit = rng.choice(LIMITS)
        born = upstream.born
        upstream.limit = limit
        began = time.monotonic()
        self.count("limit " + limit)
        time.sleep(rng.uniform(*LIMIT_S))
        upstream.limit = None
        if limit.replace(".", "").isdigit() and born == upstream.born:
            self.limited.append((upstream, float(limit), began,
                                 time.monotonic()))

    def say_leaving(self, rng, upstream):
        """Its entry still reads ready; it starts again afterwards."""
        born = upstream.born
        came = len(upstream.arrivals)
        upstream.leaving = True
        time.sleep(LEFT_S)
        told = len(upstream.arrivals) > came
        time.sleep(LEFT_S)
        before = len(upstream.arrivals)
        time.sleep(rng.uniform(0.5, 1.5))
        late = len(upstream.arrivals) - before
        if told and born == upstream.born and upstream.leaving:
            self.count("leaving kept")
            if late > 0:
                self.violate("%s got %d requests after it said it leaves" % (
                    upstream.name, late))
        upstream.start_again()

    def ask_for_rest(self, rng, upstream):
        rest = rng.choice(RESTS)
        born = upstream.born
        starts = self.starts
        before = len(upstream.arrivals)
        upstream.rest = rest
        time.sleep(REST_SPAN_S)
        upstream.rest = None
        came = len(upstream.arrivals) - before
        if rest.replace(".", "").isdigit() and born == upstream.born:
            self.count("rests kept")
            routers = ROUTERS + self.starts - starts
            if came > routers * (REST_SPAN_S / float(rest) + 2) + CALLERS:
                self.violate("%s got %d requests in rests of %s s" % (
                    upstream.name, came, rest))

    def check_limits(self):
        for upstream, per_s, began, ended in self.limited:
            came = [t for t in upstream.arrivals if began < t < ended]
            told = came[0] + LIMIT_KNOWN_S if came else ended
            kept = [t for t in came if t > told]
            most = max([sum(t <= u < t + LIMIT_SPAN_S for u in kept)
                        for t in kept] or [0])
            if most > 1.5 * per_s * LIMIT_SPAN_S + 5:
                self.violate("%s got %d requests in %d s at a limit of %s" % (
                    upstream.name, most, LIMIT_SPAN_S, per_s))
        self.count("limits kept: %d" % len(self.limited))

    def take_copies(self):
        """As the platform does, whatever else happens."""
        while not self.over:
            with self.changes:
                self.copies.append((time.monotonic(),
                                    self.fleet.store.copy()))
                del self.copies[:-int(LOST_S / COPY_S)]
            time.sleep(COPY_S)

    def come_back_older(self, rng, away):
        """The store is away and back from a copy; what the operator and the
        upstreams wrote since is written again, what routers wrote is not."""
        store = self.fleet.store
        with self.changes:
            copy = rng.choice(self.copies)[1]
            self.copies = [(at, old) for at, old in self.copies
                           if all(old.get(name, 0) <= length
                                  for name, length in copy.items())]
            store.down = away > 0
            time.sleep(away)
            lost = store.come_back_older(copy)
            if rng.random() < 0.7:
                time.sleep(rng.uniform(0, AGAIN_S))
            for topic in ("keyed.op", "keyed.servers"):
                store.write_again(topic, lost.get(topic, []), copy)
            self.copies.append((time.monotonic(), store.copy()))

    def name_weights(self):
        with self.changes:
            self.weights += 1
            self.fleet.store.put("keyed.op", "version/m",
                                 {"model": "m", "version": self.weights})

    def configure(self, customers=None):
        with self.changes:
            self.fleet.config(customers=customers)

    @staticmethod
    def switch(target, name, on, off, hold):
        setattr(target, name, on)
        time.sleep(hold)
        setattr(target, name, off)

    @staticmethod
    def silence(engine, hold):
        """It stands still in the middle of its streams, then goes on."""
        spoken = threading.Event()
        engine.gate = engine.probed = spoken
        time.sleep(hold)
        engine.gate, engine.probed = Pace, None
        spoken.set()

    def send_deadly(self):
        """The same request again and again, now and then one of before."""
        if not self.deadly or self.rng.random() < 0.7:
            self.deadly.append(b"crash %d" % len(self.deadly))
        body = self.rng.choice(self.deadly)
        for _ in range(DEADLY_SENDS):
            try:
                self.fleet.ask(self.rng.choice(self.routers), "/ask/x", body,
                               wait_ms=2000)
            except GONE:
                pass
            time.sleep(self.rng.uniform(0, DEADLY_PAUSE_S))
            self.revive_engines()
        time.sleep(DEADLY_BACK_S)
        self.revive_engines()

    def revive_engines(self):
        for engine in self.engines:
            ended = engine.dead and time.monotonic() - engine.deadly[-1][0]
            if ended and ended > DEADLY_BACK_S:
                engine.revive()

    def check_deadly(self):
        ends = sorted(end for engine in self.engines for end in engine.deadly)
        for body in self.deadly:
            times = [at for at, ended in ends if ended == body]
            late = [at for at in times[3:] if at > times[2] + DEADLY_KNOWN_S]
            self.count("engines ended under one: %d" % len(times))
            if len(late) > DEADLY_LATE:
                self.violate("%r ended %d engines, %d late" % (
                    body, len(times), len(late)))

    def switch_state(self, upstream, hold):
        """It gets no new work once its leaving must be known."""
        upstream.state = "draining"
        upstream.list()
        time.sleep(LEFT_S)
        before = len(upstream.seen)
        time.sleep(hold)
        if len(upstream.seen) > before:
            self.violate("%s got work after it left" % upstream.name)
        upstream.state = "ready"
        upstream.list()

    def revoke(self):
        """key-r works, is taken away, and must not run anything later."""
        self.configure(CUSTOMERS + [{"name": "r", "api_keys": ["key-r"]}])
        time.sleep(0.5)
        self.configure()
        time.sleep(REVOKED_S)
        before = self.runs_of("r")
        time.sleep(0.5)
        if self.runs_of("r") > before:
            self.violate("a revoked key still runs requests")

    def runs_of(self, customer):
        return sum(seen["X-Tenant"] == customer
                   for part in self.engines + self.plains
                   for seen in list(part.seen))

    # What upstreams saw.

    def check_upstreams(self):
        runs = {}
        walls = {}
        for part in self.engines + self.plains:
            for seen in part.seen:
                name = seen["X-Request-Id"]
                runs.setdefault(name, []).append((part, seen))
                salt = seen.get("X-Cache-Salt")
                if salt:
                    mark = (seen["X-Tenant"] == "b", seen["X-Expect-Version"])
                    if walls.setdefault(salt, mark) != mark:
                        self.violate("salt %s of %s and %s" % (
                            salt, walls[salt], mark))
        for name in self.not_run & set(runs):
            self.violate("%s was refused as not run, but ran" % name)
        for name, list_ in runs.items():
            once = any(seen[":path"].startswith(("/write/", "/ask/once/"))
                       for part, seen in list_)
            if once and len(list_) > 1:
                self.violate("%s ran %d times" % (name, len(list_)))

    def check_orders(self):
        """No fencing number of two routers, none lower after a higher one."""
        holders = {}
        for engine in self.engines:
            last = 0
            for order in engine.orders:
                number, holder = order["fence"], order["holder"]
                if holders.setdefault(number, holder) != holder:
                    self.violate("number %d of %s and %s" % (
                        number, holders[number], holder))
                if number < last:
                    self.violate("%s got number %d after %d" % (
                        engine.name, number, last))
                last = number
        self.count("fencing numbers: %d" % len(holders))

    def read_logs(self):
        """Counts what moved, and prints what the violations were about."""
        requests = {request for text, request in self.violations}
        holders = any("number" in text for text, _ in self.violations)
        for router in self.fleet.routers:
            for line in router.events():
                if line["event"] in ("stream_moved", "stream_stays",
                                     "attempt_kept"):
                    self.count("%s %s" % (line["event"], line["reason"]))
                if line.get("request") in requests or (
                        holders and line["event"].startswith(
                            ("lease", "store_epoch", "store_came"))):
                    print(router.path, line)

    def run(self, seconds):
        threads = [threading.Thread(target=self.call, args=(i + 1,))
                   for i in range(CALLERS)]
        threads.append(threading.Thread(target=self.change))
        threads.append(threading.Thread(target=self.take_copies))
        threads.append(threading.Thread(target=self.speak))
        for thread in threads:
            thread.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.fault()
        self.over = True
        for thread in threads:
            thread.join()
        self.check_upstreams()
        self.check_deadly()
        self.check_orders()
        self.check_limits()
        self.read_logs()
        self.fleet.close()
        for what in sorted(self.counts):
            print("%-28s %d" % (what, self.counts[what]))
        print("violations: %d" % len(self.violations))
        return 1 if self.violations else 0


def main():
    seed, seconds = int(sys.argv[1]), float(sys.argv[2])
    print("seed %d, %d s" % (seed, seconds), flush=True)
    return Soak(seed).run(seconds)


if __name__ == "__main__":
    sys.exit(main())
