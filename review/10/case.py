"""A back end says in its answers that it leaves, to a machine that is partitioned from the store: do requests from
that machine still reach it past drain_s?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE, Deployment, main, route

ZONES = {"west-in-a": "west-in", "gulf-a": "gulf"}
KEY = "key-reseller-1"
CUT_AT, CUT_S = 6.0, 10.0  # node_cut lasts up to 12 s on the days of the site file.
LEAVES_AT = 7.0
SERVES_S = BOUNDS["drain_s"] + 3.0  # drain_s "and a little longer (at times many seconds)".
END_AT = 20.0
TRANSIT_S = 0.2  # Generous for an answer to pass the machine on loopback.


async def case() -> int:
    async with Deployment(Path(__file__).parent, ZONES, 1) as deployment:
        record, store = deployment.record, deployment.store
        await deployment.operator.publish(
            [route("reserve", "/reserve/", "non_idempotent", "storefront"),
             route("view", "/view/", "idempotent", "storefront")], ["storefront"], [["reseller", [KEY], 1, 0, 0, []]])
        for index, zone in enumerate(list(ZONES) * 3):
            await deployment.add_backend(f"i-{index + 1:04x}", "storefront", zone, 0.3)
        await deployment.start_machines()
        await deployment.until(3.0)
        deployment.keep_calling("/reserve/1", "POST", KEY, 25, END_AT - 3, b"bale")
        deployment.keep_calling("/view/1", "GET", KEY, 10, END_AT - 3)

        await deployment.until(CUT_AT)
        if TROUBLE:
            record.say("the machine is partitioned from the store and from the other machines")
            deployment.links[0].cut()
        await deployment.until(LEAVES_AT)
        leaver = deployment.backends[0]
        leaver.state, leaver.leaving = "draining", True
        await leaver.write_entry()
        record.say(f"{leaver.identity} reports draining and says so in its answers")
        await asyncio.sleep(SERVES_S)
        await leaver.exit()
        await store.remove(f"servers/{leaver.identity}")
        await deployment.until(CUT_AT + CUT_S)
        if TROUBLE:
            deployment.links[0].heal()
        await deployment.until(END_AT)

        answers = {entry["id"]: entry for entry in deployment.answers.all}
        # The answer may be passed on without the header; the machine has it as soon as the back end has sent it.
        passed_on = min(leaver.said_leaving, default=record.now()) + TRANSIT_S
        late = [request for _, request in leaver.arrivals
                if answers[request]["sent_at"] > passed_on + BOUNDS["drain_s"]]
        lost = [request for request in leaver.cut if answers[request]["status"] in (0, 502, 504)]
        served = sum(entry["status"] == 200 for entry in answers.values())
        record.say(f"{len(answers)} requests sent, {served} served; {len(late)} were sent later than drain_s after the "
                   f"machine had passed on an answer with Server-Leaving, and reached {leaver.identity}")
        record.say(f"{len(lost)} requests that ran there when it exited got no answer or 502")
        if not leaver.said_leaving or served < len(answers) / 2 or not deployment.machines[0].running():
            return NOT_RUN
        return BROKEN if late else HELD


main(case)
