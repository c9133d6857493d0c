"""Runs an example deployment on this machine, sends real traffic and checks the guarantees.

Exits with 0 only if every check passed. Prints the outcomes of each kind of request and the time
line of one refused request.
"""

import argparse
import collections
import concurrent.futures
import http.client
import json
import random
import sys
import threading
import time

from fleet import Fleet, request, wait_until

SEED = 20261204
CONFIG_BOUND_S = 10
WITHDRAWN_KEY_BOUND_S = 5
LEAVING_UPSTREAM_BOUND_S = 3

DEPLOYMENTS = {
    "kapadwala": {
        "example": "kapadwala", "browse": ("storefront", "GET", "/bales"),
        "keyed": ("storefront", "GET", "/orders"),
        "once": [("storefront", "POST", "/reservations"), ("godown", "POST", "/dispatches")],
        "deferrable": ("godown", "GET", "/exports"),
        "large_team": "kandla-sorting", "team": "dubai-wholesale", "small_team": "pune-repairs",
        "withdrawn_team": "surat-weavers"},
    "retreat": {
        "example": "yildirim", "browse": ("sofra", "GET", "/menus"),
        "keyed": ("kiler", "GET", "/stock"),
        "once": [("sofra", "POST", "/orders"), ("kiler", "POST", "/bookings")],
        "deferrable": ("kiler", "GET", "/stock"),
        "large_team": None, "team": None, "small_team": None, "withdrawn_team": None},
}


class Demo:
    def __init__(self, fleet, plan):
        self.fleet, self.plan = fleet, plan
        self.random = random.Random(SEED)
        self.outcome_counts = collections.defaultdict(collections.Counter)
        self.lock = threading.Lock()
        self.not_run_operations = set()
        self.checks = []
        teams = sorted(fleet.configuration["teams"], key=lambda team: -team["rate"])
        self.rates = {team["id"]: team for team in teams}
        defaults = {"large_team": teams[0], "team": teams[1], "small_team": teams[-1],
                    "withdrawn_team": teams[3]}
        for role, team in defaults.items():
            plan[role] = plan[role] or team["id"]

    def check(self, name, held, detail=""):
        self.checks.append(held)
        print(f"  {'ok    ' if held else 'BROKEN'} {name}{': ' + detail if detail else ''}", flush=True)

    def key(self, team):
        return f"demo-key-{team}"

    def instance(self):
        alive = [i for i in self.fleet.instances if i.process.poll() is None]
        return self.random.choice(alive)

    def lookup(self, service, client):
        """Looks up the instance for a client at a random instance, as callers do."""
        for _ in range(5):
            try:
                status, _, body = request(
                    self.instance().address, "GET", f"/v1/lookup?service={service}&client={client}")
                if status == 200 and json.loads(body)["choices"]:
                    return json.loads(body)["choices"][0]["instance"]
            except OSError:
                continue
        raise RuntimeError("no look-up was answered")

    def send(self, kind, route, team=None, operation=None, body=None, address=None, client=None):
        service, method, path = route
        client = client or f"10.{self.random.randrange(1, len(self.fleet.domains) + 1)}.2.3"
        address = address or self.lookup(service, client)
        headers = {"X-Client": client}
        if team:
            headers["Endivequay-Key"] = self.key(team)
        if operation:
            headers["Endivequay-Operation"] = operation
        try:
            status, answer, text = request(address, method, f"/s/{service}{path}", headers, body)
            outcome = answer.get("Endivequay-Outcome", "none")
        except ConnectionRefusedError:
            status, outcome, text = 0, "connection refused", ""
        except (OSError, http.client.HTTPException):
            status, outcome, text = 0, "connection lost", ""
        reason = json.loads(text).get("reason", "") if text and outcome != "done" else ""
        with self.lock:
            self.outcome_counts[kind][f"{status} {outcome} {reason}".strip()] += 1
            if operation and outcome == "not-run" and reason != "operation_mismatch":
                self.not_run_operations.add(operation)
        return status, outcome, text

    def operation(self, team, address):
        status, _, body = request(address, "POST", "/v1/operations",
                                  {"Endivequay-Key": self.key(team)})
        return json.loads(body)["operation"] if status == 200 else None

    def send_once(self, kind, route, team, copies=1):
        """Sends several copies of one operation concurrently through different instances."""
        client = "10.1.2.3"
        home = self.lookup(route[0], client)
        try:
            operation = self.operation(team, home)
        except OSError:
            operation = None
        if operation is None:
            return []
        targets = [home] + [self.instance().address for _ in range(copies - 1)]
        with concurrent.futures.ThreadPoolExecutor(copies) as pool:
            return list(pool.map(lambda address: self.send(
                kind, route, team, operation, "item=7", address, client), targets))

    # The steps of the demonstration.

    def apply_configuration(self):
        start = time.monotonic()
        done = self.fleet.apply()
        took = time.monotonic() - start
        self.check("the configuration is in force on every instance",
                   done.returncode == 0 and took < CONFIG_BOUND_S, f"{took:.1f} s")
        took = wait_until("cells", lambda: all(i.owns_cells() for i in self.fleet.instances))
        print(f"  every instance owns cells after {took:.1f} s", flush=True)

    def ordinary_traffic(self):
        team = self.plan["team"]
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            work = [pool.submit(self.send, "browse (open)", self.plan["browse"]) for _ in range(150)]
            work += [pool.submit(self.send, "read (keyed)", self.plan["keyed"], team)
                     for _ in range(100)]
            work += [pool.submit(self.send, "export (deferrable)", self.plan["deferrable"], team)
                     for _ in range(30)]
            for route in self.plan["once"]:
                work += [pool.submit(self.send_once, f"{route[2]} (once, 3 copies)", route, team, 3)
                         for _ in range(20)]
            answers = [future.result() for future in work]
        copies = [answer for answer in answers if isinstance(answer, list)]
        same = all(len({text for _, outcome, text in group if outcome == "done"}) <= 1
                   for group in copies)
        self.check("all copies of one operation get the same answer", same)
        browse = self.outcome_counts["browse (open)"]
        self.check("ordinary traffic is served", browse["200 done"] >= 0.99 * sum(browse.values()))

    def limits(self):
        team = self.rates[self.plan["small_team"]]
        start = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            answers = list(pool.map(lambda _: self.send(
                "one team far over its rate", self.plan["keyed"], team["id"]), range(400)))
        took = time.monotonic() - start
        admitted = sum(outcome == "done" for _, outcome, _ in answers)
        allowed = team["burst"] + team["rate"] * took
        self.check("no team gets more than rate and burst over all instances",
                   admitted <= allowed, f"{admitted} admitted, {allowed:.0f} allowed")
        self.check("a burst finds tokens of all instances", admitted >= 0.8 * team["burst"],
                   f"{admitted} admitted, burst {team['burst']}")

    def withdraw_key(self):
        team = self.plan["withdrawn_team"]
        key_id = next(iter(self.rates[team]["keys"]))["id"]
        done = self.fleet.cli("key", "withdraw", "--team", team, "--id", key_id)
        accepted = time.monotonic()
        last = accepted
        while time.monotonic() - accepted < 8:
            if self.send("with a withdrawn key", self.plan["keyed"], team)[1] == "done":
                last = time.monotonic()
        self.check("a withdrawn key stops working", done.returncode == 0
                   and last - accepted <= WITHDRAWN_KEY_BOUND_S,
                   f"last accepted {last - accepted:.2f} s after the withdrawal")

    def drain_upstream(self):
        upstream = self.fleet.upstreams[0]
        stop = threading.Event()
        route = self.plan["browse"] if upstream["service"] == self.plan["browse"][0] \
            else self.plan["deferrable"]
        team = None if route == self.plan["browse"] else self.plan["team"]

        def traffic():
            while not stop.is_set():
                self.send("while an upstream drains", route, team)

        threads = [threading.Thread(target=traffic) for _ in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(1)
        start = time.monotonic()
        done = self.fleet.cli("drain", upstream["id"])
        time.sleep(6)
        stop.set()
        for thread in threads:
            thread.join()
        age = self.fleet.upstream_stats()[upstream["id"]]["last_new_work_age_ms"] / 1000
        last = max(0.0, time.monotonic() - start - age)
        self.check("a leaving upstream gets no new work", done.returncode == 0
                   and last <= LEAVING_UPSTREAM_BOUND_S, f"last new work {last:.2f} s after the drain")

    def stop_and_kill(self):
        """Stops one instance, kills another and restarts both under traffic."""
        stop = threading.Event()
        lost_on_stop = []
        leaving, killed = self.fleet.instances[0], self.fleet.instances[-1]

        def traffic(number):
            while not stop.is_set():
                self.send("while instances rotate", self.plan["browse"])
                self.send_once("operations while instances rotate", self.plan["once"][0],
                               self.plan["large_team"], 2)

        def send_to_leaving():
            # A caller with a cached look-up uses the leaving instance until it refuses requests.
            refusals = 0
            while leaving.process.poll() is None and refusals < 20:
                answer = self.send("to the stopping instance", self.plan["browse"],
                                   address=leaving.address)
                refusals += "leaving" in answer[2]
                if answer[1].startswith("connection"):
                    lost_on_stop.append(answer)

        threads = [threading.Thread(target=traffic, args=(n,)) for n in range(6)]
        threads.append(threading.Thread(target=send_to_leaving))
        for thread in threads:
            thread.start()
        status = leaving.stop()
        time.sleep(0.5)
        killed.kill()
        time.sleep(2)
        killed.start()
        leaving.start()
        time.sleep(2)
        stop.set()
        for thread in threads:
            thread.join()
        self.check("a planned stop cuts no request", status == 0 and not lost_on_stop,
                   f"exit status {status}, {len(lost_on_stop)} connections lost")
        took = wait_until("cells after the rotation", lambda: all(
            i.owns_cells() for i in self.fleet.instances), 90)
        print(f"  restarted instances own cells again after {took:.1f} s", flush=True)

    def upstream_checks(self):
        stats = self.fleet.upstream_stats()
        runs = collections.Counter()
        for state in stats.values():
            runs.update(state["operations"])
        doubled = [operation for operation, count in runs.items() if count > 1]
        self.check("every operation ran at most once", not doubled,
                   f"{len(runs)} operations ran, {len(doubled)} twice")
        false_refusals = [o for o in self.not_run_operations if runs.get(o, 0) > 0]
        self.check("every 'not run' is true", not false_refusals,
                   f"{len(self.not_run_operations)} refused, {len(false_refusals)} of them ran")
        over = {name: state["over_slots"] for name, state in stats.items() if state["over_slots"]}
        self.check("no upstream got more requests than slots", not over, str(over or ""))
        keys = {name: state["keys"] for name, state in stats.items() if state["keys"]}
        self.check("no upstream saw a key", not keys, str(keys or ""))

    def show_refusal(self):
        print("\nThe time line of one refused request:")
        lines = self.fleet.cli("timeline", "--team", self.plan["small_team"]).stdout.splitlines()
        refused = [line for line in lines if "RequestRefused" in line]
        for line in refused[-1:]:
            print("  " + line)
        self.check("the time line tells why a request was refused", bool(refused))

    def run(self):
        secrets = [self.key(team) for team in self.rates]
        for upstream in self.fleet.upstreams:
            self.fleet.control(upstream, secrets=secrets, delay_ms=20)
        steps = [("An operator applies the configuration", self.apply_configuration),
                ("Ordinary traffic", self.ordinary_traffic),
                ("One team sends far more than its rate", self.limits),
                ("An operator withdraws a key while its callers stay", self.withdraw_key),
                ("An operator drains an upstream", self.drain_upstream),
                ("One instance is stopped, one is killed, both come back", self.stop_and_kill),
                ("What the upstreams saw", self.upstream_checks)]
        for title, step in steps:
            print(f"\n{title}", flush=True)
            step()
        self.show_refusal()
        print("\nWhat the requests met:")
        for kind, outcomes in self.outcome_counts.items():
            print(f"  {kind}")
            for outcome, count in outcomes.most_common():
                print(f"    {count:6} x {outcome}")
        return all(self.checks)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build-none")
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="kapadwala")
    options = parser.parse_args()
    plan = dict(DEPLOYMENTS[options.deployment])
    fleet = Fleet(options.build, plan["example"])
    print(f"{len(fleet.instances)} instances in {len(fleet.domains)} failure domains, "
          f"{len(fleet.upstreams)} upstreams; logs in {fleet.directory}")
    try:
        fleet.publish_list()
        for instance in fleet.instances:
            instance.start()
        wait_until("the instances", lambda: all(i.status() for i in fleet.instances))
        passed = Demo(fleet, plan).run()
    finally:
        fleet.close()
    print("\nEvery promise that was checked held." if passed else "\nA promise was BROKEN.")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
