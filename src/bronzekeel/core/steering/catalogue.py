"""Apply a new text to the steering tables."""

from bronzekeel.core.catalogue import Catalogue, ServiceKind, ServiceSpec
from bronzekeel.core.hashing import service_key
from bronzekeel.core.steering.assignment import assign
from bronzekeel.core.steering.journal import ban_reused
from bronzekeel.core.steering.state import ServiceTable, Steering


def install(steering: Steering, catalogue: Catalogue) -> None:
    """Set the targets of every flow service and drop the tables of removed services.

    Registers do not change here.  Only a register's keeper may change it,
    even if this balancer has a newer text than the keeper.
    """
    former = steering.tables_by_name
    steering.tables_by_name = {}
    steering.tables_by_key = {}
    for spec in catalogue.services_by_name.values():
        if spec.kind is not ServiceKind.FLOW:
            continue
        table = former.get(spec.name)
        if table is None or table.spec != spec:
            table = _table(table, spec)
            steering.due_services.add(spec.name)
        steering.tables_by_name[spec.name] = table
        steering.tables_by_key[service_key(spec.address, spec.port)] = table
    _ban(steering, catalogue)


def _ban(steering: Steering, catalogue: Catalogue) -> None:
    """Ban endpoints that now belong to another service.

    Does nothing if every endpoint still belongs to the same service as before.
    """
    holders = {
        upstream.endpoint: service.name
        for service in catalogue.services_by_name.values()
        for upstream in service.upstreams
    }
    former = steering.service_by_endpoint
    steering.service_by_endpoint = holders
    if former.items() <= holders.items() and len(former) == len(holders):
        return
    for table in steering.tables_by_name.values():
        table.banned = frozenset()
        for register in table.registers:
            if register is not None:
                ban_reused(steering, table, register)


def _table(former: ServiceTable | None, spec: ServiceSpec) -> ServiceTable:
    table = former or ServiceTable.empty(spec.name, spec.buckets, spec.idle_s)
    table.spec = spec
    table.idle_s = spec.idle_s
    if table.mask + 1 == spec.buckets:
        table.targets = assign(spec)
    return table
