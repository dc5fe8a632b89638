#!/usr/bin/env python3
"""A seeded soak test of streams over several requests: router processes run on
stand-ins of the users' platform and are killed, stopped and cut off, while
software versions replace each other. Callers that lose their streams continue
them; no stream may have events twice, out of order, with a gap, or of two
versions. Exits with 1 on any violation.

With `--same-names`, engines also start again under their names with another
version, which a router learns only from their entry or their state.

    order_soak.py SEED SECONDS [--same-names]
"""
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
from cluster import HOST, wait_for  # noqa: E402
from continued import Callers, Stream  # noqa: E402
from faultproxy import FaultProxy  # noqa: E402
from fleet import (BREAKS, Fleet, PacedEngine, find_free_port,  # noqa: E402
                   fix_ports, route)

VERSIONS = ("v1", "v2", "v3")
FAULT_PAUSE_S = (0.1, 1.2)  # between the beginnings of faults; they overlap
# The settings that are shipped for this platform.
SETTINGS = dict(
    config_max_age="4s", reader_wait="700ms", config_wait="25s",
    leaving_limit="2000ms", listing_return="2500ms", move_wait="350ms",
    refuse_late="yes", partition_engines="yes", probe_silent="yes",
    retry_allowance="56", connect_timeout="400ms", eject_failures="2",
    first_token_timeout="1500ms", token_timeout="800ms", eject_time="1s")


class Soak:
    ROUTERS, ENGINES_EACH = 6, 3
    SERVICES = ("engines", "others")
    ENGINE = PacedEngine
    EVENTS = 20
    STREAM_S = 1 / 40  # between the beginnings of two streams
    LEAVING = 0.4  # share of the callers that lose their connection midway

    def __init__(self, seed, same_names):
        self.rng = random.Random(seed)
        self.seed = seed
        self.same_names = same_names
        self.fleet = Fleet()
        self.store = self.fleet.store
        self.store_lock = threading.Lock()
        self.callers = Callers(self.fleet, self.find_router, self.serves)
        self.count = self.callers.count
        self.timeline = []  # times and names of faults
        self.finished = False
        self.numbers, self.weights = 0, 1
        self.target = self.SERVICES[0]
        self.engines = []
        self.prepare()
        for service in self.SERVICES:
            self.add_engines(service, VERSIONS[0])
        self.write_config()
        self.copies = [self.store.copy()]
        self.busy = [threading.Lock() for _ in range(self.ROUTERS)]
        self.proxies = [FaultProxy(int(self.store.address.split(":")[1]))
                        for _ in range(self.ROUTERS)]
        ports = [find_free_port(self.rng) for _ in range(self.ROUTERS)]
        self.routers = [self.create_router(i, ports)
                        for i in range(self.ROUTERS)]
        self.up = set()
        for index in range(self.ROUTERS):
            self.start_router(index)
        for router in self.routers:
            wait_for(lambda: self.fleet.is_ready(router), "ready")
            router.wait_event("member_joined", self.ROUTERS - 1)

    def find_router(self, rng):
        up = sorted(self.up)
        return self.routers[rng.choice(up)] if up else None

    def prepare(self):
        """Fills the store before anything starts."""

    def serves(self, piece):
        """Whether two engines serve with the version of a stream."""
        return sum(piece == "%s/%s" % (engine.own_service, engine.software)
                   and not engine.dead for engine in list(self.engines)) > 1

    def run_stream(self, number):
        rng = random.Random("%d stream %d" % (self.seed, number))
        self.callers.run_stream(
            Stream(number, rng, self.EVENTS, rng.random() < self.LEAVING))

    def create_router(self, index, ports):
        """Writes the settings of a router at ports of its own."""
        peers = ["%s:%d" % (HOST, port) for port in ports]
        router = self.fleet.launch(
            "r%d" % index, store_address=self.proxies[index].address,
            log_timeout="1s", fencing="true", load_percent=20,
            peers={"listen": peers.pop(index), "seeds": ",".join(peers)},
            **SETTINGS)
        router.kill()
        fix_ports(router.path, self.rng)
        return router

    def start_router(self, index):
        self.routers[index] = self.fleet.start_again(self.routers[index])
        self.up.add(index)

    def add_engines(self, service, software, count=None):
        for _ in range(count or self.ENGINES_EACH):
            self.numbers += 1
            self.engines.append(self.fleet.add(self.ENGINE(
                self.store, "e%d" % self.numbers, service, software,
                weights=self.weights, pieces=self.EVENTS,
                port=find_free_port(self.rng))))

    def write_config(self, _=None):
        self.fleet.config(
            version=self.fleet.version + self.rng.randint(1, 3),
            routes=[route("asks", "/ask/", "stream", self.target,
                          resumable=True)], more_engines=self.SERVICES[1:])

    # Faults, each in a thread of its own.

    def kill(self, rng):
        count = rng.choice((self.ROUTERS, rng.randint(1, self.ROUTERS - 1)))
        held = [i for i in rng.sample(range(self.ROUTERS), count)
                if self.busy[i].acquire(blocking=False)]
        self.up -= set(held)
        for index in held:
            self.routers[index].kill()
        self.count("killed %d at once" % len(held))
        if rng.random() < 0.6:
            self.replace_version(rng)
        if rng.random() < 0.2:
            self.move_route(rng)
        all_s, began = rng.uniform(0, 3), time.monotonic()
        in_turn = rng.random() < 0.4
        back = {i: rng.uniform(0, 3) if in_turn else all_s for i in held}
        for index in sorted(held, key=back.get):
            time.sleep(max(began + back[index] - time.monotonic(), 0))
            self.start_router(index)
            self.busy[index].release()

    def stop_in_turn(self, rng):
        for index in rng.sample(range(self.ROUTERS), rng.randint(1, 3)):
            with self.busy[index]:
                self.up.discard(index)
                self.routers[index].signal(signal.SIGTERM)
                self.routers[index].process.wait()
                self.start_router(index)

    def freeze(self, rng):
        index = rng.randrange(self.ROUTERS)
        with self.busy[index]:
            self.routers[index].signal(signal.SIGSTOP)
            time.sleep(rng.uniform(0.3, 4))
            self.routers[index].signal(signal.SIGCONT)

    def cut_off(self, rng):
        """Cuts some routers off from the store."""
        chosen = rng.sample(self.proxies, rng.randint(1, 3))
        refuses = rng.random() < 0.5
        for proxy in chosen:
            proxy.refuse, proxy.black_hole = refuses, not refuses
            proxy.cut_all()
        time.sleep(rng.uniform(0.5, 5))
        for proxy in chosen:
            proxy.refuse = proxy.black_hole = False

    def replace_version(self, rng):
        """Another version replaces that of a service, or joins it."""
        service = rng.choice(self.SERVICES + (self.target,) * 2)
        chosen = [e for e in self.engines if e.service == service]
        software = rng.choice([v for v in VERSIONS if not chosen
                               or v != chosen[0].software])
        chosen = chosen if rng.random() < 0.7 else chosen[::2]
        if rng.random() < 0.4 and self.same_names:
            for engine in chosen:
                engine.kill()
                time.sleep(rng.uniform(0, 0.3))
                engine.start_with(software)
            return
        self.add_engines(service, software)
        time.sleep(rng.choice((0, rng.uniform(0, 2))))
        self.engines = [e for e in self.engines if e not in chosen]
        for engine in chosen:
            engine.unlist()
            threading.Timer(rng.choice((0, rng.random())), engine.kill).start()

    def crash_engine(self, rng):
        engine = rng.choice(self.engines)
        engine.kill()
        time.sleep(rng.uniform(0.1, 1))
        if engine in self.engines:
            engine.start_with(engine.software)

    def break_streams(self, rng):
        engine = rng.choice(self.engines)
        engine.break_off = rng.choice(sorted(BREAKS))
        engine.cut_pause_s = rng.choice((0, 0.02))
        engine.cut_after = rng.randrange(self.EVENTS)
        time.sleep(rng.uniform(0.2, 1.5))
        engine.cut_after = None

    def load_weights(self, rng):
        self.weights += 1
        self.store.put("keyed.op", "version/m",
                       {"model": "m", "version": self.weights})

    def move_route(self, rng):
        self.target = rng.choice(self.SERVICES)
        self.write_config()

    def disturb_store(self, rng):
        name, value = rng.choice((
            ("down", True), ("lose_answers", True), ("late_s", 5),
            ("late_s", 2), ("answer_s", 5), ("list_s", 5),
            ("answer_s", rng.uniform(0.3, 1.5))))
        usual = type(value)(0)
        setattr(self.store, name, value)
        time.sleep(rng.uniform(0.5, 5))
        setattr(self.store, name, usual)

    def restore_store(self, rng):
        """The store comes back from an older copy. The operator and the
        engines write their records again."""
        with self.store_lock:
            copy = rng.choice(self.copies)
            self.copies = [copy]
            self.store.down = True
            time.sleep(rng.uniform(0, 0.5))
            lost = self.store.come_back_older(copy)
            for topic in ("keyed.op", "keyed.servers"):
                self.store.write_again(topic, lost.get(topic, []), copy)

    def copy_store(self, rng):
        with self.store_lock:
            self.copies.append(self.store.copy())

    def inject_faults(self):
        weights = {self.kill: 4, self.replace_version: 3,
                   self.break_streams: 2, self.disturb_store: 2,
                   self.stop_in_turn: 1, self.freeze: 1, self.cut_off: 1,
                   self.crash_engine: 1, self.load_weights: 1,
                   self.write_config: 1, self.restore_store: 1,
                   self.copy_store: 1}
        threads = []
        while not self.finished:
            time.sleep(self.rng.uniform(*FAULT_PAUSE_S))
            fault, = self.rng.choices(list(weights), weights.values())
            self.count("fault " + fault.__name__)
            self.timeline.append("%s %s" % (time.strftime("%T"),
                                            fault.__name__))
            threads.append(threading.Thread(
                target=fault, args=(random.Random(self.rng.random()),)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def are_configs_kept(self):
        """No process of a router goes back to an older configuration."""
        back = 0
        for router in self.fleet.routers:
            versions = [int(line["version"])
                        for line in router.events("config_in_force")]
            back += versions != sorted(versions)
        self.callers.counts["configuration back"] = back
        return back == 0

    def print_faulty(self):
        for stream in self.callers.faulty:
            print(self.timeline, sorted(stream.faults), stream.events)
            wanted = re.compile(r"request=%s-\d+ |event=software_"
                                % stream.name)
            for router in self.fleet.routers:
                for line in filter(wanted.search, list(router.lines)):
                    print(line)

    def print_lost(self):
        """Prints the worst span in which streams were refused that new ones
        would have begun beside."""
        lost = self.callers.shares.find_lost()
        self.callers.counts["lost spans"] = len(lost)
        if lost:
            began, kept, taken, begun, new = min(
                lost, key=lambda span: span[1] / span[2])
            print("lost: %d of %d went on, %d of %d began, from %.1f s" % (
                kept, taken, begun, new, began - self.began))

    def run(self, seconds):
        """Returns whether no caller and no router saw a fault."""
        faults = threading.Thread(target=self.inject_faults)
        faults.start()
        began = self.began = time.monotonic()
        runs = []
        with ThreadPoolExecutor(400) as pool:
            for number in range(int(seconds / self.STREAM_S)):
                due = began + number * self.STREAM_S
                time.sleep(max(due - time.monotonic(), 0))
                runs.append(pool.submit(self.run_stream, number))
            self.finished = True
        faults.join()
        for run in runs:
            run.result()
        kept = self.are_configs_kept()
        self.print_faulty()
        self.print_lost()
        self.fleet.close()
        print("seed %d: %s" % (self.seed, ", ".join(
            "%s %d" % pair
            for pair in sorted(self.callers.counts.items()))))
        return kept and not self.callers.faulty


if __name__ == "__main__":
    soak = Soak(int(sys.argv[1]), "--same-names" in sys.argv)
    sys.exit(0 if soak.run(float(sys.argv[2])) else 1)
