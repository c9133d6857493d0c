"""A small deployment on loopback for the scripts of the review: a store, backends and endivequayd processes.

The store is the project's own stand-in (platform/soak/store.py). The processes are started with the command of
deploy/system.toml and with settings rendered from the fields that deploy/settings.template uses.
"""

import asyncio
import os
import random
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "platform" / "soak"))

from http_messages import Message, close, encode, read_message  # noqa: E402
from store import Store  # noqa: E402

HOST = "shop.example"
KEY = "key-1"
TENANT = "team-1"
GRACE_S = 6.0
RAM_MB = 260  # limits.ram_mb of the small deployments.
RESTART_S = 0.4  # Delay after which the platform restarts a process that ended.
# Zones and bounds of the deployment yildirim-sofra.
ZONES = {"ege-a": "ege", "kapadokya-a": "kapadokya", "karadeniz-a": "karadeniz",
         "ege-b": "ege", "kapadokya-b": "kapadokya", "karadeniz-b": "karadeniz"}
STABLE_S = 4.0
APPLY_S = 2.5
BOUNDS = ["retry_ratio=0.2", "retry_slack=64", f"grace_s={GRACE_S:g}", "quota_over=0.1", "quota_slack=20",
          "quota_window_s=5", "ttl_max_s=5", f"stable_s={STABLE_S:g}", f"apply_s={APPLY_S:g}", "drain_s=2.5"]


class Record:
    """Writes record.txt: one line for each thing that was sent, answered, run or done to a process."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


class Backend:
    """A sound backend: one request at a time on a connection, signed answers, runs recorded."""

    def __init__(self, deployment: "Deployment", index: int, zone: str, service: str, slots: int = 9) -> None:
        self.deployment, self.zone, self.service, self.slots = deployment, zone, service, slots
        self.id = f"i-{index}-{random.getrandbits(32):08x}"
        self.work_s = 0.03
        self.runs: list[tuple[float, str, str]] = []  # Time, request id, tenant.
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        self.address = f"{host}:{port}"
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        await self.register("ready")

    async def register(self, state: str) -> None:
        await self.deployment.store.put(f"servers/{self.id}", {
            "service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "cold_left_s": 0, "seq": 1, "born": int(time.time() * 1000)})

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                await self.answer(request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            await close(writer)

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id, "X-Instance-Id": self.id}
        if request.target == "/health":
            writer.write(encode("HTTP/1.1 200 OK", headers))
            return
        if request.headers.get("x-expect-instance", self.id) != self.id:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
            return
        self.runs.append((time.monotonic(), request_id, request.headers.get("x-tenant", "")))
        self.deployment.record.write(f"backend {self.id} ({self.service}) runs {request_id} "
                                     f"{request.start_line} body={len(request.body)}")
        await asyncio.sleep(self.work_s)
        headers["X-Server-Stamp"] = f"stamp.{request_id}"
        writer.write(encode("HTTP/1.1 200 OK", headers, (request_id * 20).encode()))
        await writer.drain()


class Node:
    """An endivequayd process on one machine. Restarts it when it ends, as the platform does."""

    def __init__(self, deployment: "Deployment", index: int, zone: str, seeds: list[str]) -> None:
        self.deployment, self.zone = deployment, zone
        self.name = f"front-{zone}-{index + 1}"
        self.ip = deployment.ip(1, index)
        port = deployment.port
        self.front, self.directory = (self.ip, port), (self.ip, port + 1)
        self.ready, self.control = (self.ip, port + 2), (self.ip, port + 3)
        self.settings = deployment.folder / f"{self.name}.settings"
        self.first_start = True
        self.seeds = seeds
        self.process: asyncio.subprocess.Process | None = None
        self.peak_mb = 0.0
        self.over_limit: list[float] = []
        self.ended: list[tuple[float, int]] = []
        self.stopping = False

    def write_settings(self) -> None:
        text = [f"{name} = {host}:{port}" for name, (host, port) in
                (("callers", self.front), ("directory", self.directory), ("ready", self.ready),
                 ("control", self.control), ("store", self.deployment.store_address))]
        lines = [f"name = {self.name}", f"domain = {self.zone}", f"region = {ZONES[self.zone]}", f"ip = {self.ip}",
                 f"port = {self.deployment.port + 4}", *text, "link-mbps = 1000", "core-share = 0.2",
                 "core-speed = 1", *self.deployment.machine_settings, f"first-start = {'true' if self.first_start else 'false'}",
                 *(f"region-of = {zone}={region}" for zone, region in ZONES.items()),
                 *(f"seed = {seed}" for seed in self.seeds), *(f"bound = {bound}" for bound in BOUNDS)]
        self.settings.write_text("\n".join(lines) + "\n")

    async def supervise(self) -> None:
        command = self.deployment.command
        with open(self.deployment.folder / f"{self.name}.log", "ab") as log:
            while not self.stopping:
                self.write_settings()
                self.first_start = False
                self.process = await asyncio.create_subprocess_exec(
                    *command, stdout=log, stderr=log, cwd=REPOSITORY,
                    env={**os.environ, "ENDIVEQUAY_NODE_FILE": str(self.settings)})
                code = await self.process.wait()
                self.ended.append((time.monotonic(), code))
                self.deployment.record.write(f"process of {self.name} ended with {code}")
                await asyncio.sleep(RESTART_S)

    def resident_mb(self) -> float:
        if self.process is None or self.process.returncode is not None:
            return 0
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def shut_down(self) -> None:
        self.stopping = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def free_addresses() -> tuple[int, int]:
    """Returns the second byte of a loopback network and a port that begins a range of free ports there."""
    while True:
        octet, port = random.randint(16, 250), random.randint(20000, 28000)
        try:
            for offset in range(5):
                with socket.socket() as probe:
                    probe.bind((f"127.{octet}.0.1", port + offset))
            return octet, port
        except OSError:
            continue


class Deployment:
    def __init__(self, folder: Path, record: Record, nodes_per_zone: int = 1, store: Store | None = None) -> None:
        self.folder, self.record = folder, record
        self.octet, self.port = free_addresses()
        self.store = store or Store()
        self.store_address = (f"127.{self.octet}.0.1", self.port)
        self.command = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]["entry"]["run"].split()
        self.nodes: list[Node] = []
        self.backends: list[Backend] = []
        self.tasks: list[asyncio.Task] = []
        self.nodes_per_zone = nodes_per_zone
        self.machine_settings = [f"memory-mb = {RAM_MB}", "descriptors = 4100"]

    def ip(self, group: int, index: int) -> str:
        return f"127.{self.octet}.{group}.{index + 1}"

    async def start(self, services: dict[str, int]) -> None:
        """Starts the store, the backends (number by service in each zone) and the processes."""
        self.store_server = await asyncio.start_server(self.store.serve, *self.store_address,
                                                       limit=1 << 20)
        self.tasks.append(asyncio.create_task(self.store.expire_leases()))
        for service, count in services.items():
            for zone in ZONES:
                for _ in range(count):
                    backend = Backend(self, len(self.backends), zone, service)
                    await backend.start(self.ip(2, len(self.backends)), self.port)
                    self.backends.append(backend)
        zones = [zone for zone in ZONES for _ in range(self.nodes_per_zone)]
        seeds = [f"{self.ip(1, i)}:{self.port + 3}" for i in range(3)]
        for index, zone in enumerate(zones):
            node = Node(self, index, zone, seeds)
            self.nodes.append(node)
            self.tasks.append(asyncio.create_task(node.supervise()))
        self.tasks.append(asyncio.create_task(self.watch_memory()))

    async def watch_memory(self) -> None:
        """Kills a process that exceeds the memory of its machine, as the platform does."""
        while True:
            for node in self.nodes:
                resident = node.resident_mb()
                node.peak_mb = max(node.peak_mb, resident)
                if resident > RAM_MB:
                    self.record.write(f"process of {node.name} has {resident:.0f} MB, over {RAM_MB} MB: killed")
                    node.over_limit.append(time.monotonic())
                    node.signal(signal.SIGKILL)
            await asyncio.sleep(0.01)

    async def configure(self, version: int, routes: list[tuple[str, str, str]], keys: list[str] | None = None,
                        homes: dict[str, list[str]] | None = None, timeout_s: float = 30.0,
                        max_body_bytes: int = 67108864) -> None:
        """Writes a configuration; routes are (prefix, kind, service)."""
        columns = ["name", "host", "prefix", "kind", "timeout_s", "goal_s", "prio", "split", "attempts", "public",
                   "sticky", "home_regions", "service"]
        rows = [[f"r-{prefix.strip('/')}", HOST, prefix, kind, timeout_s, 0.5, 1, None, 2, False, True,
                 (homes or {}).get(prefix, []), service] for prefix, kind, service in routes]
        services = sorted({service for _, _, service in routes})
        await self.store.put("op/config", {
            "version": f"r{version}", "routes": {"cols": columns, "rows": rows},
            "services": {"cols": ["name", "health_path", "max_conns", "proto", "tls", "cold_s", "cold_per_s"],
                         "rows": [[service, "/health", 330, "h1", False, 3.0, 15.0] for service in services]},
            "tenants": {"cols": ["name", "api_keys", "prio", "rate_per_s", "burst", "home_regions"],
                        "rows": [[TENANT, keys or [KEY], None, 0, 0, []]]},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_s": 3, "idle_s": 15}})
        self.record.write(f"operator: configuration r{version} is acknowledged, routes {routes}, keys {keys or [KEY]}")

    async def wait_ready(self, seconds: float = 20) -> bool:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            states = [await self.is_ready(node) for node in self.nodes]
            if all(states):
                return True
            await asyncio.sleep(0.2)
        return False

    @staticmethod
    async def is_ready(node: Node) -> bool:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*node.ready), 1)
            writer.write(encode("GET /endivequay/ready HTTP/1.1", {"Host": HOST}))
            answer = await asyncio.wait_for(read_message(reader), 1)
            await close(writer)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def shut_down(self) -> None:
        for node in self.nodes:
            await node.shut_down()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def request_id() -> str:
    return f"{random.getrandbits(64):016x}"


def encode_request(method: str, path: str, identifier: str, deadline_ms: int, body: bytes = b"", key: str = KEY,
                   cookie: str = "17") -> bytes:
    headers = {"Host": HOST, "X-Request-Id": identifier, "X-Deadline-Ms": str(deadline_ms),
               "Cookie": f"X-Affinity-Key={cookie}", "Authorization": f"Bearer {key}"}
    return encode(f"{method} {path} HTTP/1.1", headers, body)


def run(main) -> None:
    """Runs a case. Exit status: that of main, or 2 after an exception or a signal; all processes are ended."""

    async def guarded() -> int:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await main()
        except BaseException as error:  # A cancelled or failed case is one that could not run.
            print(f"the case could not run: {error!r}")
            return 2

    sys.exit(asyncio.run(guarded()))
