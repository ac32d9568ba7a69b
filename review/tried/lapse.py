"""Tried for issue 40, and no case: `python3 review/tried/lapse.py`.

A target drains as planned.  The store is silent for 1.7 s, in which this target's entry lapses, and
answers the waiting watches when it is back.  The target lives, works, and writes its entry again 1.9 s
later.  Requests that take it 0.3 s meanwhile are run, and their flows are reset by the system.  The
exit code is 1 if that happened, else 0.

It isn't a case, since the store hasn't been stable for `stableWindowMs`: FLOW counts it only if what
happens to a draining target passes for planned work.
"""

from asyncio import create_task, gather, sleep
from pathlib import Path
import sys

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.path.insert(0, str(FOLDER.parent / '1'))

import scenario
from standins import targets as target_module
from standins.case import has_trouble, main


LAPSED_S = 1.6
SILENCE_S = 1.7
BACK_S = 1.9
WORK_S = 0.3
ASKED_FLOWS = 3


async def play_lapse(record, store, fleet, fabric, consumer, targets):
    """Play it; return whether open flows of the live target were reset."""
    draining = targets[0]
    hosts = [fleet.add(*place) for place in scenario.PLACES]
    seeds = [hosts[0].control, hosts[4].control, hosts[5].control]
    for host in hosts:
        await fleet.start(host, seeds)
    fabric.start()
    await consumer.start()
    while not all(host.in_rotation for host in hosts):
        await sleep(0.1)
    await sleep(scenario.IN_TOUCH_S)
    flows = [consumer.flow_to(scenario.PORTAL_ROUTE) for _ in range(scenario.FLOWS)]
    await gather(*(flow.open() for flow in flows))
    held = [flow for flow in flows if flow.key in draining.opened]
    draining.drain()
    record.note(f'{draining.name} drains; {len(held)} flows are open at it')
    await sleep(0.5)
    store.holds_watches = True
    record.note('the store falls silent')
    await sleep(LAPSED_S)
    write_entry = draining.write_entry
    if has_trouble():
        store.remove('servers', draining.name.encode())
        draining.write_entry = lambda: None
        record.note(f'the entry of {draining.name} lapses')
    await sleep(SILENCE_S - LAPSED_S)
    store.answer_watches()
    record.note('the store answers again')
    target_module.WORK_S = WORK_S
    back = create_task(_write_again(record, draining, write_entry))
    await sleep(0.2)
    broken = await scenario._send_again(record, held[:ASKED_FLOWS], targets)
    await back
    return broken > 0


async def _write_again(record, draining, write_entry):
    """Write the entry of a target again, about two seconds after the return of the store."""
    await sleep(BACK_S)
    draining._written = None
    draining.write_entry = write_entry
    draining.write_entry()
    record.note(f'the entry of {draining.name} is back')


if __name__ == '__main__':
    scenario._play = play_lapse
    main(FOLDER, scenario.play)
