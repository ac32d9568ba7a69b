"""Beside case 1: the same without stale reads.  It is run by hand, `python3 review/1/relist.py`.

The store is slow and forgets its history, so the machines that watch it list the targets again.
While the second page is on its way, a target V of the first page and then a target U of the second
one register, both warm.  The watchers tell of U before their watch has brought V, and a-1, which
doesn't watch, learns of V no more.  Five seconds after the store is well again a machine is added,
flows at V move to a-1, and a-1 resets them.  The exit code is 1 if that happened, else 0.
"""

from asyncio import gather, sleep

import scenario
from standins.case import has_trouble, main


#: Times that an answer takes as long, and seconds for which watches hear nothing.
SLOW_X = 94
SILENCE_S = 0.3

#: Seconds from the first page of a list to the registration of V, and from there to that of U.
REGISTERED_S = 0.15
NEXT_S = 0.02

CHANGED_ENTRY = b'i-40000000'


async def play_relist(record, store, fleet, fabric, consumer, targets):
    """Play the case; return whether open flows were reset."""
    portal_new, intake_new = targets[3], targets[4]
    portal_new._cold = intake_new._cold = False
    hosts = [fleet.add(*place) for place in scenario.PLACES]
    seeds = [hosts[0].control, hosts[4].control, hosts[5].control]
    for host in hosts:
        await fleet.start(host, seeds)
    fabric.start()
    await consumer.start()
    while not all(host.in_rotation for host in hosts):
        await sleep(0.1)
    await sleep(scenario.IN_TOUCH_S)

    if has_trouble():
        await _forget(record, store)
        await sleep(REGISTERED_S)
    await portal_new.start()
    await sleep(NEXT_S)
    await intake_new.start()
    record.note(f'{portal_new.name} and then {intake_new.name} have registered')
    await sleep(2.5)
    store.latency_s = 0.004
    record.note('the store is well')
    await sleep(1)

    flows = [consumer.flow_to(scenario.PORTAL_ROUTE) for _ in range(3 * scenario.FLOWS)]
    await gather(*(flow.open() for flow in flows))
    held = [flow for flow in flows if flow.key in portal_new.opened]
    opened_by = sorted({name for flow in held for _, name in flow.hosts})
    record.note(f'{len(held)} flows are open at {portal_new.name}, opened through {opened_by}')
    await sleep(scenario.IN_TOUCH_S - 1)
    added = fleet.add(*scenario.ADDED_PLACE)
    await fleet.start(added, seeds)
    while not added.in_rotation:
        await sleep(0.05)
    record.note(f'{added.name} was added and is in rotation; the others are in touch')
    return await scenario._send_again(record, held, targets) > 0


async def _forget(record, store):
    """Make the store slow and forget its history; return when a list has begun."""
    normal_s = store.latency_s
    store.latency_s = normal_s * SLOW_X
    record.note(f'the store is slow, {SLOW_X} times')
    await sleep(1)
    store.holds_watches = True
    store.put('servers', CHANGED_ENTRY, scenario.idle_spec(0).replace(b'"v1"', b'"v2"'))
    await sleep(SILENCE_S)
    lists = store.lists
    store.forget_history()
    record.note('the store forgets its history')
    while store.lists == lists:
        await sleep(0.005)


if __name__ == '__main__':
    scenario._play = play_relist
    main(scenario.FOLDER, scenario.play, 'record-relist.txt')
