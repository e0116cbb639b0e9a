"""Tables and plots of benchmark results, for scripts/report.

plot.py table FILE.json      prints a Google Benchmark result as a table
plot.py plots RESULTS PLOTS  plots the benchmark results as PNG files
plot.py summary RESULTS      prints slopes and targets as Markdown tables
"""

import json
import pathlib
import re
import sys

import matplotlib
import numpy

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  the backend must be set first

# Numeric fields of each result that are not user counters.
STANDARD_FIELDS = {
    "family_index", "per_family_instance_index", "repetitions",
    "repetition_index", "threads", "iterations", "real_time", "cpu_time",
}
NANOSECONDS = {"ns": 1, "us": 1e3, "ms": 1e6, "s": 1e9}


def read_benchmarks(path):
    benchmarks = json.loads(path.read_text())["benchmarks"]
    for benchmark in benchmarks:
        if benchmark.get("error_occurred"):
            sys.exit(f"{benchmark['name']}: {benchmark['error_message']}")
    return benchmarks


def counters(benchmark):
    return {
        name: value for name, value in benchmark.items()
        if name not in STANDARD_FIELDS and isinstance(value, (int, float))
    }


def print_table(path):
    print(f"{'benchmark':<46} {'cpu ns':>12}  counters")
    for benchmark in read_benchmarks(path):
        time = benchmark["cpu_time"] * NANOSECONDS[benchmark["time_unit"]]
        extra = "  ".join(
            f"{name} {value:,.0f}" for name, value in counters(benchmark).items()
        )
        print(f"{benchmark['name']:<46} {time:>12,.0f}  {extra}".rstrip())


def arguments(benchmark):
    """Parses the arguments in a name such as Lookup/blocks:300000/vms:11."""
    return {
        name: int(value)
        for name, value in re.findall(r"/(\w+):(\d+)", benchmark["name"])
    }


def series(benchmarks, family, x, value, **required):
    points = []
    for benchmark in benchmarks:
        benchmark_arguments = arguments(benchmark)
        is_family = benchmark["name"].split("/")[0] == family
        if is_family and required.items() <= benchmark_arguments.items():
            points.append((benchmark_arguments[x], value(benchmark)))
    return sorted(points)


def text_rows(path, start):
    """Reads the rows of numbers after the first line that begins with start."""
    rows = []
    in_table = False
    for line in path.read_text().splitlines():
        if line.startswith(start):
            in_table = True
        elif in_table and not line.strip():
            break
        elif in_table and re.match(r"\s*\d+\s", line):
            rows.append([float(n.rstrip("%")) for n in line.split()
                         if re.fullmatch(r"-?[\d.]+%?", n)])
    if not rows:
        sys.exit(f"{path}: no table after '{start}'")
    return rows


def draw(path, title, x_label, y_label, lines, limit=None):
    figure, axes = pyplot.subplots(figsize=(8, 3.6))
    for label, points in lines.items():
        axes.plot(*zip(*points), marker="o", label=label)
    if limit:
        axes.axhline(limit[1], color="grey", linestyle="--", label=limit[0])
    axes.set(title=title, xlabel=x_label, ylabel=y_label)
    axes.set_ylim(bottom=0)
    axes.set_xlim(left=0)
    axes.grid(alpha=0.3)
    # Outside the axes, so that it covers no line.
    axes.legend(fontsize=8, loc="center left", bbox_to_anchor=(1.01, 0.5))
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def lookup_lines(results):
    """Returns points (client blocks, ns per lookup) by label."""
    benchmarks = read_benchmarks(results / "lookup_bench.json")

    def lookups(vms, subset):
        return series(benchmarks, "SteeringLookup", "blocks",
                      lambda b: b["cpu_time"], vms=vms, subset=subset)

    lines = {"search alone": series(benchmarks, "FindSite", "blocks",
                                    lambda b: b["cpu_time"])}
    for vms in (11, 460):
        lines[f"decision, {vms} VMs, site"] = lookups(vms, 0)
        lines[f"decision, {vms} VMs, account subset"] = lookups(vms, 1)
    return lines


def draw_lookup(results, plots):
    lines = lookup_lines(results)
    draw(plots / "lookup.png", "Lookup time by table size", "client blocks",
         "ns", lines, ("target 1 us", 1000))


def reducer_lines(results):
    """Returns points (other members, million events/s) by label."""
    benchmarks = read_benchmarks(results / "reducer_bench.json")
    return {
        label: series(benchmarks, family, "peers",
                      lambda b: b["events/s"] / 1e6)
        for label, family in (
            ("ticks, nothing due", "IdleTicks"),
            ("ticks 10 ms apart", "TimedTicks"),
            ("idempotent requests", "IdempotentRequests"),
            ("peer probes", "PeerProbes"))
    }


def draw_reducer(results, plots):
    lines = reducer_lines(results)
    draw(plots / "reducer.png", "Reducer events on one core", "other members",
         "million events/s", lines, ("target 1 million/s", 1))


def draw_membership(results, plots):
    rows = text_rows(results / "membership_bench.txt", "Steady state")
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(8, 3.4))
    sizes = [row[0] for row in rows]
    left.plot(sizes, [row[2] for row in rows], marker="o")
    left.set(title="Bytes sent", ylabel="bytes/s per daemon")
    right.plot(sizes, [row[3] for row in rows], marker="o")
    right.set(title="CPU time", ylabel="us/s per daemon")
    for axes in (left, right):
        axes.set_xlabel("VMs")
        axes.set_ylim(bottom=0)
        axes.set_xlim(left=0)
        axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(plots / "membership.png", dpi=80)
    pyplot.close(figure)


def draw_rates(results, plots):
    rows = text_rows(results / "rates_bench.txt", "Store calls")
    draw(plots / "rates.png", "Store calls of one account by fleet size",
         "VMs", "calls/s", {
             "max reads in one second": [(r[0], r[2]) for r in rows],
             "max writes in one second": [(r[0], r[3]) for r in rows],
             "reads/s in steady state": [(r[0], r[4]) for r in rows],
         })


def slope(points):
    """Returns the least-squares slope of the points."""
    x, y = zip(*points)
    return numpy.polyfit(x, y, 1)[0]


def print_summary(results):
    print("| lookup | ns at 1.2 million blocks | slope, ns per million blocks "
          "| at most 1,000 ns |\n| --- | --- | --- | --- |")
    for label, points in lookup_lines(results).items():
        value = points[-1][1]
        print(f"| {label} | {value:,.0f} | {slope(points) * 1e6:,.0f} "
              f"| {'yes' if value <= 1000 else 'no'} |")
    print("\n| reducer | million events/s at 459 other members | slope, ns per "
          "event and 100 members | at least 1 million/s |\n"
          "| --- | --- | --- | --- |")
    for label, points in reducer_lines(results).items():
        value = points[-1][1]
        times = [(members, 1e3 / rate) for members, rate in points]
        print(f"| {label} | {value:.2f} | {slope(times) * 100:,.0f} "
              f"| {'yes' if value >= 1 else 'no'} |")
    members = text_rows(results / "membership_bench.txt", "Steady state")
    print("\n| membership | at 460 VMs | slope per VM |\n| --- | --- | --- |")
    for label, column in (("bytes/s per daemon", 2), ("CPU us/s", 3)):
        points = [(row[0], row[column]) for row in members]
        print(f"| {label} | {points[-1][1]:,.0f} | {slope(points):.2f} |")
    calls = text_rows(results / "rates_bench.txt", "Store calls")
    points = [(row[0], row[4]) for row in calls]
    print("\n| rates | at 460 VMs | slope per VM |\n| --- | --- | --- |")
    print(f"| store reads/s of one account | {points[-1][1]:.2f} "
          f"| {slope(points):.4f} |")


def main():
    if sys.argv[1:2] == ["table"] and len(sys.argv) == 3:
        print_table(pathlib.Path(sys.argv[2]))
    elif sys.argv[1:2] == ["summary"] and len(sys.argv) == 3:
        print_summary(pathlib.Path(sys.argv[2]))
    elif sys.argv[1:2] == ["plots"] and len(sys.argv) == 4:
        results, plots = (pathlib.Path(name) for name in sys.argv[2:])
        for plot in (draw_lookup, draw_reducer, draw_membership, draw_rates):
            plot(results, plots)
    else:
        sys.exit(__doc__)


main()
