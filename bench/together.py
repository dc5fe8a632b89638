"""Costs and delays of several routers that work as one cluster."""
import statistics
import threading
import time

from experiment import cpu_seconds, resident_kib

from cluster import BASE_DECLARATIONS, Cluster, uuid7, wait_for


def fold_offset(router):
    return router.counters("config_fold")["config_fold_offset"]


def measure_propagation(routers=8, changes=30):
    """Delay from an accepted command until every router has folded it."""
    with Cluster() as cluster:
        all_routers = cluster.start(*["r%d" % n for n in range(routers)])
        delays_ms, commands_ms = [], []
        for number in range(changes):
            path = cluster.write("d.ini", BASE_DECLARATIONS.replace(
                "level = 10", "level = %d" % (11 + number % 20)))
            began = time.monotonic()
            result = cluster.command("apply", path, routers=[
                all_routers[number % routers]])
            accepted = time.monotonic()
            revision = int(result.stdout.split("revision=")[1].split()[0])
            while any(fold_offset(r) < revision for r in all_routers):
                pass
            delays_ms.append((time.monotonic() - accepted) * 1000)
            commands_ms.append((accepted - began) * 1000)
        print("%d routers, %d changes: accepted after p50 %.0f ms; in force "
              "on all after p50 %.1f, max %.1f ms more" % (
                  routers, changes, statistics.median(commands_ms),
                  statistics.median(delays_ms), max(delays_ms)))


def measure_first_request(name, cluster, peers=True, **settings):
    delays_ms = []
    for number in range(5):
        if not peers:
            cluster.peers.clear()
        began = time.monotonic()
        router = cluster.router("n%s%d" % (name, number), **settings)
        answer = wait_for(lambda: (lambda a: a if a.status == 200 else None)(
            router.complete({"model": "m", "prompt": "x", "max_tokens": 1})),
            "an answer")
        assert answer.status == 200
        delays_ms.append((time.monotonic() - began) * 1000)
        router.kill()
        if router.peer_address in cluster.peers:
            cluster.peers.remove(router.peer_address)
    print("start to first answer, %s: p50 %.0f, max %.0f ms" % (
        name, statistics.median(delays_ms), max(delays_ms)))


def measure_restart():
    with Cluster() as cluster:
        cluster.engine("e1", decode_ms=1)
        cluster.start("r1", "r2")
        measure_first_request("log-up", cluster)
        cluster.log.control(slow_ms=1000)
        measure_first_request("log-slow-1s", cluster)
        cluster.log.control(slow_ms=0, down=1)
        measure_first_request("log-down", cluster)
        path = cluster.write("b.ini", BASE_DECLARATIONS + cluster.upstreams)
        measure_first_request("log-down-no-peers", cluster, peers=False,
                              bootstrap=path)


def measure_claims(routers, seconds=8, workers=16):
    with Cluster() as cluster:
        cluster.service("l1", "ledger")
        started = cluster.start(*["r%d" % n for n in range(routers)])
        started = started if routers > 1 else [started]
        end = time.monotonic() + seconds
        before = cluster.log.control()
        completed = [0] * workers

        def work(worker):
            while time.monotonic() < end:
                answer = started[worker % routers].complete(
                    {}, path="/v1/services/ledger/x", Idempotency_Key=uuid7())
                completed[worker] += answer.status == 200

        threads = [threading.Thread(target=work, args=(n,))
                   for n in range(workers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        after = cluster.log.control()
        claimed = sum(completed)
        print("%d router(s): %.0f claimed calls/s, %.2f appends and %.0f "
              "bytes appended for each (claim and outcome)" % (
                  routers, claimed / seconds,
                  (after["appends"] - before["appends"]) / claimed,
                  (after["append_bytes"] - before["append_bytes"]) / claimed))


def measure_idle(routers, seconds=15):
    """Costs of membership, gossip and log reads per idle router."""
    with Cluster() as cluster:
        started = cluster.start(*["r%d" % n for n in range(routers)],
                                instances_poll="500ms")
        for router in started:
            wait_for(lambda: len(router.events("member_joined"))
                     >= routers - 1, "all members")
        time.sleep(5)
        began = [(router.count("peer_bytes"), cpu_seconds(router))
                 for router in started]
        start = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - start
        sent = [(router.count("peer_bytes") - b[0]) / elapsed
                for router, b in zip(started, began)]
        used = [(cpu_seconds(router) - b[1]) / elapsed * 100
                for router, b in zip(started, began)]
        print("%d routers, idle: %.0f (most %.0f) bytes/s of gossip sent by "
              "each, %.2f %% (most %.2f) of a core, %d KiB resident" % (
                  routers, statistics.mean(sent), max(sent),
                  statistics.mean(used), max(used),
                  statistics.median(resident_kib(r) for r in started)))


def together():
    measure_propagation()
    measure_restart()
    measure_claims(1)
    measure_claims(8)
    measure_idle(8)
    measure_idle(64)
