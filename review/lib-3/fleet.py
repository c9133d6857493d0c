"""A small deployment on loopback for the cases of this review: a store, backends, machines and clients.

The store is the project's own stand-in (platform/soak/store.py). Machines are the project's program, started with the
command of deploy/system.toml. Everything else is here.
"""

import asyncio
import base64
import json
import os
import random
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "soak"))

from http_messages import Message, close, encode, read_message  # noqa: E402
from store import Store  # noqa: E402

HOST = "case.example"
BOUNDS = {"stable_s": 4, "drain_s": 2.5, "grace_s": 6, "apply_s": 2.5, "evac_s": 5, "revoke_s": 5, "retry_ratio": 0.2,
          "retry_slack": 64, "budget_window_s": 10, "quota_window_s": 5, "quota_over": 0.1, "quota_slack": 20,
          "ttl_max_s": 5}  # Those of yildirim-sofra that the program reads.
BEAT_S = 1.5
RESTART_S = 0.4  # Delay before the platform starts a process again.


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.start:8.3f}  {text}\n")

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        self.file.close()


def free_base(ip: str, count: int) -> int:
    """Returns the first of count ports that are free for TCP and UDP."""
    for _ in range(200):
        base = random.randrange(20000, 30000)
        sockets = []
        try:
            for port in range(base, base + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    sockets.append(probe)
                    probe.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise OSError("no free ports")


def table(rows: list[dict]) -> dict:
    columns = sorted({name for row in rows for name in row})
    return {"cols": columns, "rows": [[row.get(name) for name in columns] for row in rows]}


def configuration(version: int, routes: list[dict], services: list[str], tenants: list[dict] | None = None,
                  cold_s: float = 0, cold_per_s: float = 0) -> dict:
    defaults = {"host": HOST, "timeout_s": 5, "goal_s": 1, "prio": 1, "attempts": 2, "public": False}
    config = {"version": f"r{version}", "routes": table([defaults | route for route in routes]),
              "services": table([{"name": name, "health_path": "/health", "max_conns": 390,
                                  "cold_s": cold_s, "cold_per_s": cold_per_s} for name in services]),
              "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_s": 3, "idle_s": 15}}
    if tenants is not None:
        config["tenants"] = table(tenants)
    return config


@dataclass
class Arrival:
    at: float
    request_id: str
    path: str
    ran: bool


class Backend:
    """A backend process of the platform. Each start() is a new lifetime, under the same id and address."""

    def __init__(self, fleet: "Fleet", name: str, service: str, zone: str, slots: int = 9, work_s: float = 0.03) -> None:
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.ip, self.port = fleet.next_ip(), 0
        self.arrivals: list[Arrival] = []
        self.alive = self.leaving = False
        self.writes_entry = False
        self.state = "ready"
        self.writers: set[asyncio.StreamWriter] = set()
        self.beats: asyncio.Task | None = None
        self.server: asyncio.Server | None = None
        self.body = lambda path, request_id: (request_id * 20).encode()
        self.running = 0
        self.lease = 0
        self.cold_until = 0.0
        self.health_checks = 0

    async def start(self) -> None:
        if self.server is None:
            self.port = free_base(self.ip, 1)
            self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.alive, self.leaving, self.state, self.writes_entry = True, False, "ready", True
        self.fleet.next_lease += 1
        self.lease = self.fleet.next_lease
        self.renew()
        await self.write_entry()
        self.beats = asyncio.create_task(self.beat())

    def renew(self) -> None:
        """An entry is removed after three heartbeat intervals of silence."""
        self.fleet.store.leases[self.lease] = (3 * BEAT_S, time.monotonic() + 3 * BEAT_S)

    async def write_entry(self) -> None:
        self.sequence += 1
        entry = {"service": self.service, "addr": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": self.state, "cold_left_s": round(self.cold_left_s(), 1),
                 "seq": self.sequence, "born": self.born}
        await self.fleet.store.put(f"servers/{self.name}", entry, self.lease)
        self.written = self.fleet.store.items[f"servers/{self.name}"]["value"]

    def cold_left_s(self) -> float:
        return max(0.0, self.cold_until - time.monotonic())

    async def turn_cold(self, seconds: float) -> None:
        """Becomes cold again; its entry says so as soon as the store takes it."""
        self.cold_until = time.monotonic() + seconds
        if not self.fleet.store_away:
            await self.write_entry()

    async def beat(self) -> None:
        while self.alive:
            await asyncio.sleep(BEAT_S / 2)
            if self.writes_entry and not self.fleet.store_away:
                await self.write_again()

    async def write_again(self) -> None:
        """Writes the entry if the store has lost it."""
        self.renew()
        if self.fleet.store.items.get(f"servers/{self.name}", {}).get("value") != self.written:
            await self.write_entry()

    async def leave(self, reports: bool) -> None:
        """Begins to leave: reports it, or takes its entry away. It goes on serving until stop()."""
        self.leaving = True
        if reports:
            self.state = "draining"
            await self.write_entry()
        else:
            await self.take_entry()

    async def take_entry(self) -> None:
        self.writes_entry = False
        await self.fleet.store.end_lease(self.lease)
        await self.fleet.store.remove(f"servers/{self.name}")

    async def stop(self) -> None:
        self.alive = self.writes_entry = False
        if self.beats:
            self.beats.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.alive:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                await self.handle(request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            await close(writer)

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id}
        if request.target == "/health":
            self.health_checks += 1
            writer.write(encode("HTTP/1.1 200 OK", {"X-Instance-Id": self.name,
                                                    "X-Cold-Ms": str(int(self.cold_left_s() * 1000))}))
            return
        ran = request.headers.get("x-expect-instance", self.name) == self.name
        self.arrivals.append(Arrival(time.monotonic(), request_id, request.target, ran))
        self.fleet.record.write(f"backend {self.name} born {self.born} {'runs' if ran else 'rejects'} {request_id}"
                                f"{' while leaving' if self.leaving else ''}")
        if not ran:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
            return
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        headers |= {"X-Server-Stamp": f"stamp.{request_id}", "X-Backend-Load": f"{self.running},0,{self.slots}"}
        if self.leaving:
            headers["Server-Leaving"] = "1"
        writer.write(encode("HTTP/1.1 200 OK", headers, self.body(request.target, request_id)))
        await writer.drain()


class Machine:
    """One machine with one process of the project. The platform starts the process again when it ends."""

    def __init__(self, fleet: "Fleet", name: str, zone: str, settings: dict) -> None:
        self.fleet, self.name, self.zone = fleet, name, zone
        self.ip = fleet.next_ip()
        self.base = free_base(self.ip, 6)
        self.front, self.directory = (self.ip, self.base), (self.ip, self.base + 1)
        self.ready = (self.ip, self.base + 2)
        self.settings = settings
        self.process: asyncio.subprocess.Process | None = None
        self.task: asyncio.Task | None = None
        self.ended: list[float] = []
        self.wanted = True

    def write_settings(self, path: Path) -> None:
        fleet = self.fleet
        lines = [f"name = {self.name}", f"domain = {self.zone}", f"region = {fleet.zones[self.zone]}",
                 f"ip = {self.ip}", f"port = {self.base + 4}", f"callers = {self.ip}:{self.base}",
                 f"directory = {self.ip}:{self.base + 1}", f"ready = {self.ip}:{self.base + 2}",
                 f"control = {self.ip}:{self.base + 3}", f"store = {fleet.store_ip}:{fleet.store_port}",
                 "link-mbps = 1000", "core-share = 0.2", "core-speed = 1", "memory-mb = 260", "descriptors = 4100",
                 "first-start = true"]
        lines = [f"{name} = {self.settings[name]}" if (name := line.split(" = ")[0]) in self.settings else line
                 for line in lines]
        lines += [f"region-of = {zone}={region}" for zone, region in fleet.zones.items()]
        lines += [f"seed = {machine.ip}:{machine.base + 3}" for machine in fleet.machines[:3]]
        lines += [f"bound = {name}={value}" for name, value in (BOUNDS | fleet.bounds).items()]
        path.write_text("\n".join(lines) + "\n")

    async def supervise(self) -> None:
        path = self.fleet.folder / f"{self.name}.settings"
        self.write_settings(path)
        environment = {"PATH": os.environ["PATH"], "HOME": "/", "LANG": "C", "ENDIVEQUAY_NODE_FILE": str(path)}
        with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
            while self.wanted:
                self.process = await asyncio.create_subprocess_exec(*self.fleet.command, cwd=ROOT, env=environment,
                                                                    stdout=log, stderr=log)
                code = await self.process.wait()
                self.ended.append(time.monotonic())
                self.fleet.record.write(f"machine {self.name}: its process ended with {code}")
                await asyncio.sleep(RESTART_S)

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def shut_down(self) -> None:
        self.wanted = False
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.task is not None:
            self.task.cancel()


@dataclass
class Answer:
    """What a client saw of one request: status 0 is a connection that ended without a complete answer."""

    request_id: str
    sent_at: float
    status: int = 0
    at: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""
    kept: bool = False  # The connection has carried a request before.


class Fleet:
    def __init__(self, record: Record, zones: dict[str, str], bounds: dict | None = None) -> None:
        self.record, self.zones, self.bounds = record, zones, bounds or {}
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        self.command = role["run"].split()
        self.command[0] = str(ROOT / self.command[0])
        self.addresses = iter(range(10, 250))
        self.network = random.randrange(1, 250)
        self.store = Store()
        self.store.revision = 100
        self.store_away = False
        self.back_at = 0.0  # When the store came back from its latest drill.
        self.store_ip, self.store_port = self.next_ip(), 0
        self.next_lease = 1_000_000
        self.machines: list[Machine] = []
        self.backends: list[Backend] = []
        self.tasks: list[asyncio.Task] = []
        self.answers: list[Answer] = []
        self.count = 0

    def next_ip(self) -> str:
        return f"127.77.{self.network}.{next(self.addresses)}"

    async def start_store(self) -> None:
        self.store_port = free_base(self.store_ip, 1)
        self.store_connections: set[asyncio.StreamWriter] = set()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.store_connections.add(writer)
            await self.store.serve(reader, writer)
            self.store_connections.discard(writer)

        self.store_server = await asyncio.start_server(serve, self.store_ip, self.store_port)
        self.tasks.append(asyncio.create_task(self.store.expire_leases()))

    async def configure(self, config: dict) -> None:
        self.config = config
        await self.store.put("op/config", config)
        self.record.write(f"operator: configuration {config['version']} is acknowledged")

    async def drill(self, copy: dict, away_s: float) -> None:
        """The store is away for a moment and comes back from a copy; then its writers write again what is lost."""
        self.store_away = self.store.away = True
        for writer in list(self.store_connections):
            writer.transport.abort()
        self.record.write("store: away")
        await asyncio.sleep(away_s)
        await self.store.restore(copy)
        # Heartbeats lapse three intervals after the last one that the copy holds, or that comes from now on.
        self.store_away = self.store.away = False
        self.back_at = time.monotonic()
        self.record.write(f"store: back from a copy, revision {self.store.revision}, era {self.store.era}")
        await asyncio.sleep(0.3)
        value = base64.b64encode(json.dumps(self.config).encode()).decode()
        if self.store.items.get("op/config", {}).get("value") != value:
            await self.store.put("op/config", self.config)
        for backend in self.backends:
            if backend.alive and backend.writes_entry:
                await backend.write_again()

    def add_machine(self, zone: str, **settings: object) -> Machine:
        machine = Machine(self, f"front-{zone}-{len(self.machines) + 1}", zone, settings)
        self.machines.append(machine)
        return machine

    def add_backend(self, name: str, service: str, zone: str, **options: object) -> Backend:
        backend = Backend(self, name, service, zone, **options)
        self.backends.append(backend)
        return backend

    async def start_machines(self) -> bool:
        for machine in self.machines:
            machine.task = asyncio.create_task(machine.supervise())
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            if all([await self.is_ready(machine) for machine in self.machines]):
                return True
            await asyncio.sleep(0.2)
        return False

    async def is_ready(self, machine: Machine) -> bool:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*machine.ready), 1)
            writer.write(encode("GET /endivequay/ready HTTP/1.1", {"Host": "ready"}))
            answer = await asyncio.wait_for(read_message(reader), 1)
            await close(writer)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def new_id(self) -> str:
        self.count += 1
        return f"{random.getrandbits(32):08x}{self.count:08x}"

    async def request(self, connection: tuple, method: str, path: str, deadline_ms: int = 3000, key: str = "",
                      body: bytes = b"", cookie: str = "", kept: bool = False) -> Answer:
        """Sends a request on a connection and reads its answer."""
        reader, writer = connection
        answer = Answer(self.new_id(), time.monotonic(), kept=kept)
        headers = {"Host": HOST, "X-Request-Id": answer.request_id, "X-Deadline-Ms": str(deadline_ms)}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        if cookie:
            headers["Cookie"] = f"X-Affinity-Key={cookie}"
        self.answers.append(answer)
        self.record.write(f"client sends {method} {path} {answer.request_id}")
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 1)
            if message is not None:
                answer.status, answer.headers, answer.body = message.status, message.headers, message.body
            else:
                answer.error = "closed"
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.error = type(error).__name__
        except asyncio.TimeoutError:
            answer.error = "no answer in time"
        answer.at = time.monotonic()
        self.record.write(f"client gets {answer.status or answer.error} for {answer.request_id}")
        return answer

    async def shut_down(self) -> None:
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            await machine.shut_down()
        for backend in self.backends:
            await backend.stop()
        self.temporary.cleanup()


async def steady_client(fleet: Fleet, machine: Machine, until: float, interval_s: float, paths: list[tuple[str, str]],
                        key: str = "") -> None:
    """A client that keeps a connection to one machine and sends one request after the other."""
    connection = None
    number = used = 0
    while time.monotonic() < until:
        method, path = paths[number % len(paths)]
        number += 1
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection(*machine.front), 1)
                used = 0
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.2)
            continue
        answer = await fleet.request(connection, method, path + str(number % 40), key=key, cookie=str(random.randrange(60)),
                                     kept=used > 0)
        used += 1
        if answer.status == 0 or answer.headers.get("connection", "").lower() == "close":
            await close(connection[1])
            connection = None
        await asyncio.sleep(random.uniform(0.5, 1.5) * interval_s)
    if connection is not None:
        await close(connection[1])


def resident_mb(pid: int) -> float:
    try:
        status = Path(f"/proc/{pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0]) / 1024
    except (OSError, IndexError):
        return 0.0


async def enforce_memory(machine: Machine, limit_mb: float, record: Record, peak: list[float]) -> None:
    """The platform kills a process that exceeds ram_mb. Ends with the process."""
    process = machine.process
    while process.returncode is None:
        used = resident_mb(process.pid)
        peak[0] = max(peak[0], used)
        if used > limit_mb:
            record.say(f"the process holds {used:.0f} MB of {limit_mb} MB; the platform kills it")
            process.kill()
            return
        await asyncio.sleep(0.02)


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def main(play, folder: Path) -> int:
    """Runs a case: play(fleet_record) returns 0, 1 or 2. A case that could not run yields 2."""
    record = Record(folder)
    try:
        return asyncio.run(asyncio.wait_for(play(record), 118))
    except (OSError, asyncio.TimeoutError, FileNotFoundError) as error:
        record.say(f"the case could not run: {error!r}")
        return 2
    finally:
        record.close()
