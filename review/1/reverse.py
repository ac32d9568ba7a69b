"""Beside case 1: the second page is the older one.  It is run by hand, `python3 review/1/reverse.py`.

A target V registers, the one before it leaves, and a desired state adds a route to their service.
The machine that is added then reads page one new and page two, where V is listed, six seconds old.
It takes V as removed, and the machines of all zones learn that from it: V lives and is listed, and
gets no new flow.  The exit code is 1 if new flows were reset, else 0.
"""

from asyncio import sleep
from time import monotonic

import scenario
from standins.case import has_trouble, main
from standins.fleet import text_spec


ADDED_ROUTE = ('198.18.0.9', 443)
LAG_S = 6.0
DRAIN_S = 3.3


async def play_reverse(record, store, fleet, fabric, consumer, targets):
    """Play the case; return whether new flows were reset."""
    intake_old, intake_new = targets[2], targets[4]
    hosts = [fleet.add(*place) for place in scenario.PLACES]
    seeds = [hosts[0].control, hosts[4].control, hosts[5].control]
    for host in hosts:
        await fleet.start(host, seeds)
    fabric.start()
    await consumer.start()
    while not all(host.in_rotation for host in hosts):
        await sleep(0.1)
    await sleep(scenario.IN_TOUCH_S)

    await intake_new.start()
    record.note(f'release of intake: {intake_new.name} has started and registered')
    await sleep(0.5)
    intake_old.drain()
    record.note(f'release of intake: {intake_old.name} drains')
    await sleep(DRAIN_S)
    intake_old.leave()
    record.note(f'release of intake: {intake_old.name} has left')
    await sleep(0.2)
    routes = (scenario.INTAKE_ROUTE, ADDED_ROUTE)
    service_by_route = {
        scenario.PORTAL_ROUTE: 'portal', scenario.IDLE_ROUTE: 'idle', **dict.fromkeys(routes, 'intake'),
    }
    store.put('config', b'main', text_spec(8, service_by_route))
    confirmed_at = monotonic()
    record.note('the store confirms desired state 8, with a further route to intake')
    store.use_replicas((0.0, LAG_S) if has_trouble() else (0.0,))
    added = fleet.add(*scenario.ADDED_PLACE)
    await fleet.start(added, seeds)
    record.note(f'{added.name} is added and starts')
    await sleep(scenario.IN_TOUCH_S + 1)

    refused = 0
    for _ in range(20):
        for route in routes:
            flow = consumer.flow_to(route)
            opened = await flow.open()
            refused += flow.reset_by == 'system'
            end = 'opened' if opened else f'reset by the {flow.reset_by}' if flow.reset_by else 'silence'
            late_s = monotonic() - confirmed_at
            record.note(f'a flow to {route[0]}, {late_s:.2f} s after the confirmation, through {flow.hosts[0][1]}: {end}')
        await sleep(0.2)
    for host in fleet.hosts:
        for line in fleet.log_of(host).splitlines():
            if 'upstream_unlisted' in line and intake_new.name in line:
                record.note(f'log of {host.name}: {line[line.index("event"):]}')
    record.note(f'{refused} of 40 new flows were reset by the system; {intake_new.name} lives and is listed')
    return refused > 0


if __name__ == '__main__':
    scenario._play = play_reverse
    main(scenario.FOLDER, scenario.play, 'record-reverse.txt')
