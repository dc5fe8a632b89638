"""A store that is slow or silent while the configuration changes."""
import threading
import time
import unittest

from cluster import wait_for
from fleet import ROUTES, Fleet, route

IN_FORCE_S = 3  # until an acknowledged configuration must be in force
ROUTERS = 4
LONG_ROUTES = 1400  # added by a change whose record takes long to arrive
TRANSFER_S = 2  # in which that record arrives
BEFORE_S = 5  # from when the store is slow until the change
ASK_PAUSE_S = 0.05
SERVED_MIN = 0.99
SILENT_S = 60  # longer than a test runs
SETTINGS = {"config_max_age": "4s", "reader_wait": "700ms",
            "config_wait": "25s", "log_timeout": "1s"}


class SlowStoreTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.store = self.fleet.store
        self.fleet.plain("p1")
        first = self.fleet.start(**SETTINGS)
        peers = {"seeds": first.peer_address}
        self.routers = [first] + [
            self.fleet.start(name="r%d" % i, peers=peers, **SETTINGS)
            for i in range(2, ROUTERS + 1)]
        for router in self.routers:
            router.wait_event("member_joined", ROUTERS - 1)
        self.statuses = []
        self.asking = True

    def ask(self):
        while self.asking:
            for router in self.routers:
                answer = self.fleet.ask(router, "/read/x", method="GET")
                self.statuses.append(answer.status)
            time.sleep(ASK_PAUSE_S)

    def share_served_while(self, run):
        thread = threading.Thread(target=self.ask)
        thread.start()
        try:
            run()
        finally:
            self.asking = False
            thread.join()
        return self.statuses.count(200) / len(self.statuses)

    def add_routes(self):
        self.fleet.config(routes=ROUTES + [
            route("more%d" % i, "/more/%d/" % i, "idempotent", "plain")
            for i in range(LONG_ROUTES)])

    def await_change(self, limit):
        version = str(self.fleet.version)
        for router in self.routers:
            wait_for(lambda: version in [
                event["version"]
                for event in router.events("config_in_force")],
                "version %s in force" % version, limit)

    def check_slow_answers(self, delay_s):
        def change():
            self.store.answer_s = delay_s
            time.sleep(BEFORE_S)
            self.add_routes()
            self.await_change(IN_FORCE_S + delay_s)
        self.assertGreaterEqual(self.share_served_while(change), SERVED_MIN)

    def test_record_that_takes_longer_than_the_timeout_is_in_force(self):
        self.add_routes()
        self.await_change(IN_FORCE_S)
        bytes_long = len(self.store.records("keyed.op")[-1])
        self.store.bytes_per_s = bytes_long / TRANSFER_S

        def change():
            self.add_routes()
            self.await_change(IN_FORCE_S)
        self.assertGreaterEqual(self.share_served_while(change), SERVED_MIN)

    def test_answers_just_later_than_the_timeout_are_used(self):
        self.check_slow_answers(1.2)

    def test_answers_much_later_than_the_timeout_are_used(self):
        self.check_slow_answers(2.4)


class OutdatedTest(unittest.TestCase):
    def test_no_route_is_unknown_by_an_outdated_configuration(self):
        """A route that was added more than 3 s before was refused with 404."""
        fleet = Fleet()
        self.addCleanup(fleet.close)
        fleet.plain("p1")
        router = fleet.start(**SETTINGS)
        fleet.store.answer_s = SILENT_S
        added_at = time.monotonic()
        fleet.config(routes=ROUTES + [
            route("more", "/more/", "idempotent", "plain")])
        wait_for(lambda: time.monotonic() > added_at + IN_FORCE_S, "3 s")
        answer = fleet.ask(router, "/more/x", method="GET")
        self.assertEqual(answer.status, 503)


if __name__ == "__main__":
    unittest.main()
