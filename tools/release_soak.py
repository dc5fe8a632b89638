#!/usr/bin/env python3
"""A seeded soak test of releases beside kills: one version of an engine
replaces another, wholly or in part, while routers are killed or stopped around
the join of the first engine, the store is away or slow and engines restart.
Besides what order_soak.py looks for, it fails if streams that go on are refused
far more often than new ones (Shares in tests/continued.py).

    release_soak.py SEED SECONDS
"""
import os
import random
import re
import signal
import sys
import threading
import time
from collections import Counter

from order_soak import ROOT, VERSIONS, PacedEngine, Soak

sys.path.insert(0, os.path.join(ROOT, "tests", "sessions"))
from test_software import SINGLE, pack_record  # noqa: E402


class QuickEngine(PacedEngine):
    EVENT_S = 0.005


class ReleaseSoak(Soak):
    ROUTERS, ENGINES_EACH = 8, 9
    SERVICES = ("engines",)
    EVENTS = 73
    ENGINE = QuickEngine
    LEAVING = 0.05
    APART_S = 5  # of a kill and the join, at most
    PAUSE_S = (1, 6)  # behind a release and its kill

    def prepare(self):
        for record in SINGLE.items():
            self.store.append("keyed.software", pack_record(*record))

    def start_router(self, index):
        """Callers come once the router is ready, as behind a balancer."""
        router = self.fleet.start_again(self.routers[index])
        self.routers[index] = router
        threading.Thread(target=self.await_ready,
                         args=(index, router)).start()

    def await_ready(self, index, router):
        while self.routers[index] is router and router.process.poll() is None:
            if self.fleet.is_ready(router):
                self.up.add(index)
                return
            time.sleep(0.1)

    def release(self, rng):
        """Another version replaces engines; returns when it began."""
        former = self.engines[0].software
        old = [e for e in self.engines if e.software == former]
        software = rng.choice([v for v in VERSIONS if v != former])
        chosen = rng.sample(old, len(old) if rng.random() < 0.4 else
                            (len(old) + 1) // 2)
        gap_s = rng.choice((0, rng.uniform(0.05, 1)))
        lag_s = rng.uniform(0, 1)  # of the end of an old engine
        for engine in chosen:
            self.add_engines(self.SERVICES[0], software, 1)
            time.sleep(gap_s)
            threading.Timer(lag_s, self.drain, [engine]).start()

    def drain(self, engine):
        self.engines.remove(engine)
        engine.unlist()
        threading.Timer(2, engine.kill).start()

    def strike(self, rng):
        """Kills or stops routers at one moment."""
        count = rng.choice((1, self.ROUTERS // 2, self.ROUTERS, self.ROUTERS))
        chosen = rng.sample(range(self.ROUTERS), count)
        if rng.random() < 0.2:
            self.stop_in_turn(rng)
            return
        for index in chosen:
            self.routers[index].kill()
        self.up -= set(chosen)
        self.count("killed %d at once" % count)
        time.sleep(rng.uniform(0, 2))
        for index in chosen:
            self.start_router(index)

    def stop_in_turn(self, rng):
        for index in rng.sample(range(self.ROUTERS), self.ROUTERS // 2):
            self.up.discard(index)
            self.routers[index].signal(signal.SIGTERM)
            self.routers[index].process.wait()
            self.start_router(index)

    def inject_faults(self):
        """One release and what comes beside it, again and again."""
        while not self.finished:
            rng = random.Random(self.rng.random())
            join_s, strike_s = 0, rng.uniform(-self.APART_S, self.APART_S)
            if strike_s < 0:
                join_s, strike_s = -strike_s, 0
            others = [lambda rng: None] * 3
            others += [self.disturb_store, self.crash_engine]
            plan = ((join_s, self.release), (strike_s, self.strike),
                    (rng.uniform(0, self.APART_S), rng.choice(others)))
            self.timeline.append("%s join %.2f strike %.2f, %s" % (
                time.strftime("%T"), join_s, strike_s, plan))
            threads = [threading.Timer(at_s, fault,
                                       [random.Random(rng.random())])
                       for at_s, fault in plan]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(rng.uniform(*self.PAUSE_S))

    def count_sources(self):
        """How it was known which version began a stream."""
        sources = Counter(line["source"] for router in self.fleet.routers
                          for line in router.events("stream_continued"))
        for source, count in sources.items():
            self.callers.counts["source " + source] = count

    def print_lost(self):
        super().print_lost()
        self.count_sources()
        if self.callers.counts["lost spans"]:
            print("\n".join(self.timeline))
            wanted = re.compile(r"event=(software_|origin|stream_continued"
                                r"|store_epoch|start)")
            for router in self.fleet.routers:
                for line in filter(wanted.search, list(router.lines)):
                    print(line)


if __name__ == "__main__":
    soak = ReleaseSoak(int(sys.argv[1]), False)
    passed = soak.run(float(sys.argv[2]))
    sys.exit(0 if passed and not soak.callers.counts["lost spans"] else 1)
