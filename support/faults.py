"""Fault injection in real processes: operations run while instances, the store and upstreams fail.

Checks the outcomes that callers saw against the operations that the upstreams ran.
"""

import argparse
import collections
import concurrent.futures
import json
import signal
import sys
import threading
import time

from demo import DEPLOYMENTS, Demo
from figures import figure, missed
from fleet import Fleet, request, wait_until

WORKERS = 8
CHANGES = 30


class Faults(Demo):
    """Sends operations with copies and retries while faults are injected one after the other."""

    def __init__(self, fleet, plan):
        super().__init__(fleet, plan)
        self.stop = threading.Event()
        self.wrong_answers = 0
        self.in_force_seconds = []

    def check_answer(self, route, operation, text):
        """Counts responses whose echoed path or operation differs from the request."""
        try:
            answer = json.loads(text)
            wrong = "path" in answer and (
                answer["path"] != route[2] or answer["operation"] != operation)
        except ValueError:
            wrong = True
        with self.lock:
            self.wrong_answers += wrong

    def send(self, kind, route, team=None, operation=None, body=None, address=None, client=None):
        result = super().send(kind, route, team, operation, body, address, client)
        if result[1] == "done":
            self.check_answer(route, operation or "", result[2])
        return result

    def traffic(self):
        while not self.stop.is_set():
            try:
                self.send_once("operations under faults", self.plan["once"][0],
                               self.plan["large_team"], 2)
                self.send("reads under faults", self.plan["keyed"], self.plan["team"])
            except (RuntimeError, OSError, ValueError):
                time.sleep(0.05)

    def control_store(self, **settings):
        request(self.fleet.store, "POST", "/control", body=json.dumps(settings))

    def some_upstreams(self, **settings):
        for upstream in self.fleet.upstreams[:4]:
            self.fleet.control(upstream, **settings)

    def upstream_faults(self):
        for fault in ("close_after_run", "partial_answer", "never_answer", "shed"):
            self.some_upstreams(**{fault: True})
            time.sleep(3)
            self.some_upstreams(**{fault: False})
        for lie in ("zero", "constant", "frozen"):
            self.some_upstreams(lie_load=lie)
            time.sleep(2)
        self.some_upstreams(lie_load="off")

    def store_faults(self):
        self.control_store(down=True)
        time.sleep(8)
        keyed = [self.send("keyed while the store is down", self.plan["keyed"], self.plan["team"])
                 for _ in range(20)]
        self.check("keyed routes go on while the store is down",
                   sum(outcome == "done" for _, outcome, _ in keyed) >= 18)
        self.control_store(down=False)
        time.sleep(3)

    def pause_instance(self):
        """Pauses an instance for longer than every timeout that concerns it, then resumes it."""
        paused = self.fleet.instances[0]
        paused.process.send_signal(signal.SIGSTOP)
        time.sleep(13)
        paused.process.send_signal(signal.SIGCONT)
        time.sleep(3)
        answers = [self.send("to an instance after its pause", self.plan["browse"],
                             address=paused.address, client=self.client_near(paused))
                   for _ in range(20)]
        self.check("an instance serves again after a pause",
                   sum(outcome == "done" for _, outcome, _ in answers) >= 19)

    def client_near(self, instance):
        """Returns the address of a client whose home is the instance's domain."""
        block = self.fleet.configuration["client_blocks"][instance.domain][0]
        return block.split("/")[0]

    def kill_instance(self):
        killed = self.fleet.instances[-1]
        killed.kill()
        time.sleep(2)
        killed.start()
        time.sleep(3)

    def operator_races(self):
        """Two operators change different teams concurrently while store responses are dropped."""
        def change(operator):
            for number in range(CHANGES // 2):
                if number % 3 == 0:
                    self.control_store(lose_next_answer=True)
                team = list(self.rates)[operator]
                start = time.monotonic()
                done = self.fleet.cli("key", "new", "--team", team, "--id", f"k{operator}-{number}")
                with self.lock:
                    self.outcome_counts["an operator's change"][
                        f"exit status {done.returncode}"] += 1
                    if done.returncode == 0:
                        self.in_force_seconds.append(time.monotonic() - start)

        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            list(pool.map(change, range(2)))

    def run(self):
        self.apply_configuration()
        for upstream in self.fleet.upstreams:
            self.fleet.control(upstream, secrets=[self.key(t) for t in self.rates], delay_ms=10)
        threads = [threading.Thread(target=self.traffic) for _ in range(WORKERS)]
        for thread in threads:
            thread.start()
        for fault in (self.upstream_faults, self.operator_races, self.kill_instance,
                      self.pause_instance, self.store_faults):
            print(f"  fault: {fault.__name__}", flush=True)
            fault()
        self.stop.set()
        for thread in threads:
            thread.join()
        time.sleep(1)
        self.report()

    def report(self):
        stats = self.fleet.upstream_stats()
        runs = collections.Counter()
        for state in stats.values():
            runs.update(state["operations"])
        print(f"  {len(runs)} operations ran; {len(self.not_run_operations)} were refused")
        for kind, outcomes in self.outcome_counts.items():
            print(f"  {kind}: " + ", ".join(f"{n} x {o}" for o, n in outcomes.most_common(6)))
        figure("real_config_in_force_max", round(max(self.in_force_seconds), 2), "s", 10)
        figure("real_double_runs", sum(count > 1 for count in runs.values()), "operations", 0)
        figure("real_false_not_run",
               sum(runs.get(o, 0) > 0 for o in self.not_run_operations), "operations", 0)
        figure("wrong_or_cut_answers", self.wrong_answers, "answers", 0)
        figure("real_slots_excess", sum(state["over_slots"] for state in stats.values()),
               "requests", 0)
        figure("real_keys_seen_by_upstreams", sum(bool(state["keys"]) for state in stats.values()),
               "upstreams", 0)
        figure("real_checks_broken", self.checks.count(False), "checks", 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build-none")
    options = parser.parse_args()
    fleet = Fleet(options.build, "kapadwala")
    try:
        fleet.publish_list()
        for instance in fleet.instances:
            instance.start()
        wait_until("the instances", lambda: all(i.status() for i in fleet.instances))
        Faults(fleet, dict(DEPLOYMENTS["kapadwala"])).run()
    finally:
        fleet.close()
    print(f"logs in {fleet.directory}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
