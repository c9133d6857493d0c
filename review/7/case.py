"""A key is withdrawn after the store came back from an older copy: is it still accepted past apply_s?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE, Deployment, main, route

ZONES = {"west-in-a": "west-in", "west-in-b": "west-in", "gulf-a": "gulf", "gulf-b": "gulf"}
KEY, WITHDRAWN = "key-reseller-1", "key-reseller-2"
COPY_AT, STORM_AT, DRILL_AT, AWAY_S = 5.0, 5.5, 8.0, 1.0
CHANGE_AT, END_AT = 15.0, 35.0


def routes(timeout_s: float, service: str) -> list[list]:
    return [route("view", "/view/", "idempotent", "storefront", timeout_s),
            route("confirm", "/confirm/", "non_idempotent", service, timeout_s)]


def tenants(keys: list[str]) -> list[list]:
    return [["reseller", keys, 1, 0, 0, []]]


async def case() -> int:
    async with Deployment(Path(__file__).parent, ZONES, 4) as deployment:
        record, store, operator = deployment.record, deployment.store, deployment.operator
        services, both = ["storefront", "godown"], tenants([KEY, WITHDRAWN])
        await operator.publish(routes(2.0, "storefront"), services, both)
        for index, zone in enumerate(ZONES):
            await deployment.add_backend(f"i-{index + 1:04x}", "storefront", zone, 0.1)
            await deployment.add_backend(f"i-{index + 101:04x}", "godown", zone, 0.1)
        await deployment.start_machines()
        await deployment.until(3.0)
        deployment.keep_calling("/confirm/1", "POST", KEY, 20, END_AT - 3, b"bale")
        deployment.keep_calling("/view/1", "GET", WITHDRAWN, 20, END_AT - 3)

        await deployment.until(COPY_AT)
        older = store.take_copy()
        await deployment.until(STORM_AT)
        for step in range(6):  # Configurations in quick succession, which only change the time-outs of the routes.
            await operator.publish(routes(2.0 + 0.1 * step, "storefront"), services, both)
            await asyncio.sleep(0.33)
        await deployment.until(DRILL_AT)
        if TROUBLE:
            await store.drill(older, AWAY_S)

        await deployment.until(CHANGE_AT)
        acked_at = await operator.publish(routes(2.5, "godown"), services, tenants([KEY]))
        record.say(f"acknowledged: {WITHDRAWN} is withdrawn, and /confirm/ goes to godown")
        await deployment.until(END_AT)

        bound = acked_at + BOUNDS["apply_s"]
        runs = {request: backend.service for backend in deployment.backends for request in backend.runs}
        calls = deployment.answers.all
        later = [entry for entry in calls if entry["sent_at"] > bound]
        withdrawn = [entry for entry in later if entry["key"] == WITHDRAWN and entry["id"] in runs]
        old_service = [entry for entry in later if entry["path"] == "/confirm/1" and runs.get(entry["id"]) == "storefront"]
        served = sum(entry["status"] == 200 for entry in calls if entry["sent_at"] < acked_at)
        before = sum(entry["sent_at"] < acked_at for entry in calls)
        record.say(f"{before} requests sent before the change, {served} served; {len(later)} sent later than apply_s "
                   f"after its ack")
        record.say(f"of these, {len(withdrawn)} ran with the withdrawn key, and {len(old_service)} at the old service; "
                   f"the last was sent {max((e['sent_at'] for e in withdrawn + old_service), default=acked_at) - acked_at:.1f} s "
                   f"after the ack")
        if served < before / 2 or not later or not all(each.running() for each in deployment.machines):
            return NOT_RUN
        return BROKEN if withdrawn or old_service else HELD


main(case)
