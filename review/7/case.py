"""The store turns some machines away, among them those that read it for the others; back ends leave meanwhile: do
requests from the machines that the store serves still reach them past drain_s?"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE, Backend, Deployment, main, route

ZONES = {"ege-a": "ege", "kapadokya-a": "kapadokya", "karadeniz-a": "karadeniz", "ege-b": "ege",
         "kapadokya-b": "kapadokya", "karadeniz-b": "karadeniz"}
MACHINES = 18  # yildirim-sofra: 12, and 6 that are added during a day.
SHARE, OUTAGE_S = 0.35, 9.0  # The largest platform_down of kind `nodes` there.
KEY = "key-house-1"
OUTAGE_AT = 14.0
LEAVERS, GAP_S = 3, 0.35  # Of 18; scale_in takes up to a fifth of the back ends of that site.
SERVES_S = BOUNDS["drain_s"] + 0.5  # drain_s "and a little longer".
TRANSIT_S = 0.1  # From the machine to the back end, generous on loopback.
END_AT = 28.0


def choose_machines(deployment: Deployment) -> list[int]:
    """A share of the machines: first those that have watched the store within the last seconds."""
    order = sorted(range(MACHINES), key=lambda index: -deployment.links[index].watched_at)
    return order[:int(SHARE * MACHINES)]


async def leave(deployment: Deployment, backend: Backend, delay_s: float) -> float:
    """Planned shutdown of a back end; returns the time of the ack."""
    await asyncio.sleep(delay_s)
    backend.state = "draining"
    await backend.write_entry()
    left_at = deployment.record.now()
    await asyncio.sleep(SERVES_S)
    await backend.exit()
    await deployment.store.remove(f"servers/{backend.identity}")
    return left_at


async def case() -> int:
    async with Deployment(Path(__file__).parent, ZONES, MACHINES) as deployment:
        record, store = deployment.record, deployment.store
        await deployment.operator.publish(
            [route("order", "/order/", "non_idempotent", "sofra"), route("menu", "/menu/", "idempotent", "sofra")],
            ["sofra"], [["house", [KEY], 1, 0, 0, []]])
        for index, zone in enumerate(list(ZONES) * 3):
            await deployment.add_backend(f"i-{index + 1:04x}", "sofra", zone, 0.4)
        await deployment.start_machines()
        await deployment.until(5.0)
        deployment.keep_calling("/order/1", "POST", KEY, 110, END_AT - 3, b"supper")
        deployment.keep_calling("/menu/1", "GET", KEY, 60, END_AT - 3)

        await deployment.until(OUTAGE_AT - 0.3)
        leavers = deployment.backends[:LEAVERS]
        leaving = [asyncio.create_task(leave(deployment, each, GAP_S * n)) for n, each in enumerate(leavers)]
        await deployment.until(OUTAGE_AT)
        readers = [index for index in range(MACHINES) if time.monotonic() - deployment.links[index].watched_at < 5]
        chosen = choose_machines(deployment) if TROUBLE else []
        record.say(f"{len(readers)} of {MACHINES} machines read the store; it turns {len(chosen)} machines away")
        for index in chosen:
            deployment.links[index].turn_away()
        left_at = await asyncio.gather(*leaving)
        await deployment.until(OUTAGE_AT + OUTAGE_S)
        for index in chosen:
            deployment.links[index].turned_away = False
        await deployment.until(END_AT)

        answers = {entry["id"]: entry for entry in deployment.answers.all}
        served_machines = {machine.address for index, machine in enumerate(deployment.machines) if index not in chosen}
        before, late, lost = 0, 0, 0
        for leaver, left in zip(leavers, left_at):
            after = [at - left for at, request in leaver.arrivals if answers[request]["address"] in served_machines]
            too_late = [delay for delay in after if delay > BOUNDS["drain_s"] + TRANSIT_S]
            cut = [request for request in leaver.cut if answers[request]["status"] in (0, 502, 504)]
            record.say(f"{leaver.identity} left at {left:.2f} s; {len(too_late)} requests reached it later than drain_s "
                       f"after the ack, from machines that the store served all along, the last {max(after):.2f} s; "
                       f"{len(cut)} that ran when it exited got no answer or 502")
            before += sum(delay < 0 for delay in after)
            late += len(too_late)
            lost += len(cut)
        served = sum(entry["status"] == 200 for entry in answers.values())
        record.say(f"{len(answers)} requests sent, {served} served; {late} came late, {lost} were lost")
        if not before or served < len(answers) / 2 or not all(each.running() for each in deployment.machines):
            return NOT_RUN
        return BROKEN if late else HELD


main(case)
