"""Compares placement policies on the same arrivals: cache hit rate, computed
tokens and time to first token; also a change of the popular prefixes and an
overload."""
import statistics

from experiment import LoadCluster, engine_totals, load

ROUTERS = 8
ENGINES = 10
SECONDS = 12
SEEDS = (1, 2, 3)
RATES = {"kochi": 36, "rosario": 62}
POLICIES = ("round_robin", "least_loaded", "prefix")


def run_load(policy, profile, seed, routers=ROUTERS, **options):
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
        result = load(targets, profile=profile, seed=seed,
                     **{"rate": RATES[profile], "seconds": SECONDS, **options})
        totals = engine_totals(engines)
        result["hit_rate"] = totals["cached_tokens"] / totals["prompt_tokens"]
        result["computed"] = totals["prompt_tokens"] - totals["cached_tokens"]
        result["recomputed"] = totals["recomputed_tokens"]
        return result


def format_spread(values, form):
    return "%s (%s to %s)" % tuple(form % value for value in (
        statistics.median(values), min(values), max(values)))


def print_runs(name, runs):
    first_token = [run["first_token_ms"] for run in runs]
    print("%-24s hit %s  p50 %s  p99 %s ms  computed %s k  recomputed %s k  "
          "whole %d of %d" % (
              name, format_spread([run["hit_rate"] for run in runs], "%.3f"),
              format_spread([f["p50"] for f in first_token], "%.0f"),
              format_spread([f["p99"] for f in first_token], "%.0f"),
              format_spread([run["computed"] / 1000 for run in runs], "%.0f"),
              format_spread([run["recomputed"] / 1000 for run in runs],
                            "%.0f"),
              sum(run["whole"] for run in runs),
              sum(run["asked"] for run in runs)), flush=True)


def compare():
    for profile in RATES:
        print("profile %s, %d requests/s, %d routers, %d engines, seeds %s" % (
            profile, RATES[profile], ROUTERS, ENGINES, SEEDS))
        for policy in POLICIES:
            print_runs(policy, [run_load(policy, profile, seed)
                                for seed in SEEDS])


def percentile(values, share):
    values = sorted(values)
    return values[min(int(len(values) * share), len(values) - 1)]


def shift(seconds=30, at=12):
    """Shows the delay around a change of all popular histories."""
    for policy in ("least_loaded", "prefix"):
        result = run_load(policy, "rosario", 1, seconds=seconds, shift=at,
                          samples=True)
        line = []
        for begin in range(0, seconds, 3):
            part = [first for due, first in result["samples"]
                    if begin <= due < begin + 3]
            if part:
                line.append("%.0f" % percentile(part, 0.95))
        print("%-14s p95 of the first token, ms, each 3 s (change at %d s): "
              "%s" % (policy, at, " ".join(line)), flush=True)


def overload():
    """Sends requests at 1.5 times the rate that the engines can serve."""
    for policy in ("least_loaded", "prefix"):
        result = run_load(policy, "rosario", 1, rate=RATES["rosario"] * 3)
        print("%-14s at three times the rate: urgent in time %d of %d, whole "
              "%d, late %d, refused %d %s" % (
                  policy, result["urgent_in_time"], result["urgent_asked"],
                  result["whole"], result["late"], result["refused"],
                  result["reasons"]), flush=True)
