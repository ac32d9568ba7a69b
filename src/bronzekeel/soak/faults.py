"""List every kind of fault that a soak injects."""

from bronzekeel.soak.demand_faults import CallersMoved, OneCallerCrowds, UpstreamsUneven
from bronzekeel.soak.fault import Fault
from bronzekeel.soak.host_faults import (
    AllKilled,
    AllStopped,
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
    PeersUnheard,
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
    StoreRefusing,
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
    AllKilled,
    HostStopped,
    AllStopped,
    HostPaused,
    SettingsChanged,
    HostAdded,
    StoreSilentForSome,
    StoreRefusesSome,
    PeersUnheard,
    PeersLate,
    PacketsLost,
    CentreCut,
    StoreDown,
    StoreSlow,
    StoreRefusing,
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
    OneCallerCrowds,
    CallersMoved,
    UpstreamsUneven,
)
