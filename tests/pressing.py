"""Sends requests to routers at a given rate."""
import itertools
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from cluster import wait_for
from fleet import Fleet

PREFIXES = 16


def press_in_turn(seconds, send, per_s=40):
    """Sends requests one after the other, at most per_s a second, and returns
    the statuses of the answers."""
    start_s = time.monotonic()
    statuses = []
    while time.monotonic() - start_s < seconds:
        statuses.append(send(len(statuses)).status)
        due = start_s + len(statuses) / per_s
        time.sleep(max(due - time.monotonic(), 0))
    return statuses


class PressingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.asked = itertools.count()

    def start(self, count=1, **settings):
        """Starts `count` routers that know each other and all upstreams."""
        self.fleet.config()
        routers = []
        for number in range(count):
            routers.append(self.join(routers, **settings))
        for router in routers:
            wait_for(lambda r=router: self.fleet.is_ready(r), "ready")
            wait_for(lambda r=router:
                     len(r.events("member_joined")) >= count - 1, "peers")
        return routers

    def join(self, routers, **settings):
        seeds = ", ".join(r.peer_address for r in routers)
        return self.fleet.router("r%d" % len(routers),
                                 peers={"seeds": seeds} if seeds else {},
                                 **settings)

    def ask(self, router, path="/ask/x"):
        number = next(self.asked)
        more = {"X_Request_Id": "t%d" % number}
        if path.startswith("/ask"):
            more["X_Prompt_Prefix"] = "a%x:100,b%x:100,%x:100" % (
                number % PREFIXES, number % PREFIXES, 4096 + number)
        return self.fleet.ask(router, path, **more)

    def press(self, routers, seconds, path="/ask/x", per_s=40):
        """Sends requests to the routers in turn at per_s a second, without
        waiting for earlier answers, and returns all answers."""
        start_s = time.monotonic()
        with ThreadPoolExecutor(16) as pool:
            futures = []
            while time.monotonic() - start_s < seconds:
                router = routers[len(futures) % len(routers)]
                futures.append(pool.submit(self.ask, router, path))
                due = start_s + len(futures) / per_s
                time.sleep(max(due - time.monotonic(), 0))
        return [future.result() for future in futures]
