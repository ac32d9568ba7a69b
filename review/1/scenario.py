"""Case 1: a machine that was added as planned resets open flows of a target that lives.

Planned work only: two services are released, and a machine is replaced by another one.  The list of
targets takes two pages.  The first page that the new machine reads is five seconds old, as stale
reads may be, and the second one is new.  Without the trouble, both pages are new.
"""

from asyncio import gather, sleep
from pathlib import Path
from signal import SIGTERM
import sys
from time import monotonic

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import has_trouble, main
from standins.consumers import Consumer
from standins.fleet import Fabric, Fleet, free_ports, text_spec
from standins.store import Store
from standins.targets import COLD_S, HEARTBEAT_S, Target


ZONES = ('zone-a', 'zone-b', 'zone-c')
PLACES = (
    ('a-1', 'zone-a', '127.21.1.1'),
    ('a-2', 'zone-a', '127.21.1.2'),
    ('a-3', 'zone-a', '127.21.1.3'),
    ('a-4', 'zone-a', '127.21.1.4'),
    ('b-1', 'zone-b', '127.21.2.1'),
    ('c-1', 'zone-c', '127.21.3.1'),
)
ADDED_PLACE = ('a-5', 'zone-a', '127.21.1.5')
TARGET_IPS = ('127.23.0.1', '127.23.0.2', '127.23.0.3', '127.23.0.4', '127.23.0.5')
CONSUMER_IP = '127.22.0.1'
STORE_IP = '127.25.0.1'

PORTAL_ROUTE = ('198.18.0.1', 443)
INTAKE_ROUTE = ('198.18.0.2', 443)
IDLE_ROUTE = ('198.18.0.3', 443)

#: Entries of a service without traffic, so that the list takes two pages of 500 at most.
IDLE_ENTRIES = 510

#: Age in seconds of what the lagging replica of the store answers to stale lists.
LAG_S = 5.0

#: Seconds after a start until a machine is in touch (`stableWindowMs`), and one more.
IN_TOUCH_S = 5.0

FLOWS = 60


def idle_spec(index):
    """Return the spec of an entry that gets no traffic."""
    return (
        b'{"service":"idle","address":"127.24.%d.%d:9000","zone":"zone-b","version":"v1","capacity":3,'
        b'"state":"ready","warmupLeftMs":0,"sequence":1}' % (index // 250, index % 250 + 1)
    )


async def play(record, folder):
    """Set up the deployment, play the case, and end everything."""
    ports = free_ports(
        ('packets', 'ready', 'control', 'target', 'store'),
        (*(ip for _, _, ip in (*PLACES, ADDED_PLACE)), *TARGET_IPS, CONSUMER_IP, STORE_IP),
    )
    store_address = (STORE_IP, ports['store'])
    store = Store()
    await store.open(store_address)
    services = {PORTAL_ROUTE: 'portal', INTAKE_ROUTE: 'intake', IDLE_ROUTE: 'idle'}
    store.put('config', b'main', text_spec(7, services))
    for index in range(IDLE_ENTRIES):
        store.put('servers', b'i-%08x' % (0x40000000 + index), idle_spec(index))

    def target(name, service, ip, *, cold=False):
        address = (ip, ports['target'])
        return Target(store, name, service, address, 'zone-a', ports['packets'], cold=cold)

    targets = [
        target('i-20000001', 'portal', TARGET_IPS[0]),
        target('i-20000002', 'portal', TARGET_IPS[1]),
        target('i-f0000001', 'intake', TARGET_IPS[2]),
        target('i-10000001', 'portal', TARGET_IPS[3], cold=True),
        target('i-f0000002', 'intake', TARGET_IPS[4], cold=True),
    ]
    for started in targets[:3]:
        await started.start()
    fleet = Fleet(folder, ZONES, store_address, ports)
    fabric = Fabric(fleet)
    consumer = Consumer(fabric, 'zone-a', (CONSUMER_IP, ports['packets']))
    try:
        return await _play(record, store, fleet, fabric, consumer, targets)
    finally:
        fabric.stop()
        await fleet.end()
        consumer.close()
        for ended in targets:
            if ended.alive:
                ended.end()
        await store.close()


async def _play(record, store, fleet, fabric, consumer, targets):
    portal_old, _, _, portal_new, intake_new = targets
    hosts = [fleet.add(*place) for place in PLACES]
    # One seed a zone, as on the users' platform: a-1, b-1 and c-1.
    seeds = [hosts[0].control, hosts[4].control, hosts[5].control]
    for host in hosts:
        await fleet.start(host, seeds)
    fabric.start()
    await consumer.start()
    while not all(host.in_rotation for host in hosts):
        await sleep(0.1)
    record.note('the machines ' + ', '.join(host.name for host in hosts) + ' are in rotation')
    # Planned: a machine leaves.  It was the seed of its zone, so that seed is stale from now on.
    await _remove(record, fleet, hosts[0])
    await sleep(IN_TOUCH_S)

    # Planned: a target of `portal` is replaced; the new one starts first, then the old one drains.
    await portal_new.start()
    registered_at = monotonic()
    record.note(f'release of portal: {portal_new.name} has started and registered')
    await sleep(0.5)
    revision = portal_old.drain()
    drained_at = monotonic()
    record.note(f'release of portal: {portal_old.name} drains, confirmed at revision {revision}')
    await sleep(0.2)
    flows = await _open_flows(record, consumer, portal_new)

    # Planned: a target of `intake` is added, and then a machine.
    await sleep(max(0, registered_at + COLD_S + HEARTBEAT_S - monotonic()))
    change = [one for one in store.changes if one.name == portal_new.name.encode()][-1]
    record.note(f'{portal_new.name} is warm: its entry stands since revision {change.revision}', change.at)
    await intake_new.start()
    record.note(f'release of intake: {intake_new.name} has started and registered')
    store.use_replicas((LAG_S, 0.0) if has_trouble() else (0.0,))
    record.note(f'stale lists are answered by replicas that lag by {store.replica_lags_s} s, in turn')
    added = fleet.add(*ADDED_PLACE)
    await fleet.start(added, seeds)
    record.note(f'{added.name} is added and starts')
    while not added.in_rotation:
        await sleep(0.05)
    record.note(f'{added.name} is in rotation')
    await sleep(max(0, added.started_at + IN_TOUCH_S - monotonic()))

    record.note('all machines are in touch; each flow sends its next request')
    broken = await _send_again(record, flows, targets)
    await _show_drain(record, consumer, portal_old, drained_at)
    return broken > 0


async def _open_flows(record, consumer, portal_new):
    """Open flows with a request each; return them."""
    flows = [consumer.flow_to(PORTAL_ROUTE) for _ in range(FLOWS)]
    opened = await gather(*(flow.open() for flow in flows))
    answers = await gather(*(flow.request(f'first-{flow.key[1]}', 2.0) for flow in flows))
    held = [flow for flow in flows if flow.key in portal_new.opened]
    record.note(
        f'{sum(opened)} of {FLOWS} flows opened, {sum(map(bool, answers))} requests answered; '
        f'{len(held)} flows are open at {portal_new.name}',
    )
    if not all(answers) or not held:
        raise RuntimeError('the flows could not be opened')
    return flows


async def _remove(record, fleet, host):
    """Stop a machine as planned, and remove it for good."""
    record.note(f'{host.name} gets SIGTERM')
    host.process.send_signal(SIGTERM)
    await host.process.wait()
    fleet.hosts.remove(host)
    record.note(f'{host.name} has ended and is removed')


async def _send_again(record, flows, targets):
    """Send a further request on each flow; return how many open flows the system has reset."""
    sent_at = monotonic()
    answers = await gather(*(flow.request(f'second-{flow.key[1]}', 2.0) for flow in flows))
    broken = 0
    for flow, answer in zip(flows, answers):
        holder = next(target for target in targets if flow.key in target.opened)
        hosts = sorted({name for at, name in flow.hosts if at >= sent_at})
        end = 'answered' if answer else 'no answer'
        if flow.reset_by:
            end = f'reset by the {flow.reset_by} {flow.reset_at - sent_at:.2f} s later'
        record.note(f'flow {flow.key[1]} open at {holder.name} (alive: {holder.alive}), through {hosts}: {end}')
        broken += flow.reset_by == 'system' and holder.alive
    ran = [request for target in targets for _, request in target.runs if request.startswith('second')]
    record.note(f'{len(ran)} of {len(flows)} second requests ran, {sum(map(bool, answers))} were answered')
    record.note(f'{broken} open flows were reset by the system while their target lived')
    return broken


async def _show_drain(record, consumer, drained, drained_at):
    """Record the new flows that a draining target still gets; the exit code doesn't depend on it."""
    flows = [consumer.flow_to(PORTAL_ROUTE) for _ in range(FLOWS)]
    await gather(*(flow.open() for flow in flows))
    taken = [flow for flow in flows if flow.key in drained.opened]
    hosts = sorted({name for flow in taken for _, name in flow.hosts})
    record.note(
        f'besides: {len(taken)} of {FLOWS} new flows were opened at {drained.name}, through {hosts}, '
        f'{monotonic() - drained_at:.1f} s after its drain was confirmed',
    )


if __name__ == '__main__':
    main(FOLDER, play)
