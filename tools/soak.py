#!/usr/bin/env python3
"""A seeded soak test: routers, engines, services and the platform run under
random faults, and each guarantee is checked against the stand-ins' records.

    soak.py SEED SECONDS [ROUTERS ENGINES SERVICES]

Prints counts of its actions and each violation; exits with 1 on any.
"""
import http.client
import json
import os
import random
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))
from cluster import (BASE_DECLARATIONS, CONTINUE, STOP, Cluster,  # noqa: E402
                     StandIn, Stream, places, request, uuid7)

CALLERS = 12
CHARGERS = 6
PROMPTS = 60
TOKENS = 30
REQUEST_TIMEOUT_S = 20  # timeout of one request
CONNECTION_ERRORS = (OSError, http.client.HTTPException, ValueError)
LIMIT_SPAN_S = 4  # time over which a limit is checked
# Time until all routers, including a paused one, know of a leaving engine.
LEAVING_KNOWN_S = 2.5
BACKOFF_MS = 2000  # backoff that a refusing service asks for
BACKOFF_SPAN_S = 5


class Soak:
    def __init__(self, seed, seconds, routers, engines, services):
        self.rng = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.sizes = routers, engines, services
        self.cluster = Cluster()
        self.lock = threading.Lock()
        self.violations = []
        self.counts = {}
        self.answers = {}     # prompt -> text of its first complete answer
        self.run_states = {}  # key -> run states reported to its callers
        self.offsets = {}     # router process -> last fold offset
        self.stop = threading.Event()
        self.faults_end = threading.Event()

    def count(self, name, amount=1):
        with self.lock:
            self.counts[name] = self.counts.get(name, 0) + amount

    def violate(self, text):
        with self.lock:
            self.violations.append(text)
        print("VIOLATION", text, flush=True)

    # Start:

    def start(self):
        routers, engines, services = self.sizes
        self.engines = [self.cluster.engine(
            "e%d" % n, decode_ms=10, incarnation=1000) for n in range(engines)]
        self.services = [self.cluster.service("l%d" % n, "ledger")
                         for n in range(services)]
        self.ledger = {}    # key -> runs on services that were stopped
        self.incarnations = dict.fromkeys(range(engines), 1000)
        self.routers = self.cluster.start(
            *["r%d" % n for n in range(routers)], token_timeout="2s",
            first_token_timeout="4s", default_deadline="15s",
            snapshot_records="20", retry_percent="100")
        self.router_lock = threading.Lock()

    def random_router(self, rng):
        with self.router_lock:
            return rng.choice(self.routers)

    # Load:

    def check_text(self, prompt, text):
        with self.lock:
            known = self.answers.setdefault(prompt, text)
        if known != text:
            self.violate("two answers to one prompt: %r %r" % (known, text))

    def send_stream(self, rng, number):
        """Sends a streamed request, resumed on another router when its router
        dies."""
        prompt = "question %d of the season " % number * 30
        customer = "acme" if number % 2 else "other"
        body = {"model": "m", "prompt": prompt, "max_tokens": TOKENS,
                "stream": True, "user": customer}
        headers = {"Authorization": "Bearer %s-key" % customer}
        tokens, token = [], None
        for _ in range(6):
            router = self.random_router(rng)
            request_headers = dict(
                headers, **({"Last-Event-ID": token} if token else {}))
            try:
                stream = Stream(router.port, "/v1/completions",
                                None if token else body, request_headers)
                stream.connection.sock.settimeout(REQUEST_TIMEOUT_S)
                stream.read()
            except CONNECTION_ERRORS:
                self.count("connections_lost")
                continue
            if stream.status != 200:
                self.count("refused")
                return
            tokens += stream.tokens()
            if stream.whole:
                break
            if stream.error():
                self.count("streams_ended_by_error")
                break
            if not stream.tokens() and not token:
                continue
            token = stream.last_id() if stream.tokens() else token
            self.count("resumed_by_caller")
        self.finish_stream(prompt, tokens, stream)

    def finish_stream(self, prompt, tokens, stream):
        if places(tokens) != list(range(len(tokens))):
            self.violate("out of order: %r" % tokens)
        if stream.whole:
            self.count("streams_whole")
            if len(tokens) != TOKENS:
                self.violate("whole but short: %d" % len(tokens))
            self.check_text(prompt, "".join(tokens))

    def run_caller(self, number):
        rng = random.Random("%d caller %d" % (self.seed, number))
        while not self.stop.is_set():
            try:
                self.send_stream(rng, rng.randrange(PROMPTS))
            except CONNECTION_ERRORS:
                self.count("connections_lost")

    def charge(self, rng, key):
        router = self.random_router(rng)
        try:
            answer = request(router.port, "POST", "/v1/services/ledger/renew",
                             {"member": 1},
                             {"Authorization": "Bearer acme-key",
                              "Idempotency-Key": key,
                              "X-Request-Deadline-Ms": "4000"},
                             timeout=REQUEST_TIMEOUT_S)
            run = "ran" if answer.status == 200 else answer.error()["run"]
        except CONNECTION_ERRORS:
            run = "may_have_run"
        with self.lock:
            self.run_states.setdefault(key, []).append(run)

    def run_charger(self, number):
        """Sends each key to one to three random routers, often in parallel."""
        rng = random.Random("%d charger %d" % (self.seed, number))
        while not self.stop.is_set():
            key = uuid7()
            self.count("keys")
            threads = [threading.Thread(target=self.charge, args=(
                random.Random(rng.random()), key))
                for _ in range(rng.randint(1, 3))]
            for thread in threads:
                thread.start()
                time.sleep(rng.choice((0, 0, 0.05)))
            for thread in threads:
                thread.join()

    def run_operator(self):
        rng = random.Random("%d operator" % self.seed)
        while not self.stop.is_set():
            text = (BASE_DECLARATIONS + self.cluster.upstreams).replace(
                "level = 10", "level = %d" % rng.randint(10, 29))
            path = self.cluster.write("change.ini", text)
            result = self.cluster.command(
                "apply", path, routers=[self.random_router(rng)])
            self.count("commands_exit_%d" % result.returncode)
            time.sleep(rng.random())

    def watch_offsets(self):
        """Checks that no router's fold offset ever decreases."""
        while not self.stop.is_set():
            with self.router_lock:
                routers = list(self.routers)
            for router in routers:
                try:
                    offset = router.counters("config_fold")[
                        "config_fold_offset"]
                except (CONNECTION_ERRORS + (KeyError,)):
                    continue
                last = self.offsets.get(router, 0)
                if offset < last:
                    self.violate("%s went from %d back to %d" % (
                        router.name, last, offset))
                self.offsets[router] = offset
            time.sleep(0.1)

    # Faults:

    def kill_router(self):
        with self.router_lock:
            index = self.rng.randrange(len(self.routers))
            old = self.routers[index]
            old.kill()
            self.cluster.peers.remove(old.peer_address)
            self.routers[index] = self.cluster.router(
                old.name, token_timeout="2s", first_token_timeout="4s",
                default_deadline="15s", snapshot_records="20",
                retry_percent="100")

    def pause_router(self):
        router = self.random_router(self.rng)
        router.signal(STOP)
        time.sleep(self.rng.uniform(0.5, 4))
        router.signal(CONTINUE)

    def stop_router(self):
        """Replaces a router with a planned stop: the old one must complete its
        streams and exit with 0."""
        with self.router_lock:
            index = self.rng.randrange(len(self.routers))
            old = self.routers[index]
            self.cluster.peers.remove(old.peer_address)
            self.routers[index] = self.cluster.router(
                old.name, token_timeout="2s", first_token_timeout="4s",
                default_deadline="15s", snapshot_records="20",
                retry_percent="100")
        code = old.stop()
        if code != 0:
            self.violate("%s stopped with %d" % (old.name, code))

    def check_engine(self, engine):
        state = engine.state()
        self.count("runs", state["runs"])
        if state["violations"]:
            self.violate("%s served %d foreign blocks" % (
                state["name"], state["violations"]))

    def restart_engine(self):
        self.replace_engine(self.rng.randrange(len(self.engines)))

    def leave_engine(self):
        """Makes an engine announce leaving. It must run no new stream once all
        routers know."""
        index = self.rng.randrange(len(self.engines))
        engine = self.engines[index]
        asked = engine.state()["asked"]
        engine.control(says_leaving=1)
        time.sleep(LEAVING_KNOWN_S)
        known = engine.state()["asked"] > asked
        before = engine.state()["runs"]
        time.sleep(self.rng.uniform(0.5, 1.5))
        late = engine.state()["runs"] - before
        if known and late > 0:
            self.violate("an engine got %d streams after it said it leaves"
                         % late)
        self.replace_engine(index)

    def rest_service(self):
        """Makes a service refuse calls and ask for a backoff. Routers must
        send it almost no calls during the backoff."""
        service = self.rng.choice(self.services)
        before = service.control(refuse=100000, rest_ms=BACKOFF_MS)["asked"]
        time.sleep(BACKOFF_SPAN_S)
        received = service.control(refuse=0, rest_ms=0)["asked"] - before
        backoffs = BACKOFF_SPAN_S * 1000 / BACKOFF_MS + 2
        if received > len(self.routers) * backoffs + CHARGERS:
            self.violate("a service got %d calls in rests of %d ms" % (
                received, BACKOFF_MS))

    def replace_engine(self, index):
        old = self.engines[index]
        self.check_engine(old)
        old.kill()
        time.sleep(self.rng.uniform(0, 1))
        self.incarnations[index] += 1
        self.engines[index] = self.cluster.add(StandIn(
            "engine", port=old.port, name="e%d" % index, models="m",
            decode_ms=10, incarnation=self.incarnations[index]))

    def spoil_engine(self):
        parameters = self.rng.choice([
            {"cut_after": self.rng.randint(1, 20), "cuts": 3},
            {"mismatch": 2}, {"cross": 2}, {"silent": 2}, {"no_end": 2},
            {"refuse": 5}, {"forget_streams": 1}, {"forget_streams": 0}])
        self.rng.choice(self.engines).control(**parameters)

    def freeze_engine(self):
        engine = self.rng.choice(self.engines)
        engine.signal(STOP)
        time.sleep(self.rng.uniform(0.5, 3))
        engine.signal(CONTINUE)

    def spoil_service(self):
        parameters = self.rng.choice([
            {"refuse": 3}, {"fail": 2}, {"lose_answers": 2}, {"mismatch": 2},
            {"delay_ms": 200}, {"delay_ms": 0}])
        self.rng.choice(self.services).control(**parameters)

    def spoil_log(self):
        parameters = self.rng.choice([
            {"lose_answers": 3}, {"land_late": 3, "late_ms": 700},
            {"slow_ms": 300}, {"slow_ms": 0}])
        self.cluster.log.control(**parameters)

    def take_log_down(self):
        self.cluster.log.control(down=1)
        time.sleep(self.rng.uniform(0.5, 5))
        self.cluster.log.control(down=0)

    def limit_service(self):
        """Makes a service announce a limit. It must get no more calls than
        that once all routers know."""
        service = self.rng.choice(self.services)
        per_s = self.rng.choice([0, 1, 3])
        service.control(limit_milli=per_s * 1000)
        time.sleep(self.rng.uniform(3, 4))
        before = service.control()["asked"]
        time.sleep(LIMIT_SPAN_S)
        received = service.control(limit_milli=-1)["asked"] - before
        if received > 1.5 * per_s * LIMIT_SPAN_S + 5:
            self.violate("a service got %d calls in %d s at a limit of %d" % (
                received, LIMIT_SPAN_S, per_s))

    def fault(self):
        kinds = [self.kill_router, self.pause_router, self.stop_router,
                 self.restart_engine, self.spoil_engine, self.spoil_engine,
                 self.freeze_engine, self.spoil_service, self.spoil_log,
                 self.take_log_down, self.limit_service, self.leave_engine,
                 self.rest_service]
        kind = self.rng.choice(kinds)
        kind()
        self.count("fault_" + kind.__name__)

    # Final checks:

    def check_keys(self):
        runs = {}
        for service in self.services:
            for key, number in service.call("GET", "/records").items():
                runs[key] = runs.get(key, 0) + number
        for key, run_states in self.run_states.items():
            for run_state in run_states:
                self.count("charges_told_" + run_state)
            number = runs.get(key, 0)
            if number > 1:
                self.violate("key %s ran %d times" % (key, number))
            if "ran" in run_states and number == 0:
                self.violate("key %s said to have run did not" % key)
            if set(run_states) == {"not_run"} and number > 0:
                self.violate("key %s said not run ran" % key)
        self.count("keys_run", len(runs))

    def check_agreement(self):
        """Checks that all routers converge on one state after the faults."""
        end = time.monotonic() + 30
        while True:
            states = set()
            for router in self.routers:
                result = self.cluster.command("status", "--output", "json",
                                              routers=[router])
                state = json.loads(result.stdout)["router"]
                states.add((state["fold_offset"], state["digest"]))
            if len(states) == 1:
                return
            if time.monotonic() > end:
                self.violate("routers do not agree: %r" % states)
                return
            time.sleep(0.2)

    def clear_faults(self):
        self.cluster.log.control(down=0, slow_ms=0, lose_answers=0,
                                 land_late=0)
        for service in self.services:
            service.control(refuse=0, fail=0, lose_answers=0, mismatch=0,
                            delay_ms=0)

    def run(self):
        self.start()
        threads = ([threading.Thread(target=self.run_caller, args=(n,))
                    for n in range(CALLERS)]
                   + [threading.Thread(target=self.run_charger, args=(n,))
                      for n in range(CHARGERS)]
                   + [threading.Thread(target=self.run_operator),
                      threading.Thread(target=self.watch_offsets)])
        for thread in threads:
            thread.start()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end and not self.violations:
            self.fault()
            time.sleep(self.rng.uniform(0.1, 0.8))
        self.clear_faults()
        self.stop.set()
        for thread in threads:
            thread.join()
        self.check_keys()
        for engine in self.engines:
            self.check_engine(engine)
        self.check_agreement()


def main():
    numbers = [int(word) for word in sys.argv[1:]]
    seed, seconds = numbers[:2]
    sizes = numbers[2:] or [8, 10, 4]
    soak = Soak(seed, seconds, *sizes)
    print("soak: seed %d, %d s, %d routers, %d engines, %d services" % (
        seed, seconds, *sizes), flush=True)
    try:
        soak.run()
    finally:
        soak.cluster.close()
    for name in sorted(soak.counts):
        print("%-32s %d" % (name, soak.counts[name]))
    print("%d violations" % len(soak.violations))
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
