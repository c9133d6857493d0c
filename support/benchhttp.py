"""Measures the callers' HTTP path of one instance against baselines in the same run.

lookup_http_ratio: look-ups a second against a bare RESTinio handler that returns a constant.
policy_throughput_ratio: keyed requests a second against the same path with the policy off. The two
sides alternate in every round, so that other load on the machine affects both alike.
"""

import argparse
import statistics
import subprocess
import sys

from figures import figure, missed
from fleet import Fleet, request, wait_until

IO_THREADS = 2
CONNECTIONS = 16
SECONDS = 2
ROUNDS = 5
LOOKUP = "/v1/lookup?service=storefront&client=10.1.2.3"
TEAM = "kandla-sorting"
# The clients' home is the domain of the measured instance, so requests need no shift budget.


class Bench:
    def __init__(self, build):
        self.build = build
        self.tool = f"{build}/bench/http/bench_http"

    def rate(self, address, target, *headers, connections=CONNECTIONS):
        host, port = address.rsplit(":", 1)
        done = subprocess.run([self.tool, "load", host, port, target, str(connections),
                               str(SECONDS), *headers], check=True, capture_output=True, text=True)
        answers, others, failures, rate = done.stdout.split()
        if int(others) > 0.01 * int(answers) or int(failures):
            print(f"warning: {answers} answers, {others} others, {failures} failures at {target}")
        return float(rate)

    def fleet(self, policy):
        fleet = Fleet(self.build, "kapadwala", instances_per_domain=1)
        for team in fleet.configuration["teams"]:
            team["rate"], team["burst"] = 60000, 60000
        for region in fleet.configuration["regions"]:
            region.pop("capacity", None)
        fleet.publish_list()
        for instance in fleet.instances:
            instance.start(["--policy", policy, "--io-threads", str(IO_THREADS)])
        wait_until("the instances", lambda: all(i.status() for i in fleet.instances))
        applied = fleet.apply()
        if applied.returncode != 0:
            raise RuntimeError(applied.stderr)
        wait_until("cells", lambda: all(i.owns_cells() for i in fleet.instances))
        return fleet

    def lookups(self, fleet):
        bare = "127.0.0.1:20999"
        server = subprocess.Popen([self.tool, "serve", "127.0.0.1", "20999", str(IO_THREADS)])
        try:
            wait_until("the bare server", lambda: request(bare, "GET", "/")[0] == 200)
            address = fleet.instances[0].address
            pairs = [(self.rate(address, LOOKUP), self.rate(bare, "/")) for _ in range(ROUNDS)]
        finally:
            server.kill()
            server.wait()
        lookup_rate, bare_rate = (statistics.median(rates) for rates in zip(*pairs))
        print(f"look-ups {lookup_rate:.0f}/s, bare handler {bare_rate:.0f}/s, medians of {ROUNDS}")
        figure("lookup_http_ratio", round(statistics.median(a / b for a, b in pairs), 3), "ratio",
               0.5, at_least=True)

    def keyed(self, policy):
        headers = (f"Endivequay-Key: demo-key-{TEAM}", "X-Client: 10.5.2.3")
        fleet = self.fleet(policy)
        try:
            return self.rate(fleet.instances[0].address, "/s/storefront/orders", *headers,
                             connections=8)
        finally:
            fleet.close()

    def run(self):
        fleet = self.fleet("true")
        try:
            self.lookups(fleet)
        finally:
            fleet.close()
        pairs = [(self.keyed("true"), self.keyed("false")) for _ in range(ROUNDS)]
        policy, off = (statistics.median(rates) for rates in zip(*pairs))
        print(f"keyed requests {policy:.0f}/s, policy off {off:.0f}/s, medians of {ROUNDS}")
        figure("policy_throughput_ratio", round(statistics.median(a / b for a, b in pairs), 3),
               "ratio", 0.9, at_least=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build-none")
    Bench(parser.parse_args().build).run()
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
