"""Stand-ins for the platform's store, for the way to it, and for the operator."""

import asyncio
import base64
import copy
import itertools
import json
import time
from urllib.parse import parse_qs, urlsplit

from messages import Record, encode, read_message

HOST = "bales.example"


class Store:
    """The key-value store of PROTOCOL.md. `take_copy` and `drill` are the drill of the demands letter: the store is
    away for a moment, comes back from an older copy, and its header Store-Era rises by one."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 10
        self.leases: dict[int, float] = {}  # Time to live by id.
        self.expiry: dict[int, float] = {}
        self.lease_ids = itertools.count(70001)
        self.era = 1
        self.away = False
        self.changed = asyncio.Condition()
        self.connections: set[asyncio.StreamWriter] = set()

    async def notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def set_item(self, key: str, value: str, lease: int = 0) -> None:
        self.revision += 1
        created = self.items.get(key, {}).get("create_revision", self.revision)
        self.items[key] = {"key": key, "value": value, "rev": self.revision, "create_revision": created, "lease": lease}
        self.events.append(self.items[key])

    def drop_item(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "rev": self.revision, "tombstone": True})

    def value(self, key: str) -> dict | None:
        return json.loads(base64.b64decode(self.items[key]["value"])) if key in self.items else None

    async def put(self, key: str, value: dict) -> bool:
        """A write of the operator or of a back end; returns whether the store has acknowledged it."""
        if self.away:
            return False
        self.set_item(key, base64.b64encode(json.dumps(value).encode()).decode())
        self.record.write(f"store acknowledges {key} at revision {self.revision}")
        await self.notify()
        return True

    async def remove(self, key: str) -> bool:
        if self.away:
            return False
        self.drop_item(key)
        self.record.write(f"store acknowledges the removal of {key} at revision {self.revision}")
        await self.notify()
        return True

    def take_copy(self) -> dict:
        self.record.write(f"a copy of the store is made at revision {self.revision}")
        return copy.deepcopy({"items": self.items, "events": self.events, "revision": self.revision,
                              "leases": self.leases})

    async def drill(self, older: dict, away_s: float) -> None:
        self.record.say(f"the store goes away at revision {self.revision}")
        self.away = True
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.items, self.events = older["items"], older["events"]
        self.revision, self.leases = older["revision"], older["leases"]
        self.expiry = {lease: time.monotonic() + ttl for lease, ttl in self.leases.items()}
        self.era += 1
        self.away = False
        self.record.say(f"the store is back from its copy at revision {self.revision}, Store-Era {self.era}")
        await self.notify()

    async def expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            for lease, until in list(self.expiry.items()):
                if not self.away and until < time.monotonic():
                    await self.end_lease(lease)

    async def end_lease(self, lease: int) -> bool:
        existed = self.leases.pop(lease, None) is not None
        self.expiry.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.drop_item(key)
        await self.notify()
        return existed

    async def answer(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        call, _, argument = url.path.removeprefix("/endivequay/").partition("/")
        fields = json.loads(body) if body else {}
        if call == "kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, item | {"as_of": self.revision}) if item else (404, {})
        if call == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "more_pages": len(keys) > 500,
                         "as_of": self.revision}
        if call == "kv-watch":
            return await self.watch(int(query["after"]), query.get("prefix", ""), int(query["wait_ms"]) / 1000)
        if call == "kv-txn":
            return await self.transact(fields)
        if call == "kv-lease":
            lease, ttl = next(self.lease_ids), max(1.0, float(fields["ttl_s_time"]))
            self.leases[lease], self.expiry[lease] = ttl, time.monotonic() + ttl
            return 200, {"lease": lease, "ttl_s_time": ttl}
        if call == "kv-keep":
            lease = int(argument)
            if lease not in self.leases:
                return 404, {}
            self.expiry[lease] = time.monotonic() + self.leases[lease]
            return 200, {"ttl_s_time": self.leases[lease]}
        if call == "kv-lease-end" and method == "DELETE":
            return (200, {}) if await self.end_lease(int(argument)) else (404, {})
        return 404, {}

    async def watch(self, after: int, prefix: str, wait_s: float) -> tuple[int, dict]:
        until, era = time.monotonic() + wait_s, self.era
        while True:
            if after > self.revision or era != self.era:
                return 410, {}  # A revision that the store does not have.
            events = [each for each in self.events if each["rev"] > after and each["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, fields: dict) -> tuple[int, dict]:
        expected = fields.get("expected", [])
        if any(self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"] for row in expected):
            return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        puts = fields.get("puts", [])
        if any(each.get("lease", 0) and each["lease"] not in self.leases for each in puts):
            return 404, {}
        if any(each["key"].startswith(("op/", "servers/")) for each in puts):
            return 403, {}
        for each in puts:
            self.set_item(each["key"], each["value"], each.get("lease", 0))
        for key in fields.get("remove", []):
            self.drop_item(key)
        await self.notify()
        return 200, {"rev": self.revision}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.away:
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            while message := await read_message(reader):
                method, target, _ = message[0].split(" ")
                status, body = await self.answer(method, target, message[2])
                writer.write(encode(f"HTTP/1.1 {status} x", {"Content-Type": "application/json",
                                                            "Store-Era": str(self.era)}, json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # The caller left, or the drill cut the connection.
        finally:
            self.connections.discard(writer)
            writer.close()


class Link:
    """The way from a machine to the store. While it is cut, nothing passes in either direction, silently. While the
    machine is turned away, its calls get 503."""

    def __init__(self, ip: str, target: tuple[str, int]) -> None:
        self.ip, self.target = ip, target
        self.passing = asyncio.Event()
        self.passing.set()
        self.turned_away = False
        self.watched_at = 0.0  # When the machine last began a watch.
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        return self.server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        self.passing.clear()

    def heal(self) -> None:
        """Connections from before the cut do not come back to life."""
        for writer in list(self.writers):
            writer.transport.abort()
        self.passing.set()

    def turn_away(self) -> None:
        self.turned_away = True
        for writer in list(self.writers):
            writer.transport.abort()

    async def refuse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await read_message(reader):
            writer.write(encode("HTTP/1.1 503 x", {"Content-Type": "application/json"}, b"{}"))
            await writer.drain()

    async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            await self.passing.wait()
            if b"kv-watch" in data:
                self.watched_at = time.monotonic()
            writer.write(data)
            await writer.drain()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        other = None
        try:
            await self.passing.wait()
            if self.turned_away:
                await self.refuse(reader, writer)
                return
            store_reader, other = await asyncio.open_connection(*self.target)
            self.writers.add(other)
            ways = {asyncio.ensure_future(self.relay(reader, other)),
                    asyncio.ensure_future(self.relay(store_reader, writer))}
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
        except (OSError, asyncio.IncompleteReadError):
            pass  # One side closed the connection.
        finally:
            for each in filter(None, (writer, other)):
                self.writers.discard(each)
                each.close()


class Operator:
    """Writes the configuration, and writes it again where the store has lost it."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.number = 0
        self.newest: dict = {}

    async def publish(self, routes: list[list], services: list[str], tenants: list[list]) -> float:
        """Writes a new version and returns the time of its ack."""
        self.number += 2
        self.newest = {
            "version": f"r{self.number}",
            "routes": {"cols": ["name", "host", "prefix", "kind", "timeout_s", "goal_s", "prio", "service", "attempts",
                                "public", "sticky", "home_regions", "split"], "rows": routes},
            "services": {"cols": ["name", "health_path", "max_conns", "proto", "tls", "cold_s", "cold_per_s"],
                         "rows": [[name, "/health", 330, "h1", False, 3.0, 20.0] for name in services]},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_s": 3, "idle_s": 15},
            "tenants": {"cols": ["name", "api_keys", "prio", "rate_per_s", "burst", "home_regions"], "rows": tenants}}
        await self.store.put("op/config", self.newest)
        return self.store.record.now()

    async def keep(self) -> None:
        while True:
            await asyncio.sleep(0.3)
            written = self.store.value("op/config")
            if self.newest and not self.store.away and written != self.newest:
                await self.store.put("op/config", self.newest)


def route(name: str, prefix: str, kind: str, service: str, timeout_s: float = 2.0) -> list:
    return [name, HOST, prefix, kind, timeout_s, 0.4, 1, service, 2, False, False, [], None]
