"""A store outage of 0.8 s during which calls stay unanswered, followed by a change of the configuration."""

import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import (APPLY_S, KEY, STABLE_S, Deployment, Record, Store, close, encode, encode_request,  # noqa: E402
                        read_message, request_id, run)

OUTAGE_S = 0.8  # Largest dose of platform_down on the site: 4.5 s.
SECOND_KEY = "key-2"
INTERVAL_S = 0.05  # Between two requests to one process.


class SilentStore(Store):
    """While it is silent, it reads calls and never answers them, as on a connection that lost a response.

    Watches that wait when the outage begins go on and are answered after it.
    """

    silent = False
    renewed_at = 0.0

    async def serve(self, reader, writer) -> None:
        try:
            while request := await read_message(reader):
                if "/kv-keep/" in request.target or "/kv-lease" in request.target:
                    self.renewed_at = time.monotonic()
                if self.silent:
                    while await reader.read(65536):
                        pass
                    break
                status, body = await self.handle_request(request)
                writer.write(encode(f"HTTP/1.1 {status} x", {"Content-Type": "application/json"},
                                    json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            await close(writer)


class Client:
    """Sends requests to one process, each on a new connection, until the script ends."""

    def __init__(self, deployment: Deployment, node) -> None:
        self.deployment, self.node = deployment, node
        self.requests: list[dict] = []

    async def run(self) -> None:
        while True:
            for method, path, key in (("PUT", "/booking/1", KEY), ("GET", "/menu/1", SECOND_KEY)):
                asyncio.create_task(self.send(method, path, key))
            await asyncio.sleep(INTERVAL_S)

    async def send(self, method: str, path: str, key: str) -> None:
        identifier = request_id()
        entry = {"id": identifier, "sent": time.monotonic(), "path": path, "status": 0, "node": self.node.name}
        self.requests.append(entry)
        self.deployment.record.write(f"client sends {identifier} {method} {path} with {key} to {self.node.name}")
        try:
            reader, writer = await asyncio.open_connection(*self.node.front)
            writer.write(encode_request(method, path, identifier, 1200, key=key))
            answer = await asyncio.wait_for(read_message(reader), 3)
            entry["status"] = answer.status if answer else 0
            await close(writer)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.deployment.record.write(f"client gets {entry['status']} for {identifier}")


async def main() -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        store = SilentStore()
        deployment = Deployment(Path(folder), record, store=store)
        routes = [("/menu/", "idempotent", "sofra"), ("/booking/", "non_idempotent", "kiler")]
        await deployment.configure(1, routes, [KEY, SECOND_KEY], timeout_s=0.8)
        await deployment.start({"sofra": 1, "kiler": 1})
        try:
            if not await deployment.wait_ready():
                print("the processes did not become ready")
                return 2
            clients = [Client(deployment, node) for node in deployment.nodes]
            running = [asyncio.create_task(client.run()) for client in clients]
            await asyncio.sleep(STABLE_S)
            # The processes renew their leases together every 3.3 s; the outage begins 1.2 s after a renewal.
            while not 1.2 < time.monotonic() - store.renewed_at < 1.25:
                await asyncio.sleep(0.01)
            await deployment.configure(2, [*routes, ("/extra/", "idempotent", "sofra")], [KEY, SECOND_KEY],
                                       timeout_s=0.8)
            await asyncio.sleep(0.1)
            store.silent = trouble
            record.write(f"the store is {'silent' if trouble else 'left alone'} for {OUTAGE_S} s")
            await asyncio.sleep(OUTAGE_S)
            store.silent = False
            stable_at = time.monotonic() + STABLE_S
            record.write("the store answers")
            await asyncio.sleep(0.2)
            # The bookings move to the other service, and the second key is taken away.
            await deployment.configure(3, [("/menu/", "idempotent", "sofra"), ("/booking/", "non_idempotent", "sofra")],
                                       [KEY], timeout_s=0.8)
            applied_at = time.monotonic() + APPLY_S
            await asyncio.sleep(9)
            for task in running:
                task.cancel()
            await asyncio.sleep(1)
        finally:
            await deployment.shut_down()
        service_of = {identifier: backend.service for backend in deployment.backends
                      for _, identifier, _ in backend.runs}
        checked = [entry for client in clients for entry in client.requests
                   if entry["sent"] > max(applied_at, stable_at)]
        moved = [e for e in checked if e["path"] == "/booking/1" and service_of.get(e["id"]) == "kiler"]
        revoked = [e for e in checked if e["path"] == "/menu/1" and e["id"] in service_of]
        last = max((e["sent"] for e in moved + revoked), default=applied_at) - applied_at
        record.write(f"{len(checked)} requests sent by machines in touch later than {APPLY_S} s after the "
                     f"acknowledgement; {len(moved)} run by the old service, {len(revoked)} run with the key that was "
                     f"taken away, the last one {last + APPLY_S:.2f} s after the acknowledgement")
        print(f"{len(moved)} requests run by the old service and {len(revoked)} with a revoked key, of {len(checked)}; "
              f"the last one {last + APPLY_S:.2f} s after the acknowledgement")
        if not checked or not any(e["status"] == 200 for e in checked):
            return 2
        return 1 if moved or revoked else 0


run(main)
