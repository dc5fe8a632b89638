"""Sessions in which requests come to some routers at a rate."""
import itertools
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from cluster import wait_for
from fleet import Fleet

PREFIXES = 16


def press_in_turn(seconds, send, per_s=40):
    """Statuses of what was sent, each once the one before was answered."""
    began = time.monotonic()
    statuses = []
    while time.monotonic() - began < seconds:
        statuses.append(send(len(statuses)).status)
        due = began + len(statuses) / per_s
        time.sleep(max(due - time.monotonic(), 0))
    return statuses


class PressingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.asked = itertools.count()

    def start(self, count=1, **settings):
        """So many routers that know each other and all upstreams."""
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
        asked = next(self.asked)
        more = {"X_Request_Id": "t%d" % asked}
        if path.startswith("/ask"):
            more["X_Prompt_Prefix"] = "a%x:100,b%x:100,%x:100" % (
                asked % PREFIXES, asked % PREFIXES, 4096 + asked)
        return self.fleet.ask(router, path, **more)

    def press(self, routers, seconds, path="/ask/x", per_s=40):
        """Answers to requests at all of the routers in turn, each sent at its
        time, however long the others take."""
        began = time.monotonic()
        with ThreadPoolExecutor(16) as pool:
            asks = []
            while time.monotonic() - began < seconds:
                router = routers[len(asks) % len(routers)]
                asks.append(pool.submit(self.ask, router, path))
                due = began + len(asks) / per_s
                time.sleep(max(due - time.monotonic(), 0))
        return [ask.result() for ask in asks]
