"""A call that may not be repeated runs at most once, whatever fails."""
import threading
import unittest

from cluster import CONTINUE, Cluster, STOP, uuid7, wait_for
from faultproxy import FaultProxy

RENEW = "/v1/services/ledger/renew"
# A router treats keys dated this far ahead as newer than a return of the log
# that was at least 1 s ago, as callers' clocks may be off by 30 s.
KEY_LEAD_S = 29
# Streams of the log over which claims are spread by their keys.
SHARDS = 16


class ClaimTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.service = self.cluster.service("l1", "ledger")

    def renew(self, router, key, **headers):
        return router.complete({"member": 1}, path=RENEW,
                               Idempotency_Key=key, **headers)

    def runs(self):
        return self.service.call("GET", "/records")

    def start(self, *names, **settings):
        routers = self.cluster.start(*names, **settings)
        for router in routers:
            router.wait_event("member_joined", len(names) - 1)
        return routers

    def test_one_key_at_two_routers_at_once_runs_once(self):
        routers = self.start("r1", "r2", "r3")
        self.service.control(delay_ms=50)
        for _ in range(8):
            key = uuid7()
            answers = []
            threads = [threading.Thread(target=lambda r=router: answers.append(
                self.renew(r, key))) for router in routers]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            codes = sorted(answer.status for answer in answers)
            self.assertEqual(codes, [200, 409, 409])
            self.assertEqual(self.runs()[key], 1)

    def test_one_key_at_two_routers_in_turn_runs_once(self):
        one, two = self.start("r1", "r2")
        for _ in range(16):
            key = uuid7()
            self.assertEqual(self.renew(one, key).status, 200)
            self.assertEqual(self.renew(two, key).status, 409)
            wait_for(lambda: self.renew(two, key).error()["code"]
                     == "already_ran", "the record of the outcome")
            self.assertEqual(self.runs()[key], 1)

    def test_keys_outlive_each_owner(self):
        routers = self.start("r1", "r2", "r3")
        keys = [uuid7() for _ in range(24)]
        for number, key in enumerate(keys):
            self.assertEqual(self.renew(routers[number % 3], key).status, 200)
        routers[0].kill()
        for number, key in enumerate(keys):
            answer = self.renew(routers[1 + number % 2], key)
            self.assertEqual(answer.status, 409)
        self.assertEqual(set(self.runs().values()), {1})

    def test_paused_owner_neither_blocks_nor_doubles(self):
        one, two = self.start("r1", "r2")
        two.signal(STOP)
        # The paused router owns the shards of some of the keys.
        keys = [uuid7() for _ in range(24)]
        answers = []
        threads = [threading.Thread(target=lambda k=key: answers.append(
            self.renew(one, k))) for key in keys]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertGreater(one.count("claim_owner_silent_total"), 0)
        two.signal(CONTINUE)
        for key in keys:
            self.assertEqual(self.renew(two, key).status, 409)
        self.assertEqual(set(self.runs().values()), {1})

    def test_owner_cut_off_from_the_log_is_bypassed(self):
        direct = self.cluster.log_address
        proxy = self.cluster.add(FaultProxy(self.cluster.log.port))
        self.cluster.log_address = proxy.address
        cut_off = self.cluster.router("r1")
        self.cluster.log_address = direct
        other = self.cluster.router("r2")
        self.assertEqual(self.cluster.apply([cut_off, other]).returncode, 0)
        other.wait_event("member_joined")
        proxy.refuse = True
        proxy.cut_all()
        cut_off.wait_event("log_unreachable")
        keys = [uuid7() for _ in range(6)]
        for key in keys:
            self.assertEqual(self.renew(other, key).status, 200)
        self.assertEqual(set(self.runs().values()), {1})

    def test_lost_answer_of_an_append_does_not_double(self):
        one, two = self.start("r1", "r2")
        for router in (one, two):
            self.cluster.log.control(lose_answers=2)
            key = uuid7()
            self.assertEqual(self.renew(router, key).status, 200)
            self.assertEqual(self.renew(one, key).status, 409)
            self.assertEqual(self.runs()[key], 1)

    def test_late_append_of_a_refused_call_does_not_bar_its_key(self):
        one, two = self.start("r1", "r2")
        self.cluster.log.control(land_late=1000, late_ms=400)
        key = uuid7()
        refused = self.renew(one, key, X_Request_Deadline_Ms="300")
        self.assertEqual(refused.error()["run"], "not_run")
        self.assertEqual(self.runs().get(key), None)
        self.cluster.log.control(land_late=0)
        wait_for(lambda: self.renew(two, key).status == 200,
                 "the run of the call")
        self.assertEqual(self.runs()[key], 1)

    def test_outage_of_the_log_refuses_as_not_run(self):
        one, two = self.start("r1", "r2")
        self.cluster.log.control(down=1)
        keys = [uuid7() for _ in range(4)]
        for key in keys:
            refused = self.renew(one, key, X_Request_Deadline_Ms="200")
            self.assertEqual(refused.error()["run"], "not_run")
        self.assertEqual(self.runs(), {})
        self.cluster.log.control(down=0)
        for key in keys:
            wait_for(lambda: self.renew(two, key).status == 200,
                     "the run of the call")
        self.assertEqual(set(self.runs().values()), {1})

    def test_call_whose_router_died_is_in_doubt(self):
        one, two = self.start("r1", "r2")
        self.service.control(delay_ms=100000)
        key = uuid7()
        thread = threading.Thread(target=self.renew_and_lose_connection,
                                  args=(one, key))
        thread.start()
        wait_for(lambda: key in self.runs(), "the run of the call")
        one.kill()
        thread.join()
        repeat = self.renew(two, key)
        self.assertEqual(repeat.error()["code"], "repeat_in_doubt")
        self.assertEqual(repeat.error()["run"], "may_have_run")
        self.assertEqual(self.runs()[key], 1)

    def renew_and_lose_connection(self, router, key):
        with self.assertRaises((ConnectionError, OSError)):
            self.renew(router, key)

    def test_restart_of_all_routers_forgets_no_key(self):
        routers = self.start("r1", "r2")
        key = uuid7()
        self.assertEqual(self.renew(routers[0], key).status, 200)
        for router in routers:
            router.kill()
        self.cluster.peers.clear()
        for name in ("r1", "r2"):
            restarted = self.cluster.router(name).wait_ready()
            self.assertEqual(self.renew(restarted, key).status, 409)
        self.assertEqual(self.runs()[key], 1)

    def renew_and_count_whole(self, router):
        """Runs a call with a new key, and returns how many streams of the log
        have dropped no record: a key of such a stream is served."""
        self.assertEqual(self.renew(router, uuid7()).status, 200)
        pages = [self.cluster.log.call(
            "GET", "/streams/claims-%d/records?from=0" % shard)
                 for shard in range(SHARDS)]
        return sum(page["start"] == 0 for page in pages)

    def test_key_older_than_what_the_log_keeps_is_refused(self):
        one, two = self.start("r1", "r2")
        old = uuid7(age_seconds=120)
        for _ in range(60):
            self.assertEqual(self.renew(one, uuid7()).status, 200)
        self.cluster.log.control(retention=1)
        wait_for(lambda: self.renew_and_count_whole(one) == 0,
                 "records dropped from each stream of the log")
        for router in (one, two):
            router.kill()
        self.cluster.peers.clear()
        restarted = self.cluster.router("r3")
        self.cluster.apply([restarted])
        refused = self.renew(restarted, old)
        self.assertEqual(refused.status, 400)
        self.assertEqual(refused.error()["run"], "not_run")


class ReturnTest(ClaimTest):
    """The log is restored from an older copy, so claims are lost."""

    def restore_older_log(self):
        self.cluster.log.control(come_back=1)

    def start_and_copy_log(self, *names):
        routers = self.start(*names)
        self.assertEqual(self.renew(routers[0], uuid7()).status, 200)
        self.cluster.log.control(copy=1)
        return routers

    def test_a_claim_that_is_known_to_a_router_bars_its_key(self):
        one, two = self.start_and_copy_log("r1", "r2")
        keys = [uuid7() for _ in range(24)]
        for key in keys:
            self.assertEqual(self.renew(one, key).status, 200)
        self.restore_older_log()
        for key in keys:
            for router in (one, two):
                self.assertEqual(self.renew(router, key).status // 100, 4)
        self.assertEqual({self.runs()[key] for key in keys}, {1})

    def test_a_claim_that_nobody_knows_is_refused_as_not_run(self):
        """No router was left from the seconds that the log lost, so the call
        ran again."""
        one, two = self.start_and_copy_log("r1", "r2")
        keys = [uuid7() for _ in range(8)]
        for key in keys:
            self.assertEqual(self.renew(one, key).status, 200)
        for router in (one, two):
            router.kill()
        self.restore_older_log()
        self.cluster.peers.clear()
        restarted = self.cluster.router("r3")
        self.cluster.apply([restarted])
        for key in keys:
            refused = self.renew(restarted, key)
            self.assertEqual(refused.status // 100, 4)
            self.assertEqual(refused.error()["run"], "not_run")
        self.assertEqual({self.runs()[key] for key in keys}, {1})

    def test_later_keys_are_let_in_again(self):
        one, two = self.start_and_copy_log("r1", "r2")
        self.restore_older_log()
        for router in (one, two):
            wait_for(lambda: self.renew(router, uuid7(
                age_seconds=-KEY_LEAD_S)).status == 200,
                     "admission of a later key")


if __name__ == "__main__":
    unittest.main()
