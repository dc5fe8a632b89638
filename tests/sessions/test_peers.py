"""Membership, shared configuration and departures among several routers."""
import json
import unittest

from cluster import (BASE_DECLARATIONS, BUILD, CONTINUE, Cluster, Process,
                     STOP, StandIn, places, request, uuid7, wait_for)
from faultproxy import FaultProxy


class PeerTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def status(self, router):
        done = self.cluster.command("status", "--output", "json",
                                    routers=[router])
        self.assertEqual(done.returncode, 0, done.stderr)
        return json.loads(done.stdout)

    def fold_offset(self, router):
        return self.status(router)["router"]["fold_offset"]

    def apply_level(self, router, level):
        text = (BASE_DECLARATIONS + self.cluster.upstreams).replace(
            "level = 10", "level = %d" % level)
        return self.cluster.apply([router], text)

    def test_all_routers_know_each_other_and_agree(self):
        routers = self.cluster.start("r1", "r2", "r3", "r4")
        for router in routers:
            wait_for(lambda: len(self.status(router)["peers"]) == 3, "peers")
        states = [self.status(router)["router"] for router in routers]
        self.assertEqual(len({state["digest"] for state in states}), 1)

    def test_router_that_dies_is_forgotten_and_comes_back(self):
        one, two = self.cluster.start("r1", "r2")
        one.wait_event("member_joined")
        two.kill()
        one.wait_event("member_gone")
        self.assertEqual(self.status(one)["peers"], [])
        self.cluster.router("r2").wait_ready()
        one.wait_event("member_joined", 2)

    def test_router_cut_off_from_the_log_follows_its_peers(self):
        one = self.cluster.start("r1")
        proxy = self.cluster.add(FaultProxy(self.cluster.log.port))
        self.cluster.log_address = proxy.address
        two = self.cluster.router("r2").wait_ready()
        two.wait_event("member_joined")
        proxy.refuse = True
        proxy.cut_all()
        two.wait_event("log_unreachable")
        self.assertEqual(self.apply_level(one, 12).returncode, 0)
        wait_for(lambda: self.fold_offset(two) == self.fold_offset(one),
                 "the new level")

    def test_router_starts_from_a_peer_while_the_log_is_down(self):
        self.cluster.engine("e1")
        self.cluster.start("r1")
        self.cluster.log.control(down=1)
        two = self.cluster.router("r2").wait_ready()
        answer = two.complete({"model": "m", "prompt": "x", "max_tokens": 2})
        self.assertEqual(answer.status, 200)

    def test_herd_restart_with_the_log_up(self):
        self.cluster.engine("e1")
        names = ("r1", "r2", "r3", "r4")
        for router in self.cluster.start(*names):
            router.kill()
        self.cluster.peers.clear()
        for router in [self.cluster.router(name) for name in names]:
            router.wait_ready()
            answer = router.complete({"model": "m", "prompt": "x",
                                      "max_tokens": 2})
            self.assertEqual(answer.status, 200)

    def test_herd_restart_with_the_log_down(self):
        engine = self.cluster.engine("e1")
        service = self.cluster.service("l1", "ledger")
        names = ("r1", "r2", "r3")
        for router in self.cluster.start(*names):
            router.kill()
        self.cluster.peers.clear()
        self.cluster.log.control(down=1)
        path = self.cluster.write("bootstrap.ini", BASE_DECLARATIONS.replace(
            "level = 10", "level = 11") + self.cluster.upstreams)
        routers = [self.cluster.router(name, bootstrap=path).wait_ready()
                   for name in names]
        for router in routers:
            answer = router.complete({"model": "m", "prompt": "x",
                                      "max_tokens": 2})
            self.assertEqual(answer.status, 200)
            answer = router.complete({}, path="/v1/services/ledger/x",
                                     Idempotency_Key=uuid7(),
                                     X_Request_Deadline_Ms="200")
            self.assertEqual(answer.error()["run"], "not_run")
        self.assertEqual(service.call("GET", "/records"), {})
        self.assertEqual(engine.state()["violations"], 0)
        self.cluster.log.control(down=0)
        for router in routers:
            wait_for(lambda: self.fold_offset(router) == 1, "the log's state")
            done = self.cluster.command("get", "priority", "low",
                                        routers=[router])
            self.assertIn("10", done.stdout)

    def test_router_starts_from_a_snapshot_when_records_have_expired(self):
        one = self.cluster.start("r1", snapshot_records="5")
        # Without the waits, commands that arrive between two checks for a
        # snapshot would share one snapshot.
        for number, level in enumerate(range(11, 30), 1):
            self.assertEqual(self.apply_level(one, level).returncode, 0)
            if number % 6 == 0:
                one.wait_event("snapshot_appended", number // 6)
        self.cluster.log.control(retention=8)
        self.assertEqual(self.apply_level(one, 30).returncode, 0)
        before = self.status(one)["router"]
        one.kill()
        self.cluster.peers.clear()
        two = self.cluster.router("r2").wait_ready()
        two.wait_event("snapshot_loaded")
        # A snapshot that r1 was appending when it was killed adds a record
        # but changes no object.
        wait_for(lambda: self.fold_offset(two) >= before["fold_offset"],
                 "the fold offset")
        self.assertLessEqual(self.fold_offset(two), before["fold_offset"] + 1)
        self.assertEqual(self.status(two)["router"]["digest"],
                         before["digest"])

    def test_router_that_was_away_for_long_goes_on_from_a_snapshot(self):
        one, two = self.cluster.start("r1", "r2", snapshot_records="5")
        two.signal(STOP)
        for level in range(11, 30):
            self.assertEqual(self.apply_level(one, level).returncode, 0)
        self.cluster.log.control(retention=8)
        self.assertEqual(self.apply_level(one, 30).returncode, 0)
        two.signal(CONTINUE)
        wait_for(lambda: self.fold_offset(two) == self.fold_offset(one),
                 "the remaining records")
        self.assertEqual(self.status(two)["router"]["digest"],
                         self.status(one)["router"]["digest"])

    def test_leaving_that_one_router_knows_reaches_all(self):
        self.cluster.engine("e1")
        self.cluster.engine("e2")
        one = self.cluster.router("r1")
        self.cluster.instances = self.cluster.add(StandIn("instances"))
        others = [self.cluster.router(name) for name in ("r2", "r3", "r4")]
        self.assertEqual(self.cluster.apply([one, *others]).returncode, 0)
        for router in others:
            router.wait_event("member_joined", 3)
        # The list of instances that only r1 reads.
        r1_instances = self.cluster.processes[1]
        request(r1_instances.port, "POST", "/instances",
                {"name": "e1", "state": "leaving"})
        for router in others:
            leaving = router.wait_event("upstream_leaving")[0]
            self.assertEqual(leaving["source"], "peer")

    def test_engine_that_refuses_as_leaving_is_known_to_all(self):
        engine = self.cluster.engine("e1")
        routers = self.cluster.start("r1", "r2", "r3")
        for router in routers:
            router.wait_event("member_joined", 2)
        engine.control(leaving=1)
        routers[0].complete({"model": "m", "prompt": "x",
                                      "max_tokens": 2})
        for router in routers:
            router.wait_event("upstream_leaving")
        runs = engine.state()["runs"]
        for router in routers:
            answer = router.complete({"model": "m", "prompt": "x",
                                      "max_tokens": 2})
            self.assertEqual(answer.error()["code"], "upstreams_leaving")
        self.assertEqual(engine.state()["runs"], runs)

    def test_engine_that_restarts_empty_is_found_out_by_all(self):
        engine = self.cluster.engine("e1", incarnation=100)
        routers = self.cluster.start("r1", "r2")
        for router in routers:
            router.wait_event("member_joined")
            router.complete({"model": "m", "prompt": "warm " * 100,
                                      "max_tokens": 3})
        engine.kill()
        restarted = self.cluster.add(StandIn(
            "engine", port=engine.port, name="e1", models="m",
            incarnation=200))
        for router in routers:
            answer = router.complete({"model": "m", "prompt": "warm " * 100,
                                      "max_tokens": 3})
            self.assertEqual(answer.status, 200)
        self.assertEqual(restarted.state()["violations"], 0)
        for router in routers:
            self.assertEqual(
                self.status(router)["upstreams"][0]["incarnation"], 200)

    def test_stop_of_each_router_in_turn_cuts_off_nothing(self):
        self.cluster.engine("e1", decode_ms=10)
        routers = self.cluster.start("r1", "r2", "r3")
        for number, router in enumerate(routers):
            streams = [router.stream({"model": "m", "max_tokens": 60,
                                      "prompt": "s %d %d " % (number, n) * 9})
                       .read(1) for n in range(4)]
            router.process.terminate()
            for stream in streams:
                stream.read()
                self.assertTrue(stream.whole)
                self.assertEqual(places(stream.tokens()), list(range(60)))
            self.assertEqual(router.stop(), 0)

    def test_router_with_another_seal_key_is_not_admitted(self):
        one = self.cluster.start("r1")
        text = open(one.path).read().replace(self.cluster.seal, "12" * 32)
        path = self.cluster.write("r9.ini", text.replace(
            "name = r1", "name = r9").replace(
                "seeds = ", "seeds = " + one.peer_address))
        outsider = self.cluster.add(Process(
            [BUILD + "/wheattiller", "router", "--settings", path]))
        outsider.wait_event("config_in_force")
        self.assertEqual(self.status(one)["peers"], [])
        self.assertEqual(outsider.events("member_joined"), [])


if __name__ == "__main__":
    unittest.main()
