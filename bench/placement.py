"""Policies compared on the same arrivals: token hit rate, computed tokens,
time to first token; and a hot prefix that moves."""
import statistics

from experiment import LoadCluster, engine_totals, load

ROUTERS = 8
ENGINES = 10
SECONDS = 12
SEEDS = (1, 2, 3)
RATES = {"kochi": 36, "rosario": 62}
POLICIES = ("round_robin", "least_loaded", "prefix")


def run(policy, profile, seed, routers=ROUTERS, **options):
    with LoadCluster() as cluster:
        engines = []
        for number in range(ENGINES):
            hall = "hall-" + "abcd"[number % 4]
            engine = cluster.engine("e%d" % number, prefill_rate=20000,
                                    decode_ms=20, blocks=12000)
            cluster.upstreams = cluster.upstreams.replace(
                "address = %s\nhall = hall-a" % engine.address,
                "address = %s\nhall = %s" % (engine.address, hall))
            engines.append(engine)
        targets = cluster.start_load(routers, policy=policy)
        found = load(targets, profile=profile, seed=seed,
                     **{"rate": RATES[profile], "seconds": SECONDS, **options})
        totals = engine_totals(engines)
        found["hit_rate"] = totals["cached_tokens"] / totals["prompt_tokens"]
        found["computed"] = totals["prompt_tokens"] - totals["cached_tokens"]
        found["recomputed"] = totals["recomputed_tokens"]
        return found


def spread(values, form):
    return "%s (%s to %s)" % tuple(form % value for value in (
        statistics.median(values), min(values), max(values)))


def show(name, runs):
    first = [run["first_token_ms"] for run in runs]
    print("%-24s hit %s  p50 %s  p99 %s ms  computed %s k  recomputed %s k  "
          "whole %d of %d" % (
              name, spread([run["hit_rate"] for run in runs], "%.3f"),
              spread([f["p50"] for f in first], "%.0f"),
              spread([f["p99"] for f in first], "%.0f"),
              spread([run["computed"] / 1000 for run in runs], "%.0f"),
              spread([run["recomputed"] / 1000 for run in runs], "%.0f"),
              sum(run["whole"] for run in runs),
              sum(run["asked"] for run in runs)), flush=True)


def compare():
    for profile in RATES:
        print("profile %s, %d requests/s, %d routers, %d engines, seeds %s" % (
            profile, RATES[profile], ROUTERS, ENGINES, SEEDS))
        for policy in POLICIES:
            show(policy, [run(policy, profile, seed) for seed in SEEDS])


def percentile(values, share):
    values = sorted(values)
    return values[min(int(len(values) * share), len(values) - 1)]


def shift(seconds=30, at=12):
    """The hot histories change all at once."""
    for policy in ("least_loaded", "prefix"):
        found = run(policy, "rosario", 1, seconds=seconds, shift=at,
                    samples=True)
        line = []
        for begin in range(0, seconds, 3):
            part = [first for due, first in found["samples"]
                    if begin <= due < begin + 3]
            if part:
                line.append("%.0f" % percentile(part, 0.95))
        print("%-14s p95 of the first token, ms, each 3 s (change at %d s): "
              "%s" % (policy, at, " ".join(line)), flush=True)


def overload():
    """Half as much again as the engines can do."""
    for policy in ("least_loaded", "prefix"):
        found = run(policy, "rosario", 1, rate=RATES["rosario"] * 3)
        print("%-14s at three times the rate: urgent in time %d of %d, whole "
              "%d, late %d, refused %d %s" % (
                  policy, found["urgent_in_time"], found["urgent_asked"],
                  found["whole"], found["late"], found["refused"],
                  found["reasons"]), flush=True)
