"""Case 3: machines in touch send new work to a target that leaves, and go by a replaced desired state.

The store falls silent for half a second, right after it confirmed a change: its answers to all
watches are lost, and their connections return nothing further.  When it has been stable for
`stableWindowMs`, a target drains and the operator writes the next desired state.  Without the
trouble, the store answers all the while.
"""

from asyncio import create_task, gather, sleep
from json import loads
from pathlib import Path
import sys
from time import monotonic

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import has_trouble, main
from standins.consumers import Consumer
from standins.fleet import Fabric, Fleet, free_ports, text_spec
from standins.store import Store
from standins.targets import Target


ZONES = ('zone-a', 'zone-b', 'zone-c')
KEPT_ROUTE = ('198.18.0.1', 443)
MOVED_ROUTE = ('198.18.0.2', 443)
DROPPED_ROUTE = ('198.18.0.3', 443)
ADDED_ROUTE = ('198.18.0.4', 443)
IDLE_ROUTE = ('198.18.0.5', 443)

#: Bounds of the deployment, in seconds: `stableWindowMs`, `configApplyMs` and `drainMs`.
STABLE_S = 4.0
APPLY_S = 3.0
DRAIN_S = 3.0

SILENCE_S = 0.5

#: Seconds from one change to the next, so that every machine watches the store again.
WATCH_DELAY_S = 0.8

#: Seconds in which requests are sent once the bound has passed.
WATCHED_S = 4.0


async def play(record, folder):
    host_ips = tuple(f'127.21.{zone}.{number}' for zone in (1, 2, 3) for number in (1, 2))
    target_ips = tuple(f'127.23.0.{number}' for number in range(1, 7))
    consumer_ips = ('127.22.0.1', '127.22.0.2', '127.22.0.3')
    ports = free_ports(
        ('packets', 'ready', 'control', 'target', 'store'),
        (*host_ips, *target_ips, *consumer_ips, '127.25.0.1'),
    )
    store_address = ('127.25.0.1', ports['store'])
    store = Store()
    await store.open(store_address)
    targets = []
    for number, (ip, service) in enumerate(zip(target_ips, ('portal', 'intake') * 3)):
        address = (ip, ports['target'])
        name = f'i-{0x10000001 + number:08x}'
        targets.append(Target(store, name, service, address, 'zone-a', ports['packets']))
    for target in targets:
        await target.start()
    fleet = Fleet(folder, ZONES, store_address, ports)
    fabric = Fabric(fleet)
    consumers = [
        Consumer(fabric, zone, (ip, ports['packets'])) for zone, ip in zip(ZONES, consumer_ips)
    ]
    try:
        return await _play(record, store, fleet, fabric, consumers, targets, host_ips)
    finally:
        fabric.stop()
        await fleet.end()
        for consumer in consumers:
            consumer.close()
        for target in targets:
            target.end()
        await store.close()


async def _play(record, store, fleet, fabric, consumers, targets, host_ips):
    def write(version, service_by_route):
        store.put('config', b'main', text_spec(version, service_by_route))
        record.note(f'the store confirms desired state {version}')
        return monotonic()

    before = {KEPT_ROUTE: 'portal', MOVED_ROUTE: 'portal', DROPPED_ROUTE: 'portal'}
    after = {KEPT_ROUTE: 'portal', MOVED_ROUTE: 'intake', ADDED_ROUTE: 'intake'}
    write(7, before)
    hosts = [
        fleet.add(f'{zone[-1]}-{number + 1}', zone, host_ips[2 * index + number])
        for index, zone in enumerate(ZONES)
        for number in (0, 1)
    ]
    seeds = [host.control for host in hosts[::2]]
    for host in hosts:
        await fleet.start(host, seeds)
    fabric.start()
    for consumer in consumers:
        await consumer.start()
    while not all(host.in_rotation for host in hosts):
        await sleep(0.1)
    record.note('all machines are in rotation: ' + ', '.join(host.name for host in hosts))
    await sleep(STABLE_S + 1)

    # Planned: two targets of `intake` drain, one with each of these desired states.
    write(8, before)
    targets[5].drain()
    await sleep(WATCH_DELAY_S)
    write(9, {**before, IDLE_ROUTE: 'portal'})
    targets[3].drain()
    if has_trouble():
        store.loses_answers = True
        record.note('the store falls silent')
    await sleep(SILENCE_S)
    store.loses_answers = False
    record.note(f'the store answers again; answers lost: {store.lost_answers}')
    await sleep(STABLE_S + 0.1)
    record.note('the store has been stable for stableWindowMs; all machines are in touch')
    confirmed_at = write(10, after)
    drained = targets[2]
    drained.drain()
    record.note(f'the store confirms that {drained.name} of portal drains')

    await sleep(APPLY_S + 0.1)
    record.note('configApplyMs has passed since the confirmation of desired state 10')
    tries = []
    end_at = monotonic() + WATCHED_S
    number = 0
    while monotonic() < end_at:
        for consumer in consumers:
            for kind, route in (
                ('kept', KEPT_ROUTE), ('moved', MOVED_ROUTE), ('dropped', DROPPED_ROUTE), ('added', ADDED_ROUTE),
            ):
                number += 1
                tries.append(create_task(_try(consumer, kind, route, f'{kind}-{number}')))
        await sleep(0.2)
    found = await gather(*tries)
    wrong = 0
    for kind, request_id, sent_at, flow, opened, answer in found:
        services = [target.service for target in targets if (request_id in {name for _, name in target.runs})]
        end = f'run by {services[0]}' if services else f'reset by the {flow.reset_by}' if flow.reset_by else 'silence'
        is_wrong = {
            'kept': False,
            'moved': services == ['portal'],
            'dropped': bool(services),
            'added': flow.reset_by == 'system',
        }[kind]
        wrong += is_wrong
        host = flow.hosts[0][1] if flow.hosts else '-'
        record.note(
            f'{request_id}, sent {sent_at - confirmed_at:.2f} s after the confirmation through {host}: {end}'
            + (' (as only an older desired state allows)' if is_wrong else ''),
            sent_at,
        )
    for host in hosts:
        for line in fleet.log_of(host).splitlines():
            if '"text_in_force"' in line and loads(line)['generation'] > 8:
                entry = loads(line)
                late_s = entry['steady'] - confirmed_at
                record.note(f'{host.name} put desired state {entry["generation"]} in force {late_s:.2f} s after 10 was confirmed')
    late = [at for at in drained.opened.values() if at > confirmed_at + DRAIN_S]
    record.note(f'{len(late)} flows were opened at {drained.name} later than drainMs after its drain was confirmed')
    record.note(f'besides: {wrong} of {len(found)} requests were handled as only an older desired state allows')
    return len(late) > 0


async def _try(consumer, kind, route, request_id):
    flow = consumer.flow_to(route)
    sent_at = monotonic()
    opened = await flow.open()
    answer = await flow.request(request_id, 1.0) if opened else None
    if opened:
        flow.close()
    return kind, request_id, sent_at, flow, opened, answer


if __name__ == '__main__':
    main(FOLDER, play)
