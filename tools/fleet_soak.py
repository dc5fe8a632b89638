#!/usr/bin/env python3
"""A seeded soak test of relayed requests: router processes run on stand-ins
of the users' platform under random faults, while callers check the project's
guarantees. Exits with 1 on any violation.

    fleet_soak.py SEED SECONDS
"""
import http.client
import os
import random
import re
import signal
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))
from fleet import (CUSTOMERS, RANKED_ROUTES, ROUTES, Fleet,  # noqa: E402
                   SuspendableClock, is_framed, read_parts, route)
from links import Links  # noqa: E402

ROUTERS = 3
CALLERS = 8
PIECES = 12
# What the engines of each software version write.
EVENTS = {software: b"".join(b"id: %d\ndata: %s-%d\n\n" % (i, software, i)
                             for i in range(PIECES))
          for software in (b"v1", b"v2")}
# Every third seed has engines of two software versions.
MIXED_ENGINES = 6
REVOCATION_KNOWN_S = 1.5  # config_max_age of these routers plus delivery time
# Time until all routers know of a leaving upstream: several times their
# leaving_limit, for a busy machine.
LEAVING_KNOWN_S = 3.0
# Even seeds run routers that place requests on groups of engines, which needs
# at least this many engines.
GROUPED_ENGINES = 16
# Seeds divisible by four partition the groups: urgent requests come beside
# prompts that take an engine 0.45 s, and in bursts of more than it begins.
RANKED_CALLERS = 24
OTHER_TOKENS = 25000
URGENT_TOKENS = {"/ask/urgent/x": 400, "/ask/urgent/burst": 10000}
BURST = 48
# Makes a stream last several ticks of the timer that moves streams, so that
# changes of weights, keys and configuration occur while streams are running.
PIECE_INTERVAL_S = 0.08
# A router treats an engine as silent after the token timeout, once a query of
# the engine's state has failed too. An injected stall lasts longer than the
# timeout, and a stalled stream lasts longer than the stall.
TOKEN_TIMEOUT = "300ms"
STALL_S = 1.5
# Statuses that promise callers that a request did not run, which upstreams send
# for requests that ran, and the time after which a refusal is sent again.
PROMISES = (408, 429, 503)
DOUBLED_AFTER_S = 0.08
# A caller's pause after a refusal, so that most requests are served.
REFUSAL_PAUSE_S = 0.1
# Bodies of calls and reads of which two take the budget of a router.
LARGE_BODY = b"x" * (1 << 20)
LARGE_SHARE = 0.3
MEMORY = "4MiB"
# The only faults that may cut a stream before its end.
CUTTING_FAULTS = ("cut_stream", "kill", "deadly")
# How often a poison request is sent, the maximum pause between two sends, and
# the time after which an engine that it crashed restarts.
POISON_SENDS = 12
POISON_PAUSE_MAX_S = 0.3
ENGINE_RESTART_S = 0.5
# All routers know of a poison request's third crash after this time; from then
# on it may crash at most this many more engines.
POISON_KNOWN_S = 3.0
LATE_CRASHES_MAX = 3
# The same holds for a part of prompts from this crash under it on.
PART_ENDS = 5
# Maximum age of the copy that a restore of the store returns to, maximum delay
# until the writers repeat the lost records, and interval of the copies.
COPY_AGE_MAX_S = 8.0
REWRITE_DELAY_MAX_S = 1.5
COPY_INTERVAL_S = 0.5
# Limits that upstreams announce; a value that is not a rate sets no limit.
# Each is announced for a random time in a range. It is checked over every span
# that begins later than LIMIT_KNOWN_S after the first answer that names it.
LIMITS = ("0", "0.7", "1.5", "4", "many", "-1")
LIMIT_DURATION_S = (4.0, 9.0)
LIMIT_KNOWN_S = 3.0
LIMIT_SPAN_S = 4.0
# Notices of upstreams, and the backoffs that they ask for; a value that is not
# a time asks for none. Each backoff is announced for BACKOFF_SPAN_S; routers
# send the upstream almost no requests during it.
NOTICES = ("limit", "leaving", "rest")
BACKOFFS = ("1", "2.5", "soon", "-1")
BACKOFF_SPAN_S = 5.0
# Cuts of routers' links to all upstreams, their durations, the pauses between
# them, and the time in which bytes held by a link arrive once it is back.
LINK_CUTS = (Links.cut_silently, Links.cut_with_resets, Links.refuse_new)
LINK_CUT_S = (0.5, 6.0)
LINK_PAUSE_S = (1.0, 4.0)
LINK_DELIVERY_S = 0.5
# Ends of answers without a length that show that they were broken off, how many
# upstreams send such answers at a time, how long, and the pauses between.
BREAKS = ("inside_event", "blank_line")
BREAKING = 4
BREAKING_S = (0.3, 1.5)
BREAK_PAUSE_S = (0.5, 2.0)
# Delays of a slow store's answers: less and more than its timeout.
STORE_DELAYS_S = (0.8, 1.2, 2.4)
# Routes of a long configuration, the changes of one route that follow it and
# the pause between them, the rate at which a record arrives, and how long the
# last one stays.
LONG_ROUTES = 700
LONG_CHANGES = 3
LONG_CHANGE_S = 0.5
LONG_BYTES_PER_S = 150000
LONG_CONFIG_S = 2.0
CONNECTION_ERRORS = (OSError, http.client.HTTPException)


class Pacing:
    """Paces an engine's stream: a delay before each piece."""

    @staticmethod
    def wait(seconds):
        time.sleep(min(PIECE_INTERVAL_S, seconds))


class Soak:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = Fleet()
        self.finished = False
        self.lock = threading.Lock()
        self.violations = []
        self.counts = {}
        self.not_run = set()   # ids of requests refused as not run
        self.answered = {}     # id -> body of a complete write
        self.revoked_at = None
        self.stopping = None   # the router that was sent SIGTERM
        self.starts = 0        # number of router starts
        self.cutting_changes = 0  # counts starts and ends; odd during a fault
        # The same for each router's links that break streams.
        self.link_changes = [0] * ROUTERS
        self.link_lock = threading.Lock()  # held while links are cut
        self.link_rng = random.Random("%d links" % seed)
        self.break_rng = random.Random("%d breaks" % seed)
        self.break_changes = 0  # counts starts and ends of broken answers
        self.store_lock = threading.Lock()
        grouped = seed % 2 == 0
        self.mesh_routers = "1" if grouped else "16"
        self.partitioned = seed % 4 == 0
        self.callers = RANKED_CALLERS if self.partitioned else CALLERS
        add_engine = (self.fleet.prompt_engine if self.partitioned
                      else self.fleet.crashing_engine)
        self.mixed = seed % 3 == 1
        count = max(GROUPED_ENGINES if grouped else 4,
                    MIXED_ENGINES if self.mixed else 0)
        self.engines = [add_engine("e%d" % i, pieces=PIECES,
                                   software=self.software_of(i))
                        for i in range(count)]
        self.poison_bodies = []  # bodies of poison requests
        self.clocks = [SuspendableClock(self.fleet.folder.name, "clock%d" % i)
                       for i in range(ROUTERS)]
        for engine in self.engines:
            engine.piece = engine.software.encode()
            engine.gate = Pacing
            engine.queued = 1  # so that its streams are moved before a load
        self.plains = [self.fleet.plain("p%d" % i) for i in range(3)]
        self.links = [self.fleet.add(Links(self.engines + self.plains))
                      for _ in range(ROUTERS)]
        self.write_config()
        self.routers = []
        for i in range(ROUTERS):
            self.routers.append(self.start_router(i))
        self.weights = 1
        self.copies = [(time.monotonic(), self.fleet.store.copy())]
        self.limit_periods = []  # (upstream, rate, start, end)

    def software_of(self, index):
        return "v2" if self.mixed and index % 2 else "v1"

    def start_router(self, index):
        self.starts += 1
        others = [r.peer_address for i, r in enumerate(self.routers)
                  if i != index]
        return self.fleet.router(
            "r%d" % index, config_max_age="1s", connect_timeout="300ms",
            refuse_late="yes", token_timeout=TOKEN_TIMEOUT, memory=MEMORY,
            partition_engines="yes" if self.partitioned else "no",
            probe_silent="yes" if self.partitioned else "no",
            environment=self.links[index].environment_with(
                self.clocks[index].environment),
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

    def describe_prompt(self, path, number):
        if not self.partitioned or not path.startswith("/ask"):
            return {}
        tokens = URGENT_TOKENS.get(path, OTHER_TOKENS)
        return {"X_Token_Usage": "%d,10" % tokens,
                "X_Prompt_Prefix": "%x:%d" % (number, tokens)}

    def continue_stream(self, rng, name, key, begun):
        """Continues a stream that was cut, as its caller does: at any router,
        under an id of its own."""
        events = begun[:begun.rfind(b"\n\n") + 2]
        count = events.count(b"\n\n")
        if count == 0:
            return
        cutting_changes = self.cutting_changes
        try:
            response = self.fleet.request(
                rng.choice(self.routers), "/ask/x", key=key, wait_ms=8000,
                X_Request_Id=name + "-again", Resumes=name,
                Last_Event_Id=str(count - 1))
            rest, whole = read_parts(response)
        except CONNECTION_ERRORS:
            return
        if response.status != 200:
            code = re.search(rb'"code":"(\w+)"', rest)
            self.count("continued: " + (code[1].decode() if code else
                                        str(response.status)))
            return
        self.count("continued: " + ("whole" if whole else "cut"))
        whole = whole and not self.may_be_cut(is_framed(response),
                                              cutting_changes)
        if not self.is_of_one_version(events + rest, whole):
            self.violate("%s went on as %r" % (name, (events + rest)[:300]),
                         name + "-again")

    @staticmethod
    def is_of_one_version(body, whole):
        return any(body == events if whole else events.startswith(body)
                   for events in EVENTS.values())

    def send_request(self, rng, number, path=None, sent=b"x"):
        """Returns the answer's Retry-After in seconds, 0 if it has none."""
        index = rng.randrange(ROUTERS)
        router = self.routers[index]
        urgent = ["/ask/urgent/x"] * 2 * self.partitioned
        path = path or rng.choice(["/ask/x", "/ask/once/x", "/write/x",
                                   "/read/x"] + urgent)
        if path in ("/write/x", "/read/x") and rng.random() < LARGE_SHARE:
            sent = LARGE_BODY
            self.count("large bodies")
        name = "s%d" % number
        key = rng.choice(["key-a", "key-b", "key-r"])
        status, body, whole, wait_s, framed = 0, b"", False, 0, True
        cutting_changes = self.cutting_changes
        break_changes = self.break_changes
        link_changes = self.link_changes[index]
        try:
            response = self.fleet.request(
                router, path, sent, key=key, wait_ms=8000, X_Request_Id=name,
                method="POST", **self.describe_prompt(path, number))
            status = response.status
            wait_s = float(response.headers.get("Retry-After", 0))
            framed = is_framed(response)
            body, whole = read_parts(response)
        except CONNECTION_ERRORS:
            pass
        linked = (link_changes == self.link_changes[index]
                  and link_changes % 2 == 0)
        if (status == 200 and not whole and linked
                and router is self.stopping
                and break_changes == self.break_changes
                and break_changes % 2 == 0):
            self.violate("%s was cut by a planned stop" % name, name)
        elif (status == 200 and not whole and linked
              and cutting_changes == self.cutting_changes
              and cutting_changes % 2 == 0
              and break_changes == self.break_changes
              and break_changes % 2 == 0):
            self.violate("%s was cut by nothing that breaks a stream" % name,
                         name)
        may_be_cut = self.may_be_cut(framed, cutting_changes)
        self.check_answer(path, name, status, body, whole and not may_be_cut,
                          framed, len(sent))
        if path == "/ask/x" and status == 200 and not whole:
            self.continue_stream(rng, name, key, body)
        return wait_s

    def may_be_cut(self, framed, cutting_changes):
        """An engine that dies between two events ends an answer without a
        frame as if it were whole."""
        return not framed and (cutting_changes != self.cutting_changes
                               or cutting_changes % 2 == 1)

    def send_burst(self):
        """Sends many urgent requests at once; refused ones return once."""
        first = self.counts["fault burst"] * 10 ** 9

        def send(number):
            prompt = "/ask/urgent/burst", b"burst %d" % number
            wait_s = self.send_request(random.Random(number), number, *prompt)
            if wait_s > 0:
                time.sleep(max(wait_s - REFUSAL_PAUSE_S, 0))
                again = number + BURST
                self.send_request(random.Random(number), again, *prompt)
        with ThreadPoolExecutor(BURST) as pool:
            list(pool.map(send, range(first, first + BURST)))

    def check_answer(self, path, name, status, body, whole, framed, sent):
        self.count("%s %s" % (path, status if whole else "cut"))
        if status == 200 and not framed:
            self.count("without a frame: " + ("ended" if whole else "reset"))
        if status in (*PROMISES, 421) and whole:
            with self.lock:
                self.not_run.add(name)
            time.sleep(REFUSAL_PAUSE_S)
        if status != 200:
            return
        if path.startswith("/ask"):
            good = self.is_of_one_version(body, whole)
        elif whole and framed:
            good = body == b"POST %s %d bytes" % (path.encode(), sent)
        else:
            good = (b"POST %s %d bytes" % (path.encode(), sent)).startswith(
                body)
        if not good:
            self.violate("%s of %s: %r" % (path, name, body[:200]), name)

    def run_caller(self, number):
        rng = random.Random(self.rng.random())
        at = number * 10 ** 6
        while not self.finished:
            at += 1
            self.send_request(rng, at)

    # Faults.

    def restart_router(self, index, how):
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
                                "slow store", "long config", "doubled",
                                "doubled", "unproven", "unproven",
                                "older", "older twice"]
                               + ["burst"] * 8 * self.partitioned)
        self.count("fault " + kind)
        self.cutting_changes += kind in CUTTING_FAULTS
        self.inject_fault(kind)
        self.cutting_changes += kind in CUTTING_FAULTS

    def inject_fault(self, kind):
        rng = self.rng
        upstream = rng.choice(self.engines + self.plains)
        index = rng.randrange(ROUTERS)
        hold = rng.uniform(0.2, 1.2)
        if kind == "shed":
            self.set_temporarily(upstream, "shed", True, False, hold)
        elif kind == "doubled":
            self.double_refusals(rng, hold)
        elif kind == "unproven":
            self.set_temporarily(rng.choice(self.plains), "status",
                                 rng.choice(PROMISES), 200, hold)
        elif kind == "cut_stream":
            self.set_temporarily(rng.choice(self.engines), "cut_after",
                                 rng.randrange(PIECES), None, hold)
        elif kind == "cut_call":
            self.set_temporarily(upstream, "cut_calls", True, False, hold)
        elif kind == "slow":
            self.set_temporarily(upstream, "pause_s", 0.3, 0, hold)
        elif kind == "store":
            self.set_temporarily(self.fleet.store, "down", True, False,
                                 hold * 2)
        elif kind == "slow store":
            self.set_temporarily(self.fleet.store, "answer_s",
                                 rng.choice(STORE_DELAYS_S), 0, hold * 3)
        elif kind == "long config":
            self.write_long_config()
        elif kind in ("kill", "term"):
            self.restart_router(index, signal.SIGKILL if kind == "kill"
                                else signal.SIGTERM)
        elif kind == "freeze":
            self.routers[index].signal(signal.SIGSTOP)
            time.sleep(hold)
            self.routers[index].signal(signal.SIGCONT)
        elif kind == "hup":
            self.routers[index].signal(signal.SIGHUP)
        elif kind == "silence":
            self.stall_engine(rng.choice(self.engines), STALL_S + hold)
        elif kind == "leave":
            self.drain_upstream(upstream, hold)
        elif kind == "weights":
            self.publish_weights()
        elif kind == "config":
            self.write_config()
        elif kind == "revoke":
            self.revoke()
        elif kind == "suspend":
            self.clocks[index].suspend(rng.randint(1, 5))
        elif kind == "deadly":
            self.send_poison()
        elif kind == "burst":
            self.send_burst()
        elif kind.startswith("older"):
            self.restore_older_copy(rng, hold)
            if kind == "older twice":
                self.restore_older_copy(rng, hold / 4)
        elif kind == "lapse":
            self.fleet.store.down = True
            time.sleep(hold)
            upstream.unlist()
            self.fleet.store.down = False
            upstream.list()

    def double_refusals(self, rng, hold):
        """Lets most upstreams refuse by turns, and say so twice."""
        chosen = [u for u in self.engines + self.plains if rng.random() < 0.8]
        end = time.monotonic() + hold
        for upstream in chosen:
            upstream.repeat_s = rng.uniform(0, DOUBLED_AFTER_S)
        while time.monotonic() < end:
            for upstream in chosen:
                upstream.shed = rng.random() < 0.5
            time.sleep(rng.uniform(0, DOUBLED_AFTER_S))
        for upstream in chosen:
            upstream.shed, upstream.repeat_s = False, None

    def make_changes(self):
        """Makes changes that break no check, in parallel with the faults."""
        rng = random.Random(self.rng.random())
        while not self.finished:
            time.sleep(rng.uniform(0.2, 1.0))
            kind = rng.choice(["hup", "weights", "config", "older"])
            self.count("beside " + kind)
            if kind == "hup":
                router = rng.choice(self.routers)
                if router.process.poll() is None:
                    router.signal(signal.SIGHUP)
            elif kind == "weights":
                self.publish_weights()
            elif kind == "older":
                self.restore_older_copy(rng, rng.uniform(0, 0.5))
            else:
                self.write_config()

    def cut_links(self):
        """Cuts the links of some routers to all upstreams, in parallel with
        the faults; some twice in a row."""
        rng = self.link_rng
        while not self.finished:
            time.sleep(rng.uniform(*LINK_PAUSE_S))
            chosen = rng.sample(range(ROUTERS), rng.randint(1, ROUTERS))
            with self.link_lock:
                for _ in range(rng.choice((1, 1, 2))):
                    self.cut_links_once(chosen, rng.choice(LINK_CUTS),
                                        rng.uniform(*LINK_CUT_S))
                time.sleep(LINK_DELIVERY_S)

    def cut_links_once(self, chosen, cut, hold):
        self.count("%s of %d" % (cut.__name__, len(chosen)))
        self.count_link_changes(chosen, cut)
        for index in chosen:
            cut(self.links[index])
        time.sleep(hold)
        for index in chosen:
            self.links[index].heal()
        self.count_link_changes(chosen, cut)

    def count_link_changes(self, chosen, cut):
        for index in chosen:
            self.link_changes[index] += cut is not Links.refuse_new

    def break_answers(self):
        """Lets some upstreams after others answer without a length, in part so
        that their answers break off."""
        rng = self.break_rng
        while not self.finished:
            time.sleep(rng.uniform(*BREAK_PAUSE_S))
            chosen = rng.sample(self.engines + self.plains, BREAKING)
            breaks = rng.random() < 0.5
            self.break_changes += breaks
            for upstream in chosen:
                upstream.framed = False
                if breaks:
                    upstream.cut_after = rng.randrange(PIECES)
                    upstream.break_off = rng.choice(BREAKS)
            time.sleep(rng.uniform(*BREAKING_S))
            for upstream in chosen:
                upstream.cut_after = upstream.break_off = None
                upstream.framed = True
            time.sleep(PIECES * PIECE_INTERVAL_S * breaks)
            self.break_changes += breaks

    def await_held_bytes(self):
        """Waits until what a link held has arrived."""
        with self.link_lock:
            pass

    def send_notices(self):
        """Lets one random upstream after another send a notice."""
        rng = random.Random(self.rng.random())
        actions = {"limit": self.announce_limit,
                   "leaving": self.announce_leaving,
                   "rest": self.announce_backoff}
        while not self.finished:
            notice = rng.choice(NOTICES)
            self.count("says " + notice)
            actions[notice](rng, rng.choice(self.engines + self.plains))
            time.sleep(rng.uniform(0, 1))

    def announce_limit(self, rng, upstream):
        limit = rng.choice(LIMITS)
        born = upstream.born
        upstream.limit = limit
        began = time.monotonic()
        self.count("limit " + limit)
        time.sleep(rng.uniform(*LIMIT_DURATION_S))
        upstream.limit = None
        if limit.replace(".", "").isdigit() and born == upstream.born:
            self.limit_periods.append((upstream, float(limit), began,
                                       time.monotonic()))

    def announce_leaving(self, rng, upstream):
        """Announces leaving in answers, while the listing still says ready;
        then restarts the upstream."""
        born = upstream.born
        received = len(upstream.arrivals)
        upstream.leaving = True
        time.sleep(LEAVING_KNOWN_S)
        known = len(upstream.arrivals) > received
        time.sleep(LEAVING_KNOWN_S)
        self.await_held_bytes()
        before = len(upstream.arrivals)
        time.sleep(rng.uniform(0.5, 1.5))
        late = len(upstream.arrivals) - before
        if known and born == upstream.born and upstream.leaving:
            self.count("leaving kept")
            if late > 0:
                self.violate("%s got %d requests after it said it leaves" % (
                    upstream.name, late))
        upstream.start_again()

    def announce_backoff(self, rng, upstream):
        rest = rng.choice(BACKOFFS)
        born = upstream.born
        starts = self.starts
        before = len(upstream.arrivals)
        upstream.rest = rest
        time.sleep(BACKOFF_SPAN_S)
        upstream.rest = None
        received = len(upstream.arrivals) - before
        if rest.replace(".", "").isdigit() and born == upstream.born:
            self.count("rests kept")
            routers = ROUTERS + self.starts - starts
            if (received > routers * (BACKOFF_SPAN_S / float(rest) + 2)
                    + self.callers):
                self.violate("%s got %d requests in rests of %s s" % (
                    upstream.name, received, rest))

    def check_limits(self):
        for upstream, per_s, began, ended in self.limit_periods:
            received = [t for t in upstream.arrivals if began < t < ended]
            known = received[0] + LIMIT_KNOWN_S if received else ended
            under_limit = [t for t in received if t > known]
            peak = max([sum(t <= u < t + LIMIT_SPAN_S for u in under_limit)
                        for t in under_limit] or [0])
            if peak > 1.5 * per_s * LIMIT_SPAN_S + 5:
                self.violate("%s got %d requests in %d s at a limit of %s" % (
                    upstream.name, peak, LIMIT_SPAN_S, per_s))
        self.count("limits kept: %d" % len(self.limit_periods))

    def take_copies(self):
        """Copies the store periodically, as the platform does."""
        while not self.finished:
            with self.store_lock:
                self.copies.append((time.monotonic(),
                                    self.fleet.store.copy()))
                del self.copies[:-int(COPY_AGE_MAX_S / COPY_INTERVAL_S)]
            time.sleep(COPY_INTERVAL_S)

    def restore_older_copy(self, rng, away):
        """Takes the store down and restores it from a copy. Lost records of
        the operator and the upstreams are written again, those of the
        routers are not."""
        store = self.fleet.store
        with self.store_lock:
            copy = rng.choice(self.copies)[1]
            self.copies = [(at, old) for at, old in self.copies
                           if all(old.get(name, 0) <= length
                                  for name, length in copy.items())]
            store.down = away > 0
            time.sleep(away)
            lost = store.come_back_older(copy)
            if rng.random() < 0.7:
                time.sleep(rng.uniform(0, REWRITE_DELAY_MAX_S))
            for topic in ("keyed.op", "keyed.servers"):
                store.write_again(topic, lost.get(topic, []), copy)
            self.copies.append((time.monotonic(), store.copy()))

    def publish_weights(self):
        with self.store_lock:
            self.weights += 1
            self.fleet.store.put("keyed.op", "version/m",
                                 {"model": "m", "version": self.weights})

    def write_config(self, customers=None):
        with self.store_lock:
            routes = RANKED_ROUTES if self.partitioned else None
            self.fleet.config(routes=routes, customers=customers)

    def write_long_config(self):
        """Writes a configuration whose record takes longer to read than a
        router waits for the first byte, and changes right after it."""
        routes = RANKED_ROUTES if self.partitioned else ROUTES
        more = [route("more%d" % i, "/more/%d/" % i, "idempotent", "plain")
                for i in range(LONG_ROUTES)]
        self.fleet.store.bytes_per_s = LONG_BYTES_PER_S
        with self.store_lock:
            self.fleet.config(routes=routes + more)
        for i in range(LONG_CHANGES):
            time.sleep(LONG_CHANGE_S)
            with self.store_lock:
                self.fleet.config(routes=routes + more[i + 1:])
        time.sleep(LONG_CONFIG_S)
        self.fleet.store.bytes_per_s = None
        self.write_config()

    @staticmethod
    def set_temporarily(target, name, on, off, hold):
        setattr(target, name, on)
        time.sleep(hold)
        setattr(target, name, off)

    @staticmethod
    def stall_engine(engine, hold):
        """Stalls an engine in the middle of its streams, then resumes it."""
        resumed = threading.Event()
        engine.gate = engine.probed = resumed
        time.sleep(hold)
        engine.gate, engine.probed = Pacing, None
        resumed.set()

    def send_poison(self):
        """Sends a poison request, or different ones with a deadly part,
        repeatedly; sometimes an earlier one."""
        if not self.poison_bodies or self.rng.random() < 0.7:
            kind = self.rng.choice((b"crash %d", b"fa11%04x"))
            self.poison_bodies.append(kind % len(self.poison_bodies))
        poison = self.rng.choice(self.poison_bodies)
        for _ in range(POISON_SENDS):
            try:
                self.fleet.ask(self.rng.choice(self.routers), "/ask/x",
                               wait_ms=2000, **self.make_poison(poison))
            except CONNECTION_ERRORS:
                pass
            time.sleep(self.rng.uniform(0, POISON_PAUSE_MAX_S))
            self.revive_engines()
        time.sleep(ENGINE_RESTART_S)
        self.revive_engines()

    def make_poison(self, poison):
        if poison.startswith(b"crash"):
            return {"body": poison}
        number = self.fleet.numbers
        return {"body": b"other %d" % number, "X_Prompt_Prefix":
                "ab:100,%s:100,%x:100" % (poison.decode(), number + 0x1000)}

    def revive_engines(self):
        for engine in self.engines:
            ended = engine.dead and time.monotonic() - engine.deadly[-1][0]
            if ended and ended > ENGINE_RESTART_S:
                engine.revive()

    def check_poison(self):
        ends = sorted(end for engine in self.engines for end in engine.deadly)
        for body in self.poison_bodies:
            times = [at for at, ended in ends if ended == body]
            known = 3 if body.startswith(b"crash") else PART_ENDS
            late = [at for at in times[known:]
                    if at > times[known - 1] + POISON_KNOWN_S]
            self.count("engines ended under one: %d" % len(times))
            if len(late) > LATE_CRASHES_MAX:
                self.violate("%r ended %d engines, %d late" % (
                    body, len(times), len(late)))

    def drain_upstream(self, upstream, hold):
        """Lists an upstream as draining. It must get no new request once all
        routers know."""
        upstream.state = "draining"
        upstream.list()
        time.sleep(LEAVING_KNOWN_S)
        self.await_held_bytes()
        before = len(upstream.seen)
        time.sleep(hold)
        if len(upstream.seen) > before:
            self.violate("%s got work after it left" % upstream.name)
        upstream.state = "ready"
        upstream.list()

    def revoke(self):
        """Adds key-r and removes it. It must run no request after that."""
        self.write_config(CUSTOMERS + [{"name": "r", "api_keys": ["key-r"]}])
        time.sleep(0.5)
        self.write_config()
        time.sleep(REVOCATION_KNOWN_S)
        self.await_held_bytes()
        before = self.count_runs("r")
        time.sleep(0.5)
        if self.count_runs("r") > before:
            self.violate("a revoked key still runs requests")

    def count_runs(self, customer):
        return sum(seen["X-Tenant"] == customer
                   for part in self.engines + self.plains
                   for seen in list(part.seen))

    # Checks of what the upstreams received.

    def check_upstreams(self):
        runs = {}
        salt_owners = {}
        for part in self.engines + self.plains:
            for seen in part.seen:
                name = seen["X-Request-Id"]
                runs.setdefault(name, []).append((part, seen))
                salt = seen.get("X-Cache-Salt")
                if salt:
                    owner = (seen["X-Tenant"] == "b", seen["X-Expect-Version"])
                    if salt_owners.setdefault(salt, owner) != owner:
                        self.violate("salt %s of %s and %s" % (
                            salt, salt_owners[salt], owner))
        for name in self.not_run & set(runs):
            self.violate("%s was refused as not run, but ran" % name)
        for name, attempts in runs.items():
            once = any(seen[":path"].startswith(("/write/", "/ask/once/"))
                       for part, seen in attempts)
            if once and len(attempts) > 1:
                self.violate("%s ran %d times" % (name, len(attempts)))

    def check_orders(self):
        """Checks that each fencing number has one holder, and that the numbers
        that an engine receives never decrease."""
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
        """Counts moved and kept streams, and prints the routers' log lines
        about requests with violations."""
        requests = {request for text, request in self.violations}
        holders = any("number" in text for text, _ in self.violations)
        for router in self.fleet.routers:
            for line in router.events():
                if line["event"] in ("stream_moved", "stream_stays",
                                     "attempt_kept"):
                    self.count("%s %s" % (line["event"], line["reason"]))
                if "verdict" in line:
                    self.count("refused %(verdict)s, return %(is_return)s"
                               % line)
                if line.get("request") in requests or (
                        holders and line["event"].startswith(
                            ("lease", "store_epoch", "store_came"))):
                    print(router.path, line)

    def run(self, seconds):
        threads = [threading.Thread(target=self.run_caller, args=(i + 1,))
                   for i in range(self.callers)]
        threads.append(threading.Thread(target=self.make_changes))
        threads.append(threading.Thread(target=self.take_copies))
        threads.append(threading.Thread(target=self.send_notices))
        threads.append(threading.Thread(target=self.cut_links))
        threads.append(threading.Thread(target=self.break_answers))
        for thread in threads:
            thread.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.fault()
        self.finished = True
        for thread in threads:
            thread.join()
        self.check_upstreams()
        self.check_poison()
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
