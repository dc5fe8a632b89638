"""What routers cost and how fast they are together."""
import statistics
import threading
import time

from experiment import cpu_seconds, resident_kib

from cluster import BASE_DECLARATIONS, Cluster, uuid7, wait_for


def offset(router):
    return router.counters("config_fold")["config_fold_offset"]


def propagation(routers=8, changes=30):
    """From an accepted command to in force on all."""
    with Cluster() as cluster:
        all_routers = cluster.start(*["r%d" % n for n in range(routers)])
        times, commands = [], []
        for number in range(changes):
            path = cluster.write("d.ini", BASE_DECLARATIONS.replace(
                "level = 10", "level = %d" % (11 + number % 20)))
            began = time.monotonic()
            done = cluster.command("apply", path, routers=[
                all_routers[number % routers]])
            accepted = time.monotonic()
            revision = int(done.stdout.split("revision=")[1].split()[0])
            while any(offset(r) < revision for r in all_routers):
                pass
            times.append((time.monotonic() - accepted) * 1000)
            commands.append((accepted - began) * 1000)
        print("%d routers, %d changes: accepted after p50 %.0f ms; in force "
              "on all after p50 %.1f, max %.1f ms more" % (
                  routers, changes, statistics.median(commands),
                  statistics.median(times), max(times)))


def first_request(name, cluster, peers=True, **settings):
    times = []
    for number in range(5):
        if not peers:
            cluster.peers.clear()
        began = time.monotonic()
        router = cluster.router("n%s%d" % (name, number), **settings)
        answer = wait_for(lambda: (lambda a: a if a.status == 200 else None)(
            router.complete({"model": "m", "prompt": "x", "max_tokens": 1})),
            "an answer")
        assert answer.status == 200
        times.append((time.monotonic() - began) * 1000)
        router.kill()
        if router.peer_address in cluster.peers:
            cluster.peers.remove(router.peer_address)
    print("start to first answer, %s: p50 %.0f, max %.0f ms" % (
        name, statistics.median(times), max(times)))


def restart():
    with Cluster() as cluster:
        cluster.engine("e1", decode_ms=1)
        cluster.start("r1", "r2")
        first_request("log-up", cluster)
        cluster.log.control(slow_ms=1000)
        first_request("log-slow-1s", cluster)
        cluster.log.control(slow_ms=0, down=1)
        first_request("log-down", cluster)
        path = cluster.write("b.ini", BASE_DECLARATIONS + cluster.upstreams)
        first_request("log-down-no-peers", cluster, peers=False,
                      bootstrap=path)


def claims(routers, seconds=8, workers=16):
    with Cluster() as cluster:
        cluster.service("l1", "ledger")
        started = cluster.start(*["r%d" % n for n in range(routers)])
        started = started if routers > 1 else [started]
        end = time.monotonic() + seconds
        before = cluster.log.control()
        done = [0] * workers

        def work(place):
            while time.monotonic() < end:
                answer = started[place % routers].complete(
                    {}, path="/v1/services/ledger/x", Idempotency_Key=uuid7())
                done[place] += answer.status == 200

        threads = [threading.Thread(target=work, args=(n,))
                   for n in range(workers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        after = cluster.log.control()
        claimed = sum(done)
        print("%d router(s): %.0f claimed calls/s, %.2f appends and %.0f "
              "bytes appended for each (claim and outcome)" % (
                  routers, claimed / seconds,
                  (after["appends"] - before["appends"]) / claimed,
                  (after["append_bytes"] - before["append_bytes"]) / claimed))


def control(routers, seconds=15):
    """Idle routers: what membership, gossip and the log cost each."""
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
        passed = time.monotonic() - start
        sent = [(router.count("peer_bytes") - b[0]) / passed
                for router, b in zip(started, began)]
        used = [(cpu_seconds(router) - b[1]) / passed * 100
                for router, b in zip(started, began)]
        print("%d routers, idle: %.0f (most %.0f) bytes/s of gossip sent by "
              "each, %.2f %% (most %.2f) of a core, %d KiB resident" % (
                  routers, statistics.mean(sent), max(sent),
                  statistics.mean(used), max(used),
                  statistics.median(resident_kib(r) for r in started)))


def together():
    propagation()
    restart()
    claims(1)
    claims(8)
    control(8)
    control(64)
