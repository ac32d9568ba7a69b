"""List every kind of fault that a soak injects."""

from bronzekeel.soak.demand_faults import CallersMoved, SingleCallerSurge, UpstreamsUneven
from bronzekeel.soak.fault import Fault
from bronzekeel.soak.host_faults import (
    AllHostsKilled,
    AllHostsStopped,
    HostAdded,
    HostKilled,
    HostPaused,
    HostStopped,
    SettingsChanged,
)
from bronzekeel.soak.link_faults import (
    CentreCut,
    PacketsLost,
    PeersLate,
    PeersOneWay,
    StoreRefusesSome,
    StoreSilentForSome,
)
from bronzekeel.soak.load_faults import (
    Burst,
    CentreEvacuated,
    TextChanged,
    TextGrown,
    TextStorm,
)
from bronzekeel.soak.store_faults import (
    HistoryDropped,
    StoreDown,
    StoreRateLimited,
    StoreRestored,
    StoreSlow,
)
from bronzekeel.soak.upstream_faults import (
    AddressReused,
    EntryLapsed,
    UpstreamCrashed,
    UpstreamGrey,
    UpstreamReplaced,
    UpstreamSlow,
)


FAULTS: tuple[type[Fault], ...] = (
    HostKilled,
    AllHostsKilled,
    HostStopped,
    AllHostsStopped,
    HostPaused,
    SettingsChanged,
    HostAdded,
    StoreSilentForSome,
    StoreRefusesSome,
    PeersOneWay,
    PeersLate,
    PacketsLost,
    CentreCut,
    StoreDown,
    StoreSlow,
    StoreRateLimited,
    HistoryDropped,
    StoreRestored,
    UpstreamCrashed,
    AddressReused,
    UpstreamReplaced,
    EntryLapsed,
    UpstreamSlow,
    UpstreamGrey,
    TextChanged,
    TextStorm,
    TextGrown,
    CentreEvacuated,
    Burst,
    SingleCallerSurge,
    CallersMoved,
    UpstreamsUneven,
)
