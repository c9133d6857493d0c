"""Starts a deployment as local processes on loopback: stand-ins, instances, configuration."""

import http.client
import json
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

SECRET = "demo secret, at least 16 bytes"
START_TIMEOUT_S = 60
PORT_STEP = 2  # An instance uses its port for callers and the next one for peers.


def request(address, method, target, headers=None, body=None, timeout=15):
    """Sends one request over a new connection; returns status, headers and body."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def get_json(address, target, **options):
    return json.loads(request(address, "GET", target, **options)[2])


def wait_until(what, condition, timeout=START_TIMEOUT_S):
    """Polls until the condition holds; returns the seconds it took."""
    start = time.monotonic()
    while time.monotonic() - start < timeout:
        try:
            if condition():
                return time.monotonic() - start
        except (OSError, ValueError, KeyError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise TimeoutError(what)


def free_ports(count):
    """Returns the first of count consecutive free ports; instances use adjacent ones."""
    for base in range(21000, 60000, 500):
        probes = []
        try:
            for port in range(base, base + count):
                probe = socket.socket()
                probe.bind(("127.0.0.1", port))
                probes.append(probe)
            return base
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise RuntimeError("no free ports")


class Instance:
    """One endivequayd process; can be restarted at its address."""

    def __init__(self, fleet, name, domain, port):
        self.fleet, self.name, self.domain = fleet, name, domain
        self.address = f"127.0.0.1:{port}"
        self.process = None

    def start(self, options=()):
        arguments = ["--listen", self.address, "--name", self.name,
                     "--failure-domain", self.domain, "--store", self.fleet.store,
                     "--store-domain", self.fleet.domains[0], "--list", self.fleet.list,
                     "--client-header", "X-Client", "--cluster", "demo", *options]
        log = open(self.fleet.directory / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [self.fleet.build / "daemon/endivequayd", *arguments], stderr=log,
            env={"ENDIVEQUAY_SECRET": SECRET})

    def status(self):
        return get_json(self.address, "/v1/status")

    def owns_cells(self):
        return self.status()["cells"] > 0

    def stop(self, timeout=90):
        """Stops the process with SIGTERM; returns its exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout)

    def kill(self):
        self.process.kill()
        self.process.wait()


class Fleet:
    """All processes of one deployment."""

    def __init__(self, build, example, instances_per_domain=2, example_options=()):
        self.build = pathlib.Path(build).resolve()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="endivequay-demo-"))
        self.processes = []
        base = free_ports(400)
        printed = subprocess.run(
            [self.build / f"config/{example}", "--base-port", str(base + 300),
             "--key-prefix", "demo-key", *example_options],
            check=True, capture_output=True, text=True)
        self.configuration = json.loads(printed.stdout)
        self.domains = [domain["id"] for domain in self.configuration["failure_domains"]]
        self.store = self.standin("store-standin", base)
        self.list = self.standin("list-standin", base + 1)
        self.upstreams = self.configuration["upstreams"]
        for upstream in self.upstreams:
            port = int(upstream["address"].rsplit(":", 1)[1])
            self.standin("upstream-standin", port, "--name", upstream["id"], "--service",
                         upstream["service"], "--slots", str(upstream["slots"]))
        self.instances = []
        for number, domain in enumerate(d for d in self.domains for _ in range(instances_per_domain)):
            self.instances.append(
                Instance(self, f"entry-{number + 1:02}", domain, base + 10 + number * PORT_STEP))

    def standin(self, program, port, *arguments):
        address = f"127.0.0.1:{port}"
        log = open(self.directory / f"{program}-{port}.log", "ab")
        self.processes.append(subprocess.Popen(
            [self.build / "standins" / program, "--listen", address, *arguments],
            stdout=log, stderr=log))
        return address

    def publish_list(self, instances=None):
        """Publishes the live instances at the list stand-in."""
        entries = [{"address": i.address, "failure_domain": i.domain, "state": "live"}
                   for i in (self.instances if instances is None else instances)]
        wait_until("the list stand-in", lambda: request(
            self.list, "POST", "/control", body=json.dumps({"instances": entries}))[0] == 200)

    def cli(self, *arguments, stdin=None):
        """Runs the operators' command line; returns the finished process."""
        environment = {"ENDIVEQUAY_STORE": self.store, "ENDIVEQUAY_INSTANCES": ",".join(
            i.address for i in self.instances if i.process and i.process.poll() is None)}
        return subprocess.run([self.build / "cli/endivequay", *arguments], input=stdin, text=True,
                              capture_output=True, env=environment, timeout=120)

    def apply(self):
        """Submits the configuration and waits until it is in force."""
        return self.cli("apply", stdin=json.dumps(self.configuration))

    def control(self, upstream, **settings):
        request(upstream["address"], "POST", "/control", body=json.dumps(settings))

    def upstream_stats(self):
        return {u["id"]: get_json(u["address"], "/control/stats") for u in self.upstreams}

    def close(self):
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                instance.process.kill()
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
