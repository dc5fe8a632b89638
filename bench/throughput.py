"""Throughput, memory and added delay of one router on one core."""
import json
import time

from experiment import (LOAD_TIMEOUT_S, LoadCluster, cpu_seconds,
                        engine_totals, load, resident_kib, start_load_tool)

WARM_UP_S = 3


def merge_results(tools):
    """Sums the counts of concurrent load tools; gaps are the largest ones."""
    results = [json.loads(tool.communicate(timeout=LOAD_TIMEOUT_S)[0])
               for tool in tools]
    names = ("tokens", "whole", "broken", "wrong", "refused",
             "tokens_per_second")
    total = {name: sum(one[name] for one in results) for name in names}
    total["seconds"] = max(one["seconds"] for one in results)
    for name in ("p50", "p95", "p99"):
        total[name] = max(one["gap_ms"][name] for one in results)
    return total


def measure_steady(router, engines, seconds):
    """Measures tokens/s and use of a core while all streams are open."""
    began = time.monotonic(), cpu_seconds(router), engine_totals(engines)
    time.sleep(seconds)
    ended = time.monotonic(), cpu_seconds(router), engine_totals(engines)
    elapsed = ended[0] - began[0]
    return ((ended[2]["made_tokens"] - began[2]["made_tokens"]) / elapsed,
            (ended[1] - began[1]) / elapsed)


def streams(count=2000, seconds=15, engines=4, tools=2):
    with LoadCluster() as cluster:
        started = [cluster.engine("e%d" % number, more="slots = 10000",
                                  decode_ms=40, slots=10000, queue_max=10000,
                                  prefill_rate=10000000)
                   for number in range(engines)]
        router, = cluster.start_load(1, customers=1)
        idle = resident_kib(router)
        running = [
            start_load_tool([router], streams=count // tools, seconds=seconds,
                            tokens=400, profile="small", seed=seed + 1)
            for seed in range(tools)]
        time.sleep(WARM_UP_S)
        rate, share = measure_steady(router, started, seconds - 2 * WARM_UP_S)
        full = resident_kib(router)
        found = merge_results(running)
        print("%d streams at once: %.0f tokens/s; %d whole, %d broken, "
              "%d wrong, %d refused" % (
                  count, rate, found["whole"], found["broken"],
                  found["wrong"], found["refused"]))
        print("router: %.2f of a core, %.1f us of processor time a token, "
              "resident %d KiB idle, %d KiB with all streams" % (
                  share, share / rate * 1e6, idle, full))
        print("gap between tokens: p50 %.1f p95 %.1f p99 %.1f ms" % (
            found["p50"], found["p95"], found["p99"]))


def added_delay(rate=200, seconds=10):
    with LoadCluster() as cluster:
        engine = cluster.engine("e0", decode_ms=5, prefill_rate=10000000)
        router, = cluster.start_load(1, customers=1)
        for name, targets, options in (("engine asked directly", [engine],
                                        {"direct": True}),
                                       ("through the router", [router], {})):
            found = load(targets, rate=rate, seconds=seconds, tokens=10,
                         profile="small", **options)
            first = found["first_token_ms"]
            print("first token, %s: p50 %.2f p99 %.2f ms (%d whole of %d)" % (
                name, first["p50"], first["p99"], found["whole"],
                found["asked"]))


if __name__ == "__main__":
    streams()
    added_delay()
