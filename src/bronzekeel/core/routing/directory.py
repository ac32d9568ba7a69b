"""Know the upstreams: listed, missing for now, or gone.

An entry in the store is a hint.  Entries lapse while the store is away, and
come back soon after it if their upstream lives; only what is still missing
after ``RETURN_GRACE_S`` counts as gone.
"""

from bronzekeel.core.routing.evacuated_centres import RESTORE_CONFIRM_S, EvacuatedCentres
from bronzekeel.core.routing.model import Upstream, UpstreamEntry
from bronzekeel.core.routing.pool_members import PoolMembers
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.revisions import is_same_incarnation


#: Seconds that a lapsed entry has to come back after the store does.
#: Source: the users say about two seconds; half a second is for reading it.
RETURN_GRACE_S = 2.5

#: Lapses that make an outage at least: as many as are still listed, and these.
#: Source: a service of three of which two crash is no outage.
_MIN_OUTAGE_LAPSES = 3

#: Seconds for which upstreams that are gone are remembered, so that packets
#: of their flows still reach one that lives unlisted.  Source: the users'
#: bound on the age of a flow.
RETENTION_S = 60.0

#: Seconds for which the word of an older start must have stood before it is believed.
#: Source: an upstream that lives writes its entry each 0.8 s or so, and one that does not
#: write it for three times that is no longer listed.
OLDER_START_CONFIRM_S = 3.0


class _UnconfirmedEntry:
    """Hold what is told of an upstream and looks outdated, to be believed at `confirmed_at`."""

    __slots__ = ('confirmed_at', 'entry')

    def __init__(self, entry: UpstreamEntry, confirmed_at: float) -> None:
        self.entry = entry
        self.confirmed_at = confirmed_at


class Directory:
    """Hold all upstreams by name, by service and by short number.

    `pools_by_service` has the pools of a service by data centre.
    `changes` counts what changed where packets go.
    `ordered` is off only where a test shows what the order by revision is for.
    """

    def __init__(self) -> None:
        """Start with none."""
        self.by_name: dict[str, Upstream] = {}
        self.by_number: dict[int, Upstream] = {}
        self.pools_by_service: dict[str, dict[str, Pool]] = {}
        self._by_service: dict[str, dict[str, Upstream]] = {}
        self.grace_until: float = 0
        self.newest_revision = 0
        self.ordered = True
        self.changes = 0
        self._lapsed: list[Upstream] = []
        self.evacuated_centres = EvacuatedCentres()
        self._unconfirmed_by_name: dict[str, _UnconfirmedEntry] = {}
        self.pool_members = PoolMembers(self.pools_by_service)

    @property
    def listed_count(self) -> int:
        """Number of upstreams that the store lists."""
        return sum(upstream.listed for upstream in self.by_name.values())

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service in the order in which they came, gone ones too."""
        return list(self._by_service.get(service, {}).values())

    def pools_of(self, data_centre: str) -> list[Pool]:
        """Return the pools of all services in a data centre."""
        return [
            pool_by_centre[data_centre]
            for pool_by_centre in self.pools_by_service.values()
            if data_centre in pool_by_centre
        ]

    def remote_pools(self, data_centre: str) -> dict[tuple[str, str], Pool]:
        """Return the pools of other data centres by service and data centre."""
        return {
            (service, centre): pool
            for service, pool_by_centre in self.pools_by_service.items()
            for centre, pool in pool_by_centre.items()
            if centre != data_centre
        }

    @property
    def data_centres(self) -> frozenset[str]:
        """Data centres that have or had upstreams."""
        by_service = self.pools_by_service.values()
        return frozenset(centre for by_centre in by_service for centre in by_centre)

    def is_queueing(self, data_centre: str, now: float) -> bool:
        """Whether requests wait for room at a data centre's upstreams."""
        return any(pool.queued_s(now) for pool in self.pools_of(data_centre))

    def update_evacuated_pools(self) -> None:
        """Keep new flows away from the upstreams of closed data centres, and of no others."""
        closed = self.evacuated_centres.names
        for pool_by_centre in self.pools_by_service.values():
            for centre, pool in pool_by_centre.items():
                pool.evacuated = centre in closed
        self.pool_members.invalidate_all_capacities()

    def advance_revision(self, revision: int) -> None:
        """Note that every change up to `revision` is known."""
        self.newest_revision = max(self.newest_revision, revision)

    def note_recovered(self, now: float) -> None:
        """Give entries that lapsed during an outage the time to come back."""
        self.grace_until = now + RETURN_GRACE_S

    @property
    def unconfirmed_entries(self) -> list[UpstreamEntry]:
        """Entries that are not believed yet.

        They are of older starts than those that are known, or of a copy of the store that was made
        before an upstream announced its leaving.
        """
        return [unconfirmed.entry for unconfirmed in self._unconfirmed_by_name.values()]

    def apply(self, entry: UpstreamEntry, now: float) -> bool:
        """Take a listed entry; return whether it is new or says something new.

        An upstream that started again holds nothing of before: all that is known of its
        former start ends, and it is put among the upstreams of what it now says.
        """
        known = self.by_name.get(entry.name)
        self.advance_revision(entry.revision)
        if known is None:
            self._add(entry, now)
            return True
        if self.ordered and entry.revision < max(known.entry.revision, known.removed_revision):
            return False
        if entry.is_restart_of(known.entry):
            return self._restart(known.entry, entry, now)
        if _reverts_drain(known.entry, entry) and self._is_from_backup(entry, now):
            return False
        self._unconfirmed_by_name.pop(entry.name, None)
        returned = known.missing_at is not None
        self.pool_members.invalidate_capacity(known.pool)
        known.missing_at = None
        known.left = False
        self.changes += 1
        if entry.revision == known.entry.revision:
            return returned
        known.entry = entry
        known.warm_at = now + entry.cold_s
        return True

    def due_unconfirmed(self, now: float) -> list[UpstreamEntry]:
        """Return the unconfirmed entries that are to be believed now."""
        return [
            unconfirmed.entry
            for unconfirmed in self._unconfirmed_by_name.values()
            if now >= unconfirmed.confirmed_at
        ]

    def withhold(self, name: str, revision: int) -> bool:
        """Note that `revision` made an entry unreadable; return whether it was in use.

        Its upstream may live: it gets no new flows, and keeps those that it has.
        """
        known = self.by_name.get(name)
        if known is None or revision <= max(known.entry.revision, known.removed_revision):
            return False
        self.advance_revision(revision)
        self.changes += 1
        self._unconfirmed_by_name.pop(name, None)
        self.pool_members.invalidate_capacity(known.pool)
        used = known.entry.usable
        known.entry = known.entry.unusable(revision)
        return used

    def add_unlisted(self, entry: UpstreamEntry, now: float) -> None:
        """Know an upstream that the store no longer lists, if it is not known yet."""
        if entry.name not in self.by_name:
            self._add(entry, now)

    def note_removed(self, name: str, revision: int, now: float) -> Upstream | None:
        """Note that an entry was removed by `revision`; return it if it was there.

        One that was draining has left.  One that vanished while the store was
        settled is gone at once; after an outage it may come back.
        """
        self.advance_revision(revision)
        known = self.by_name.get(name)
        if known is None or revision < known.entry.revision:
            return None
        known.removed_revision = max(known.removed_revision, revision)
        self._unconfirmed_by_name.pop(name, None)
        if known.missing_at is not None:
            return None
        self.changes += 1
        self.pool_members.invalidate_capacity(known.pool)
        known.missing_at = now
        known.left = known.entry.draining
        known.gone_at = now if known.left else max(now, self.grace_until)
        if not known.left:
            self._suspect_outage(known, now)
        return known

    def forget_old(self, now: float) -> None:
        """Forget upstreams that have been gone for long, and half of what was asked."""
        for name, upstream in list(self.by_name.items()):
            upstream.asked /= 2
            if upstream.missing_at is None or now < upstream.missing_at + RETENTION_S:
                continue
            self._remove(name)

    def _restart(self, former: UpstreamEntry, entry: UpstreamEntry, now: float) -> bool:
        """Put a new start in the place of a former one; return whether that is done.

        What goes wrong without the wait: a call of the former process is carried out after
        those of the new one, or the store comes back from a copy, and takes everybody back.  An
        older start that stays is that of a host whose clock was set back.
        """
        unconfirmed = self._unconfirmed_by_name.get(entry.name)
        if entry.started_ms < former.started_ms:
            from_backup = not is_same_incarnation(former.revision, entry.revision)
            wait_s = RESTORE_CONFIRM_S if from_backup else OLDER_START_CONFIRM_S
            confirmed_at = unconfirmed.confirmed_at if unconfirmed else now + wait_s
            if now < confirmed_at:
                self._unconfirmed_by_name[entry.name] = _UnconfirmedEntry(entry, confirmed_at)
                return False
        self._remove(entry.name)
        self._add(entry, now)
        self.changes += 1
        return True

    def _is_from_backup(self, entry: UpstreamEntry, now: float) -> bool:
        """Whether an entry of a restored store is likely that of its copy; doubt it then.

        What goes wrong without it: an upstream announces its leaving, the store comes back from a
        copy made before, and new flows go to the upstream while it ends, or to its
        address after that.  A second word of the same incarnation was written since the restore.
        """
        unconfirmed = self._unconfirmed_by_name.get(entry.name)
        if unconfirmed is None or not is_same_incarnation(
            unconfirmed.entry.revision, entry.revision
        ):
            self._unconfirmed_by_name[entry.name] = _UnconfirmedEntry(
                entry, now + RESTORE_CONFIRM_S
            )
            return True
        return now < unconfirmed.confirmed_at and entry.revision <= unconfirmed.entry.revision

    def _suspect_outage(self, lapsed: Upstream, now: float) -> None:
        """Take entries that lapse together for an outage of the store.

        What goes wrong without it: a watch that waits through an outage tells
        of all lapses at once when the store is back, before the entries are
        written again, and every caller is refused until then.  Crashes take
        one upstream at a time, and a cut a data centre's.
        """
        self._lapsed = [
            other
            for other in (*self._lapsed, lapsed)
            if other.missing_at is not None and now < other.missing_at + RETURN_GRACE_S
        ]
        if len(self._lapsed) < max(_MIN_OUTAGE_LAPSES, self.listed_count):
            return
        self.note_recovered(now)
        for other in self._lapsed:
            other.gone_at = max(other.gone_at, self.grace_until)

    def _add(self, entry: UpstreamEntry, now: float) -> None:
        """Add an upstream.

        Two upstreams may fold to the same short number.  The first keeps it;
        the other gets no flows, since its packets would go to the first.
        """
        upstream = Upstream(entry, now, self._pool_of(entry))
        holder = self.by_number.setdefault(entry.short_number, upstream)
        self.by_name[entry.name] = upstream
        if holder is upstream:
            self._by_service.setdefault(entry.service, {})[entry.name] = upstream
            self.pool_members.add(upstream)

    def _pool_of(self, entry: UpstreamEntry) -> Pool:
        """Return the pool that an upstream belongs to; pools are few and stay."""
        by_centre = self.pools_by_service.setdefault(entry.service, {})
        centre = entry.data_centre
        created = Pool(entry.service, centre, evacuated=centre in self.evacuated_centres.names)
        return by_centre.setdefault(centre, created)

    def _remove(self, name: str) -> None:
        removed = self.by_name.pop(name)
        entry = removed.entry
        self._unconfirmed_by_name.pop(name, None)
        holder = self.by_number.get(entry.short_number)
        if holder is not None and holder.entry.name == name:
            self.by_number.pop(entry.short_number)
        self._by_service.get(entry.service, {}).pop(name, None)
        self.pool_members.remove(removed)


def _reverts_drain(known: UpstreamEntry, entry: UpstreamEntry) -> bool:
    """Whether another incarnation of the store has an upstream ready that is known to leave."""
    if is_same_incarnation(known.revision, entry.revision):
        return False
    return known.draining and not entry.draining
