"""Measures the control plane's cost per instance in real processes, as a slope over fleet size.

Prints for each size the largest bytes sent a second, CPU time and memory of any instance without
caller traffic, and a least-squares fit with its largest deviation.
"""

import argparse
import os
import pathlib
import re
import time

from fleet import Fleet, request, wait_until

INSTANCES_PER_DOMAIN = (1, 2, 4, 8)
SETTLING_TIME_S = 5
MEASUREMENT_S = 10


def counter(address, name):
    text = request(address, "GET", "/metrics")[2]
    return float(re.search(rf"^{name} (\S+)$", text, re.M).group(1))


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def measure(build, per_domain):
    """Returns size, bytes/s, percent of a core and MB of the busiest instance."""
    fleet = Fleet(build, "kapadwala", per_domain)
    try:
        fleet.publish_list()
        for instance in fleet.instances:
            instance.start()
        wait_until("the instances", lambda: all(i.status() for i in fleet.instances))
        fleet.apply()
        time.sleep(SETTLING_TIME_S)
        before = [(counter(i.address, "endivequay_peer_sent_bytes"),
                   cpu_seconds(i.process.pid)) for i in fleet.instances]
        start = time.monotonic()
        time.sleep(MEASUREMENT_S)
        elapsed = time.monotonic() - start
        sent, core = zip(*(
            ((counter(i.address, "endivequay_peer_sent_bytes") - sent) / elapsed,
             (cpu_seconds(i.process.pid) - used) / elapsed * 100)
            for i, (sent, used) in zip(fleet.instances, before)))
        memory = max(memory_mb(i.process.pid) for i in fleet.instances)
        return len(fleet.instances), max(sent), max(core), memory
    finally:
        fleet.close()


def fit(sizes, values):
    """Least-squares line: slope, value at size 0 and the largest deviation from it."""
    mean_size, mean_value = sum(sizes) / len(sizes), sum(values) / len(values)
    slope = sum((s - mean_size) * (v - mean_value) for s, v in zip(sizes, values)) \
        / sum((s - mean_size) ** 2 for s in sizes)
    base = mean_value - slope * mean_size
    return slope, base, max(abs(v - base - slope * s) for s, v in zip(sizes, values))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build-none")
    options = parser.parse_args()
    points = []
    for per_domain in INSTANCES_PER_DOMAIN:
        points.append(measure(options.build, per_domain))
        print("{} instances: {:.0f} bytes/s sent, {:.2f} percent of a core, {:.1f} MB".format(
            *points[-1]), flush=True)
    sizes, *columns = zip(*points)
    for name, values in zip(("bytes/s", "percent of a core", "MB"), columns):
        slope, base, deviation = fit(sizes, values)
        print(f"slope {slope:.4f} {name} per instance, base {base:.2f}, deviation {deviation:.2f}")


if __name__ == "__main__":
    main()
