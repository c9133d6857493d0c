"""A back end leaves and a key is withdrawn after the store came back from an older copy: do requests still reach the back
end past drain_s, and is the key still accepted past apply_s?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE, Deployment, main, route

ZONES = {"west-in-a": "west-in", "west-in-b": "west-in", "gulf-a": "gulf", "gulf-b": "gulf"}
KEY, WITHDRAWN = "key-reseller-1", "key-reseller-2"
COPY_AT, STORM_AT, DRILL_AT, AWAY_S = 5.0, 5.5, 8.0, 1.0
LEAVES_AT = 15.0  # The store has been stable for twice stable_s.
SERVES_S = BOUNDS["drain_s"] + 2.0  # "for the same time", drain_s "and a little longer (at times many seconds)".
WITHDRAWN_AT = 15.5
END_AT = 26.0


def routes(timeout_s: float) -> list[list]:
    return [route("view", "/view/", "idempotent", "storefront", timeout_s),
            route("reserve", "/reserve/", "non_idempotent", "storefront", timeout_s)]


def tenants(keys: list[str]) -> list[list]:
    return [["reseller", keys, 1, 0, 0, []]]


async def change_time_outs(deployment: Deployment) -> None:
    """Configurations in quick succession, which only change the time-outs of the routes."""
    for step in range(6):
        await deployment.operator.publish(routes(2.0 + 0.1 * step), ["storefront"], tenants([KEY, WITHDRAWN]))
        await asyncio.sleep(0.33)


async def case() -> int:
    async with Deployment(Path(__file__).parent, ZONES, 4) as deployment:
        record, store = deployment.record, deployment.store
        await deployment.operator.publish(routes(2.0), ["storefront"], tenants([KEY, WITHDRAWN]))
        for index, zone in enumerate(list(ZONES) * 2):
            await deployment.add_backend(f"i-{index + 1:04x}", "storefront", zone, 0.5)
        await deployment.start_machines()
        await deployment.until(3.0)
        deployment.keep_calling("/reserve/1", "POST", KEY, 50, END_AT - 3, b"bale")
        deployment.keep_calling("/view/1", "GET", WITHDRAWN, 20, END_AT - 3)

        await deployment.until(COPY_AT)
        older = store.take_copy()
        await deployment.until(STORM_AT)
        await change_time_outs(deployment)
        await deployment.until(DRILL_AT)
        if TROUBLE:
            await store.drill(older, AWAY_S)

        await deployment.until(LEAVES_AT)
        leaver = deployment.backends[0]
        leaver.registered = False  # It never reports `draining`: its entry is removed.
        await store.remove(f"servers/{leaver.identity}")
        left_at = record.now()
        await deployment.until(WITHDRAWN_AT)
        withdrawn_at = await deployment.operator.publish(routes(2.6), ["storefront"], tenants([KEY]))
        await deployment.until(left_at + SERVES_S)
        await leaver.exit()
        await deployment.until(END_AT)

        bound = left_at + BOUNDS["drain_s"]
        before = [request for at, request in leaver.arrivals if at < left_at]
        late = [request for at, request in leaver.arrivals if at > bound]
        answers = {entry["id"]: entry for entry in deployment.answers.all}
        lost = [request for request in leaver.cut if answers[request]["status"] in (0, 502, 504)]
        served = sum(entry["status"] == 200 for entry in answers.values())
        ran = {request for backend in deployment.backends for request in backend.runs}
        accepted = [entry["sent_at"] - withdrawn_at for entry in answers.values() if entry["key"] == WITHDRAWN
                    and entry["sent_at"] > withdrawn_at + BOUNDS["apply_s"] and entry["id"] in ran]
        record.say(f"{len(answers)} requests sent, {served} served; {len(before)} reached {leaver.identity} before it "
                   f"left, {len(late)} later than drain_s after the ack of its leaving")
        record.say(f"{len(lost)} requests that had run there when it exited got no answer or 502")
        record.say(f"{len(accepted)} requests ran with a key that had been withdrawn longer than apply_s before, the last "
                   f"{max(accepted, default=0):.1f} s after the ack")
        if not before or served < len(answers) / 2 or not all(each.running() for each in deployment.machines):
            return NOT_RUN
        return BROKEN if late or accepted else HELD


main(case)
